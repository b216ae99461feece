/*
 * The dispatcher: accepts jobs, decides on which upstream and when their tasks
 * start, and finishes each job exactly once, as complete or failed.
 *
 * It does no I/O.  The caller reports events by calling the functions below
 * with a reading of clock_now_us () as NOW_US, and the dispatcher acts through
 * the driver's operations.  Any of these functions may call any operation.  An
 * operation must not call back into the dispatcher, except that finish_job may
 * release references.
 *
 * A task is sent to another upstream only when it certainly did not run on the
 * upstreams before; see coordination/outcome.h.
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
   * Starts TASK on task->upstream.  The job stays referenced until the driver
   * calls dispatcher_report_attempt ().  The driver checks
   * dispatcher_may_send () right before it writes the request.
   */
  void (*start_task) (struct dispatcher_driver *driver, struct task *task);

  /* Asks the upstream to stop TASK, which is running.  */
  void (*stop_task) (struct dispatcher_driver *driver, struct task *task);

  /* Renews the leases of all tasks that run on UPSTREAM.  */
  void (*renew_leases) (struct dispatcher_driver *driver,
                        struct upstream *upstream);

  /* JOB is complete or failed: sends its answer.  Called once per job.  */
  void (*finish_job) (struct dispatcher_driver *driver, struct job *job);

  /* Calls dispatcher_run_timers () at WHEN_US.  Replaces the time of any
     earlier call.  */
  void (*wake_at) (struct dispatcher_driver *driver, gint64 when_us);
};

/* The first member of every driver.  */
struct dispatcher_driver
{
  const struct dispatcher_driver_ops *ops;
};

struct dispatcher_config
{
  guint32 seed;                  /* of the random number generator */
  gsize max_bytes;               /* memory for all jobs kept */
  const char *availability_zone; /* of this VM, or NULL; copied */
};

/* A new dispatcher.  DRIVER must outlive it.  */
struct dispatcher *dispatcher_new (struct dispatcher_driver *driver,
                                   const struct dispatcher_config *config);
void dispatcher_free (struct dispatcher *dispatcher);

/* Applies DOCUMENT, taking a reference, unless the team's document in force
   has the same or a later version.  */
void dispatcher_apply_document (struct dispatcher *dispatcher,
                                struct document *document, gint64 now_us);

/* The document in force of TEAM, or NULL.  Owned by DISPATCHER.  */
struct document *dispatcher_find_document (struct dispatcher *dispatcher,
                                           const char *team);

/* The documents in force by team name: char * -> struct document.  Owned by
   DISPATCHER.  */
GHashTable *dispatcher_get_documents (struct dispatcher *dispatcher);

/*
 * Accepts JOB and takes a reference, or refuses it and returns FALSE.  No task
 * of a refused job was started, and the kind of ERROR says so.
 * job->retry_at_us is then the time on the dispatcher's clock from which the
 * same job may be sent again, or 0 when there is no such time.  It has the
 * same meaning for an accepted job that ends with an error kind which says
 * that it was not run.
 */
gboolean dispatcher_submit (struct dispatcher *dispatcher, struct job *job,
                            gint64 now_us, GError **error);

/*
 * Whether the request that starts TASK may still be written.  If not, the
 * driver reports ATTEMPT_NOT_SENT.
 */
gboolean dispatcher_may_send (const struct dispatcher *dispatcher,
                              const struct task *task, gint64 now_us);

/*
 * Reports how the attempt to run TASK ended.  The driver calls it once for
 * each start_task; a report on a task that is not running is ignored.  OUTPUT
 * is used only when the task is done; a reference is taken.
 */
void dispatcher_report_attempt (struct dispatcher *dispatcher,
                                struct task *task, enum attempt_end end,
                                GBytes *output, gint64 now_us);

/* Reports that UPSTREAM has renewed the leases of its tasks until DEADLINE_US,
   on the dispatcher's clock.  */
