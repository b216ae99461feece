/*
 * Random workloads for the benchmarks, in the shapes of two deployments.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <glib.h>

#define WORKLOAD_MAX_TASKS 130

/* The random distributions of one deployment's jobs.  */
struct workload_shape
{
  const char *name;
  guint max_sizes[5];     /* largest number of tasks of a job in each size
                             class; ends with 0 */
  guint size_percents[5]; /* percentage of jobs in each size class; sum 100 */
  gdouble long_task_fraction; /* of tasks, 0 to 1, that take 2 to 6 s */
  gdouble mean_burst_size;    /* mean number of jobs that arrive at once */
  gint64 one_way_delay_us;    /* network delay to an upstream */
};

extern const struct workload_shape workload_shapes[];
extern const guint workload_n_shapes;

struct workload_job
{
  gint64 arrival_us;  /* since the start of the workload */
  gint64 deadline_us; /* since the start; DEADLINE_NEVER for none */
  guint team;         /* number of the team, from 0 */
  guint n_tasks;

  /* For each task: its run time, and the caller's estimate of it.  */
  gint64 run_times_us[WORKLOAD_MAX_TASKS];
  gint64 declared_run_times_us[WORKLOAD_MAX_TASKS];
};

struct workload
{
  GPtrArray *jobs; /* struct workload_job, owned, by arrival time */
  gint64 end_us; /* the duration asked for; the last burst may arrive later */
};

/* Draws jobs that arrive over DURATION_US, with a mean load of LOAD on N_SLOTS
   slots; a load of 1 keeps all of them busy.  The same SEED draws the same
   jobs.  All jobs are of team 0 and have no deadline.  */
struct workload *workload_new (const struct workload_shape *shape,
                               guint n_slots, gdouble load, gint64 duration_us,
                               guint32 seed);
void workload_free (struct workload *workload);

/* Sets the deadline of each job to its arrival time, plus FACTOR times the run
   time of its longest task, plus SLACK_US.  */
void workload_set_deadlines (struct workload *workload, gdouble factor,
                             gint64 slack_us);

/* Moves the jobs of OTHER into WORKLOAD as jobs of TEAM.  Frees OTHER.  */
void workload_merge (struct workload *workload, struct workload *other,
                     guint team);

/* The run time of the longest task of JOB.  */
gint64 workload_job_get_longest_us (const struct workload_job *job);

#endif
