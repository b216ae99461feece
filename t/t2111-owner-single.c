/* Single decisions of the owner, with one upstream.  */
#include "coordination/owner.h"

#define START_US (1000 * USEC_PER_SEC)
#define LEASE_MS 900

/* The names of the tasks of make_batch () and make_other_batch ().  */
#define TASK "0123456789abcdef.0.0.0"
#define OTHER_TASK "fedcba9876543210.0.0.0"

struct single_bed
{
  struct owner_driver driver;
  gint64 wake_us;
  guint n_asks;
  guint wait_ms; /* of the latest ask */
  guint n_stops;
  guint n_returned;   /* tasks */
  enum batch_end end; /* of the latest batch that has ended */
  guint n_ended;
  guint n_starts;
  char *started_on; /* id of the upstream of the latest start */
};

static void
on_start (struct owner_driver *driver, struct run *run, gint64 until_ms)
{
  struct single_bed *bed = (struct single_bed *)driver;

  bed->n_starts++;
  g_free (bed->started_on);
  bed->started_on = g_strdup (run->upstream->id);
}

static void
on_stop (struct owner_driver *driver, struct run *run)
{
  ((struct single_bed *)driver)->n_stops++;
}

static void
on_ask (struct owner_driver *driver, struct owned_upstream *upstream,
        gint64 until_ms, guint wait_ms)
{
  ((struct single_bed *)driver)->n_asks++;
  ((struct single_bed *)driver)->wait_ms = wait_ms;
}

static void
on_return (struct owner_driver *driver, struct batch *batch,
           const guint *indexes, guint n_tasks)
{
  ((struct single_bed *)driver)->n_returned += n_tasks;
}

static void
on_finish (struct owner_driver *driver, struct batch *batch)
{
  ((struct single_bed *)driver)->end = batch->end;
  ((struct single_bed *)driver)->n_ended++;
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
  ((struct single_bed *)driver)->wake_us = when_us;
}

static const struct owner_driver_ops ops = {
  .start_run = on_start,
  .stop_run = on_stop,
  .poll = on_ask,
  .return_tasks = on_return,
  .finish_batch = on_finish,
  .ownership_ended = on_lost,
  .wake_at = on_wake_at,
};

static struct batch *
make_batch (void)
{
  struct batch *batch = batch_new ("0123456789abcdef", "home", 1);

  batch->service = g_strdup ("s");
  batch->spec = g_strdup ("");
  batch->need.cpus = 1;
  batch->estimate_us = USEC_PER_SEC;
  batch->start_by_us = START_US + USEC_PER_SEC;
  return batch;
}

/* The same of another job.  */
static struct batch *
make_other_batch (void)
{
  struct batch *batch = make_batch ();

  g_free (batch->job);
  batch->job = g_strdup ("fedcba9876543210");
  return batch;
}

static const struct owner_limits limits
    = { .lease_ms = LEASE_MS, .max_lease_ms = 1000 };
static const struct upstream_report report
    = { .clock_ms = 5000, .instance_start_ms = 1 };

/* Takes the upstream ID on RACK, which answers.  */
static struct owned_upstream *
take_on (struct owner *owner, const char *id, const char *rack)
{
  const struct listed_upstream spec = { .id = id,
                                        .address = "127.0.0.1:1",
                                        .service = "s",
                                        .rack = rack,
                                        .availability_zone = "z",
                                        .shape = { .cpus = 2 },
                                        .instance_start_ms = 1 };
  struct owned_upstream *upstream
      = owner_take_upstream (owner, &spec, 1, START_US);

  owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_ACCEPTED,
                    &report, START_US);
  return upstream;
}

static struct owned_upstream *
take (struct owner *owner)
{
  return take_on (owner, "u", "");
}

static void
finish (struct single_bed *bed, struct owner *owner)
{
  owner_free (owner);
  g_clear_pointer (&bed->started_on, g_free);
}

/* An ask that waits at the upstream must not keep the loop turning.  */
static void
test_asking (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US;

  owner_submit_batch (owner, make_batch (), now_us);
  owner_start_ended (owner, upstream, TASK, 1, ORDER_ACCEPTED, 5000, now_us);
  owner_advance (owner, now_us += 30 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_asks, ==, 2);
  owner_submit_batch (owner, make_other_batch (), now_us);
  owner_start_ended (owner, upstream, OTHER_TASK, 1, ORDER_ACCEPTED, 5030,
                     now_us);
  for (guint i = 0; i < 10; i++)
    {
      owner_advance (owner, now_us += 15 * USEC_PER_MSEC);
      g_assert_cmpint (bed.wake_us, >=, now_us + USEC_PER_MSEC);
    }
  g_assert_cmpuint (bed.n_asks, ==, 2);
  finish (&bed, owner);
}

/* The only upstream has left orders without an answer and answers again: it
   tells of room for the run that tries it, or nobody ever would.  */
static void
test_all_on_trial (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US;
  struct owner_room room;

  for (guint i = 0; i < 3; i++)
    {
      owner_advance (owner, now_us += 1100 * USEC_PER_MSEC);
      owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_UNANSWERED,
                        NULL, now_us);
    }
  for (guint i = 0; i < 20; i++)
    {
      owner_advance (owner, now_us += 400 * USEC_PER_MSEC);
      owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_ACCEPTED,
                        &report, now_us);
    }
  g_assert_true (upstream->is_on_probation);
  owner_get_room (owner, "s", &room, now_us);
  g_assert_cmpuint (room.n_slots, ==, 1);
  g_assert_cmpuint (free_slots_count (&room.free_slots, 1), ==, 1);
  finish (&bed, owner);
}

/* An upstream that was away for seconds gets runs again as soon as it answers:
   its rest must not grow with each poll of the outage.  */
