/*
 * The shapes of jobs that the bench sends, and the times at which they arrive.
 *
 * Everything is drawn from a seeded generator, so that two runs with one seed
 * send the same jobs at the same times.
 */
#ifndef COMMANDS_BENCH_SHAPE_H
#define COMMANDS_BENCH_SHAPE_H

#include <glib.h>

/* How many tasks a job has and how long they run.  */
struct bench_shape
{
  guint min_tasks;
  guint max_tasks;
  guint min_run_ms;
  guint max_run_ms;
  guint long_percent; /* of the tasks, those that run long instead */
  guint min_long_ms;
  guint max_long_ms;
  gdouble declared_factor; /* declared run times are off by up to this */
  gboolean is_idempotent;
};

/* One job as it is sent.  */
struct bench_job
{
  char *body;
  guint n_tasks;
  guint ideal_ms; /* the run time of its longest task */
};

enum bench_arrivals
{
  BENCH_POISSON, /* each arrival independent of the others */
  BENCH_BURSTY,  /* several at the same moment */
  BENCH_CLOSED,  /* the next one when an answer has come */
};

/* A deployment's shapes and arrivals by name, or NULL.  Static.  */
struct bench_profile
{
  const char *name;
  struct bench_shape shape;
  enum bench_arrivals arrivals;
  guint burst; /* mean number of jobs of a burst */
};

const struct bench_profile *bench_profile_find (const char *name);

/* Reads "N" or "N-M".  */
gboolean bench_parse_range (const char *text, guint *min, guint *max);

/* The mean time that the tasks of a job run, added up, in milliseconds.  */
gdouble bench_shape_mean_work_ms (const struct bench_shape *shape);

/* Draws a job; JOB->body is freed by the caller.  */
void bench_shape_draw_job (const struct bench_shape *shape, GRand *random,
                           const char *team, const char *service,
                           struct bench_job *job);

/* Draws the time until the next arrival, in microseconds, for a mean of RATE
   arrivals a second.  */
gint64 bench_draw_interarrival_us (GRand *random, gdouble rate);

/* Draws the number of jobs of a burst with that mean.  */
guint bench_draw_burst_size (GRand *random, guint mean);

#endif
