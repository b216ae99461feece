/* The stand-ins of the operators' workers.  */
#include "base/clock.h"
#include "t/support/http.h"
#include "t/support/process.h"

#include <string.h>

/* Leases that no loaded machine lets lapse.  */
#define LONG_HOLDS "--hold-max-ms", "600000"

/* Sends an order; asserts its status, and returns its answer.  */
static json_t *
order (guint16 port, const char *call, guint status, const char *body)
{
  g_autofree char *url = http_url (port, "/radishchute/%s", call);
  struct http_answer *answer = http_request ("POST", url, body, NULL);
  json_t *json = http_answer_json (answer);

  g_assert_no_error (answer->error);
  if (answer->status != status)
    g_error ("%s %s: %u %s", call, body, answer->status, answer->body);
  http_answer_free (answer);
  return json;
}

/* Starts run RUN of TASK; REASON is that of its refusal, or NULL.  */
static void
start (guint16 port, const char *task, int run, int token, const char *spec,
       const char *reason)
{
  g_autofree char *body = g_strdup_printf (
      "{\"task\":\"%s\",\"run\":%d,\"spec\":\"%s\",\"untilMs\":900000000,"
      "\"fencingToken\":%d}",
      task, run, spec, token);
  json_t *answer = order (port, "run-start", reason == NULL ? 200 : 409, body);

  g_assert_cmpint (json_get_int (answer, "clockMs"), >=, 0);
  g_assert_cmpstr (json_string_value (json_object_get (answer, "reason")), ==,
                   reason);
  json_decref (answer);
}

static void
stop (guint16 port, const char *task, int run, int token)
{
  g_autofree char *body = g_strdup_printf (
      "{\"task\":\"%s\",\"run\":%d,\"fencingToken\":%d}", task, run, token);

  json_decref (order (port, "run-stop", 200, body));
}

/* Asks until end number N is listed, which it asserts to be EXPECTED.  */
static void
assert_end (guint16 port, int n, const char *expected)
{
  g_autofree char *body = g_strdup_printf (
      "{\"fencingToken\":1000,\"lastSeen\":%d,\"waitMs\":2000}", n - 1);
  g_autofree char *text = NULL;
  json_t *answer;
  json_t *ended;

  for (;;)
    {
      answer = order (port, "hold", 200, body);
      ended = json_get (answer, "ended");
      if (json_array_size (ended) > 0)
        break;
      json_decref (answer);
    }
  text = json_dumps (json_array_get (ended, 0), JSON_COMPACT);
  g_assert_cmpstr (text, ==, expected);
  json_decref (answer);
}

static guint16
control_port (const struct process *workers)
{
  return workers->ports[workers->n_ports - 1];
}

static void
control (const struct process *workers, const char *name, const char *body)
{
  g_autofree char *url
      = http_url (control_port (workers), "/standin/%s", name);

  http_post (url, body);
}

static json_t *
get_record (const struct process *workers)
{
  g_autofree char *url = http_url (control_port (workers), "/standin/record");

  return http_get_json (url);
}

static void
assert_count (const struct process *workers, const char *name, gint64 expected)
{
  json_t *record = get_record (workers);

  g_assert_cmpint (json_get_int (record, name), ==, expected);
  json_decref (record);
}

struct count
{
  const char *name;
  gint64 least;
};

static gboolean
has_count (json_t *body, gpointer data)
{
  const struct count *count = data;

  return json_get_int (body, count->name) >= count->least;
}

static void
wait_count (const struct process *workers, const char *name, gint64 least)
{
  struct count count = { name, least };
  g_autofree char *url = http_url (control_port (workers), "/standin/record");

  json_decref (http_poll_until (url, has_count, &count));
}

static void
test_run (void)
{
  struct process *workers = process_start_standin ("worker", LONG_HOLDS, NULL);
  guint16 port = workers->ports[0];
  json_t *answer;

  start (port, "j.0.0.0", 1, 5, "1", NULL);
  assert_end (port, 1, "[1,\"j.0.0.0\",1,\"done\",\"\"]");
  start (port, "j.0.0.1", 1, 1000, "1 fail", NULL);
  assert_end (port, 2, "[2,\"j.0.0.1\",1,\"failed\",\"\"]");
  start (port, "j.0.0.2", 1, 1000, "1 hang cpu=4000", NULL);
  start (port, "j.0.0.2", 1, 1000, "1 hang cpu=4000", NULL);
  answer = order (port, "hold", 200, "{\"fencingToken\":1000,\"lastSeen\":1}");
  g_assert_cmpuint (json_array_size (json_get (answer, "running")), ==, 1);
  g_assert_cmpuint (json_array_size (json_get (answer, "ended")), ==, 1);
  json_decref (answer);
  answer = order (port, "hold", 200, "{\"fencingToken\":1000,\"lastSeen\":0}");
  /* The first end is forgotten for good.  */
  g_assert_cmpuint (json_array_size (json_get (answer, "ended")), ==, 1);
  json_decref (answer);
  assert_count (workers, "starts", 3);
  assert_count (workers, "done", 1);
  assert_count (workers, "failed", 1);
  assert_count (workers, "running", 1);
  process_free (workers);
}

