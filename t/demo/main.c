/*
 * The demonstration behind "make demo": a whole session on loopback.
 *
 * Starts the stand-ins and three entry VMs, submits a job of 130 tasks by the
 * command "submit", shows the answer and what the upstreams recorded, and
 * stops everything.  Exits with a status other than 0 when something is not as
 * it must be.
 */
#include "base/clock.h"
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/run.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define N_ENTRIES 3
#define N_UPSTREAMS 8
#define N_TASKS 130
#define RUN_MS 60
#define FIRST_VALUE 1000
#define N_SHOWN 3

static void
show_output (json_t *outputs, size_t i)
{
  char *text = json_dumps (json_array_get (outputs, i), JSON_COMPACT);

  printf ("  task %3zu  %s\n", i, text);
  free (text);
}

static void
show_answer (json_t *answer)
{
  json_t *outputs = json_get (answer, "outputs");
  size_t n = json_array_size (outputs);

  printf ("answer to job %s: %s\n",
          json_string_value (json_get (answer, "job")),
          json_string_value (json_get (answer, "status")));
  for (size_t i = 0; i < N_SHOWN; i++)
    show_output (outputs, i);
  printf ("  ...\n");
  show_output (outputs, n - 1);
}

static void
show_messages (struct deployment *d)
{
  gint64 starts = 0;
  gint64 renewals = 0;
  gint64 stops = 0;

  for (guint i = 0; i < d->n_entries; i++)
    {
      g_autofree char *url = deployment_url (d, i, "/v1/state");
      json_t *state = http_get_json (url);
      json_t *messages = json_get (state, "messages");

      starts += json_get_int (messages, "starts");
      renewals += json_get_int (messages, "renewals");
      stops += json_get_int (messages, "stops");
      json_decref (state);
    }
  printf ("  messages to upstreams     %" G_GINT64_FORMAT
          " starts, %" G_GINT64_FORMAT " renewals, %" G_GINT64_FORMAT
          " stops\n",
          starts, renewals, stops);
}

/* Submits the job to the three entry VMs, the second one first.  */
static json_t *
submit (struct deployment *d, gint64 *elapsed_us)
{
  g_autofree char *job = deployment_job (N_TASKS, RUN_MS, FIRST_VALUE);
  char *entries[N_ENTRIES];
  gint64 start_us = clock_now_us ();
  struct run_result *result;
  json_t *answer;

  for (guint i = 0; i < N_ENTRIES; i++)
    entries[i] = g_strdup_printf ("127.0.0.1:%u", d->entries[i]->ports[0]);
  printf ("$ radishchute submit --retry -e %s -e %s -e %s --json\n",
          entries[1], entries[2], entries[0]);
  result = run_command (job, "submit", "--retry", "-e", entries[1], "-e",
                        entries[2], "-e", entries[0], "--json", NULL);
  *elapsed_us = clock_now_us () - start_us;
  if (result->status != 0)
    g_error ("submit failed: %s", result->err);
  answer = run_result_json (result);
  run_result_free (result);
  for (guint i = 0; i < N_ENTRIES; i++)
    g_free (entries[i]);
  return answer;
}

static void
show_summary (struct deployment *d, json_t *answer, gint64 elapsed_us)
{
  guint rounds = (N_TASKS + 8 * N_UPSTREAMS - 1) / (8 * N_UPSTREAMS);
  guint started;

  deployment_assert_whole (answer, N_TASKS, FIRST_VALUE);
  started = deployment_assert_starts (d);
  g_assert_cmpuint (started, ==, N_TASKS);
  printf ("\nsummary\n");
  printf ("  entry VMs, upstreams      %u, %u of 8 slots\n", N_ENTRIES,
          N_UPSTREAMS);
  printf ("  outputs                   %u, distinct, in the order of the "
          "tasks\n",
          N_TASKS);
  printf ("  tasks the upstreams ran   %u, each recorded once\n", started);
  printf ("  time                      %.0f ms; %u rounds of %u ms at least\n",
          (gdouble)elapsed_us / USEC_PER_MSEC, rounds, RUN_MS);
  show_messages (d);
}

static void
drain_entries (struct deployment *d)
{
  for (guint i = 0; i < d->n_entries; i++)
    {
      process_signal (d->entries[i], SIGTERM);
      g_assert_cmpint (process_wait_exit (d->entries[i]), ==, 0);
    }
}

int
main (void)
{
  struct deployment *d;
  gint64 elapsed_us = 0;
  json_t *answer;

  printf ("starting the stand-ins and %u entry VMs on loopback\n", N_ENTRIES);
  d = deployment_start (N_ENTRIES, N_UPSTREAMS);
  answer = submit (d, &elapsed_us);
  show_answer (answer);
  show_summary (d, answer, elapsed_us);
  json_decref (answer);
  drain_entries (d);
  deployment_stop (d);
  printf ("  stopped                   everything that was started\n");
  return 0;
}
