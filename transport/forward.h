/*
 * Forwards callers' requests to the home of their job.
 *
 * A caller may ask any entry VM about any job id.  The home of a job is the
 * process that issued the job's id, which names it.  Only the home may start
 * the job, so another VM forwards the request and never serves it itself.
 *
 * When the home's process is gone, the answer is final: the outcome of the job
 * is unknown.  When the home cannot be reached at present, the answer is
 * "unavailable": the outcome is not known yet.  Other failures are retried.
 * Retries are safe since requests are idempotent: the home starts a job at
 * most once under one id and gives the same answer to each request for it.
 */
#ifndef TRANSPORT_FORWARD_H
#define TRANSPORT_FORWARD_H

#include "protocol/peer_xdr.h"
#include "transport/home.h"
#include "transport/peer_hub.h"

#include <glib.h>

struct forward;
struct forward_request;

/* Receives the answer for the caller: the HTTP status, the seconds for
   Retry-After or 0 for none, and the body, which is borrowed.  */
typedef void forward_answer_func (guint status, guint retry_after_s,
                                  GBytes *body, gpointer data);

/* Forwards requests through HUB, and serves the requests that peers forward to
   HOME.  Both must outlive it.  */
struct forward *forward_new (struct peer_hub *hub, struct home *home);

/* Drops every pending request without an answer.  */
void forward_free (struct forward *forward);

/* Whether ID is a valid job id whose home is another process.  */
gboolean forward_is_remote_job (struct forward *forward, const char *id);

/*
 * Forwards a request for the job ID, for which forward_is_remote_job () holds.
 * BODY is the submission for PEER_FORWARD_SUBMIT and NULL for the other
 * methods; a reference is taken.  IS_ASYNC asks for an answer as soon as the
 * job is accepted.  ANSWER is called once, later, from the main loop, unless
 * the request is cancelled before.  The request is freed before that call.
 */
struct forward_request *
forward_send_request (struct forward *forward, peer_forward_method method,
                      const char *id, gboolean is_async, GBytes *body,
                      forward_answer_func *answer, gpointer data);

/* Frees REQUEST without calling its answer function.  The home may still carry
   the request out.  */
void forward_cancel_request (struct forward_request *request);

struct peer_hub *forward_get_hub (const struct forward *forward);

/* The number of requests that wait for their answer.  */
guint forward_count_requests (const struct forward *forward);

#endif
