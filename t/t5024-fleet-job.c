/* The parts of a job at its home: a task that an owner has returned must not
   count as done there.  */
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet-job/returned-not-granted-again",
                   test_returned_not_granted_again);
  g_test_add_func ("/fleet-job/ungranted-returned", test_ungranted_returned);
  return g_test_run ();
}
