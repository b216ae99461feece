/*
 * The end of a job: complete, failed, past its deadline, or cancelled.
 */
#ifndef COORDINATION_JOB_FLOW_H
#define COORDINATION_JOB_FLOW_H

#include "coordination/dispatcher_private.h"

/* Adds JOB, which has been accepted, to the dispatcher's deadlines.  */
void job_flow_add_deadline (struct dispatcher *dispatcher, struct job *job);

/* Ends JOB, all of whose tasks are done, as complete.  */
void job_flow_complete (struct dispatcher *dispatcher, struct job *job,
                        gint64 now_us);

/*
 * Ends JOB as failed with ERROR, which the job owns from then on.  Its queued
 * tasks are dropped.  Its running tasks are asked to stop, except for those
 * that are expected to end soon anyway.
 */
void job_flow_fail (struct dispatcher *dispatcher, struct job *job,
                    GError *error, gint64 now_us);

/*
 * Ends JOB as failed because of REASON, a clause without a full stop.  The
 * kind of the error is ERROR_NOT_RUN when certainly no task ran, otherwise
 * ERROR_UNKNOWN.
 */
void job_flow_give_up (struct dispatcher *dispatcher, struct job *job,
                       const char *reason, gint64 now_us);

/* Ends the jobs whose deadline has passed, and those that have not started
   and can no longer meet it.  */
void job_flow_expire (struct dispatcher *dispatcher, gint64 now_us);

#endif
