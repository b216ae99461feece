/*
 * Entry VMs and upstreams that leave, with real processes.
 */
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/peers.h"

#include <signal.h>

#define N_CLIENTS 12
#define N_TASKS 3
#define RUN_MS 40

/* Callers who keep to the documented rule: a job that is refused as draining,
   or finds nobody listening, goes to another VM.  */
struct load
{
  struct deployment *d;
  gboolean uses_tickets; /* of one VM, submitted at another */
  struct http_call *calls[N_CLIENTS];
  char *tickets[N_CLIENTS]; /* to be submitted next */
  guint next_target;
  guint n_whole;
  guint n_refused;
  gboolean is_ending;
};

static void
send_request (struct load *load, guint client)
{
  guint target = load->next_target++ % load->d->n_entries;
  gboolean draws = load->uses_tickets && load->tickets[client] == NULL;
  g_autofree char *url
      = deployment_url (load->d, target, draws ? "/v1/tickets" : "/v1/jobs");
  g_autofree char *job = NULL;

  if (load->tickets[client] != NULL)
    job = peers_job (load->tickets[client], N_TASKS, RUN_MS, client);
  else if (!draws)
    job = deployment_job (N_TASKS, RUN_MS, client);
  load->calls[client] = http_begin ("POST", url, job, NULL);
}

static gboolean
is_draining (const struct http_answer *answer)
{
  json_t *body = http_answer_json (answer);
  json_t *error = json_object_get (body, "error");
  const char *kind = json_string_value (json_object_get (error, "kind"));
  gboolean result = g_strcmp0 (kind, "draining") == 0;

  json_decref (body);
  return answer->status == 503 && result;
}

/* Whether the home of a ticket is gone and has not seen the request.  */
static gboolean
is_not_passed_on (const struct http_answer *answer)
{
  json_t *body = http_answer_json (answer);
  json_t *error = json_object_get (body, "error");
  gboolean result = json_is_false (json_object_get (error, "passed_on"));

  json_decref (body);
  return result;
}

static void
take_whole (struct load *load, guint client, json_t *body)
{
  json_t *tickets = json_object_get (body, "tickets");

  g_clear_pointer (&load->tickets[client], g_free);
  if (tickets != NULL)
    {
      load->tickets[client]
          = g_strdup (json_string_value (json_array_get (tickets, 0)));
      return;
    }
  deployment_assert_whole (body, N_TASKS, client);
  load->n_whole++;
}

static void
take_answer (struct load *load, guint client, struct http_answer *answer)
{
  json_t *body;

  if (answer->status == 0)
    {
      g_assert_error (answer->error, G_IO_ERROR,
                      G_IO_ERROR_CONNECTION_REFUSED);
      load->n_refused++;
      return;
    }
  if (is_draining (answer) || is_not_passed_on (answer))
    {
      if (load->tickets[client] == NULL)
        g_assert_cmpstr (
            soup_message_headers_get_one (answer->headers, "Connection"), ==,
            "close");
      g_clear_pointer (&load->tickets[client], g_free);
      load->n_refused++;
      return;
    }
  if (answer->status != 200)
    g_test_message ("%s", answer->body);
  g_assert_cmpuint (answer->status, ==, 200);
  body = http_answer_json (answer);
  take_whole (load, client, body);
  json_decref (body);
}

/* Lets the callers go on.  Returns FALSE when none waits any more.  */
static gboolean
pump (struct load *load)
{
  gboolean is_waiting = FALSE;

  g_main_context_iteration (NULL, FALSE);
  for (guint i = 0; i < N_CLIENTS; i++)
    {
      struct http_answer *answer;

      if (load->calls[i] == NULL
          && (!load->is_ending || load->tickets[i] != NULL))
        send_request (load, i);
      is_waiting |= load->calls[i] != NULL;
      if (load->calls[i] == NULL || !http_call_is_finished (load->calls[i]))
        continue;
      answer = http_finish (load->calls[i]);
      load->calls[i] = NULL;
      take_answer (load, i, answer);
      http_answer_free (answer);
    }
  return is_waiting;
}