static void
test_one_rest_an_outage (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US;

  for (guint i = 0; i < 20; i++)
    {
      owner_advance (owner, now_us += 160 * USEC_PER_MSEC);
      owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_UNANSWERED,
                        NULL, now_us);
    }
  g_assert_cmpint (upstream->state, ==, OWNED_UNRESPONSIVE);
  owner_advance (owner, now_us += 160 * USEC_PER_MSEC);
  owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_ACCEPTED,
                    &report, now_us);
  owner_submit_batch (owner, make_batch (), now_us);
  g_assert_cmpstr (bed.started_on, ==, "u");
  finish (&bed, owner);
}

/* Queues a batch that has to start within START_S seconds.  */
static struct batch *
queue (struct owner *owner, guint priority, guint start_s)
{
  struct batch *batch = make_batch ();

  batch->priority = priority;
  batch->start_by_us = START_US + start_s * USEC_PER_SEC;
  owner_submit_batch (owner, batch, START_US);
  return batch;
}

/* Takes all queued batches off the queue; they must be the N of BATCHES, in
   that order.  */
static void
assert_queued (struct owner *owner, struct batch *const *batches, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      g_assert_true (owner_get_first_queued (owner) == batches[i]);
      owner_stop_batch (owner, batches[i], "test", START_US);
    }
  g_assert_null (owner_get_first_queued (owner));
}

/* Lateness goes before priority, and that before the objective.  */
static void
test_queue_order (void)
{
  for (guint pass = 0; pass < 2; pass++)
    {
      struct single_bed bed = { .driver.ops = &ops };
      struct owner *owner = owner_new (&bed.driver, &limits);
      struct batch *low = queue (owner, 2, 1);
      struct batch *normal = queue (owner, 1, 4);
      struct batch *urgent = queue (owner, 1, 2);
      struct batch *first = queue (owner, 0, 5);
      struct batch *in_time[] = { first, urgent, normal, low };
      struct batch *after_3_s[] = { first, normal, urgent, low };

      if (pass == 1)
        owner_advance (owner, START_US + 3 * USEC_PER_SEC);
      assert_queued (owner, pass == 1 ? after_3_s : in_time, 4);
      finish (&bed, owner);
    }
}

/* The batch of two processors a task, number NUMBER of its job, whose
   objective is START_BY_US after the start.  */
static struct batch *
make_wide (guint number, gint64 start_by_us)
{
  struct batch *batch = make_batch ();

  batch->number = number;
  batch->need.cpus = 2;
  batch->start_by_us = START_US + start_by_us;
  return batch;
}

/* A job that is late goes behind the others, unless some of it has begun. */
static void
test_late_part (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct batch *part = make_wide (1, 10 * USEC_PER_MSEC);
  gint64 now_us = START_US;

  take (owner);
  owner_submit_batch (owner, make_wide (0, 0), now_us);
  owner_submit_batch (owner, make_wide (2, 20 * USEC_PER_MSEC), now_us);
  part->is_part = TRUE;
  owner_submit_batch (owner, part, now_us);
  owner_submit_batch (owner, make_wide (3, USEC_PER_SEC), now_us);
  g_assert_cmpuint (owner_get_first_queued (owner)->number, ==, 1);
  owner_advance (owner, now_us += 100 * USEC_PER_MSEC);
  g_assert_cmpuint (owner_get_first_queued (owner)->number, ==, 1);
  owner_stop_batch (owner, part, "test", now_us);
  g_assert_cmpuint (owner_get_first_queued (owner)->number, ==, 3);
  finish (&bed, owner);
}

/* The same for the tasks of a batch that wait for the first ones.  */
static void
test_late_begun (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct batch *begun = batch_new ("fedcba9876543210", "home", 2);
  gint64 now_us = START_US;

  take (owner);
  begun->service = g_strdup ("s");
  begun->spec = g_strdup ("");
  begun->need.cpus = 2;
  begun->estimate_us = USEC_PER_SEC;
  begun->start_by_us = START_US;
  begun->tasks[1].index = 1;
  owner_submit_batch (owner, begun, now_us);
  owner_submit_batch (owner, make_wide (1, USEC_PER_SEC), now_us);
  owner_advance (owner, now_us + 100 * USEC_PER_MSEC);
  g_assert_true (owner_get_first_queued (owner) == begun);
  finish (&bed, owner);
}

/* Starts of a job that is late when it arrives count for the least urgent
   priority: less urgent jobs in time would seem to be left fewer otherwise,
   and be refused.  */
static void
test_late_start (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owner_room room;

  take (owner);
  owner_submit_batch (owner, make_wide (0, 0), START_US);
  owner_get_room (owner, "s", &room, START_US + 200 * USEC_PER_MSEC);
  g_assert_cmpuint (room.n_running, ==, 1);
  g_assert_cmpfloat (room.starts_per_s[0], ==, 0);
  g_assert_cmpfloat (room.starts_per_s[ROOM_PRIORITIES - 1], >, 0);
  finish (&bed, owner);
}

/* A task runs on the rack that it names, unless there is no room.  */
static void
test_rack (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  const char *const racks[] = { "r1", "r2", "r1", "r2" };
  const char *const expected[] = { "u1", "u2", "u1", "u2" };

  take_on (owner, "u1", "r1");
  take_on (owner, "u2", "r2");
  for (guint i = 0; i < G_N_ELEMENTS (racks); i++)
    {
      struct batch *batch = make_batch ();

      batch->affinity = g_strdup (racks[i]);
      batch->far_factor = 3;
      owner_submit_batch (owner, batch, START_US);
      g_assert_cmpstr (bed.started_on, ==, expected[i]);
    }
  finish (&bed, owner);
}

/* An upstream that has been replaced refuses its former name each time: it
   must not be asked again at once.  */
