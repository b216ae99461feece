/*
 * The end of an attempt: updates its task, its job and the upstream's health.
 */
#ifndef COORDINATION_TASK_FLOW_H
#define COORDINATION_TASK_FLOW_H

#include "coordination/dispatcher_private.h"

/* Ends the attempt to run TASK, which is running, with END; see
   dispatcher_report_attempt ().  */
void task_flow_end_attempt (struct dispatcher *dispatcher, struct task *task,
                            enum attempt_end end, GBytes *output,
                            gint64 now_us);

/* The error of a job that fails because its TASK ended with VERDICT.  Free
   with g_error_free ().  */
GError *task_flow_make_error (const struct task *task,
                              const struct attempt_verdict *verdict);

/* Records a failure of UPSTREAM in its health, and limits the upstreams of its
   rack when several of them have failed.  */
void task_flow_note_failure (struct dispatcher *dispatcher,
                             struct upstream *upstream, gint64 now_us);

/* Records a failure for each running task of JOB, whose deadline has passed,
   that has run far longer than estimated.  */
void task_flow_note_overdue (struct dispatcher *dispatcher, struct job *job,
                             gint64 now_us);

#endif
