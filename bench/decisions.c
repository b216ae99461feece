/*
 * Measures the decisions of one entry VM against fake upstreams.
 *
 * usage: bench-decisions
 * [placement|overload|burst|shared|faults|cancel|speed]...
 */
#include "base/clock.h"
#include "base/event_log.h"
#include "bench/fake_cell.h"
#include "bench/omniscient.h"
#include "coordination/order.h"
#include "coordination/placement.h"

#include <stdio.h>
#include <string.h>

#define N_UPSTREAMS 16
#define SLOTS 8
#define N_SLOTS (N_UPSTREAMS * SLOTS)
#define DURATION_US (300 * USEC_PER_SEC)
#define WARM_UP_US (30 * USEC_PER_SEC)
#define SEED 7

static const gdouble loads[] = { 0.5, 0.8, 0.95, 1.2 };

static struct fake_options
default_options (const struct workload_shape *shape)
{
  return (struct fake_options){
    .placement = PLACEMENT_DEFAULT,
    .order = ORDER_DEFAULT,
    .n_upstreams = N_UPSTREAMS,
    .n_teams = 1,
    .slots = SLOTS,
    .upstreams_per_rack = 8,
    .travel_us = shape->travel_us,
    .warm_up_us = WARM_UP_US,
    .fault_until_us = DEADLINE_NEVER,
  };
}

static gdouble
divide (gdouble a, gdouble b)
{
  return b > 0 ? a / b : 0;
}

static void
print_ratios (const char *placement, const char *order, const GArray *ratios,
              gdouble wasted, guint n_refused)
{
  printf ("  %-18s %-17s %8.2f %8.2f %8.2f %8.4f %8u\n", placement, order,
          percentile (ratios, 0.5), percentile (ratios, 0.99),
          percentile (ratios, 0.999), wasted, n_refused);
}

static void
print_omniscient (const struct workload *workload,
                  const struct workload_shape *shape, gboolean by_work)
{
  g_autoptr (GArray) ratios = omniscient_run (
      workload, N_SLOTS, shape->travel_us, WARM_UP_US, by_work);

  print_ratios ("(omniscient)", by_work ? "fewest-remaining" : "fifo", ratios,
                0, 0);
}

static void
measure_policy (const struct workload *workload,
                const struct fake_options *options)
{
  struct fake_result *result = fake_cell_run (workload, options);
  g_autoptr (GArray) ratios = fake_result_sort_ratios (result);
  gdouble wasted = divide ((gdouble)(result->n_refusals + result->n_stops),
                           (gdouble)result->n_tasks_done);

  print_ratios (options->placement, options->order, ratios, wasted,
                result->teams[0].n_refused + result->teams[0].n_late);
  fake_result_free (result);
}

static void
measure_cell (const struct workload_shape *shape, gdouble load)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, load, DURATION_US, SEED);
  struct fake_options options = default_options (shape);

  printf ("%s, load %.2f: response over ideal\n", shape->name, load);
  printf ("  %-18s %-17s %8s %8s %8s %8s %8s\n", "placement", "order", "p50",
          "p99", "p99.9", "wasted", "refused");
  print_omniscient (workload, shape, FALSE);
  print_omniscient (workload, shape, TRUE);
  for (guint i = 0; placement_list ()[i] != NULL; i++)
    for (guint j = 0; order_list ()[j] != NULL; j++)
      {
        options.placement = placement_list ()[i]->name;
        options.order = order_list ()[j]->name;
        measure_policy (workload, &options);
      }
  workload_free (workload);
}

static void
measure_placement (void)
{
  for (guint i = 0; i < workload_n_shapes; i++)
    for (guint j = 0; j < G_N_ELEMENTS (loads); j++)
      measure_cell (&workload_shapes[i], loads[j]);
}

/* Jobs have three times their longest run and a second to be answered.  */
#define DEADLINE_FACTOR 3
#define DEADLINE_SLACK_US USEC_PER_SEC

static void
measure_overload_at (const struct workload_shape *shape, gdouble load)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, load, DURATION_US, SEED);
  struct fake_options options = default_options (shape);
  struct fake_result *result;
  gdouble goodput;

  workload_set_deadlines (workload, DEADLINE_FACTOR, DEADLINE_SLACK_US);
  result = fake_cell_run (workload, &options);
  goodput = divide ((gdouble)result->useful_us,
                    (gdouble)result->span_us * N_SLOTS);
  printf ("  %-10s %5.1f %9.3f %9u %9u %9u %9u %9u %9.4f\n", shape->name, load,
          goodput, result->teams[0].n_offered, result->teams[0].n_complete,
          result->teams[0].n_refused, result->teams[0].n_late,
          result->teams[0].n_failed,
          divide ((gdouble)result->n_stops, (gdouble)result->n_tasks_done));
  fake_result_free (result);
  workload_free (workload);
}

