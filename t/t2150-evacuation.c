/*
 * Evacuated zones: news that arrives late, twice, out of order or from a peer
 * must never bring a zone back into use that the operator has evacuated.
 */
#include "coordination/evacuation.h"

#include "base/hash64.h"

#define N_ZONES 3
static const char *const zones[N_ZONES] = { "a", "b", "c" };

/* Before anything is known no start is allowed: a VM that has just started may
   be in an evacuated zone.  */
static void
test_unknown (void)
{
  struct evacuation state = { 0 };
  const struct evacuation known = { .position = 7 };

  g_assert_false (evacuation_allows_starts (&state, "a"));
  g_assert_true (evacuation_update (&state, &known));
  g_assert_true (evacuation_allows_starts (&state, "a"));
}

static void
test_two_zones (void)
{
  struct evacuation state = { .position = 1 };

  g_assert_true (evacuation_apply (&state, "a", TRUE, 4));
  g_assert_true (evacuation_apply (&state, "b", TRUE, 6));
  g_assert_false (evacuation_allows_starts (&state, "a"));
  g_assert_false (evacuation_allows_starts (&state, "b"));
  g_assert_true (evacuation_allows_starts (&state, "c"));
  g_assert_true (evacuation_apply (&state, "a", FALSE, 9));
  g_assert_true (evacuation_allows_starts (&state, "a"));
  g_assert_false (evacuation_allows_starts (&state, "b"));
}

/* A request that is asked for twice is in force once, and one removal ends
   it.  */
static void
test_repeated (void)
{
  struct evacuation state = { .position = 1 };

  evacuation_apply (&state, "a", TRUE, 4);
  evacuation_apply (&state, "a", TRUE, 5);
  g_assert_cmpuint (state.n_zones, ==, 1);
  evacuation_apply (&state, "a", FALSE, 6);
  g_assert_cmpuint (state.n_zones, ==, 0);
}

/* A record that is read after a peer has told of later ones is ignored.  */
static void
test_outdated_record (void)
{
  struct evacuation state = { .position = 3 };
  struct evacuation peer = { .position = 12 };

  evacuation_set (&peer, "a", TRUE);
  g_assert_true (evacuation_update (&state, &peer));
  g_assert_false (evacuation_apply (&state, "a", FALSE, 8));
  g_assert_true (evacuation_includes (&state, "a"));
}

static void
test_full (void)
{
  struct evacuation state = { .position = 1 };

  for (guint i = 0; i < 2 * EVACUATION_MAX_ZONES; i++)
    {
      g_autofree char *name = g_strdup_printf ("z%u", i);

      evacuation_apply (&state, name, TRUE, 10 + i);
    }
  g_assert_cmpuint (state.n_zones, ==, EVACUATION_MAX_ZONES);
  g_assert_true (evacuation_includes (&state, "z0"));
}

/* VMs that read the log at different times, restart and hear from each other
   in any order always know what the log says at their position.  */
static void
test_random (void)
{
  enum
  {
    N_VMS = 4,
    N_RECORDS = 60
  };
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);

  for (guint round = 0; round < 500; round++)
    {
      struct evacuation truth[N_RECORDS + 1] = { { .position = 0 } };
      struct evacuation vms[N_VMS] = { { 0 } };
      guint n_read[N_VMS] = { 0 };
      guint n_records = 0;

      for (guint step = 0; step < 300; step++)
        {
          guint i = (guint)g_rand_int_range (rand, 0, N_VMS);
          guint action = (guint)g_rand_int_range (rand, 0, 5);

          if (action == 0 && n_records < N_RECORDS)
            {
              const char *zone = zones[g_rand_int_range (rand, 0, N_ZONES)];
              gboolean is_evacuated = g_rand_boolean (rand);

              truth[n_records + 1] = truth[n_records];
              evacuation_apply (&truth[n_records + 1], zone, is_evacuated,
                                n_records);
              if (n_read[i] == n_records && g_rand_boolean (rand))
                {
                  evacuation_apply (&vms[i], zone, is_evacuated, n_records);
                  n_read[i]++;
                }
              n_records++;
            }
          else if (action == 1)
            {
              /* Restarts, and lists the topic up to a recent end.  */
              vms[i] = (struct evacuation){ 0 };
              n_read[i] = 0;
            }
          else if (action == 2)
            {
              evacuation_update (&vms[i], &truth[n_records]);
              n_read[i] = n_records;
            }
          else
            evacuation_update (&vms[i],
                               &vms[g_rand_int_range (rand, 0, N_VMS)]);
          for (guint k = 0; k < N_ZONES; k++)
            g_assert_cmpint (
                evacuation_includes (&vms[i], zones[k]), ==,
                evacuation_includes (&truth[vms[i].position], zones[k]));
        }
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/evacuation/unknown", test_unknown);
  g_test_add_func ("/evacuation/two-zones", test_two_zones);
  g_test_add_func ("/evacuation/repeated", test_repeated);
  g_test_add_func ("/evacuation/outdated-record", test_outdated_record);
  g_test_add_func ("/evacuation/full", test_full);
  g_test_add_func ("/evacuation/random", test_random);
  return g_test_run ();
}
