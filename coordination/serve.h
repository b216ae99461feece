/*
 * Starts queued tasks on upstreams with free slots.
 *
 * A task starts when it is queued while a suitable slot is free, or when a
 * slot becomes free while it waits.  In both cases only a bounded number of
 * jobs at the heads of the lanes is examined.
 */
#ifndef COORDINATION_SERVE_H
#define COORDINATION_SERVE_H

#include "coordination/dispatcher_private.h"

/* Starts the queued tasks of POOL that can start now.  */
void serve_pool (struct dispatcher *dispatcher, struct pool *pool,
                 gint64 now_us);

/* Starts tasks on the free slots of UPSTREAM's host, which are shared fairly
   between the pools of its upstreams; see coordination/host.h.  Updates the
   indexes of the upstreams.  */
void serve_upstream (struct dispatcher *dispatcher, struct upstream *upstream,
                     gint64 now_us);

/* Starts the queued tasks of TEAM that its quota now allows.  */
void serve_team (struct dispatcher *dispatcher, struct team *team,
                 gint64 now_us);

/* Serves the throttled teams once throttle_retry_us has passed.  */
void serve_throttled (struct dispatcher *dispatcher, gint64 now_us);

/* Serves the upstreams whose rest has ended.  */
void serve_rested (struct dispatcher *dispatcher, gint64 now_us);

/* Updates the dispatcher's resting upstreams and the pool's index after a
   change of UPSTREAM's health.  */
void serve_update_rest (struct dispatcher *dispatcher,
                        struct upstream *upstream, gint64 now_us);

/* Removes UPSTREAM from the dispatcher's resting upstreams.  */
void serve_clear_rest (struct upstream *upstream);

/* Requeues the tasks that are bound to UPSTREAM, so that they are bound to
   other upstreams.  */
void serve_requeue_bound_tasks (struct dispatcher *dispatcher,
                                struct upstream *upstream);

/* Frees the slot of TASK, whose attempt has ended, and releases the task's
   reference to its upstream.  Starts no other task on the slot.  */
void serve_release_task (struct dispatcher *dispatcher, struct task *task,
                         gint64 now_us);

#endif
