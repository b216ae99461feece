/* Parts of quotas over joins, leaves and lists that differ.  */
#include "coordination/quota_part.h"

#include <stdio.h>

#define N_VMS 12
#define QUOTA 1001
#define N_STEPS 4000
#define STEP_US USEC_PER_SEC

/* The longest time that a VM goes on with an old list, in steps.  */
#define MAX_LAG 30

static guint
part_of (const struct quota_part *part)
{
  struct quota quota = { 0 };

  quota_set_total (&quota, QUOTA, 0);
  return quota_get_slots (&quota, &part->vms, 0);
}

/* Without a list a VM takes itself for the only one; with settings, never.  */
static void
test_fixed (void)
{
  const char *const others[] = { "a", "c" };
  guint sum = 0;

  for (guint i = 0; i < 3; i++)
    {
      struct quota_part part;

      quota_part_init (&part, "b", 3, i);
      g_assert_false (quota_part_update (&part, others, 2, 0));
      g_assert_false (quota_part_update (&part, others, 0, 0));
      sum += part_of (&part);
      quota_part_clear (&part);
    }
  g_assert_cmpuint (sum, ==, QUOTA);
}

/* A VM that does not know its number leaves the remainder unused.  */
static void
test_fixed_without_number (void)
{
  struct quota_part part;

  quota_part_init (&part, "b", 10, 10);
  g_assert_cmpuint (part_of (&part), ==, QUOTA / 10);
  quota_part_clear (&part);
}

static void
test_join_and_leave (void)
{
  const char *const others[] = { "a", "c" };
  struct quota_part part;
  gint64 now_us = 0;

  quota_part_init (&part, "b", 0, 0);
  g_assert_cmpuint (part_of (&part), ==, QUOTA);
  g_assert_true (quota_part_update (&part, others, 2, now_us));
  g_assert_cmpuint (part.vms.n_vms, ==, 3);
  g_assert_cmpuint (part.vms.own_index, ==, 1);
  quota_part_update (&part, others, 1, now_us);
  g_assert_cmpuint (part_of (&part), ==, QUOTA / 3);
  now_us += QUOTA_PART_GROW_DELAY_US - 1;
  quota_part_update (&part, others, 1, now_us);
  g_assert_cmpuint (part.vms.n_vms, ==, 3);
  quota_part_update (&part, others, 1, now_us + 1);
  g_assert_cmpuint (part.vms.n_vms, ==, 2);
  g_assert_cmpuint (part.vms.own_index, ==, 1);
  quota_part_clear (&part);
}

struct member
{
  struct quota_part part;
  char name[8];
  gboolean lives;
  guint next_read; /* step of its next reading of the list */
};

static guint
list_others (const struct member *members, guint self, const char **others)
{
  guint n = 0;

  for (guint i = 0; i < N_VMS; i++)
    if (i != self && members[i].lives)
      others[n++] = members[i].name;
  return n;
}

static void
read_list (struct member *members, guint self, guint step, GRand *rand)
{
  const char *others[N_VMS];
  guint n = list_others (members, self, others);

  members[self].next_read = step + (guint)g_rand_int_range (rand, 1, MAX_LAG);
  quota_part_update (&members[self].part, others, n, step * STEP_US);
}

static guint
sum_parts (const struct member *members)
{
  guint sum = 0;

  for (guint i = 0; i < N_VMS; i++)
    if (members[i].lives)
      sum += part_of (&members[i].part);
  return sum;
}

/*
 * VMs leave at random and read the list at random times: while none joins,
 * the parts never add up to more than the quota, and in the end to all of it.
 */
static void
test_random_leaves (void)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct member members[N_VMS] = { 0 };
      guint n_left = N_VMS;

      for (guint i = 0; i < N_VMS; i++)
        {
          g_snprintf (members[i].name, sizeof members[i].name, "vm-%02u", i);
          quota_part_init (&members[i].part, members[i].name, 0, 0);
          members[i].lives = TRUE;
        }
      for (guint i = 0; i < N_VMS; i++)
        read_list (members, i, 0, rand);
      g_assert_cmpuint (sum_parts (members), ==, QUOTA);
      for (guint step = 1; step < N_STEPS; step++)
        {
          guint leaver = (guint)g_rand_int_range (rand, 0, N_VMS);

          if (n_left > 3 && step < N_STEPS / 2 && members[leaver].lives
              && g_rand_int_range (rand, 0, 40) == 0)
            {
              members[leaver].lives = FALSE;
              n_left--;
            }
          for (guint i = 0; i < N_VMS; i++)
            if (members[i].lives && members[i].next_read <= step)
              read_list (members, i, step, rand);
          g_assert_cmpuint (sum_parts (members), <=, QUOTA);
        }
      g_assert_cmpuint (sum_parts (members), ==, QUOTA);
      for (guint i = 0; i < N_VMS; i++)
        quota_part_clear (&members[i].part);
      g_rand_free (rand);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quota-part/fixed", test_fixed);
  g_test_add_func ("/quota-part/fixed-without-number",
                   test_fixed_without_number);
  g_test_add_func ("/quota-part/join-and-leave", test_join_and_leave);
  g_test_add_func ("/quota-part/random-leaves", test_random_leaves);
  return g_test_run ();
}
