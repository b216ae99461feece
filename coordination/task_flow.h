/*
 * How the end of an attempt changes its task and its job.
 */
#ifndef COORDINATION_TASK_FLOW_H
#define COORDINATION_TASK_FLOW_H

#include "coordination/dispatcher_private.h"

/* Applies the verdict on END to TASK, which is running; see
   dispatcher_report_attempt ().  */
void task_flow_end_attempt (struct dispatcher *dispatcher, struct task *task,
                            enum attempt_end end, GBytes *output,
                            gint64 now_us);

/* The error of a job whose TASK ended with VERDICT.  */
GError *task_flow_make_error (const struct task *task,
                              const struct attempt_verdict *verdict);

/* Notes a failure of UPSTREAM, and what follows from it for its rack.  */
void task_flow_note_failure (struct dispatcher *dispatcher,
                             struct upstream *upstream, gint64 now_us);

/* Notes a failure of each upstream that has kept a task of JOB, whose
   deadline has passed, far longer than expected.  */
void task_flow_blame_overdue (struct dispatcher *dispatcher, struct job *job,
                              gint64 now_us);

#endif
