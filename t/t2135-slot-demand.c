/* How many slots the jobs that arrive keep busy.  */
#include "base/clock.h"
#include "coordination/slot_demand.h"

#define START_US (1000 * USEC_PER_SEC)
#define SERVICE 7

static gdouble
get_slots (const struct slot_demand *demand, guint64 service, gint64 now_us)
{
  gint64 run_us;

  return slot_demand_get (demand, service, now_us, &run_us);
}

/* A job of 60 ms work each 10 ms keeps six slots busy, from the first one on:
   a home that has just started must not take the demand for small.  */
static void
test_steady (void)
{
  struct slot_demand demand = { 0 };
  gint64 now_us = START_US;
  gint64 run_us;

  g_assert_cmpfloat (get_slots (&demand, SERVICE, now_us), ==, 0);
  for (guint i = 1; i <= 400; i++)
    {
      slot_demand_count (&demand, SERVICE, 3, 20 * USEC_PER_MSEC, now_us);
      now_us += 10 * USEC_PER_MSEC;
      if (i >= 20)
        g_assert_cmpfloat_with_epsilon (get_slots (&demand, SERVICE, now_us),
                                        6, 0.1);
    }
  slot_demand_count (&demand, SERVICE, 3, 20 * USEC_PER_MSEC, now_us);
  slot_demand_get (&demand, SERVICE, now_us, &run_us);
  g_assert_cmpint (run_us, ==, 20 * USEC_PER_MSEC);
  g_assert_cmpfloat (slot_demand_get (&demand, SERVICE + 1, now_us, &run_us),
                     ==, 0);
  g_assert_cmpint (run_us, ==, 0);
}

/* What arrived before counts no more, also while nothing is counted.  */
static void
test_forgotten (void)
{
  struct slot_demand demand = { 0 };
  gint64 later_us = START_US + 2100 * USEC_PER_MSEC;

  slot_demand_count (&demand, SERVICE, 1, USEC_PER_SEC, START_US);
  g_assert_cmpfloat_with_epsilon (
      get_slots (&demand, SERVICE, START_US + USEC_PER_SEC), 1, 0.01);
  g_assert_cmpfloat (get_slots (&demand, SERVICE, later_us), ==, 0);
  slot_demand_count (&demand, SERVICE, 2, 950 * USEC_PER_MSEC, later_us);
  g_assert_cmpfloat_with_epsilon (get_slots (&demand, SERVICE, later_us), 1,
                                  0.01);
}

/* More services than are kept apart: the latest ones stay.  */
static void
test_many_services (void)
{
  struct slot_demand demand = { 0 };
  gint64 now_us = START_US;

  for (guint i = 1; i <= SLOT_DEMAND_MAX_SERVICES + 1; i++)
    slot_demand_count (&demand, i, 1, USEC_PER_SEC,
                       now_us += 200 * USEC_PER_MSEC);
  g_assert_cmpuint (demand.n, ==, SLOT_DEMAND_MAX_SERVICES);
  g_assert_cmpfloat (get_slots (&demand, SLOT_DEMAND_MAX_SERVICES + 1, now_us),
                     >, 0);
  g_assert_cmpfloat (get_slots (&demand, 1, now_us), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slot-demand/steady", test_steady);
  g_test_add_func ("/slot-demand/forgotten", test_forgotten);
  g_test_add_func ("/slot-demand/many-services", test_many_services);
  return g_test_run ();
}
