/*
 * Declarations shared by the files that implement the owner; see owner.h.
 */
#ifndef COORDINATION_OWNER_PRIVATE_H
#define COORDINATION_OWNER_PRIVATE_H

#include "base/clock.h"
#include "coordination/owner.h"

/* Sums of CPUs may exceed the shape by this much through rounding; needs are
   given in thousandths of a CPU.  */
#define CPU_EPSILON 0.0005

struct owner
{
  struct owner_driver *driver;
  struct owner_limits limits;
  GHashTable *upstreams;    /* id -> struct owned_upstream */
  struct list_node queue;   /* struct batch with queued tasks, in the order in
                               which they are served */
  struct list_node batches; /* the other batches */
  gdouble typical_cpus;     /* CPUs that a task needs, smoothed over batches */
  gint64 wake_us;           /* last time passed to wake_at */
  gint64 runs_checked_us;   /* when the runs were last checked */
  gint64 last_call_us;      /* when the owner was last called; 0 for never */
  gint64 paused_us;         /* end of the last pause; 0 for none */
  gint64 local_confirmed_us; /* see owner_confirm_local () */
  guint n_isolated;          /* isolated runs */
};

/* owner.c */

/* Records the time of a call.  If the last one is long ago, the process was
   paused, and all upstreams are marked stale.  */
void owner_detect_pause (struct owner *owner, gint64 now_us);

/* Whether a pause has ended since SINCE_US, or ends with the present call.  */
gboolean owner_was_paused_since (const struct owner *owner, gint64 since_us,
                                 gint64 now_us);

/* owned.c: the state of one upstream.  */

/* A new upstream with one reference, with nothing running.  */
struct owned_upstream *owned_new (const struct listed_upstream *spec,
                                  guint64 token);

/* Copies all of SPEC but its id to UPSTREAM.  */
void owned_update (struct owned_upstream *upstream,
                   const struct listed_upstream *spec);

/* The clock of UPSTREAM at NOW_US, extrapolated from the last reading.  */
gint64 owned_estimate_clock_ms (const struct owned_upstream *upstream,
                                gint64 now_us);

/* The latest time, on this VM's clock, at which the clock of UPSTREAM can
   show UNTIL_MS, clock drift included.  Before the first reading of that
   clock, twice the longest lease after the last order may be carried out.  */
gint64 owned_latest_time_us (const struct owner *owner,
                             const struct owned_upstream *upstream,
                             gint64 until_ms, gint64 now_us);

/* The latest lease end on the clock of UPSTREAM, which was read, that has
   certainly passed when the clock of this VM shows UNTIL_US.  */
gint64 owned_latest_lease_end_ms (const struct owner *owner,
                                  const struct owned_upstream *upstream,
                                  gint64 until_us);

/* Stores CLOCK_MS, a reading of UPSTREAM's clock; ignores 0.  */
void owned_set_clock (struct owned_upstream *upstream, gint64 clock_ms,
                      gint64 now_us);

/* UPSTREAM has answered a poll: resets the count of unanswered polls.  */
void owned_clear_unanswered (struct owned_upstream *upstream);

/* Whether a run that needs NEED fits on UPSTREAM and may start now.  */
gboolean owned_can_start (const struct owned_upstream *upstream,
                          const struct shape *need, gint64 now_us);

/* The CPUs of UPSTREAM that are free for further runs.  None are while its
   runs exceed its capacity, which has shrunk since they were started.  */
gdouble owned_get_free_cpus (const struct owned_upstream *upstream);

/* Whether UPSTREAM runs slower than it will.  It gets one run at a time, so
   that few tasks are late while it warms up.  */
gboolean owned_is_warming_up (const struct owned_upstream *upstream,
                              gint64 now_us);

/* Whether UPSTREAM may get runs now, as far as it has room.  */
gboolean owned_is_usable (const struct owned_upstream *upstream,
                          gint64 now_us);

/* Whether UPSTREAM can run a task with NEED when nothing else runs there.  */
gboolean owned_is_large_enough (const struct owned_upstream *upstream,
                                const struct shape *need);

/* Adds RUN, which has taken TOOK_US or will do so by its progress, to the
   estimates of its upstream and of its batch, once.  */
void owned_add_run_speed (struct run *run, gint64 took_us);

/* Forgets what the runs of a former instance tell of UPSTREAM.  */
void owned_reset_speed (struct owned_upstream *upstream);

/* Adds a run that takes SLOWNESS times its estimate to UPSTREAM's smoothed
   slowness.  Also lowers its failure share and ends its probation.  */
void owned_record_speed (struct owned_upstream *upstream, gdouble slowness);

/* Lowers the failure share of UPSTREAM and ends its probation.  */
void owned_record_success (struct owned_upstream *upstream);

/* Counts a failure of UPSTREAM.  Too many of them, or one on probation, start
   a rest.  */
void owned_record_failure (struct owned_upstream *upstream, gint64 now_us);

/* Marks what is known of UPSTREAM as stale: nothing is started there, and no
   lease renewed, until it has answered a poll that is sent from now on.  */
