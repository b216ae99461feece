/*
 * The log lines that the home of a job writes: one when the job is accepted,
 * and one when it is answered or its caller has disconnected.
 *
 * Both have a field "trail" that lists what happened to the job's batches.
 * Each step is one word:
 *
 *   MS+BATCH:OWNER:TASKS:FREE_SLOTS:QUEUED:AGE_MS   the batch was sent
 *   MS-BATCH:OWNER:TASKS                            tasks returned unstarted
 *
 * MS is the time since the job was accepted.  AGE_MS is the time since the
 * last beacon of OWNER, on which FREE_SLOTS and QUEUED are based.  A step that
 * does not fit into the line gets a line of its own.
 */
#ifndef TRANSPORT_FLEET_HOME_LOG_H
#define TRANSPORT_FLEET_HOME_LOG_H

#include "coordination/spread.h"
#include "transport/fleet_job.h"

/* JOB was accepted.  Its first batches, numbered from 0, go to those of the
   N_OWNERS OWNERS whose n_given is not 0.  Returns how many of these batches
   are in the log line.  */
guint fleet_home_log_job_accepted (const struct fleet_job *job,
                                   const struct spread_owner *owners,
                                   guint n_owners,
                                   const struct vm_directory *directory);

/* PART is sent to OWNER.  */
void fleet_home_log_batch_sent (const struct fleet_part *part,
                                const struct spread_owner *owner,
                                const struct vm_directory *directory);

/* N_TASKS of PART were returned unstarted; 0 writes nothing.  SELF is the
   name of this VM.  */
void fleet_home_log_tasks_returned (const struct fleet_part *part,
                                    guint n_tasks, const char *self);

/* PART has ended as done, and its owner has named the tasks that are left in
   PART neither as done nor as returned.  SELF is the name of this VM.  */
void fleet_home_log_tasks_ignored (const struct fleet_part *part,
                                   const char *self);

/* JOB is answered with ANSWER, TOOK_US after its acceptance.  OUTCOME is the
   name of the answer's outcome, STATUS the HTTP status.  */
void fleet_home_log_job_answered (const struct fleet_job *job,
                                  const struct fleet_answer *answer,
                                  const char *outcome, guint status,
                                  gint64 took_us);

/* The caller of JOB has disconnected before the answer.  */
void fleet_home_log_caller_gone (const struct fleet_job *job);

#endif
