/* Which jobs are refused before any of their tasks starts.  */
#include "t/support/decision_bed.h"

#include "base/clock.h"

#include <string.h>

/* Runs tasks that take RUN_US, so that the estimates are learned.  */
static void
learn (struct bed *bed, gint64 run_us)
{
  for (guint i = 0; i < 30; i++)
    {
      bed_submit (bed, 1);
      bed_pass (bed, run_us);
      bed_end_all (bed, 1);
    }
}

static void
test_unknown_service (void)
{
  struct bed *bed = bed_new ();

  bed_expect_refusal (bed, bed_make_job (bed, 1), ERROR_NOT_FOUND);
  bed_free (bed);
}

static void
test_draining (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job = bed_submit (bed, 2);

  dispatcher_drain (bed->dispatcher, bed->now_us);
  bed_expect_refusal (bed, bed_make_job (bed, 1), ERROR_DRAINING);
  bed_end_all (bed, 2);
  g_assert_cmpint (job->state, ==, JOB_COMPLETE);
  g_assert_cmpuint (dispatcher_count_unfinished (bed->dispatcher), ==, 0);
  bed_free (bed);
}

static void
test_passed_deadline (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job = bed_make_job (bed, 1);

  job->deadline_us = bed->now_us;
  bed_expect_refusal (bed, job, ERROR_NOT_RUN);
  bed_free (bed);
}

static void
test_queue_bound (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 1, 1);
  struct job *job;

  bed_service (document)->max_queued_tasks = 10;
  bed_apply (bed, document);
  bed_submit (bed, 10);
  job = bed_make_job (bed, 2);
  bed_expect_refusal (bed, job, ERROR_NOT_RUN);
  g_assert_cmpint (job->retry_at_us, >, bed->now_us);
  bed_submit (bed, 1);
  bed_free (bed);
}

static struct job *
make_heavy_job (struct bed *bed, const char *team, gsize bytes)
{
  g_autofree char *id = g_strdup_printf ("h%u", bed->jobs->len);
  struct job *job = job_new (id, team, "s", 1);

  g_ptr_array_add (bed->jobs, job);
  job->tasks[0].input = g_bytes_new_take (g_malloc0 (bytes), bytes);
  return job;
}

/* A team that fills the memory leaves room for the others.  */
static void
test_memory_is_shared (void)
{
  struct bed *bed = bed_new_with (1, 1);
  gsize bytes = BED_MAX_BYTES / 32;
  guint n = 0;

  bed_apply (bed, bed_make_document ("o", 1, 1, 1));
  while (dispatcher_submit (bed->dispatcher, make_heavy_job (bed, "t", bytes),
                            bed->now_us, NULL))
    n++;
  g_assert_cmpuint (n, >=, 14);
  g_assert_cmpuint (n, <=, 16);
  for (guint i = 0; i < 6; i++)
    g_assert_true (dispatcher_submit (
        bed->dispatcher, make_heavy_job (bed, "o", bytes), bed->now_us, NULL));
  bed_free (bed);
}

/* A deadline that cannot be met is told at once, with the time to retry.  */
static void
test_deadline_behind_a_queue (void)
{
  struct bed *bed = bed_new_with (1, 4);
  struct job *job;

  learn (bed, USEC_PER_SEC);
  for (guint i = 0; i < 80; i++)
    bed_submit (bed, 1);
  bed_pass (bed, USEC_PER_SEC);
  job = bed_make_job (bed, 1);
  job->deadline_us = bed->now_us + 5 * USEC_PER_SEC;
  bed_expect_refusal (bed, job, ERROR_NOT_RUN);
  g_assert_cmpint (job->retry_at_us, >, bed->now_us + 5 * USEC_PER_SEC);
  job = bed_make_job (bed, 1);
  job->deadline_us = bed->now_us + 120 * USEC_PER_SEC;
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  bed_free (bed);
}

/* Only work that goes before it counts.  */
static void
test_deadline_before_a_queue (void)
{
  struct bed *bed = bed_new_with (1, 4);
  struct job *job;

  learn (bed, USEC_PER_SEC);
  bed_submit (bed, 80);
  job = bed_make_job (bed, 1);
  job->deadline_us = bed->now_us + 5 * USEC_PER_SEC;
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  bed_pass (bed, USEC_PER_SEC);
  bed_end_all (bed, 1);
  g_assert_cmpuint (job->n_running, ==, 1);
  bed_free (bed);
}

/* A job that would make one late that was accepted is refused, although it
   would itself be in time.  */
static void
test_accepted_deadlines_are_kept (void)
{
  struct bed *bed = bed_new_with (1, 4);
  guint n_accepted = 0;

  learn (bed, USEC_PER_SEC);
  for (guint i = 0; i < 100; i++)
    {
      struct job *job = bed_make_job (bed, 1 + i % 20);

      job->deadline_us = bed->now_us + 10 * USEC_PER_SEC;
      if (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL))
        n_accepted++;
    }
  g_assert_cmpuint (n_accepted, >, 2);
  while (dispatcher_count_unfinished (bed->dispatcher) > 0)
    {
      bed_pass (bed, USEC_PER_SEC);
      bed_end_all (bed, 4);
    }
  for (guint i = 0; i < bed->finished->len; i++)
    {
      struct job *job = g_ptr_array_index (bed->finished, i);

      g_assert_cmpint (job->state, ==, JOB_COMPLETE);
    }
  bed_free (bed);
}

