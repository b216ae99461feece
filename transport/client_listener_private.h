/*
 * Declarations shared by the files that implement client_listener.h.
 *
 *   client_listener.c     accepts connections and checks their deadlines
 *   client_handshake.c    starts TLS on a connection
 *   client_connection.c   a connection: its memory, its stream and its end
 *   client_request.c      a request: its header, its body and its refusal
 */
#ifndef TRANSPORT_CLIENT_LISTENER_PRIVATE_H
#define TRANSPORT_CLIENT_LISTENER_PRIVATE_H

#include "base/metrics.h"
#include "transport/client_listener.h"
#include "transport/client_stream.h"

/* What a connection is charged: its buffers, and those of the HTTP server and
   of TLS.  */
#define CONNECTION_BYTES (40 * 1024)
#define TLS_CONNECTION_BYTES (96 * 1024)

/* How much of all requests is read in one turn of the main loop, in bytes of
   headers.  Bodies cost a BODY_SHARE of that, for they are not parsed while
   they arrive.  A read counts as READ_BYTES at least: the HTTP server makes
   three for a chunk of a few bytes.  */
#define BYTES_PER_TURN (64 * 1024)
#define READ_BYTES 256
#define BODY_SHARE 8

/* A header up to this length is read beyond that.  */
#define SHORT_HEADER_BYTES 512

/* How long a refused client has to read its answer before its connection is
   closed.  */
#define LINGER_US USEC_PER_SEC

/* How long a client may take to read an answer before it gives way to
   others.  */
#define SLOW_ANSWER_US USEC_PER_SEC

struct client_listener
{
  struct client_listener_options options;
  SoupServer *server;
  GSocket *socket;
  GSource *accept_source; /* NULL while accepting is paused */
  GSource *turn_source;   /* see on_turn () */
  guint retry_source;
  guint sweep_source;
  GMainContext *unused_context; /* see let_server_listen () */
  struct list_node connections;
  guint n_connections;
  guint n_ending; /* of them, ended by force and not closed yet */
  guint n_requests;
  guint n_unread_answers; /* that their clients are charged for */
  gsize turn_bytes;       /* of requests that may still be read in this turn */
  gint64 log_due_us[CLIENT_LIMIT_COUNT]; /* of the next line */
  guint64 n_limited[CLIENT_LIMIT_COUNT]; /* since that was logged */
};

struct connection
{
  struct client client;
  struct client_stream_owner owner;
  struct list_node link;
  struct client_listener *listener; /* NULL once the listener is freed */
  GSocket *socket;
  GIOStream *base;      /* of the socket, or of TLS over it */
  ClientStream *stream; /* NULL when the server has none */
  GSocketAddress *address;
  GSource *input_source;      /* before a handshake, or while it lingers */
  GCancellable *cancellable;  /* of the handshake */
  SoupServerMessage *message; /* the request that is read; not referenced */
  char *body;
  gsize body_length;
  gsize body_size;
  gsize body_limit;
  gsize taken_bytes;         /* of the body, which the server keeps */
  gsize answer_bytes;        /* of an answer that the client leaves unread */
  gsize header_bytes;        /* read of the header so far */
  gint64 deadline_us;        /* DEADLINE_NEVER while answering */
  gint64 answer_deadline_us; /* to go on reading the answer; DEADLINE_NEVER
                                unless it is left unread */
  gint64 slow_deadline_us;   /* to have read the answer; DEADLINE_NEVER until
                                it is left unread */
  gboolean has_header;
  gboolean has_request; /* counted in n_requests */
  gboolean is_needed;   /* the body */
};

/* client_listener.c  */

/* Counts a client that is refused or disconnected because of LIMIT.  */
void client_listener_count_limited (struct client_listener *listener,
                                    enum client_limit limit);

/* Goes on to accept connections.  */
void client_listener_resume (struct client_listener *listener);

/* client_handshake.c  */

/* Waits until the client's first record has arrived, then starts TLS.  A
   callback for client_connection_watch_input ().  */
gboolean client_handshake_on_input (GSocket *socket, GIOCondition condition,
                                    gpointer data);

/* client_connection.c  */

/* The connection of MESSAGE, or NULL when it has been closed.  */
struct connection *client_connection_find (SoupServerMessage *message);

/* Adds the connection of SOCKET to LISTENER.  Takes over the reference.  */
void client_connection_add (struct client_listener *listener, GSocket *socket);

/* Hands the connection to the server.  */
void client_connection_serve (struct connection *connection);

/* Closes the connection, which the server does not use.  */
void client_connection_free (struct connection *connection);

/* Ends a connection by force.  It is closed as soon as the server has let go
   of it, or at once when the server does not use it.  */
void client_connection_cut (struct connection *connection);

/* Ends a connection whose listener is being freed.  What still uses it frees
   it.  */
void client_connection_drop (struct connection *connection);

/* Whether the request of CONNECTION was refused, or its connection ended.  */
gboolean client_connection_is_over (const struct connection *connection);

/* Calls CALLBACK with CONNECTION when the socket is readable.  */
void client_connection_watch_input (struct connection *connection,
                                    GSocketSourceFunc callback);
void client_connection_stop_input (struct connection *connection);

void client_connection_set_state (struct connection *connection,
                                  enum client_state state);

/* Charges the client for what is kept of its request and of its answer.  */
void client_connection_charge (struct connection *connection);

/* Makes room for N_BYTES more of CONNECTION's request.  Refuses it and returns
   FALSE if no other client gives way.  */
gboolean client_connection_make_room (struct connection *connection,
                                      gsize n_bytes);

/* Frees what is kept of the request.  */
void client_connection_clear_request (struct connection *connection);
void client_connection_end_request (struct connection *connection);

/* client_request.c  */

/* Follows the requests that the listener's server reads.  */
void client_request_follow (struct client_listener *listener);
void client_request_unfollow (struct client_listener *listener);

/* Refuse the request of CONNECTION, and close the connection.  */
void client_request_refuse_header (struct connection *connection);
void client_request_refuse_for_memory (struct connection *connection);

#endif
