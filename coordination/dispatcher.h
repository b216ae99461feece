/*
 * The dispatcher: accepts jobs, decides where and when their tasks start,
 * and finishes each job once, complete or failed.
 *
 * Free of I/O.  The owner feeds it typed events together with a reading of
 * clock_now_us (), and the dispatcher answers through the driver's table of
 * actions.  Actions may be taken from within any event call; a driver must
 * not call back into the dispatcher from inside an action, with the exception
 * that finish_job may release references.
 *
 * A task is handed to at most one upstream for which the outcome is not a
 * definite "did not run"; see coordination/outcome.h.
 */
#ifndef COORDINATION_DISPATCHER_H
#define COORDINATION_DISPATCHER_H

#include "coordination/outcome.h"
#include "state/document.h"
#include "state/job.h"
#include "state/job_table.h"
#include "state/upstream.h"

#include <glib.h>

struct dispatcher;
struct dispatcher_driver;

struct dispatcher_driver_ops
{
  /*
   * Starts TASK on task->upstream.  The driver holds on to the job until it
   * reports the outcome, and checks dispatcher_may_send () right before it
   * writes.
   */
  void (*start_task) (struct dispatcher_driver *driver, struct task *task);

  /* Asks the upstream to stop TASK, which is running.  */
  void (*stop_task) (struct dispatcher_driver *driver, struct task *task);

  /* Renews the leases of all tasks that run on UPSTREAM.  */
  void (*renew_leases) (struct dispatcher_driver *driver,
                        struct upstream *upstream);

  /* JOB is complete or failed; its answer is due.  Called once a job.  */
  void (*finish_job) (struct dispatcher_driver *driver, struct job *job);

  /* Calls dispatcher_run_timers () at WHEN_US; replaces the time set before.
   */
  void (*wake_at) (struct dispatcher_driver *driver, gint64 when_us);
};

/* The first member of every driver.  */
struct dispatcher_driver
{
  const struct dispatcher_driver_ops *ops;
};

struct dispatcher_config
{
  guint32 seed;                  /* of the random generator */
  gsize max_bytes;               /* of all jobs kept */
  const char *availability_zone; /* own; copied */
};

/* A new dispatcher.  DRIVER must outlive it.  */
struct dispatcher *dispatcher_new (struct dispatcher_driver *driver,
                                   const struct dispatcher_config *config);
void dispatcher_free (struct dispatcher *dispatcher);

/* Puts DOCUMENT in force; takes a reference.  */
void dispatcher_apply_document (struct dispatcher *dispatcher,
                                struct document *document, gint64 now_us);

/* The document in force of TEAM, or NULL.  Not referenced.  */
struct document *dispatcher_find_document (struct dispatcher *dispatcher,
                                           const char *team);

/* The documents in force, team -> struct document.  Owned by DISPATCHER.  */
GHashTable *dispatcher_get_documents (struct dispatcher *dispatcher);

/*
 * Accepts JOB, taking a reference, or refuses it: on FALSE no task of it was
 * started, and ERROR is of a kind that says so.  job->retry_at_us is then the
 * time, on the dispatcher's clock, from which the same job may be sent again;
 * 0 when that is of no use.  The same holds for an accepted job that ends with
 * a kind which says that it was not run.
 */
gboolean dispatcher_submit (struct dispatcher *dispatcher, struct job *job,
                            gint64 now_us, GError **error);

/*
 * Whether the request that starts TASK may still be written.  When FALSE the
 * driver reports ATTEMPT_NOT_SENT.
 */
gboolean dispatcher_may_send (const struct dispatcher *dispatcher,
                              const struct task *task, gint64 now_us);

/* Tells how the attempt on TASK ended; OUTPUT, for a task that is done, is
   referenced.  Called once for each start_task; a report on a task that is
   not running is ignored.  */
void dispatcher_report_attempt (struct dispatcher *dispatcher,
                                struct task *task, enum attempt_end end,
                                GBytes *output, gint64 now_us);

/* Tells that the leases of UPSTREAM's tasks hold until DEADLINE_US.  */
void dispatcher_note_lease_renewed (struct dispatcher *dispatcher,
                                    struct upstream *upstream,
                                    gint64 deadline_us);

/* Tells that the upstream no longer runs TASK under its lease, although it has
   renewed others: the lease is let lapse.  */
void dispatcher_note_lease_refused (struct dispatcher *dispatcher,
                                    struct task *task);

/*
 * Cancels JOB.  After the call none of its tasks starts.  Returns FALSE when
 * the job had finished before.
 */
gboolean dispatcher_cancel (struct dispatcher *dispatcher, struct job *job,
                            gint64 now_us);

/* Marks the upstreams of that name, also those of later documents, as leaving,
   or as back.  */
void dispatcher_set_leaving (struct dispatcher *dispatcher, const char *name,
                             gboolean is_leaving, gint64 now_us);

/* Refuses every new job from now on.  */
void dispatcher_drain (struct dispatcher *dispatcher, gint64 now_us);
gboolean dispatcher_is_draining (const struct dispatcher *dispatcher);

/* Jobs that are not finished plus tasks that still occupy an upstream.  */
guint dispatcher_count_unfinished (const struct dispatcher *dispatcher);

/*
 * Tells how far Unix time is ahead of the dispatcher's clock, in microseconds;
 * called at the start and whenever the wall clock has been stepped.  Without
 * it no shutdown date is kept.
 */
void dispatcher_set_unix_offset (struct dispatcher *dispatcher,
                                 gint64 offset_us, gint64 now_us);

/*
 * Tells how many entry VMs share the quotas, and which of them this is, from
 * 0.  Without it this VM takes itself for the only one.
 */
void dispatcher_set_vm_count (struct dispatcher *dispatcher, guint n_vms,
                              guint own_index, gint64 now_us);

/* Grants this VM a share of TEAM's quota until DEADLINE_US; see
   coordination/quota.h for what holds without one.  */
void dispatcher_set_quota_share (struct dispatcher *dispatcher,
                                 const char *team, guint slots,
                                 guint starts_per_second, gint64 deadline_us,
                                 gint64 now_us);

/*
 * Grants this VM SHARE of the slots of an upstream of POOL_KEY, which is
 * "team/service", until DEADLINE_US.  Once a share has lapsed, the VM keeps at
 * most its even part of the slots.
 */
void dispatcher_set_slot_share (struct dispatcher *dispatcher,
                                const char *pool_key,
                                const char *upstream_name, guint share,
                                gint64 deadline_us, gint64 now_us);

/* What a service wants and has on this VM, for the exchange of shares.  */
struct dispatcher_load
{
  guint n_queued;        /* tasks */
  guint n_running;       /* tasks */
  guint n_slots;         /* slots of upstreams in use */
  gint64 queued_work_us; /* estimated slot time of the queued tasks */
  gint64 wait_us;        /* estimated wait of a task that comes now */
};

/* Fills *LOAD for POOL_KEY, "team/service".  Returns FALSE when there is
   none.  */
gboolean dispatcher_get_load (struct dispatcher *dispatcher,
                              const char *pool_key,
                              struct dispatcher_load *load);

/*
 * Passes the time: deadlines, leases, expiry.  When it is called late, as
 * after a pause of the process, nothing is judged before a second call shortly
 * after, so that the owner can report what its sockets hold.
 */
void dispatcher_run_timers (struct dispatcher *dispatcher, gint64 now_us);

/* The jobs, for lookups by id.  Owned by DISPATCHER.  */
struct job_table *dispatcher_get_jobs (struct dispatcher *dispatcher);

#endif
