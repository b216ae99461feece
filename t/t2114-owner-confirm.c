/* Batches whose home may be unable to tell that it has given them up: no lease
   of their runs may end later than the caller waits, whatever is lost or
   late.  */
#include "coordination/owner_private.h"

#include <string.h>

#define START_US (10 * USEC_PER_SEC)
#define CLOCK_MS 5000 /* of the upstreams at START_US */
#define RESEND_MS 1300
#define DRIFT_PPM 20500
#define STEP_US (20 * USEC_PER_MSEC)

static const struct owner_limits limits = { .lease_ms = 900,
                                            .max_lease_ms = 1000,
                                            .clock_drift_ppm = DRIFT_PPM,
                                            .resend_ms = RESEND_MS };

/* Two upstreams, which answer every order at once.  */
struct bed
{
  struct owner_driver driver;
  struct owner *owner;
  struct owned_upstream *upstreams[2];
  gint64 now_us;
  gint64 lease_end_us[2]; /* the latest that an order has set, if the
                             upstream's clock is as slow as it may be */
  gboolean is_deaf;       /* stops have no effect */
  guint n_started;
  guint n_stops;
  guint n_finished;
  const char *reason; /* why the last one ended; static */
};

static guint
get_slot (const struct owned_upstream *upstream)
{
  return upstream->id[1] - '0';
}

/* An order that is carried out late can set no other lease end than this.  */
static void
note_lease (struct bed *bed, const struct owned_upstream *upstream,
            gint64 until_ms)
{
  gint64 passed_us = (bed->now_us - START_US) * (1000000 - 20000) / 1000000;
  gint64 clock_us = CLOCK_MS * USEC_PER_MSEC + passed_us;
  gint64 left_us = (until_ms * USEC_PER_MSEC - clock_us) * 100 / 98;
  guint slot = get_slot (upstream);

  if (until_ms != 0)
    bed->lease_end_us[slot]
        = MAX (bed->lease_end_us[slot], bed->now_us + left_us);
}

static void
on_start (struct owner_driver *driver, struct run *run, gint64 until_ms)
{
  struct bed *bed = (struct bed *)driver;

  note_lease (bed, run->upstream, until_ms);
  bed->n_started++;
}

static void
on_stop (struct owner_driver *driver, struct run *run)
{
  ((struct bed *)driver)->n_stops++;
}

static void
on_poll (struct owner_driver *driver, struct owned_upstream *upstream,
         gint64 until_ms, guint wait_ms)
{
  note_lease ((struct bed *)driver, upstream, until_ms);
}

static void
on_finish (struct owner_driver *driver, struct batch *batch)
{
  struct bed *bed = (struct bed *)driver;

  bed->n_finished++;
  bed->reason = batch->reason;
  batch_free (batch);
}

static void
on_ownership_ended (struct owner_driver *driver,
                    struct owned_upstream *upstream, gboolean is_fenced)
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
  .finish_batch = on_finish,
  .ownership_ended = on_ownership_ended,
  .wake_at = on_wake_at,
};

/* Answers the poll of UPSTREAM, if one is in flight: it lists the runs that
   are there.  With a deaf upstream these are all, otherwise those that are not
   being stopped.  */
static void
answer_poll (struct bed *bed, struct owned_upstream *upstream)
{
  gint64 passed_us = (bed->now_us - START_US) * (1000000 - 20000) / 1000000;
  struct listed_run running[8];
  struct upstream_report report
      = { .clock_ms = CLOCK_MS + passed_us / USEC_PER_MSEC,
          .instance_start_ms = 1,
          .running = running };
  struct list_node *node;

  if (!upstream->is_polling)
    return;
  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    {
      struct run *run = list_entry (node, struct run, link);

      if (run->state == RUN_RUNNING || bed->is_deaf)
        running[report.n_running++] = (struct listed_run){
          run->name, run->number,
          (guint)((bed->now_us - run->started_us) / (USEC_PER_SEC / 10))
        };
    }
  owner_poll_ended (bed->owner, upstream, upstream->n_polls, ORDER_ACCEPTED,
                    &report, bed->now_us);
}

/* Answers the orders that are in flight.  */
static void
answer_orders (struct bed *bed)
{
  for (guint i = 0; i < G_N_ELEMENTS (bed->upstreams); i++)
    {
      struct owned_upstream *upstream = bed->upstreams[i];
      struct list_node *node;
      struct list_node *after;

      list_for_each (node, after, &upstream->runs)
        {
          struct run *run = list_entry (node, struct run, link);

          if (run->state == RUN_STARTING)
            owner_start_ended (bed->owner, upstream, run->name, run->number,
                               ORDER_ACCEPTED, 0, bed->now_us);
          else if (run->state == RUN_STOPPING && !bed->is_deaf
                   && !run->is_stop_acknowledged)
            owner_stop_ended (bed->owner, upstream, run->name, run->number,
                              ORDER_ACCEPTED, 0, bed->now_us);
        }
      answer_poll (bed, upstream);
    }
}

