/*
 * Reservations prevent the starvation of tasks that need much of an upstream.
 *
 * Small tasks could keep taking the resources that a large task waits for.
 * When a job was accepted RESERVATION_WAIT_US ago and one of its tasks still
 * does not fit beside the tasks on a suitable upstream, the host of that
 * upstream is reserved for the job.  Only tasks of that job start there until
 * one has started, for at most RESERVATION_MAX_US.  A pool has at most one
 * reservation at a time.
 */
#ifndef COORDINATION_RESERVATION_H
#define COORDINATION_RESERVATION_H

#include "coordination/dispatcher_private.h"

/* Time from the acceptance of a job until a host may be reserved for it.  */
#define RESERVATION_WAIT_US (2 * G_GINT64_CONSTANT (1000000))

/* The longest time that a host stays reserved.  */
#define RESERVATION_MAX_US (15 * G_GINT64_CONSTANT (1000000))

/* Reserves UPSTREAM's host when a job of its pool has waited long enough, and
   neither the host nor the pool has a reservation.  */
void reservation_reserve_if_starved (struct upstream *upstream, gint64 now_us);

/* Of the job for which UPSTREAM's host is reserved, a queued task that fits on
   UPSTREAM now, or NULL.  */
struct task *reservation_find_task (const struct upstream *upstream);

/* Ends the reservation of HOST, if any.  */
void reservation_end (struct host *host, gint64 now_us);

/* Ends the reservations that have expired or whose job has no queued task any
   more, and offers the slots of their hosts.  */
void reservations_expire (struct dispatcher *dispatcher, gint64 now_us);

#endif
