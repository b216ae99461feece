/* Upstreams that fail, hang, slow down, die and come back.  */
#include "coordination/health.h"
#include "coordination/pool.h"
#include "t/support/decision_bed.h"

#include "base/clock.h"

#define N_UPSTREAMS 16
#define SLOTS 8
#define RUN_US (100 * USEC_PER_MSEC)
#define STEP_US (10 * USEC_PER_MSEC)

/* How an upstream behaves; the first of the pool, or all.  */
struct behaviour
{
  enum attempt_end end;
  gint64 run_us;
  guint n_bad;
  gint64 good_run_us; /* of the others; 0 for RUN_US */
};

struct counts
{
  guint n_before; /* starts on bad upstreams before the first probation */
  guint n_after;
  guint n_good; /* on others */
  guint n_on_probation;
};

static gboolean
is_bad (const struct task *task, const struct behaviour *bad)
{
  return g_ascii_strtoull (task->upstream->name + 1, NULL, 10) < bad->n_bad;
}

static struct bed *
make_bed (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, N_UPSTREAMS, SLOTS);

  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      struct upstream_spec *spec = bed_upstream_spec (document, i);

      g_free (spec->rack);
      spec->rack = g_strdup (i < 4 ? "bad" : "good");
    }
  bed_apply (bed, document);
  return bed;
}

/* Ends what is due; the leases of all are kept up.  */
static void
end_due (struct bed *bed, const struct behaviour *bad)
{
  for (guint i = bed->started->len; i > 0; i--)
    {
      struct task *task;
      gboolean is_faulty;

      if (i > bed->started->len)
        continue;
      task = g_ptr_array_index (bed->started, i - 1);
      is_faulty = is_bad (task, bad);
      task->lease_deadline_us = DEADLINE_NEVER;
      dispatcher_note_lease_renewed (bed->dispatcher, task->upstream,
                                     DEADLINE_NEVER);
      if (bed->now_us - task->started_us >= (is_faulty ? bad->run_us
                                             : bad->good_run_us != 0
                                                 ? bad->good_run_us
                                                 : RUN_US))
        bed_end (bed, task, is_faulty ? bad->end : ATTEMPT_ANSWER_DONE);
    }
}

/* Offers N_JOBS single tasks at a load of about one half.  */
static struct counts
offer (struct bed *bed, const struct behaviour *bad, guint n_jobs)
{
  struct counts counts = { 0 };
  guint n_seen = bed->n_starts;

  for (guint i = 0; i < n_jobs; i++)
    {
      bed_submit (bed, 1);
      if (bed->n_starts != n_seen)
        {
          struct task *last
              = g_ptr_array_index (bed->started, bed->started->len - 1);

          if (!is_bad (last, bad))
            counts.n_good++;
          else if (last->upstream->health->n_probations == 0)
            counts.n_before++;
          else
            counts.n_after++;
        }
      n_seen = bed->n_starts;
      if (i % 6 == 5)
        {
          bed_pass (bed, STEP_US);
          end_due (bed, bad);
          n_seen = bed->n_starts;
        }
    }
  return counts;
}

static const struct behaviour sound = { ATTEMPT_ANSWER_DONE, RUN_US, 0 };

/* The number of upstreams on probation now, seen through running tasks.  */
static guint
count_on_probation (struct bed *bed)
{
  struct upstream *any;

  if (bed->started->len == 0)
    bed_submit (bed, 1);
  any = ((struct task *)g_ptr_array_index (bed->started, 0))->upstream;
  return ((struct pool *)any->pool)->health.n_on_probation;
}

static void
test_fails_fast (void)
{
  struct behaviour bad = { ATTEMPT_ANSWER_FAILED, 0, 1 };
  struct bed *bed = make_bed ();
  struct counts counts;
  gint64 began_us;

  offer (bed, &sound, 600);
  began_us = bed->now_us;
  counts = offer (bed, &bad, 3000);
  g_assert_cmpuint (counts.n_before, <=, 5);
  /* One a backoff period: 1, 2, 4, ... seconds.  */
  g_assert_cmpuint (counts.n_after, <=, 3);
  g_assert_cmpint (bed->now_us - began_us, >=, 4 * USEC_PER_SEC);
  g_assert_cmpuint (counts.n_good, >, 2500);
  bed_free (bed);
}