static void
pass (struct bed *bed, gint64 until_us)
{
  while (bed->now_us < until_us)
    {
      bed->now_us += STEP_US;
      owner_advance (bed->owner, bed->now_us);
      answer_orders (bed);
    }
}

static struct bed *
bed_new (guint n_upstreams)
{
  struct bed *bed = g_new0 (struct bed, 1);

  bed->driver.ops = &ops;
  bed->now_us = START_US;
  bed->owner = owner_new (&bed->driver, &limits);
  for (guint i = 0; i < G_N_ELEMENTS (bed->upstreams); i++)
    {
      g_autofree char *id = g_strdup_printf ("u%u", i);
      const struct listed_upstream spec
          = { .id = id,
              .address = "127.0.0.1:1",
              .service = "s",
              .rack = "",
              .availability_zone = "z",
              .shape = { .cpus = i < n_upstreams ? 2 : 0 },
              .instance_start_ms = 1 };

      bed->upstreams[i]
          = owner_take_upstream (bed->owner, &spec, 1, bed->now_us);
    }
  pass (bed, START_US + STEP_US);
  return bed;
}

static void
bed_free (struct bed *bed)
{
  owner_free (bed->owner);
  g_free (bed);
}

/* A task of one CPU that takes ten seconds, of a job of HOME that is known to
   have wanted it at CONFIRMED_US.  */
static struct batch *
make_batch (const char *home, gint64 confirmed_us)
{
  g_autofree char *job = g_strdup_printf ("job-of-%s", home);
  struct batch *batch = batch_new (job, home, 1);

  batch->service = g_strdup ("s");
  batch->spec = g_strdup ("");
  batch->need.cpus = 1;
  batch->estimate_us = 10 * USEC_PER_SEC;
  batch->start_by_us = START_US + 60 * USEC_PER_SEC;
  batch->confirmed_us = confirmed_us;
  return batch;
}

/* No order allows a run of this batch to last until its caller may come
   again.  */
static void
assert_bound (const struct bed *bed, guint slot, gint64 confirmed_us)
{
  g_assert_cmpint (bed->lease_end_us[slot], <=,
                   confirmed_us + RESEND_MS * USEC_PER_MSEC);
}

/* The home has given the job up and no message of it arrives any more, nor do
   stops reach the upstream: the lease must end in time.  */
static void
test_silent_home (void)
{
  struct bed *bed = bed_new (1);
  gint64 confirmed_us = bed->now_us;

  bed->is_deaf = TRUE;
  owner_submit_batch (bed->owner, make_batch ("a", confirmed_us), bed->now_us);
  g_assert_cmpuint (bed->n_started, ==, 1);
  pass (bed, confirmed_us + 3 * USEC_PER_SEC);
  g_assert_cmpuint (bed->n_stops, >, 0);
  assert_bound (bed, 0, confirmed_us);
  bed_free (bed);
}

/* The same with an upstream that obeys: the run is stopped before.  A
   confirmation that comes later does not bring it back.  */
static void
test_stopped_in_time (void)
{
  struct bed *bed = bed_new (1);
  gint64 confirmed_us = bed->now_us;
  struct batch *batch = make_batch ("a", confirmed_us);

  owner_submit_batch (bed->owner, batch, bed->now_us);
  pass (bed, confirmed_us + 500 * USEC_PER_MSEC);
  g_assert_cmpuint (bed->n_stops, ==, 0);
  bed->is_deaf = TRUE;
  pass (bed, confirmed_us + 1100 * USEC_PER_MSEC);
  g_assert_cmpuint (bed->n_stops, >, 0);
  owner_confirm_batch (bed->owner, batch, bed->now_us, bed->now_us);
  pass (bed, confirmed_us + 1200 * USEC_PER_MSEC);
  assert_bound (bed, 0, confirmed_us);
  bed->is_deaf = FALSE;
  pass (bed, confirmed_us + 1500 * USEC_PER_MSEC);
  g_assert_cmpuint (bed->n_finished, ==, 1);
  g_assert_true (bed->reason == owner_reason_unconfirmed);
  g_assert_cmpuint (bed->n_started, ==, 1);
  bed_free (bed);
}

/* This VM is paused: a confirmation that it finds on waking was meant for a
   time that is over.  */
static void
test_found_after_pause (void)
{
  struct bed *bed = bed_new (1);
  gint64 confirmed_us = bed->now_us;
  struct batch *batch = make_batch ("a", confirmed_us);

  owner_submit_batch (bed->owner, batch, bed->now_us);
  pass (bed, confirmed_us + 100 * USEC_PER_MSEC);
  bed->now_us += 2 * USEC_PER_SEC;
  owner_confirm_batch (bed->owner, batch, bed->now_us, bed->now_us);
  bed->is_deaf = TRUE;
  pass (bed, bed->now_us + 200 * USEC_PER_MSEC);
  g_assert_cmpuint (bed->n_stops, >, 0);
  assert_bound (bed, 0, confirmed_us);
  bed_free (bed);
}

