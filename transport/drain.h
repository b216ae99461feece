/*
 * Takes this VM out of service without cutting off a request.
 *
 * New jobs are refused as draining, the peers are told, jobs that run are
 * finished, and everyone who waits is answered.  Only then, and not before the
 * refusals have had time to reach the callers, no connection is accepted any
 * more, and the end is told.  At the deadline the jobs that still run are
 * answered as unknown.
 */
#ifndef TRANSPORT_DRAIN_H
#define TRANSPORT_DRAIN_H

#include "transport/caller_server.h"
#include "transport/forward.h"
#include "transport/home.h"
#include "transport/peer_hub.h"

struct drain;

/* What is to be drained.  */
struct drain_parts
{
  struct peer_hub *hub;
  struct home *home;
  struct forward *forward;
  struct caller_server *caller_server;
};

/* Begins to drain PARTS, which must outlive the drain, until DEADLINE_US at
   the latest.  FINISHED is called once, from the main loop.  */
struct drain *drain_new (const struct drain_parts *parts, gint64 deadline_us,
                         void (*finished) (gpointer data), gpointer data);
void drain_free (struct drain *drain);

#endif
