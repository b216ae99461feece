/*
 * Decides which jobs a home refuses because of the queues, and when their
 * callers are asked to return.  Connects the decisions of
 * coordination/caller_share.h and coordination/retry_spread.h with the VM
 * directory, and counts refusals.
 *
 * Without the settings share_by_caller and spread_retries, a job is refused
 * only when its wait would be longer than its time, and its caller is told how
 * long that wait is.
 */
#ifndef TRANSPORT_FLEET_ADMISSION_H
#define TRANSPORT_FLEET_ADMISSION_H

#include "coordination/caller_share.h"
#include "coordination/spread.h"
#include "protocol/fleet_settings.h"
#include "transport/fleet_owner.h"
#include "transport/route_counts.h"

struct fleet_admission;
struct fleet_answer;
struct fleet_job;

/* A job that is not admitted.  */
struct fleet_refusal
{
  const char *reason; /* static string; NULL if the job is admitted */
  enum refusal_cause cause;
  gint64 retry_after_ms;           /* without a spread until
                                      fleet_admission_plan_retry () */
  struct caller_standing standing; /* of its caller, if that is the cause */
};

/* DIRECTORY and OWNER must outlive the result.  */
struct fleet_admission *
fleet_admission_new (const struct fleet_settings *settings,
                     const struct vm_directory *directory,
                     struct fleet_owner *owner);
void fleet_admission_free (struct fleet_admission *admission);

/* JOB has arrived: counts it as demand of its caller, unless the caller
   retries a job that was refused here.  */
void fleet_admission_note_job (struct fleet_admission *admission,
                               const struct fleet_job *job);

/* Decides on JOB, whose tasks would be spread over OWNERS, struct
   spread_owner, with OFFER.  LONGEST_MS is the longest wait with which they
   are still assigned.  When OFFER has no owner, only the cause is set.  A job
   that is not admitted may be held and judged again.  */
struct fleet_refusal fleet_admission_judge (struct fleet_admission *admission,
                                            const struct fleet_job *job,
                                            const GArray *owners,
                                            const struct spread_offer *offer,
                                            gint64 longest_ms);

/* JOB is refused with REFUSAL, now and not held: spreads its Retry-After, and
   remembers that the job may return.  To be called once for each job.  */
void fleet_admission_plan_retry (struct fleet_admission *admission,
                                 const struct fleet_job *job,
                                 const GArray *owners,
                                 struct fleet_refusal *refusal);

/* Retry-After of JOB, which found no room among OWNERS in time, in
   milliseconds; FALLBACK_MS without the setting spread_retries.  */
gint64 fleet_admission_get_retry_ms (struct fleet_admission *admission,
                                     const struct fleet_job *job,
                                     const GArray *owners, gint64 fallback_ms);

/* JOB is answered with ANSWER after TOOK_US.  */
void fleet_admission_note_answer (struct fleet_admission *admission,
                                  const struct fleet_job *job,
                                  const struct fleet_answer *answer,
                                  gint64 took_us);

/* Takes over what other VMs report of callers.  To be called several times a
   second.  */
void fleet_admission_advance (struct fleet_admission *admission,
                              gint64 now_us);

/* The callers with the largest demand here, for the beacon.  Empty without the
   setting share_by_caller.  */
void fleet_admission_list_callers (const struct fleet_admission *admission,
                                   struct caller_list *list);

/* The counts of routes, with their waiting jobs as of JOBS, a table of struct
   fleet_job.  Owned by ADMISSION.  */
const struct route_counts *
fleet_admission_count_routes (struct fleet_admission *admission,
                              GHashTable *jobs);

#endif