/* A home that is heard, if up to 400 ms late, loses nothing.  */
static void
test_kept (void)
{
  struct bed *bed = bed_new (1);
  struct batch *batch = make_batch ("a", bed->now_us);

  owner_submit_batch (bed->owner, batch, bed->now_us);
  for (guint i = 0; i < 20; i++)
    {
      pass (bed, bed->now_us + 200 * USEC_PER_MSEC);
      owner_confirm_batch (bed->owner, batch,
                           bed->now_us - 400 * USEC_PER_MSEC, bed->now_us);
      g_assert_cmpint (bed->lease_end_us[0], >,
                       bed->now_us + 300 * USEC_PER_MSEC);
    }
  g_assert_cmpuint (bed->n_stops, ==, 0);
  bed_free (bed);
}

/* A renewal or a start on an upstream prolongs all runs there: those of other
   homes must not keep the run of a silent one alive.  */
static void
test_shared_upstream (void)
{
  struct bed *bed = bed_new (1);
  gint64 confirmed_us = bed->now_us;
  struct batch *other = make_batch ("b", confirmed_us);

  owner_submit_batch (bed->owner, make_batch ("a", confirmed_us), bed->now_us);
  pass (bed, confirmed_us + 700 * USEC_PER_MSEC);
  other->confirmed_us = bed->now_us;
  bed->is_deaf = TRUE;
  owner_submit_batch (bed->owner, other, bed->now_us);
  while (bed->now_us < confirmed_us + 1250 * USEC_PER_MSEC)
    {
      owner_confirm_batch (bed->owner, other, bed->now_us, bed->now_us);
      pass (bed, bed->now_us + 100 * USEC_PER_MSEC);
    }
  assert_bound (bed, 0, confirmed_us);
  bed_free (bed);
}

/* A lease that an order has set there already would prolong the run of a batch
   that was confirmed long ago: it starts on another upstream.  */
static void
test_longer_lease (void)
{
  struct bed *bed = bed_new (2);
  gint64 confirmed_us = bed->now_us;
  struct batch *fresh = make_batch ("b", 0);

  pass (bed, confirmed_us + 600 * USEC_PER_MSEC);
  fresh->confirmed_us = bed->now_us;
  owner_submit_batch (bed->owner, fresh, bed->now_us);
  g_assert_cmpuint (bed->n_started, ==, 1);
  owner_submit_batch (bed->owner, make_batch ("a", confirmed_us), bed->now_us);
  g_assert_cmpuint (bed->n_started, ==, 2);
  g_assert_cmpuint (bed->upstreams[0]->n_runs, ==, 1);
  g_assert_cmpuint (bed->upstreams[1]->n_runs, ==, 1);
  for (guint i = 0; i < 2; i++)
    if (list_entry (bed->upstreams[i]->runs.next, struct run, link)
            ->task->batch
        != fresh)
      assert_bound (bed, i, confirmed_us);
  bed_free (bed);
}

/* The upstream's clock is slow, and callers wait for long: the time between
   the two clocks counts.  */
static void
test_slow_clock (void)
{
  struct bed *bed = bed_new (1);
  gint64 confirmed_us = bed->now_us;

  bed->is_deaf = TRUE;
  bed->owner->limits.resend_ms = 10 * RESEND_MS;
  bed->owner->limits.lease_ms = 10 * RESEND_MS;
  owner_submit_batch (bed->owner, make_batch ("a", confirmed_us), bed->now_us);
  g_assert_cmpint (bed->lease_end_us[0], >,
                   confirmed_us + 9 * RESEND_MS * USEC_PER_MSEC);
  g_assert_cmpint (bed->lease_end_us[0], <=,
                   confirmed_us + 10 * RESEND_MS * USEC_PER_MSEC);
  bed_free (bed);
}

/* The home is this VM, which does not handle events for a while: its caller
   may have left.  */
static void
test_own_pause (void)
{
  struct bed *bed = bed_new (1);
  struct batch *batch = make_batch ("own", 0);
  gint64 settled_us = bed->now_us;

  batch->is_local = TRUE;
  owner_confirm_local (bed->owner, settled_us);
  owner_submit_batch (bed->owner, batch, bed->now_us);
  g_assert_cmpuint (bed->n_started, ==, 1);
  pass (bed, settled_us + 3 * USEC_PER_SEC);
  assert_bound (bed, 0, settled_us);
  owner_confirm_local (bed->owner, bed->now_us);
  pass (bed, bed->now_us + 300 * USEC_PER_MSEC);
  g_assert_cmpint (bed->lease_end_us[0], >, bed->now_us);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/owner-confirm/silent-home", test_silent_home);
  g_test_add_func ("/owner-confirm/stopped-in-time", test_stopped_in_time);
  g_test_add_func ("/owner-confirm/found-after-pause", test_found_after_pause);
  g_test_add_func ("/owner-confirm/kept", test_kept);
  g_test_add_func ("/owner-confirm/shared-upstream", test_shared_upstream);
  g_test_add_func ("/owner-confirm/longer-lease", test_longer_lease);
  g_test_add_func ("/owner-confirm/slow-clock", test_slow_clock);
  g_test_add_func ("/owner-confirm/own-pause", test_own_pause);
  return g_test_run ();
}
