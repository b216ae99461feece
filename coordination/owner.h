/*
 * The owner: runs batches of tasks on the upstreams that this VM owns.
 *
 * An upstream has one owner at a time.  The upstream itself enforces this: it
 * refuses every order whose fencing token is lower than one it has seen.  The
 * owner therefore knows everything that runs there, and never starts more than
 * fits.  Every run holds a lease on the upstream's own clock.  The owner
 * renews the leases by polling the upstream, as long as the tasks are wanted.
 *
 * A job's home is the VM that answers the job's caller.  A batch is the part
 * of one job that its home has handed to this owner.  A task that fails is run
 * again, on another upstream if possible, until its attempts are used up.  No
 * new run of a task begins while an earlier one may still be running.
 *
 * A task may crash the upstreams that run it.  A task under which an upstream
 * has crashed is run again isolated, on an upstream where nothing else runs.
 * Its batch fails when two crashes are confirmed: other instances answer.
 *
 * An upstream may restart under the same id.  Its start time,
 * instance_start_ms, tells its instances apart.
 *
 * This module does no I/O.  Events come in as calls with a reading of
 * clock_now_us (), and orders go out through the driver.  The driver must not
 * call back into the owner from inside an operation.
 */
#ifndef COORDINATION_OWNER_H
#define COORDINATION_OWNER_H

#include "base/clock.h"
#include "base/list.h"
#include "coordination/answer_time.h"
#include "coordination/event_rate.h"
#include "coordination/free_slots.h"
#include "coordination/run_speed.h"
#include "coordination/slot_choice.h"
#include "state/document.h"

#include <glib.h>

/* Queues and starts are told apart by priority up to this number of
   priorities; all less urgent ones count as the last.  */
#define ROOM_PRIORITIES 4

struct owner;
struct owner_driver;
struct owned_upstream;
struct batch;

/* How a run on an upstream ended, as the upstream lists it.  */
enum run_end
{
  RUN_DONE,
  RUN_FAILED,        /* through a fault of the task or of the upstream */
  RUN_STOPPED,       /* on a stop order */
  RUN_LEASE_EXPIRED, /* its lease ran out */
  RUN_LOST, /* the upstream no longer has it; set by the owner, never listed */
};

/* After this number of unanswered polls in a row an upstream counts as
   unresponsive: its leases are no longer renewed, and it is polled at the
   interval below.  */
#define OWNED_MAX_UNANSWERED_POLLS 2
#define OWNED_UNRESPONSIVE_POLL_US (150 * USEC_PER_MSEC)

/* What the owner knows about one run.  */
enum run_state
{
  RUN_STARTING,    /* the start order was sent */
  RUN_RUNNING,     /* the upstream has confirmed it */
  RUN_STOPPING,    /* a stop order was sent; may still be running */
  RUN_UNCONFIRMED, /* the start order got no answer; may run now or later */
};

/* One run of a task on an upstream.  */
struct run
{
  struct list_node link; /* in upstream->runs */
  struct owned_upstream *upstream;
  struct batch_task *task; /* NULL for a foreign run */
  char *name;              /* of the task: "JOB.0.STEP.INDEX" */
  guint number;            /* rises with each run of the task */
  enum run_state state;
  struct shape need;
  gint64 started_us;
  gint64 sent_us;          /* when its start order was written, as far as the
                              driver has told; started_us before that */
  gint64 expected_us;      /* run time expected on this upstream */
  gint64 declared_us;      /* on an ordinary one at the same distance */
  gint64 start_expires_us; /* the start order has no effect after this
                              time; 0 when not known */
  gint64 stop_due_us;      /* when to repeat the stop order */
  guint percent;           /* progress, 0 to 100, as last reported */
  gint64 progressed_us;    /* when percent last changed */
  gint64 listed_us; /* when an answer last listed it as running; its start
                       before the first one */
  gboolean is_stop_acknowledged;
  gboolean is_confirmed; /* the upstream has reported it as running */
  gboolean is_foreign;  /* listed by the upstream, not started by this owner */
  gboolean is_isolated; /* nothing else may run on the upstream meanwhile */
  gboolean is_crash_counted;    /* counted in the task's n_crashes */
  gboolean is_loss_ignored;     /* not counted: a common cause was assumed */
  gboolean is_slowness_counted; /* counted in the upstream's slowness */
  gboolean is_speed_counted;    /* counted in the upstream's run_speed */
  guint64 sent_after_poll;      /* the last poll before its start order */
  guint n_unlisted_polls; /* sent after its start order and answered, without
                             listing it */
  guint64 visible_after_poll; /* if the upstream has the run, the answers to
                                 polls after this one list it */
  guint64 last_listed_poll;   /* last poll whose answer listed it; 0: none */
};

