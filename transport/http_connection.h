/*
 * One TCP connection that carries HTTP/1.1 requests, one at a time: a call to
 * the kernel to send one, a call to receive its answer.
 */
#ifndef TRANSPORT_HTTP_CONNECTION_H
#define TRANSPORT_HTTP_CONNECTION_H

#include "base/list.h"
#include "protocol/http_response.h"

#include <gio/gio.h>

struct http_connection;

struct http_connection_ops
{
  /* The answer to REQUEST is whole; BODY lives only during the call.  The
     connection, which is idle now, may carry another one if KEEPS_OPEN, else
     the owner closes it.  */
  void (*answered) (struct http_connection *connection, gpointer request,
                    guint status, GBytes *body, gboolean keeps_open);

  /* It was not made, has ended, or brings what is no answer.  Also told of an
     idle one.  The owner closes it.  */
  void (*broken) (struct http_connection *connection);
};

/* Embedded in whoever owns connections.  */
struct http_connection_owner
{
  const struct http_connection_ops *ops;
};

struct http_connection
{
  struct list_node link; /* the owner's */
  struct http_connection_owner *owner;
  gpointer request; /* the owner's; NULL while idle */
  gboolean is_left; /* the owner's */
  GSocket *socket;
  GSource *source;
  GIOCondition condition; /* that SOURCE waits for */
  gboolean is_connected;
  const GString *text; /* of the request */
  gint64 deadline_us;  /* of the request */
  gsize written;       /* bytes of TEXT */
  gint64 used_us;      /* the last answer was whole */
  struct http_response response;
};

/* Begins a connection; returns NULL when the kernel refuses.  */
struct http_connection *
http_connection_open (GSocketAddress *address,
                      struct http_connection_owner *owner);

/* Closes and frees it; nothing is told.  */
void http_connection_close (struct http_connection *connection);

/* Whether CONNECTION, which is idle, still seems to be open.  */
gboolean http_connection_is_open (const struct http_connection *connection);

/*
 * Sends TEXT, which must live as long as REQUEST; at once or, as long as
 * DEADLINE_US has not passed, when the connection is made.  Bodies of answers
 * have at most MAX_BODY_BYTES.  Returns FALSE when the connection is broken;
 * no byte was written then.
 */
gboolean http_connection_send (struct http_connection *connection,
                               gpointer request, const GString *text,
                               gint64 deadline_us, gsize max_body_bytes);

#endif
