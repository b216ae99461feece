/*
 * How a job ends: complete, failed, refused at its deadline, or cancelled.
 */
#ifndef COORDINATION_JOB_FLOW_H
#define COORDINATION_JOB_FLOW_H

#include "coordination/dispatcher_private.h"

/* Adds JOB, which has been accepted, to the deadlines.  */
void job_flow_watch_deadline (struct dispatcher *dispatcher, struct job *job);

/* Answers JOB, all of whose tasks are done.  */
void job_flow_complete (struct dispatcher *dispatcher, struct job *job,
                        gint64 now_us);

/*
 * Answers JOB with ERROR, which is owned by the job from now on.  Its waiting
 * tasks are dropped; running ones are asked to stop where that frees more
 * than it costs.
 */
void job_flow_fail (struct dispatcher *dispatcher, struct job *job,
                    GError *error, gint64 now_us);

/*
 * Gives up JOB because of REASON, a sentence without its end: as "not-run"
 * when that is known of every task, otherwise as unknown.
 */
void job_flow_give_up (struct dispatcher *dispatcher, struct job *job,
                       const char *reason, gint64 now_us);

/* Answers the jobs that are due.  */
void job_flow_expire (struct dispatcher *dispatcher, gint64 now_us);

#endif
