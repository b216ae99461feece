/*
 * Entry VMs of a fleet as real processes on the operators' platform.
 *
 * Whatever happens, no task runs twice at once and no worker runs more than it
 * has room for: each test ends with that judgement of the workers' record.
 */
#include "t/support/fleet_bed.h"

#include <signal.h>
#include <string.h>

#define N_VMS 3
#define SLOTS (FLEET_BED_WORKERS * FLEET_BED_SLOTS)
#define MAX_TRIES 8

/* A job of 8 tasks is done, and each of them was run once.  */
static void
test_done (void)
{
  struct fleet_bed *bed = fleet_bed_start (N_VMS);
  struct fleet_call *call
      = fleet_bed_begin (bed, 1, FLEET_BED_PATIENT, 8, 100);

  g_assert_cmpuint (fleet_call_wait (call), ==, 200);
  g_assert_true (fleet_call_is_done (call));
  g_assert_cmpuint (fleet_bed_count_starts (bed, call->id), ==, 8);
  for (guint i = 0; i < 8; i++)
    g_assert_cmpuint (fleet_bed_count_task (bed, call->id, i), ==, 1);
  fleet_call_free (call);
  fleet_bed_stop (bed);
}

#define OVERLOAD_JOBS 120

/* What the answer to a job that was sent once says must be true.  */
static void
assert_true_answer (struct fleet_bed *bed, const struct fleet_call *call)
{
  fleet_call_assert_whole (call);
  if (call->status == 503)
    g_assert_cmpuint (fleet_bed_count_starts (bed, call->id), ==, 0);
  if (call->status != 200)
    return;
  g_assert_true (fleet_call_is_done (call));
  for (guint i = 0; i < call->n_tasks; i++)
    g_assert_cmpuint (fleet_bed_count_task (bed, call->id, i), ==, 1);
}

/* Hands more tasks than there is room for to every VM at once, of several run
   times, so that parts of a job wait when others run.  Returns how many jobs
   got an answer that does not tell whether they were run; *N_REFUSED is set to
   how many were refused.  */
static guint
run_overload (struct fleet_bed *bed, guint *n_refused)
{
  struct fleet_call *calls[OVERLOAD_JOBS];
  guint n_unknown = 0;

  *n_refused = 0;

  for (guint i = 0; i < OVERLOAD_JOBS; i++)
    calls[i] = fleet_bed_begin (bed, i % N_VMS, FLEET_BED_HASTY, 2 + i % 5,
                                400 + i % 4 * 100);
  for (guint i = 0; i < OVERLOAD_JOBS; i++)
    n_unknown += fleet_call_wait (calls[i]) == 502 ? 1 : 0;
  for (guint i = 0; i < OVERLOAD_JOBS; i++)
    {
      assert_true_answer (bed, calls[i]);
      *n_refused += calls[i]->status == 503 ? 1 : 0;
      fleet_call_free (calls[i]);
    }
  return n_unknown;
}

/* The jobs of all routes that the VMs' dumps count as refused for CAUSE.  */
static guint
count_refused (struct fleet_bed *bed, const char *cause)
{
  guint n = 0;

  for (guint vm = 0; vm < N_VMS; vm++)
    {
      json_t *dump = fleet_bed_dump (bed, vm);
      json_t *route;
      gsize i;

      json_array_foreach (json_get (dump, "routes"), i, route) n
          += (guint)json_get_int (json_get (route, "refused"), cause);
      json_decref (dump);
    }
  return n;
}

/* A job is run as a whole or not at all, also when there is no room.  The
   refusals are counted by cause; the only caller is within its share.  */
static void
test_overload (void)
{
  struct fleet_bed *bed = fleet_bed_start (N_VMS);
  guint n_refused;

  g_assert_cmpuint (run_overload (bed, &n_refused), ==, 0);
  g_assert_cmpuint (n_refused, >, 0);
  g_assert_cmpuint (count_refused (bed, "wait-too-long"), ==, n_refused);
  g_assert_cmpuint (count_refused (bed, "over-share"), ==, 0);
  fleet_bed_stop (bed);
}

/* Sends the job of CALL to VM, as often as a caller does, until it is done. */
static void
repeat_until_done (struct fleet_bed *bed, struct fleet_call *call, guint vm)
{
  for (guint i = 0; i < MAX_TRIES && !fleet_call_is_done (call); i++)
    {
      fleet_bed_pass (FLEET_BED_RESEND_MS);
      fleet_call_repeat (bed, call, vm);
      fleet_call_wait (call);
    }
  g_assert_true (fleet_call_is_done (call));
}

