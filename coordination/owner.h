/*
 * The owner of upstreams: runs batches of tasks on those that this VM owns.
 *
 * An upstream has one owner at a time; the upstream itself enforces it, as it
 * refuses every order whose fencing token is lower than one it has seen.  The
 * owner therefore knows all that runs there, and never starts more than fits.
 * Everything that runs holds a lease on the upstream's own clock, which the
 * owner prolongs while it knows that the task is wanted.
 *
 * A batch is the part of one job that its home has handed to this owner.  A
 * task that fails is run again, elsewhere if possible, until its attempts are
 * used up; no second run of a task begins while a former one may be running.
 *
 * Free of I/O: events go in as calls with a reading of clock_now_us (), orders
 * come out through the driver.  A driver must not call back from inside an
 * action.
 */
#ifndef COORDINATION_OWNER_H
#define COORDINATION_OWNER_H

#include "base/clock.h"
#include "base/list.h"
#include "state/document.h"

#include <glib.h>

struct owner;
struct owner_driver;
struct owned;
struct batch;

/* How a run on an upstream ended, as the upstream lists it.  */
enum run_end
{
  RUN_DONE,
  RUN_FAILED,        /* by its own fault or the upstream's */
  RUN_STOPPED,       /* it was asked to */
  RUN_LEASE_EXPIRED, /* its lease ended */
  RUN_LOST, /* the upstream has lost it; told by the owner, never listed */
};

/* Asks in a row without an answer from which an upstream is shunned and its
   leases are no longer prolonged, and how often it is asked from then on.  */
#define OWNED_MAX_SILENT 2
#define OWNED_SILENT_INTERVAL_US (150 * USEC_PER_MSEC)

/* What is known of one run.  */
enum run_state
{
  RUN_STARTING, /* the order is on its way */
  RUN_RUNNING,  /* the upstream has confirmed it */
  RUN_STOPPING, /* a stop is on its way; may still be running */
  RUN_OPEN,     /* the order got no answer; may run now or later */
};

/* One run of a task on an upstream.  */
struct run
{
  struct list_node link; /* in owned->runs */
  struct owned *upstream;
  struct batch_task *task; /* NULL once nobody wants its result */
  char *name;              /* of the task */
  guint number;            /* rises with each run of the task */
  enum run_state state;
  struct shape need;
  gint64 started_us;
  gint64 expected_us; /* run time expected of this upstream */
  gint64 void_us;     /* an order without an answer has no effect after it */
  gint64 stop_due_us; /* when a stop is sent, again */
  guint percent;      /* of its work, as last seen */
  gint64 moved_us;    /* when percent last changed */
  gboolean is_stop_acknowledged;
  gboolean is_confirmed; /* the upstream has said that it runs */
  gboolean is_foreign;   /* found there; nobody here has started it */
  gboolean is_judged;    /* its slowness has been counted */
  guint64 unseen_after;  /* a list asked for after this number of asks tells
                            whether the run is there */
  guint64 seen_in;       /* number of the last answer that listed it */
};

enum owned_state
{
  OWNED_TAKING, /* the token is not known to be in force */
  OWNED_HELD,
  OWNED_UNRESPONSIVE, /* held, but does not answer; gets no new runs */
};

