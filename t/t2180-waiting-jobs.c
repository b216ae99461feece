/*
 * Jobs that wait for slots, without a network: homes with waiting jobs, and
 * owners whose slots become known again one after the other.
 */
#include "base/hash64.h"
#include "coordination/slot_outlook.h"
#include "coordination/waiting_jobs.h"

#define START_US (1000 * USEC_PER_SEC)
#define SERVICE 7
#define MAX_HOMES 16
#define MAX_JOBS 64 /* of one home */
#define RUN_MS 60
#define ROUND_MS 50

struct home
{
  struct waiting_jobs waiting;
  struct waiting_job jobs[MAX_JOBS];
};

/* All homes, and the slots of all owners as one queue that is served in the
   order of assignment.  */
struct fleet
{
  struct home homes[MAX_HOMES];
  guint n_homes;
  guint n_slots;    /* of the owners that are back */
  gdouble n_needed; /* of these, by jobs in time that arrive */
  gint64 now_us;
  GArray *ends; /* gint64: when the assigned tasks end, ascending */
  guint n_started;
  guint n_in_time; /* of these */
  guint n_expired;
  gint64 longest_queue_us;
};

/* Lets a job of N_TASKS wait that came AGO_MS before.  */
static void
add_job (struct waiting_jobs *jobs, struct waiting_job *job, guint n_tasks,
         guint priority, gint64 now_us, gint64 objective_ms)
{
  waiting_job_init (job);
  job->service_hash = SERVICE;
  job->n_tasks = n_tasks;
  job->run_ms = RUN_MS;
  job->priority = priority;
  job->start_by_us = now_us + (objective_ms - RUN_MS) * USEC_PER_MSEC;
  job->end_by_us = now_us + (3 * objective_ms - RUN_MS) * USEC_PER_MSEC;
  job->n_bytes = 1000;
  waiting_jobs_add (jobs, job);
}

static void
fleet_init (struct fleet *fleet, guint n_homes, guint n_jobs,
            gint64 objective_ms)
{
  *fleet = (struct fleet){ .n_homes = n_homes, .now_us = START_US };
  fleet->ends = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < n_homes; i++)
    {
      struct home *home = &fleet->homes[i];

      waiting_jobs_init (&home->waiting, MAX_JOBS, 1000 * MAX_JOBS);
      for (guint k = 0; k < n_jobs; k++)
        add_job (&home->waiting, &home->jobs[k], 4, k % 3, START_US,
                 objective_ms);
    }
}

/* When the slot is free that the next assigned task gets.  */
static gint64
get_next_start_us (const struct fleet *fleet)
{
  guint n = fleet->ends->len;

  if (n < fleet->n_slots)
    return fleet->now_us;
  return MAX (fleet->now_us,
              g_array_index (fleet->ends, gint64, n - fleet->n_slots));
}

static void
assign (struct fleet *fleet, struct waiting_jobs *waiting,
        struct waiting_job *job)
{
  gint64 start_us = fleet->now_us;

  for (guint i = 0; i < job->n_tasks; i++)
    {
      gint64 end_us;

      start_us = get_next_start_us (fleet);
      end_us = start_us + RUN_MS * USEC_PER_MSEC;
      g_array_append_val (fleet->ends, end_us);
    }
  fleet->longest_queue_us
      = MAX (fleet->longest_queue_us, start_us - fleet->now_us);
  fleet->n_started++;
  fleet->n_in_time += start_us <= job->start_by_us ? 1 : 0;
  waiting_jobs_remove (waiting, job);
}

/* What the owners announce at present.  */
static struct waiting_slots
announce (const struct fleet *fleet)
{
  struct waiting_slots slots = { .n_homes = fleet->n_homes };
  guint n_busy = 0;

  for (guint i = 0; i < fleet->ends->len; i++)
    if (g_array_index (fleet->ends, gint64, i) > fleet->now_us)
      n_busy++;
  slots.pool.n_slots = fleet->n_slots;
  slots.n_expected = fleet->n_slots;
  slots.n_needed = fleet->n_needed;
  slots.n_free = MAX (fleet->n_slots, n_busy) - n_busy;
  slots.pool.n_queued[0] = MAX (fleet->n_slots, n_busy) - fleet->n_slots;
  return slots;
}