enum owned_state
{
  OWNED_UNCONFIRMED,  /* nothing is started until a poll confirms the token */
  OWNED_HELD,         /* a poll has confirmed the token */
  OWNED_UNRESPONSIVE, /* polls are not answered; gets no new runs */
};

/* A slot that is kept free until the home has answered the claim for which it
   is meant.  */
struct slot_hold
{
  struct list_node link;       /* in upstream->holds */
  struct list_node batch_link; /* in batch->holds */
  struct batch *batch;
  struct owned_upstream *upstream; /* holds a reference */
  struct shape need;
};

/* An upstream that this VM owns.  */
struct owned_upstream
{
  char *id;
  char *address; /* "IP:PORT" */
  char *service;
  char *availability_zone;
  char *rack;
  GPtrArray *labels; /* strings */
  struct shape shape;
  struct shape used;        /* by holds and by all runs that may exist there */
  gint64 instance_start_ms; /* start time of the instance; 0 when not known */
  gint64 listed_instance_start_ms; /* of the instance that shape belongs to;
                                      0 when not known */
  guint64 token;                   /* fencing token that orders carry */
  enum owned_state state;
  gint64 warm_at_us;     /* runs are slower before this time */
  gboolean is_leaving;   /* gets no new runs */
  gboolean is_removed;   /* no longer owned; freed with the last reference */
  gboolean is_releasing; /* given up once nothing runs there */
  guint ref_count;
  struct list_node runs;  /* struct run by link */
  struct list_node holds; /* struct slot_hold by link */
  gboolean is_isolated;   /* a run there is isolated */
  guint n_runs;           /* in runs */
  guint n_foreign;        /* of them, those that this owner did not start */
  guint64 n_polls;        /* polls sent so far; numbers them from 1 */
  guint64 last_answered_poll;       /* number of the last answered poll */
  gint64 answered_sent_us;          /* when that poll was sent */
  struct answer_time start_answers; /* to start orders */
  gint64 start_check_us;    /* when a start order without an answer is overdue;
                               DEADLINE_NEVER if none is sent */
  guint64 last_ended_entry; /* highest entry_number processed; see
                               struct listed_end */
  guint64 reported_ended_entry; /* the value that the latest poll sent */
  guint64 acked_ended_entry;    /* the value that the last answered poll
                                   sent */
  gint64 last_end_us;           /* when an ended run was last processed */
  gint64 polled_us;             /* when the latest poll was sent */
  gboolean is_poll_held;     /* the upstream may hold back the answer to it */
  gboolean is_polling;       /* a poll is in flight */
  gboolean is_poll_repeated; /* it replaces one that was not held back */
  guint64 last_stale_poll;   /* the answers to polls up to this number are too
                                old to confirm ownership; 0 for none */
  gint64 poll_due_us;        /* when to poll next */
  gint64 clock_ms;           /* the upstream's clock, as last reported */
  gint64 clock_read_us; /* this VM's time of that report; 0 before the first
                           one */
  gint64 lost_us;       /* when it last became unresponsive or was found to be
                           another instance; 0 for never */
  gint64 unanswered_since_us; /* 0 while it answers polls */
  guint n_unanswered_polls;   /* in a row */
  gint64 leased_until_ms; /* the latest lease end that any order has set, on
                             its clock */
  gdouble slowness; /* run time divided by expected run time, smoothed; 1 at
                       first; that of SPEED with placement_by_speed */
  struct run_speed speed;
  gdouble reported_slowness; /* with the last HEALTH_EVENT_SPEED; 1 at first */
  gint64 succeeded_us;       /* when a run last ended with success; 0 if
      none has since the last failure */
  struct event_rate starts[ROOM_PRIORITIES]; /* of runs here, by priority */
  gdouble failure_share;    /* of its runs, smoothed; 0 to 1 */
  gint64 rest_until_us;     /* gets no runs before this time */
  guint n_rests;            /* since the last success on probation */
  gboolean is_on_probation; /* gets one run at a time until one succeeds */
  void *transport_data;     /* for the driver's use */
};

