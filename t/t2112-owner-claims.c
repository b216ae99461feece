/* What an owner does with offered tasks, on one upstream with two slots.  */
#include "coordination/owner.h"

#define START_US (1000 * USEC_PER_SEC)
#define N_TASKS 3

struct claims_fixture
{
  struct owner_driver driver;
  struct owner *owner;
  struct owned_upstream *upstream;
  struct batch *batch;
  gint64 now_us;
  guint n_claims;
  guint n_claimed; /* tasks of the latest claim */
  guint n_started;
  guint n_returned;
  gboolean has_ended;
  enum batch_end end;
};

static void
on_start (struct owner_driver *driver, struct run *run, gint64 until_ms)
{
  ((struct claims_fixture *)driver)->n_started++;
}

static void
on_stop (struct owner_driver *driver, struct run *run)
{
}

static void
on_poll (struct owner_driver *driver, struct owned_upstream *upstream,
         gint64 until_ms, guint wait_ms)
{
}

static void
on_claim (struct owner_driver *driver, struct batch *batch, guint n_tasks)
{
  ((struct claims_fixture *)driver)->n_claims++;
  ((struct claims_fixture *)driver)->n_claimed = n_tasks;
}

static void
on_return (struct owner_driver *driver, struct batch *batch,
           const guint *indexes, guint n_tasks)
{
  ((struct claims_fixture *)driver)->n_returned += n_tasks;
}

static void
on_finish (struct owner_driver *driver, struct batch *batch)
{
  ((struct claims_fixture *)driver)->has_ended = TRUE;
  ((struct claims_fixture *)driver)->end = batch->end;
  batch_free (batch);
}

static void
on_lost (struct owner_driver *driver, struct owned_upstream *upstream,
         gboolean is_fenced)
{
}

static void
on_wake_at (struct owner_driver *driver, gint64 when_us)
{
}

static const struct owner_driver_ops ops = {
  .start_run = on_start,
  .stop_run = on_stop,
  .poll = on_poll,
  .claim_tasks = on_claim,
  .return_tasks = on_return,
  .finish_batch = on_finish,
  .ownership_ended = on_lost,
  .wake_at = on_wake_at,
};

static const struct upstream_report report
    = { .clock_ms = 5000, .instance_start_ms = 1 };

static struct batch *
make_batch (const char *job, guint n_tasks)
{
  struct batch *batch = batch_new (job, "home", n_tasks);

  for (guint i = 0; i < n_tasks; i++)
    batch->tasks[i].index = 10 + i;
  batch->service = g_strdup ("s");
  batch->spec = g_strdup ("");
  batch->need.cpus = 1;
  batch->estimate_us = 100 * USEC_PER_MSEC;
  batch->start_by_us = START_US + 10 * USEC_PER_SEC;
  return batch;
}

/* An owner with one upstream of two slots, and an offer of three tasks to it
   and another owner.  */
static void
fixture_init (struct claims_fixture *fixture)
{
  static const struct owner_limits limits
      = { .lease_ms = 900, .max_lease_ms = 1000 };
  static const struct listed_upstream spec = { .id = "u",
                                               .address = "127.0.0.1:1",
                                               .service = "s",
                                               .rack = "",
                                               .availability_zone = "z",
                                               .shape = { .cpus = 2 },
                                               .instance_start_ms = 1 };

  *fixture = (struct claims_fixture){ .driver.ops = &ops, .now_us = START_US };
  fixture->owner = owner_new (&fixture->driver, &limits);
  fixture->upstream = owner_take_upstream (fixture->owner, &spec, 1, START_US);
  owner_poll_ended (fixture->owner, fixture->upstream,
                    fixture->upstream->n_polls, ORDER_ACCEPTED, &report,
                    START_US);
  fixture->batch = make_batch ("0123456789abcdef", N_TASKS);
  batch_set_offered (fixture->batch, 2);
  owner_submit_batch (fixture->owner, fixture->batch, START_US);
}

/* The upstream says that it has CPUS now.  */
static void
reshape (struct claims_fixture *fixture, gdouble cpus)
{
  const struct listed_upstream spec = { .id = "u",
                                        .address = "127.0.0.1:1",
                                        .service = "s",
                                        .rack = "",
                                        .availability_zone = "z",
                                        .shape = { .cpus = cpus },
                                        .instance_start_ms = 1 };

  owner_take_upstream (fixture->owner, &spec, 1, fixture->now_us);
}

