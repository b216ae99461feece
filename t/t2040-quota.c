/* Quotas hold over all entry VMs, whatever each of them knows.  */
#include "coordination/quota.h"
#include "t/support/decision_bed.h"

#include "base/clock.h"

static struct bed *
make_bed (guint slots, guint starts)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 4, 8);

  document->quota_slots = slots;
  document->quota_starts_per_second = starts;
  bed_apply (bed, document);
  return bed;
}

/* The even parts add up to the quota.  */
static void
test_even_parts (void)
{
  for (guint total = 1; total < 40; total++)
    for (guint n_vms = 1; n_vms < 10; n_vms++)
      {
        guint sum = 0;

        for (guint i = 0; i < n_vms; i++)
          {
            struct quota_vms vms = { n_vms, i };
            struct quota quota = { .total_slots = total };

            sum += quota_get_slots (&quota, &vms, 0);
          }
        g_assert_cmpuint (sum, ==, total);
      }
}

/* Whatever grants have been made and lapsed, the sum stays below the quota, as
   long as the sum of the grants in force did.  */
static void
test_sum_under_partition (void)
{
  enum
  {
    N_VMS = 5,
    TOTAL = 23,
    N_ROUNDS = 20000
  };
  GRand *random = g_rand_new_with_seed (5);
  struct quota quotas[N_VMS] = { 0 };
  gint64 now_us = USEC_PER_SEC;

  for (guint i = 0; i < N_VMS; i++)
    {
      quotas[i].total_slots = TOTAL;
      /* A first grant of the even part, which the exchange starts from.  */
      quota_grant (&quotas[i], TOTAL / N_VMS, 0, now_us);
    }
  for (guint round = 0; round < N_ROUNDS; round++)
    {
      guint from = (guint)g_rand_int_range (random, 0, N_VMS);
      guint to = (guint)g_rand_int_range (random, 0, N_VMS);
      guint sum = 0;

      now_us += g_rand_int_range (random, 0, USEC_PER_SEC);
      /* One VM lends a slot to another, both until the same time; sometimes
         a partition keeps all from renewing.  */
      if (from != to && quotas[from].granted_slots > 0
          && g_rand_int_range (random, 0, 3) != 0)
        {
          gint64 until_us = now_us + USEC_PER_SEC;
          struct quota_vms from_vms = { N_VMS, from };
          struct quota_vms to_vms = { N_VMS, to };
          guint lent = quota_get_slots (&quotas[from], &from_vms, now_us);
          guint own = quota_get_slots (&quotas[to], &to_vms, now_us);

          if (lent > 0)
            {
              quota_grant (&quotas[from], lent - 1, 0, until_us);
              quota_grant (&quotas[to], own + 1, 0, until_us);
            }
        }
      for (guint i = 0; i < N_VMS; i++)
        {
          struct quota_vms vms = { N_VMS, i };

          sum += quota_get_slots (&quotas[i], &vms, now_us);
        }
      g_assert_cmpuint (sum, <=, TOTAL);
    }
  g_rand_free (random);
}

static void
test_slots (void)
{
  struct bed *bed = make_bed (5, 0);
  struct job *job = bed_submit (bed, 20);

  g_assert_cmpuint (bed->started->len, ==, 5);
  bed_end_all (bed, 1);
  g_assert_cmpuint (bed->started->len, ==, 5);
  bed_end_all (bed, 19);
  g_assert_cmpint (job->state, ==, JOB_COMPLETE);
  bed_free (bed);
}

static void
test_part_of_one_vm (void)
{
  struct bed *bed = make_bed (9, 0);

  dispatcher_set_vm_count (bed->dispatcher, 4, 0, bed->now_us);
  bed_submit (bed, 20);
  g_assert_cmpuint (bed->started->len, ==, 3);
  dispatcher_set_quota_share (bed->dispatcher, "t", 6, 0,
                              bed->now_us + USEC_PER_SEC, bed->now_us);
  g_assert_cmpuint (bed->started->len, ==, 6);
  bed_pass (bed, 2 * USEC_PER_SEC);
  bed_end_all (bed, 4);
  g_assert_cmpuint (bed->started->len, ==, 3);
  bed_free (bed);
}

/* In no second are there more starts than the quota.  */
static void
test_starts_a_second (void)
{
  struct bed *bed = make_bed (0, 10);
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gint64));
  struct job *job = bed_submit (bed, 60);
  guint seen = 0;

  while (job->state == JOB_ACTIVE)
    {
      for (; seen < bed->n_starts; seen++)
        g_array_append_val (times, bed->now_us);
      bed_end_all (bed, bed->started->len);
      bed_pass (bed, 7 * USEC_PER_MSEC);
    }
  for (guint i = 10; i < times->len; i++)
    g_assert_cmpint (g_array_index (times, gint64, i)
                         - g_array_index (times, gint64, i - 10),
                     >=, USEC_PER_SEC);
  /* And nearly as many as it allows.  */
  g_assert_cmpint (g_array_index (times, gint64, 59)
                       - g_array_index (times, gint64, 0),
                   <=, 6 * USEC_PER_SEC);
  g_array_unref (times);
  bed_free (bed);
}

static void
test_no_share (void)
{
  struct bed *bed = make_bed (1, 0);
  struct job *job;

  dispatcher_set_vm_count (bed->dispatcher, 4, 3, bed->now_us);
  job = bed_make_job (bed, 1);
  bed_expect_refusal (bed, job, ERROR_OVER_QUOTA);
  g_assert_cmpint (job->retry_at_us, >, bed->now_us);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quota/even-parts", test_even_parts);
  g_test_add_func ("/quota/partition", test_sum_under_partition);
  g_test_add_func ("/quota/slots", test_slots);
  g_test_add_func ("/quota/part", test_part_of_one_vm);
  g_test_add_func ("/quota/starts", test_starts_a_second);
  g_test_add_func ("/quota/no-share", test_no_share);
  return g_test_run ();
}
