/*
 * HTTP calls to one server, each with its own timeout.
 *
 * The timeout detects connections that have gone silent.  After a call without
 * a complete answer, later calls use new connections.  A call without an
 * answer may have been processed by the server.
 *
 * This module also records when calls have failed, because data that is read
 * around such a time may be incomplete.
 */
#ifndef TRANSPORT_SERVER_CALLS_H
#define TRANSPORT_SERVER_CALLS_H

#include "transport/http_body.h"

#include <glib.h>
#include <libsoup/soup.h>

struct server_calls;

/* Called when the server starts or stops answering.  */
typedef void server_reachability_func (gboolean is_reached, gpointer data);

/* Calls to one server, which counts as not reached until its first answer.
   CHANGED is called with DATA on each change.  */
struct server_calls *server_calls_new (server_reachability_func *changed,
                                       gpointer data);

/* Cancels all calls; their callbacks are not called.  */
void server_calls_free (struct server_calls *calls);

/* Sends MESSAGE.  ANSWERED is called once from the main loop with DATA, after
   at most TIMEOUT_MS; with status 0 and a NULL body if there was no complete
   answer.  */
void server_calls_send (struct server_calls *calls, SoupMessage *message,
                        guint timeout_ms, http_body_done_func *answered,
                        gpointer data);

/* Whether an answer with STATUS shows that the server has processed the call:
   it is neither 0 (no answer), 429 nor 5xx.  Otherwise the same call may be
   sent again.  */
gboolean server_calls_is_processed (guint status);

/* Records a failure now: an answer has shown that the server lost data.  */
void server_calls_note_failure (struct server_calls *calls);

/* Whether since SINCE_US, a reading of clock_now_us (), a call was refused or
   not answered, or server_calls_note_failure () was called.  */
gboolean server_calls_has_failed_since (const struct server_calls *calls,
                                        gint64 since_us);

#endif
