/* Cancellation, singly and in waves; leases; pauses.  */
#include "t/support/decision_bed.h"

#include "base/clock.h"

static void
test_before_any_start (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job;

  bed_submit (bed, 1);
  job = bed_submit (bed, 5);
  g_assert_true (dispatcher_cancel (bed->dispatcher, job, bed->now_us));
  g_assert_error (job->failure, RADISHCHUTE_ERROR, ERROR_NOT_RUN);
  g_assert_false (dispatcher_cancel (bed->dispatcher, job, bed->now_us));
  bed_end_all (bed, 1);
  g_assert_cmpuint (bed->n_starts, ==, 1);
  g_assert_cmpuint (dispatcher_count_unfinished (bed->dispatcher), ==, 0);
  bed_free (bed);
}

static void
test_while_running (void)
{
  struct bed *bed = bed_new_with (1, 2);
  struct job *job = bed_submit (bed, 5);
  struct task *task = g_ptr_array_index (bed->started, 0);

  g_assert_true (dispatcher_cancel (bed->dispatcher, job, bed->now_us));
  g_assert_error (job->failure, RADISHCHUTE_ERROR, ERROR_CANCELLED);
  g_assert_cmpuint (bed->stopped->len, ==, 2);
  g_assert_false (dispatcher_may_send (bed->dispatcher, task, bed->now_us));
  /* A refusal that comes now starts nothing.  */
  bed_end (bed, task, ATTEMPT_ANSWER_NOT_RUN);
  bed_end_all (bed, 1);
  g_assert_cmpuint (bed->n_starts, ==, 2);
  g_assert_cmpuint (dispatcher_count_unfinished (bed->dispatcher), ==, 0);
  bed_free (bed);
}

/* A task that is about to end is not worth a message.  */
static void
test_no_stop_near_the_end (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job;

  for (guint i = 0; i < 20; i++)
    {
      bed_submit (bed, 1);
      bed_pass (bed, 100 * USEC_PER_MSEC);
      bed_end_all (bed, 1);
    }
  job = bed_submit (bed, 1);
  bed_pass (bed, 90 * USEC_PER_MSEC);
  dispatcher_cancel (bed->dispatcher, job, bed->now_us);
  g_assert_cmpuint (bed->stopped->len, ==, 0);
  /* It did not end: it is stopped with its lease.  */
  dispatcher_note_lease_renewed (
      bed->dispatcher, bed_find_upstream (bed, "u0"), DEADLINE_NEVER);
  bed_pass (bed, BED_LEASE_MS * USEC_PER_MSEC + USEC_PER_SEC);
  g_assert_cmpuint (bed->stopped->len, ==, 1);
  bed_free (bed);
}

/* Of a wave, nothing starts, and the others start at once.  */
static void
test_wave (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *kept;
  guint n = 10000;

  bed_submit (bed, 1);
  for (guint i = 0; i < n; i++)
    bed_submit (bed, 1);
  kept = bed_submit (bed, 1);
  for (guint i = 1; i <= n; i++)
    g_assert_true (dispatcher_cancel (
        bed->dispatcher, g_ptr_array_index (bed->jobs, i), bed->now_us));
  bed_end_all (bed, 1);
  g_assert_cmpuint (kept->n_running, ==, 1);
  g_assert_cmpuint (bed->n_starts, ==, 2);
  bed_free (bed);
}

static void
test_lease_lapses (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job = bed_submit (bed, 1);
  struct task *task = g_ptr_array_index (bed->started, 0);

  bed_pass (bed, BED_LEASE_MS * USEC_PER_MSEC + USEC_PER_SEC);
  g_assert_error (job->failure, RADISHCHUTE_ERROR, ERROR_UNKNOWN);
  g_assert_false (dispatcher_may_send (bed->dispatcher, task, bed->now_us));
  bed_free (bed);
}