static void
measure_overload (void)
{
  static const gdouble overloads[] = { 1, 2, 4, 10 };

  printf ("overload: work of complete jobs over capacity\n");
  printf ("  %-10s %5s %9s %9s %9s %9s %9s %9s %9s\n", "jobs", "load",
          "goodput", "offered", "complete", "refused", "late", "failed",
          "stops");
  for (guint i = 0; i < workload_n_shapes; i++)
    for (guint j = 0; j < G_N_ELEMENTS (overloads); j++)
      measure_overload_at (&workload_shapes[i], overloads[j]);
}

#define N_QUIET_TEAMS 4

/* Quiet teams at a load of 0.1 each, and one that bursts to BURST_LOAD.  */
static struct workload *
make_burst (const struct workload_shape *shape, gdouble burst_load)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, 0.1, DURATION_US, SEED);

  for (guint i = 1; i < N_QUIET_TEAMS; i++)
    workload_merge (workload,
                    workload_new (shape, N_SLOTS, 0.1, DURATION_US, SEED + i),
                    i);
  if (burst_load > 0)
    workload_merge (workload,
                    workload_new (shape, N_SLOTS, burst_load, DURATION_US,
                                  SEED + N_QUIET_TEAMS),
                    N_QUIET_TEAMS);
  return workload;
}

static gdouble
measure_quiet_teams (const struct workload_shape *shape, gdouble burst_load,
                     gdouble *p50)
{
  struct workload *workload = make_burst (shape, burst_load);
  struct fake_options options = default_options (shape);
  struct fake_result *result;
  gdouble p99;

  options.n_teams = N_QUIET_TEAMS + 1;
  result = fake_cell_run (workload, &options);
  g_array_set_size (result->teams[N_QUIET_TEAMS].ratios, 0);
  g_autoptr (GArray) ratios = fake_result_sort_ratios (result);

  p99 = percentile (ratios, 0.99);
  *p50 = percentile (ratios, 0.5);
  fake_result_free (result);
  workload_free (workload);
  return p99;
}

static void
measure_burst (void)
{
  static const gdouble burst_loads[] = { 0.5, 1, 2, 4 };

  printf ("burst of one team: the other teams' response over ideal\n");
  printf ("  %-10s %6s %8s %8s %8s\n", "jobs", "burst", "p50", "p99",
          "to alone");
  for (guint i = 0; i < workload_n_shapes; i++)
    {
      const struct workload_shape *shape = &workload_shapes[i];
      gdouble p50;
      gdouble alone = measure_quiet_teams (shape, 0, &p50);

      printf ("  %-10s %6s %8.2f %8.2f %8.2f\n", shape->name, "none", p50,
              alone, 1.0);
      for (guint j = 0; j < G_N_ELEMENTS (burst_loads); j++)
        {
          gdouble p99 = measure_quiet_teams (shape, burst_loads[j], &p50);

          printf ("  %-10s %6.1f %8.2f %8.2f %8.2f\n", shape->name,
                  burst_loads[j], p50, p99, divide (p99, alone));
        }
    }
}

struct fault_case
{
  const char *name;
  enum fake_fault fault;
  guint n_faulty;
};

static void
measure_fault (const struct workload_shape *shape,
               const struct fault_case *what, gint64 at_us, gint64 until_us)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, 0.6, 120 * USEC_PER_SEC, SEED);
  struct fake_options options = default_options (shape);
  struct fake_result *result;

  workload_set_deadlines (workload, 10, 10 * USEC_PER_SEC);
  options.fault = what->fault;
  options.n_faulty = what->n_faulty;
  options.fault_at_us = at_us;
  options.fault_until_us = until_us;
  options.warm_up_us = 0;
  result = fake_cell_run (workload, &options);
  g_autoptr (GArray) ratios = fake_result_sort_ratios (result);

  printf ("  %-10s %-14s %3u %5d %7u %7u %7u %8u %8u %8u %8.2f\n", shape->name,
          what->name, what->n_faulty, (int)(at_us / USEC_PER_SEC),
          result->n_to_faulty, result->n_after, result->n_periods,
          result->teams[0].n_complete, result->teams[0].n_failed,
          result->teams[0].n_late, percentile (ratios, 0.99));
  fake_result_free (result);
  workload_free (workload);
}

static void
measure_faults (void)
{
  static const struct fault_case cases[] = {
    { "none", FAKE_SOUND, 0 },
    { "fails-fast", FAKE_FAILS_FAST, 1 },
    { "fails-part", FAKE_FAILS_PART, 1 },
    { "hangs", FAKE_HANGS, 1 },
    { "slow", FAKE_SLOW, 1 },
    { "dead", FAKE_DEAD, 1 },
    { "rack fails", FAKE_FAILS_FAST, 8 },
    { "rack dead", FAKE_DEAD, 8 },
    { "all fail", FAKE_FAILS_FAST, 16 },
    { "all dead", FAKE_DEAD, 16 },
  };

  printf ("faulty upstreams of 16, load 0.6, at the start or for 30 s\n");
  printf ("  %-10s %-14s %3s %5s %7s %7s %7s %8s %8s %8s %8s\n", "jobs",
          "fault", "n", "at", "before", "after", "periods", "complete",
          "failed", "late", "p99");
  for (guint i = 0; i < workload_n_shapes; i++)
    for (guint j = 0; j < G_N_ELEMENTS (cases); j++)
      {
        const struct workload_shape *shape = &workload_shapes[i];

        measure_fault (shape, &cases[j], 0, DEADLINE_NEVER);
        measure_fault (shape, &cases[j], 30 * USEC_PER_SEC, 60 * USEC_PER_SEC);
      }
}

