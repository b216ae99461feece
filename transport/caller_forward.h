/*
 * Forwards a caller's HTTP request about a job to the job's home, and answers
 * the caller with the home's reply.
 */
#ifndef TRANSPORT_CALLER_FORWARD_H
#define TRANSPORT_CALLER_FORWARD_H

#include "transport/forward.h"

#include <libsoup/soup.h>

/*
 * If the home of job ID is another process, forwards the request to it, pauses
 * MESSAGE until the reply has come, and returns TRUE.  Otherwise, or if
 * FORWARD is NULL, returns FALSE and does nothing.  BODY is the submission for
 * PEER_FORWARD_SUBMIT, which is copied, and NULL for the other methods.
 */
gboolean caller_forward (struct forward *forward, SoupServerMessage *message,
                         peer_forward_method method, const char *id,
                         gboolean is_async, GBytes *body);

#endif
