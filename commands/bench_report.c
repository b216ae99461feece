#include "commands/bench_report.h"

#include "base/clock.h"
#include "commands/cli.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* The percentiles of the curve in a report.  */
static const gdouble curve_percents[]
    = { 0,  1,  5,  10, 20, 30, 40, 50,   60,   70, 75,
        80, 85, 90, 95, 97, 98, 99, 99.5, 99.9, 100 };

/* The quantiles in a report.  */
static const struct
{
  const char *name;
  gdouble percent;
} quantiles[] = {
  { "p50", 50 },
  { "p90", 90 },
  { "p99", 99 },
  { "p99_9", 99.9 },
};

enum measure
{
  MEASURE_OVER_IDEAL,  /* response time minus the ideal, in milliseconds */
  MEASURE_RATIO,       /* response time divided by the ideal */
  MEASURE_RESPONSE_MS, /* response time, in milliseconds */
};

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  gdouble x = *(const gdouble *)a;
  gdouble y = *(const gdouble *)b;

  return (x > y) - (x < y);
}

static gdouble
get_measure (const struct bench_sample *sample, enum measure measure)
{
  switch (measure)
    {
    case MEASURE_OVER_IDEAL:
      return (gdouble)sample->response_ms - (gdouble)sample->ideal_ms;
    case MEASURE_RATIO:
      return (gdouble)sample->response_ms / MAX ((gdouble)sample->ideal_ms, 1);
    default:
      return (gdouble)sample->response_ms;
    }
}

/* Returns MEASURE of every sample, in ascending order.  The caller owns the
   array of gdouble.  */
static GArray *
get_sorted_measures (const GArray *samples, enum measure measure)
{
  GArray *sorted = g_array_new (FALSE, FALSE, sizeof (gdouble));

  for (guint i = 0; i < samples->len; i++)
    {
      gdouble value = get_measure (
          &g_array_index (samples, struct bench_sample, i), measure);

      g_array_append_val (sorted, value);
    }
  g_array_sort (sorted, compare_doubles);
  return sorted;
}

/* Returns the quantile by the nearest-rank method, or 0 without values.  */
static gdouble
get_quantile (const GArray *sorted, gdouble percent)
{
  gdouble rank = ceil (percent / 100 * sorted->len);
  guint i = rank > 0 ? (guint)rank - 1 : 0;

  if (sorted->len == 0)
    return 0;
  return g_array_index (sorted, gdouble, MIN (i, sorted->len - 1));
}

static json_t *
build_quantiles (const GArray *samples, enum measure measure)
{
  GArray *sorted = get_sorted_measures (samples, measure);
  json_t *object = json_object ();

  for (gsize i = 0; i < G_N_ELEMENTS (quantiles); i++)
    json_object_set_new (
        object, quantiles[i].name,
        json_real (get_quantile (sorted, quantiles[i].percent)));
  g_array_unref (sorted);
  return object;
}

static json_t *
build_curve (const GArray *samples)
{
  GArray *sorted = get_sorted_measures (samples, MEASURE_OVER_IDEAL);
  json_t *curve = json_array ();

  for (gsize i = 0; i < G_N_ELEMENTS (curve_percents); i++)
    json_array_append_new (
        curve, json_pack ("[f, f]", curve_percents[i],
                          get_quantile (sorted, curve_percents[i])));
  g_array_unref (sorted);
  return curve;
}

static json_t *
build_jobs (const struct bench_outcome *outcome)
{
  json_t *failed = json_object ();

  for (int i = 0; i < ERROR_KIND_COUNT; i++)
    if (outcome->failed[i] > 0)
      json_object_set_new (failed, error_kind_name ((enum error_kind)i),
                           json_integer ((json_int_t)outcome->failed[i]));
  return json_pack ("{s:I, s:I, s:I, s:o}", "sent",
                    (json_int_t)outcome->n_sent, "complete",
                    (json_int_t)outcome->n_complete, "unanswered",
                    (json_int_t)outcome->n_unanswered, "failed", failed);
}

