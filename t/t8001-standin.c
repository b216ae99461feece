#include "t/standin/listener.h"
#include "t/support/http.h"
#include "t/support/process.h"

#include <signal.h>
#include <string.h>

static struct http_answer *
start_task (guint16 port, const char *task, const char *token,
            const char *lease_ms, const char *input)
{
  g_autofree char *url = http_url (port, "/v1/tasks/%s", task);
  const char *headers[]
      = { "Task-Token", token, "Task-Lease-Ms", lease_ms, "Task-Idempotent",
          "false",      NULL };

  return http_request ("POST", url, input, headers);
}

static struct http_call *
begin_task (guint16 port, const char *task, const char *token,
            const char *lease_ms, const char *input)
{
  g_autofree char *url = http_url (port, "/v1/tasks/%s", task);
  const char *headers[]
      = { "Task-Token", token, "Task-Lease-Ms", lease_ms, "Task-Idempotent",
          "false",      NULL };

  return http_begin ("POST", url, input, headers);
}

static void
assert_outcome (struct http_answer *answer, const char *outcome)
{
  g_assert_no_error (answer->error);
  g_assert_cmpstr (
      soup_message_headers_get_one (answer->headers, "Task-Outcome"), ==,
      outcome);
  http_answer_free (answer);
}

static gboolean
is_running (json_t *body, gpointer data)
{
  return json_get_int (body, "running") == GPOINTER_TO_INT (data);
}

static void
wait_running (guint16 port, int n)
{
  g_autofree char *url = http_url (port, "/test/starts");

  json_decref (http_poll_until (url, is_running, GINT_TO_POINTER (n)));
}

static gint64
get_int (guint16 port, const char *path, const char *member)
{
  g_autofree char *url = http_url (port, "%s", path);
  json_t *body = http_get_json (url);
  gint64 value = json_get_int (body, member);

  json_decref (body);
  return value;
}

static void
post (guint16 port, const char *path, const char *body)
{
  g_autofree char *url = http_url (port, "%s", path);

  http_post (url, body);
}

static void
test_task_echo (void)
{
  struct process *upstream
      = process_start_standin ("upstream", "--name", "u", NULL);
  struct http_answer *answer
      = start_task (upstream->ports[0], "job/17", "5", "1000",
                    "{\"run_ms\": 1, \"value\": [3]}");

  g_assert_cmpuint (answer->status, ==, 200);
  g_assert_cmpstr (answer->body, ==,
                   "{\"upstream\":\"u\",\"task\":\"job/17\",\"echo\":[3]}");
  assert_outcome (answer, "done");
  process_free (upstream);
}

static void
test_token (void)
{
  struct process *upstream = process_start_standin ("upstream", NULL);
  guint16 port = upstream->ports[0];

  assert_outcome (start_task (port, "j/0", "5", "1000", "{}"), "done");
  assert_outcome (start_task (port, "j/0", "5", "1000", "{}"), "not-run");
  assert_outcome (start_task (port, "j/0", "6", "1000", "{}"), "done");
  assert_outcome (start_task (port, "j/1", "x", "1000", "{}"), "not-run");
  g_assert_cmpint (get_int (port, "/test/starts", "total"), ==, 2);
  g_assert_cmpint (get_int (port, "/test/starts", "total_refused"), ==, 1);
  g_assert_cmpint (get_int (port, "/test/requests", "start"), ==, 4);
  process_free (upstream);
}

static void
test_slots_and_stop (void)
{
  struct process *upstream
      = process_start_standin ("upstream", "--slots", "1", NULL);
  guint16 port = upstream->ports[0];
  struct http_call *call
      = begin_task (port, "j/0", "5", "100000", "{\"hang\":true}");

  wait_running (port, 1);
  assert_outcome (start_task (port, "j/1", "6", "1000", "{}"), "not-run");
  post (port, "/v1/stop",
        "{\"tasks\":[{\"task\":\"j/0\",\"token\":5},"
        "{\"task\":\"j/2\",\"token\":7}]}");
  assert_outcome (http_finish (call), "stopped");
  assert_outcome (start_task (port, "j/2", "7", "1000", "{}"), "not-run");
  g_assert_cmpint (get_int (port, "/test/starts", "max_running"), ==, 1);
  process_free (upstream);
}