static void
run_jobs (struct load *load, guint n_jobs)
{
  guint goal = load->n_whole + n_jobs;

  while (load->n_whole < goal)
    pump (load);
}

static void
on_process_exit (GObject *source, GAsyncResult *result, gpointer data)
{
  gboolean *has_exited = data;

  g_assert_true (
      g_subprocess_wait_finish (G_SUBPROCESS (source), result, NULL));
  *has_exited = TRUE;
}

/* Ends entry VM INDEX by SIGTERM while the load goes on.  */
static void
stop_under_load (struct load *load, guint index)
{
  struct process *process = load->d->entries[index];
  gboolean has_exited = FALSE;

  process_signal (process, SIGTERM);
  g_subprocess_wait_async (process->subprocess, NULL, on_process_exit,
                           &has_exited);
  while (!has_exited)
    pump (load);
  g_assert_true (g_subprocess_get_if_exited (process->subprocess));
  g_assert_cmpint (g_subprocess_get_exit_status (process->subprocess), ==, 0);
}

static void
test_rolling_replacement (gconstpointer uses_tickets)
{
  struct deployment *d = deployment_start (3, 4);
  struct load load = { .d = d, .uses_tickets = uses_tickets != NULL };

  peers_connect (d);
  run_jobs (&load, 30);
  for (guint i = 0; i < d->n_entries; i++)
    {
      json_t *settings = deployment_settings (d, i);

      stop_under_load (&load, i);
      deployment_start_entry (d, i, settings);
      deployment_wait_in_force (d);
      peers_connect (d);
      run_jobs (&load, 30);
      json_decref (settings);
    }
  load.is_ending = TRUE;
  while (pump (&load))
    ;
  g_test_message ("%u jobs whole, %u refused as draining", load.n_whole,
                  load.n_refused);
  g_assert_cmpuint (load.n_refused, >, 0);
  g_assert_cmpuint (deployment_assert_starts (d), ==, load.n_whole * N_TASKS);
  deployment_stop (d);
}

static void
wait_for_start (struct deployment *d)
{
  while (deployment_assert_starts (d) == 0)
    g_main_context_iteration (NULL, FALSE);
}

/* Who waits at another VM gets the answer of a home that is leaving.  */
static void
test_forwarded_wait_ends (void)
{
  struct deployment *d = deployment_start (2, 2);
  g_autofree char *job = NULL;
  g_autofree char *ticket = NULL;
  g_autofree char *url = NULL;
  struct http_call *call;
  struct http_answer *answer;
  json_t *body;

  peers_connect (d);
  ticket = peers_draw_ticket (d, 0);
  job = peers_job (ticket, N_TASKS, 300, 10);
  url = deployment_url (d, 1, "/v1/jobs");
  call = http_begin ("POST", url, job, NULL);
  wait_for_start (d);
  process_signal (d->entries[0], SIGTERM);
  answer = http_finish (call);
  body = http_answer_json (answer);
  if (answer->status != 200)
    g_test_message ("%s", answer->body);
  g_assert_cmpuint (answer->status, ==, 200);
  deployment_assert_whole (body, N_TASKS, 10);
  g_assert_cmpint (process_wait_exit (d->entries[0]), ==, 0);
  json_decref (body);
  http_answer_free (answer);
  deployment_stop (d);
}

