/*
 * Accepts the connections of an HTTP server's clients, and keeps the clients
 * within limits.
 *
 * All listeners of a process draw on one budget of memory and descriptors; see
 * coordination/client_budget.h.  When it is used up, connections that have
 * been idle the longest and unfinished requests that hold the most are ended,
 * so that others are still served.  A request is refused as soon as its header
 * shows that it exceeds a limit, before its body is read.  The refused client
 * gets an answer, and its connection is closed.
 *
 *   a header over CLIENT_HEADER_BYTES or CLIENT_MAX_FIELDS    431
 *   a body over the limit of its path                         413
 *   a body that does not fit into the budget                  503
 *   a request that is not complete in time                    closed
 *   an answer that the client does not read                   closed
 *
 * Each of these counts in METRIC_CLIENTS_LIMITED, and EVENT_CLIENTS_LIMITED
 * is logged for each limit every CLIENT_LOG_INTERVAL_US at most.
 */
#ifndef TRANSPORT_CLIENT_LISTENER_H
#define TRANSPORT_CLIENT_LISTENER_H

#include "base/clock.h"
#include "coordination/client_budget.h"

#include <libsoup/soup.h>

#define CLIENT_HEADER_BYTES (32 * 1024)
#define CLIENT_MAX_FIELDS 128
#define CLIENT_LOG_INTERVAL_US (10 * USEC_PER_SEC)

/* How long the servers wait for a client to go on reading its answer.  */
#define CLIENT_ANSWER_TIMEOUT_MS 10000

struct client_listener;

struct client_listener_ops
{
  /* The longest body that the request MESSAGE may have, whose header was read
     and announces one; 0 if it needs none.  Returns 0 with ERROR to refuse the
     request.  */
  gsize (*get_body_limit) (gpointer data, SoupServerMessage *message,
                           GError **error);

  /* The body of an answer that refuses a request with ERROR, as JSON.  NULL
     for answers without a body.  */
  GBytes *(*format_error) (gpointer data, const GError *error);
};

struct client_listener_options
{
  const struct client_listener_ops *ops; /* NULL: no request needs a body */
  gpointer data;                         /* of ops */
  struct client_budget *budget;
  enum client_class class;
  GTlsCertificate *certificate; /* NULL for plain HTTP */
  guint request_timeout_ms; /* from its first byte to the end of a request */
  guint answer_timeout_ms;  /* while the client reads nothing of an answer */
  guint idle_timeout_ms;    /* between two requests */
};

/* Accepts connections from SOCKET, which listens, for SERVER, which must not
   listen itself.  Both are referenced.  OPTIONS is copied; what it points to
   must outlive the listener.  */
struct client_listener *
client_listener_new (SoupServer *server, GSocket *socket,
                     const struct client_listener_options *options);

/* Closes all connections.  */
void client_listener_free (struct client_listener *listener);

/* The number of open connections.  */
guint client_listener_count_open (const struct client_listener *listener);

/* The number of requests that are being received or answered.  */
guint client_listener_count_requests (const struct client_listener *listener);

/* The connection of MESSAGE, or NULL when it has been closed.  */
GSocket *client_message_get_socket (SoupServerMessage *message);

/* Takes the body of MESSAGE, which is charged to its client until the request
   is answered.  The caller owns the reference.  */
GBytes *client_message_take_body (SoupServerMessage *message);

/* The length of the body of MESSAGE, in bytes.  */
gsize client_message_get_body_length (SoupServerMessage *message);

#endif