static void
test_lease_lapses (void)
{
  struct process *upstream = process_start_standin ("upstream", NULL);
  guint16 port = upstream->ports[0];

  assert_outcome (start_task (port, "j/0", "5", "5", "{\"run_ms\": 100000}"),
                  "stopped");
  process_free (upstream);
}

static void
test_lease_renewed (void)
{
  struct process *upstream = process_start_standin ("upstream", NULL);
  guint16 port = upstream->ports[0];
  struct http_call *call
      = begin_task (port, "j/0", "5", "60000", "{\"hang\": true}");
  g_autofree char *url = http_url (port, "/v1/leases");
  struct http_answer *answer;

  wait_running (port, 1);
  answer = http_request ("POST", url,
                         "{\"lease_ms\":5,\"tasks\":["
                         "{\"task\":\"j/0\",\"token\":5},"
                         "{\"task\":\"j/9\",\"token\":5}]}",
                         NULL);
  g_assert_cmpstr (answer->body, ==, "{\"lapsed\":[\"j/9\"]}");
  http_answer_free (answer);
  assert_outcome (http_finish (call), "stopped");
  process_free (upstream);
}

static void
test_faults (void)
{
  struct process *upstream = process_start_standin ("upstream", NULL);
  guint16 port = upstream->ports[0];
  struct http_answer *answer;

  post (port, "/test/faults", "{\"close_after_read_percent\": 100}");
  answer = start_task (port, "j/0", "1", "1000", "{\"run_ms\": 1}");
  g_assert_cmpuint (answer->status, ==, 0);
  http_answer_free (answer);
  answer = start_task (port, "j/1", "1", "1000", "{}");
  g_assert_cmpuint (answer->status, ==, 0);
  http_answer_free (answer);
  post (port, "/test/faults",
        "{\"close_after_read_percent\": 0,"
        "\"close_before_read_percent\": 100}");
  answer = start_task (port, "j/2", "1", "1000", "{}");
  g_assert_cmpuint (answer->status, ==, 0);
  http_answer_free (answer);
  post (port, "/test/faults", "{\"close_before_read_percent\": 0}");
  assert_outcome (start_task (port, "j/3", "1", "1000", "{\"fail\":true}"),
                  "failed");
  assert_outcome (
      start_task (port, "j/4", "1", "1000", "{\"omit_outcome\":true}"), NULL);
  g_assert_cmpint (get_int (port, "/test/starts", "total"), ==, 4);
  process_free (upstream);
}

static GSocketConnection *
connect_to (guint16 port)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GError) error = NULL;
  GSocketConnection *connection = g_socket_client_connect_to_host (
      client, "127.0.0.1", port, NULL, &error);

  g_assert_no_error (error);
  return connection;
}

static void
test_connection_bound (void)
{
  struct process *upstream = process_start_standin (
      "upstream", "--connections", "1", "--count", "3", NULL);
  guint16 port = upstream->ports[2];
  g_autoptr (GPtrArray) connections
      = g_ptr_array_new_with_free_func (g_object_unref);
  GIOStream *last;
  char byte;

  g_assert_cmpuint (upstream->n_ports, ==, 3);
  for (int i = 0; i < 1 + SPARE_CONNECTIONS + 1; i++)
    g_ptr_array_add (connections, connect_to (port));
  last = g_ptr_array_index (connections, connections->len - 1);
  g_assert_cmpint (g_input_stream_read (g_io_stream_get_input_stream (last),
                                        &byte, 1, NULL, NULL),
                   <=, 0);
  process_free (upstream);
}

static void
test_connection_kept (void)
{
  struct process *upstream = process_start_standin ("upstream", NULL);

  g_assert_cmpuint (
      http_count_on_one_connection (upstream->ports[0], "/v1/usage", 3), ==,
      3);
  process_free (upstream);
}

static void
assert_body (struct http_answer *answer, guint status, const char *body)
{
  g_assert_no_error (answer->error);
  g_assert_cmpuint (answer->status, ==, status);
  g_assert_cmpstr (answer->body, ==, body);
  http_answer_free (answer);
}

