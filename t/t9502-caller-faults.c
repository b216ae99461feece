/*
 * Faults between a caller and its entry VM.
 *
 * A caller that got no answer sends the same submission again under its
 * ticket.  It gets the one whole answer to its own request, and the checker
 * holds that no task starts twice.
 */
#include "t/support/fault_bed.h"

#define MANY_CALLERS 24

/* Loses the answer by FAULTS and asks again.  */
static void
run_lost_answer (const char *faults, guint n_tasks)
{
  struct fault_bed *bed = fault_bed_start (2, 2);
  struct fault_call *call;
  struct fault_call *repeated;

  fault_bed_set_caller_faults (bed, faults);
  call = fault_bed_begin (bed, 0, n_tasks, 20);
  g_assert_cmpuint (fault_call_wait (bed, call), ==, 0);
  repeated = fault_bed_repeat (bed, 0, call);
  g_assert_cmpuint (fault_call_wait (bed, repeated), ==, 200);
  g_assert_cmpint (fault_bed_count_starts (bed), ==, n_tasks);
  fault_call_free (repeated);
  fault_call_free (call);
  fault_bed_stop (bed);
}

static void
test_cut_in_request (void)
{
  run_lost_answer ("{\"up\":{\"cut_after_bytes\":200}}", 5);
}

static void
test_cut_after_request (void)
{
  run_lost_answer ("{\"down\":{\"cut_after_bytes\":1}}", 5);
}

static void
test_cut_in_answer (void)
{
  run_lost_answer ("{\"down\":{\"cut_after_bytes\":400}}", 30);
}

static void
test_closed_in_answer (void)
{
  run_lost_answer ("{\"down\":{\"close_after_bytes\":400}}", 30);
}

/* The repeat arrives by the other entry VM, which is not the job's home.  */
static void
test_repeat_elsewhere (void)
{
  struct fault_bed *bed = fault_bed_start (2, 2);
  struct fault_call *call;
  struct fault_call *repeated;

  fault_bed_set_caller_faults (bed, "{\"down\":{\"cut_after_bytes\":1}}");
  call = fault_bed_begin (bed, 0, 5, 20);
  g_assert_cmpuint (fault_call_wait (bed, call), ==, 0);
  repeated = fault_bed_repeat (bed, 1, call);
  g_assert_cmpuint (fault_call_wait (bed, repeated), ==, 200);
  fault_call_free (repeated);
  fault_call_free (call);
  fault_bed_stop (bed);
}

/* The connection is silent while the job runs; a new one gets the answer.  */
static void
test_silent_connection (void)
{
  struct fault_bed *bed = fault_bed_start (1, 2);
  struct fault_call *call = fault_bed_begin (bed, 0, 4, 300);
  struct fault_call *repeated;

  fault_bed_wait_busy (bed, 0);
  fault_bed_set_caller_faults (bed, "{\"silence_existing\":true}");
  repeated = fault_bed_repeat (bed, 0, call);
  g_assert_cmpuint (fault_call_wait (bed, repeated), ==, 200);
  g_assert_cmpint (fault_bed_count_starts (bed), ==, 4);
  fault_call_free (repeated);
  fault_call_free (call);
  fault_bed_stop (bed);
}

/* Both submissions of one job at once, before either is answered.  */
static void
test_repeat_while_running (void)
{
  struct fault_bed *bed = fault_bed_start (1, 2);
  struct fault_call *call = fault_bed_begin (bed, 0, 6, 100);
  struct fault_call *repeated = fault_bed_repeat (bed, 0, call);

  g_assert_cmpuint (fault_call_wait (bed, repeated), ==, 200);
  g_assert_cmpuint (fault_call_wait (bed, call), ==, 200);
  g_assert_cmpint (fault_bed_count_starts (bed), ==, 6);
  fault_call_free (repeated);
  fault_call_free (call);
  fault_bed_stop (bed);
}

/* Answers that are late by different times and cross each other.  */
static void
test_crossed_answers (void)
{
  struct fault_bed *bed = fault_bed_start (2, 3);
  struct fault_call *calls[MANY_CALLERS];

  fault_bed_set_caller_faults (
      bed, "{\"up\":{\"delay_ms\":15},\"down\":{\"delay_ms\":30},"
           "\"connections_percent\":50}");
  fault_bed_set_upstream_faults (
      bed, "{\"down\":{\"delay_ms\":40},\"connections_percent\":50}");
  for (guint i = 0; i < MANY_CALLERS; i++)
    calls[i] = fault_bed_begin (bed, i % 2, 1 + i % 7, (7 * i) % 50);
  for (guint i = 0; i < MANY_CALLERS; i++)
    {
      g_assert_cmpuint (fault_call_wait (bed, calls[i]), ==, 200);
      fault_call_free (calls[i]);
    }
  fault_bed_stop (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/caller-faults/cut-in-request", test_cut_in_request);
  g_test_add_func ("/caller-faults/cut-after-request", test_cut_after_request);
  g_test_add_func ("/caller-faults/cut-in-answer", test_cut_in_answer);
  g_test_add_func ("/caller-faults/closed-in-answer", test_closed_in_answer);
  g_test_add_func ("/caller-faults/repeat-elsewhere", test_repeat_elsewhere);
  g_test_add_func ("/caller-faults/silent-connection", test_silent_connection);
  g_test_add_func ("/caller-faults/repeat-while-running",
                   test_repeat_while_running);
  g_test_add_func ("/caller-faults/crossed-answers", test_crossed_answers);
  return g_test_run ();
}