/* An upstream that this VM owns.  */
struct owned
{
  char *id;
  char *address; /* "IP:PORT" */
  char *service;
  char *availability_zone;
  char *rack;
  GPtrArray *labels; /* strings */
  struct shape shape;
  struct shape used;     /* by all runs that may be there */
  gint64 born_ms;        /* tells its lives apart; 0 when not known */
  gint64 listed_born_ms; /* of the life whose shape is known; 0 for unknown */
  guint64 token;
  enum owned_state state;
  gboolean is_leaving;
  gboolean is_removed;   /* freed when the last reference goes */
  gboolean is_releasing; /* given up once nothing runs there */
  guint ref_count;
  struct list_node runs;  /* struct run by link */
  guint n_runs;           /* in runs */
  guint n_foreign;        /* runs listed that nobody here has started */
  guint64 n_asks;         /* asks sent so far */
  guint64 n_answered;     /* number of the ask that was answered last */
  guint64 last_seen;      /* number of the last end that was taken note of */
  guint64 told_seen;      /* the same, as the latest ask has told it */
  guint64 acknowledged;   /* the last one that an answered ask has told */
  gint64 last_end_us;     /* when an end was last taken note of */
  gint64 asked_us;        /* when the latest ask was sent */
  gboolean is_polling;    /* an ask is on its way */
  guint64 doubted_ask;    /* number of the last ask that proves nothing */
  gint64 ask_due_us;      /* when to ask next */
  gint64 clock_ms;        /* its clock, as last read */
  gint64 clock_read_us;   /* own clock at that time; 0 for never */
  gint64 silent_since_us; /* 0 while it answers */
  guint n_silent;         /* asks in a row without an answer */
  gint64 leased_until_ms; /* the latest lease that any order has named */
  gdouble slowness;       /* run times over those expected; 1 at first */
  gdouble failure_share;  /* of its latest runs, smoothed */
  gint64 rest_until_us;   /* gets no runs before */
  guint n_rests;
  gboolean is_on_probation; /* gets one run at a time */
  void *transport_data;     /* for the driver's use */
};

enum batch_task_state
{
  BATCH_TASK_QUEUED,
  BATCH_TASK_RUNNING,
  BATCH_TASK_DONE,
  BATCH_TASK_FAILED,
  BATCH_TASK_RETURNED, /* given back to the home, not started */
  BATCH_TASK_DROPPED,  /* nobody wants it any more; may still be stopping */
};

struct batch_task
{
  struct batch *batch;
  guint index; /* in the job */
  enum batch_task_state state;
  struct run *run; /* the current one */
  guint n_runs;
  guint n_failed;
  guint n_restarts; /* because of slow or hanging upstreams */
  char *failed_on;  /* the upstream where it failed last; NULL for none */
};

enum batch_end
{
  BATCH_DONE,    /* all tasks that were not returned */
  BATCH_FAILED,  /* a task used up its attempts */
  BATCH_NO_ROOM, /* nothing of it was ever started */
  BATCH_STOPPED, /* stopped after something was started; it no longer runs */
};

/* Tasks of one job, alike in their needs.  */
struct batch
{
  struct list_node link; /* in the owner's queue, or its other batches */
  guint number;          /* tells the batches of one job apart */
  char *job;             /* id; names of tasks are "JOB.0.STEP.INDEX" */
  char *home;            /* name of the VM that answers the job's caller */
  char *service;
  char *spec;           /* handed to the upstream as it is */
  char *affinity;       /* rack; empty for none */
  char *required_label; /* empty for none */
  guint step;
  guint first_run; /* runs of these tasks are numbered from here */
  struct shape need;
  gint64 estimate_us;
  gdouble far_factor; /* run time elsewhere than on the rack */
  guint per_upstream; /* most tasks on one upstream; 0 for no limit */
  guint priority;     /* 0 goes first; the late ones go after all others */
  guint attempts;
  gint64 start_by_us; /* to meet the objective */
  gint64
      end_by_us; /* not begun any more afterwards; DEADLINE_NEVER for none */
  gint64 queued_us;
  gint64 first_started_us; /* 0 before */
  gboolean is_settled;     /* its queued tasks are not given back */
  gboolean is_trial;       /* what does not start at once is given back */
  gboolean is_part;        /* others of the job's tasks may have begun */
  gboolean is_late;        /* start_by_us has passed while nothing of the job
                              had begun: it goes behind the others */
  guint n_tasks;
  guint n_queued;
  guint n_active; /* may be running */
  guint n_done;
  guint n_returned;
  guint n_started;      /* runs ever ordered that were not refused */
  gboolean is_ending;   /* the end is decided; waits for runs to stop */
  gboolean is_finished; /* its end has been told */
  enum batch_end end;
  const char *reason; /* static; why it did not end as done */
  struct batch_task *tasks;
  void *user_data; /* for the driver's use */
};

