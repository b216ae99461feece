/*
 * The room for tasks of one service at one owner, as its VM announces it to
 * the others: what would start at once, and how long the rest would wait. Does
 * no I/O.
 */
#ifndef COORDINATION_VM_ROOM_H
#define COORDINATION_VM_ROOM_H

#include "coordination/owner.h"

/* The room for tasks of one service on the upstreams that a VM owns.  */
struct vm_room
{
  guint64 service_hash;            /* of the service's name */
  guint n_slots;                   /* tasks of typical size that fit at all */
  struct free_slots free_slots;    /* tasks that would start at once */
  guint n_queued[ROOM_PRIORITIES]; /* tasks that aren't late, by priority */
  guint starts_per_s[ROOM_PRIORITIES]; /* lately, by priority */
  guint ends_per_s; /* of runs, as expected of those that are running */
};

/* Fills ROOM from OWN, the room for SERVICE on this VM's upstreams.  */
void vm_room_init (struct vm_room *room, const char *service,
                   const struct owner_room *own);

/* The queued tasks in ROOM that go before a new one of PRIORITY.  */
guint vm_room_count_ahead (const struct vm_room *room, guint priority);

/* How long a task of PRIORITY waits until N_AHEAD tasks, itself included, have
   left the queue of ROOM, in milliseconds.  RUN_MS is the run time of a task,
   for a room where nothing was started lately.  */
gint64 vm_room_estimate_wait_ms (const struct vm_room *room, guint n_ahead,
                                 guint priority, guint run_ms);

/* Tasks that were just handed to an owner.  */
struct room_tasks
{
  guint n;
  gdouble cpus; /* that each needs */
  guint priority;
  gboolean is_late; /* they go after all others */
};

/* Subtracts TASKS from ROOM.  Those without a free slot are added to its
   queue, unless they are late.  */
void vm_room_take (struct vm_room *room, const struct room_tasks *tasks);

#endif
