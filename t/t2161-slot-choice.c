/* Which of a few upstreams a task gets.  */
#include "base/clock.h"
#include "coordination/slot_choice.h"

#define NOW_US (1000 * USEC_PER_SEC)

/* A task of RUN_MS that has to start within SLACK_MS on an ordinary
   upstream.  */
static struct slot_task
make_task (gint64 run_ms, gint64 slack_ms)
{
  return (struct slot_task){ .now_us = NOW_US,
                             .run_us = run_ms * USEC_PER_MSEC,
                             .start_by_us = NOW_US + slack_ms * USEC_PER_MSEC,
                             .end_by_us = NOW_US + 5 * USEC_PER_SEC,
                             .may_wait = TRUE };
}

/* An upstream of SLOWNESS with 16 CPUs, FREE of them free.  */
static struct slot_candidate
make_upstream (const char *name, gdouble slowness, gdouble free)
{
  return (struct slot_candidate){ .upstream = (gpointer)name,
                                  .slowness = slowness,
                                  .cpus = 16,
                                  .free_cpus = free,
                                  .succeeded_us = NOW_US - USEC_PER_SEC,
                                  .has_room = free >= 8 };
}

static void
assert_choice (const struct slot_task *task,
               const struct slot_candidate *upstreams, guint n,
               const char *expected, enum slot_wait wait)
{
  struct slot_choice choice;
  gpointer found;

  slot_choice_init (&choice, task);
  for (guint i = 0; i < n; i++)
    slot_choice_add (&choice, &upstreams[i]);
  g_assert_cmpint (slot_choice_get (&choice, &found), ==, wait);
  g_assert_cmpstr (found, ==, expected);
}

/* With much room the fastest one, and of equal ones the fullest.  */
static void
test_fastest (void)
{
  const struct slot_task task = make_task (100, 120);
  const struct slot_candidate upstreams[]
      = { make_upstream ("slow", 1.67, 16), make_upstream ("fast", 0.62, 16),
          make_upstream ("fuller", 0.65, 9), make_upstream ("usual", 1, 8) };

  assert_choice (&task, upstreams, 4, "fuller", SLOT_FOUND);
}

/* With little room a short task leaves the fast one to a long task.  */
static void
test_scarce (void)
{
  const struct slot_task short_task = make_task (50, 90);
  const struct slot_task long_task = make_task (760, 510);
  const struct slot_candidate upstreams[]
      = { make_upstream ("slow", 1.67, 8), make_upstream ("fast", 0.62, 8),
          make_upstream ("a", 1, 0),       make_upstream ("b", 1, 0),
          make_upstream ("c", 1, 0),       make_upstream ("d", 1, 0) };

  assert_choice (&short_task, upstreams, 6, "slow", SLOT_FOUND);
  assert_choice (&long_task, upstreams, 6, "fast", SLOT_FOUND);
}

/* A task that would be late on the slow one waits for a busy one, until it
   would be late there too, and not if none here is faster, or if it was
   granted.  */
static void
test_wait_faster (void)
{
  const struct slot_candidate upstreams[]
      = { make_upstream ("slow", 1.67, 16), make_upstream ("busy", 1, 0) };
  struct slot_task task = make_task (760, 510);

  assert_choice (&task, upstreams, 2, NULL, SLOT_WAIT_FASTER);
  assert_choice (&task, upstreams, 1, "slow", SLOT_FOUND);
  task.may_wait = FALSE;
  assert_choice (&task, upstreams, 2, "slow", SLOT_FOUND);
  task = make_task (760, -1);
  assert_choice (&task, upstreams, 2, "slow", SLOT_FOUND);
  assert_choice (&task, upstreams + 1, 1, NULL, SLOT_NONE_FREE);
}

/* A second attempt goes neither to an upstream that has failed since its last
   success, nor to one on probation, also if these are faster.  */
static void
test_failed (void)
{
  struct slot_candidate upstreams[]
      = { make_upstream ("failing", 0.6, 16),
          make_upstream ("resting", 0.6, 16), make_upstream ("same", 0.6, 16),
          make_upstream ("works", 1.1, 16) };
  struct slot_task task = make_task (100, 120);

  upstreams[0].succeeded_us = 0;
  upstreams[1].is_on_probation = TRUE;
  upstreams[2].has_failed_task = TRUE;
  assert_choice (&task, upstreams, 2, "failing", SLOT_FOUND);
  task.has_failed = TRUE;
  assert_choice (&task, upstreams, 4, "works", SLOT_FOUND);
  assert_choice (&task, upstreams, 3, NULL, SLOT_WAIT_PROVEN);
  upstreams[3].has_room = FALSE;
  task.now_us += 130 * USEC_PER_MSEC;
  assert_choice (&task, upstreams, 4, NULL, SLOT_WAIT_PROVEN);
  assert_choice (&task, upstreams, 3, "failing", SLOT_FOUND);
  assert_choice (&task, upstreams + 1, 1, NULL, SLOT_WAIT_PROVEN);
  task.now_us += 100 * USEC_PER_MSEC;
  assert_choice (&task, upstreams + 1, 1, "resting", SLOT_FOUND);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slot-choice/fastest", test_fastest);
  g_test_add_func ("/slot-choice/scarce", test_scarce);
  g_test_add_func ("/slot-choice/wait-faster", test_wait_faster);
  g_test_add_func ("/slot-choice/failed", test_failed);
  return g_test_run ();
}
