/* The command bench as a process: its figures, files and refusals.  */
#include "commands/command.h"
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/run.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

struct fixture
{
  struct deployment *d;
  char *entry;
  char *report_path;
  char *svg_path;
};

static struct fixture *
fixture_new (void)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->d = deployment_start (1, 2);
  f->entry = g_strdup_printf ("127.0.0.1:%u", f->d->entries[0]->ports[0]);
  f->report_path = g_build_filename (f->d->directory, "report.json", NULL);
  f->svg_path = g_build_filename (f->d->directory, "plot.svg", NULL);
  return f;
}

static void
fixture_free (struct fixture *f)
{
  g_unlink (f->report_path);
  g_unlink (f->svg_path);
  deployment_stop (f->d);
  g_free (f->entry);
  g_free (f->report_path);
  g_free (f->svg_path);
  g_free (f);
}

static gint64
get_count (json_t *report, const char *group, const char *key)
{
  return json_get_int (json_get (report, group), key);
}

/* What the report says was started is what the upstreams recorded.  */
static void
test_open_loop (void)
{
  struct fixture *f = fixture_new ();
  struct run_result *r
      = run_command (NULL, "bench", "-e", f->entry, "--tasks", "3", "--run-ms",
                     "5", "--rate", "100", "--max-jobs", "20", "--seconds",
                     "0.5", "--warmup", "0", "--json", NULL);
  json_t *report = run_result_json (r);
  guint n_started = deployment_assert_starts (f->d);

  g_assert_cmpint (r->status, ==, EXIT_STATUS_OK);
  g_assert_cmpint (get_count (report, "jobs", "unanswered"), ==, 0);
  g_assert_cmpint (get_count (report, "jobs", "complete"), ==,
                   get_count (report, "jobs", "sent"));
  g_assert_cmpuint (n_started, >, 0);
  g_assert_cmpint (get_count (report, "jobs", "complete") * 3, ==, n_started);
  g_assert_cmpint (get_count (report, "messages", "starts")
                       - get_count (report, "messages", "repeated_starts"),
                   ==, n_started);
  json_decref (report);
  run_result_free (r);
  fixture_free (f);
}

/* A run is compared with its own report, and plotted beside it.  */
static void
test_compare (void)
{
  struct fixture *f = fixture_new ();
  struct run_result *r
      = run_command (NULL, "bench", "-e", f->entry, "--tasks", "1-4",
                     "--run-ms", "1-5", "--clients", "2", "--seconds", "0.5",
                     "--warmup", "0", "--output", f->report_path, NULL);
  g_autofree char *svg = NULL;

  g_assert_cmpint (r->status, ==, EXIT_STATUS_OK);
  run_result_free (r);
  r = run_command (NULL, "bench", "-e", f->entry, "--tasks", "1-4", "--run-ms",
                   "1-5", "--clients", "2", "--seconds", "0.5", "--warmup",
                   "0", "--compare", f->report_path, "--svg", f->svg_path,
                   NULL);
  g_assert_cmpint (r->status, ==, EXIT_STATUS_OK);
  g_assert_nonnull (strstr (r->out, "ratio"));
  g_assert_nonnull (strstr (r->out, "wasted messages/task"));
  g_assert_true (g_file_get_contents (f->svg_path, &svg, NULL, NULL));
  g_assert_true (g_str_has_prefix (svg, "<svg "));
  g_assert_true (g_str_has_suffix (svg, "</svg>\n"));
  run_result_free (r);
  fixture_free (f);
}

/* The time that the entry VM cannot take jobs counts for those that arrive
   meanwhile: they are sent when they are due, and wait.  */
static void
test_delay_is_seen (void)
{
  struct fixture *f = fixture_new ();
  g_autofree char *build = g_strdup (g_getenv ("RADISHCHUTE_BUILD"));
  g_autofree char *program = g_build_filename (build != NULL ? build : "build",
                                               "radishchute", NULL);
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocess) bench = g_subprocess_new (
      G_SUBPROCESS_FLAGS_STDOUT_PIPE, &error, program, "bench", "-e", f->entry,
      "--tasks", "1", "--run-ms", "1", "--rate", "200", "--seconds", "1.5",
      "--warmup", "0", "--json", NULL);
  g_autofree char *out = NULL;
  json_t *report;
  json_t *over;

  g_assert_no_error (error);
  while (deployment_assert_starts (f->d) == 0)
    g_main_context_iteration (NULL, FALSE);
  process_signal (f->d->entries[0], SIGSTOP);
  g_usleep (500 * 1000);
  process_signal (f->d->entries[0], SIGCONT);
  g_subprocess_communicate_utf8 (bench, NULL, NULL, &out, NULL, &error);
  g_assert_no_error (error);
  report = json_loads (out, 0, NULL);
  over = json_get (report, "over_ideal_ms");
  g_assert_cmpint (get_count (report, "jobs", "complete"), >, 50);
  g_assert_cmpfloat (json_number_value (json_get (over, "p90")), >, 100);
  json_decref (report);
  fixture_free (f);
}

static void
assert_refused (const char *mention, const char *option, const char *value)
{
  struct run_result *r
      = run_command (NULL, "bench", "-e", "127.0.0.1:1", option, value, NULL);

  g_assert_cmpint (r->status, ==, EXIT_STATUS_USAGE);
  g_assert_nonnull (strstr (r->err, mention));
  run_result_free (r);
}

static void
test_refusals (void)
{
  struct run_result *r = run_command (NULL, "bench", "-e", "10.0.0.1:1",
                                      "--clients", "1", NULL);

  g_assert_cmpint (r->status, ==, EXIT_STATUS_USAGE);
  g_assert_nonnull (strstr (r->err, "--allow-remote"));
  run_result_free (r);
  assert_refused ("hjolavinir, valdivieso", "--profile", "someone");
  assert_refused ("N or N-M", "--tasks", "9-3");
  assert_refused ("poisson, bursty, closed", "--arrivals", "steady");
  assert_refused ("--rate", "--tasks", "1");
  assert_refused ("--slots", "--load", "0.5");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/bench/open-loop", test_open_loop);
  g_test_add_func ("/bench/compare", test_compare);
  g_test_add_func ("/bench/delay-is-seen", test_delay_is_seen);
  g_test_add_func ("/bench/refusals", test_refusals);
  return g_test_run ();
}
