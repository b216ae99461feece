/*
 * How many beacons a VM sends in a large fleet: 300 VMs that send to all at
 * the full rate fill their links and keep the desired state from arriving.
 */
#include "coordination/beacon_rate.h"

#include <glib.h>

#define MS_PER_S 1000.0

static gdouble
sum_per_s (guint n_zone, guint n_remote, gboolean is_awaited)
{
  const struct beacon_rate rate = { .n_vms = n_zone + n_remote,
                                    .n_zone_vms = n_zone,
                                    .is_awaited = is_awaited };
  const struct beacon_receiver local = { .is_local = TRUE, .is_live = TRUE };
  const struct beacon_receiver remote = { .is_live = TRUE };

  return MS_PER_S
         * (n_zone
                / (gdouble)beacon_rate_get_ms (
                    &rate, beacon_rate_classify (&rate, &local))
            + n_remote
                  / (gdouble)beacon_rate_get_ms (
                      &rate, beacon_rate_classify (&rate, &remote)));
}

/* A small fleet sends to all at the full rate.  */
static void
test_small_fleet (void)
{
  const struct beacon_rate rate = { .n_vms = 36, .n_zone_vms = 12 };

  for (guint class = 0; class < N_BEACON_CLASSES; class ++)
    g_assert_cmpuint (beacon_rate_get_ms (&rate, class), ==, 150);
}

/* 1,990 a second before; at most 900 now, and 400 without upstreams.  */
static void
test_large_fleet (void)
{
  g_assert_cmpfloat (sum_per_s (99, 200, TRUE), <=, 900);
  g_assert_cmpfloat (sum_per_s (99, 200, FALSE), <=, 400);
}

/* The loss of a home or of an owner must be noticed within 600 ms wherever it
   is, and VMs that start must hear each other.  */
static void
test_full_rate (void)
{
  const struct beacon_rate rate = { .n_vms = 299, .n_zone_vms = 99 };
  const struct beacon_receiver working = { .is_live = TRUE, .has_work = TRUE };
  const struct beacon_receiver unheard = { .is_local = TRUE };

  g_assert_cmpint (beacon_rate_classify (&rate, &working), ==, BEACON_FULL);
  g_assert_cmpint (beacon_rate_classify (&rate, &unheard), ==, BEACON_FULL);
  g_assert_cmpuint (beacon_rate_get_ms (&rate, BEACON_FULL), <=, 150);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/beacon-rate/small-fleet", test_small_fleet);
  g_test_add_func ("/beacon-rate/large-fleet", test_large_fleet);
  g_test_add_func ("/beacon-rate/full-rate", test_full_rate);
  return g_test_run ();
}