/* Does one round of all homes, which know SLOTS.  */
static void
do_round (struct fleet *fleet, struct waiting_slots slots)
{
  for (guint i = 0; i < fleet->n_homes; i++)
    {
      struct waiting_jobs *waiting = &fleet->homes[i].waiting;
      gint64 now_us = fleet->now_us;
      struct waiting_job *expired;
      g_autoptr (GPtrArray) list = NULL;

      slots.seed = hash64_pair (i + 1, (guint64)now_us);
      for (; (expired = waiting_jobs_find_expired (waiting, now_us));
           fleet->n_expired++)
        waiting_jobs_remove (waiting, expired);
      list = waiting_jobs_select (waiting, SERVICE, &slots, now_us);
      for (guint k = 0; k < list->len; k++)
        assign (fleet, waiting, g_ptr_array_index (list, k));
    }
}

/* Lets MS pass, in which all homes know only the first announcement.  */
static void
pass (struct fleet *fleet, guint ms)
{
  struct waiting_slots slots = announce (fleet);

  for (guint t = 0; t < ms; t += ROUND_MS)
    {
      do_round (fleet, slots);
      fleet->now_us += ROUND_MS * USEC_PER_MSEC;
    }
}

static void
finish (struct fleet *fleet)
{
  g_test_message ("started %u, in time %u, expired %u, longest queue %d ms",
                  fleet->n_started, fleet->n_in_time, fleet->n_expired,
                  (int)(fleet->longest_queue_us / USEC_PER_MSEC));
  g_array_unref (fleet->ends);
}

/* All VMs restart under load: owners return one after the other, and 16 homes
   with 20 jobs of 4 tasks each have the same news of them for 150 ms.  If each
   home gave the first owner all its jobs, the queue there would be 2.4 s.  */
static void
test_all_restart (void)
{
  struct fleet fleet;

  fleet_init (&fleet, 16, 20, 1500);
  for (guint i = 0; i < 20; i++)
    {
      fleet.n_slots = MIN (16 * i, 160);
      pass (&fleet, 150);
    }
  g_assert_cmpuint (fleet.n_started, ==, 320);
  g_assert_cmpuint (fleet.n_in_time, >=, 310);
  g_assert_cmpint (fleet.longest_queue_us, <, 400 * USEC_PER_MSEC);
  finish (&fleet);
}

/* Half of the owners are lost in a burst: the jobs for which the other slots
   are too few wait, and are served once the owners are replaced.  Until then
   one queue would serve 233 jobs in time, and none later.  */
static void
test_half_lost (void)
{
  struct fleet fleet;

  fleet_init (&fleet, 16, 30, 700);
  fleet.n_slots = 80;
  for (guint i = 0; i < 6; i++)
    pass (&fleet, 150);
  fleet.n_slots = 160;
  for (guint i = 0; i < 10; i++)
    pass (&fleet, 150);
  g_assert_cmpuint (fleet.n_in_time, >=, 200);
  g_assert_cmpuint (fleet.n_started, >=, 470);
  g_assert_cmpint (fleet.longest_queue_us, <, 700 * USEC_PER_MSEC);
  finish (&fleet);
}

#define ARRIVALS_PER_ROUND 10

/* Lets a round pass, in which tasks of jobs that can be in time arrive,
   N_TASKS at a time.  They are refused if the queue is longer than 100 ms.
   Returns how many are not.  */
static guint
arrive (struct fleet *fleet, guint n_tasks)
{
  guint n_in_time = 0;

  for (guint i = 0; i < n_tasks * ARRIVALS_PER_ROUND; i++)
    {
      gint64 start_us = get_next_start_us (fleet);
      gint64 end_us = start_us + RUN_MS * USEC_PER_MSEC;

      if (i % n_tasks == 0)
        fleet->now_us += ROUND_MS * USEC_PER_MSEC / ARRIVALS_PER_ROUND;
      if (start_us - fleet->now_us > 100 * USEC_PER_MSEC)
        continue;
      g_array_append_val (fleet->ends, end_us);
      n_in_time++;
    }
  return n_in_time;
}

/* All VMs return after an outage longer than three objectives, under 0.8 of
   the load: each of 16 homes has 60 jobs of 4 tasks that can only be late,
   1.4 s of all slots.  One queue that serves those in time first starts all of
   these and, in the 1.4 s that are left, 170 of the late jobs.  */
