/*
 * Watches the connections of an HTTP server and bounds them.
 *
 * No more than a given number of connections is open at a time; the rest is
 * closed at once.  A connection that does not deliver a whole request before
 * its deadline is closed, so that a slow sender costs a bounded time.
 */
#ifndef TRANSPORT_CONNECTION_GUARD_H
#define TRANSPORT_CONNECTION_GUARD_H

#include <gio/gio.h>
#include <libsoup/soup.h>

struct connection_guard;

struct connection_limits
{
  guint max_connections;
  guint request_timeout_ms; /* to receive one request whole */
  guint idle_timeout_ms;    /* between two requests, the second included */
};

/* Watches the connections of SERVER, which keeps its own listener.  Takes a
   reference.  */
struct connection_guard *
connection_guard_new (SoupServer *server,
                      const struct connection_limits *limits);
void connection_guard_free (struct connection_guard *guard);

/*
 * Writes the bytes of RESPONSE to the connection of MESSAGE, whose request has
 * not been read whole, and closes it soon after.  What else arrives is
 * discarded.  Only for connections without TLS.
 */
void connection_guard_reject (struct connection_guard *guard,
                              SoupServerMessage *message,
                              const char *response);

/* Connections that are open.  */
guint connection_guard_count_open (struct connection_guard *guard);

/* The most connections that were open at a time.  */
guint connection_guard_get_peak (const struct connection_guard *guard);

/* Connections closed because of a limit or a deadline.  */
guint64 connection_guard_count_closed (const struct connection_guard *guard);

#endif