/* Why an upstream is trusted less, or again.  */
enum owner_health_event
{
  HEALTH_FAILING,      /* it fails what it runs: it rests */
  HEALTH_SLOW,         /* tasks stand still there or crawl: it rests */
  HEALTH_UNRESPONSIVE, /* it answers nothing: its leases are let lapse */
  HEALTH_RECOVERED,    /* it answers again */
  HEALTH_RESTARTED,    /* it has started anew */
};

struct owner_driver_ops
{
  /* Sends the order to start RUN with the lease UNTIL_MS.  */
  void (*start_run) (struct owner_driver *driver, struct run *run,
                     gint64 until_ms);

  /* Sends the order to stop RUN.  */
  void (*stop_run) (struct owner_driver *driver, struct run *run);

  /*
   * Asks UPSTREAM for what runs and has ended there, prolonging all leases to
   * UNTIL_MS unless that is 0.  The answer may wait for an end, WAIT_MS at
   * the most.
   */
  void (*ask) (struct owner_driver *driver, struct owned *upstream,
               gint64 until_ms, guint wait_ms);

  /* The order to start RUN got no answer; its upstream rests.  May be NULL. */
  void (*unanswered) (struct owner_driver *driver, const struct run *run);

  /* What is thought of UPSTREAM has changed.  May be NULL.  */
  void (*reassessed) (struct owner_driver *driver,
                      const struct owned *upstream,
                      enum owner_health_event doubt);

  /* RUN has ended, or was never begun.  May be NULL.  */
  void (*run_ended) (struct owner_driver *driver, const struct run *run,
                     enum run_end end);

  /* Gives the N_TASKS tasks of BATCH with those INDEXES, none of which runs,
     back to its home.  */
  void (*return_tasks) (struct owner_driver *driver, struct batch *batch,
                        const guint *indexes, guint n_tasks);

  /* BATCH has ended; frees it with batch_free ().  */
  void (*finish_batch) (struct owner_driver *driver, struct batch *batch);

  /* UPSTREAM is no longer owned: fenced, or released and empty.  */
  void (*lost) (struct owner_driver *driver, struct owned *upstream,
                gboolean is_fenced);

  /* Calls owner_advance () at WHEN_US; replaces the time set before.  */
  void (*wake_at) (struct owner_driver *driver, gint64 when_us);
};

/* The first member of every driver.  */
struct owner_driver
{
  const struct owner_driver_ops *ops;
};

struct owner_limits
{
  guint lease_ms;        /* of runs */
  guint max_lease_ms;    /* the longest that an upstream grants */
  guint clock_drift_ppm; /* by which an upstream's clock may be slow */
};

struct owner *owner_new (struct owner_driver *driver,
                         const struct owner_limits *limits);

/* Forgets everything without an order.  */
void owner_free (struct owner *owner);

/* What an upstream says of itself.  */
struct owned_spec
{
  const char *id;
  const char *address;
  const char *service;
  const char *availability_zone;
  const char *rack;
  const char *const *labels; /* NULL-ended; may be NULL */
  struct shape shape;
  gint64 born_ms;
  gboolean is_leaving;
};

/* Takes over the upstream of SPEC with TOKEN, or brings what is known of it up
   to date when it is owned already.  */
struct owned *owner_take_upstream (struct owner *owner,
                                   const struct owned_spec *spec,
                                   guint64 token, gint64 now_us);

/* Starts nothing more on the upstream, and gives it up once nothing runs
   there.  */
void owner_release_upstream (struct owner *owner, const char *id,
                             gint64 now_us);

/* The upstream is gone for good, with all that ran there.  */
void owner_remove_upstream (struct owner *owner, const char *id,
                            gint64 now_us);

struct owned *owner_find_upstream (struct owner *owner, const char *id);

struct owned *owned_ref (struct owned *upstream);
void owned_unref (struct owned *upstream);

/* A new batch with N_TASKS queued tasks, whose indexes the caller fills in. */
struct batch *batch_new (const char *job, const char *home, guint n_tasks);
void batch_free (struct batch *batch);