static void
test_refusals (void)
{
  struct process *workers = process_start_standin ("worker", LONG_HOLDS, NULL);
  guint16 port = workers->ports[0];
  json_t *answer;

  start (port, "a", 2, 7, "1", NULL);
  start (port, "b", 1, 6, "1", "fence");
  assert_end (port, 1, "[1,\"a\",2,\"done\",\"\"]");
  start (port, "a", 2, 1000, "1", "old");
  start (port, "a", 1, 1000, "1", "old");
  json_decref (order (port, "run-stop", 409, "{\"task\":\"a\",\"run\":1}"));
  answer = order (port, "run-start", 409,
                  "{\"task\":\"c\",\"run\":1,\"spec\":\"1\","
                  "\"untilMs\":0,\"fencingToken\":1000}");
  g_assert_cmpstr (json_string_value (json_get (answer, "reason")), ==,
                   "late");
  json_decref (answer);
  json_decref (order (port, "run-start", 400,
                      "{\"task\":\"c\",\"run\":1,\"spec\":\"x\","
                      "\"untilMs\":900000000,\"fencingToken\":1000}"));
  json_decref (order (port, "hold", 400,
                      "{\"fencingToken\":1000,\"lastSeen\":0,"
                      "\"waitMs\":2001}"));
  control (workers, "faults", "{\"unhealthy\":429}");
  json_decref (order (port, "run-start", 429,
                      "{\"task\":\"c\",\"run\":1,\"spec\":\"1\","
                      "\"untilMs\":900000000,\"fencingToken\":1000}"));
  assert_count (workers, "starts", 1);
  process_free (workers);
}

/* Tokens need all 64 bits.  */
static void
test_large_tokens (void)
{
  struct process *workers = process_start_standin ("worker", LONG_HOLDS, NULL);
  guint16 port = workers->ports[0];

  json_decref (
      order (port, "hold", 200,
             "{\"fencingToken\":4611686018427387904,\"lastSeen\":0}"));
  json_decref (
      order (port, "hold", 409,
             "{\"fencingToken\":4611686018427387903,\"lastSeen\":0}"));
  process_free (workers);
}

static void
test_stop (void)
{
  struct process *workers = process_start_standin ("worker", LONG_HOLDS, NULL);
  guint16 port = workers->ports[0];

  start (port, "a", 1, 1, "1 hang", NULL);
  stop (port, "a", 1, 1);
  assert_end (port, 1, "[1,\"a\",1,\"stopped\",\"\"]");
  /* A run that is not there yet is refused, and those before it.  */
  stop (port, "b", 3, 1000);
  start (port, "b", 3, 1000, "1", "old");
  start (port, "b", 2, 1000, "1", "old");
  start (port, "b", 4, 1000, "1", NULL);
  process_free (workers);
}

static void
test_leases (void)
{
  struct process *workers
      = process_start_standin ("worker", "--hold-max-ms", "5", NULL);
  guint16 port = workers->ports[0];

  /* The lease is shortened to the most that the worker grants.  */
  start (port, "a", 1, 1, "900000", NULL);
  assert_end (port, 1, "[1,\"a\",1,\"lapsed\",\"\"]");
  assert_count (workers, "lapsed", 1);
  process_free (workers);
}

static void
test_overlaps (void)
{
  struct process *workers = process_start_standin (
      "worker", LONG_HOLDS, "--count", "2", "--cpu", "3000", NULL);

  start (workers->ports[0], "a", 1, 1, "1 hang cpu=2000", NULL);
  start (workers->ports[1], "b", 1, 1, "1 hang cpu=1000", NULL);
  assert_count (workers, "over_capacity", 0);
  start (workers->ports[0], "c", 1, 1, "1 hang cpu=2000", NULL);
  assert_count (workers, "over_capacity", 1);
  assert_count (workers, "double_runs", 0);
  start (workers->ports[1], "a", 2, 1, "1 hang cpu=1000", NULL);
  assert_count (workers, "double_runs", 1);
  assert_count (workers, "over_capacity", 1);
  process_free (workers);
}

