/*
 * HTTP calls to one server, each with a deadline of its own.
 *
 * The deadline notices a connection that has gone silent; after a call without
 * a whole answer, later calls use fresh connections.  A call without an answer
 * may have been carried out.
 *
 * Account is kept of how well the server answers: what is read while it is in
 * trouble may be incomplete.
 */
#ifndef TRANSPORT_SERVER_CALLS_H
#define TRANSPORT_SERVER_CALLS_H

#include "transport/http_body.h"

#include <glib.h>
#include <libsoup/soup.h>

struct server_calls;

/* The server begins or ceases to answer.  */
typedef void server_reachability_changed (gboolean is_reached, gpointer data);

/* Calls to a server that counts as not reached before its first answer, which
   CHANGED then tells with DATA.  */
struct server_calls *server_calls_new (server_reachability_changed *changed,
                                       gpointer data);

/* Cancels all calls; their functions are not called.  */
void server_calls_free (struct server_calls *calls);

/* Sends MESSAGE.  ANSWERED is called once from the main loop, after at most
   TIMEOUT_MS, with status 0 and no body when there was no whole answer.  */
void server_calls_send (struct server_calls *calls, SoupMessage *message,
                        guint timeout_ms, http_body_done_func *answered,
                        gpointer data);

/* Whether STATUS says that the server has taken the call up; otherwise the
   same call may be sent again.  */
gboolean server_calls_is_processed (guint status);

/* The server has shown that it forgot or lost something.  */
void server_calls_note_failure (struct server_calls *calls);

/* Whether a call was refused or not answered, or trouble was noted, since
   SINCE_US.  */
gboolean server_calls_has_failed_since (const struct server_calls *calls,
                                        gint64 since_us);

#endif