static void
test_replaced (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US + 2 * USEC_PER_SEC;

  for (guint i = 0; i < 1000; i++)
    {
      owner_advance (owner, now_us += USEC_PER_MSEC);
      if (upstream->is_polling)
        owner_poll_ended (owner, upstream, upstream->n_polls,
                          ORDER_OTHER_INSTANCE, NULL, now_us);
    }
  g_assert_cmpuint (bed.n_asks, <, 1000 / 100);
  finish (&bed, owner);
}

/* Answers the latest poll of UPSTREAM: the only task runs and has done
   PERCENT, or does not run if that is negative.  */
static void
answer_ask (struct owner *owner, struct owned_upstream *upstream, int percent,
            gint64 now_us)
{
  const struct listed_run running
      = { .name = TASK, .run_number = 1, .percent = (guint)MAX (percent, 0) };
  const struct upstream_report answer = {
    .clock_ms = 5000 + (now_us - START_US) / USEC_PER_MSEC,
    .instance_start_ms = 1,
    .running = &running,
    .n_running = percent < 0 ? 0 : 1,
  };

  owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_ACCEPTED,
                    &answer, now_us);
}

/* Starts the only task, of a second, and has it listed at 10 percent after
   100 ms.  Returns that time.  */
static gint64
begin_task (struct single_bed *bed, struct owner *owner,
            struct owned_upstream *upstream)
{
  gint64 now_us = START_US;

  owner_submit_batch (owner, make_batch (), now_us);
  owner_start_ended (owner, upstream, TASK, 1, ORDER_ACCEPTED, 5000, now_us);
  owner_advance (owner, now_us += 20 * USEC_PER_MSEC);
  g_assert_cmpuint (bed->wait_ms, >, 0);
  answer_ask (owner, upstream, 10, now_us += 80 * USEC_PER_MSEC);
  return now_us;
}

/* A poll that gets no answer tells nothing of the progress of a task.  */
static void
test_silence (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = begin_task (&bed, owner, upstream);

  for (guint i = 0; i < 40; i++)
    owner_advance (owner, now_us += 20 * USEC_PER_MSEC);
  owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_UNANSWERED, NULL,
                    now_us);
  owner_advance (owner, now_us + 20 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_stops, ==, 0);
  g_assert_cmpint (upstream->rest_until_us, ==, 0);
  finish (&bed, owner);
}

/* A task that is listed without progress is stopped.  */
static void
test_stall (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = begin_task (&bed, owner, upstream);

  for (guint i = 0; i < 50 && bed.n_stops == 0; i++)
    {
      owner_advance (owner, now_us += 20 * USEC_PER_MSEC);
      if (upstream->is_polling)
        answer_ask (owner, upstream, 10, now_us);
    }
  g_assert_cmpuint (bed.n_stops, ==, 1);
  g_assert_cmpint (upstream->rest_until_us, >, now_us);
  finish (&bed, owner);
}

/* Orders without an answer: when a task should have ended, the upstream is
   asked again, and must answer at once.  */
static void
test_overdue_end (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = begin_task (&bed, owner, upstream);
  const struct listed_end ended
      = { .entry_number = 1, .name = TASK, .run_number = 1, .end = RUN_DONE };
  const struct upstream_report answer = {
    .clock_ms = 6300, .instance_start_ms = 1, .ended = &ended, .n_ended = 1
  };
  guint n_asks;

  /* It should take a second in all.  */
  while (now_us < START_US + 900 * USEC_PER_MSEC)
    {
      owner_advance (owner, now_us += 20 * USEC_PER_MSEC);
      if (upstream->is_polling)
        answer_ask (owner, upstream,
                    (int)((now_us - START_US) / (10 * USEC_PER_MSEC)), now_us);
    }
  owner_advance (owner, now_us += 20 * USEC_PER_MSEC);
  n_asks = bed.n_asks;
  g_assert_cmpuint (bed.wait_ms, >, 0);
  while (now_us < START_US + 1200 * USEC_PER_MSEC)
    owner_advance (owner, now_us += 20 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_asks, ==, n_asks + 1);
  g_assert_cmpuint (bed.wait_ms, ==, 0);
  /* The answer to the former poll comes after all: its ends count.  */
  owner_poll_ended (owner, upstream, upstream->n_polls - 1, ORDER_ACCEPTED,
                    &answer, now_us);
  g_assert_cmpuint (bed.n_ended, ==, 1);
  g_assert_cmpint (bed.end, ==, BATCH_DONE);
  finish (&bed, owner);
}

/* Orders without an answer: a start that a later poll does not list is stopped
   and made elsewhere, without waiting for its timeout, and one such upstream
   goes on getting runs.  */
static void
test_lost_start (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *first = take_on (owner, "u1", "");
  struct owned_upstream *upstream;
  gint64 now_us = START_US;

  take_on (owner, "u2", "");
  owner_submit_batch (owner, make_batch (), now_us);
  upstream = g_str_equal (bed.started_on, "u1")
                 ? first
                 : owner_find_upstream (owner, "u2");
  while (now_us < START_US + 100 * USEC_PER_MSEC)
    {
      owner_advance (owner, now_us += 20 * USEC_PER_MSEC);
      if (upstream->is_polling && bed.wait_ms == 0)
        answer_ask (owner, upstream, -1, now_us);
    }
  g_assert_cmpuint (bed.n_stops, ==, 1);
  owner_stop_ended (owner, upstream, TASK, 1, ORDER_REJECTED, 0, now_us);
  answer_ask (owner, upstream, -1, now_us);
  g_assert_cmpuint (upstream->n_runs, ==, 0);
  g_assert_cmpint (upstream->rest_until_us, ==, 0);
  g_assert_cmpint (now_us, <, START_US + 150 * USEC_PER_MSEC);
  finish (&bed, owner);
}

#define ANSWER_MS 3

