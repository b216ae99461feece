/*
 * Wrong, hostile and abandoned requests: each gets a clear error, costs a
 * bounded amount of memory, and leaves other callers unharmed.
 */
#include "t/support/deployment.h"
#include "t/support/http.h"

#include <string.h>

#define BODY_LIMIT_BYTES (256 * 1024)
#define FLOOD_BYTES (16 * 1024 * 1024)
#define NESTING_DEPTH 100000

static struct deployment *deployment;

static void
start_deployment (void)
{
  json_t *settings;

  deployment = deployment_start (1, 2);
  settings = deployment_settings (deployment, 0);
  json_object_set_new (settings, "limits",
                       json_pack ("{s:i, s:i, s:i}", "body_bytes",
                                  BODY_LIMIT_BYTES, "request_timeout_ms", 500,
                                  "connections", 64));
  deployment_start_entry (deployment, 0, settings);
  json_decref (settings);
  deployment_wait_in_force (deployment);
}

static void
assert_serves_others (void)
{
  g_autofree char *url = deployment_url (deployment, 0, "/v1/jobs");
  g_autofree char *job = deployment_job (3, 1, 7);
  struct http_answer *answer = http_request ("POST", url, job, NULL);
  json_t *body = http_answer_json (answer);

  g_assert_cmpuint (answer->status, ==, 200);
  deployment_assert_whole (body, 3, 7);
  json_decref (body);
  http_answer_free (answer);
}

/* Posts TEXT and asserts the status, the kind and a word of the message.  */
static void
assert_refused (const char *text, gsize length, guint status, const char *kind,
                const char *word)
{
  g_autofree char *header = g_strdup_printf (
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %" G_GSIZE_FORMAT
      "\r\nConnection: close\r\n\r\n",
      length);
  GByteArray *request = g_byte_array_new ();
  g_autofree char *answer = NULL;
  g_autofree char *status_line = g_strdup_printf ("HTTP/1.1 %u ", status);
  g_autofree char *kind_member = g_strdup_printf ("\"kind\":\"%s\"", kind);

  g_byte_array_append (request, (const guint8 *)header,
                       (guint)strlen (header));
  g_byte_array_append (request, (const guint8 *)text, (guint)length);
  answer = http_raw (deployment->entries[0]->ports[0], request->data,
                     request->len, FALSE);
  g_byte_array_unref (request);
  g_assert_nonnull (answer);
  if (!g_str_has_prefix (answer, status_line))
    g_error ("expected %s, got: %s", status_line, answer);
  if (strstr (answer, kind_member) == NULL || strstr (answer, word) == NULL)
    g_error ("expected %s and '%s', got: %s", kind_member, word, answer);
}

static void
assert_text_refused (const char *text, guint status, const char *kind,
                     const char *word)
{
  assert_refused (text, strlen (text), status, kind, word);
}

#define JOB_START "{\"team\":\"hjolavinir\",\"service\":\"staerdarvisir\","

static void
test_malformed (void)
{
  assert_text_refused ("", 400, "invalid", "line 1");
  assert_text_refused ("{\"team\": ", 400, "invalid", "line 1");
  assert_text_refused ("[1, 2", 400, "invalid", "line 1");
  assert_text_refused ("[]", 400, "invalid", "object");
  assert_text_refused (JOB_START "\"team\":\"x\",\"tasks\":[{}]}", 400,
                       "invalid", "duplicate");
  assert_text_refused (JOB_START "\"tasks\":7}", 400, "invalid", "array");
  assert_text_refused (JOB_START "\"tasks\":[7]}", 400, "invalid", "tasks[0]");
  assert_text_refused (JOB_START "\"tusks\":[{}],\"tasks\":[{}]}", 400,
                       "invalid", "unknown member 'tusks'");
  assert_text_refused (JOB_START "\"tasks\":[{\"cpus\":-1}]}", 400, "invalid",
                       "cpus");
  assert_serves_others ();
}

static void
test_bytes_that_are_not_text (void)
{
  static const char nul[] = JOB_START "\"tasks\":[{\"input\":\"a\0b\"}]}";
  static const char latin[] = JOB_START "\"tasks\":[{\"input\":\"\xe9\"}]}";

  assert_refused (nul, sizeof nul - 1, 400, "invalid", "line 1");
  assert_refused (latin, sizeof latin - 1, 400, "invalid", "UTF-8");
  assert_text_refused (JOB_START "\"tasks\":[{\"input\":\"\\u0000\"}]}", 400,
                       "invalid", "line 1");
  assert_serves_others ();
}

static void
test_deep_nesting (void)
{
  g_autofree char *text = g_strnfill (NESTING_DEPTH, '[');

  assert_text_refused (text, 400, "invalid", "depth");
  assert_serves_others ();
}

static void
test_number_of_tasks (void)
{
  g_autofree char *too_many = deployment_job (131, 0, 0);
  g_autofree char *none = deployment_job (0, 0, 0);

  assert_text_refused (too_many, 400, "invalid", "1 to 130");
  assert_text_refused (none, 400, "invalid", "1 to 130");
  assert_serves_others ();
}

static void
test_names_and_deadline (void)
{
  assert_text_refused (
      "{\"team\":\"nobody\",\"service\":\"s\",\"tasks\":[{}]}", 404,
      "not-found", "nobody");
  assert_text_refused (
      "{\"team\":\"hjolavinir\",\"service\":\"none\",\"tasks\":[{}]}", 404,
      "not-found", "none");
  assert_text_refused (JOB_START "\"deadline_unix_ms\":1000,\"tasks\":[{}]}",
                       503, "not-run", "deadline");
  assert_serves_others ();
}

