/* What each end of an attempt proves, one row a test.  */
#include "t/support/decision_bed.h"

struct row
{
  const char *name;
  enum attempt_end end;
  enum verdict verdict;
  enum error_kind kind; /* of the job, unless the task is done or moves */
};

static const struct row rows[] = {
  { "not-sent", ATTEMPT_NOT_SENT, VERDICT_NOT_RUN, ERROR_KIND_COUNT },
  { "cut-while-sending", ATTEMPT_DISCONNECTED_IN_REQUEST, VERDICT_UNKNOWN,
    ERROR_UNKNOWN },
  { "cut-before-answer", ATTEMPT_DISCONNECTED_BEFORE_ANSWER, VERDICT_UNKNOWN,
    ERROR_UNKNOWN },
  { "cut-in-answer", ATTEMPT_DISCONNECTED_IN_ANSWER, VERDICT_UNKNOWN,
    ERROR_UNKNOWN },
  { "silent", ATTEMPT_TIMED_OUT, VERDICT_UNKNOWN, ERROR_UNKNOWN },
  { "done", ATTEMPT_ANSWER_DONE, VERDICT_DONE, ERROR_KIND_COUNT },
  { "failed", ATTEMPT_ANSWER_FAILED, VERDICT_FAILED, ERROR_FAILED },
  { "not-run", ATTEMPT_ANSWER_NOT_RUN, VERDICT_NOT_RUN, ERROR_KIND_COUNT },
  { "stopped", ATTEMPT_ANSWER_STOPPED, VERDICT_FAILED, ERROR_FAILED },
  { "too-large", ATTEMPT_ANSWER_TOO_LARGE, VERDICT_FAILED, ERROR_FAILED },
  { "malformed", ATTEMPT_ANSWER_MALFORMED, VERDICT_FAILED, ERROR_FAILED },
  { "no-outcome", ATTEMPT_ANSWER_NO_OUTCOME, VERDICT_UNKNOWN, ERROR_UNKNOWN },
  { "lease-lapsed", ATTEMPT_LEASE_EXPIRED, VERDICT_UNKNOWN, ERROR_UNKNOWN },
};

static void
test_row (gconstpointer data)
{
  const struct row *row = data;
  struct attempt_verdict verdict = outcome_classify (row->end);
  struct bed *bed = bed_new ();
  struct job *job;

  g_assert_cmpint (verdict.verdict, ==, row->verdict);
  g_assert_nonnull (verdict.reason);
  bed_apply (bed, bed_make_document ("t", 1, 2, 1));
  job = bed_submit (bed, 1);
  bed_end (bed, &job->tasks[0], row->end);
  switch (row->verdict)
    {
    case VERDICT_DONE:
      g_assert_cmpint (job->state, ==, JOB_COMPLETE);
      g_assert_cmpuint (bed->n_starts, ==, 1);
      break;
    case VERDICT_NOT_RUN:
      g_assert_cmpint (job->state, ==, JOB_ACTIVE);
      g_assert_cmpuint (bed->n_starts, ==, 2);
      break;
    case VERDICT_FAILED:
    case VERDICT_UNKNOWN:
      g_assert_cmpint (job->state, ==, JOB_FAILED);
      g_assert_error (job->failure, RADISHCHUTE_ERROR, (int)row->kind);
      g_assert_cmpuint (bed->n_starts, ==, 1);
      break;
    }
  bed_free (bed);
}

static void
test_every_end_has_a_row (void)
{
  gboolean seen[ATTEMPT_END_COUNT] = { FALSE };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    seen[rows[i].end] = TRUE;
  for (guint i = 0; i < ATTEMPT_END_COUNT; i++)
    g_assert_true (seen[i]);
}

/* Refusals are bounded, and the end says that nothing ran.  */
static void
test_refused_by_all (void)
{
  struct bed *bed = bed_new_with (4, 1);
  struct job *job;

  job = bed_submit (bed, 1);
  for (guint i = 0; i < 1000 && job->state == JOB_ACTIVE; i++)
    {
      while (bed->started->len > 0)
        bed_end (bed, g_ptr_array_index (bed->started, 0),
                 ATTEMPT_ANSWER_NOT_RUN);
      bed_pass (bed, 1000 * 1000);
    }
  g_assert_error (job->failure, RADISHCHUTE_ERROR, ERROR_NOT_RUN);
  g_assert_cmpint (job->retry_at_us, >, bed->now_us - 2000 * 1000);
  g_assert_cmpuint (bed->n_starts, <=, 64);
  bed_free (bed);
}

/* One task that may have run forbids to say "not-run".  */
static void
test_one_started_task_is_told (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job;

  job = bed_make_job (bed, 2);
  job->deadline_us = bed->now_us + 10 * 1000 * 1000;
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  bed_pass (bed, 1000 * 1000);
  dispatcher_note_lease_renewed (bed->dispatcher,
                                 bed_find_upstream (bed, "u0"), G_MAXINT64);
  bed_pass (bed, 10 * 1000 * 1000);
  g_assert_error (job->failure, RADISHCHUTE_ERROR, ERROR_UNKNOWN);
  bed_free (bed);
}

/* The other tasks of a failed job are dropped, or stopped.  */
static void
test_failure_ends_the_rest (void)
{
  struct bed *bed = bed_new_with (2, 1);
  struct job *job;

  job = bed_submit (bed, 4);
  bed_end (bed, bed_find_running (bed, "u0"), ATTEMPT_ANSWER_FAILED);
  g_assert_cmpint (job->state, ==, JOB_FAILED);
  g_assert_cmpuint (bed->n_starts, ==, 2);
  g_assert_cmpuint (bed->stopped->len, ==, 1);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *path = g_strconcat ("/outcome/", rows[i].name, NULL);

      g_test_add_data_func (path, &rows[i], test_row);
    }
  g_test_add_func ("/outcome/every-end", test_every_end_has_a_row);
  g_test_add_func ("/outcome/refused-by-all", test_refused_by_all);
  g_test_add_func ("/outcome/one-started", test_one_started_task_is_told);
  g_test_add_func ("/outcome/ends-the-rest", test_failure_ends_the_rest);
  return g_test_run ();
}
