/* Estimates of the speed of upstreams from runs whose declared times are off
   by up to 0.4.  */
#include "base/clock.h"
#include "coordination/run_speed.h"

#define DECLARED_US (200 * USEC_PER_MSEC)

/* Jobs of which no other run has ended.  */
static const struct run_work unknown;

/* Adds N runs of jobs of their own to SPEED, a share of TAIL of which take
   seven times as long.  */
static void
add_runs (struct run_speed *speed, GRand *rand, guint n, gdouble slowness,
          gdouble tail)
{
  for (guint i = 0; i < n; i++)
    {
      gdouble work = g_rand_double_range (rand, 0.6, 1.4)
                     * (g_rand_double (rand) < tail ? 7 : 1);

      run_speed_add (speed, &unknown, (gint64)(slowness * work * DECLARED_US),
                     DECLARED_US);
    }
}

static void
assert_near (const struct run_speed *speed, gdouble slowness, gdouble off)
{
  g_assert_cmpfloat_with_epsilon (run_speed_get_slowness (speed) / slowness, 1,
                                  off);
}

/* A mean would be 1.18 times too high with 3% stragglers.  */
static void
test_stragglers (void)
{
  static const gdouble slownesses[] = { 0.625, 1, 1.67 };

  for (guint32 seed = 1; seed <= 60; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      gdouble slowness = slownesses[seed % G_N_ELEMENTS (slownesses)];
      struct run_speed speed = { 0 };

      add_runs (&speed, rand, 60, slowness, 0.03);
      assert_near (&speed, slowness, 0.2);
    }
}

/* One run, be it a straggler, makes no upstream slow.  */
static void
test_few_runs (void)
{
  struct run_speed speed = { 0 };

  g_assert_cmpfloat (run_speed_get_slowness (&speed), ==, 1);
  run_speed_add (&speed, &unknown, 7 * DECLARED_US, DECLARED_US);
  g_assert_cmpfloat (run_speed_get_slowness (&speed), <, 1.25);
}

/* An upstream that begins to run seven times slower shows within eight
   runs, and its recovery likewise.  */
static void
test_change (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  struct run_speed speed = { 0 };

  add_runs (&speed, rand, 100, 1, 0.03);
  add_runs (&speed, rand, 8, 7, 0);
  g_assert_cmpfloat (run_speed_get_slowness (&speed), >, 4);
  add_runs (&speed, rand, 16, 1, 0);
  assert_near (&speed, 1, 0.4);
}

/* The runs of one job tell more than its declared time: on jobs declared 0.4
   too short, an upstream is not taken for a slow one.  */
static void
test_batch (void)
{
  struct run_speed speeds[8] = { 0 };
  struct run_speed alone = { 0 };
  struct run_work work = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (speeds); i++)
    {
      struct run_speed former = speeds[i];

      run_speed_add (&speeds[i], &work, DECLARED_US * 14 / 10, DECLARED_US);
      run_work_add (&work, &former, DECLARED_US * 14 / 10, DECLARED_US);
    }
  run_speed_add (&alone, &unknown, DECLARED_US * 14 / 10, DECLARED_US);
  assert_near (&speeds[7], 1, 0.05);
  g_assert_cmpfloat (run_speed_get_slowness (&alone), >, 1.05);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/run-speed/stragglers", test_stragglers);
  g_test_add_func ("/run-speed/few-runs", test_few_runs);
  g_test_add_func ("/run-speed/change", test_change);
  g_test_add_func ("/run-speed/batch", test_batch);
  return g_test_run ();
}
