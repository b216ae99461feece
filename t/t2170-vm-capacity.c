/*
 * The capacity of a VM by how late its main loop runs.  Guards against a slow
 * VM that keeps its capacity, one short delay that moves shards, and a VM that
 * swings between two capacities.
 */
#include "coordination/vm_capacity.h"

#include "base/clock.h"

#define TICK_US (100 * USEC_PER_MSEC)
#define SHARE 500

struct bed
{
  struct vm_capacity capacity;
  gint64 now_us;
  guint n_changes;
};

static void
bed_init (struct bed *bed)
{
  *bed = (struct bed){ .now_us = 1000 * USEC_PER_SEC };
  vm_capacity_init (&bed->capacity, 0.5);
}

/* Lets MS pass in which each tick of the loop is late by LATE_MS.  Returns the
   capacity.  */
static guint
pass (struct bed *bed, gint64 ms, gint64 late_ms)
{
  gint64 late_us = late_ms * USEC_PER_MSEC;

  for (gint64 end_us = bed->now_us + ms * USEC_PER_MSEC; bed->now_us < end_us;)
    {
      bed->now_us += TICK_US + late_us;
      bed->n_changes
          += vm_capacity_update (&bed->capacity, late_us, bed->now_us) ? 1 : 0;
    }
  return vm_capacity_get (&bed->capacity);
}

/* A VM with a fifth of its processor runs late; two seconds are left for the
   detection, the news and the request.  */
static void
test_slow (void)
{
  struct bed bed;

  bed_init (&bed);
  g_assert_cmpuint (pass (&bed, 5000, 2), ==, SHARE);
  g_assert_cmpuint (pass (&bed, 1200, 60), <=, SHARE / 2);
  g_assert_cmpuint (pass (&bed, 10000, 60), ==, SHARE >> 3);
  g_assert_cmpuint (pass (&bed, 2500, 2), ==, SHARE >> 3);
  g_assert_cmpuint (pass (&bed, 8000, 2), ==, SHARE);
}

/* A pause is no delay; lateness between the limits changes nothing.  */
static void
test_pause (void)
{
  struct bed bed;

  bed_init (&bed);
  for (guint i = 0; i < 5; i++)
    {
      pass (&bed, 100, 300);
      pass (&bed, 2000, 2);
    }
  pass (&bed, 5000, 25);
  g_assert_cmpuint (bed.n_changes, ==, 0);
  g_assert_cmpuint (pass (&bed, 500, 2000), ==, SHARE / 2);
  g_assert_cmpuint (pass (&bed, 3500, 0), ==, SHARE);
}

/* A VM that is late whenever it has its whole share back; and one whose share
   is not known.  */
static void
test_relapse (void)
{
  struct bed bed;

  bed_init (&bed);
  for (guint i = 0; i < 1800; i++)
    pass (&bed, 100, vm_capacity_get (&bed.capacity) == SHARE ? 60 : 2);
  g_assert_cmpuint (bed.n_changes, <, 20);
  vm_capacity_init (&bed.capacity, 0);
  g_assert_cmpuint (pass (&bed, 3000, 200), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/vm-capacity/a VM turns slow within the wave", test_slow);
  g_test_add_func ("/vm-capacity/pause", test_pause);
  g_test_add_func ("/vm-capacity/relapse", test_relapse);
  return g_test_run ();
}
