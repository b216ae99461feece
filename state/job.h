/*
 * Jobs and their tasks.
 *
 * A job is one submission of a caller and owns the array of its tasks.  Jobs
 * are reference counted.  The job table, each task that occupies an upstream
 * and the reservation of a host hold a reference.
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
  TASK_QUEUED,  /* not started; may be dropped without effects */
  TASK_RUNNING, /* occupies an upstream; the outcome is not known yet */
  TASK_DONE,    /* ran to its end; the output is kept */
  TASK_FAILED,  /* ran and failed, or its outcome is unknown */
  TASK_DROPPED, /* certainly did not run and will not be started */
};

struct task
{
  struct job *job;             /* not owned; referenced while TASK_RUNNING */
  struct list_node queue_link; /* in queue_entry->tasks */
  struct list_node upstream_link; /* in upstream->running */
  struct lane_entry *queue_entry; /* NULL unless it is queued; not owned */
  enum task_state state;
  guint index;          /* in job->tasks */
  guint n_moves;        /* attempts that certainly did not run */
  gint64 first_move_us; /* the end of the first of them */
  gboolean is_idempotent;
  gboolean is_stop_requested;
  gboolean is_lease_refused; /* the upstream does not renew its lease */
  struct shape need;
  gint64 declared_run_time_us; /* 0 when none was declared */
  gint64 estimate_us;        /* of its run time; see coordination/estimate.h */
  GBytes *input;             /* JSON text */
  GBytes *output;            /* JSON text; NULL unless kept for the answer */
  struct upstream *upstream; /* referenced while TASK_RUNNING */
  guint64 token;             /* fencing token of the last start */
  gint64 started_us;         /* the last start */
  gint64 lease_deadline_us;
  void *transport_data; /* the request in flight, of the transport layer */
};

enum job_state
{
  JOB_ACTIVE,
  JOB_COMPLETE, /* every task is done */
  JOB_FAILED,   /* ended with an error; some tasks may still be running */
};

/*
 * A caller that waits for the answer.  The function is called once, when the
 * job has finished.  The waiter is unlinked before the call.
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
  gint64 deadline_us;         /* of the answer */
  gint64 due_us;              /* when the dispatcher checks it next: at its
                                 deadline or earlier */
  gint64 expire_us;           /* when the kept answer may be dropped */
  gint64 retry_at_us;         /* when a job that was not run may be sent again;
                                 0 for none */
  gint64 queued_work_us;      /* sum of the estimates of its queued tasks */
  gint64 longest_estimate_us; /* of its tasks */
  gint64 start_by_us;         /* by when its longest task should start */
  gint64 end_by_us;           /* by when its longest task should end */
  gint64 key_bucket;          /* of its work in the pool's backlog_by_key */
  gint64 end_bucket;          /* of its work in the pool's backlog_by_end */
  guint64 sequence;           /* ascending in order of acceptance */
  guint n_tasks;
  guint n_queued;
  guint n_running;
  guint n_done;
  guint n_started; /* tasks that run or may have run */
  gboolean is_cancelled;
  struct task *tasks;
  gsize bytes;                   /* memory counted for the job */
  GError *failure;               /* set when JOB_FAILED */
  GBytes *answer;                /* the body of the answer, once finished */
  guint answer_status;           /* HTTP status of the answer */
  GSequenceIter *deadline_iter;  /* in the dispatcher's deadlines */
  struct list_node waiters;      /* struct job_waiter by link */
  struct list_node table_link;   /* in the job table's finished jobs */
  struct list_node lane_entries; /* struct lane_entry by job_link */
  void *order_data;              /* unused */
  struct pool *pool;             /* NULL before acceptance; not owned */
};

/* A new job with N_TASKS queued tasks and one reference.  */
struct job *job_new (const char *id, const char *team, const char *service,
                     guint n_tasks);

struct job *job_ref (struct job *job);
void job_unref (struct job *job);

/* Recomputes job->bytes from the sizes of JOB, its tasks and its answer.  */
void job_update_bytes (struct job *job);

/* The number of seconds, rounded up, after which JOB, which was not run, may
   be sent again; 0 for at once or when no such time is known.  */
guint job_get_retry_after_s (const struct job *job, gint64 now_us);

/* Releases the inputs of JOB's tasks, which are not needed once it has
   finished.  */
void job_drop_inputs (struct job *job);

#endif
