/*
 * Jobs and their tasks.
 *
 * A job is one accepted submission.  Its tasks live in one array that the job
 * owns.  A job is reference counted: the job table, each task that may still
 * be running on an upstream, and each waiting caller hold a reference.
 */
#ifndef STATE_JOB_H
#define STATE_JOB_H

#include "base/error.h"
#include "base/list.h"
#include "state/document.h"

#include <glib.h>

#define JOB_MAX_TASKS 130

struct job;
struct lane_entry;
struct pool;
struct upstream;

enum task_state
{
  TASK_QUEUED,  /* not started; may be dropped freely */
  TASK_RUNNING, /* handed to an upstream; the outcome is not known yet */
  TASK_DONE,    /* ran to its end; the output is kept */
  TASK_FAILED,  /* ran and failed, or the outcome stays unknown */
  TASK_DROPPED, /* never started and never to be */
};

struct task
{
  struct job *job; /* not owned; TASK_RUNNING implies a reference */
  struct list_node queue_link;    /* in the queue of its pool */
  struct list_node upstream_link; /* in upstream->running */
  struct lane_entry *queue_entry; /* while it is queued; not owned */
  enum task_state state;
  guint index;
  guint n_moves; /* definite refusals so far */
  gint64 first_refused_us;
  gboolean is_idempotent;
  gboolean is_stop_requested;
  gboolean is_lease_refused; /* the upstream does not renew its lease */
  struct shape need;
  gint64 declared_run_time_us; /* 0 when none was declared */
  gint64 estimate_us;          /* learned; only orders and refuses */
  GBytes *input;               /* JSON text */
  GBytes *output;              /* JSON text, of a task that is done */
  struct upstream *upstream;   /* referenced while TASK_RUNNING */
  guint64 token;               /* fencing token of the last start */
  gint64 started_us;
  gint64 lease_deadline_us;
  void *transport_data; /* the request in flight */
};

enum job_state
{
  JOB_ACTIVE,
  JOB_COMPLETE, /* every task is done */
  JOB_FAILED,   /* answered with an error; tasks may still run out */
};

/*
 * Someone who wants the answer.  The answer function is called once, when the
 * job has finished; the waiter has been unlinked before the call.
 */
struct job_waiter
{
  struct list_node link;
  void (*answer) (struct job_waiter *waiter, struct job *job);
};

struct job
{
  guint ref_count;
  char *id;
  char *team;
  char *service;
  enum job_state state;
  gint64 accepted_us;
  gint64 deadline_us;    /* the answer is due */
  gint64 due_us;         /* when the dispatcher looks at its deadline */
  gint64 forget_us;      /* the kept answer may be dropped */
  gint64 retry_at_us;    /* when a refused job may be sent again; 0 for none */
  gint64 queued_work_us; /* estimates of its queued tasks, added up */
  gint64 longest_estimate_us; /* of its tasks */
  gint64 start_by_us;         /* its longest task should have started */
  gint64 end_by_us;           /* and ended */
  gint64 key_step;            /* where its queued work is counted by key */
  gint64 due_step;            /* and by end_by_us */
  guint64 sequence;           /* order of acceptance */
  guint n_tasks;
  guint n_queued;
  guint n_running;
  guint n_done;
  guint n_started; /* tasks that were ever handed to an upstream and
                      not definitely refused */
  gboolean is_cancelled;
  struct task *tasks;
  gsize bytes;                  /* memory that the job accounts for */
  GError *failure;              /* set when JOB_FAILED */
  GBytes *answer;               /* the serialised answer once finished */
  guint answer_status;          /* its HTTP status */
  GSequenceIter *deadline_iter; /* in the dispatcher's deadlines */
  struct list_node waiters;     /* struct job_waiter by link */
  struct list_node table_link;  /* in the job table, by age */
  struct list_node order_link;  /* for the queueing order's use */
  void *order_data;             /* for the queueing order's use */
  struct pool *pool;            /* once accepted; not owned */
};

/* A new job with N_TASKS queued tasks and one reference.  */
struct job *job_new (const char *id, const char *team, const char *service,
                     guint n_tasks);

struct job *job_ref (struct job *job);
void job_unref (struct job *job);

/* Adds up the memory that JOB accounts for, in bytes.  */
void job_update_bytes (struct job *job);

/* The seconds, rounded up, until a refused job may be sent again; 0 when
   nothing is known.  */
guint job_get_retry_after_s (const struct job *job, gint64 now_us);

/* Drops the inputs, which are not needed once the job has finished.  */
void job_drop_inputs (struct job *job);

#endif
