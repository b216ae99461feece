/*
 * Job arrivals for the bench: the shapes of the two deployments.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <glib.h>

#define WORKLOAD_MAX_TASKS 130

/* What is drawn for one deployment.  */
struct workload_shape
{
  const char *name;
  guint size_limits[5]; /* upper bounds of the size classes, 0 at the end */
  guint size_weights[5];
  gdouble long_part;  /* of tasks that take several seconds */
  gdouble burst_size; /* mean number of jobs that come together */
  gint64 travel_us;   /* one way to an upstream */
};

extern const struct workload_shape workload_shapes[];
extern const guint workload_n_shapes;

struct workload_job
{
  gint64 arrival_us;
  gint64 deadline_us; /* DEADLINE_NEVER for none */
  guint team;
  guint n_tasks;
  gint64 run_us[WORKLOAD_MAX_TASKS];
  gint64 declared_us[WORKLOAD_MAX_TASKS];
};

struct workload
{
  GPtrArray *jobs; /* struct workload_job, by arrival */
  gint64 end_us;
};

/* Draws jobs for DURATION_US that keep N_SLOTS busy to the part LOAD.  */
struct workload *workload_new (const struct workload_shape *shape,
                               guint n_slots, gdouble load, gint64 duration_us,
                               guint32 seed);
void workload_free (struct workload *workload);

/* Gives each job a deadline of FACTOR times its longest run plus SLACK_US.  */
void workload_set_deadlines (struct workload *workload, gdouble factor,
                             gint64 slack_us);

/* Adds the jobs of OTHER, as of TEAM, and frees OTHER.  */
void workload_merge (struct workload *workload, struct workload *other,
                     guint team);

/* The longest run of JOB.  */
gint64 workload_job_longest_us (const struct workload_job *job);

#endif