enum batch_task_state
{
  BATCH_TASK_QUEUED,
  BATCH_TASK_RUNNING,
  BATCH_TASK_DONE,
  BATCH_TASK_FAILED,
  BATCH_TASK_RETURNED, /* given back to the home; not running */
  BATCH_TASK_OFFERED,  /* may be started once the home has granted it */
  BATCH_TASK_DROPPED,  /* its batch is ending; its run may still be stopping */
};

/* A crash of an upstream under a run that it had accepted.  It is confirmed
   when another instance of the upstream answers, and discarded when the same
   one does.  */
struct crash_report
{
  char *upstream;           /* id; NULL for none, or once it is verified */
  gint64 instance_start_ms; /* of the instance that was lost */
  gint64 expires_us;        /* not waited for after this */
};

/* The crashes of a task that may wait to be verified.  */
#define MAX_CRASH_REPORTS 2

struct batch_task
{
  struct batch *batch;
  guint index; /* in the job */
  enum batch_task_state state;
  struct run *run;           /* the current one; NULL for none */
  guint n_runs;              /* run numbers used, skipped ones included */
  guint n_failed;            /* failed runs */
  guint n_crashes;           /* upstreams that crashed while they ran it, as
                                far as is known */
  guint n_confirmed_crashes; /* of these */
  struct crash_report reports[MAX_CRASH_REPORTS];
  gboolean is_suspect;      /* of crashing upstreams: runs isolated */
  gboolean is_loss_ignored; /* a loss with most of a rack or zone was not
                               counted; the next one is */
  gint64 crashed_us;        /* when the last of them was lost */
  gint64 crash_age_us;      /* how long it had run by then */
  guint n_restarts;         /* because of slow or hanging upstreams */
  char *failed_on; /* the upstream where it failed last, or that left its
                      start unanswered; NULL for none */
};

enum batch_end
{
  BATCH_DONE,        /* all tasks that were not given back are done */
  BATCH_FAILED,      /* a task used up its attempts */
  BATCH_NOT_STARTED, /* stopped before anything of it was started */
  BATCH_STOPPED,     /* stopped after something was started; nothing runs */
  BATCH_CRASHED,     /* upstreams crashed again and again under a task */
};

/* Tasks of one job that need the same resources.  Those of an offer are
   offered to several owners: each may start only what it has claimed and the
   home has granted.  */