/* A message counts as wasted when it is a renewal, a stop, or a start beyond
   the one that each complete task needs.  */
static json_t *
build_messages (const struct bench_outcome *outcome,
                const struct bench_messages *messages)
{
  gint64 tasks = (gint64)outcome->n_tasks_complete;
  gint64 repeated = MAX (messages->starts - tasks, 0);
  gint64 wasted = messages->renewals + messages->stops + repeated;

  return json_pack (
      "{s:I, s:I, s:I, s:I, s:f}", "starts", (json_int_t)messages->starts,
      "repeated_starts", (json_int_t)repeated, "renewals",
      (json_int_t)messages->renewals, "stops", (json_int_t)messages->stops,
      "wasted_per_task", tasks > 0 ? (gdouble)wasted / (gdouble)tasks : 0);
}

static json_t *
build_entries (const struct bench_config *config,
               const struct bench_outcome *outcome)
{
  json_t *entries = json_array ();

  for (guint i = 0; i < config->n_entries; i++)
    {
      const struct bench_usage *usage = &outcome->usage[i];
      gdouble seconds = (gdouble)usage->cpu_us / (gdouble)USEC_PER_SEC;

      json_array_append_new (
          entries,
          json_pack ("{s:s, s:i, s:f, s:f, s:I}", "entry", config->entries[i],
                     "pid", (int)config->pids[i], "cpu_seconds", seconds,
                     "cpu_share", seconds / outcome->window_seconds,
                     "peak_rss_kb", (json_int_t)usage->peak_rss_kb));
    }
  return entries;
}

/* Returns the CPU time of all entry VMs within the window, in microseconds. */
static gdouble
sum_cpu_us (const struct bench_config *config,
            const struct bench_outcome *outcome)
{
  gdouble total = 0;

  for (guint i = 0; i < config->n_entries; i++)
    total += (gdouble)outcome->usage[i].cpu_us;
  return total;
}

static json_t *
build_speed (const struct bench_config *config,
             const struct bench_outcome *outcome)
{
  gdouble tasks = (gdouble)outcome->n_tasks_in_window;
  gdouble cpu_us = sum_cpu_us (config, outcome);
  gdouble tool_seconds = (gdouble)outcome->tool_cpu_us / (gdouble)USEC_PER_SEC;

  return json_pack ("{s:f, s:f, s:f, s:f}", "tasks_per_second",
                    tasks / outcome->window_seconds, "tasks_per_cpu_second",
                    cpu_us > 0 ? tasks * (gdouble)USEC_PER_SEC / cpu_us : 0,
                    "cpu_us_per_task", tasks > 0 ? cpu_us / tasks : 0,
                    "tool_cpu_share", tool_seconds / outcome->window_seconds);
}

json_t *
bench_report_build (const char *name, const struct bench_config *config,
                    const struct bench_outcome *outcome,
                    const struct bench_messages *messages)
{
  const GArray *samples = outcome->samples;
  json_t *report = json_object ();

  json_object_set_new (report, "name", json_string (name));
  json_object_set_new (report, "seed", json_integer (config->seed));
  json_object_set_new (report, "window_seconds",
                       json_real (outcome->window_seconds));
  json_object_set_new (report, "jobs", build_jobs (outcome));
  json_object_set_new (report, "speed", build_speed (config, outcome));
  json_object_set_new (report, "over_ideal_ms",
                       build_quantiles (samples, MEASURE_OVER_IDEAL));
  json_object_set_new (report, "response_by_ideal",
                       build_quantiles (samples, MEASURE_RATIO));
  json_object_set_new (report, "response_ms",
                       build_quantiles (samples, MEASURE_RESPONSE_MS));
  json_object_set_new (report, "messages", build_messages (outcome, messages));
  json_object_set_new (report, "entries", build_entries (config, outcome));
  json_object_set_new (report, "curve", build_curve (samples));
  return report;
}