static void
test_fails_from_the_start (void)
{
  struct behaviour bad = { ATTEMPT_ANSWER_FAILED, 0, 1 };
  struct bed *bed = make_bed ();
  struct counts counts = offer (bed, &bad, 3000);

  g_assert_cmpuint (counts.n_before, <=, 5);
  g_assert_cmpuint (counts.n_after, <=, 3);
  bed_free (bed);
}

/* A burst that comes at once gives it no more either.  */
static void
test_burst_on_a_black_hole (void)
{
  struct behaviour bad = { ATTEMPT_ANSWER_FAILED, 0, 1 };
  struct bed *bed = make_bed ();
  struct counts counts = { 0 };

  offer (bed, &sound, 600);
  bed_end_all (bed, G_MAXUINT);
  bed_submit (bed, 128);
  for (guint i = 0; i < bed->started->len; i++)
    counts.n_before
        += is_bad (g_ptr_array_index (bed->started, i), &bad) ? 1 : 0;
  g_assert_cmpuint (counts.n_before, <=, 5);
  bed_free (bed);
}

static void
test_fails_a_part (void)
{
  struct bed *bed = make_bed ();
  guint n_failed = 0;

  offer (bed, &sound, 600);
  for (guint i = 0; i < 200; i++)
    {
      struct behaviour bad = { ATTEMPT_ANSWER_DONE, RUN_US, 1 };

      if (i % 3 == 0)
        bad.end = ATTEMPT_ANSWER_FAILED;
      offer (bed, &bad, 20);
    }
  for (guint i = 0; i < bed->finished->len; i++)
    {
      struct job *job = g_ptr_array_index (bed->finished, i);

      n_failed += job->state == JOB_FAILED ? 1 : 0;
    }
  /* A third of its sixteenth would be 80.  */
  g_assert_cmpuint (n_failed, <=, 25);
  bed_free (bed);
}

static void
test_hangs (void)
{
  struct behaviour bad = { ATTEMPT_ANSWER_DONE, 3600 * USEC_PER_SEC, 1 };
  struct bed *bed = make_bed ();
  struct counts counts;

  counts = offer (bed, &bad, 3000);
  g_assert_cmpuint (counts.n_before, <=, 5);
  bed_free (bed);
}

/* No answer to a renewal: no new task until there is one.  */
static void
test_silent (void)
{
  struct bed *bed = bed_new_with (1, 2);
  struct upstream *upstream;

  bed_submit (bed, 1);
  upstream = bed_find_upstream (bed, "u0");
  bed_pass (bed, BED_LEASE_MS * USEC_PER_MSEC * 5 / 6);
  g_assert_true (upstream->health->is_silent);
  bed_submit (bed, 1);
  g_assert_cmpuint (bed->started->len, ==, 1);
  dispatcher_note_lease_renewed (bed->dispatcher, upstream,
                                 bed->now_us + BED_LEASE_MS * USEC_PER_MSEC);
  bed_end_all (bed, 1);
  g_assert_cmpuint (bed->started->len, ==, 1);
  bed_free (bed);
}

static void
test_slows_down (void)
{
  struct behaviour bad = { ATTEMPT_ANSWER_DONE, 10 * RUN_US, 1 };
  struct bed *bed = make_bed ();
  struct counts counts;

  offer (bed, &sound, 600);
  counts = offer (bed, &bad, 6000);
  g_assert_cmpuint (counts.n_before + counts.n_after, <=, 60);
  bed_free (bed);
}

/* A few milliseconds more say nothing about an upstream of short tasks.  */
static void
test_short_tasks (void)
{
  struct behaviour even = { ATTEMPT_ANSWER_DONE, 0, 0, USEC_PER_MSEC };
  struct behaviour jitter
      = { ATTEMPT_ANSWER_DONE, 50 * USEC_PER_MSEC, 1, USEC_PER_MSEC };
  struct bed *bed = make_bed ();
  struct counts counts;

  offer (bed, &even, 600);
  counts = offer (bed, &jitter, 6000);
  g_assert_cmpuint (counts.n_before, >, 0);
  g_assert_cmpuint (counts.n_after, ==, 0);
  bed_free (bed);
}