static void
test_admission_check (void)
{
  struct process *workers = process_start_standin (
      "worker", LONG_HOLDS, "--cpu", "3000", "--admission-check", NULL);

  start (workers->ports[0], "a", 1, 1, "1 hang cpu=2000", NULL);
  start (workers->ports[0], "b", 1, 1, "1 cpu=2000", "room");
  assert_count (workers, "over_capacity", 0);
  assert_count (workers, "starts", 1);
  process_free (workers);
}

static void
test_other_life (void)
{
  struct process *workers
      = process_start_standin ("worker", LONG_HOLDS, "--name", "w", NULL);
  g_autofree char *url = http_url (workers->ports[0], "/radishchute/hold");
  const char *right[] = { "Radishchute-Expect-Instance", "w-0", NULL };
  const char *wrong[] = { "Radishchute-Expect-Instance", "w-1", NULL };
  struct http_answer *answer
      = http_request ("POST", url, "{\"lastSeen\":0}", right);

  g_assert_cmpuint (answer->status, ==, 200);
  http_answer_free (answer);
  answer = http_request ("POST", url, "{\"lastSeen\":0}", wrong);
  g_assert_cmpuint (answer->status, ==, 421);
  http_answer_free (answer);
  process_free (workers);
}

static struct http_call *
begin_start (guint16 port, const char *task)
{
  g_autofree char *url = http_url (port, "/radishchute/run-start");
  g_autofree char *body = g_strdup_printf (
      "{\"task\":\"%s\",\"run\":1,\"spec\":\"1\",\"untilMs\":900000000,"
      "\"fencingToken\":1}",
      task);

  return http_begin ("POST", url, body, NULL);
}

static void
test_no_answer (void)
{
  struct process *workers = process_start_standin ("worker", LONG_HOLDS, NULL);
  guint16 port = workers->ports[0];
  struct http_call *lost;
  struct http_call *late;

  control (workers, "faults", "{\"on\":[\"run-start\"],\"lose_percent\":100}");
  lost = begin_start (port, "a");
  wait_count (workers, "done", 1);
  g_assert_false (http_call_is_finished (lost));
  http_abandon (lost);
  control (workers, "faults",
           "{\"lose_percent\":0,\"late_percent\":100,\"late_ms\":1}");
  late = begin_start (port, "b");
  wait_count (workers, "done", 2);
  g_assert_false (http_call_is_finished (late));
  http_abandon (late);
  process_free (workers);
}

static gboolean
has_fenced (json_t *body, gpointer data)
{
  return json_object_get (json_get (body, "refused"), "fence") != NULL;
}

/* A higher token voids the orders that are late.  */
static void
test_late_is_fenced (void)
{
  struct process *workers = process_start_standin ("worker", LONG_HOLDS, NULL);
  guint16 port = workers->ports[0];
  g_autofree char *record
      = http_url (control_port (workers), "/standin/record");
  struct http_call *late;

  control (workers, "faults",
           "{\"on\":[\"run-start\"],\"late_percent\":100,\"late_ms\":1}");
  json_decref (
      order (port, "hold", 200, "{\"fencingToken\":2,\"lastSeen\":0}"));
  late = begin_start (port, "a");
  json_decref (http_poll_until (record, has_fenced, NULL));
  assert_count (workers, "starts", 0);
  http_abandon (late);
  process_free (workers);
}

static void
test_clock (void)
{
  struct process *workers
      = process_start_standin ("worker", "--slow-ppm", "500000", NULL);
  guint16 port = workers->ports[0];
  const char *body = "{\"lastSeen\":0}";
  gint64 before_us = clock_now_us ();
  json_t *first = order (port, "hold", 200, body);
  json_t *second;
  gint64 passed_ms;

  g_usleep (20000);
  second = order (port, "hold", 200, body);
  passed_ms
      = json_get_int (second, "clockMs") - json_get_int (first, "clockMs");
  /* Half as fast, and read to the whole millisecond below.  */
  g_assert_cmpint (passed_ms, <=,
                   (clock_now_us () - before_us) / (2 * USEC_PER_MSEC) + 1);
  g_assert_cmpint (passed_ms, >=, 9);
  json_decref (first);
  json_decref (second);
  process_free (workers);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/worker/run", test_run);
  g_test_add_func ("/worker/refusals", test_refusals);
  g_test_add_func ("/worker/large-tokens", test_large_tokens);
  g_test_add_func ("/worker/stop", test_stop);
  g_test_add_func ("/worker/leases", test_leases);
  g_test_add_func ("/worker/overlaps", test_overlaps);
  g_test_add_func ("/worker/admission-check", test_admission_check);
  g_test_add_func ("/worker/other-life", test_other_life);
  g_test_add_func ("/worker/no-answer", test_no_answer);
  g_test_add_func ("/worker/late-is-fenced", test_late_is_fenced);
  g_test_add_func ("/worker/clock", test_clock);
  return g_test_run ();
}
