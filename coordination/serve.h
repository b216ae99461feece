/*
 * Starting waiting tasks.
 *
 * Two events let a task start: it is queued while a suitable slot is free, or
 * a slot becomes free while it waits.  Either costs a bounded look at the
 * queues' heads.
 */
#ifndef COORDINATION_SERVE_H
#define COORDINATION_SERVE_H

#include "coordination/dispatcher_private.h"

/* Starts what can start in POOL.  */
void serve_pool (struct dispatcher *dispatcher, struct pool *pool,
                 gint64 now_us);

/* Offers the free slots of UPSTREAM's host to the teams that wait for it,
   fairly, and updates the index of all its upstreams.  */
void serve_upstream (struct dispatcher *dispatcher, struct upstream *upstream,
                     gint64 now_us);

/* Starts what TEAM's quota has held back.  */
void serve_team (struct dispatcher *dispatcher, struct team *team,
                 gint64 now_us);

/* Serves the teams whose quota allows starts again.  */
void serve_throttled (struct dispatcher *dispatcher, gint64 now_us);

/* Serves the upstreams whose rest is over.  */
void serve_rested (struct dispatcher *dispatcher, gint64 now_us);

/* Notes that UPSTREAM's rest may have changed.  */
void serve_note_rest (struct dispatcher *dispatcher, struct upstream *upstream,
                      gint64 now_us);

/* Takes UPSTREAM out of the resting ones, as before it is removed.  */
void serve_forget_rest (struct upstream *upstream);

/* Has the tasks that are bound to UPSTREAM wait for others.  */
void serve_unbind (struct dispatcher *dispatcher, struct upstream *upstream);

/* Takes TASK, which has ended, from its upstream; the slot is not offered
   yet.  Releases the task's reference to it.  */
void serve_release (struct dispatcher *dispatcher, struct task *task,
                    gint64 now_us);

#endif
