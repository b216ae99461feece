/*
 * HTTP client sessions, one for each upstream.
 *
 * The library walks all messages and all connections of a session whenever one
 * of them changes, so the cost of a message grows with everything in flight.
 * A session of its own keeps that to the few messages of one upstream.
 */
#ifndef TRANSPORT_SESSION_POOL_H
#define TRANSPORT_SESSION_POOL_H

#include <glib.h>
#include <libsoup/soup.h>

/* Connections to one upstream, of one session.  */
#define SESSION_MAX_CONNECTIONS 64

/* Idle connections are closed before the upstream closes them, in seconds.  */
#define SESSION_IDLE_TIMEOUT_SEC 30

struct session_pool;

struct session_pool *session_pool_new (void);

/* Drops all sessions; requests in flight keep theirs until they end.  */
void session_pool_free (struct session_pool *pool);

/* The session for the upstream at ADDRESS, "IP:PORT", made when there is none.
   Owned by POOL until the next call of session_pool_sweep ().  */
SoupSession *session_pool_get (struct session_pool *pool, const char *address,
                               gint64 now_us);

/* Drops the sessions that were not asked for lately.  */
void session_pool_sweep (struct session_pool *pool, gint64 now_us);

#endif