void owned_mark_stale (struct owned_upstream *upstream, gint64 now_us);

/* Whether such an answer of UPSTREAM is still outstanding.  */
gboolean owned_is_stale (const struct owned_upstream *upstream);

/* Starts a rest of UPSTREAM, unless one is under way: it gets no runs for a
   time that doubles with each rest, and is on probation afterwards.  */
void owned_start_rest (struct owned_upstream *upstream, gint64 now_us);

/* The run NUMBER of the task NAME on UPSTREAM, or NULL.  */
struct run *owned_find_run (const struct owned_upstream *upstream,
                            const char *name, guint number);

/* A new run of TASK, or a foreign run when TASK is NULL.  It is owned by
   UPSTREAM.  */
struct run *run_new (struct owned_upstream *upstream, struct batch_task *task,
                     const char *name, guint number);

/* Removes RUN from its upstream and frees it.  */
void run_free (struct run *run);

/* Keeps a slot on UPSTREAM free for a task that BATCH claims.  */
void slot_hold_new (struct owned_upstream *upstream, struct batch *batch);

/* Frees HOLD, and with it the slot.  */
void slot_hold_free (struct slot_hold *hold);

/* owner_runs.c: starts, stops and ends of runs.  */

/* Sends the order to stop RUN, unless it is stopping already.  */
void owner_stop_run (struct owner *owner, struct run *run, gint64 now_us);

/* RUN has ended with END: frees it and moves its task on.  */
void owner_end_run (struct owner *owner, struct run *run, enum run_end end,
                    gint64 now_us);

/* Another instance of UPSTREAM runs now, since INSTANCE_START_MS (0 when not
   known).  Runs of the former instance are gone, but the new one may have
   carried out orders that were meant for the former one.  */
void owner_begin_instance (struct owner *owner,
                           struct owned_upstream *upstream,
                           gint64 instance_start_ms, gint64 now_us);

/* Reports EVENT of UPSTREAM to the driver.  */
void owner_report_health (struct owner *owner,
                          const struct owned_upstream *upstream,
                          enum owner_health_event event);

/* Starts nothing more on UPSTREAM before a poll was answered, which tells that
   it is alive and which instance it is.  */
void owner_mark_unconfirmed (struct owned_upstream *upstream, gint64 now_us);

/* Another instance has refused an order to UPSTREAM.  Most probably it will
   not answer under this id any more, so it is polled rarely.  */
void owner_handle_other_instance (struct owner *owner,
                                  struct owned_upstream *upstream,
                                  gint64 now_us);

/* The start of RUN got no answer and may still be carried out: stops RUN.  */
void owner_handle_unanswered_start (struct owner *owner, struct run *run,
                                    gint64 now_us);

/* Adds RUN, which takes TOOK_US, to what is known of the speed of its
   upstream.  Reports a change from ordinary or from the last report.  The time
   of a run during which this VM was paused contains the pause, so it does not
   count.  */
void owner_add_run_speed (struct owner *owner, struct run *run, gint64 took_us,
                          gint64 now_us);

/* Ends all runs of UPSTREAM as lost, none of which can be running any more. */
void owner_drop_runs (struct owner *owner, struct owned_upstream *upstream,
                      gint64 now_us);

/* UPSTREAM has a higher token from another owner: gives it up at once.  */
void owner_drop_fenced_upstream (struct owner *owner,
                                 struct owned_upstream *upstream,
                                 gint64 now_us);

/* owner_checks.c: what is overdue.  */

/* Whether UPSTREAM should have told by NOW_US of an end, or of the start of a
   run whose order is not answered.  */
gboolean owner_expects_news (const struct owned_upstream *upstream,
                             gint64 now_us);

/* Sets when the next start order to UPSTREAM is overdue.  */
void owner_update_start_check (struct owned_upstream *upstream, gint64 now_us);

/* Asks UPSTREAM for an answer at once if the answer to a start order is
   overdue.  */
void owner_check_starts (struct owned_upstream *upstream, gint64 now_us);

/* Stops the runs whose start orders were lost, as the answer to a poll of
   UPSTREAM has shown.  */
void owner_handle_lost_starts (struct owner *owner,
                               struct owned_upstream *upstream, gint64 now_us);

/* Handles what is overdue at UPSTREAM: unanswered starts and polls,
   unacknowledged stops, stalled or slow tasks, expired leases.  */
void owner_check_runs (struct owner *owner, struct owned_upstream *upstream,
                       gint64 now_us);

/* owner_batches.c: batches and the queue.  */

/* Moves BATCH to its place in the queue, or to the other batches when it has
   no queued task.  */
void owner_relink_batch (struct owner *owner, struct batch *batch);

/* Sets the end of BATCH: drops its queued tasks and stops its runs.  Only the
   first call has an effect.  */
void owner_end_batch (struct owner *owner, struct batch *batch,
                      enum batch_end end, const char *reason, gint64 now_us);

