/*
 * The data of the jobs of a home, and of the parts into which a job is
 * divided: types, reference counts, times and lookups.  The decisions are in
 * transport/fleet_home.c.
 */
#ifndef TRANSPORT_FLEET_JOB_H
#define TRANSPORT_FLEET_JOB_H

#include "coordination/task_offer.h"
#include "coordination/waiting_jobs.h"
#include "transport/fleet_admission.h"
#include "transport/fleet_home.h"

/* Tasks of a job that were sent to one owner in one batch, as the home tracks
   them.  */
struct fleet_part
{
  struct batch_sink sink;
  struct list_node link; /* in job->parts */
  struct fleet_job *job; /* holds a reference */
  guint number;          /* of the batch; unique in the home */
  char *owner;           /* name of the owner VM; NULL for this VM */
  guint64 incarnation;   /* of the owner VM; 0 when not known */
  gboolean is_open;      /* its end has not been handled yet */
  struct batch *batch;   /* the batch if it runs on this VM, otherwise NULL */
  guint n_offers;        /* owners that its tasks are offered to; 0 if it was
                            given its tasks */
  struct task_set offered;       /* the tasks that it may claim */
  guint n_tasks;                 /* given or granted, and not returned */
  guint indexes[PEER_TASKS_MAX]; /* of these tasks in the job */
};

struct fleet_job
{
  guint ref_count;
  struct fleet_home *home;
  struct fleet_submission *submission;
  struct fleet_answer_handler *handler; /* NULL once answered or cancelled */
  struct list_node parts; /* struct fleet_part by link; the open ones */
  gint64 accepted_us;     /* a reading of clock_now_us (), as all times here */
  gint64 start_by_us;     /* latest start of a task to meet the objective */
  gint64 end_by_us;       /* no task is started later */
  gint64 deadline_us;     /* when to give the job up; once it is given up,
                             when to answer it at the latest */
  guint first_number;     /* of its first part */
  guint n_parts;          /* created so far */
  guint n_sent_parts;     /* at owners, and not known to have ended */
  guint n_logged_parts;   /* the first parts, which the log line of the
                             acceptance contains */
  GString *trail;         /* steps for the log line of the answer */
  guint n_assignments;    /* times that tasks were assigned to owners */
  struct waiting_job waiting; /* for slots, if it is linked */
  gboolean has_waited;        /* it was in the list of waiting jobs */
  struct task_set wanted;     /* tasks that are offered and not granted yet */
  struct task_set done;       /* tasks that an owner has named as done */
  struct task_set crashed;  /* tasks that an owner has returned after a crash,
                               and that are no suspects */
  struct task_set suspects; /* of crashing upstreams, as the owners that have
                               returned them say */
  gboolean is_closed;       /* answered or cancelled */
  const char *give_up_reason;   /* static string; NULL unless given up.  The
                                   answer follows when all parts have ended */
  gint64 retry_after_ms;        /* for the answer if nothing was started */
  struct fleet_refusal refusal; /* why the queues are too long for it */
  gboolean has_started;         /* a task may have been started */
};

/* References are held by the home, until the job is closed, and by each
   part.  */
struct fleet_job *fleet_job_ref (struct fleet_job *job);
void fleet_job_unref (struct fleet_job *job);

/* Computes the times of JOB from its acceptance and its submission.  */
void fleet_job_set_times (struct fleet_job *job);

/* Whether an open part of JOB may still claim tasks.  */
gboolean fleet_job_has_offers (const struct fleet_job *job);

/* Whether the caller of JOB, which is open, still waits.  Events that have
   reached this process may not have been handled, as after a pause: the
   connection is asked.  */
gboolean fleet_job_is_awaited (const struct fleet_job *job);

/* The open part of JOB with NUMBER, or NULL.  */
struct fleet_part *fleet_job_find_part (const struct fleet_job *job,
                                        guint number);

/* Whether each task of JOB was named as done.  */
gboolean fleet_job_is_done (const struct fleet_job *job);

/* Unlinks and frees PART, and drops its reference to the job.  */
void fleet_part_free (struct fleet_part *part);

/* Grants up to N of the tasks that PART may claim.  Writes their indexes to
   GRANTED, which has room for N.  Returns their number.  */
guint fleet_part_grant (struct fleet_part *part, guint n, guint *granted);

/* Removes the tasks with INDEXES, which its owner has returned, from PART.
   PART may not claim them again, since its owner has forgotten them.  Writes
   the indexes of those that were in PART to OUT, which has room for N_INDEXES.
   Returns their number.  */
guint fleet_part_remove_tasks (struct fleet_part *part, const guint *indexes,
                               guint n_indexes, guint *out);

/* The owner of the N tasks RETURNED of JOB has named the tasks CRASHED, of
   which others than those do not count, as lost in a crash, and as suspects if
   ARE_SUSPECTS.  */
void fleet_job_note_crashed (struct fleet_job *job, const guint *returned,
                             guint n, const guint *crashed, guint n_crashed,
                             gboolean are_suspects);

/* PART has ended, and its owner names the tasks INDEXES as done: adds those
   that were in PART to the done tasks of its job.  What is left in PART is not
   done, neither here nor elsewhere.  */
void fleet_part_take_done (struct fleet_part *part, const guint *indexes,
                           guint n_indexes);

#endif
