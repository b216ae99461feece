/*
 * HTTP client sessions, one for each upstream.
 *
 * Whenever a message or a connection of a session changes, libsoup walks all
 * messages and connections of that session, so the cost of a message grows
 * with the number in flight.  With a session for each upstream these are only
 * the few of that upstream.
 */
#ifndef TRANSPORT_SESSION_POOL_H
#define TRANSPORT_SESSION_POOL_H

#include <glib.h>
#include <libsoup/soup.h>

/* The most connections to one upstream.  */
#define SESSION_MAX_CONNECTIONS 64

/* How long a connection may stay idle, in seconds; short enough that it is
   closed here before the upstream closes it.  */
#define SESSION_IDLE_TIMEOUT_SEC 30

struct session_pool;

struct session_pool *session_pool_new (void);

/* Drops all sessions.  A request in flight keeps its own until it ends.  */
void session_pool_free (struct session_pool *pool);

/* The session for the upstream at ADDRESS, "IP:PORT", which is created if
   needed.  The caller does not own it.  session_pool_sweep () may drop it.  */
SoupSession *session_pool_get (struct session_pool *pool, const char *address,
                               gint64 now_us);

/* Drops the sessions that have not been used for two minutes.  */
void session_pool_sweep (struct session_pool *pool, gint64 now_us);

#endif