struct batch
{
  struct list_node link; /* in owner->queue or owner->batches */
  guint number;          /* tells the batches of one job apart */
  char *job;             /* id; names of tasks are "JOB.0.STEP.INDEX" */
  char *home;            /* name of the VM that answers the job's caller */
  char *service;
  char *spec;             /* passed on to the upstream unchanged */
  char *affinity;         /* preferred rack; empty for none */
  char *required_label;   /* empty for none */
  guint step;             /* the STEP in the names of its tasks */
  guint first_run_number; /* of each of its tasks */
  struct shape need;
  gint64 estimate_us;   /* run time of a task on a usual upstream */
  struct run_work work; /* what the runs that have ended here tell of it */
  gdouble far_factor;   /* how many times longer a task runs off the preferred
                           rack */
  guint per_upstream;   /* most tasks of the step, in whichever batches, that
                           may run on one upstream at once; 0 for no limit */
  guint priority;       /* 0 goes first; late batches go after all others */
  guint attempts;       /* failures of one task that end the batch */
  gint64 start_by_us;   /* latest start that meets the objective */
  gint64 end_by_us;    /* dropped if nothing was started before; DEADLINE_NEVER
                          for none */
  gint64 confirmed_us; /* its home wanted it at this time or later, on the
                          clock of this VM; see owner_confirm_batch () */
  gboolean is_local;   /* its home is this VM */
  gint64 queued_us;    /* when the owner received it */
  gint64 first_started_us; /* 0 before the first start */
  gboolean is_settled;     /* its queued tasks stay here unless no upstream can
                              take them */
  gboolean needs_free_slots; /* tasks that find none on arrival are given
                                back at once */
  gboolean is_part;          /* other tasks of the job may have been started */
  gboolean is_late; /* start_by_us passed before any task of the job could
                       start: queued behind the others */
  guint n_tasks;
  guint n_offers;  /* owners that the tasks are offered to; 0: no offer */
  guint n_offered; /* tasks that are not granted */
  guint n_queued;
  guint n_suspects; /* of these, tasks under which an upstream crashed */
  guint n_active;   /* may be running */
  guint n_done;
  guint n_returned;
  guint n_started;      /* start orders sent, less those that had no effect */
  gboolean is_claiming; /* a claim is not answered yet */
  struct list_node holds; /* struct slot_hold by batch_link; for that claim */
  gboolean is_ending;     /* end and reason are set; waits for runs to stop */
  gboolean is_finished;   /* finish_batch was called */
  enum batch_end end;
  const char *reason; /* static; why it did not end as BATCH_DONE */
  struct batch_task *tasks;
  void *user_data; /* for the driver's use */
};

/* A change in the health of an upstream, as the owner judges it.  */
enum owner_health_event
{
  HEALTH_EVENT_FAILING,      /* its runs fail: it gets none for a while */
  HEALTH_EVENT_SLOW,         /* its runs stall or are too slow: as above */
  HEALTH_EVENT_UNRESPONSIVE, /* answers no polls: leases are not renewed */
  HEALTH_EVENT_RECOVERED,    /* answers polls again */
  HEALTH_EVENT_SPEED,        /* its estimated speed has changed much */
  HEALTH_EVENT_RESTARTED,    /* another instance of it runs now */
};

struct owner_driver_ops
{
  /* Sends the order to start RUN, with a lease until UNTIL_MS on the
     upstream's clock.  Calls owner_start_sending () before if it can't write
     the order at once.  Ends with owner_start_ended ().  */
  void (*start_run) (struct owner_driver *driver, struct run *run,
                     gint64 until_ms);

  /* Sends the order to stop RUN.  Ends with owner_stop_ended ().  */
  void (*stop_run) (struct owner_driver *driver, struct run *run);

  /*
   * Polls UPSTREAM for the runs that are running and have ended there, and
   * renews all leases until UNTIL_MS unless that is 0.  The upstream may hold
   * back the answer until a run ends, for WAIT_MS at most.  Ends with
   * owner_poll_ended ().
   */
  void (*poll) (struct owner_driver *driver, struct owned_upstream *upstream,
                gint64 until_ms, guint wait_ms);

  /* The order to start RUN got no answer; its upstream gets no runs for a
     while.  May be NULL.  */
  void (*start_unanswered) (struct owner_driver *driver,
                            const struct run *run);

  /* The health of UPSTREAM has changed.  May be NULL.  */
  void (*health_changed) (struct owner_driver *driver,
                          const struct owned_upstream *upstream,
                          enum owner_health_event event);

  /* A task got none of the upstreams with room, for the reason WAIT.  May be
     NULL.  */
  void (*slot_declined) (struct owner_driver *driver, enum slot_wait wait);

  /* RUN has ended, or its start had no effect.  May be NULL.  */
  void (*run_ended) (struct owner_driver *driver, const struct run *run,
                     enum run_end end);

  /* The upstream of RUN has crashed, and the task of RUN may be the cause. May
     be NULL.  */
  void (*upstream_crashed) (struct owner_driver *driver,
                            const struct run *run);

  /* Gives the N_TASKS tasks of BATCH whose indexes in the job are INDEXES back
     to its home.  None of them is running.  */
  void (*return_tasks) (struct owner_driver *driver, struct batch *batch,
                        const guint *indexes, guint n_tasks);

