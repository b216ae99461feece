/* An id starts one job only, also when its answer is no longer kept.  */
#include "base/clock.h"
#include "state/job_id.h"
#include "state/used_ids.h"
#include "t/support/decision_bed.h"

static struct job *
make_job (struct bed *bed, guint64 sequence)
{
  struct job_id id
      = { .vm = "entry-1", .incarnation = 5, .sequence = sequence };
  struct job *job = bed_make_job (bed, 1);

  g_free (job->id);
  job->id = job_id_format (&id);
  return job;
}

static void
test_forgotten_job (void)
{
  struct bed *bed = bed_new_with (1, 1);

  g_assert_true (dispatcher_submit (bed->dispatcher, make_job (bed, 1),
                                    bed->now_us, NULL));
  bed_end_all (bed, 1);
  bed_expect_refusal (bed, make_job (bed, 1), ERROR_EXPIRED);
  bed_pass (bed, 600 * USEC_PER_SEC);
  g_assert_cmpuint (
      g_hash_table_size (dispatcher_get_jobs (bed->dispatcher)->jobs), ==, 0);
  bed_expect_refusal (bed, make_job (bed, 1), ERROR_EXPIRED);
  g_assert_true (dispatcher_submit (bed->dispatcher, make_job (bed, 2),
                                    bed->now_us, NULL));
  bed_free (bed);
}

/* A refused job leaves its id unused.  */
static void
test_refused_job (void)
{
  struct bed *bed = bed_new ();

  bed_expect_refusal (bed, make_job (bed, 1), ERROR_NOT_FOUND);
  bed_apply (bed, bed_make_document ("t", 1, 1, 1));
  g_assert_true (dispatcher_submit (bed->dispatcher, make_job (bed, 1),
                                    bed->now_us, NULL));
  bed_free (bed);
}

/* Old ids count as used; those that may still be sent first do not.  */
static void
test_blocks_are_dropped (void)
{
  struct used_ids *used = used_ids_new ();
  gint64 now_us = USEC_PER_SEC;

  used_ids_add (used, 10, now_us);
  now_us += 10 * USED_IDS_KEEP_US;
  used_ids_expire (used, now_us);
  g_assert_true (used_ids_contain (used, 10));
  g_assert_false (used_ids_contain (used, 11));
  used_ids_add (used, 100000, now_us);
  used_ids_expire (used, now_us + USED_IDS_KEEP_US - 1);
  g_assert_false (used_ids_contain (used, 11));
  used_ids_expire (used, now_us + USED_IDS_KEEP_US);
  g_assert_true (used_ids_contain (used, 11));
  g_assert_true (used_ids_contain (used, 100000));
  g_assert_false (used_ids_contain (used, 99999));
  used_ids_free (used);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/used-ids/forgotten-job", test_forgotten_job);
  g_test_add_func ("/used-ids/refused-job", test_refused_job);
  g_test_add_func ("/used-ids/blocks", test_blocks_are_dropped);
  return g_test_run ();
}
