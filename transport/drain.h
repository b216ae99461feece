/*
 * Takes this VM out of service without cutting off a request.
 *
 * During the drain new jobs are refused with ERROR_DRAINING, the peers are
 * told that this VM is leaving, running jobs are finished and every waiting
 * caller is answered.  Jobs are refused for at least a minimum time, so that
 * callers learn of the drain.  After that, and once nothing is left to answer,
 * the VM stops accepting connections and the drain is finished.  Jobs that
 * still run at the deadline are aborted: see home_abort_jobs ().
 */
#ifndef TRANSPORT_DRAIN_H
#define TRANSPORT_DRAIN_H

#include "transport/caller_server.h"
#include "transport/forward.h"
#include "transport/home.h"
#include "transport/peer_hub.h"

struct drain;

/* The parts of the process that a drain acts on.  */
struct drain_parts
{
  struct peer_hub *hub;
  struct home *home;
  struct forward *forward;
  struct caller_server *caller_server;
};

/* Starts to drain PARTS, whose members must outlive the drain.  Jobs that
   still run at DEADLINE_US, a reading of clock_now_us (), are aborted.
   FINISHED is called once from the main loop with DATA, at the latest about
   two seconds after the deadline, or after the minimum time for refusals if
   that ends later.  */
struct drain *drain_new (const struct drain_parts *parts, gint64 deadline_us,
                         void (*finished) (gpointer data), gpointer data);
void drain_free (struct drain *drain);

#endif