/* This VM is one of three that load the same upstreams alike.  */
#define N_VMS 3

static void
measure_shared_cell (const struct workload_shape *shape, gdouble load,
                     const char *placement, guint share)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, load / N_VMS, DURATION_US, SEED);
  struct fake_options options = default_options (shape);
  struct fake_result *result;

  options.placement = placement;
  options.share = share;
  options.others_load = load * (N_VMS - 1) / N_VMS;
  result = fake_cell_run (workload, &options);
  g_autoptr (GArray) ratios = fake_result_sort_ratios (result);

  printf ("  %-10s %5.2f %-18s %5u %8.2f %8.2f %8.4f %8u\n", shape->name, load,
          placement, share, percentile (ratios, 0.5),
          percentile (ratios, 0.99),
          divide ((gdouble)result->n_refusals, (gdouble)result->n_tasks_done),
          result->teams[0].n_failed + result->teams[0].n_late);
  fake_result_free (result);
  workload_free (workload);
}

static void
measure_shared (void)
{
  printf (
      "one of three VMs that load the same upstreams; share of the slots\n");
  printf ("  %-10s %5s %-18s %5s %8s %8s %8s %8s\n", "jobs", "load",
          "placement", "share", "p50", "p99", "wasted", "failed");
  for (guint i = 0; i < workload_n_shapes; i++)
    for (guint j = 0; j < G_N_ELEMENTS (loads) - 1; j++)
      {
        const struct workload_shape *shape = &workload_shapes[i];

        for (guint k = 0; placement_list ()[k] != NULL; k++)
          measure_shared_cell (shape, loads[j], placement_list ()[k]->name, 0);
        measure_shared_cell (shape, loads[j], PLACEMENT_DEFAULT, 3);
      }
}

#define CANCEL_WAVE 10000

/* Calls of the dispatcher while a wave of jobs is cancelled.  */
static void
measure_cancel (void)
{
  const struct workload_shape *shape = &workload_shapes[0];
  struct workload *workload
      = workload_new (shape, N_SLOTS, 20, 30 * USEC_PER_SEC, SEED);
  struct fake_options options = default_options (shape);
  struct fake_result *result;

  options.warm_up_us = 0;
  options.cancel_at_us = 20 * USEC_PER_SEC;
  options.cancel_count = CANCEL_WAVE;
  options.max_queued_tasks = G_MAXUINT / 2;
  result = fake_cell_run (workload, &options);
  printf ("cancellation of a wave: %u jobs, %.1f ms in all, %.2f us a job\n",
          result->n_cancelled, result->cancel_us / 1000,
          divide (result->cancel_us, result->n_cancelled));
  printf ("  longest single call %.2f ms, stops %" G_GUINT64_FORMAT "\n",
          result->slowest_cancel_us / 1000, result->n_stops);
  fake_result_free (result);
  workload_free (workload);
}

/* Processor time a task, queues long.  */
static void
measure_speed (void)
{
  static const guint counts[] = { 16, 80, 200 };

  printf ("processor time of the decisions, fake world included\n");
  printf ("  %9s %6s %10s %12s\n", "upstreams", "load", "tasks", "us a task");
  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    for (guint j = 0; j < G_N_ELEMENTS (loads); j++)
      {
        const struct workload_shape *shape = &workload_shapes[1];
        struct workload *workload = workload_new (
            shape, counts[i] * SLOTS, loads[j], 60 * USEC_PER_SEC, SEED);
        struct fake_options options = default_options (shape);
        struct fake_result *result;

        options.n_upstreams = counts[i];
        options.warm_up_us = 0;
        result = fake_cell_run (workload, &options);
        printf ("  %9u %6.2f %10" G_GUINT64_FORMAT " %12.2f\n", counts[i],
                loads[j], result->n_tasks_done,
                divide (result->cpu_us, (gdouble)result->n_tasks_done));
        fake_result_free (result);
        workload_free (workload);
      }
}

struct measurement
{
  const char *name;
  void (*run) (void);
};

static const struct measurement measurements[] = {
  { "placement", measure_placement }, { "overload", measure_overload },
  { "burst", measure_burst },         { "shared", measure_shared },
  { "faults", measure_faults },       { "cancel", measure_cancel },
  { "speed", measure_speed },
};

static gboolean
is_asked_for (int argc, char **argv, const char *name)
{
  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], name) == 0)
        return TRUE;
    }
  return argc == 1;
}

int
main (int argc, char **argv)
{
  event_log_set_level (LOG_LEVEL_ERROR);
  for (guint i = 0; i < G_N_ELEMENTS (measurements); i++)
    {
      if (is_asked_for (argc, argv, measurements[i].name))
        measurements[i].run ();
      fflush (stdout);
    }
  return 0;
}