void dispatcher_note_lease_renewed (struct dispatcher *dispatcher,
                                    struct upstream *upstream,
                                    gint64 deadline_us);

/* Reports that the upstream did not renew the lease of TASK, although it may
   have renewed others.  Later renewals do not extend it, so it expires.  */
void dispatcher_note_lease_refused (struct dispatcher *dispatcher,
                                    struct task *task);

/*
 * Cancels JOB: none of its tasks starts after the call.  Returns FALSE when
 * the job has already finished.
 */
gboolean dispatcher_cancel (struct dispatcher *dispatcher, struct job *job,
                            gint64 now_us);

/* Marks all upstreams called NAME as leaving, or as back when IS_LEAVING is
   FALSE.  Leaving upstreams get no new task.  The mark also applies to
   upstreams of documents that come later.  */
void dispatcher_set_leaving (struct dispatcher *dispatcher, const char *name,
                             gboolean is_leaving, gint64 now_us);

/* Refuses all new jobs from now on.  */
void dispatcher_drain (struct dispatcher *dispatcher, gint64 now_us);
gboolean dispatcher_is_draining (const struct dispatcher *dispatcher);

/* The number of unfinished jobs plus the number of tasks that still occupy an
   upstream.  */
guint dispatcher_count_unfinished (const struct dispatcher *dispatcher);

/*
 * Sets OFFSET_US, the Unix time minus the dispatcher's clock, in microseconds.
 * Called at the start and whenever the wall clock has been stepped.  Until the
 * first call the shutdown dates of services are ignored.
 */
void dispatcher_set_unix_offset (struct dispatcher *dispatcher,
                                 gint64 offset_us, gint64 now_us);

/*
 * Sets how many entry VMs share the quotas, and the index of this VM among
 * them, from 0.  Until the first call this VM counts as the only one.
 */
void dispatcher_set_vm_count (struct dispatcher *dispatcher, guint n_vms,
                              guint own_index, gint64 now_us);

/* Grants this VM a share of TEAM's quota until DEADLINE_US: SLOTS at once and
   STARTS_PER_SECOND.  See coordination/quota.h for the share without a
   grant.  */
void dispatcher_set_quota_share (struct dispatcher *dispatcher,
                                 const char *team, guint slots,
                                 guint starts_per_second, gint64 deadline_us,
                                 gint64 now_us);

/*
 * Grants this VM SHARE of the slots of the upstream UPSTREAM_NAME in POOL_KEY,
 * which is "team/service", until DEADLINE_US.  After the share has expired,
 * the VM keeps no more than an even part of the slots, rounded down but at
 * least one.
 */
void dispatcher_set_slot_share (struct dispatcher *dispatcher,
                                const char *pool_key,
                                const char *upstream_name, guint share,
                                gint64 deadline_us, gint64 now_us);

/* The demand for a service on this VM and the slots that it has, for the
   exchange of shares between VMs.  */
struct dispatcher_load
{
  guint n_queued;        /* tasks */
  guint n_running;       /* tasks */
  guint n_slots;         /* slots that this VM may fill */
  gint64 queued_work_us; /* estimated slot time of the queued tasks */
  gint64 wait_us;        /* estimated wait of a task queued now */
};

/* Fills *LOAD for POOL_KEY, "team/service".  Returns FALSE when no such
   service is known.  */
gboolean dispatcher_get_load (struct dispatcher *dispatcher,
                              const char *pool_key,
                              struct dispatcher_load *load);

/*
 * Handles what has become due: job deadlines, leases, expired shares and
 * answers.  A call that comes late shows that the process was paused.  It then
 * only asks for a second call shortly after, which handles what is due, so
 * that the caller can first report what has arrived on its sockets meanwhile.
 */
void dispatcher_run_timers (struct dispatcher *dispatcher, gint64 now_us);

/* The table of jobs by id.  Owned by DISPATCHER.  */
struct job_table *dispatcher_get_jobs (struct dispatcher *dispatcher);

#endif
