/*
 * Admission control: accepts or refuses a job before any of its tasks starts.
 *
 * A job is refused at once when it can never run, when the service's queue or
 * the memory that its team may use is full, when its team has no share of its
 * quota on this VM, and when the estimates say that it or jobs accepted before
 * would miss their deadlines.  The unfinished jobs of a team may use no more
 * memory than is free, so that a burst of one team leaves memory for others.
 */
#ifndef COORDINATION_ADMISSION_H
#define COORDINATION_ADMISSION_H

#include "coordination/dispatcher_private.h"

/*
 * Whether JOB is accepted for POOL, which is NULL when its service is unknown.
 * Sets the estimates of an accepted job and its tasks.  If JOB is refused,
 * job->retry_at_us is the time from which the same job may be sent again, or 0
 * when there is no such time.
 */
gboolean admission_check (struct dispatcher *dispatcher, struct pool *pool,
                          struct job *job, gint64 now_us, GError **error);

#endif
