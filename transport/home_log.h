/*
 * What the home of jobs tells in the log: one line when a job comes, and one
 * when it is answered or its caller has gone.
 *
 * Both have a member "trail" that tells of the job's batches, each step a
 * word:
 *
 *   MS+BATCH:OWNER:TASKS:FREE_SLOTS:QUEUED:AGE_MS   it was sent
 *   MS-BATCH:OWNER:TASKS                            tasks came back unstarted
 *
 * MS counts from the job's acceptance, AGE_MS from when OWNER was heard last.
 * Steps that a line has no room for get lines of their own.
 */
#ifndef TRANSPORT_HOME_LOG_H
#define TRANSPORT_HOME_LOG_H

#include "coordination/spread.h"
#include "transport/fleet_job.h"

/* JOB comes; its first batches, from 0 on, go to those of the N_OWNERS OWNERS
   that are given tasks.  Returns how many of the batches the line tells of. */
guint home_log_job_accepted (const struct fleet_job *job,
                             const struct spread_owner *owners, guint n_owners,
                             const struct vm_directory *directory);

/* PART goes to OWNER.  */
void home_log_batch_sent (const struct fleet_part *part,
                          const struct spread_owner *owner,
                          const struct vm_directory *directory);

/* N_TASKS of PART come back unstarted.  SELF is the name of this VM.  */
void home_log_tasks_returned (const struct fleet_part *part, guint n_tasks,
                              const char *self);

/* JOB is answered by STATUS, after TOOK_US.  OUTCOME is the name of that of
   ANSWER.  */
void home_log_job_answered (const struct fleet_job *job,
                            const struct fleet_answer *answer,
                            const char *outcome, guint status, gint64 took_us);

void home_log_caller_gone (const struct fleet_job *job);

#endif