static void
test_lease_is_renewed (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job = bed_submit (bed, 1);
  struct upstream *upstream = bed_find_upstream (bed, "u0");

  for (guint i = 0; i < 100; i++)
    {
      bed_pass (bed, 100 * USEC_PER_MSEC);
      if (bed->renewed->len == 0)
        continue;
      g_ptr_array_set_size (bed->renewed, 0);
      dispatcher_note_lease_renewed (bed->dispatcher, upstream,
                                     bed->now_us
                                         + BED_LEASE_MS * USEC_PER_MSEC);
    }
  g_assert_cmpint (job->state, ==, JOB_ACTIVE);
  bed_free (bed);
}

/* Renewals of the others do not keep up what the upstream no longer runs.  */
static void
test_lease_is_refused (void)
{
  struct bed *bed = bed_new_with (1, 2);
  struct job *lost = bed_submit (bed, 1);
  struct job *kept = bed_submit (bed, 1);
  struct upstream *upstream = bed_find_upstream (bed, "u0");

  dispatcher_note_lease_refused (bed->dispatcher, &lost->tasks[0]);
  dispatcher_note_lease_renewed (bed->dispatcher, upstream, DEADLINE_NEVER);
  bed_pass (bed, BED_LEASE_MS * USEC_PER_MSEC + USEC_PER_SEC);
  g_assert_cmpint (lost->state, ==, JOB_FAILED);
  g_assert_cmpint (kept->state, ==, JOB_ACTIVE);
  bed_free (bed);
}

/* After a pause that is longer than the lease, what the sockets hold comes
   first.  */
static void
test_pause (void)
{
  struct bed *bed = bed_new_with (1, 2);
  struct job *answered = bed_submit (bed, 1);
  struct job *renewed = bed_submit (bed, 1);
  struct upstream *upstream = bed_find_upstream (bed, "u0");

  bed_pass (bed, USEC_PER_SEC);
  bed_pause (bed, 2 * BED_LEASE_MS * USEC_PER_MSEC);
  g_assert_cmpint (answered->state, ==, JOB_ACTIVE);
  g_assert_false (
      dispatcher_may_send (bed->dispatcher, &renewed->tasks[0], bed->now_us));
  bed_end (bed, &answered->tasks[0], ATTEMPT_ANSWER_DONE);
  g_assert_cmpint (answered->state, ==, JOB_COMPLETE);
  bed_pass (bed, 50 * USEC_PER_MSEC);
  g_assert_cmpint (renewed->state, ==, JOB_ACTIVE);
  g_assert_cmpuint (bed->renewed->len, >, 0);
  dispatcher_note_lease_renewed (bed->dispatcher, upstream,
                                 bed->now_us + BED_LEASE_MS * USEC_PER_MSEC);
  bed_pass (bed, USEC_PER_SEC);
  g_assert_cmpint (renewed->state, ==, JOB_ACTIVE);
  bed_free (bed);
}

/* A deadline that passed during a pause is judged after the answers.  */
static void
test_deadline_in_a_pause (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job = bed_make_job (bed, 1);

  job->deadline_us = bed->now_us + USEC_PER_SEC;
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  bed_pause (bed, 2 * USEC_PER_SEC);
  g_assert_cmpint (job->state, ==, JOB_ACTIVE);
  bed_end_all (bed, 1);
  g_assert_cmpint (job->state, ==, JOB_COMPLETE);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cancel/before-any-start", test_before_any_start);
  g_test_add_func ("/cancel/while-running", test_while_running);
  g_test_add_func ("/cancel/near-the-end", test_no_stop_near_the_end);
  g_test_add_func ("/cancel/wave", test_wave);
  g_test_add_func ("/lease/lapses", test_lease_lapses);
  g_test_add_func ("/lease/renewed", test_lease_is_renewed);
  g_test_add_func ("/lease/refused", test_lease_is_refused);
  g_test_add_func ("/pause/lease", test_pause);
  g_test_add_func ("/pause/deadline", test_deadline_in_a_pause);
  return g_test_run ();
}
