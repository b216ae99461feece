/* Which job goes first.  */
#include "coordination/order.h"
#include "t/support/decision_bed.h"

#include "base/clock.h"
#include "coordination/host.h"

static void
use_order (struct document *document, const char *name)
{
  struct service *service = bed_service (document);

  g_free (service->order);
  service->order = g_strdup (name);
}

static struct bed *
make_bed (const char *order)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 1, 1);

  use_order (document, order);
  bed_apply (bed, document);
  bed_submit (bed, 1);
  return bed;
}

static void
test_fifo (void)
{
  struct bed *bed = make_bed ("fifo");
  struct job *large = bed_submit (bed, 10);
  struct job *small = bed_submit (bed, 1);

  bed_end_all (bed, 1);
  g_assert_cmpuint (large->n_running, ==, 1);
  g_assert_cmpuint (small->n_running, ==, 0);
  bed_free (bed);
}

static void
test_fewest_remaining (void)
{
  struct bed *bed = make_bed ("fewest-remaining");
  struct job *large = bed_submit (bed, 10);
  struct job *small = bed_submit (bed, 1);

  bed_end_all (bed, 1);
  g_assert_cmpuint (large->n_running, ==, 0);
  g_assert_cmpuint (small->n_running, ==, 1);
  bed_free (bed);
}

/* However many small jobs come, a large one is overtaken for no longer than
   its key lies ahead.  */
static void
test_ageing_is_bounded (void)
{
  struct bed *bed = make_bed ("fewest-remaining");
  struct job *large = bed_submit (bed, 130);
  gint64 began_us = bed->now_us;

  while (large->n_running == 0)
    {
      bed_submit (bed, 1);
      bed_submit (bed, 1);
      bed_pass (bed, 100 * USEC_PER_MSEC);
      g_assert_cmpint (bed->now_us - began_us, <=, 2 * ORDER_MAX_AGEING_US);
      bed_end_all (bed, 1);
    }
  g_assert_cmpint (bed->now_us - began_us, >, 10 * USEC_PER_SEC);
  bed_free (bed);
}

/* The longest task of a job starts first.  */
static void
test_longest_task_first (void)
{
  struct bed *bed = make_bed ("fewest-remaining");
  struct job *job = bed_make_job (bed, 3);
  struct task *first;

  job->tasks[1].declared_run_time_us = 5 * USEC_PER_SEC;
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  bed_end_all (bed, 1);
  first = g_ptr_array_index (bed->started, 0);
  g_assert_cmpuint (first->index, ==, 1);
  bed_free (bed);
}

#define N_TEAMS 120

static struct job *
submit_for (struct bed *bed, const char *team, guint n_tasks)
{
  g_autofree char *id = g_strdup_printf ("j%u", bed->jobs->len);
  struct job *job = job_new (id, team, "s", n_tasks);

  g_ptr_array_add (bed->jobs, job);
  g_assert_true (dispatcher_submit (bed->dispatcher, job, bed->now_us, NULL));
  return job;
}

/* All teams wait for one upstream; slots go by weight, and none starves.  */
static void
test_weights (void)
{
  struct bed *bed = bed_new ();
  guint n_starts[3] = { 0 };

  for (guint i = 0; i < 3; i++)
    {
      char name[] = { (char)('a' + i), '\0' };
      struct document *document = bed_make_document (name, 1, 1, 1);

      document->weight = i == 0 ? 2 : 1;
      bed_apply (bed, document);
      for (guint j = 0; j < 10; j++)
        submit_for (bed, name, 120);
    }
  /* Well past what counts as within a share.  */
  for (guint i = 0; i < 2000; i++)
    {
      struct task *task = g_ptr_array_index (bed->started, 0);

      if (i >= 200)
        n_starts[task->job->team[0] - 'a']++;
      bed_pass (bed, 100 * USEC_PER_MSEC);
      bed_end_all (bed, 1);
    }
  g_assert_cmpuint (n_starts[0], >=, 850);
  g_assert_cmpuint (n_starts[0], <=, 950);
  g_assert_cmpuint (n_starts[1], >=, 400);
  g_assert_cmpuint (n_starts[2], >=, 400);
  bed_free (bed);
}

/* The bound of coordination/host.h, with 120 teams on one upstream.  */
static void
test_no_team_starves (void)
{
  struct bed *bed = bed_new ();
  gint64 last_us[N_TEAMS];
  gint64 run_us = 10 * USEC_PER_MSEC;
  gint64 bound_us = HOST_MAX_WAIT_US + N_TEAMS * run_us;

  for (guint i = 0; i < N_TEAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("%u", i);

      bed_apply (bed, bed_make_document (name, 1, 1, 4));
      submit_for (bed, name, 130);
      last_us[i] = bed->now_us;
    }
  for (guint i = 0; i < 6000; i++)
    {
      struct task *task = g_ptr_array_index (bed->started, 0);
      guint team = (guint)g_ascii_strtoull (task->job->team, NULL, 10);

      g_assert_cmpint (task->started_us - last_us[team], <=, bound_us);
      last_us[team] = task->started_us;
      bed_pass (bed, run_us);
      bed_end_all (bed, 1);
    }
  for (guint i = 0; i < N_TEAMS; i++)
    g_assert_cmpint (bed->now_us - last_us[i], <=, bound_us);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/order/fifo", test_fifo);
  g_test_add_func ("/order/fewest-remaining", test_fewest_remaining);
  g_test_add_func ("/order/ageing", test_ageing_is_bounded);
  g_test_add_func ("/order/longest-task", test_longest_task_first);
  g_test_add_func ("/order/weights", test_weights);
  g_test_add_func ("/order/no-team-starves", test_no_team_starves);
  return g_test_run ();
}
