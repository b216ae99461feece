/* How many tasks of a size fit on a set of upstreams.  */
#include "coordination/free_slots.h"

/* Two upstreams with room for one and a half usual tasks, one with room for
   half of one.  */
static void
fill (struct free_slots *slots)
{
  free_slots_init (slots, 8);
  free_slots_add_upstream (slots, 12);
  free_slots_add_upstream (slots, 12);
  free_slots_add_upstream (slots, 4);
}

/* Free CPUs on several upstreams don't add up for one task.  */
static void
test_sizes (void)
{
  struct free_slots slots;

  fill (&slots);
  g_assert_cmpuint (free_slots_count (&slots, 4.8), ==, 4);
  g_assert_cmpuint (free_slots_count (&slots, 6.8), ==, 2);
  g_assert_cmpuint (free_slots_count (&slots, 8), ==, 2);
  g_assert_cmpuint (free_slots_count (&slots, 11.2), ==, 2);
  g_assert_cmpuint (free_slots_count (&slots, 14.4), ==, 0);
  g_assert_cmpuint (free_slots_count (&slots, 30), ==, 0);
  g_assert_cmpuint (free_slots_count (&slots, 0.1), ==, 4);
}

/* Between two counted sizes the number lies between theirs.  */
static void
test_between (void)
{
  struct free_slots slots;

  free_slots_init (&slots, 10);
  for (guint i = 0; i < 10; i++)
    free_slots_add_upstream (&slots, 16);
  g_assert_cmpuint (free_slots_count (&slots, 14), ==, 10);
  g_assert_cmpuint (free_slots_count (&slots, 18), ==, 0);
  g_assert_cmpuint (free_slots_count (&slots, 15.9), ==, 5);
}

static void
test_take (void)
{
  struct free_slots slots;

  fill (&slots);
  free_slots_take (&slots, 1);
  g_assert_cmpuint (free_slots_count (&slots, 8), ==, 1);
  free_slots_take (&slots, 5);
  g_assert_cmpuint (free_slots_count (&slots, 4.8), ==, 0);
}

/* Guards against announcing room for a task that is larger than the upstream,
   and against announcing none for small ones.  */
static void
test_single (void)
{
  struct free_slots slots;

  free_slots_init (&slots, 8);
  free_slots_add_single (&slots, 8.4);
  g_assert_cmpuint (free_slots_count (&slots, 0.1), ==, 1);
  g_assert_cmpuint (free_slots_count (&slots, 8), ==, 1);
  g_assert_cmpuint (free_slots_count (&slots, 8.4), ==, 1);
  g_assert_cmpuint (free_slots_count (&slots, 9.6), ==, 0);
  free_slots_init (&slots, 8);
  free_slots_add_single (&slots, 0.5);
  g_assert_cmpuint (free_slots_count (&slots, 0.1), ==, 1);
  g_assert_cmpuint (free_slots_count (&slots, 6), ==, 0);
}

/* Guards against announcing room where runs exceed a capacity that has shrunk,
   as an unsigned count of negative CPUs would.  */
static void
test_negative (void)
{
  struct free_slots slots;

  free_slots_init (&slots, 8);
  free_slots_add_upstream (&slots, -4);
  free_slots_add_upstream (&slots, 0);
  g_assert_cmpuint (free_slots_count (&slots, 0.1), ==, 0);
  g_assert_cmpuint (free_slots_count (&slots, 8), ==, 0);
}

/* Where a large task did not fit, a smaller one may.  */
static void
test_mark_full (void)
{
  struct free_slots slots;

  fill (&slots);
  free_slots_mark_full (&slots, 8);
  g_assert_cmpuint (free_slots_count (&slots, 8), ==, 0);
  g_assert_cmpuint (free_slots_count (&slots, 10), ==, 0);
  g_assert_cmpuint (free_slots_count (&slots, 6), ==, 4);
}

static void
test_limit (void)
{
  struct free_slots slots;

  free_slots_init (&slots, 1);
  free_slots_add_upstream (&slots, 100000);
  g_assert_cmpuint (free_slots_count (&slots, 1), ==, FREE_SLOTS_MAX);
  free_slots_add_single (&slots, 100000);
  g_assert_cmpuint (free_slots_count (&slots, 1), ==, FREE_SLOTS_MAX);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/free-slots/sizes", test_sizes);
  g_test_add_func ("/free-slots/between", test_between);
  g_test_add_func ("/free-slots/take", test_take);
  g_test_add_func ("/free-slots/single", test_single);
  g_test_add_func ("/free-slots/negative", test_negative);
  g_test_add_func ("/free-slots/mark-full", test_mark_full);
  g_test_add_func ("/free-slots/limit", test_limit);
  return g_test_run ();
}
