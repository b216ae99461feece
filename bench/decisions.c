/*
 * Measures the scheduling decisions of one entry VM in a simulation with
 * simulated upstreams.
 *
 * usage: bench-decisions [MEASUREMENT]...
 *
 * MEASUREMENT is placement, overload, burst, shared, faults, cancel or speed.
 * Without arguments, runs all of them.
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
#define SLOTS_PER_UPSTREAM 8
#define N_SLOTS (N_UPSTREAMS * SLOTS_PER_UPSTREAM)
#define DURATION_US (300 * USEC_PER_SEC)
#define WARM_UP_US (30 * USEC_PER_SEC)
#define SEED 7

static const gdouble loads[] = { 0.5, 0.8, 0.95, 1.2 };

static struct simulation_options
default_options (const struct workload_shape *shape)
{
  return (struct simulation_options){
    .placement = PLACEMENT_DEFAULT,
    .order = ORDER_DEFAULT,
    .n_upstreams = N_UPSTREAMS,
    .n_teams = 1,
    .slots_per_upstream = SLOTS_PER_UPSTREAM,
    .upstreams_per_rack = 8,
    .one_way_delay_us = shape->one_way_delay_us,
    .warm_up_us = WARM_UP_US,
    .fault_end_us = DEADLINE_NEVER,
  };
}

/* A / B, or 0 if B is not positive.  */
static gdouble
divide_or_zero (gdouble a, gdouble b)
{
  return b > 0 ? a / b : 0;
}

/* Prints one row of the table of response times over ideal.  WASTED is the
   number of refused and stopped starts for each task done.  */
static void
print_ratios (const char *placement, const char *order, const GArray *ratios,
              gdouble wasted, guint n_refused)
{
  printf ("  %-18s %-17s %8.2f %8.2f %8.2f %8.4f %8u\n", placement, order,
          ratios_get_quantile (ratios, 0.5),
          ratios_get_quantile (ratios, 0.99),
          ratios_get_quantile (ratios, 0.999), wasted, n_refused);
}

static void
print_omniscient (const struct workload *workload,
                  const struct workload_shape *shape,
                  gboolean by_remaining_work)
{
  g_autoptr (GArray) ratios
      = omniscient_run (workload, N_SLOTS, shape->one_way_delay_us, WARM_UP_US,
                        by_remaining_work);

  print_ratios ("(omniscient)",
                by_remaining_work ? "fewest-remaining" : "fifo", ratios, 0, 0);
}

static void
measure_policy (const struct workload *workload,
                const struct simulation_options *options)
{
  struct simulation_result *result = simulation_run (workload, options);
  g_autoptr (GArray) ratios = simulation_result_merge_ratios (result);
  gdouble wasted
      = divide_or_zero ((gdouble)(result->n_refusals + result->n_stops),
                        (gdouble)result->n_tasks_done);

  print_ratios (options->placement, options->order, ratios, wasted,
                result->teams[0].n_refused + result->teams[0].n_late);
  simulation_result_free (result);
}

static void
measure_all_policies (const struct workload_shape *shape, gdouble load)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, load, DURATION_US, SEED);
  struct simulation_options options = default_options (shape);

  printf ("%s, load %.2f: response time over ideal\n", shape->name, load);
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
      measure_all_policies (&workload_shapes[i], loads[j]);
}

/* A job's deadline is DEADLINE_FACTOR times the run time of its longest task,
   plus DEADLINE_SLACK_US, after its arrival.  */
#define DEADLINE_FACTOR 3
#define DEADLINE_SLACK_US USEC_PER_SEC

static void
measure_overload_at (const struct workload_shape *shape, gdouble load)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, load, DURATION_US, SEED);
  struct simulation_options options = default_options (shape);
  struct simulation_result *result;
  gdouble goodput;

  workload_set_deadlines (workload, DEADLINE_FACTOR, DEADLINE_SLACK_US);
  result = simulation_run (workload, &options);
  goodput = divide_or_zero ((gdouble)result->goodput_us,
                            (gdouble)result->goodput_window_us * N_SLOTS);
  printf ("  %-10s %5.1f %9.3f %9u %9u %9u %9u %9u %9.4f\n", shape->name, load,
          goodput, result->teams[0].n_offered, result->teams[0].n_complete,
          result->teams[0].n_refused, result->teams[0].n_late,
          result->teams[0].n_failed,
          divide_or_zero ((gdouble)result->n_stops,
                          (gdouble)result->n_tasks_done));
  simulation_result_free (result);
  workload_free (workload);
}

static void
measure_overload (void)
{
  static const gdouble overloads[] = { 1, 2, 4, 10 };

  printf ("overload; goodput: run time of complete jobs as a fraction of the "
          "capacity; stops: for each task done\n");
  printf ("  %-10s %5s %9s %9s %9s %9s %9s %9s %9s\n", "jobs", "load",
          "goodput", "offered", "complete", "refused", "late", "failed",
          "stops");
  for (guint i = 0; i < workload_n_shapes; i++)
    for (guint j = 0; j < G_N_ELEMENTS (overloads); j++)
      measure_overload_at (&workload_shapes[i], overloads[j]);
}