/* The rows of the table: the label and the place of the value in a report.  */
static const struct
{
  const char *label;
  const char *group;
  const char *key;
} table_rows[] = {
  { "jobs sent", "jobs", "sent" },
  { "jobs complete", "jobs", "complete" },
  { "jobs unanswered", "jobs", "unanswered" },
  { "tasks/s", "speed", "tasks_per_second" },
  { "tasks per CPU second", "speed", "tasks_per_cpu_second" },
  { "entry CPU us/task", "speed", "cpu_us_per_task" },
  { "bench CPU share", "speed", "tool_cpu_share" },
  { "over ideal p50 ms", "over_ideal_ms", "p50" },
  { "over ideal p90 ms", "over_ideal_ms", "p90" },
  { "over ideal p99 ms", "over_ideal_ms", "p99" },
  { "over ideal p99.9 ms", "over_ideal_ms", "p99_9" },
  { "response/ideal p50", "response_by_ideal", "p50" },
  { "response/ideal p99", "response_by_ideal", "p99" },
  { "starts", "messages", "starts" },
  { "repeated starts", "messages", "repeated_starts" },
  { "renewals", "messages", "renewals" },
  { "stops", "messages", "stops" },
  { "wasted messages/task", "messages", "wasted_per_task" },
};

static gdouble
get_report_value (const json_t *report, const char *group, const char *key)
{
  return json_number_value (
      json_object_get (json_object_get (report, group), key));
}

static char *
format_value (gdouble value)
{
  if (value == floor (value) && fabs (value) < 1e15)
    return g_strdup_printf ("%.0f", value);
  return g_strdup_printf ("%.3f", value);
}

static void
add_value_row (struct cli_table *table, const char *label, gdouble value,
               gdouble earlier, gboolean is_compared)
{
  g_autofree char *value_text = format_value (value);
  g_autofree char *earlier_text
      = is_compared ? format_value (earlier) : g_strdup ("");
  g_autofree char *ratio_text = NULL;
  const char *cells[4] = { label, value_text, earlier_text, NULL };

  if (is_compared && earlier > 0)
    ratio_text = g_strdup_printf ("%.2f", value / earlier);
  else
    ratio_text = g_strdup ("");
  cells[3] = ratio_text;
  cli_table_add_row (table, cells);
}

/* Returns the highest peak memory of an entry VM in REPORT, in MiB.  */
static gdouble
get_peak_memory_mb (const json_t *report)
{
  json_t *entries = json_object_get (report, "entries");
  gdouble peak_mb = 0;

  for (size_t i = 0; i < json_array_size (entries); i++)
    {
      json_t *rss
          = json_object_get (json_array_get (entries, i), "peak_rss_kb");

      peak_mb = MAX (peak_mb, json_number_value (rss) / 1024);
    }
  return peak_mb;
}

static void
print_failures (const json_t *report)
{
  json_t *failed
      = json_object_get (json_object_get (report, "jobs"), "failed");
  const char *kind;
  json_t *count;

  json_object_foreach (failed, kind, count) printf (
      "failed, %s: %lld\n", kind, (long long)json_integer_value (count));
}

void
bench_report_print (const json_t *report, const json_t *earlier)
{
  const char *headings[]
      = { json_string_value (json_object_get (report, "name")), "this run",
          earlier != NULL ? "earlier" : "", earlier != NULL ? "ratio" : "" };
  struct cli_table *table = cli_table_new (headings, G_N_ELEMENTS (headings));

  for (gsize i = 0; i < G_N_ELEMENTS (table_rows); i++)
    add_value_row (
        table, table_rows[i].label,
        get_report_value (report, table_rows[i].group, table_rows[i].key),
        get_report_value (earlier, table_rows[i].group, table_rows[i].key),
        earlier != NULL);
  add_value_row (table, "peak memory MiB", get_peak_memory_mb (report),
                 get_peak_memory_mb (earlier), earlier != NULL);
  cli_table_print (table);
  print_failures (report);
}
