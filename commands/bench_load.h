/*
 * The load of a bench run: sends jobs and keeps how long each took.
 *
 * In an open loop the arrivals do not wait for answers, and a job's time
 * counts from its intended arrival, so that a sender which falls behind does
 * not hide the delay (coordinated omission).
 */
#ifndef COMMANDS_BENCH_LOAD_H
#define COMMANDS_BENCH_LOAD_H

#include "base/error.h"
#include "commands/bench_shape.h"

#include <glib.h>
#include <sys/types.h>

/* The most entry VMs in one run.  */
#define BENCH_MAX_ENTRIES 32

struct bench_config
{
  char **entries; /* "IP:PORT" */
  guint n_entries;
  pid_t pids[BENCH_MAX_ENTRIES]; /* of the entry processes; 0 if unknown */
  const char *team;
  const char *service;
  struct bench_shape shape;
  enum bench_arrivals arrivals;
  guint burst;
  gdouble rate;    /* jobs a second, in an open loop */
  guint n_clients; /* in a closed loop */
  gdouble seconds; /* of arrivals, warm-up included */
  gdouble warmup_seconds;
  guint max_jobs;
  guint32 seed;
  gboolean is_direct; /* single tasks, straight to upstreams */
};

/* One answered job.  */
struct bench_sample
{
  gfloat response_ms; /* from its intended arrival */
  gfloat ideal_ms;
};

/* What a process used while the load ran, after the warm-up.  */
struct bench_usage
{
  gint64 cpu_us;
  gint64 peak_rss_kb;
};

struct bench_outcome
{
  GArray *samples;        /* struct bench_sample, of complete jobs */
  gdouble window_seconds; /* after the warm-up, until arrivals ended */
  guint64 n_sent;
  guint64 n_complete; /* all, warm-up included */
  guint64 n_tasks_complete;
  guint64 n_tasks_in_window;
  guint64 n_unanswered; /* no answer, or none in time */
  guint64 failed[ERROR_KIND_COUNT];
  gint64 tool_cpu_us; /* of this process within the window */
  struct bench_usage usage[BENCH_MAX_ENTRIES];
};

/* Runs the load.  Free with bench_outcome_free ().  */
struct bench_outcome *bench_load_run (const struct bench_config *config);
void bench_outcome_free (struct bench_outcome *outcome);

#endif