/* Whether all of BATCH was given back: nothing of it was done here.  */
gboolean batch_is_returned (const struct batch *batch);

/* Accepts BATCH, which is the owner's until finish_batch.  */
void owner_submit_batch (struct owner *owner, struct batch *batch,
                         gint64 now_us);

/* Stops BATCH for REASON, a static string; its end is told once nothing of it
   runs.  */
void owner_stop_batch (struct owner *owner, struct batch *batch,
                       const char *reason, gint64 now_us);

/* The batch that is served next, or NULL when nothing is queued.  */
const struct batch *owner_get_first_queued (const struct owner *owner);

/* Gives up to N_TASKS queued tasks for SERVICE back to their homes, the most
   urgent first, as there is room for them elsewhere.  */
void owner_return_queued (struct owner *owner, const char *service,
                          guint n_tasks, gint64 now_us);

/* Gives all queued tasks for SERVICE back, also those that were settled here:
   no upstream takes them any longer.  */
void owner_return_all (struct owner *owner, const char *service,
                       gint64 now_us);

/* The batches of HOME are no longer wanted: it is gone or cut off.  */
void owner_stop_home_batches (struct owner *owner, const char *home,
                              gint64 now_us);

/* How an order ended.  */
enum order_end
{
  ORDER_ACCEPTED,
  ORDER_FENCED,    /* a higher token is in force */
  ORDER_REJECTED,  /* definitely not carried out: too late, too old, no room */
  ORDER_INVALID,   /* the upstream says that the order is wrong */
  ORDER_UNHEALTHY, /* not carried out: the upstream takes no work now */
  ORDER_OTHER_INSTANCE, /* not carried out: the upstream has started anew */
  ORDER_NOT_SENT,       /* no byte was written */
  ORDER_UNANSWERED,     /* no answer; may be carried out now or later */
};

/* Ends start_run () of the run NUMBER of the task NAME on UPSTREAM; CLOCK_MS
   is the upstream's clock, 0 when the answer did not tell it.  */
void owner_start_ended (struct owner *owner, struct owned *upstream,
                        const char *name, guint number, enum order_end end,
                        gint64 clock_ms, gint64 now_us);

void owner_stop_ended (struct owner *owner, struct owned *upstream,
                       const char *name, guint number, enum order_end end,
                       gint64 clock_ms, gint64 now_us);

/* A run that an upstream lists as running.  */
struct listed_run
{
  const char *name;
  guint number;
  guint percent;
};

/* A run that an upstream lists as ended.  */
struct listed_end
{
  guint64 number; /* of the entry */
  const char *name;
  guint run;
  enum run_end end;
};

struct upstream_report
{
  gint64 clock_ms;
  gint64 born_ms; /* 0 when not told */
  const struct listed_run *running;
  guint n_running;
  const struct listed_end *ended;
  guint n_ended;
};

/* Ends ask ().  REPORT is NULL unless END is ORDER_ACCEPTED.  */
void owner_poll_ended (struct owner *owner, struct owned *upstream,
                       enum order_end end,
                       const struct upstream_report *report, gint64 now_us);

/* What the owner has to offer.  */
struct owner_room
{
  guint n_upstreams;  /* that take runs */
  gdouble free_cpus;  /* of those */
  gdouble total_cpus; /* of those */
  guint free_slots;   /* tasks of usual size that would start at once */
  guint n_slots;      /* tasks of usual size that fit at all */
  guint n_queued;     /* tasks */
  guint n_running;    /* tasks */
  gint64 queued_us;   /* run time of the queued tasks, added up */
};

void owner_get_room (struct owner *owner, const char *service,
                     struct owner_room *room, gint64 now_us);

/* Passes the time.  A call that comes late, as after a pause of the process,
   renews nothing before the upstreams have been asked.  */
void owner_advance (struct owner *owner, gint64 now_us);

/* Visits every owned upstream.  */
void owner_foreach_upstream (struct owner *owner,
                             void (*visit) (struct owned *upstream,
                                            gpointer data),
                             gpointer data);

#endif