/* A VM dies in the middle of jobs, its own and those of others.  */
static void
test_killed (void)
{
  struct fleet_bed *bed = fleet_bed_start (N_VMS);
  struct fleet_call *calls[N_VMS * 3];
  guint victim = fleet_bed_find_owner (bed);

  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    calls[i] = fleet_bed_begin (bed, i % N_VMS, FLEET_BED_PATIENT, 6, 1500);
  fleet_bed_wait_count (bed, "running", SLOTS / 2);
  fleet_bed_kill_vm (bed, victim);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    if (fleet_call_wait (calls[i]) != 0)
      fleet_call_assert_whole (calls[i]);
    else
      g_assert_cmpuint (i % N_VMS, ==, victim);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      repeat_until_done (bed, calls[i], (victim + 1 + i % 2) % N_VMS);
      fleet_call_free (calls[i]);
    }
  fleet_bed_wait_settled (bed);
  fleet_bed_stop (bed);
}

/* A VM is told to stop in the middle of jobs.  */
static void
test_stopped (void)
{
  struct fleet_bed *bed = fleet_bed_start (N_VMS);
  struct fleet_call *calls[N_VMS * 4];
  guint leaver = fleet_bed_find_owner (bed);
  gint64 began_us;

  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    calls[i] = fleet_bed_begin (bed, i % N_VMS, FLEET_BED_PATIENT, 6, 400);
  fleet_bed_wait_count (bed, "running", SLOTS / 2);
  began_us = g_get_monotonic_time ();
  process_signal (bed->vms[leaver], SIGTERM);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      fleet_call_wait (calls[i]);
      fleet_call_assert_whole (calls[i]);
      g_assert_true (fleet_call_is_done (calls[i]));
      fleet_call_free (calls[i]);
    }
  g_assert_cmpint (process_wait_exit (bed->vms[leaver]), ==, 0);
  g_assert_cmpint (g_get_monotonic_time () - began_us, <,
                   FLEET_BED_GRACE_S * G_USEC_PER_SEC);
  fleet_bed_kill_vm (bed, leaver);
  fleet_bed_wait_settled (bed);
  g_assert_true (fleet_bed_run (bed, (leaver + 1) % N_VMS, 8, 50));
  fleet_bed_stop (bed);
}

/* A VM that is leaving serves what still comes to it: the load balancer needs
   two checks of its readiness, a second apart, to send callers elsewhere.  */
static void
test_served_while_leaving (void)
{
  struct fleet_bed *bed = fleet_bed_start (N_VMS);
  guint leaver = fleet_bed_find_owner (bed);
  gint64 until_us = g_get_monotonic_time ()
                    + FLEET_BED_GRACE_S * G_USEC_PER_SEC * 37 / 100;

  process_signal (bed->vms[leaver], SIGTERM);
  while (g_get_monotonic_time () < until_us)
    g_assert_true (fleet_bed_run (bed, leaver, 4, 20));
  g_assert_cmpint (process_wait_exit (bed->vms[leaver]), ==, 0);
  fleet_bed_kill_vm (bed, leaver);
  fleet_bed_stop (bed);
}

#define JOB_PATH "0123456789abcdef"

/* Sends BODY to PATH; the answer has STATUS and holds TEXT.  Returns whether
   it tells when to come back.  */
static gboolean
expect (struct fleet_bed *bed, const char *method, const char *path,
        const char *body, guint status, const char *text)
{
  const char *const headers[] = { "Host", "jobs.example", NULL };
  g_autofree char *url = fleet_bed_url (bed, 0, path);
  struct http_answer *answer = http_request (method, url, body, headers);
  gboolean has_retry;

  g_assert_no_error (answer->error);
  if (answer->status != status || strstr (answer->body, text) == NULL)
    g_error ("%s %s: %u %s", method, path, answer->status, answer->body);
  has_retry
      = soup_message_headers_get_one (answer->headers, "Retry-After") != NULL;
  http_answer_free (answer);
  return has_retry;
}

static void
wait_started (struct fleet_bed *bed)
{
  g_autofree char *url = fleet_bed_url (bed, 0, "/");
  struct http_answer *answer;
  guint status = 0;

  while (status == 0)
    {
      answer = http_request ("GET", url, NULL, NULL);
      status = answer->status;
      http_answer_free (answer);
      fleet_bed_pass (10);
    }
}