  /* Asks the home of BATCH, which is an offer, for N_TASKS of its tasks.  Ends
     with owner_claim_ended () or owner_claim_failed (), unless the batch ends
     before.  */
  void (*claim_tasks) (struct owner_driver *driver, struct batch *batch,
                       guint n_tasks);

  /* BATCH has ended.  The driver frees it with batch_free ().  */
  void (*finish_batch) (struct owner_driver *driver, struct batch *batch);

  /* UPSTREAM is no longer owned: it was fenced (IS_FENCED), removed, or
     released with nothing running there.  */
  void (*ownership_ended) (struct owner_driver *driver,
                           struct owned_upstream *upstream,
                           gboolean is_fenced);

  /* Sets the time WHEN_US at which to call owner_advance () next, in place
     of the one set before.  */
  void (*wake_at) (struct owner_driver *driver, gint64 when_us);
};

/* The first member of every driver.  */
struct owner_driver
{
  const struct owner_driver_ops *ops;
};

struct owner_limits
{
  guint lease_ms;        /* lease of a run, from its start or renewal */
  guint max_lease_ms;    /* longest lease that an upstream grants */
  guint clock_drift_ppm; /* by how much an upstream's clock may run slow */
  gboolean placement_by_speed; /* see slot_choice.h */
  guint resend_ms; /* a caller that has no answer sends its job again after
                      this time at the earliest; 0 for never.  See
                      owner_confirm_batch () */
};

/* DRIVER must outlive the owner.  LIMITS are copied.  */
struct owner *owner_new (struct owner_driver *driver,
                         const struct owner_limits *limits);

/* Frees the owner with its batches and upstreams.  Sends no orders.  */
void owner_free (struct owner *owner);

/* An upstream as the platform describes it.  */
struct listed_upstream
{
  const char *id;
  const char *address;
  const char *service;
  const char *availability_zone;
  const char *rack;
  const char *const *labels; /* NULL-terminated; may be NULL */
  struct shape shape;
  gint64 instance_start_ms; /* 0 when not known */
  gint64 warm_at_us;        /* runs are slower before this time */
  gboolean is_leaving;
};

/* Takes ownership of the upstream of SPEC with TOKEN.  One that is owned
   already is updated, keeps the higher token and is no longer being released.
   Returns the upstream, which belongs to OWNER.  */
struct owned_upstream *owner_take_upstream (struct owner *owner,
                                            const struct listed_upstream *spec,
                                            guint64 token, gint64 now_us);

/* Starts nothing more on the upstream ID, and gives it up once nothing runs
   there.  Ignores an ID that is not owned.  */
void owner_release_upstream (struct owner *owner, const char *id,
                             gint64 now_us);

/* The upstream ID is gone for good, and all its runs with it: their tasks are
   queued again.  Ignores an ID that is not owned.  */
void owner_remove_upstream (struct owner *owner, const char *id,
                            gint64 now_us);

/* The owned upstream ID, or NULL.  */
struct owned_upstream *owner_find_upstream (struct owner *owner,
                                            const char *id);

/* Take and drop a reference, for a driver that keeps UPSTREAM while an order
   is under way.  */
struct owned_upstream *owned_ref (struct owned_upstream *upstream);
void owned_unref (struct owned_upstream *upstream);

/* A new batch with N_TASKS queued tasks.  The caller fills in their indexes
   and the fields that describe the batch.  */
struct batch *batch_new (const char *job, const char *home, guint n_tasks);
void batch_free (struct batch *batch);

/* Makes BATCH, which is new, an offer to N_OFFERS owners.  */
void batch_set_offered (struct batch *batch, guint n_offers);

/* The tasks of BATCH that wait here; of offered ones the share of this
   owner.  */
guint batch_count_waiting (const struct batch *batch);

/* Writes the indexes in the job of the tasks of BATCH that are in STATE to
   INDEXES, which has room for all.  Returns their number.  */
guint batch_list_tasks (const struct batch *batch, enum batch_task_state state,
                        guint *indexes);

/* Writes the indexes of the tasks that were given back and that were lost in a
   crash before to INDEXES, which has room for all: the suspects of crashing
   upstreams if ONLY_SUSPECTS, otherwise those that are none.  Returns their
   number.  */
