/*
 * Passes callers' requests to the home of their job.
 *
 * Any entry VM answers for any job id.  Only the home, which the id names, may
 * start the job, so a request is never served here in its place.  When the
 * home's process is gone the answer is final: the outcome is unknown.  When
 * the home cannot be reached at present the answer is "unavailable", which
 * says that the outcome is not known yet.  In between the request is sent
 * again: under one id the home starts a job at most once, and gives the same
 * answer to each.
 */
#ifndef TRANSPORT_FORWARD_H
#define TRANSPORT_FORWARD_H

#include "protocol/peer_xdr.h"
#include "transport/home.h"
#include "transport/peer_hub.h"

#include <glib.h>

struct forward;
struct forward_wait;

/* The answer for the caller: a status of HTTP, the seconds of Retry-After or
   0, and a body that lives only during the call.  */
typedef void forward_answer (guint status, guint retry_after_s, GBytes *body,
                             gpointer data);

/* Forwards through HUB, and serves what others forward to HOME.  Both must
   outlive it.  */
struct forward *forward_new (struct peer_hub *hub, struct home *home);

/* Drops every request without an answer.  */
void forward_free (struct forward *forward);

/* Whether ID is a valid job id whose home is not this process.  */
gboolean forward_is_remote_job (struct forward *forward, const char *id);

/*
 * Passes on a request on the job of ID, which is elsewhere.  BODY, for
 * PEER_FORWARD_SUBMIT, is the submission; else NULL.  IS_ASYNC asks for an
 * answer as soon as the job is accepted.  ANSWER is called once from the main
 * loop, later, unless the wait is abandoned before.
 */
struct forward_wait *
forward_send_request (struct forward *forward, peer_forward_method method,
                      const char *id, gboolean is_async, GBytes *body,
                      forward_answer *answer, gpointer data);
void forward_abandon (struct forward_wait *wait);

struct peer_hub *forward_get_hub (const struct forward *forward);

/* Requests that wait for their answer.  */
guint forward_count (const struct forward *forward);

#endif