static void
test_long_outage (void)
{
  const guint n_arriving
      = 160 * 8 / 10 * ROUND_MS / RUN_MS / ARRIVALS_PER_ROUND;
  const guint n_rounds = 40;
  const guint n_tasks = n_arriving * ARRIVALS_PER_ROUND * n_rounds;
  guint n_in_time = 0;
  struct fleet fleet;

  fleet_init (&fleet, 16, 60, 1000);
  fleet.n_slots = 160;
  fleet.n_needed = 0.8 * fleet.n_slots;
  /* Their objective has passed, and 1.4 s are left.  */
  fleet.now_us += 1500 * USEC_PER_MSEC;
  for (guint i = 0; i < n_rounds; i++)
    {
      do_round (&fleet, announce (&fleet));
      n_in_time += arrive (&fleet, n_arriving);
    }
  g_test_message ("%u of %u tasks in time", n_in_time, n_tasks);
  g_assert_cmpuint (n_in_time * 100, >=, n_tasks * 95);
  g_assert_cmpuint (fleet.n_started, >=, 100);
  g_assert_cmpuint (fleet.n_in_time, ==, 0);
  finish (&fleet);
}

/* Jobs that can only be late and that the slots which jobs in time leave over
   cannot start are refused at once, the last in the order first; without any
   announced slot none are.  */
static void
test_hopeless (void)
{
  gint64 late_us = START_US + 200 * USEC_PER_MSEC;
  struct waiting_slots slots = { .n_homes = 2,
                                 .pool.n_slots = 10,
                                 .n_expected = 10,
                                 .n_needed = 8,
                                 .is_complete = TRUE };
  struct waiting_job late[4];
  struct waiting_job fresh;
  struct waiting_jobs jobs;
  g_autoptr (GPtrArray) some = NULL;
  g_autoptr (GPtrArray) all = NULL;
  g_autoptr (GPtrArray) none = NULL;
  g_autoptr (GPtrArray) unknown = NULL;

  waiting_jobs_init (&jobs, 10, 10000);
  /* 190 ms are left to each, and one of the slots to this home.  */
  for (guint i = 0; i < G_N_ELEMENTS (late); i++)
    add_job (&jobs, &late[i], 2, i, START_US, 150);
  add_job (&jobs, &fresh, 2, 0, late_us, 150);
  some = waiting_jobs_list_hopeless (&jobs, SERVICE, &slots, late_us);
  g_assert_cmpuint (some->len, ==, 2);
  g_assert_true (some->pdata[0] == &late[2] && some->pdata[1] == &late[3]);
  slots.n_needed = 10;
  all = waiting_jobs_list_hopeless (&jobs, SERVICE, &slots, late_us);
  g_assert_cmpuint (all->len, ==, 4);
  /* What jobs in time will leave over of slots to come is not known yet.  */
  slots.n_expected = 40;
  slots.is_complete = FALSE;
  none = waiting_jobs_list_hopeless (&jobs, SERVICE, &slots, late_us);
  g_assert_cmpuint (none->len, ==, 0);
  slots = (struct waiting_slots){ .n_homes = 2, .is_complete = TRUE };
  unknown = waiting_jobs_list_hopeless (&jobs, SERVICE, &slots, late_us);
  g_assert_cmpuint (unknown->len, ==, 0);
}

/* No more slots are expected: jobs that can be in time wait no longer, and
   others still wait for what those leave over.  */
static void
test_complete (void)
{
  gint64 late_us = START_US + 200 * USEC_PER_MSEC;
  struct waiting_slots slots = { .n_homes = 2,
                                 .pool.n_slots = 10,
                                 .n_expected = 10,
                                 .n_needed = 8,
                                 .is_complete = TRUE };
  struct waiting_job late;
  struct waiting_job fresh[2];
  struct waiting_jobs jobs;
  g_autoptr (GPtrArray) list = NULL;

  waiting_jobs_init (&jobs, 10, 10000);
  add_job (&jobs, &late, 2, 0, START_US, 150);
  for (guint i = 0; i < G_N_ELEMENTS (fresh); i++)
    add_job (&jobs, &fresh[i], 50, i, late_us, 150);
  list = waiting_jobs_select (&jobs, SERVICE, &slots, late_us);
  g_assert_cmpuint (list->len, ==, 2);
  g_assert_true (list->pdata[0] == &fresh[0] && list->pdata[1] == &fresh[1]);
}

/* No owner returns: nothing is assigned, and every job is refused at its time
   limit.  */
