/*
 * Admission: whether a job is accepted, before any of its tasks starts.
 *
 * A job is refused at once when it can never run, when the queue or the
 * memory that its team may use is full, and when its deadline cannot be met
 * by the estimates.  The memory that a team's unfinished jobs may take shrinks
 * with what is left, so that a burst of one team leaves room for the others.
 */
#ifndef COORDINATION_ADMISSION_H
#define COORDINATION_ADMISSION_H

#include "coordination/dispatcher_private.h"

/*
 * Accepts or refuses JOB for POOL, which may be NULL.  Sets the estimates of
 * its tasks.  When refused, job->retry_at_us is the time from which the same
 * job may be sent again, 0 when that is of no use.
 */
gboolean admission_check (struct dispatcher *dispatcher, struct pool *pool,
                          struct job *job, gint64 now_us, GError **error);

#endif