static void
test_log (void)
{
  struct process *platform
      = process_start_standin ("platform", "--retention", "2", NULL);
  guint16 port = platform->ports[0];
  g_autofree char *url = http_url (port, "/v1/streams/s/records");
  g_autofree char *wait
      = http_url (port, "/v1/streams/s/records?from=3&wait_ms=60000");
  g_autofree char *below = http_url (port, "/v1/streams/s/records?from=0");
  struct http_call *call;
  struct http_answer *answer;
  json_t *body;

  assert_body (http_request ("POST", url, "1", NULL), 200, "{\"offset\":0}");
  assert_body (http_request ("POST", url, "2", NULL), 200, "{\"offset\":1}");
  assert_body (http_request ("POST", url, "3", NULL), 200, "{\"offset\":2}");
  assert_body (http_request ("GET", below, NULL, NULL), 410,
               "{\"first\":1,\"next\":3}");
  assert_body (http_request ("POST", url, "{", NULL), 400, "");
  call = http_begin ("GET", wait, NULL, NULL);
  assert_body (http_request ("POST", url, "{\"a\":4}", NULL), 200,
               "{\"offset\":3}");
  answer = http_finish (call);
  body = http_answer_json (answer);
  g_assert_cmpint (json_get_int (body, "next"), ==, 4);
  g_assert_nonnull (strstr (answer->body, "\"data\":{\"a\":4}"));
  json_decref (body);
  http_answer_free (answer);
  process_free (platform);
}

static void
test_outage (void)
{
  struct process *platform = process_start_standin ("platform", NULL);
  guint16 port = platform->ports[0];
  g_autofree char *url = http_url (port, "/v1/streams/s/records");
  struct http_answer *answer;
  struct http_call *call;

  post (port, "/test/outage", "{\"mode\":\"refuse\"}");
  assert_body (http_request ("POST", url, "1", NULL), 503, "");
  post (port, "/test/outage", "{\"mode\":\"lose-answers\"}");
  answer = http_request ("POST", url, "2", NULL);
  g_assert_cmpuint (answer->status, ==, 0);
  http_answer_free (answer);
  post (port, "/test/outage", "{\"mode\":\"silent\"}");
  call = http_begin ("POST", url, "3", NULL);
  post (port, "/test/outage", "{\"mode\":\"none\"}");
  assert_body (http_request ("POST", url, "4", NULL), 200, "{\"offset\":1}");
  http_abandon (call);
  process_free (platform);
}

static void
test_vms (void)
{
  struct process *platform
      = process_start_standin ("platform", "--vms-lag-ms", "0", NULL);
  guint16 port = platform->ports[0];
  g_autofree char *put = http_url (port, "/test/vms");
  g_autofree char *get = http_url (port, "/v1/vms");

  assert_body (http_request ("GET", get, NULL, NULL), 200,
               "{\"version\":0,\"vms\":[]}");
  assert_body (http_request ("PUT", put, "[{\"name\":\"a\"}]", NULL), 200,
               "{}");
  assert_body (http_request ("GET", get, NULL, NULL), 200,
               "{\"version\":1,\"vms\":[{\"name\":\"a\"}]}");
  process_free (platform);
}

static void
test_ends_by_signal (void)
{
  struct process *platform = process_start_standin ("platform", NULL);

  process_signal (platform, SIGTERM);
  g_assert_cmpint (process_wait_exit (platform), ==, 0);
  process_free (platform);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/standin/task-echo", test_task_echo);
  g_test_add_func ("/standin/token", test_token);
  g_test_add_func ("/standin/slots-and-stop", test_slots_and_stop);
  g_test_add_func ("/standin/lease-lapses", test_lease_lapses);
  g_test_add_func ("/standin/lease-renewed", test_lease_renewed);
  g_test_add_func ("/standin/faults", test_faults);
  g_test_add_func ("/standin/connection-bound", test_connection_bound);
  g_test_add_func ("/standin/connection-kept", test_connection_kept);
  g_test_add_func ("/standin/log", test_log);
  g_test_add_func ("/standin/outage", test_outage);
  g_test_add_func ("/standin/vms", test_vms);
  g_test_add_func ("/standin/ends-by-signal", test_ends_by_signal);
  return g_test_run ();
}