guint batch_list_crashed (const struct batch *batch, gboolean only_suspects,
                          guint *indexes);

/* Marks those of the N tasks INDEXES that BATCH, which is new, has as lost in
   a crash at another owner; as suspects if ARE_SUSPECTS.  */
void batch_mark_crashed (struct batch *batch, const guint *indexes, guint n,
                         gboolean are_suspects, gint64 now_us);

/* Whether all tasks of BATCH were given back to its home.  */
gboolean batch_is_returned (const struct batch *batch);

/* Queues BATCH and starts what fits.  The owner keeps BATCH until it calls
   finish_batch.  */
void owner_submit_batch (struct owner *owner, struct batch *batch,
                         gint64 now_us);

/*
 * The home of BATCH, another VM, wanted it at CONFIRMED_US or later, a reading
 * of this VM's clock.  To be called again and again, as a home that has given
 * a job up may be unable to tell.
 *
 * No lease on an upstream ends later than resend_ms after the last
 * confirmation of each batch that runs there, by an order that is carried out
 * late either.  No run can therefore outlive the answer of its home by as much
 * as the caller waits before it sends the job again.  The bound rests on the
 * clock of this VM, between the confirmation and the order, and on the drift
 * of the upstream's clock, clock_drift_ppm.
 *
 * A batch that is not confirmed in time is stopped before its leases end, and
 * cannot be confirmed any more.
 */
void owner_confirm_batch (struct owner *owner, struct batch *batch,
                          gint64 confirmed_us, gint64 now_us);

/* The same for all batches whose home is this VM.  */
void owner_confirm_local (struct owner *owner, gint64 confirmed_us);

/* When BATCH was last confirmed.  */
gint64 owner_get_confirmed_us (const struct owner *owner,
                               const struct batch *batch);

/* Why a batch that was not confirmed is stopped.  */
extern const char owner_reason_unconfirmed[];

/* Stops BATCH for REASON, a static string.  finish_batch is called once
   nothing of it runs.  */
void owner_stop_batch (struct owner *owner, struct batch *batch,
                       const char *reason, gint64 now_us);

/* The home has granted the N_GRANTED tasks of BATCH with the indexes GRANTED,
   which may start here.  IS_EXHAUSTED: nothing is left to claim.  */
void owner_claim_ended (struct owner *owner, struct batch *batch,
                        const guint *granted, guint n_granted,
                        gboolean is_exhausted, gint64 now_us);

/* The home of BATCH has not answered a claim, so that it is not known what it
   has granted: gives all offered tasks back.  */
void owner_claim_failed (struct owner *owner, struct batch *batch,
                         gint64 now_us);

/* The first batch of the queue, or NULL when nothing is queued.  */
const struct batch *owner_get_first_queued (const struct owner *owner);

/* Gives up to N_TASKS queued tasks for SERVICE back to their homes, in the
   order of the queue.  Skips settled batches.  To be called when there is room
   for them at other owners.  */
void owner_return_queued (struct owner *owner, const char *service,
                          guint n_tasks, gint64 now_us);

/* A queued batch with suspects for a service of which no upstream is left
   here, or NULL.  */
const struct batch *owner_get_stranded_suspects (const struct owner *owner);

/* Gives all queued tasks for SERVICE back, those of settled batches included.
   To be called when no upstream here can take them any more.  */
void owner_return_all_queued (struct owner *owner, const char *service,
                              gint64 now_us);

/* Stops the batches of HOME, a VM that is gone or cut off.  */
void owner_stop_home_batches (struct owner *owner, const char *home,
                              gint64 now_us);

/* The outcome of an order to an upstream: a start, a stop or a poll.  */
enum order_end
{
  ORDER_ACCEPTED,
  ORDER_FENCED,         /* a higher token is in force */
  ORDER_REJECTED,       /* not carried out: it came too late, its run number
                           is too old, or there is no room */
  ORDER_INVALID,        /* not carried out: the upstream says that the order is
                           malformed */
  ORDER_UNHEALTHY,      /* not carried out: the upstream accepts no work now */
  ORDER_OTHER_INSTANCE, /* not carried out: another instance answered */
  ORDER_NOT_SENT,       /* no byte was written */
  ORDER_UNANSWERED,     /* no answer; may be carried out now or later */
};

