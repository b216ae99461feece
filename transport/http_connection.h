/*
 * One TCP connection that carries HTTP/1.1 requests, one at a time.  Needs one
 * system call to send a request and one to receive its answer.
 */
#ifndef TRANSPORT_HTTP_CONNECTION_H
#define TRANSPORT_HTTP_CONNECTION_H

#include "base/list.h"
#include "protocol/http_response.h"

#include <gio/gio.h>

struct http_connection;

struct http_connection_ops
{
  /* The whole answer to REQUEST was received.  BODY is valid only during the
     call.  CONNECTION is idle now: if KEEPS_OPEN it may carry another request,
     otherwise the owner must close it.  */
  void (*answered) (struct http_connection *connection, gpointer request,
                    guint status, GBytes *body, gboolean keeps_open);

  /* CONNECTION could not be established, was closed by the other side, or has
     received invalid data.  Also called while it is idle.  The owner must
     close it.  */
  void (*broken) (struct http_connection *connection);
};

/* Embedded in the object that owns connections.  */
struct http_connection_owner
{
  const struct http_connection_ops *ops;
};

struct http_connection
{
  struct list_node link; /* for the owner's use */
  struct http_connection_owner *owner;
  gpointer request;    /* set by the owner; NULL while idle */
  gboolean is_retired; /* for the owner's use */
  GSocket *socket;
  struct socket_watch *watch;
  gboolean is_connected;
  const GString *text; /* of the request */
  gint64 deadline_us;  /* of the request */
  gsize written;       /* bytes of TEXT written so far */
  gint64 answered_us;  /* when the last answer was complete; 0 for never */
  struct http_response response;
};

/* Starts to connect.  Returns NULL if that fails at once.  */
struct http_connection *
http_connection_open (GSocketAddress *address,
                      struct http_connection_owner *owner);

/* Closes and frees CONNECTION without calling the owner.  */
void http_connection_close (struct http_connection *connection);

/* Whether CONNECTION, which is idle, appears to be open still.  */
gboolean http_connection_is_open (const struct http_connection *connection);

/*
 * Sends TEXT, which must stay valid until REQUEST ends.  If the connection is
 * not established yet, TEXT is sent when it is, unless DEADLINE_US has passed
 * by then.  An answer with a body of more than MAX_BODY_BYTES counts as
 * invalid.  Returns FALSE if the connection is broken; no byte was written
 * then.
 */
gboolean http_connection_send (struct http_connection *connection,
                               gpointer request, const GString *text,
                               gint64 deadline_us, gsize max_body_bytes);

#endif