/* Guards against a lost start that is noticed later since it takes two polls:
   where answers are quick, it is known as soon as a poll is answered that was
   sent when the answer was overdue.  Three polls are sent before it is
   stopped, one of which is held and replaced, and one after it.  */
static void
test_lost_start_early (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US;
  guint n_asks;

  n_asks = bed.n_asks;
  for (guint i = 0; i < 10; i++)
    answer_time_note (&upstream->start_answers, ANSWER_MS * USEC_PER_MSEC);
  owner_submit_batch (owner, make_batch (), now_us);
  for (guint i = 0; i < 50 && bed.n_stops == 0; i++)
    {
      now_us += USEC_PER_MSEC;
      if (upstream->is_polling && bed.wait_ms == 0
          && upstream->polled_us + ANSWER_MS * USEC_PER_MSEC <= now_us)
        answer_ask (owner, upstream, -1, now_us);
      else if (bed.wake_us <= now_us)
        owner_advance (owner, now_us);
    }
  g_assert_cmpuint (bed.n_stops, ==, 1);
  g_assert_cmpint (now_us, ==,
                   START_US + ANSWER_TIMEOUT_MIN_US
                       + ANSWER_MS * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_asks, ==, n_asks + 4);
  finish (&bed, owner);
}

/* Guards against a lost start that is noticed only after the time-out of a
   poll, since the first poll that checked on it was lost too: it is sent again
   when the answer to the start is overdue.  Also guards against polls that are
   replaced again and again, so that a silent upstream never counts as
   unresponsive.  */
static void
test_lost_check (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US;
  guint n_asks = bed.n_asks;

  for (guint i = 0; i < 10; i++)
    answer_time_note (&upstream->start_answers, ANSWER_MS * USEC_PER_MSEC);
  owner_submit_batch (owner, make_batch (), now_us);
  owner_advance (owner, now_us + ANSWER_CHECK_MIN_US);
  g_assert_cmpuint (bed.n_asks, ==, n_asks + 1);
  owner_advance (owner, now_us += ANSWER_TIMEOUT_MIN_US);
  g_assert_cmpuint (bed.n_asks, ==, n_asks + 2);
  owner_submit_batch (owner, make_other_batch (), now_us);
  owner_advance (owner, now_us += ANSWER_CHECK_MIN_US);
  owner_advance (owner, now_us += ANSWER_CHECK_MIN_US);
  g_assert_cmpuint (bed.n_asks, ==, n_asks + 2);
  answer_ask (owner, upstream, -1, now_us += USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_asks, ==, n_asks + 3);
  answer_ask (owner, upstream, -1, now_us + ANSWER_MS * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_stops, ==, 1);
  finish (&bed, owner);
}

/* Guards against a task that is run twice since a worker that was scheduled
   late has answered a poll before a start that was sent earlier, on another
   connection: the next poll, which is answered at once too, lists the run.  */
static void
test_overtaken_start (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US;

  owner_submit_batch (owner, make_batch (), now_us);
  owner_advance (owner, now_us += 40 * USEC_PER_MSEC);
  g_assert_true (upstream->is_polling);
  g_assert_cmpuint (bed.wait_ms, ==, 0);
  answer_ask (owner, upstream, -1, now_us += 60 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_stops, ==, 0);
  g_assert_true (upstream->is_polling);
  g_assert_cmpuint (bed.wait_ms, ==, 0);
  answer_ask (owner, upstream, 0, now_us += USEC_PER_MSEC);
  owner_start_ended (owner, upstream, TASK, 1, ORDER_ACCEPTED, 5100, now_us);
  owner_advance (owner, now_us + 20 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_stops, ==, 0);
  g_assert_cmpuint (upstream->n_runs, ==, 1);
  finish (&bed, owner);
}

/* Guards against a task that is run twice since its start order had to wait
   for its connection: polls that were sent before the order was written tell
   nothing of it.  */
static void
test_delayed_start (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US;

  owner_submit_batch (owner, make_batch (), now_us);
  owner_advance (owner, now_us += 40 * USEC_PER_MSEC);
  answer_ask (owner, upstream, -1, now_us += 60 * USEC_PER_MSEC);
  g_assert_true (upstream->is_polling);
  g_assert_true (owner_start_sending (owner, upstream, TASK, 1, now_us));
  answer_ask (owner, upstream, -1, now_us += USEC_PER_MSEC);
  g_assert_cmpuint (bed.wait_ms, >, 0);
  owner_advance (owner, now_us += 45 * USEC_PER_MSEC);
  g_assert_true (upstream->is_polling);
  g_assert_cmpuint (bed.wait_ms, ==, 0);
  answer_ask (owner, upstream, -1, now_us += USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_stops, ==, 0);
  answer_ask (owner, upstream, 1, now_us += USEC_PER_MSEC);
  owner_start_ended (owner, upstream, TASK, 1, ORDER_ACCEPTED, 5100, now_us);
  g_assert_cmpuint (bed.n_stops, ==, 0);
  g_assert_cmpuint (upstream->n_runs, ==, 1);
  finish (&bed, owner);
}

/* Guards against a start order that is written after its run was stopped: it
   had to wait for its connection until the run counted as lost.  */
static void
test_start_not_wanted (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US;

  owner_submit_batch (owner, make_batch (), now_us);
  for (guint i = 0; i < 10 && bed.n_stops == 0; i++)
    {
      owner_advance (owner, now_us += 20 * USEC_PER_MSEC);
      if (upstream->is_polling && bed.wait_ms == 0)
        answer_ask (owner, upstream, -1, now_us);
    }
  g_assert_cmpuint (bed.n_stops, ==, 1);
  g_assert_false (owner_start_sending (owner, upstream, TASK, 1, now_us));
  owner_start_ended (owner, upstream, TASK, 1, ORDER_REJECTED, 0, now_us);
  g_assert_cmpuint (upstream->n_runs, ==, 1);
  g_assert_cmpuint (bed.n_starts, ==, 2);
  finish (&bed, owner);
}

