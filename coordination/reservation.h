/*
 * Reservations: room for tasks that ask for much of an upstream.
 *
 * Small tasks could keep taking what a large one waits for.  A task that has
 * waited for RESERVATION_WAIT_US while a suitable upstream had too little left
 * gets one host reserved: nothing else starts there until enough is free, at
 * most for RESERVATION_MAX_US.  A pool holds one reservation at a time.
 */
#ifndef COORDINATION_RESERVATION_H
#define COORDINATION_RESERVATION_H

#include "coordination/dispatcher_private.h"

#define RESERVATION_WAIT_US (2 * G_GINT64_CONSTANT (1000000))
#define RESERVATION_MAX_US (15 * G_GINT64_CONSTANT (1000000))

/* Reserves UPSTREAM's host when a task of its pool is due that.  */
void reservation_consider (struct upstream *upstream, gint64 now_us);

/* The task for which UPSTREAM's host, which is reserved, is kept, when there
   is room for it on UPSTREAM now; or NULL.  */
struct task *reservation_find_task (const struct upstream *upstream);

/* Gives up the reservation of HOST, if any.  */
void reservation_end (struct host *host, gint64 now_us);

/* Gives up those that are of no use any more, and serves their hosts.  */
void reservations_expire (struct dispatcher *dispatcher, gint64 now_us);

#endif
