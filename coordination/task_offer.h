/*
 * The tasks of a job that its home offers to several owners.  An owner that
 * has a free slot claims some of them, and the home grants each task to one
 * owner: the owner that has room first runs it.  Does no I/O.
 *
 * After K. Ousterhout et al., "Sparrow: Distributed, Low Latency Scheduling",
 * SOSP 2013: batch sampling with late binding.
 */
#ifndef COORDINATION_TASK_OFFER_H
#define COORDINATION_TASK_OFFER_H

#include <glib.h>

/* The most tasks of one job.  */
#define TASK_OFFER_MAX 130

/* A set of tasks, by their indexes in the job.  */
struct task_set
{
  guint n;
  guint indexes[TASK_OFFER_MAX];
};

/* Adds the N tasks INDEXES, which SET must not contain and must have room
   for.  */
void task_set_add (struct task_set *set, const guint *indexes, guint n);

gboolean task_set_contains (const struct task_set *set, guint index);

/* Removes those of the N tasks INDEXES that SET contains.  */
void task_set_remove (struct task_set *set, const guint *indexes, guint n);

/* Moves up to N tasks of WANTED that are also in OFFERED to GRANTED, which has
   room for N.  Returns their number.  */
guint task_set_grant (struct task_set *wanted, const struct task_set *offered,
                      guint n, guint *granted);

/* Whether a task is both in WANTED and in OFFERED.  */
gboolean task_set_intersects (const struct task_set *wanted,
                              const struct task_set *offered);

#endif