static void
grant (struct claims_fixture *fixture, const guint *indexes, guint n,
       gboolean is_exhausted)
{
  owner_claim_ended (fixture->owner, fixture->batch, indexes, n, is_exhausted,
                     fixture->now_us);
}

/* As many tasks are claimed as fit, once, and nothing starts before the
   grant.  Meanwhile the slots are kept free from other work.  */
static void
test_claim (void)
{
  static const guint granted[] = { 11, 12 };
  struct claims_fixture fixture;

  fixture_init (&fixture);
  g_assert_cmpuint (fixture.n_claims, ==, 1);
  g_assert_cmpuint (fixture.n_claimed, ==, 2);
  owner_submit_batch (fixture.owner, make_batch ("fedcba9876543210", 1),
                      START_US);
  owner_advance (fixture.owner, fixture.now_us += 50 * USEC_PER_MSEC);
  g_assert_cmpuint (fixture.n_started, ==, 0);
  g_assert_cmpuint (fixture.n_claims, ==, 1);
  grant (&fixture, granted, 2, FALSE);
  g_assert_cmpuint (fixture.n_started, ==, 2);
  g_assert_cmpuint (fixture.batch->n_offered, ==, 1);
  g_assert_cmpuint (fixture.n_claims, ==, 1); /* no slot is free */
  owner_free (fixture.owner);
}

/* Other owners were granted the rest: the slots are free again at once, for
   what comes next in the queue.  */
static void
test_exhausted (void)
{
  static const guint granted[] = { 12 };
  struct claims_fixture fixture;

  fixture_init (&fixture);
  owner_submit_batch (fixture.owner, make_batch ("fedcba9876543210", 1),
                      START_US);
  grant (&fixture, granted, 1, TRUE);
  g_assert_cmpuint (fixture.n_started, ==, 2);
  g_assert_cmpuint (fixture.batch->n_offered, ==, 0);
  g_assert_cmpuint (fixture.n_returned, ==, 0);
  g_assert_false (fixture.has_ended);
  owner_free (fixture.owner);
}

/* Nothing is granted at all.  */
static void
test_nothing_left (void)
{
  struct claims_fixture fixture;

  fixture_init (&fixture);
  grant (&fixture, NULL, 0, TRUE);
  g_assert_true (fixture.has_ended);
  g_assert_cmpint (fixture.end, ==, BATCH_DONE);
  g_assert_cmpuint (fixture.n_started, ==, 0);
  g_assert_cmpfloat (fixture.upstream->used.cpus, ==, 0);
  owner_free (fixture.owner);
}

/* A task that was not offered here, or was granted before, is not started by
   a reply that names it.  */
static void
test_wrong_grant (void)
{
  static const guint granted[] = { 10, 10, 99, 10 };
  struct claims_fixture fixture;

  fixture_init (&fixture);
  grant (&fixture, granted, 4, FALSE);
  g_assert_cmpuint (fixture.n_started, ==, 1);
  g_assert_cmpuint (fixture.batch->n_offered, ==, 2);
  owner_free (fixture.owner);
}

/* The reply to a claim is lost: all tasks go back, since the home may have
   granted any of them.  */
static void
test_lost_reply (void)
{
  struct claims_fixture fixture;

  fixture_init (&fixture);
  owner_claim_failed (fixture.owner, fixture.batch, fixture.now_us);
  g_assert_cmpuint (fixture.n_returned, ==, N_TASKS);
  g_assert_true (fixture.has_ended);
  g_assert_cmpuint (fixture.n_started, ==, 0);
  g_assert_cmpfloat (fixture.upstream->used.cpus, ==, 0);
  owner_free (fixture.owner);
}

/* The offer is withdrawn while a claim is under way.  */
static void
test_withdrawn (void)
{
  struct claims_fixture fixture;

  fixture_init (&fixture);
  owner_stop_batch (fixture.owner, fixture.batch, "withdrawn", fixture.now_us);
  g_assert_true (fixture.has_ended);
  g_assert_cmpint (fixture.end, ==, BATCH_NOT_STARTED);
  g_assert_cmpfloat (fixture.upstream->used.cpus, ==, 0);
  owner_free (fixture.owner);
}

/* Guards against starts in slots that were kept free but are gone when the
   grant arrives, because the upstream has shrunk.  The tasks that don't fit
   wait for it to grow.  */
