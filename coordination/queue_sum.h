/*
 * The queue of a service at all owners together, by their announced rooms:
 * how much waits for slots, how fast it drains and how much there is to share.
 * Does no I/O.
 */
#ifndef COORDINATION_QUEUE_SUM_H
#define COORDINATION_QUEUE_SUM_H

#include "coordination/vm_room.h"

/* There is a queue, for decisions between callers, when it takes longer than
   this to drain: half of the 60 ms of waiting that objectives leave at least.
   With all of them, a flood of urgent jobs left the others 0.78 of their worth
   in the load model (t2190, seed 1), with half 0.95.  */
#define QUEUE_SUM_MIN_MS 30

/* Zeroed memory is a valid sum of no rooms.  */
struct queue_sum
{
  guint n_waiting;        /* queued tasks of any priority, less the free slots
                             of their owners */
  gdouble starts_per_s;   /* of tasks of any priority */
  gdouble capacity_milli; /* of the upstreams, in thousandths of a CPU */
};

/* Adds ROOM to SUM.  */
void queue_sum_add (struct queue_sum *sum, const struct vm_room *room);

/* How long the queue takes to drain, in milliseconds; 0 without a queue.  */
gint64 queue_sum_get_drain_ms (const struct queue_sum *sum);

/* Whether there is a queue; see QUEUE_SUM_MIN_MS.  */
gboolean queue_sum_has_queue (const struct queue_sum *sum);

#endif
