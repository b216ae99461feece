/*
 * Limits the connections of an HTTP server in number and time.
 *
 * Connections above the limit on their number are closed at once.  A
 * connection that does not deliver a whole request before its deadline is
 * closed, so that a slow client cannot hold a connection for long.
 */
#ifndef T_STANDIN_CONNECTION_GUARD_H
#define T_STANDIN_CONNECTION_GUARD_H

#include <gio/gio.h>
#include <libsoup/soup.h>

struct connection_guard;

struct connection_limits
{
  guint max_connections;
  guint request_timeout_ms; /* to receive the first request whole */
  guint idle_timeout_ms;    /* from one request's end until the next is read */
};

/* Limits the connections of SERVER, on which it keeps a reference.  The server
   still accepts the connections itself.  */
struct connection_guard *
connection_guard_new (SoupServer *server,
                      const struct connection_limits *limits);
void connection_guard_free (struct connection_guard *guard);

/*
 * Answers a request that has not been read whole: writes RESPONSE, a complete
 * HTTP response, to the connection of MESSAGE and closes the connection a
 * second later, so that the client can read the response.  Anything else that
 * the client sends is discarded.  Only for connections without TLS.
 */
void connection_guard_reject (struct connection_guard *guard,
                              SoupServerMessage *message,
                              const char *response);

/* The number of open connections.  */
guint connection_guard_count_open (struct connection_guard *guard);

/* The largest number of connections that were open at the same time.  */
guint connection_guard_get_peak (const struct connection_guard *guard);

/* The number of connections that were closed because of a limit, a deadline or
   connection_guard_reject ().  */
guint64 connection_guard_count_closed (const struct connection_guard *guard);

#endif
