/*
 * Tickets at any entry VM, with real processes: forwarding, a home that is
 * killed, paused or restarted, and answers lost on each leg.
 */
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/peers.h"

#include <signal.h>

#define N_TASKS 6

static struct deployment *
start (void)
{
  struct deployment *d = deployment_start (3, 2);

  peers_connect (d);
  return d;
}

static const char *
error_kind (json_t *body)
{
  return json_string_value (json_get (json_get (body, "error"), "kind"));
}

static struct http_answer *
submit (struct deployment *d, guint index, const char *job)
{
  g_autofree char *url = deployment_url (d, index, "/v1/jobs");

  return http_request ("POST", url, job, NULL);
}

/* Asserts that ANSWER is an error of KIND; frees it.  */
static void
expect_error (struct http_answer *answer, guint status, const char *kind)
{
  json_t *body = http_answer_json (answer);

  g_assert_cmpuint (answer->status, ==, status);
  g_assert_cmpstr (error_kind (body), ==, kind);
  json_decref (body);
  http_answer_free (answer);
}

/* The same for a job whose home was just killed: until that is proved, as on a
   machine that is busy with other things, its home may be taken for one that
   is out of reach, and the caller is told to ask again.  */
static void
expect_lost (struct http_answer *answer)
{
  if (answer->status == 503)
    expect_error (answer, 503, "unavailable");
  else
    expect_error (answer, 502, "unknown");
}

static void
expect_whole (struct http_answer *answer)
{
  json_t *body = http_answer_json (answer);

  g_assert_cmpuint (answer->status, ==, 200);
  deployment_assert_whole (body, N_TASKS, 100);
  json_decref (body);
  http_answer_free (answer);
}

/* Runs the main loop until the upstreams have started a task.  */
static void
wait_for_start (struct deployment *d)
{
  while (deployment_assert_starts (d) == 0)
    g_main_context_iteration (NULL, FALSE);
}

static void
test_same_answer_everywhere (void)
{
  struct deployment *d = start ();
  g_autofree char *ticket = peers_draw_ticket (d, 0);
  g_autofree char *job = peers_job (ticket, N_TASKS, 5, 100);
  g_autofree char *path = g_strconcat ("/v1/jobs/", ticket, NULL);
  g_autofree char *first = NULL;

  for (guint i = 0; i < 2 * d->n_entries; i++)
    {
      struct http_answer *answer = submit (d, (i + 1) % d->n_entries, job);

      if (first == NULL)
        first = g_strdup (answer->body);
      g_assert_cmpstr (answer->body, ==, first);
      expect_whole (answer);
    }
  for (guint i = 0; i < d->n_entries; i++)
    {
      g_autofree char *url = deployment_url (d, i, path);

      expect_whole (http_request ("GET", url, NULL, NULL));
    }
  g_assert_cmpuint (deployment_assert_starts (d), ==, N_TASKS);
  deployment_stop (d);
}

static void
test_async_and_cancel (void)
{
  static const char *const async[] = { "Prefer", "respond-async", NULL };
  struct deployment *d = start ();
  g_autofree char *ticket = peers_draw_ticket (d, 0);
  g_autofree char *job = peers_job (ticket, N_TASKS, 60000, 100);
  g_autofree char *path = g_strconcat ("/v1/jobs/", ticket, NULL);
  g_autofree char *url = deployment_url (d, 1, "/v1/jobs");
  g_autofree char *show = deployment_url (d, 2, path);
  struct http_answer *answer = http_request ("POST", url, job, async);

  g_assert_cmpuint (answer->status, ==, 202);
  g_assert_cmpstr (soup_message_headers_get_one (answer->headers, "Location"),
                   ==, path);
  http_answer_free (answer);
  answer = http_request ("GET", show, NULL, NULL);
  g_assert_cmpuint (answer->status, ==, 202);
  http_answer_free (answer);
  wait_for_start (d);
  expect_error (http_request ("DELETE", show, NULL, NULL), 409, "cancelled");
  expect_error (http_request ("GET", show, NULL, NULL), 409, "cancelled");
  deployment_stop (d);
}

