/*
 * Lets a caller of HTTP wait for an answer from the home of its job.
 */
#ifndef TRANSPORT_CALLER_FORWARD_H
#define TRANSPORT_CALLER_FORWARD_H

#include "transport/forward.h"

#include <libsoup/soup.h>

/*
 * When the job ID has its home elsewhere, passes the request on, pauses
 * MESSAGE until its answer is there, and returns TRUE.  BODY, for
 * PEER_FORWARD_SUBMIT, is copied; else NULL.  FORWARD may be NULL.
 */
gboolean caller_forward (struct forward *forward, SoupServerMessage *message,
                         peer_forward_method method, const char *id,
                         gboolean is_async, GBytes *body);

#endif