/* A new owner does not prolong what runs on an upstream for the former one. */
static void
test_foreign_run (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  gint64 now_us = START_US + USEC_PER_SEC;

  owner_advance (owner, now_us);
  answer_ask (owner, upstream, 10, now_us);
  g_assert_cmpuint (upstream->n_foreign, ==, 1);
  owner_advance (owner, now_us + 20 * USEC_PER_MSEC);
  g_assert_true (upstream->is_polling);
  g_assert_cmpint (upstream->leased_until_ms, ==, 0);
  finish (&bed, owner);
}

/* A burst: an owner without a free slot returns on arrival what was given to
   it for one, so that its home can try others.  What may wait is queued, and
   what finds a slot is started.  */
static void
test_full_queue (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct batch *first = make_wide (0, USEC_PER_SEC);
  struct batch *patient = make_wide (1, USEC_PER_SEC);
  struct batch *hasty = make_wide (2, USEC_PER_SEC);

  take (owner);
  first->needs_free_slots = TRUE;
  owner_submit_batch (owner, first, START_US);
  g_assert_nonnull (bed.started_on);
  owner_submit_batch (owner, patient, START_US);
  g_assert_cmpuint (bed.n_returned, ==, 0);
  hasty->needs_free_slots = TRUE;
  owner_submit_batch (owner, hasty, START_US);
  g_assert_cmpuint (bed.n_returned, ==, 1);
  g_assert_true (owner_get_first_queued (owner) == patient);
  finish (&bed, owner);
}

/* A burst: what is late and has no chance behind the batches in time is given
   up at once, not at its end.  */
static void
test_hopeless (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct batch *late = make_wide (1, 50 * USEC_PER_MSEC);
  gint64 now_us = START_US;

  take (owner);
  late->end_by_us = START_US + USEC_PER_SEC;
  owner_submit_batch (owner, make_wide (0, USEC_PER_SEC), now_us);
  owner_submit_batch (owner, late, now_us);
  owner_advance (owner, now_us += 100 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_ended, ==, 0);
  owner_submit_batch (owner, make_wide (2, USEC_PER_SEC), now_us);
  owner_advance (owner, now_us + 30 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_ended, ==, 1);
  g_assert_cmpint (bed.end, ==, BATCH_NOT_STARTED);
  finish (&bed, owner);
}

/* Another instance of an upstream may run on another machine: what was known
   of the former one's speed and successes no longer counts.  */
static void
test_speed_of_instance (void)
{
  const struct owner_limits by_speed = { .lease_ms = LEASE_MS,
                                         .max_lease_ms = 1000,
                                         .placement_by_speed = TRUE };
  const struct listed_end end = { 1, TASK, 1, RUN_DONE };
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &by_speed);
  struct owned_upstream *upstream = take (owner);
  struct upstream_report ended = report;
  gint64 now_us = START_US;

  owner_submit_batch (owner, make_batch (), now_us);
  owner_start_ended (owner, upstream, TASK, 1, ORDER_ACCEPTED, 5000, now_us);
  owner_advance (owner, now_us += 450 * USEC_PER_MSEC);
  ended.ended = &end;
  ended.n_ended = 1;
  owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_ACCEPTED, &ended,
                    now_us);
  g_assert_cmpfloat (upstream->slowness, <, 1);
  g_assert_cmpint (upstream->succeeded_us, ==, now_us);
  owner_advance (owner, now_us += 400 * USEC_PER_MSEC);
  ended = report;
  ended.instance_start_ms = report.instance_start_ms + 1;
  owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_ACCEPTED, &ended,
                    now_us);
  g_assert_cmpfloat (upstream->slowness, ==, 1);
  g_assert_cmpint (upstream->succeeded_us, ==, 0);
  finish (&bed, owner);
}

/* Guards against upstreams that count as slow because this VM was paused while
   their runs lasted: whether the end is heard first after the pause, or after
   another call.  */
static void
test_speed_after_pause (gconstpointer by_other_call)
{
  const struct owner_limits by_speed = { .lease_ms = LEASE_MS,
                                         .max_lease_ms = 1000,
                                         .placement_by_speed = TRUE };
  const struct listed_end end = { 1, TASK, 1, RUN_DONE };
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &by_speed);
  struct owned_upstream *upstream = take (owner);
  struct upstream_report ended = report;
  gint64 now_us = START_US;

  owner_submit_batch (owner, make_batch (), now_us);
  owner_start_ended (owner, upstream, TASK, 1, ORDER_ACCEPTED, 5000, now_us);
  owner_advance (owner, now_us += 30 * USEC_PER_MSEC);
  now_us += 4 * USEC_PER_SEC;
  if (by_other_call != NULL)
    owner_advance (owner, now_us);
  ended.ended = &end;
  ended.n_ended = 1;
  owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_ACCEPTED, &ended,
                    now_us);
  g_assert_cmpint (upstream->succeeded_us, ==, now_us);
  g_assert_cmpfloat (upstream->slowness, ==, 1);
  finish (&bed, owner);
}

/* A task that has failed waits for an upstream with a recent success.  Guards
   against a wait for one that can never run it: it lacks the required label,
   or is too small.  Twelve such batches would block the queue.  */
