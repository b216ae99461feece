/* The rate of events over the last half second.  */
#include "base/clock.h"
#include "coordination/event_rate.h"

#define START_US (1000 * USEC_PER_SEC)

static void
test_steady (void)
{
  struct event_rate rate = { 0 };
  gint64 now_us = START_US;

  g_assert_cmpfloat (event_rate_get (&rate, now_us), ==, 0);
  for (guint i = 0; i < 200; i++)
    event_rate_count (&rate, now_us += 10 * USEC_PER_MSEC);
  g_assert_cmpfloat_with_epsilon (event_rate_get (&rate, now_us), 100, 0.01);
}

/* Old events are forgotten, also while nothing is counted.  */
static void
test_forgotten (void)
{
  struct event_rate rate = { 0 };

  for (guint i = 0; i < 50; i++)
    event_rate_count (&rate, START_US);
  g_assert_cmpfloat_with_epsilon (
      event_rate_get (&rate, START_US + 100 * USEC_PER_MSEC), 100, 0.01);
  g_assert_cmpfloat (event_rate_get (&rate, START_US + USEC_PER_SEC), ==, 0);
  event_rate_count (&rate, START_US + USEC_PER_SEC);
  g_assert_cmpfloat_with_epsilon (
      event_rate_get (&rate, START_US + 1100 * USEC_PER_MSEC), 2, 0.01);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/event-rate/steady", test_steady);
  g_test_add_func ("/event-rate/forgotten", test_forgotten);
  return g_test_run ();
}
