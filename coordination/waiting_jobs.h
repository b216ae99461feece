/*
 * The jobs of a home that wait because no owner has slots for them.  Does no
 * I/O.
 *
 * A job waits until its end_by_us at the latest.  Jobs that can still meet
 * their objectives go before those that can only be late.  Within each, the
 * more urgent priority goes first, then the earlier latest start.
 *
 * When slots become known, all homes learn of them at the same time.  So in
 * one round a home assigns only its share of the tasks that the slots start
 * until the next one.  The job that exceeds the share is assigned at random,
 * with a probability at which the homes together assign as many as are
 * started. Jobs that would not start in time are left out.
 *
 * Jobs that can only be late get slots that jobs in time leave over: free
 * ones, and no more than keep those slots busy that the jobs in time which
 * arrived lately do not need.  Those for which that is too little are
 * hopeless.
 *
 * The jobs are bounded in number and bytes.  When a bound is exceeded, the
 * last jobs in the order have to be refused.
 */
#ifndef COORDINATION_WAITING_JOBS_H
#define COORDINATION_WAITING_JOBS_H

#include "base/clock.h"
#include "base/list.h"
#include "coordination/slot_demand.h"
#include "coordination/vm_room.h"

#include <glib.h>

/* The interval between two rounds, in which waiting jobs are assigned: the
   shortest one between two beacons of an owner.  */
#define WAITING_ROUND_US (50 * USEC_PER_MSEC)

/* Embedded in a job that may wait.  Times are readings of clock_now_us ().  */
struct waiting_job
{
  struct list_node link;
  guint64 service_hash;
  guint n_tasks;
  guint run_ms;       /* estimate for each task */
  guint priority;     /* 0 is the most urgent */
  gint64 start_by_us; /* latest start to meet the objective */
  gint64 end_by_us;   /* latest start to be of use */
  gint64 since_us;    /* when it began to wait */
  gsize n_bytes;      /* memory that it takes */
};

struct waiting_jobs
{
  struct list_node jobs; /* struct waiting_job by link, oldest first */
  guint n;
  gsize n_bytes;
  guint max_jobs; /* 0: no job may wait */
  gsize max_bytes;
};

/* What the owners have announced for one service, to assign jobs by.  */
struct waiting_slots
{
  struct vm_room pool;  /* sum over the owners */
  guint n_free;         /* tasks that would start at once */
  guint n_homes;        /* that assign tasks by the same announcements, this
                           one included; at least 1 */
  gdouble n_needed;     /* slots that jobs in time keep busy, of all homes */
  gdouble n_expected;   /* slots once those that are expected have become
                           available */
  gboolean is_complete; /* no more are expected: jobs that can be in time wait
                           no longer */
  guint64 seed;         /* of the random choice; must differ for each
                           call */
};

/* Fills in n_needed, n_expected and is_complete of SLOTS, of which the rest is
   set.  DEMAND is that of this home for the service with SERVICE_HASH;
   N_OWNERS have announced slots for it.  */
void waiting_slots_set_demand (struct waiting_slots *slots,
                               const struct slot_demand *demand,
                               guint64 service_hash, guint n_owners,
                               gboolean is_complete, gint64 now_us);

void waiting_jobs_init (struct waiting_jobs *jobs, guint max_jobs,
                        gsize max_bytes);

/* Initializes the link of JOB, which does not wait.  */
void waiting_job_init (struct waiting_job *job);

gboolean waiting_job_is_waiting (const struct waiting_job *job);

/* Adds JOB, whose members but the link are set.  The bounds may be exceeded
   then, see waiting_jobs_find_excess ().  */
void waiting_jobs_add (struct waiting_jobs *jobs, struct waiting_job *job);

/* Removes JOB.  Has no effect when it does not wait.  */
void waiting_jobs_remove (struct waiting_jobs *jobs, struct waiting_job *job);

/* The job that has to be refused because the bounds are exceeded, the last one
   in the order, or NULL.  To be called until it returns NULL, as each refused
   job has been removed.  */
struct waiting_job *waiting_jobs_find_excess (const struct waiting_jobs *jobs,
                                              gint64 now_us);

/* A job that can no longer be started in time to be of use, or NULL.  */
struct waiting_job *waiting_jobs_find_expired (const struct waiting_jobs *jobs,
                                               gint64 now_us);

/* Whether a job for the service of JOB, which does not wait itself, waits that
   goes before it.  */
gboolean waiting_jobs_precede (const struct waiting_jobs *jobs,
                               const struct waiting_job *job, gint64 now_us);

/* Whether JOB can only be late.  */
gboolean waiting_job_is_late (const struct waiting_job *job, gint64 now_us);

/* The jobs for the service with SERVICE_HASH, struct waiting_job, that can
   only be late and would not be started in time to be of use, as SLOTS are.
   None without any slots.  */
GPtrArray *waiting_jobs_list_hopeless (const struct waiting_jobs *jobs,
                                       guint64 service_hash,
                                       const struct waiting_slots *slots,
                                       gint64 now_us);

/* The jobs for the service with SERVICE_HASH, struct waiting_job, in their
   order.  */
GPtrArray *waiting_jobs_list (const struct waiting_jobs *jobs,
                              guint64 service_hash, gint64 now_us);

/* The jobs for the service with SERVICE_HASH to assign to SLOTS now, struct
   waiting_job, in their order.  They are not removed.  */
GPtrArray *waiting_jobs_select (const struct waiting_jobs *jobs,
                                guint64 service_hash,
                                const struct waiting_slots *slots,
                                gint64 now_us);

#endif
