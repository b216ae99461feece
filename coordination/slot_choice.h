/*
 * Which upstream a task gets, among those that can start it at once.
 *
 * An upstream on which the task ends within its objective goes before one on
 * which it would be late.  Of these the fastest is chosen, which ends the task
 * soonest; when little room is free, the slowest, so that the fast ones are
 * left to tasks that need them.  Of upstreams of about the same speed, the one
 * is chosen that has the fewest CPUs left, so that room for large tasks
 * remains.
 *
 * A task that would be late on each of them, but not on a faster one of this
 * owner that is busy, gets none while an ordinary upstream could still run it
 * in time.
 *
 * A task of which a run has failed goes to an upstream that has recently
 * completed runs and is not on probation, and not to the one where it failed.
 * While such an upstream is only busy, the task waits for it as long as a
 * start is of use.  While there is none, it waits as long as it could still
 * end within its objective, and avoids those on probation for the time of a
 * run more.  Then it goes to the best one that there is.  A task with a single
 * attempt prefers such upstreams as well, without waiting.
 *
 * The upstreams are passed in one by one, so that a choice takes one pass.
 * Does no I/O.
 */
#ifndef COORDINATION_SLOT_CHOICE_H
#define COORDINATION_SLOT_CHOICE_H

#include <glib.h>

/* From this slowness on an upstream counts as slow, and up to its inverse as
   fast.  Estimates of ordinary ones differ from 1 by less.  */
#define SLOT_SLOW 1.15

/* The task.  */
struct slot_task
{
  gint64 now_us;
  gint64 run_us;            /* expected on an ordinary upstream */
  gint64 start_by_us;       /* latest start there that meets the objective */
  gint64 end_by_us;         /* latest start that is of use */
  gboolean may_wait;        /* for a faster upstream, here or elsewhere */
  gboolean has_failed;      /* a run of it has failed */
  gboolean is_last_attempt; /* one more failure ends its job */
};

/* An upstream.  */
struct slot_candidate
{
  gpointer upstream;
  gdouble slowness;         /* the time of the task there by run_us */
  gdouble cpus;             /* in all */
  gdouble free_cpus;        /* without the task */
  gint64 succeeded_us;      /* when a run there last ended with success; 0 if
                               none has since the last failure */
  gboolean has_room;        /* can start the task now */
  gboolean is_on_probation; /* see struct owned_upstream */
  gboolean has_failed_task; /* a run of the task has failed there */
};

/* The best upstream so far, by one order.  */
struct slot_best
{
  gpointer upstream; /* NULL for none */
  gdouble cost;      /* the lowest is best */
  gboolean is_late;  /* the task would miss its objective there */
  gboolean is_proven;
  gboolean is_on_probation;
};

struct slot_choice
{
  struct slot_task task;
  struct slot_best fastest;
  struct slot_best slowest; /* of those on which the task is in time */
  gboolean has_faster;      /* the task would be in time on some upstream, busy
                               ones included */
  gboolean has_proven;      /* some upstream is proven, busy ones included */
  gdouble cpus;             /* of all upstreams */
  gdouble free_cpus;
};

/* Begins a choice for TASK.  */
void slot_choice_init (struct slot_choice *choice,
                       const struct slot_task *task);

/* Adds CANDIDATE.  */
void slot_choice_add (struct slot_choice *choice,
                      const struct slot_candidate *candidate);

/* Why a task gets no upstream.  */
enum slot_wait
{
  SLOT_FOUND,
  SLOT_NONE_FREE,
  SLOT_WAIT_FASTER, /* it would be late on those that have room */
  SLOT_WAIT_PROVEN, /* it has failed, and none of those has succeeded lately */
};

/* Sets *UPSTREAM to the best upstream, or to NULL if the task has to wait.  */
enum slot_wait slot_choice_get (const struct slot_choice *choice,
                                gpointer *upstream);

#endif