static void
test_unsuitable_proven (gconstpointer by_label)
{
  const struct owner_limits by_speed = { .lease_ms = LEASE_MS,
                                         .max_lease_ms = 1000,
                                         .placement_by_speed = TRUE };
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &by_speed);
  struct owned_upstream *suitable = take_on (owner, "suitable", "");
  struct owned_upstream *proven = take_on (owner, "proven", "");
  struct batch *batch = make_batch ();

  proven->succeeded_us = START_US;
  if (by_label != NULL)
    {
      batch->required_label = g_strdup ("label");
      g_ptr_array_add (suitable->labels, g_strdup ("label"));
    }
  else
    {
      batch->need.cpus = 2;
      proven->shape.cpus = 1;
    }
  batch->attempts = 2;
  batch->tasks[0].n_failed = 1;
  batch->start_by_us = START_US;
  batch->end_by_us = START_US + 60 * USEC_PER_SEC;
  owner_submit_batch (owner, batch, START_US);
  g_assert_cmpstr (bed.started_on, ==, "suitable");
  finish (&bed, owner);
}

/* UPSTREAM says that it has SHAPE now.  */
static void
reshape (struct owner *owner, const struct owned_upstream *upstream,
         struct shape shape, gint64 now_us)
{
  const struct listed_upstream spec = { .id = upstream->id,
                                        .address = "127.0.0.1:1",
                                        .service = "s",
                                        .rack = "",
                                        .availability_zone = "z",
                                        .shape = shape,
                                        .instance_start_ms = 1 };

  owner_take_upstream (owner, &spec, 1, now_us);
}

/* Queues a batch with one task that needs NEED.  */
static struct batch *
queue_need (struct owner *owner, const char *job, struct shape need)
{
  struct batch *batch = make_batch ();

  g_free (batch->job);
  batch->job = g_strdup (job);
  batch->need = need;
  owner_submit_batch (owner, batch, START_US);
  return batch;
}

static gboolean
has_started (struct single_bed *bed)
{
  gboolean has_started = bed->started_on != NULL;

  g_clear_pointer (&bed->started_on, g_free);
  return has_started;
}

/* A shape, and what no longer starts beside a run of NEED when it has shrunk
   to SHRUNK.  */
struct shrink_case
{
  struct shape shape;
  struct shape shrunk;
  struct shape need;
};

static const struct shrink_case shrink_cases[] = {
  { { 4, 400, 4 }, { 2, 400, 4 }, { 1.5, 100, 1 } },
  { { 4, 400, 4 }, { 1, 400, 4 }, { 1.5, 100, 1 } },
  { { 4, 400, 4 }, { 2.999, 400, 4 }, { 1.5, 100, 1 } },
  { { 4, 400, 4 }, { 4, 199, 4 }, { 1.5, 100, 1 } },
  { { 4, 400, 4 }, { 4, 0, 4 }, { 1.5, 100, 1 } },
  { { 4, 400, 4 }, { 4, 400, 1 }, { 1.5, 100, 1 } },
  { { 4, 400, 4 }, { 4, 400, 0 }, { 1.5, 100, 1 } },
};

/* Guards against starts that bring an upstream over a capacity that has
   shrunk, in any dimension, and against stops of what runs there.  When the
   capacity has grown again it is used at once.  */
static void
test_shrink_with_run (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (shrink_cases); i++)
    {
      const struct shrink_case *c = &shrink_cases[i];
      struct single_bed bed = { .driver.ops = &ops };
      struct owner *owner = owner_new (&bed.driver, &limits);
      struct owned_upstream *upstream = take (owner);
      gint64 now_us = START_US;

      reshape (owner, upstream, c->shape, now_us);
      queue_need (owner, "0123456789abcdef", c->need);
      g_assert_true (has_started (&bed));
      reshape (owner, upstream, c->shrunk, now_us);
      queue_need (owner, "fedcba9876543210", c->need);
      g_assert_false (has_started (&bed));
      g_assert_cmpuint (upstream->n_runs, ==, 1);
      g_assert_cmpuint (bed.n_stops, ==, 0);
      reshape (owner, upstream, c->shape, now_us);
      g_assert_true (has_started (&bed));
      g_assert_cmpuint (upstream->n_runs, ==, 2);
      finish (&bed, owner);
    }
}

/* Guards against starts in the place of a run that is being stopped: it still
   counts after the capacity has shrunk.  */
static void
test_shrink_with_stop (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  struct batch *first
      = queue_need (owner, "0123456789abcdef", (struct shape){ 1 });

  g_assert_true (has_started (&bed));
  owner_stop_batch (owner, first, "test", START_US);
  reshape (owner, upstream, (struct shape){ 1 }, START_US);
  queue_need (owner, "fedcba9876543210", (struct shape){ 1 });
  g_assert_false (has_started (&bed));
  owner_stop_ended (owner, upstream, TASK, 1, ORDER_REJECTED, 0, START_US);
  answer_ask (owner, upstream, -1, START_US);
  g_assert_true (has_started (&bed));
  finish (&bed, owner);
}

/* Guards against starts on the shape that a former instance had: its entry may
   come after that of the present one.  */
static void
test_shape_of_former_instance (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  struct upstream_report answer = report;
  struct listed_upstream spec = { .id = "u",
                                  .address = "127.0.0.1:1",
                                  .service = "s",
                                  .rack = "",
                                  .availability_zone = "z",
                                  .shape = { .cpus = 1 },
                                  .instance_start_ms = 2 };

  answer.instance_start_ms = 2;
  owner_take_upstream (owner, &spec, 1, START_US);
  owner_poll_ended (owner, upstream, upstream->n_polls, ORDER_ACCEPTED,
                    &answer, START_US);
  reshape (owner, upstream, (struct shape){ 4 }, START_US);
  queue_need (owner, "0123456789abcdef", (struct shape){ 1 });
  g_assert_false (has_started (&bed));
  owner_take_upstream (owner, &spec, 1, START_US);
  g_assert_true (has_started (&bed));
  queue_need (owner, "fedcba9876543210", (struct shape){ 1 });
  g_assert_false (has_started (&bed));
  finish (&bed, owner);
}