/* Tasks that could not be sent are moved, and the way is tried less and less
   often until it works again.  */
static void
test_dies_and_comes_back (void)
{
  struct behaviour dead = { ATTEMPT_NOT_SENT, 0, 1 };
  struct bed *bed = make_bed ();
  struct counts counts;

  offer (bed, &sound, 600);
  counts = offer (bed, &dead, 3000);
  g_assert_cmpuint (counts.n_before + counts.n_after, <=, 20);
  for (guint i = 0; i < bed->finished->len; i++)
    {
      struct job *job = g_ptr_array_index (bed->finished, i);

      g_assert_cmpint (job->state, ==, JOB_COMPLETE);
    }
  offer (bed, &sound, 3000);
  offer (bed, &sound, 3000);
  bed_submit (bed, 128);
  g_assert_nonnull (bed_find_running (bed, "u0"));
  bed_free (bed);
}

/* After two of a rack have failed, the others get one task at a time.  */
static void
test_rack_is_suspected (void)
{
  struct behaviour bad = { ATTEMPT_ANSWER_FAILED, 0, 4 };
  struct bed *bed = make_bed ();
  struct counts counts;

  offer (bed, &sound, 600);
  counts = offer (bed, &bad, 3000);
  g_assert_cmpuint (counts.n_before, <=, 4 * 5);
  g_assert_cmpuint (counts.n_good, >, 2500);
  bed_free (bed);
}

/* When everything fails, not all is taken away, and all comes back.  */
static void
test_all_fail (void)
{
  struct behaviour bad = { ATTEMPT_ANSWER_FAILED, RUN_US, N_UPSTREAMS };
  struct bed *bed = make_bed ();

  offer (bed, &sound, 600);
  offer (bed, &bad, 1000);
  g_assert_cmpuint (count_on_probation (bed), <=, N_UPSTREAMS / 2);
  for (guint i = 0; i < 6; i++)
    {
      bed_end_all (bed, G_MAXUINT);
      bed_pass (bed, 10 * USEC_PER_SEC);
      offer (bed, &sound, 600);
    }
  bed_end_all (bed, G_MAXUINT);
  bed_submit (bed, 128);
  g_assert_cmpuint (bed->started->len, >=, 5 * N_UPSTREAMS);
  bed_free (bed);
}

/* Other VMs have taken all slots but three: few starts are refused.  */
static void
test_learns_the_room (void)
{
  struct bed *bed = bed_new_with (1, SLOTS);
  guint n_refused = 0;

  bed_submit (bed, 130);
  bed_submit (bed, 130);
  for (guint n_done = 0; n_done < 200;)
    {
      while (bed->started->len > 3)
        {
          bed_end (bed,
                   g_ptr_array_index (bed->started, bed->started->len - 1),
                   ATTEMPT_ANSWER_NOT_RUN);
          n_refused++;
        }
      bed_pass (bed, RUN_US);
      n_done += bed->started->len;
      bed_end_all (bed, bed->started->len);
    }
  /* The first ones, then one in twelve successes.  */
  g_assert_cmpuint (n_refused, <=, SLOTS + 200 / 12 + 1);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/health/fails-fast", test_fails_fast);
  g_test_add_func ("/health/fails-from-the-start", test_fails_from_the_start);
  g_test_add_func ("/health/burst", test_burst_on_a_black_hole);
  g_test_add_func ("/health/fails-a-part", test_fails_a_part);
  g_test_add_func ("/health/hangs", test_hangs);
  g_test_add_func ("/health/silent", test_silent);
  g_test_add_func ("/health/slows-down", test_slows_down);
  g_test_add_func ("/health/short-tasks", test_short_tasks);
  g_test_add_func ("/health/dies", test_dies_and_comes_back);
  g_test_add_func ("/health/rack", test_rack_is_suspected);
  g_test_add_func ("/health/all-fail", test_all_fail);
  g_test_add_func ("/health/room", test_learns_the_room);
  return g_test_run ();
}