/* Declared run times that are wrong are not believed.  */
static void
test_declared_times_are_learned (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job;

  for (guint i = 0; i < 20; i++)
    {
      job = bed_make_job (bed, 1);
      job->tasks[0].declared_run_time_us = 60 * USEC_PER_SEC;
      g_assert_true (
          dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
      bed_pass (bed, 100 * USEC_PER_MSEC);
      bed_end_all (bed, 1);
    }
  job = bed_make_job (bed, 1);
  job->tasks[0].declared_run_time_us = 60 * USEC_PER_SEC;
  job->deadline_us = bed->now_us + USEC_PER_SEC;
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  bed_free (bed);
}

/* A job that has not started in time is answered before its deadline.  */
static void
test_given_up_early (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job;

  learn (bed, USEC_PER_SEC);
  bed_submit (bed, 1);
  job = bed_make_job (bed, 1);
  job->deadline_us = bed->now_us + 4 * USEC_PER_SEC;
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  dispatcher_note_lease_renewed (bed->dispatcher,
                                 bed_find_upstream (bed, "u0"), G_MAXINT64);
  bed_pass (bed, 3500 * USEC_PER_MSEC);
  g_assert_error (job->failure, RADISHCHUTE_ERROR, ERROR_NOT_RUN);
  g_assert_cmpint (job->retry_at_us, >, 0);
  bed_free (bed);
}

/* An input may be as long as the service's limit, and no longer.  */
static void
test_input_limit (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 1, 1);
  struct job *fits = bed_make_job (bed, 2);
  struct job *over = bed_make_job (bed, 2);

  document_find_service (document, "s")->max_input_bytes = 4;
  bed_apply (bed, document);
  fits->tasks[1].input = g_bytes_new_static ("1234", 4);
  over->tasks[1].input = g_bytes_new_static ("12345", 5);
  bed_expect_refusal (bed, over, ERROR_TOO_LARGE);
  g_assert_true (dispatcher_submit (bed->dispatcher, fits, bed->now_us, NULL));
  bed_free (bed);
}

/* The nearest shape is named.  */
static void
test_never_runs (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 2, 1);
  struct job *job;
  g_autoptr (GError) error = NULL;

  bed_upstream_spec (document, 0)->shape
      = (struct shape){ .cpus = 16, .memory_mb = 32000 };
  bed_upstream_spec (document, 1)->shape
      = (struct shape){ .cpus = 4, .memory_mb = 64000 };
  bed_apply (bed, document);
  job = bed_make_job (bed, 3);
  job->tasks[2].need = (struct shape){ .cpus = 8, .memory_mb = 40000 };
  g_assert_false (
      dispatcher_submit (bed->dispatcher, job, bed->now_us, &error));
  g_assert_error (error, RADISHCHUTE_ERROR, ERROR_NEVER_RUNS);
  g_assert_nonnull (strstr (error->message, "task 2"));
  g_assert_nonnull (strstr (error->message, "16 processors, 32000 MB"));
  g_assert_cmpint (job->retry_at_us, ==, 0);
  g_assert_cmpuint (bed->n_starts, ==, 0);
  bed_free (bed);
}

/* Waiting jobs that a new document makes impossible are answered at once.  */
static void
test_shape_goes_away (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 1, 1);
  struct job *job;

  bed_upstream_spec (document, 0)->shape.cpus = 16;
  bed_apply (bed, document);
  bed_submit (bed, 1);
  job = bed_make_job (bed, 1);
  job->tasks[0].need.cpus = 8;
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  bed_apply (bed, bed_make_document ("t", 2, 1, 1));
  g_assert_error (job->failure, RADISHCHUTE_ERROR, ERROR_NOT_RUN);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admission/unknown-service", test_unknown_service);
  g_test_add_func ("/admission/draining", test_draining);
  g_test_add_func ("/admission/passed-deadline", test_passed_deadline);
  g_test_add_func ("/admission/queue-bound", test_queue_bound);
  g_test_add_func ("/admission/memory", test_memory_is_shared);
  g_test_add_func ("/admission/deadline", test_deadline_behind_a_queue);
  g_test_add_func ("/admission/before-a-queue", test_deadline_before_a_queue);
  g_test_add_func ("/admission/keeps-deadlines",
                   test_accepted_deadlines_are_kept);
  g_test_add_func ("/admission/declared", test_declared_times_are_learned);
  g_test_add_func ("/admission/given-up-early", test_given_up_early);
  g_test_add_func ("/admission/input-limit", test_input_limit);
  g_test_add_func ("/admission/never-runs", test_never_runs);
  g_test_add_func ("/admission/shape-goes-away", test_shape_goes_away);
  return g_test_run ();
}
