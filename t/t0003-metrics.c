/* Histograms, and the metrics and their page.  */
#include "base/error.h"
#include "base/event_log.h"
#include "base/histogram.h"
#include "base/log_output.h"
#include "base/metrics.h"

#include <string.h>

static void
test_quantiles (void)
{
  struct histogram *h = g_new0 (struct histogram, 1);

  g_assert_cmpint (histogram_quantile (h, 0.5), ==, 0);
  for (gint64 i = 1; i <= 100000; i++)
    histogram_record (h, i);
  for (gint64 percent = 1; percent <= 100; percent++)
    {
      gint64 exact = 1000 * percent;
      gint64 found = histogram_quantile (h, (gdouble)percent / 100);

      g_assert_cmpint (found, >=, exact);
      g_assert_cmpint (found, <=, exact + exact / HISTOGRAM_STEPS);
    }
  g_assert_cmpuint (h->sum, ==, G_GUINT64_CONSTANT (5000050000));
  g_free (h);
}

static void
test_extremes (void)
{
  struct histogram *h = g_new0 (struct histogram, 1);

  histogram_record (h, -5);
  histogram_record (h, G_MAXINT64);
  g_assert_cmpuint (h->count, ==, 2);
  g_assert_cmpuint (histogram_count_up_to (h, 0), ==, 1);
  g_assert_cmpuint (histogram_count_up_to (h, G_MAXINT64), ==, 2);
  g_free (h);
}

static void
assert_line (const char *text, const char *line)
{
  g_autofree char *whole = g_strdup_printf ("\n%s\n", line);

  if (strstr (text, whole) == NULL)
    g_error ("'%s' is not in:\n%s", line, text);
}

static void
test_format (void)
{
  g_autoptr (GString) text = g_string_new (NULL);

  metrics_count (METRIC_JOBS_ACCEPTED);
  metrics_count_label (METRIC_JOBS_REFUSED, ERROR_OVER_QUOTA);
  metrics_set (METRIC_JOBS_ACTIVE, 7);
  metrics_record (METRIC_JOB_SECONDS, 1500);
  metrics_record (METRIC_JOB_SECONDS, 2500000);
  metrics_add (METRIC_LOG_LINES_DROPPED, LOG_CLASS_FAILURE, 3);
  metrics_count_label (METRIC_FLEET_JOBS, JOB_OUTCOME_REJECTED);
  metrics_count_label (METRIC_UPSTREAM_ORDERS, UPSTREAM_ORDER_POLL);
  metrics_count_store_call (STORE_CALL_JOIN, STORE_OUTCOME_NO_ANSWER);
  metrics_count_store_call (STORE_CALL_LEAVE, STORE_OUTCOME_NO_ANSWER);
  metrics_format (text);
  assert_line (text->str,
               "radishchute_log_lines_dropped_total{class=\"failure\"} 3");
  assert_line (text->str,
               "radishchute_fleet_jobs_total{outcome=\"turned-away\"} 1");
  assert_line (text->str,
               "radishchute_upstream_orders_total{order=\"ask\"} 1");
  assert_line (text->str, "radishchute_store_calls_total{call=\"join\","
                          "outcome=\"silent\"} 1");
  assert_line (text->str, "radishchute_store_calls_total{call=\"leave\","
                          "outcome=\"silent\"} 1");
  assert_line (text->str, "radishchute_store_calls_total{call=\"read\","
                          "outcome=\"done\"} 0");
  assert_line (text->str, "# TYPE radishchute_jobs_accepted_total counter");
  assert_line (text->str, "radishchute_jobs_accepted_total 1");
  assert_line (text->str,
               "radishchute_jobs_refused_total{kind=\"over-quota\"} 1");
  assert_line (text->str,
               "radishchute_jobs_refused_total{kind=\"invalid\"} 0");
  assert_line (text->str, "radishchute_jobs_active 7");
  assert_line (text->str, "radishchute_job_seconds_bucket{le=\"0.002000\"} 1");
  assert_line (text->str, "radishchute_job_seconds_bucket{le=\"+Inf\"} 2");
  assert_line (text->str, "radishchute_job_seconds_sum 2.501500");
  assert_line (text->str, "radishchute_job_seconds_count 2");
}

/* An event is counted by its level, also when the level filters it out.  */
static void
test_log_events (void)
{
  guint64 before = metrics_get (METRIC_LOG_EVENTS, LOG_LEVEL_DEBUG);

  event_log_set_level (LOG_LEVEL_ERROR);
  event_log (EVENT_JOB_FINISHED, "a job");
  g_assert_cmpuint (metrics_get (METRIC_LOG_EVENTS, LOG_LEVEL_DEBUG), ==,
                    before + 1);
}

static void
test_page (void)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *page = NULL;

  g_file_get_contents ("docs/operating/metrics.md", &page, NULL, &error);
  g_assert_no_error (error);
  for (int i = 0; i < METRIC_COUNT; i++)
    {
      g_autofree char *row
          = g_strdup_printf ("\n| `%s` |", metrics_name ((enum metric)i));

      if (strstr (page, row) == NULL)
        g_error ("docs/operating/metrics.md lacks the row '%s'", row + 1);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/metrics/quantiles", test_quantiles);
  g_test_add_func ("/metrics/extremes", test_extremes);
  g_test_add_func ("/metrics/format", test_format);
  g_test_add_func ("/metrics/log-events", test_log_events);
  g_test_add_func ("/metrics/page", test_page);
  return g_test_run ();
}
