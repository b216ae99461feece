/* The shutdown date of a service.  */
#include "t/support/decision_bed.h"

#include "base/clock.h"

#include <string.h>

/* Unix time minus the bed's clock.  */
#define OFFSET_US (1700000000 * USEC_PER_SEC)

static gint64
unix_ms_in (const struct bed *bed, gint64 us)
{
  return (bed->now_us + OFFSET_US + us) / USEC_PER_MSEC;
}

static void
apply_shutdown (struct bed *bed, guint64 version, gint64 shutdown_unix_ms)
{
  struct document *document = bed_make_document ("t", version, 1, 1);

  bed_service (document)->shutdown_unix_ms = shutdown_unix_ms;
  bed_apply (bed, document);
}

/* A service that shuts down in LEFT_US; its tasks take a second.  */
static struct bed *
make_bed (gint64 left_us)
{
  struct bed *bed = bed_new ();

  dispatcher_set_unix_offset (bed->dispatcher, OFFSET_US, bed->now_us);
  apply_shutdown (bed, 1, DEADLINE_NEVER);
  for (guint i = 0; i < 30; i++)
    {
      bed_submit (bed, 1);
      bed_pass (bed, USEC_PER_SEC);
      bed_end_all (bed, 1);
    }
  apply_shutdown (bed, 2, unix_ms_in (bed, left_us));
  return bed;
}

static void
test_long_before (void)
{
  struct bed *bed = make_bed (86400 * USEC_PER_SEC);

  bed_submit (bed, 10);
  bed_free (bed);
}

/* Only what is expected to end in time comes in.  */
static void
test_shortly_before (void)
{
  struct bed *bed = make_bed (20 * USEC_PER_SEC);

  bed_expect_refusal (bed, bed_make_job (bed, 15), ERROR_DRAINING);
  bed_submit (bed, 5);
  bed_free (bed);
}

static void
test_after (void)
{
  struct bed *bed = make_bed (USEC_PER_SEC / 2);
  struct job *job = bed_make_job (bed, 1);
  g_autoptr (GError) error = NULL;

  bed_pass (bed, USEC_PER_SEC);
  g_assert_false (
      dispatcher_submit (bed->dispatcher, job, bed->now_us, &error));
  g_assert_error (error, RADISHCHUTE_ERROR, ERROR_DRAINING);
  g_assert_nonnull (strstr (error->message, "has shut down at 20"));
  g_assert_cmpint (job->retry_at_us, ==, 0);
  bed_free (bed);
}

/* What was accepted ends, also past the date.  */
static void
test_nothing_is_cut (void)
{
  struct bed *bed = make_bed (20 * USEC_PER_SEC);
  struct job *job = bed_submit (bed, 5);

  dispatcher_note_lease_renewed (
      bed->dispatcher, bed_find_upstream (bed, "u0"), DEADLINE_NEVER);
  bed_pass (bed, 30 * USEC_PER_SEC);
  g_assert_cmpint (job->state, ==, JOB_ACTIVE);
  bed_end_all (bed, 5);
  g_assert_cmpint (job->state, ==, JOB_COMPLETE);
  g_assert_cmpuint (dispatcher_count_unfinished (bed->dispatcher), ==, 0);
  bed_free (bed);
}

/* A date that moves earlier leaves what was accepted alone; one that moves
   later lets jobs in again.  */
static void
test_date_moves (void)
{
  struct bed *bed = make_bed (3600 * USEC_PER_SEC);
  struct job *job = bed_submit (bed, 3);

  apply_shutdown (bed, 3, unix_ms_in (bed, -USEC_PER_SEC));
  bed_expect_refusal (bed, bed_make_job (bed, 1), ERROR_DRAINING);
  /* An older document that comes late changes nothing.  */
  apply_shutdown (bed, 2, unix_ms_in (bed, 3600 * USEC_PER_SEC));
  bed_expect_refusal (bed, bed_make_job (bed, 1), ERROR_DRAINING);
  bed_end_all (bed, 3);
  g_assert_cmpint (job->state, ==, JOB_COMPLETE);
  apply_shutdown (bed, 4, unix_ms_in (bed, 3600 * USEC_PER_SEC));
  bed_submit (bed, 1);
  bed_free (bed);
}

/* The date follows the wall clock when that is stepped.  */
static void
test_clock_steps (void)
{
  struct bed *bed = make_bed (3600 * USEC_PER_SEC);

  dispatcher_set_unix_offset (bed->dispatcher, OFFSET_US + 7200 * USEC_PER_SEC,
                              bed->now_us);
  bed_expect_refusal (bed, bed_make_job (bed, 1), ERROR_DRAINING);
  dispatcher_set_unix_offset (bed->dispatcher, OFFSET_US, bed->now_us);
  bed_submit (bed, 1);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wind-down/long-before", test_long_before);
  g_test_add_func ("/wind-down/shortly-before", test_shortly_before);
  g_test_add_func ("/wind-down/after", test_after);
  g_test_add_func ("/wind-down/nothing-is-cut", test_nothing_is_cut);
  g_test_add_func ("/wind-down/date-moves", test_date_moves);
  g_test_add_func ("/wind-down/clock-steps", test_clock_steps);
  return g_test_run ();
}