/* Guards against announcing slots that are gone, when the runs on one upstream
   exceed its capacity: in CPUs, in memory, and beside an upstream with free
   CPUs, which they must not hide.  */
static void
test_room_after_shrink (gconstpointer is_memory_short)
{
  const struct shape shrunk = { is_memory_short != NULL ? 2 : 0.5,
                                is_memory_short != NULL ? 5 : 10 };
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  struct owner_room room;

  reshape (owner, upstream, (struct shape){ 2, 10 }, START_US);
  queue_need (owner, "0123456789abcdef", (struct shape){ 1, 10 });
  g_assert_true (has_started (&bed));
  reshape (owner, upstream, shrunk, START_US);
  owner_get_room (owner, "s", &room, START_US);
  g_assert_cmpfloat (room.free_cpus, ==, 0);
  g_assert_cmpuint (free_slots_count (&room.free_slots, 0.1), ==, 0);
  g_assert_cmpuint (owner_count_free_slots (owner, "s", 0.1, START_US), ==, 0);
  take_on (owner, "u2", "");
  owner_get_room (owner, "s", &room, START_US);
  g_assert_cmpfloat (room.free_cpus, ==, 2);
  finish (&bed, owner);
}

/* Guards against leaving fast upstreams to others, as if CPUs were scarce,
   because the runs on another upstream exceed its capacity.  */
static void
test_scarcity_after_shrink (void)
{
  const struct owner_limits by_speed = { .lease_ms = LEASE_MS,
                                         .max_lease_ms = 1000,
                                         .placement_by_speed = TRUE };
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &by_speed);
  struct owned_upstream *upstream = take (owner);
  struct batch *batch = make_batch ();

  reshape (owner, upstream, (struct shape){ 10 }, START_US);
  queue_need (owner, "fedcba9876543210", (struct shape){ 10 });
  reshape (owner, upstream, (struct shape){ 4 }, START_US);
  take_on (owner, "fast", "")->slowness = 0.7;
  take_on (owner, "slow", "")->slowness = 1.4;
  batch->start_by_us = START_US + 10 * USEC_PER_SEC;
  owner_submit_batch (owner, batch, START_US);
  g_assert_cmpstr (bed.started_on, ==, "fast");
  finish (&bed, owner);
}

/* Guards against tasks that are sent to an upstream without a CPU, be it warm,
   warming up or on probation: it has no slot until it grows again.  */
static void
test_room_without_cpus (void)
{
  for (guint i = 0; i < 3; i++)
    {
      struct single_bed bed = { .driver.ops = &ops };
      struct owner *owner = owner_new (&bed.driver, &limits);
      struct owned_upstream *upstream = take (owner);
      struct owner_room room;

      reshape (owner, upstream, (struct shape){ 0 }, START_US);
      upstream->warm_at_us = START_US + (i == 1 ? USEC_PER_SEC : 0);
      upstream->is_on_probation = i == 2;
      owner_get_room (owner, "s", &room, START_US);
      g_assert_cmpuint (room.n_slots, ==, 0);
      g_assert_cmpuint (free_slots_count (&room.free_slots, 0.1), ==, 0);
      reshape (owner, upstream, (struct shape){ 2 }, START_US);
      owner_get_room (owner, "s", &room, START_US);
      g_assert_cmpuint (room.n_slots, ==, 1);
      finish (&bed, owner);
    }
}

/* Guards against announcing a slot for tasks that are larger than an upstream
   which gets one run at a time, warming up or on probation.  */
static void
test_single_slot_after_shrink (void)
{
  for (guint i = 0; i < 2; i++)
    {
      struct single_bed bed = { .driver.ops = &ops };
      struct owner *owner = owner_new (&bed.driver, &limits);
      struct owned_upstream *upstream = take (owner);
      struct owner_room room;

      reshape (owner, upstream, (struct shape){ 4 }, START_US);
      upstream->warm_at_us = START_US + (i == 0 ? USEC_PER_SEC : 0);
      upstream->is_on_probation = i == 1;
      owner_get_room (owner, "s", &room, START_US);
      g_assert_cmpuint (free_slots_count (&room.free_slots, 1), ==, 1);
      g_assert_cmpuint (free_slots_count (&room.free_slots, 3.8), ==, 1);
      g_assert_cmpuint (free_slots_count (&room.free_slots, 4.9), ==, 0);
      finish (&bed, owner);
    }
}

/* Guards against tasks that wait at an owner until their deadline although
   none of its upstreams can run them any more.  What fits stays.  */
static void
test_misfits_return (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  struct batch *wide;
  struct batch *narrow;

  queue_need (owner, "0123456789abcdef", (struct shape){ 2 });
  wide = queue_need (owner, "0123456789abcde0", (struct shape){ 2 });
  narrow = queue_need (owner, "0123456789abcde1", (struct shape){ 1 });
  wide->is_settled = TRUE;
  owner_advance (owner, START_US + 20 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_returned, ==, 0);
  reshape (owner, upstream, (struct shape){ 1 }, START_US);
  owner_advance (owner, START_US + 40 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_returned, ==, 1);
  g_assert_cmpuint (bed.n_ended, ==, 1);
  g_assert_true (owner_get_first_queued (owner) == narrow);
  finish (&bed, owner);
}

/* Guards against returning tasks for which an upstream is large enough, though
   it can't take them now: it does not answer, rests, or is busy.  */
static void
test_fitting_stay (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);

  take_on (owner, "small", "")->shape.cpus = 1;
  upstream->rest_until_us = START_US + USEC_PER_SEC;
  queue_need (owner, "0123456789abcdef", (struct shape){ 2 });
  owner_advance (owner, START_US + 20 * USEC_PER_MSEC);
  upstream->rest_until_us = 0;
  upstream->state = OWNED_UNRESPONSIVE;
  owner_advance (owner, START_US + 40 * USEC_PER_MSEC);
  g_assert_false (has_started (&bed));
  g_assert_cmpuint (bed.n_returned, ==, 0);
  upstream->is_leaving = TRUE;
  owner_advance (owner, START_US + 60 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_returned, ==, 1);
  finish (&bed, owner);
}