static void
test_no_owner (void)
{
  struct fleet fleet;

  fleet_init (&fleet, 4, 5, 150);
  pass (&fleet, 350);
  g_assert_cmpuint (fleet.n_expired, ==, 0);
  pass (&fleet, 150);
  g_assert_cmpuint (fleet.n_expired, ==, 20);
  g_assert_cmpuint (fleet.n_started, ==, 0);
  finish (&fleet);
}

/* More jobs than the bound: the last in the order is refused, be it the new
   one or not, and a job that can only be late goes behind all others.  */
static void
test_more_than_bound (void)
{
  gint64 late_us = START_US + 200 * USEC_PER_MSEC;
  struct waiting_jobs jobs;
  struct waiting_job urgent;
  struct waiting_job idle;
  struct waiting_job late;
  struct waiting_job fresh;

  waiting_jobs_init (&jobs, 2, 10000);
  add_job (&jobs, &idle, 1, 2, START_US, 1000);
  add_job (&jobs, &late, 1, 0, START_US, 150);
  g_assert_null (waiting_jobs_find_excess (&jobs, START_US));
  add_job (&jobs, &urgent, 1, 0, START_US, 1000);
  g_assert_true (waiting_jobs_find_excess (&jobs, START_US) == &idle);
  g_assert_true (waiting_jobs_find_excess (&jobs, late_us) == &late);
  waiting_jobs_remove (&jobs, &late);
  g_assert_null (waiting_jobs_find_excess (&jobs, late_us));
  add_job (&jobs, &fresh, 1, 2, late_us, 1000);
  g_assert_true (waiting_jobs_precede (&jobs, &fresh, late_us));
  g_assert_true (waiting_jobs_find_excess (&jobs, late_us) == &fresh);
  waiting_jobs_remove (&jobs, &fresh);
  waiting_jobs_remove (&jobs, &fresh);
  g_assert_cmpuint (jobs.n, ==, 2);
  jobs.max_bytes = 1999;
  g_assert_true (waiting_jobs_find_excess (&jobs, late_us) == &idle);
}

/* Slots are expected only for a while after a sign of them, and an evacuated
   zone is none.  */
static void
test_outlook (void)
{
  struct slot_prospect none = { .is_any_zone_open = TRUE };
  struct slot_prospect acquiring = { TRUE, TRUE };
  struct slot_prospect closed = { FALSE, TRUE };
  gint64 now_us = START_US + 10 * USEC_PER_SEC;
  struct slot_outlook o;

  slot_outlook_init (&o, 3 * USEC_PER_SEC, START_US);
  g_assert_true (slot_outlook_expects_more (&o, &none, START_US));
  g_assert_false (slot_outlook_expects_slots (&o, SERVICE, &none, now_us));
  g_assert_true (slot_outlook_expects_slots (&o, SERVICE, &acquiring, now_us));
  g_assert_false (slot_outlook_expects_slots (&o, SERVICE, &closed, now_us));
  slot_outlook_note_slots (&o, SERVICE, "a", now_us);
  g_assert_true (slot_outlook_expects_slots (&o, SERVICE, &none, now_us));
  g_assert_false (slot_outlook_expects_slots (&o, 8, &none, now_us));
  g_assert_false (slot_outlook_expects_more (&o, &none, now_us));
  slot_outlook_note_loss (&o, "b", now_us);
  slot_outlook_forget_zone (&o, "a");
  g_assert_true (slot_outlook_expects_more (&o, &none, now_us));
  g_assert_true (slot_outlook_expects_slots (&o, 8, &none, now_us));
  g_assert_false (slot_outlook_expects_slots (&o, SERVICE, &none,
                                              now_us + 3 * USEC_PER_SEC));
  slot_outlook_forget_zone (&o, "b");
  g_assert_false (slot_outlook_expects_more (&o, &none, now_us));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/waiting-jobs/all-vms-restart-under-load",
                   test_all_restart);
  g_test_add_func ("/waiting-jobs/half-of-the-owners-lost-in-a-burst",
                   test_half_lost);
  g_test_add_func ("/waiting-jobs/all-vms-return-after-a-long-outage",
                   test_long_outage);
  g_test_add_func ("/waiting-jobs/hopeless", test_hopeless);
  g_test_add_func ("/waiting-jobs/complete", test_complete);
  g_test_add_func ("/waiting-jobs/no-owner-returns", test_no_owner);
  g_test_add_func ("/waiting-jobs/more-jobs-than-the-bound",
                   test_more_than_bound);
  g_test_add_func ("/waiting-jobs/outlook", test_outlook);
  return g_test_run ();
}
