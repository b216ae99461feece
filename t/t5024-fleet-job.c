/* The parts of a job at its home: only a task that its owner has named as done
   may count as done there.  */
#include "transport/fleet_job.h"

/* An offer of the tasks 0 to N_TASKS - 1 of JOB, all of which are wanted.  */
static struct fleet_part
make_offer (struct fleet_job *job, guint n_tasks)
{
  struct fleet_part part = { .job = job, .is_open = TRUE, .n_offers = 2 };

  job->wanted.n = 0;
  for (guint i = 0; i < n_tasks; i++)
    task_set_add (&job->wanted, &i, 1);
  part.offered = job->wanted;
  return part;
}

/* The owner returns a task that it was granted and keeps the rest of the
   offer.  If its next claim were granted that task again, the owner would
   ignore it, and the home would count it as done with the others.  */
static void
test_returned_not_granted_again (void)
{
  struct fleet_job job = { 0 };
  struct fleet_part part = make_offer (&job, 3);
  guint granted[PEER_TASKS_MAX];
  guint out[PEER_TASKS_MAX];
  guint returned;

  g_assert_cmpuint (fleet_part_grant (&part, 1, granted), ==, 1);
  returned = granted[0];
  g_assert_cmpuint (fleet_part_remove_tasks (&part, &returned, 1, out), ==, 1);
  g_assert_cmpuint (part.n_tasks, ==, 0);
  task_set_add (&job.wanted, out, 1);

  g_assert_cmpuint (fleet_part_grant (&part, 3, granted), ==, 2);
  g_assert_cmpuint (granted[0], !=, returned);
  g_assert_cmpuint (granted[1], !=, returned);
  g_assert_cmpuint (job.wanted.n, ==, 1);
  g_assert_cmpuint (job.wanted.indexes[0], ==, returned);
  g_assert_false (task_set_intersects (&job.wanted, &part.offered));
}

/* An owner may return tasks that it was not granted: another owner may still
   claim them, this one may not.  */
static void
test_ungranted_returned (void)
{
  struct fleet_job job = { 0 };
  struct fleet_part part = make_offer (&job, 2);
  struct fleet_part other = make_offer (&job, 2);
  const guint both[] = { 0, 1 };
  guint granted[PEER_TASKS_MAX];
  guint out[PEER_TASKS_MAX];

  g_assert_cmpuint (fleet_part_remove_tasks (&part, both, 2, out), ==, 0);
  g_assert_cmpuint (fleet_part_grant (&part, 2, granted), ==, 0);
  g_assert_cmpuint (fleet_part_grant (&other, 2, granted), ==, 2);
}

/* A part of JOB that was granted the N_TASKS tasks INDEXES.  */
static struct fleet_part
make_granted (struct fleet_job *job, const guint *indexes, guint n_tasks)
{
  struct fleet_part part = { .job = job, .is_open = TRUE };

  for (guint i = 0; i < n_tasks; i++)
    part.indexes[part.n_tasks++] = indexes[i];
  return part;
}

/* A task counted twice must not hide one that never ran: two owners name the
   same task, or one names it twice.  */
static void
test_counted_once (void)
{
  static const guint first[] = { 0, 0 };
  static const guint both[] = { 0, 1 };
  struct fleet_submission submission = { .n_tasks = 2 };
  struct fleet_job job = { .submission = &submission };
  struct fleet_part part = make_granted (&job, first, 1);
  struct fleet_part other = make_granted (&job, first, 1);
  struct fleet_part third = make_granted (&job, both, 2);

  fleet_part_take_done (&part, first, 2);
  g_assert_false (fleet_job_is_done (&job));
  fleet_part_take_done (&other, first, 1);
  g_assert_false (fleet_job_is_done (&job));
  fleet_part_take_done (&third, both, 2);
  g_assert_true (fleet_job_is_done (&job));
}

/* A grant that its owner ignored is run, not counted as done: it is left in
   the part for the home to assign it again.  */
static void
test_ignored_is_left (void)
{
  static const guint named[] = { 2, 0 };
  struct fleet_submission submission = { .n_tasks = 3 };
  struct fleet_job job = { .submission = &submission };
  struct fleet_part part = make_offer (&job, 3);
  guint granted[PEER_TASKS_MAX];

  g_assert_cmpuint (fleet_part_grant (&part, 3, granted), ==, 3);
  fleet_part_take_done (&part, named, 2);
  g_assert_false (fleet_job_is_done (&job));
  g_assert_cmpuint (part.n_tasks, ==, 1);
  g_assert_cmpuint (part.indexes[0], ==, 1);
}

/* A task that an owner names without a grant is another owner's: it must not
   count as done before that one has run it.  */
static void
test_not_granted_not_done (void)
{
  static const guint own = 0;
  static const guint named[] = { 0, 1, 129, G_MAXUINT };
  struct fleet_submission submission = { .n_tasks = 2 };
  struct fleet_job job = { .submission = &submission };
  struct fleet_part part = make_granted (&job, &own, 1);

  fleet_part_take_done (&part, named, G_N_ELEMENTS (named));
  g_assert_false (fleet_job_is_done (&job));
  g_assert_cmpuint (job.done.n, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet-job/returned-not-granted-again",
                   test_returned_not_granted_again);
  g_test_add_func ("/fleet-job/ungranted-returned", test_ungranted_returned);
  g_test_add_func ("/fleet-job/counted-once", test_counted_once);
  g_test_add_func ("/fleet-job/ignored-is-left", test_ignored_is_left);
  g_test_add_func ("/fleet-job/not-granted-not-done",
                   test_not_granted_not_done);
  return g_test_run ();
}