static void
test_shrink_before_grant (void)
{
  static const guint granted[] = { 11, 12 };
  struct claims_fixture fixture;

  fixture_init (&fixture);
  reshape (&fixture, 1);
  g_assert_cmpuint (fixture.n_started, ==, 0);
  grant (&fixture, granted, 2, TRUE);
  g_assert_cmpuint (fixture.n_started, ==, 1);
  g_assert_cmpuint (fixture.batch->n_queued, ==, 1);
  reshape (&fixture, 2);
  g_assert_cmpuint (fixture.n_started, ==, 2);
  owner_free (fixture.owner);
}

/* Guards against other starts in the place of slots that are still kept free,
   and against claims for slots that are gone, when the upstream has shrunk. */
static void
test_shrink_with_holds (void)
{
  struct claims_fixture fixture;

  fixture_init (&fixture);
  reshape (&fixture, 1);
  owner_submit_batch (fixture.owner, make_batch ("fedcba9876543210", 1),
                      START_US);
  g_assert_cmpuint (fixture.n_started, ==, 0);
  g_assert_cmpuint (fixture.n_claims, ==, 1);
  grant (&fixture, NULL, 0, FALSE);
  g_assert_cmpuint (fixture.n_started, ==, 1);
  g_assert_cmpuint (fixture.n_claims, ==, 1);
  owner_free (fixture.owner);
}

/* Guards against granted tasks that wait until their deadline at an owner
   whose upstreams have become too small for them.  While the claim is not
   answered, it is not known which tasks these are.  */
static void
test_shrink_to_nothing (void)
{
  static const guint granted[] = { 11, 12 };
  struct claims_fixture fixture;

  fixture_init (&fixture);
  reshape (&fixture, 0.5);
  owner_advance (fixture.owner, fixture.now_us += 30 * USEC_PER_MSEC);
  g_assert_cmpuint (fixture.n_returned, ==, 0);
  grant (&fixture, granted, 2, FALSE);
  owner_advance (fixture.owner, fixture.now_us += 30 * USEC_PER_MSEC);
  g_assert_cmpuint (fixture.n_started, ==, 0);
  g_assert_cmpuint (fixture.n_returned, ==, N_TASKS);
  g_assert_true (fixture.has_ended);
  owner_free (fixture.owner);
}

/* The process is paused between claim and grant: what it knew of the upstream
   is old, and nothing starts before the upstream has answered a poll.  */
static void
test_paused (void)
{
  static const guint granted[] = { 10, 11 };
  struct claims_fixture fixture;

  fixture_init (&fixture);
  fixture.now_us += 3 * USEC_PER_SEC;
  grant (&fixture, granted, 2, FALSE);
  g_assert_cmpuint (fixture.n_started, ==, 0);
  g_assert_cmpuint (fixture.batch->n_queued, ==, 2);
  owner_poll_ended (fixture.owner, fixture.upstream, fixture.upstream->n_polls,
                    ORDER_ACCEPTED, &report, fixture.now_us);
  g_assert_cmpuint (fixture.n_started, ==, 2);
  owner_free (fixture.owner);
}

/* The upstream is gone when the grant comes: the tasks wait for another.  */
static void
test_slot_lost (void)
{
  static const guint granted[] = { 10, 11 };
  struct claims_fixture fixture;

  fixture_init (&fixture);
  owner_remove_upstream (fixture.owner, "u", fixture.now_us);
  grant (&fixture, granted, 2, FALSE);
  g_assert_cmpuint (fixture.n_started, ==, 0);
  g_assert_cmpuint (fixture.batch->n_queued, ==, 2);
  owner_return_all_queued (fixture.owner, "s", fixture.now_us);
  g_assert_cmpuint (fixture.n_returned, ==, N_TASKS);
  g_assert_true (fixture.has_ended);
  owner_free (fixture.owner);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/owner-claims/claim", test_claim);
  g_test_add_func ("/owner-claims/exhausted", test_exhausted);
  g_test_add_func ("/owner-claims/nothing-left", test_nothing_left);
  g_test_add_func ("/owner-claims/wrong-grant", test_wrong_grant);
  g_test_add_func ("/owner-claims/lost-reply", test_lost_reply);
  g_test_add_func ("/owner-claims/withdrawn", test_withdrawn);
  g_test_add_func ("/owner-claims/shrink-before-grant",
                   test_shrink_before_grant);
  g_test_add_func ("/owner-claims/shrink-with-holds", test_shrink_with_holds);
  g_test_add_func ("/owner-claims/shrink-to-nothing", test_shrink_to_nothing);
  g_test_add_func ("/owner-claims/paused", test_paused);
  g_test_add_func ("/owner-claims/slot-lost", test_slot_lost);
  return g_test_run ();
}
