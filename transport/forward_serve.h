/*
 * The home's side of forwarded requests.
 */
#ifndef TRANSPORT_FORWARD_SERVE_H
#define TRANSPORT_FORWARD_SERVE_H

#include "transport/peer_service.h"

#include "state/job_id.h"

/* Serves PEER_FORWARD; DATA is the struct home.  */
void forward_serve (struct peer_request *request, const void *arguments,
                    gpointer data);

/* What is said of a job whose home is gone.  The caller owns it.  */
GError *forward_lost_error (const struct job_id *id);

#endif
