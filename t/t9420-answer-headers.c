/*
 * What answers tell beside their body: when to come back, and until when the
 * service runs.
 */
#include "t/support/deployment.h"
#include "t/support/http.h"

static json_t *
find_service (json_t *document)
{
  return json_get (json_get (document, "services"), DEPLOYMENT_SERVICE);
}

static struct http_answer *
submit (struct deployment *d, guint n_tasks)
{
  g_autofree char *url = deployment_url (d, 0, "/v1/jobs");
  g_autofree char *job = deployment_job (n_tasks, 1, 0);

  return http_request ("POST", url, job, NULL);
}

static void
assert_kind (struct http_answer *answer, const char *kind)
{
  json_t *body = http_answer_json (answer);
  json_t *error = json_get (body, "error");

  g_assert_cmpstr (json_string_value (json_get (error, "kind")), ==, kind);
  json_decref (body);
}

static void
publish_shutdown (struct deployment *d, const char *when)
{
  json_t *document = deployment_document (d);

  json_object_set_new (find_service (document), "shutdown",
                       json_string (when));
  deployment_publish (d, document);
  json_decref (document);
}

static void
test_sunset (void)
{
  struct deployment *d = deployment_start (1, 1);
  struct http_answer *answer;

  publish_shutdown (d, "2199-05-31T22:00:00Z");
  answer = submit (d, 2);
  g_assert_cmpuint (answer->status, ==, 200);
  g_assert_cmpstr (soup_message_headers_get_one (answer->headers, "Sunset"),
                   ==, "Fri, 31 May 2199 22:00:00 GMT");
  http_answer_free (answer);
  deployment_stop (d);
}

/* After the date nothing starts, and the refusal says so.  */
static void
test_after_shutdown (void)
{
  struct deployment *d = deployment_start (1, 1);
  struct http_answer *answer;

  publish_shutdown (d, "2020-05-31T22:00:00Z");
  answer = submit (d, 2);
  g_assert_cmpuint (answer->status, ==, 503);
  assert_kind (answer, "draining");
  g_assert_cmpstr (soup_message_headers_get_one (answer->headers, "Sunset"),
                   ==, "Sun, 31 May 2020 22:00:00 GMT");
  g_assert_cmpuint (deployment_assert_starts (d), ==, 0);
  http_answer_free (answer);
  deployment_stop (d);
}

static void
test_full_queue (void)
{
  struct deployment *d = deployment_start (1, 1);
  json_t *document = deployment_document (d);
  struct http_answer *answer;

  json_object_set_new (find_service (document), "limits",
                       json_pack ("{s:i}", "queued_tasks", 3));
  deployment_publish (d, document);
  answer = submit (d, 100);
  g_assert_cmpuint (answer->status, ==, 503);
  assert_kind (answer, "not-run");
  g_assert_nonnull (
      soup_message_headers_get_one (answer->headers, "Retry-After"));
  g_assert_cmpuint (deployment_assert_starts (d), ==, 0);
  http_answer_free (answer);
  json_decref (document);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/answer-headers/sunset", test_sunset);
  g_test_add_func ("/answer-headers/after-shutdown", test_after_shutdown);
  g_test_add_func ("/answer-headers/full-queue", test_full_queue);
  return g_test_run ();
}