static void
test_home_killed (void)
{
  struct deployment *d = start ();
  g_autofree char *ticket = peers_draw_ticket (d, 0);
  g_autofree char *unused = peers_draw_ticket (d, 0);
  g_autofree char *job = peers_job (ticket, N_TASKS, 60000, 100);
  g_autofree char *other = peers_job (unused, N_TASKS, 5, 100);
  g_autofree char *url = deployment_url (d, 1, "/v1/jobs");
  struct http_call *call = http_begin ("POST", url, job, NULL);
  guint n_started;

  wait_for_start (d);
  process_kill (d->entries[0]);
  expect_lost (http_finish (call));
  n_started = deployment_assert_starts (d);
  peers_wait_state (d, 1, 0, "dead");
  peers_wait_state (d, 2, 0, "dead");
  expect_error (submit (d, 2, job), 502, "unknown");
  expect_error (submit (d, 1, job), 502, "unknown");
  /* Whether it was used is not known to the others.  */
  expect_error (submit (d, 1, other), 502, "unknown");
  g_assert_cmpuint (deployment_assert_starts (d), ==, n_started);
  deployment_stop (d);
}

static void
test_home_restarted (void)
{
  struct deployment *d = start ();
  g_autofree char *ticket = peers_draw_ticket (d, 0);
  g_autofree char *job = peers_job (ticket, N_TASKS, 5, 100);
  json_t *settings = deployment_settings (d, 0);

  expect_whole (submit (d, 1, job));
  process_kill (d->entries[0]);
  deployment_start_entry (d, 0, settings);
  peers_connect (d);
  for (guint i = 0; i < d->n_entries; i++)
    expect_error (submit (d, i, job), 502, "unknown");
  g_assert_cmpuint (deployment_assert_starts (d), ==, N_TASKS);
  json_decref (settings);
  deployment_stop (d);
}

static void
test_home_paused (void)
{
  struct deployment *d = start ();
  g_autofree char *ticket = peers_draw_ticket (d, 0);
  g_autofree char *job = peers_job (ticket, N_TASKS, 5, 100);
  struct http_answer *answer;
  json_t *body;

  process_signal (d->entries[0], SIGSTOP);
  answer = submit (d, 1, job);
  body = http_answer_json (answer);
  g_assert_cmpuint (answer->status, ==, 503);
  g_assert_cmpstr (error_kind (body), ==, "unavailable");
  g_assert_cmpstr (json_string_value (json_get (body, "status")), ==,
                   "failed");
  g_assert_nonnull (
      soup_message_headers_get_one (answer->headers, "Retry-After"));
  json_decref (body);
  http_answer_free (answer);
  peers_wait_state (d, 2, 0, "silent");
  g_assert_cmpuint (deployment_assert_starts (d), ==, 0);
  process_signal (d->entries[0], SIGCONT);
  peers_wait_state (d, 1, 0, "alive");
  peers_wait_state (d, 2, 0, "alive");
  expect_whole (submit (d, 1, job));
  expect_whole (submit (d, 2, job));
  g_assert_cmpuint (deployment_assert_starts (d), ==, N_TASKS);
  deployment_stop (d);
}

/* The caller's connection, then the forwarding VM, are lost before the
   answer.  */
static void
test_lost_answers (void)
{
  struct deployment *d = start ();
  g_autofree char *ticket = peers_draw_ticket (d, 0);
  g_autofree char *job = peers_job (ticket, N_TASKS, 400, 100);
  g_autofree char *url = deployment_url (d, 1, "/v1/jobs");
  struct http_call *call = http_begin ("POST", url, job, NULL);

  wait_for_start (d);
  http_abandon (call);
  call = http_begin ("POST", url, job, NULL);
  process_kill (d->entries[1]);
  http_answer_free (http_finish (call));
  expect_whole (submit (d, 2, job));
  expect_whole (submit (d, 0, job));
  g_assert_cmpuint (deployment_assert_starts (d), ==, N_TASKS);
  deployment_stop (d);
}

static void
test_unknown_home (void)
{
  struct deployment *d = start ();
  g_autofree char *ticket = g_strdup ("r1.entry-77.1.1.18c2b6f9a3e");
  g_autofree char *job = peers_job (ticket, N_TASKS, 5, 100);
  struct http_answer *answer = submit (d, 1, job);

  /* A VM that has just started does not know yet who is there.  */
  while (answer->status == 503)
    {
      http_answer_free (answer);
      answer = submit (d, 1, job);
    }
  expect_error (answer, 502, "unknown");
  g_assert_cmpuint (deployment_assert_starts (d), ==, 0);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tickets/same-answer-everywhere",
                   test_same_answer_everywhere);
  g_test_add_func ("/tickets/async-and-cancel", test_async_and_cancel);
  g_test_add_func ("/tickets/home-killed", test_home_killed);
  g_test_add_func ("/tickets/home-restarted", test_home_restarted);
  g_test_add_func ("/tickets/home-paused", test_home_paused);
  g_test_add_func ("/tickets/lost-answers", test_lost_answers);
  g_test_add_func ("/tickets/unknown-home", test_unknown_home);
  return g_test_run ();
}