/* Calls finish_batch if BATCH is over and nothing of it runs.  Returns whether
   it did; BATCH is freed then.  */
gboolean owner_finish_batch_if_done (struct owner *owner, struct batch *batch);

/* The run NUMBER of the task NAME, which counted as lost, has succeeded: the
   task is done if it is still queued for another run.  */
void owner_accept_late_success (struct owner *owner, const char *name,
                                guint number);

/* The best upstream that can start TASK now, or NULL.  */
struct owned_upstream *owner_find_slot (struct owner *owner,
                                        const struct batch_task *task,
                                        gint64 now_us);

/* Starts queued tasks of BATCH until one does not fit.  */
void owner_start_batch (struct owner *owner, struct batch *batch,
                        gint64 now_us);

/* Gives up to N_TASKS queued tasks of BATCH, and all offered ones if
   WITH_OFFERED, back to its home.  Returns their number.  BATCH may have been
   freed then.  */
guint owner_return_tasks (struct owner *owner, struct batch *batch,
                          guint n_tasks, gboolean with_offered);

/* Starts the queued tasks that fit, in the order of the queue.  */
void owner_start_queued (struct owner *owner, gint64 now_us);

/* Moves late batches behind the others, returns tasks that no upstream here
   can take any longer, and stops batches that have passed end_by_us before
   anything of them was started.  */
void owner_expire_batches (struct owner *owner, gint64 now_us);

/* Gives up UPSTREAM if it is being released, nothing runs there and it knows
   that all its ended runs were processed.  */
void owner_finish_release (struct owner *owner,
                           struct owned_upstream *upstream);

/* Counts TASK, which is queued now, in its batch.  */
void batch_task_queue (struct batch_task *task);

/* TASK, which was queued, changes to STATE.  */
void batch_task_unqueue (struct batch_task *task, enum batch_task_state state);

/* Starts TASK on UPSTREAM, which has room for it.  */
void owner_start_task (struct owner *owner, struct batch_task *task,
                       struct owned_upstream *upstream, gint64 now_us);

/* Whether TASK may run on UPSTREAM, which has room for it now.  */
gboolean owner_may_run_on (const struct owner *owner,
                           const struct batch_task *task,
                           const struct owned_upstream *upstream,
                           gint64 now_us);

/* owner_crashes.c: tasks that crash upstreams.  */

/* Whether an upstream has crashed under TASK.  */
gboolean batch_task_is_suspect (const struct batch_task *task);

/* UPSTREAM, on which its runs have ended without a result, has crashed, as far
   as is known.  Counts that in their tasks, unless so many upstreams of its
   rack or availability zone were lost with it that the cause is another, which
   is assumed once for each task.  */
void owner_note_crash (struct owner *owner, struct owned_upstream *upstream);

/* Ends the batch of TASK if that is queued and, after its crashes, must not be
   started again.  */
void owner_apply_crash_limit (struct owner *owner, struct batch_task *task,
                              gint64 now_us);

/* The same for all queued suspects, whose upstreams may have been waited for
   long enough.  */
void owner_apply_crash_limits (struct owner *owner, gint64 now_us);

/* UPSTREAM answers again, or is gone: verifies the crashes that wait for that,
   and applies the limits to their tasks.  */
void owner_verify_crashes (struct owner *owner,
                           const struct owned_upstream *upstream,
                           gint64 now_us);

/* Frees what TASK keeps about crashes.  */
void batch_task_clear_crashes (struct batch_task *task);

/* UPSTREAM does not answer: polls those of its availability zone that are
   idle, which tells whether they were lost with it.  */
void owner_poll_domain (struct owner *owner,
                        const struct owned_upstream *upstream, gint64 now_us);

/* Starts a suspect task alone on an upstream, if no other task of its service
   waits in time and no other suspect is running.  */
void owner_start_suspect (struct owner *owner, gint64 now_us);

/* owner_confirm.c: whether homes still want their batches.  */

/* The end of a lease that an order to UPSTREAM, whose clock was read, may set
   now, on that clock: for its runs and, unless that is NULL, for a further run
   of BATCH.  */
gint64 owner_get_lease_end_ms (const struct owner *owner,
                               const struct owned_upstream *upstream,
                               const struct batch *batch, gint64 now_us);

/* Whether a run of BATCH that starts on UPSTREAM now gets a useful lease, and
   no order that was sent there can prolong it beyond the time for which BATCH
   is confirmed.  */
gboolean owner_can_lease (const struct owner *owner,
                          const struct owned_upstream *upstream,
                          const struct batch *batch, gint64 now_us);

/* Stops the batches that were not confirmed in time.  */
void owner_stop_unconfirmed (struct owner *owner, gint64 now_us);

/* owner_claims.c: offers.  */

/* Claims as many offered tasks of BATCH as fit now, unless a claim is under
   way.  */
void owner_claim_slots (struct owner *owner, struct batch *batch,
                        gint64 now_us);

/* Frees the slots that are kept for a claim of BATCH.  */
void owner_release_holds (struct batch *batch);

#endif