#define N_STEADY_TEAMS 4

/* N_STEADY_TEAMS teams at a load of 0.1 each, and one more team at a load of
   BURST_LOAD.  */
static struct workload *
make_burst_workload (const struct workload_shape *shape, gdouble burst_load)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, 0.1, DURATION_US, SEED);

  for (guint i = 1; i < N_STEADY_TEAMS; i++)
    workload_merge (workload,
                    workload_new (shape, N_SLOTS, 0.1, DURATION_US, SEED + i),
                    i);
  if (burst_load > 0)
    workload_merge (workload,
                    workload_new (shape, N_SLOTS, burst_load, DURATION_US,
                                  SEED + N_STEADY_TEAMS),
                    N_STEADY_TEAMS);
  return workload;
}

/* The 99th percentile, and in P50 the median, of the steady teams' response
   time over ideal.  */
static gdouble
measure_steady_teams_p99 (const struct workload_shape *shape,
                          gdouble burst_load, gdouble *p50)
{
  struct workload *workload = make_burst_workload (shape, burst_load);
  struct simulation_options options = default_options (shape);
  struct simulation_result *result;
  gdouble p99;

  options.n_teams = N_STEADY_TEAMS + 1;
  result = simulation_run (workload, &options);
  g_array_set_size (result->teams[N_STEADY_TEAMS].ratios, 0);
  g_autoptr (GArray) ratios = simulation_result_merge_ratios (result);

  p99 = ratios_get_quantile (ratios, 0.99);
  *p50 = ratios_get_quantile (ratios, 0.5);
  simulation_result_free (result);
  workload_free (workload);
  return p99;
}

static void
measure_burst (void)
{
  static const gdouble burst_loads[] = { 0.5, 1, 2, 4 };

  printf ("burst of one team: the other teams' response time over ideal\n");
  printf ("  %-10s %6s %8s %8s %8s\n", "jobs", "burst", "p50", "p99",
          "vs alone");
  for (guint i = 0; i < workload_n_shapes; i++)
    {
      const struct workload_shape *shape = &workload_shapes[i];
      gdouble p50;
      gdouble alone_p99 = measure_steady_teams_p99 (shape, 0, &p50);

      printf ("  %-10s %6s %8.2f %8.2f %8.2f\n", shape->name, "none", p50,
              alone_p99, 1.0);
      for (guint j = 0; j < G_N_ELEMENTS (burst_loads); j++)
        {
          gdouble p99 = measure_steady_teams_p99 (shape, burst_loads[j], &p50);

          printf ("  %-10s %6.1f %8.2f %8.2f %8.2f\n", shape->name,
                  burst_loads[j], p50, p99, divide_or_zero (p99, alone_p99));
        }
    }
}

struct fault_case
{
  const char *name;
  enum upstream_fault fault;
  guint n_faulty;
};

static void
measure_fault (const struct workload_shape *shape,
               const struct fault_case *fault_case, gint64 start_us,
               gint64 end_us)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, 0.6, 120 * USEC_PER_SEC, SEED);
  struct simulation_options options = default_options (shape);
  struct simulation_result *result;

  workload_set_deadlines (workload, 10, 10 * USEC_PER_SEC);
  options.fault = fault_case->fault;
  options.n_faulty = fault_case->n_faulty;
  options.fault_start_us = start_us;
  options.fault_end_us = end_us;
  options.warm_up_us = 0;
  result = simulation_run (workload, &options);
  g_autoptr (GArray) ratios = simulation_result_merge_ratios (result);

  printf ("  %-10s %-14s %3u %5d %7u %7u %7u %8u %8u %8u %8.2f\n", shape->name,
          fault_case->name, fault_case->n_faulty,
          (int)(start_us / USEC_PER_SEC), result->n_faulty_starts_before,
          result->n_faulty_starts_after, result->n_probations,
          result->teams[0].n_complete, result->teams[0].n_failed,
          result->teams[0].n_late, ratios_get_quantile (ratios, 0.99));
  simulation_result_free (result);
  workload_free (workload);
}

