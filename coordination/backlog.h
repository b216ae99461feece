/*
 * A backlog: queued work by the time at which it is due.
 *
 * Work is counted in steps of BACKLOG_STEP_US over the next BACKLOG_N_STEPS of
 * them.  What is due later is counted in the last step, what is overdue in one
 * sum of its own.
 */
#ifndef COORDINATION_BACKLOG_H
#define COORDINATION_BACKLOG_H

#include <glib.h>

#define BACKLOG_STEP_US (G_GINT64_CONSTANT (250000))
#define BACKLOG_N_STEPS 256

struct backlog
{
  gint64 first_step; /* of those that are not overdue */
  gint64 overdue_us;
  gint64 work_us[BACKLOG_N_STEPS]; /* a ring, by step */
};

/* Adds WORK_US due at DUE_US.  Returns the step in which it is counted, for
   backlog_remove ().  */
gint64 backlog_add (struct backlog *backlog, gint64 due_us, gint64 work_us,
                    gint64 now_us);

void backlog_remove (struct backlog *backlog, gint64 step, gint64 work_us);

/* The work due until DUE_US, overdue work included.  */
gint64 backlog_sum_us (struct backlog *backlog, gint64 due_us, gint64 now_us);

/*
 * By how much WORK_US more, due at DUE_US, is too much for N_SLOTS: the
 * largest excess of work over capacity until any time from then on, in
 * microseconds of slot time; 0 or less when all can be done.  The slots do
 * SPEED of work in each unit of time, and BUSY_US are taken before.
 */
gint64 backlog_find_excess_us (struct backlog *backlog, gint64 due_us,
                               gint64 work_us, gint64 busy_us, guint n_slots,
                               gdouble speed, gint64 now_us);

#endif
