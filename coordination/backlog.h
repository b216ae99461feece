/*
 * A backlog: the amount of queued work by the time at which it is due.
 *
 * Times are divided into buckets of BACKLOG_BUCKET_US, and the sums of the
 * next BACKLOG_N_BUCKETS buckets are kept.  Work that is due later is counted
 * in the last of them, and overdue work in a separate sum.  Work is measured
 * in microseconds of slot time.
 */
#ifndef COORDINATION_BACKLOG_H
#define COORDINATION_BACKLOG_H

#include <glib.h>

#define BACKLOG_BUCKET_US (G_GINT64_CONSTANT (250000))
#define BACKLOG_N_BUCKETS 256

struct backlog
{
  gint64 first_bucket; /* the number of the first one that is not overdue:
                          its start in units of BACKLOG_BUCKET_US */
  gint64 overdue_us;   /* work due before first_bucket */
  gint64 work_us[BACKLOG_N_BUCKETS]; /* ring, by bucket number */
};

/* Adds WORK_US due at DUE_US.  Returns the number of the bucket in which it is
   counted, for backlog_remove ().  */
gint64 backlog_add (struct backlog *backlog, gint64 due_us, gint64 work_us,
                    gint64 now_us);

/* Removes WORK_US, which was counted in BUCKET.  */
void backlog_remove (struct backlog *backlog, gint64 bucket, gint64 work_us);

/* The work that is due by the end of the bucket of DUE_US, including overdue
   work.  */
gint64 backlog_sum_us (struct backlog *backlog, gint64 due_us, gint64 now_us);

/*
 * By how much the backlog would exceed the capacity of N_SLOTS slots after
 * adding WORK_US, due at DUE_US.  It is the largest excess at the end of any
 * bucket from that of DUE_US on, in microseconds of slot time; 0 or less means
 * that all work can be done in time.  Only the fraction MAX_LOAD of the slots'
 * time counts as capacity, and BUSY_US of it is already taken.
 */
gint64 backlog_find_excess_us (struct backlog *backlog, gint64 due_us,
                               gint64 work_us, gint64 busy_us, guint n_slots,
                               gdouble max_load, gint64 now_us);

#endif
