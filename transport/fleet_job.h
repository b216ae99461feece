/*
 * The jobs of a fleet's home and the parts that their owners run: data and its
 * lifetime.  transport/fleet_home.c decides.
 */
#ifndef TRANSPORT_FLEET_JOB_H
#define TRANSPORT_FLEET_JOB_H

#include "transport/fleet_home.h"

/* Tasks of a job that one owner runs.  */
struct fleet_part
{
  struct batch_sink sink;
  struct list_node link; /* in job->parts */
  struct fleet_job *job; /* referenced */
  guint number;
  char *owner; /* name of the VM; NULL for this one */
  guint64 incarnation;
  gboolean is_open;    /* its end is awaited */
  gboolean is_trial;   /* what does not start at once comes back */
  struct batch *batch; /* of this VM; NULL otherwise */
  guint n_tasks;
  guint indexes[PEER_TASKS_MAX];
};

struct fleet_job
{
  guint ref_count;
  struct fleet_home *home;
  struct fleet_submission *submission;
  struct fleet_answer_handler *waiter; /* NULL once answered or abandoned */
  struct list_node parts; /* struct fleet_part by link, those that are open */
  gint64 accepted_us;
  gint64 start_by_us;
  gint64 end_by_us;
  gint64 deadline_us; /* it is given up, or answered if it was before */
  guint n_parts;      /* ever made */
  guint n_told;       /* the first ones, which the line of its coming names */
  GString *trail;     /* what the line of its end will tell */
  guint n_spreads;
  guint n_done;               /* tasks */
  gboolean is_ended;          /* answered or abandoned */
  const char *give_up_reason; /* static; set once it is given up, and answered
                                 when all that runs has stopped */
  gint64 retry_after_ms;      /* of that answer, if nothing was started */
  gboolean has_started;       /* a task may have been started */
};

/* A job counts references: its home holds one, and each part.  */
struct fleet_job *fleet_job_ref (struct fleet_job *job);
void fleet_job_unref (struct fleet_job *job);

/* The open part of JOB with that number, or NULL.  */
struct fleet_part *fleet_job_find_part (const struct fleet_job *job,
                                        guint number);

/* Unlinks PART and drops its reference to the job.  */
void fleet_part_free (struct fleet_part *part);

/* Takes the tasks with those INDEXES out of PART; fills OUT, of the same
   length, with those that were in it.  Returns their number.  */
guint fleet_part_remove_tasks (struct fleet_part *part, const guint *indexes,
                               guint n_indexes, guint *out);

#endif