static void
test_refusals (void)
{
  struct fleet_bed *bed = fleet_bed_start_bare (2);
  static const char good[]
      = "{\"bestEffort\":true,\"spec\":\"1\",\"steps\":[{\"count\":1}]}";
  static const char stored[] = "{\"spec\":\"1\",\"steps\":[{\"count\":1}]}";

  wait_started (bed);
  g_assert_true (expect (bed, "POST", FLEET_BED_PATIENT JOB_PATH, good, 503,
                         "has not read the desired state"));
  fleet_bed_put_state (bed);
  fleet_bed_wait_settled (bed);
  expect (bed, "POST", "/nowhere/" JOB_PATH, good, 404, "no route matches");
  expect (bed, "POST", FLEET_BED_PATIENT "short", good, 404, "16 hexadecimal");
  expect (bed, "POST", FLEET_BED_PATIENT JOB_PATH, "{\"spec\":", 400,
          "not-run");
  expect (bed, "POST", FLEET_BED_PATIENT JOB_PATH, "[]", 400, "not-run");
  expect (bed, "POST", FLEET_BED_PATIENT JOB_PATH, stored, 503, "bestEffort");
  expect (bed, "GET", FLEET_BED_PATIENT, NULL, 200, "pending");
  g_assert_cmpuint (fleet_bed_count_starts (bed, JOB_PATH), ==, 0);
  expect (bed, "POST", FLEET_BED_PATIENT JOB_PATH, good, 200, "done");
  fleet_bed_stop (bed);
}

/* The caller goes away: what runs for it is stopped, not left to lapse.  */
static void
test_caller_leaves (void)
{
  struct fleet_bed *bed = fleet_bed_start (2);
  struct fleet_call *call
      = fleet_bed_begin (bed, 0, FLEET_BED_PATIENT, 12, 60000);
  json_t *record;

  fleet_bed_wait_count (bed, "running", 12);
  fleet_call_free (call);
  fleet_bed_wait_idle (bed);
  record = fleet_bed_get_record (bed);
  g_assert_cmpint (json_get_int (record, "starts"), ==, 12);
  g_assert_cmpint (json_get_int (record, "stopped"), ==, 12);
  json_decref (record);
  fleet_bed_stop (bed);
}

/* The platform's store is out of reach: what is known of it goes on.  */
static void
test_store_down (void)
{
  struct fleet_bed *bed = fleet_bed_start (N_VMS);
  gint64 until_us;

  fleet_bed_set_store_faults (bed, "{\"mode\":\"refuses\"}");
  until_us = g_get_monotonic_time () + 4 * G_USEC_PER_SEC;
  for (guint i = 0; g_get_monotonic_time () < until_us; i++)
    g_assert_true (fleet_bed_run (bed, i % N_VMS, 8, 20));
  fleet_bed_set_store_faults (bed, "{\"mode\":\"serves\"}");
  fleet_bed_wait_settled (bed);
  g_assert_true (fleet_bed_run (bed, 0, 8, 20));
  fleet_bed_stop (bed);
}

/* The first worker has faults: jobs are done by the others.  */
static void
run_beside (const char *faults)
{
  struct fleet_bed *bed = fleet_bed_start (N_VMS);
  struct fleet_call *calls[12];

  fleet_bed_set_worker_faults (bed, faults);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    calls[i] = fleet_bed_begin (bed, i % N_VMS, FLEET_BED_PATIENT, 6, 100);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      fleet_call_wait (calls[i]);
      fleet_call_assert_whole (calls[i]);
      if (!fleet_call_is_done (calls[i]))
        g_test_message ("job %u: %u %s", i, calls[i]->status, calls[i]->body);
      g_assert_true (fleet_call_is_done (calls[i]));
      fleet_call_free (calls[i]);
    }
  fleet_bed_stop (bed);
}

static void
test_worker_hangs (void)
{
  run_beside ("{\"worker\":0,\"hang_percent\":100}");
}

static void
test_worker_fails (void)
{
  run_beside ("{\"worker\":0,\"fail_percent\":100}");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/fleet/done", test_done);
  g_test_add_func ("/fleet/overload", test_overload);
  g_test_add_func ("/fleet/killed", test_killed);
  g_test_add_func ("/fleet/stopped", test_stopped);
  g_test_add_func ("/fleet/served-while-leaving", test_served_while_leaving);
  g_test_add_func ("/fleet/refusals", test_refusals);
  g_test_add_func ("/fleet/caller-leaves", test_caller_leaves);
  g_test_add_func ("/fleet/store-down", test_store_down);
  g_test_add_func ("/fleet/worker-hangs", test_worker_hangs);
  g_test_add_func ("/fleet/worker-fails", test_worker_fails);
  return g_test_run ();
}
