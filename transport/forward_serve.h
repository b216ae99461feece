/*
 * Serves the requests that peers forward to the home of a job.
 */
#ifndef TRANSPORT_FORWARD_SERVE_H
#define TRANSPORT_FORWARD_SERVE_H

#include "transport/peer_service.h"

#include "state/job_id.h"

/* A peer_handler_func for PEER_FORWARD.  DATA is the struct home.  */
void forward_serve (struct peer_request *request, const void *arguments,
                    gpointer data);

/* A new error ERROR_UNKNOWN for a job whose home process is gone.  The caller
   owns it.  */
GError *forward_make_lost_error (const struct job_id *id);

#endif
