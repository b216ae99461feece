/* The tasks that a home offers to several owners are granted once each.  */
#include "coordination/task_offer.h"

/* A set of the N tasks from FIRST on.  */
static struct task_set
make_set (guint first, guint n)
{
  struct task_set set = { 0 };

  for (guint i = 0; i < n; i++)
    {
      guint index = first + i;

      task_set_add (&set, &index, 1);
    }
  return set;
}

/* Owners claim in any order and number: no task is granted twice, and none is
   left over.  */
static void
test_granted_once (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);

  for (guint round = 0; round < 1000; round++)
    {
      guint n_tasks = 1 + (guint)g_rand_int_range (rand, 0, TASK_OFFER_MAX);
      struct task_set offered = make_set (0, n_tasks);
      struct task_set wanted = offered;
      gboolean is_granted[TASK_OFFER_MAX] = { FALSE };
      guint granted[TASK_OFFER_MAX];
      guint n_granted = 0;

      while (wanted.n > 0)
        {
          guint n
              = task_set_grant (&wanted, &offered,
                                (guint)g_rand_int_range (rand, 0, 9), granted);

          for (guint i = 0; i < n; i++)
            {
              g_assert_false (is_granted[granted[i]]);
              is_granted[granted[i]] = TRUE;
            }
          n_granted += n;
        }
      g_assert_cmpuint (n_granted, ==, n_tasks);
      g_assert_cmpuint (task_set_grant (&wanted, &offered, 1, granted), ==, 0);
    }
}

/* An owner gets only what it was offered, also when more was added since.  */
static void
test_offered_only (void)
{
  struct task_set wanted = make_set (0, 6);
  struct task_set offered = make_set (4, 4);
  struct task_set others = make_set (8, 4);
  guint granted[TASK_OFFER_MAX];

  g_assert_true (task_set_intersects (&wanted, &offered));
  g_assert_false (task_set_intersects (&wanted, &others));
  g_assert_cmpuint (task_set_grant (&wanted, &others, 4, granted), ==, 0);
  g_assert_cmpuint (task_set_grant (&wanted, &offered, 4, granted), ==, 2);
  g_assert_cmpuint (granted[0] + granted[1], ==, 4 + 5);
  g_assert_cmpuint (wanted.n, ==, 4);
  g_assert_false (task_set_intersects (&wanted, &offered));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/task-offer/granted-once", test_granted_once);
  g_test_add_func ("/task-offer/offered-only", test_offered_only);
  return g_test_run ();
}