/* Guards against counts of slots that overflow because the typical size of a
   task has become nearly 0, as tasks may need no CPU.  */
static void
test_tiny_tasks (void)
{
  for (guint n = 100; n <= 1500; n += 100)
    {
      struct single_bed bed = { .driver.ops = &ops };
      struct owner *owner = owner_new (&bed.driver, &limits);
      struct owner_room room;

      take (owner);
      for (guint i = 0; i < n; i++)
        owner_stop_batch (
            owner, queue_need (owner, "0123456789abcdef", (struct shape){ 0 }),
            "test", START_US);
      owner_get_room (owner, "s", &room, START_US);
      g_assert_cmpuint (room.n_slots, >=, 2);
      g_assert_cmpuint (room.n_slots, <=, 1000000);
      g_assert_cmpuint (free_slots_count (&room.free_slots, 0.001), >, 0);
      finish (&bed, owner);
    }
}

/* What does not fit comes back to its home, which may send it here again as
   another batch: the limit of tasks on one upstream holds for both together,
   and not for the next step or another job.  */
static void
test_limit_across_batches (void)
{
  struct single_bed bed = { .driver.ops = &ops };
  struct owner *owner = owner_new (&bed.driver, &limits);
  struct owned_upstream *upstream = take (owner);
  struct batch *batches[]
      = { make_batch (), make_batch (), make_batch (), make_other_batch () };

  for (guint i = 0; i < G_N_ELEMENTS (batches); i++)
    {
      batches[i]->number = i;
      batches[i]->tasks[0].index = i;
      batches[i]->per_upstream = 1;
      batches[i]->need.cpus = 0.5;
    }
  batches[2]->step = 1;
  owner_submit_batch (owner, batches[0], START_US);
  g_assert_cmpuint (upstream->n_runs, ==, 1);
  owner_submit_batch (owner, batches[1], START_US);
  g_assert_cmpuint (upstream->n_runs, ==, 1);
  owner_submit_batch (owner, batches[2], START_US);
  g_assert_cmpuint (upstream->n_runs, ==, 2);
  owner_submit_batch (owner, batches[3], START_US);
  g_assert_cmpuint (upstream->n_runs, ==, 3);
  owner_start_ended (owner, upstream, TASK, 1, ORDER_REJECTED, 5000, START_US);
  g_assert_cmpuint (upstream->n_runs, ==, 3);
  g_assert_cmpuint (batches[0]->n_active + batches[1]->n_active, ==, 1);
  finish (&bed, owner);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/owner/asking", test_asking);
  g_test_add_func ("/owner/all-on-trial", test_all_on_trial);
  g_test_add_func ("/owner/one-rest-an-outage", test_one_rest_an_outage);
  g_test_add_func ("/owner/queue-order", test_queue_order);
  g_test_add_func ("/owner/rack", test_rack);
  g_test_add_func ("/owner/replaced", test_replaced);
  g_test_add_func ("/owner/late-part", test_late_part);
  g_test_add_func ("/owner/late-begun", test_late_begun);
  g_test_add_func ("/owner/late-start", test_late_start);
  g_test_add_func ("/owner/silence", test_silence);
  g_test_add_func ("/owner/stall", test_stall);
  g_test_add_func ("/owner/overdue-end", test_overdue_end);
  g_test_add_func ("/owner/lost-start", test_lost_start);
  g_test_add_func ("/owner/lost-start-early", test_lost_start_early);
  g_test_add_func ("/owner/lost-check", test_lost_check);
  g_test_add_func ("/owner/overtaken-start", test_overtaken_start);
  g_test_add_func ("/owner/delayed-start", test_delayed_start);
  g_test_add_func ("/owner/start-not-wanted", test_start_not_wanted);
  g_test_add_func ("/owner/foreign-run", test_foreign_run);
  g_test_add_func ("/owner/full-queue", test_full_queue);
  g_test_add_func ("/owner/hopeless", test_hopeless);
  g_test_add_func ("/owner/speed-of-instance", test_speed_of_instance);
  g_test_add_data_func ("/owner/speed-after-pause/at-once", NULL,
                        test_speed_after_pause);
  g_test_add_data_func ("/owner/speed-after-pause/later", "",
                        test_speed_after_pause);
  g_test_add_data_func ("/owner/unsuitable-proven/label", "",
                        test_unsuitable_proven);
  g_test_add_data_func ("/owner/unsuitable-proven/size", NULL,
                        test_unsuitable_proven);
  g_test_add_func ("/owner/shrink-with-run", test_shrink_with_run);
  g_test_add_func ("/owner/shrink-with-stop", test_shrink_with_stop);
  g_test_add_func ("/owner/shape-of-former-instance",
                   test_shape_of_former_instance);
  g_test_add_data_func ("/owner/room-after-shrink/cpus", NULL,
                        test_room_after_shrink);
  g_test_add_data_func ("/owner/room-after-shrink/memory", "",
                        test_room_after_shrink);
  g_test_add_func ("/owner/scarcity-after-shrink", test_scarcity_after_shrink);
  g_test_add_func ("/owner/room-without-cpus", test_room_without_cpus);
  g_test_add_func ("/owner/single-slot-after-shrink",
                   test_single_slot_after_shrink);
  g_test_add_func ("/owner/misfits-return", test_misfits_return);
  g_test_add_func ("/owner/fitting-stay", test_fitting_stay);
  g_test_add_func ("/owner/tiny-tasks", test_tiny_tasks);
  g_test_add_func ("/owner/limit-across-batches", test_limit_across_batches);
  return g_test_run ();
}
