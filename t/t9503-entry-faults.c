/*
 * Deaths and pauses of entry VMs.
 *
 * What a lost entry VM had started is reported as unknown, never as not run
 * and never started again; one that was paused past its leases starts
 * nothing on their strength.
 */
#include "t/support/fault_bed.h"

#include <signal.h>

/* The job's home dies while its tasks run.  */
static void
test_home_killed (void)
{
  struct fault_bed *bed = fault_bed_start (2, 2);
  struct fault_call *call = fault_bed_begin (bed, 0, 20, 300);
  struct fault_call *repeated;

  fault_bed_wait_busy (bed, 0);
  process_kill (bed->deployment->entries[0]);
  g_assert_cmpuint (fault_call_wait (bed, call), ==, 0);
  repeated = fault_bed_repeat (bed, 1, call);
  g_assert_cmpuint (fault_call_wait (bed, repeated), !=, 200);
  g_assert_cmpstr (fault_call_kind (repeated), !=, "not-run");
  fault_call_free (repeated);
  fault_call_free (call);
  g_assert_cmpuint (fault_bed_run (bed, 1, 20, 1), ==, 200);
  fault_bed_stop (bed);
}

/* The home dies with a queue: tasks that never started stay so.  */
static void
test_home_killed_with_queue (void)
{
  struct fault_bed *bed = fault_bed_start (1, 1);
  struct fault_call *call = fault_bed_begin (bed, 0, 100, 200);
  gint64 n_started;

  fault_bed_wait_busy (bed, 0);
  process_kill (bed->deployment->entries[0]);
  g_assert_cmpuint (fault_call_wait (bed, call), ==, 0);
  fault_bed_wait_idle (bed, 0);
  n_started = fault_bed_count_starts (bed);
  g_assert_cmpint (n_started, <, 100);
  fault_call_free (call);
  fault_bed_stop (bed);
}

/*
 * The home is paused until its leases have lapsed, and goes on.  The tasks
 * were stopped by their upstreams, so the job failed; none starts again.
 */
static void
test_home_paused (void)
{
  struct fault_bed *bed = fault_bed_start (1, 2);
  struct fault_call *call = fault_bed_begin (bed, 0, 4, 5000);

  fault_bed_wait_busy (bed, 0);
  fault_bed_wait_busy (bed, 1);
  process_signal (bed->deployment->entries[0], SIGSTOP);
  fault_bed_wait_idle (bed, 0);
  fault_bed_wait_idle (bed, 1);
  process_signal (bed->deployment->entries[0], SIGCONT);
  g_assert_cmpuint (fault_call_wait (bed, call), ==, 502);
  g_assert_true (g_str_equal (fault_call_kind (call), "failed")
                 || g_str_equal (fault_call_kind (call), "unknown"));
  fault_call_free (call);
  g_assert_cmpint (fault_bed_count_starts (bed), <=, 4);
  g_assert_cmpuint (fault_bed_run (bed, 0, 8, 1), ==, 200);
  fault_bed_stop (bed);
}

/* Tasks that wait in the home's queue while it is paused.  */
static void
test_home_paused_with_queue (void)
{
  struct fault_bed *bed = fault_bed_start (1, 1);
  struct fault_call *calls[8];

  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    calls[i] = fault_bed_begin (bed, 0, 4, 100);
  fault_bed_wait_busy (bed, 0);
  process_signal (bed->deployment->entries[0], SIGSTOP);
  fault_bed_wait_idle (bed, 0);
  process_signal (bed->deployment->entries[0], SIGCONT);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_assert_cmpuint (fault_call_wait (bed, calls[i]), !=, 0);
      fault_call_free (calls[i]);
    }
  fault_bed_stop (bed);
}

static gboolean
has_jobs (json_t *state, gpointer data)
{
  return json_get_int (state, "jobs") == GPOINTER_TO_INT (data);
}

/* A stop by SIGTERM while many callers wait cuts nobody off.  */
static void
test_graceful_stop (void)
{
  struct fault_bed *bed = fault_bed_start (1, 2);
  g_autofree char *state = deployment_url (bed->deployment, 0, "/v1/state");
  struct fault_call *calls[8];

  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    calls[i] = fault_bed_begin (bed, 0, 4, 300);
  json_decref (http_poll_until (state, has_jobs,
                                GINT_TO_POINTER (G_N_ELEMENTS (calls))));
  process_signal (bed->deployment->entries[0], SIGTERM);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_assert_cmpuint (fault_call_wait (bed, calls[i]), ==, 200);
      fault_call_free (calls[i]);
    }
  g_assert_cmpint (process_wait_exit (bed->deployment->entries[0]), ==, 0);
  fault_bed_stop (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/entry-faults/home-killed", test_home_killed);
  g_test_add_func ("/entry-faults/home-killed-with-queue",
                   test_home_killed_with_queue);
  g_test_add_func ("/entry-faults/home-paused", test_home_paused);
  g_test_add_func ("/entry-faults/home-paused-with-queue",
                   test_home_paused_with_queue);
  g_test_add_func ("/entry-faults/graceful-stop", test_graceful_stop);
  return g_test_run ();
}