static void
measure_faults (void)
{
  static const struct fault_case cases[] = {
    { "none", FAULT_NONE, 0 },
    { "fails-fast", FAULT_FAIL_FAST, 1 },
    { "fails-part", FAULT_FAIL_PARTLY, 1 },
    { "hangs", FAULT_HANG, 1 },
    { "slow", FAULT_SLOW, 1 },
    { "dead", FAULT_UNREACHABLE, 1 },
    { "rack fails", FAULT_FAIL_FAST, 8 },
    { "rack dead", FAULT_UNREACHABLE, 8 },
    { "all fail", FAULT_FAIL_FAST, 16 },
    { "all dead", FAULT_UNREACHABLE, 16 },
  };

  printf ("faulty upstreams out of 16, load 0.6, for good or from 30 to 60 s; "
          "before: starts on them without a probation on record; after: "
          "with one; periods: probations on record for one of them\n");
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

/* The measured VM and two others put the same load on the same upstreams.  */
#define N_VMS 3

static void
measure_shared_policy (const struct workload_shape *shape, gdouble load,
                       const char *placement, guint share)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, load / N_VMS, DURATION_US, SEED);
  struct simulation_options options = default_options (shape);
  struct simulation_result *result;

  options.placement = placement;
  options.slot_share = share;
  options.other_vms_load = load * (N_VMS - 1) / N_VMS;
  result = simulation_run (workload, &options);
  g_autoptr (GArray) ratios = simulation_result_merge_ratios (result);

  printf ("  %-10s %5.2f %-18s %5u %8.2f %8.2f %8.4f %8u\n", shape->name, load,
          placement, share, ratios_get_quantile (ratios, 0.5),
          ratios_get_quantile (ratios, 0.99),
          divide_or_zero ((gdouble)result->n_refusals,
                          (gdouble)result->n_tasks_done),
          result->teams[0].n_failed + result->teams[0].n_late);
  simulation_result_free (result);
  workload_free (workload);
}

static void
measure_shared (void)
{
  printf ("one of three VMs with the same load on the same upstreams; "
          "share: its slots of each, 0 for all\n");
  printf ("  %-10s %5s %-18s %5s %8s %8s %8s %8s\n", "jobs", "load",
          "placement", "share", "p50", "p99", "wasted", "failed");
  for (guint i = 0; i < workload_n_shapes; i++)
    for (guint j = 0; j < G_N_ELEMENTS (loads) - 1; j++)
      {
        const struct workload_shape *shape = &workload_shapes[i];

        for (guint k = 0; placement_list ()[k] != NULL; k++)
          measure_shared_policy (shape, loads[j], placement_list ()[k]->name,
                                 0);
        /* An even part of the slots of an upstream, rounded up.  */
        measure_shared_policy (shape, loads[j], PLACEMENT_DEFAULT, 3);
      }
}

#define N_CANCELLED_JOBS 10000

/* Measures the CPU time of cancelling many jobs at once while queues are long.
 */
static void
measure_cancel (void)
{
  const struct workload_shape *shape = &workload_shapes[0];
  struct workload *workload
      = workload_new (shape, N_SLOTS, 20, 30 * USEC_PER_SEC, SEED);
  struct simulation_options options = default_options (shape);
  struct simulation_result *result;

  options.warm_up_us = 0;
  options.cancel_at_us = 20 * USEC_PER_SEC;
  options.n_jobs_to_cancel = N_CANCELLED_JOBS;
  /* No job is refused for the length of the queue.  */
  options.max_queued_tasks = G_MAXUINT / 2;
  result = simulation_run (workload, &options);
  printf ("cancellation of %u jobs at once: %.1f ms in all, %.2f us a job\n",
          result->n_cancelled, result->cancel_cpu_us / 1000,
          divide_or_zero (result->cancel_cpu_us, result->n_cancelled));
  printf ("  longest single call %.2f ms, stops %" G_GUINT64_FORMAT "\n",
          result->max_cancel_cpu_us / 1000, result->n_stops);
  simulation_result_free (result);
  workload_free (workload);
}

/* Measures the CPU time for each task by number of upstreams and load.  */
static void
measure_cpu_time (void)
{
  static const guint counts[] = { 16, 80, 200 };

  printf ("CPU time of the decisions, simulation included\n");
  printf ("  %9s %6s %10s %12s\n", "upstreams", "load", "tasks", "us a task");
  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    for (guint j = 0; j < G_N_ELEMENTS (loads); j++)
      {
        const struct workload_shape *shape = &workload_shapes[1];
        struct workload *workload
            = workload_new (shape, counts[i] * SLOTS_PER_UPSTREAM, loads[j],
                            60 * USEC_PER_SEC, SEED);
        struct simulation_options options = default_options (shape);
        struct simulation_result *result;

        options.n_upstreams = counts[i];
        options.warm_up_us = 0;
        result = simulation_run (workload, &options);
        printf (
            "  %9u %6.2f %10" G_GUINT64_FORMAT " %12.2f\n", counts[i],
            loads[j], result->n_tasks_done,
            divide_or_zero (result->cpu_us, (gdouble)result->n_tasks_done));
        simulation_result_free (result);
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
  { "speed", measure_cpu_time },
};

static gboolean
is_selected (int argc, char **argv, const char *name)
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
      if (is_selected (argc, argv, measurements[i].name))
        measurements[i].run ();
      fflush (stdout);
    }
  return 0;
}