static void
test_announced_size_over_limit (void)
{
  static const char request[]
      = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n";
  g_autofree char *answer = http_raw (deployment->entries[0]->ports[0],
                                      request, sizeof request - 1, FALSE);

  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 413 "));
  g_assert_nonnull (strstr (answer, "too-large"));
  assert_serves_others ();
}

/* The answer comes although the sender never ends its chunks.  */
static void
test_streamed_size_over_limit (void)
{
  static const char head[] = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n80000\r\n";
  gsize length = sizeof head - 1 + 0x80000;
  g_autofree char *request = g_strnfill (length, ' ');
  g_autofree char *answer = NULL;

  memcpy (request, head, sizeof head - 1);
  answer = http_raw (deployment->entries[0]->ports[0], request, length, FALSE);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 413 "));
  assert_serves_others ();
}

/* A request that never gets whole is closed at its deadline.  */
static void
test_incomplete_requests (void)
{
  static const char *const beginnings[] = {
    "",
    "POST /v1/jo",
    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"te",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (beginnings); i++)
    {
      g_autofree char *answer
          = http_raw (deployment->entries[0]->ports[0], beginnings[i],
                      strlen (beginnings[i]), FALSE);

      g_assert_true (answer == NULL || *answer == '\0');
    }
  assert_serves_others ();
}

static guint64
read_resident_kb (void)
{
  g_autofree char *path
      = g_strdup_printf ("/proc/%d/status", (int)deployment->entries[0]->pid);
  g_autofree char *text = NULL;
  const char *line;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  line = strstr (text, "VmRSS:");
  g_assert_nonnull (line);
  return g_ascii_strtoull (line + strlen ("VmRSS:"), NULL, 10);
}

static void
assert_memory_is_bounded (void)
{
#ifndef __SANITIZE_ADDRESS__
  g_assert_cmpuint (read_resident_kb (), <, 64 * 1024);
#else
  g_assert_cmpuint (read_resident_kb (), >, 0);
#endif
}

static void
test_header_flood (void)
{
  GString *request = g_string_new ("GET /v1/health HTTP/1.1\r\nHost: x\r\n");
  g_autofree char *answer = NULL;

  while (request->len < FLOOD_BYTES)
    g_string_append (request,
                     "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
  answer = http_raw (deployment->entries[0]->ports[0], request->str,
                     request->len, FALSE);
  g_assert_true (answer == NULL || *answer == '\0'
                 || g_str_has_prefix (answer, "HTTP/1.1 4"));
  g_string_free (request, TRUE);
  assert_memory_is_bounded ();
  assert_serves_others ();
}

/* A connection that was not told to close serves further requests.  */
static void
test_keep_alive (void)
{
  static const char request[]
      = "GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n"
        "GET /v1/health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  g_autofree char *answer = http_raw (deployment->entries[0]->ports[0],
                                      request, sizeof request - 1, FALSE);
  char *first = strstr (answer, "serving");

  g_assert_nonnull (first);
  g_assert_nonnull (strstr (first + 1, "serving"));
}

static gboolean
is_alone (json_t *state, gpointer data)
{
  return json_get_int (state, "connections") <= 1;
}

/* Connections that callers closed between two requests are released.  */
static void
test_closed_connections_are_released (void)
{
  g_autofree char *url = deployment_url (deployment, 0, "/v1/health");
  g_autofree char *state = deployment_url (deployment, 0, "/v1/state");

  for (int i = 0; i < 200; i++)
    {
      struct http_answer *answer = http_request ("GET", url, NULL, NULL);

      g_assert_cmpuint (answer->status, ==, 200);
      http_answer_free (answer);
    }
  json_decref (http_poll_until (state, is_alone, NULL));
}

static gboolean
nothing_unfinished (json_t *state, gpointer data)
{
  return json_get_int (state, "unfinished") == 0;
}

/* A caller that leaves midway does not stop its job.  */
static void
test_caller_leaves (void)
{
  g_autofree char *url = deployment_url (deployment, 0, "/v1/jobs");
  g_autofree char *state = deployment_url (deployment, 0, "/v1/state");
  g_autofree char *job = deployment_job (16, 50, 0);
  guint before = deployment_assert_starts (deployment);

  for (int i = 0; i < 10; i++)
    {
      struct http_call *call = http_begin ("POST", url, job, NULL);

      while (deployment_assert_starts (deployment) <= before)
        g_main_context_iteration (NULL, FALSE);
      http_abandon (call);
      json_decref (http_poll_until (state, nothing_unfinished, NULL));
      before = deployment_assert_starts (deployment);
    }
  assert_serves_others ();
}

int
main (int argc, char **argv)
{
  int status;

  g_test_init (&argc, &argv, NULL);
  start_deployment ();
  g_test_add_func ("/bad-input/malformed", test_malformed);
  g_test_add_func ("/bad-input/not-text", test_bytes_that_are_not_text);
  g_test_add_func ("/bad-input/deep-nesting", test_deep_nesting);
  g_test_add_func ("/bad-input/number-of-tasks", test_number_of_tasks);
  g_test_add_func ("/bad-input/names-and-deadline", test_names_and_deadline);
  g_test_add_func ("/bad-input/announced-size",
                   test_announced_size_over_limit);
  g_test_add_func ("/bad-input/streamed-size", test_streamed_size_over_limit);
  g_test_add_func ("/bad-input/incomplete", test_incomplete_requests);
  g_test_add_func ("/bad-input/header-flood", test_header_flood);
  g_test_add_func ("/bad-input/keep-alive", test_keep_alive);
  g_test_add_func ("/bad-input/closed-connections",
                   test_closed_connections_are_released);
  g_test_add_func ("/bad-input/caller-leaves", test_caller_leaves);
  status = g_test_run ();
  deployment_stop (deployment);
  return status;
}
