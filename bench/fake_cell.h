/*
 * One dispatcher with fake upstreams under a fake clock, driven by events.
 */
#ifndef BENCH_FAKE_CELL_H
#define BENCH_FAKE_CELL_H

#include "bench/workload.h"

/* What is wrong with a fake upstream.  */
enum fake_fault
{
  FAKE_SOUND,
  FAKE_FAILS_FAST, /* every task fails after a millisecond */
  FAKE_FAILS_PART, /* three of ten tasks fail */
  FAKE_HANGS,      /* nothing answers, renewals neither */
  FAKE_SLOW,       /* ten times slower */
  FAKE_DEAD,       /* nothing can be sent */
};

struct fake_options
{
  const char *placement;
  const char *order;
  guint n_upstreams;
  guint n_teams; /* all share the upstreams */
  guint slots;
  guint upstreams_per_rack;
  gint64 travel_us;
  gint64 warm_up_us; /* jobs that arrive before are not counted */
  enum fake_fault fault;
  guint n_faulty;     /* the first upstreams */
  gint64 fault_at_us; /* when they become so */
  gint64 fault_until_us;
  gint64 cancel_at_us; /* when CANCEL_COUNT waiting jobs are cancelled */
  guint cancel_count;
  guint max_queued_tasks; /* 0 for the default */
  gdouble others_load;    /* part of all slots that other VMs' tasks take */
  guint share;            /* this VM's slots of each upstream; 0 for all */
};

struct fake_team_result
{
  GArray *ratios; /* gdouble, response over ideal of complete jobs */
  guint n_offered;
  guint n_complete;
  guint n_refused; /* at the door */
  guint n_late;    /* refused or given up after acceptance */
  guint n_failed;  /* for other reasons */
};

struct fake_result
{
  struct fake_team_result *teams;
  guint n_teams;
  guint64 n_starts;
  guint64 n_refusals; /* starts that did not run */
  guint64 n_stops;
  guint64 n_tasks_done;
  gint64 useful_us; /* run time of the tasks of complete jobs */
  gint64 span_us;   /* time over which useful_us was counted */
  guint
      n_to_faulty; /* starts on faulty upstreams before the first probation */
  guint n_after;   /* and after it */
  guint n_periods; /* backoff periods after it */
  gdouble cpu_us;  /* processor time of this process, all */
  guint n_cancelled;
  gdouble cancel_us;         /* processor time of the cancellations, all */
  gdouble slowest_cancel_us; /* and of the slowest */
};

/* Runs WORKLOAD to its end.  */
struct fake_result *fake_cell_run (const struct workload *workload,
                                   const struct fake_options *options);
void fake_result_free (struct fake_result *result);

/* The sum over all teams of complete jobs' ratios, sorted.  */
GArray *fake_result_sort_ratios (struct fake_result *result);

/* The part P, 0 to 1, of the sorted RATIOS lies below the result.  */
gdouble percentile (const GArray *ratios, gdouble p);

#endif