/* At its deadline a drain says truthfully what is not known.  */
static void
test_drain_deadline (void)
{
  struct deployment *d = deployment_start (1, 1);
  json_t *settings = deployment_settings (d, 0);
  g_autofree char *job = deployment_job (N_TASKS, 60000, 10);
  g_autofree char *url = NULL;
  struct http_call *call;
  struct http_answer *answer;
  json_t *body;

  json_object_set_new (settings, "limits",
                       json_pack ("{s:i}", "drain_timeout_ms", 300));
  deployment_start_entry (d, 0, settings);
  deployment_wait_in_force (d);
  url = deployment_url (d, 0, "/v1/jobs");
  call = http_begin ("POST", url, job, NULL);
  wait_for_start (d);
  process_signal (d->entries[0], SIGTERM);
  answer = http_finish (call);
  body = http_answer_json (answer);
  g_assert_cmpuint (answer->status, ==, 502);
  g_assert_cmpstr (
      json_string_value (json_get (json_get (body, "error"), "kind")), ==,
      "unknown");
  g_assert_cmpint (process_wait_exit (d->entries[0]), ==, 0);
  json_decref (body);
  http_answer_free (answer);
  json_decref (settings);
  deployment_stop (d);
}

static gboolean
lists_leaving (json_t *state, gpointer data)
{
  json_t *leaving = json_get (state, "leaving_vms");
  gboolean *is_wanted = data;

  return (json_array_size (leaving) > 0) == *is_wanted;
}

static void
wait_leaving (struct deployment *d, guint index, gboolean is_leaving)
{
  g_autofree char *url = deployment_url (d, index, "/v1/state");

  json_decref (http_poll_until (url, lists_leaving, &is_leaving));
}

static gint64
count_starts_on (struct deployment *d, guint upstream)
{
  g_autofree char *url
      = http_url (d->upstreams->ports[upstream], "/test/starts");
  json_t *body = http_get_json (url);
  gint64 total = json_get_int (body, "total");

  json_decref (body);
  return total;
}

static void
run_one (struct deployment *d, guint index)
{
  g_autofree char *url = deployment_url (d, index, "/v1/jobs");
  g_autofree char *job = deployment_job (12, 1, 10);
  struct http_answer *answer = http_request ("POST", url, job, NULL);

  if (answer->status != 200)
    g_test_message ("%s", answer->body);
  g_assert_cmpuint (answer->status, ==, 200);
  http_answer_free (answer);
}

/* One VM reads the platform's list, the other one only hears its peer.  */
static void
test_upstream_leaves (void)
{
  struct deployment *d = deployment_start (2, 2);
  json_t *settings = deployment_settings (d, 1);
  g_autofree char *seed
      = g_strdup_printf ("127.0.0.1:%u", d->entries[0]->ports[1]);
  gint64 before;

  json_object_set_new (settings, "vm_list_url",
                       json_string ("http://127.0.0.1:1"));
  json_object_set_new (settings, "peer_seeds", json_pack ("[s]", seed));
  deployment_start_entry (d, 1, settings);
  deployment_wait_in_force (d);
  peers_wait_state (d, 0, 1, "alive");
  peers_wait_state (d, 1, 0, "alive");
  run_one (d, 0);
  run_one (d, 1);
  g_assert_cmpint (count_starts_on (d, 0), >, 0);
  peers_publish (d, 0);
  wait_leaving (d, 0, TRUE);
  wait_leaving (d, 1, TRUE);
  before = count_starts_on (d, 0);
  run_one (d, 0);
  run_one (d, 1);
  g_assert_cmpint (count_starts_on (d, 0), ==, before);
  peers_publish (d, -1);
  wait_leaving (d, 0, FALSE);
  run_one (d, 0);
  g_assert_cmpint (count_starts_on (d, 0), >, before);
  json_decref (settings);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/drain/rolling-replacement", NULL,
                        test_rolling_replacement);
  g_test_add_data_func ("/drain/rolling-replacement-tickets", "tickets",
                        test_rolling_replacement);
  g_test_add_func ("/drain/forwarded-wait-ends", test_forwarded_wait_ends);
  g_test_add_func ("/drain/deadline", test_drain_deadline);
  g_test_add_func ("/drain/upstream-leaves", test_upstream_leaves);
  return g_test_run ();
}
