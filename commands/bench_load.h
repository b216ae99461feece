/*
 * The load generator of a bench run: sends jobs and records the response time
 * of each.
 *
 * In an open loop the arrivals do not wait for answers, and the response time
 * of a job counts from its intended arrival.  Otherwise a sender that falls
 * behind would hide the delay (coordinated omission).
 */
#ifndef COMMANDS_BENCH_LOAD_H
#define COMMANDS_BENCH_LOAD_H

#include "base/error.h"
#include "commands/bench_shape.h"

#include <glib.h>
#include <sys/types.h>

/* Maximum number of entry VMs in one run.  */
#define BENCH_MAX_ENTRIES 32

/* The parameters of a run.  Strings are borrowed.  */
struct bench_config
{
  char **entries; /* "IP:PORT" of entry VMs; of upstreams if IS_DIRECT */
  guint n_entries;
  pid_t pids[BENCH_MAX_ENTRIES]; /* of the entry processes; 0 if unknown */
  const char *team;
  const char *service;
  struct bench_shape shape;
  enum bench_arrivals arrivals;
  guint burst;     /* mean number of jobs in a burst, for BENCH_BURSTY */
  gdouble rate;    /* jobs per second, in an open loop */
  guint n_clients; /* jobs in flight, in a closed loop */
  gdouble seconds; /* time during which jobs arrive, warm-up included */
  gdouble warmup_seconds; /* not measured */
  guint max_jobs;         /* no more are sent */
  guint32 seed;           /* of the random generator */
  gboolean is_direct;     /* send single tasks to upstreams */
};

/* The times of one complete job.  */
struct bench_sample
{
  gfloat response_ms; /* from its intended arrival */
  gfloat ideal_ms;    /* run time of its longest task */
};

/* The resource usage of an entry VM's process during the load.  */
struct bench_usage
{
  gint64 cpu_us;      /* within the window */
  gint64 peak_rss_kb; /* in KiB, of the whole run */
};

/* The measurements of a run.  The window starts after the warm-up and ends
   with the arrivals.  */
struct bench_outcome
{
  GArray *samples; /* struct bench_sample, of the complete jobs that were to
                      arrive after the warm-up */
  gdouble window_seconds;
  guint64 n_sent;            /* jobs, warm-up included */
  guint64 n_complete;        /* jobs, warm-up included */
  guint64 n_tasks_complete;  /* tasks of the complete jobs */
  guint64 n_tasks_in_window; /* tasks of the jobs answered in the window */
  guint64 n_unanswered; /* jobs without an answer, or with an unknown error */
  guint64 failed[ERROR_KIND_COUNT]; /* jobs that failed with each kind */
  gint64 tool_cpu_us;               /* of this process within the window */
  struct bench_usage usage[BENCH_MAX_ENTRIES]; /* of each entry VM */
};

/* Sends the load of CONFIG and waits for the answers.  Free the result with
   bench_outcome_free ().  */
struct bench_outcome *bench_load_run (const struct bench_config *config);
void bench_outcome_free (struct bench_outcome *outcome);

#endif