/* The driver is about to write the order of start_run () for the run NUMBER of
   the task NAME on UPSTREAM, which had to wait.  Returns FALSE if the run is
   not wanted any more: the order must not be written then, and ends as
   ORDER_REJECTED.  */
gboolean owner_start_sending (struct owner *owner,
                              struct owned_upstream *upstream,
                              const char *name, guint number, gint64 now_us);

/* Reports the outcome END of start_run () for the run NUMBER of the task NAME
   on UPSTREAM.  CLOCK_MS is the upstream's clock, 0 when the answer did not
   carry it.  */
void owner_start_ended (struct owner *owner, struct owned_upstream *upstream,
                        const char *name, guint number, enum order_end end,
                        gint64 clock_ms, gint64 now_us);

/* The same for stop_run ().  */
void owner_stop_ended (struct owner *owner, struct owned_upstream *upstream,
                       const char *name, guint number, enum order_end end,
                       gint64 clock_ms, gint64 now_us);

/* A run that an upstream lists as running.  */
struct listed_run
{
  const char *name; /* of the task */
  guint run_number;
  guint percent; /* progress, 0 to 100 */
};

/* A run that an upstream lists as ended.  */
struct listed_end
{
  guint64 entry_number; /* of the entry in the upstream's list; rises */
  const char *name;     /* of the task */
  guint run_number;
  enum run_end end;
};

/* The answer to a poll.  */
struct upstream_report
{
  gint64 clock_ms;          /* the upstream's clock; 0 when not reported */
  gint64 instance_start_ms; /* 0 when not reported */
  const struct listed_run *running;
  guint n_running;
  const struct listed_end *ended;
  guint n_ended;
};

/* Reports the outcome END of poll (), for the poll number POLL: n_polls of
   UPSTREAM when it was sent.  Of an answer to an earlier poll than the latest
   only the ended runs count, and that the upstream is fenced.  REPORT, which
   is the caller's, is NULL unless END is ORDER_ACCEPTED.  */
void owner_poll_ended (struct owner *owner, struct owned_upstream *upstream,
                       guint64 poll, enum order_end end,
                       const struct upstream_report *report, gint64 now_us);

/* The capacity of the owned upstreams.  */
struct owner_room
{
  guint n_upstreams;  /* that accept runs now, have CPUs and are not on
                         probation */
  gdouble free_cpus;  /* of those */
  gdouble total_cpus; /* of those */
  struct free_slots free_slots;    /* tasks that would start at once */
  guint n_slots;                   /* tasks of typical size that fit at all */
  guint n_queued[ROOM_PRIORITIES]; /* tasks that aren't late, by priority */
  guint n_late;    /* queued tasks of late batches, served after them */
  guint n_running; /* tasks */
  gdouble starts_per_s[ROOM_PRIORITIES]; /* lately, by priority */
  gdouble ends_per_s; /* of runs, as expected of those that are running */
};

/* The index in the queues of a room for batches of PRIORITY.  */
guint owner_room_priority (guint priority);

/* All queued tasks in ROOM.  */
guint owner_room_count_queued (const struct owner_room *room);

/* Fills ROOM for SERVICE, or for all services when that is NULL.  */
void owner_get_room (struct owner *owner, const char *service,
                     struct owner_room *room, gint64 now_us);

/* How many tasks for SERVICE that need CPUS each would start at once.  */
guint owner_count_free_slots (struct owner *owner, const char *service,
                              gdouble cpus, gint64 now_us);

/* Does what is due at NOW_US.  A call that comes late, as after a pause of the
   process, starts and renews nothing before the upstreams have answered a
   poll.  */
void owner_advance (struct owner *owner, gint64 now_us);

/* Calls VISIT for every owned upstream.  */
void owner_foreach_upstream (struct owner *owner,
                             void (*visit) (struct owned_upstream *upstream,
                                            gpointer data),
                             gpointer data);

#endif
