/*
 * The whole path with real processes: a caller, several entry VMs, several
 * upstreams, configuration from the platform's log.
 */
#include "t/support/deployment.h"
#include "t/support/http.h"

#include <signal.h>

static void
test_large_job (void)
{
  struct deployment *d = deployment_start (3, 4);
  g_autofree char *url = deployment_url (d, 1, "/v1/jobs");
  g_autofree char *job = deployment_job (130, 5, 1000);
  struct http_answer *answer = http_request ("POST", url, job, NULL);
  json_t *body = http_answer_json (answer);

  if (answer->status != 200)
    g_error ("status %u: %s", answer->status, answer->body);
  deployment_assert_whole (body, 130, 1000);
  g_assert_cmpuint (deployment_assert_starts (d), ==, 130);
  json_decref (body);
  http_answer_free (answer);
  deployment_stop (d);
}

/* A stop lets the job that runs end, and the process exits by itself.  */
static void
test_graceful_stop (void)
{
  struct deployment *d = deployment_start (1, 2);
  g_autofree char *url = deployment_url (d, 0, "/v1/jobs");
  g_autofree char *job = deployment_job (20, 300, 0);
  struct http_call *call = http_begin ("POST", url, job, NULL);
  struct http_answer *answer;
  json_t *body;

  while (deployment_assert_starts (d) == 0)
    g_main_context_iteration (NULL, FALSE);
  process_signal (d->entries[0], SIGTERM);
  answer = http_finish (call);
  body = http_answer_json (answer);
  if (answer->status != 200)
    g_error ("status %u: %s", answer->status, answer->body);
  deployment_assert_whole (body, 20, 0);
  g_assert_cmpint (process_wait_exit (d->entries[0]), ==, 0);
  json_decref (body);
  http_answer_free (answer);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/whole-path/large-job", test_large_job);
  g_test_add_func ("/whole-path/graceful-stop", test_graceful_stop);
  return g_test_run ();
}
