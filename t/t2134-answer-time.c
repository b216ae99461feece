/* When an answer is overdue: early where answers are quick, so that a lost
   order is noticed soon, and late where they are slow, so that an order on its
   way does not count as lost.  */
#include "coordination/answer_time.h"

#define MS USEC_PER_MSEC

static void
test_timeout (void)
{
  struct answer_time time = { 0 };

  g_assert_cmpint (answer_time_get_timeout_us (&time), ==,
                   ANSWER_TIMEOUT_MAX_US);
  for (guint i = 0; i < 10; i++)
    answer_time_note (&time, 2 * MS);
  g_assert_cmpint (answer_time_get_timeout_us (&time), ==,
                   ANSWER_TIMEOUT_MIN_US);
  answer_time_note (&time, 25 * MS);
  g_assert_cmpint (answer_time_get_timeout_us (&time), >, 25 * MS);
  for (guint i = 0; i < 10; i++)
    answer_time_note (&time, 200 * MS);
  g_assert_cmpint (answer_time_get_timeout_us (&time), ==,
                   ANSWER_TIMEOUT_MAX_US);
}

/* Guards against lost orders that are noticed later since it takes two polls:
   the first one goes out before the answer is overdue where answers are
   quick, and no earlier where they are slow.  */
static void
test_check (void)
{
  struct answer_time time = { 0 };

  g_assert_cmpint (answer_time_get_check_us (&time), ==,
                   ANSWER_TIMEOUT_MAX_US);
  for (guint i = 0; i < 10; i++)
    answer_time_note (&time, 2 * MS);
  g_assert_cmpint (answer_time_get_check_us (&time), ==, ANSWER_CHECK_MIN_US);
  answer_time_note (&time, 25 * MS);
  g_assert_cmpint (answer_time_get_check_us (&time), ==,
                   answer_time_get_timeout_us (&time));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/answer-time/timeout", test_timeout);
  g_test_add_func ("/answer-time/check", test_check);
  return g_test_run ();
}
