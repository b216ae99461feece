/*
 * The workload of the bench: the shape of the jobs and their arrival times.
 *
 * All random values come from a seeded generator, so that two runs with the
 * same seed send the same jobs at the same times.
 */
#ifndef COMMANDS_BENCH_SHAPE_H
#define COMMANDS_BENCH_SHAPE_H

#include <glib.h>

/* The number of tasks in a job and their run times.  Ranges include both ends
   and are drawn from uniformly.  */
struct bench_shape
{
  guint min_tasks;
  guint max_tasks;
  guint min_run_ms;
  guint max_run_ms;
  guint long_percent; /* share of the tasks that use the range below instead */
  guint min_long_ms;
  guint max_long_ms;
  gdouble declared_factor; /* declared run times deviate from the real ones by
                              up to this factor */
  gboolean is_idempotent;
};

/* A job to be sent.  */
struct bench_job
{
  char *body; /* JSON text of the request */
  guint n_tasks;
  guint ideal_ms; /* the run time of its longest task */
};

enum bench_arrivals
{
  BENCH_POISSON, /* open loop: independent arrivals */
  BENCH_BURSTY,  /* open loop: several jobs arrive at the same time */
  BENCH_CLOSED,  /* closed loop: the next job is sent after an answer */
};

/* The job shape and the arrivals of a deployment.  */
struct bench_profile
{
  const char *name;
  struct bench_shape shape;
  enum bench_arrivals arrivals;
  guint burst; /* mean number of jobs in a burst */
};

/* Returns the profile of that name, or NULL.  Static.  */
const struct bench_profile *bench_profile_find (const char *name);

/* Parses "N", which sets both *MIN and *MAX, or "N-M" with M >= N.  Returns
   FALSE on any other text and leaves both unchanged.  */
gboolean bench_parse_range (const char *text, guint *min, guint *max);

/* Returns the mean total run time of the tasks in a job, in milliseconds.  */
gdouble bench_shape_mean_work_ms (const struct bench_shape *shape);

/* Fills JOB with a random job of SHAPE.  The caller owns JOB->body.  */
void bench_shape_draw_job (const struct bench_shape *shape, GRand *random,
                           const char *team, const char *service,
                           struct bench_job *job);

/* Returns a random time until the next arrival, in microseconds, exponentially
   distributed for a mean of RATE arrivals per second.  */
gint64 bench_draw_interarrival_us (GRand *random, gdouble rate);

/* Returns a random number of jobs in a burst, at least 1, geometrically
   distributed with that MEAN.  */
guint bench_draw_burst_size (GRand *random, guint mean);

#endif
