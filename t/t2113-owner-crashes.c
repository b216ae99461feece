/* Tasks that crash the upstreams that start them: what the owner concludes
   from the loss of an upstream, and where it runs a suspect again.  */
#include "coordination/owner.h"

#include <string.h>

#define START_US (1000 * USEC_PER_SEC)
#define STEP_US (5 * USEC_PER_MSEC)
#define LEASE_MS 900
#define RUN_US (300 * USEC_PER_MSEC)
#define RESTART_US (3 * USEC_PER_SEC)
#define MAX_UPSTREAMS 8
#define MAX_RUNS 64

/* Jobs whose id begins with this crash the upstreams that start them.  */
#define DEADLY "dead"

struct fake_run
{
  char *name;
  guint number;
  gint64 end_us;
  guint64 ended_entry; /* 0 while it runs */
  gboolean is_answered;
};

/* An upstream that answers each poll at the next step while it is up.  */
struct fake_upstream
{
  struct owned_upstream *owned;
  char id[8];
  gint64 back_us;          /* when it is up again; 0 while it is up */
  gboolean keeps_instance; /* it was only silent, and its leases lapsed */
  gint64 instance_start_ms;
  struct fake_run runs[MAX_RUNS]; /* of this instance */
  guint n_runs;
  guint64 n_ended;
  guint64 poll; /* waiting for its answer; 0 for none */
};

struct crash_bed
{
  struct owner_driver driver;
  struct owner *owner;
  gint64 now_us;
  struct fake_upstream upstreams[MAX_UPSTREAMS];
  guint n_upstreams;
  gint64 deadly_after_us; /* how long a deadly task runs before the crash */
  guint n_crashes;        /* caused by deadly tasks */
  guint n_shared_starts;  /* starts where a suspect ran, or of one that was not
                             alone */
  guint n_done;           /* batches, as the three below */
  guint n_crashed;
  guint n_other_ends;
  guint n_suspects; /* reported by upstream_crashed () */
  guint n_returned; /* tasks, as the two below */
  guint n_returned_crashed;
  guint n_returned_suspects;
};

static struct fake_upstream *
find_fake (struct crash_bed *bed, const struct owned_upstream *owned)
{
  for (guint i = 0; i < bed->n_upstreams; i++)
    if (bed->upstreams[i].owned == owned)
      return &bed->upstreams[i];
  g_assert_not_reached ();
}

static void
on_start (struct owner_driver *driver, struct run *run, gint64 until_ms)
{
  struct crash_bed *bed = (struct crash_bed *)driver;
  struct fake_upstream *fake = find_fake (bed, run->upstream);
  gint64 took_us
      = g_str_has_prefix (run->name, DEADLY) ? bed->deadly_after_us : RUN_US;

  if (run->upstream->is_isolated && run->upstream->n_runs > 1)
    bed->n_shared_starts++;
  if (fake->back_us != 0)
    return;
  g_assert_cmpuint (fake->n_runs, <, MAX_RUNS);
  fake->runs[fake->n_runs++]
      = (struct fake_run){ .name = g_strdup (run->name),
                           .number = run->number,
                           .end_us = bed->now_us + took_us };
}

static void
on_stop (struct owner_driver *driver, struct run *run)
{
}

static void
on_poll (struct owner_driver *driver, struct owned_upstream *upstream,
         gint64 until_ms, guint wait_ms)
{
  struct crash_bed *bed = (struct crash_bed *)driver;

  if (bed->n_upstreams < MAX_UPSTREAMS
      && bed->upstreams[bed->n_upstreams].owned == NULL)
    bed->upstreams[bed->n_upstreams++].owned = upstream;
  find_fake (bed, upstream)->poll = upstream->n_polls;
}

static void
on_return (struct owner_driver *driver, struct batch *batch,
           const guint *indexes, guint n_tasks)
{
  struct crash_bed *bed = (struct crash_bed *)driver;
  guint crashed[MAX_RUNS];

  bed->n_returned += n_tasks;
  bed->n_returned_crashed += batch_list_crashed (batch, FALSE, crashed);
  bed->n_returned_suspects += batch_list_crashed (batch, TRUE, crashed);
}

static void
on_finish (struct owner_driver *driver, struct batch *batch)
{
  struct crash_bed *bed = (struct crash_bed *)driver;

  if (batch->end == BATCH_DONE)
    bed->n_done++;
  else if (batch->end == BATCH_CRASHED)
    bed->n_crashed++;
  else
    bed->n_other_ends++;
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

static void
on_crashed (struct owner_driver *driver, const struct run *run)
{
  ((struct crash_bed *)driver)->n_suspects += run->task->is_suspect ? 1 : 0;
}

static const struct owner_driver_ops ops = {
  .start_run = on_start,
  .stop_run = on_stop,
  .poll = on_poll,
  .upstream_crashed = on_crashed,
  .return_tasks = on_return,
  .finish_batch = on_finish,
  .ownership_ended = on_lost,
  .wake_at = on_wake_at,
};

static void
clear_runs (struct fake_upstream *fake)
{
  for (guint i = 0; i < fake->n_runs; i++)
    g_free (fake->runs[i].name);
  fake->n_runs = 0;
  fake->n_ended = 0;
}

static void
crash (struct crash_bed *bed, struct fake_upstream *fake)
{
  clear_runs (fake);
  fake->back_us = bed->now_us + RESTART_US;
}

/* Answers the start orders that FAKE has received.  */
static void
answer_starts (struct crash_bed *bed, struct fake_upstream *fake)
{
  for (guint i = 0; i < fake->n_runs; i++)
    {
      struct fake_run *run = &fake->runs[i];

      if (run->is_answered)
        continue;
      run->is_answered = TRUE;
      owner_start_ended (bed->owner, fake->owned, run->name, run->number,
                         ORDER_ACCEPTED, bed->now_us / USEC_PER_MSEC,
                         bed->now_us);
    }
}

/* Ends the runs of FAKE that are over, and crashes it if one was deadly.  */
static void
end_runs (struct crash_bed *bed, struct fake_upstream *fake)
{
  for (guint i = 0; i < fake->n_runs; i++)
    {
      struct fake_run *run = &fake->runs[i];

      if (run->ended_entry != 0 || run->end_us > bed->now_us)
        continue;
      if (g_str_has_prefix (run->name, DEADLY))
        {
          bed->n_crashes++;
          crash (bed, fake);
          return;
        }
      run->ended_entry = ++fake->n_ended;
    }
}

static void
take (struct crash_bed *bed, struct fake_upstream *fake, const char *rack)
{
  const struct listed_upstream spec
      = { .id = fake->id,
          .address = "127.0.0.1:1",
          .service = "s",
          .rack = rack,
          .availability_zone = "z",
          .shape = { .cpus = 4 },
          .instance_start_ms = fake->instance_start_ms };

  owner_take_upstream (bed->owner, &spec, 1, bed->now_us);
}

/* Answers the poll of FAKE, which is up.  */
static void
answer_poll (struct crash_bed *bed, struct fake_upstream *fake)
{
  struct listed_run running[MAX_RUNS];
  struct listed_end ended[MAX_RUNS];
  struct upstream_report report
      = { .clock_ms = bed->now_us / USEC_PER_MSEC,
          .instance_start_ms = fake->instance_start_ms,
          .running = running,
          .ended = ended };

  for (guint i = 0; i < fake->n_runs; i++)
    {
      const struct fake_run *run = &fake->runs[i];
      gint64 left_us = MAX (run->end_us - bed->now_us, 0);

      if (run->ended_entry == 0)
        running[report.n_running++] = (struct listed_run){
          run->name, run->number,
          (guint)(100 - CLAMP (left_us * 100 / RUN_US, 1, 100))
        };
      else
        ended[report.n_ended++]
            = (struct listed_end){ run->ended_entry, run->name, run->number,
                                   RUN_DONE };
    }
  owner_poll_ended (bed->owner, fake->owned, fake->poll, ORDER_ACCEPTED,
                    &report, bed->now_us);
}

static void
step_upstream (struct crash_bed *bed, struct fake_upstream *fake)
{
  guint64 poll;

  answer_starts (bed, fake);
  end_runs (bed, fake);
  if (fake->back_us != 0 && fake->back_us <= bed->now_us)
    {
      fake->back_us = 0;
      fake->instance_start_ms += fake->keeps_instance ? 0 : 1;
      fake->keeps_instance = FALSE;
      take (bed, fake, fake->owned->rack);
    }
  poll = fake->poll;
  if (poll == 0)
    return;
  if (fake->back_us == 0)
    answer_poll (bed, fake);
  else
    owner_poll_ended (bed->owner, fake->owned, poll, ORDER_UNANSWERED, NULL,
                      bed->now_us);
  if (fake->poll == poll)
    fake->poll = 0;
}

static void
pass (struct crash_bed *bed, gint64 time_us)
{
  gint64 until_us = bed->now_us + time_us;

  while (bed->now_us < until_us)
    {
      bed->now_us += STEP_US;
      for (guint i = 0; i < bed->n_upstreams; i++)
        step_upstream (bed, &bed->upstreams[i]);
      owner_advance (bed->owner, bed->now_us);
    }
}

/* An owner of N upstreams, each on a rack of its own unless RACK is given.  */
static void
bed_init (struct crash_bed *bed, guint n, const char *rack)
{
  static const struct owner_limits limits
      = { .lease_ms = LEASE_MS, .max_lease_ms = 1000 };

  memset (bed, 0, sizeof *bed);
  bed->driver.ops = &ops;
  bed->now_us = START_US;
  bed->owner = owner_new (&bed->driver, &limits);
  for (guint i = 0; i < n; i++)
    {
      struct fake_upstream *fake = &bed->upstreams[i];

      g_snprintf (fake->id, sizeof fake->id, "u%u", i);
      fake->instance_start_ms = 1;
      take (bed, fake, rack != NULL ? rack : fake->id);
    }
  pass (bed, 50 * USEC_PER_MSEC);
}

static void
bed_clear (struct crash_bed *bed)
{
  owner_free (bed->owner);
  for (guint i = 0; i < bed->n_upstreams; i++)
    clear_runs (&bed->upstreams[i]);
}

/* A job of N tasks for SERVICE, whose id is PREFIX and NUMBER.  */
static struct batch *
make_batch (struct crash_bed *bed, const char *service, const char *prefix,
            guint number, guint n)
{
  g_autofree char *id = g_strdup_printf ("%s%u", prefix, number);
  struct batch *batch = batch_new (id, "home", n);

  for (guint i = 0; i < n; i++)
    batch->tasks[i].index = i;
  batch->service = g_strdup (service);
  batch->spec = g_strdup ("");
  batch->need.cpus = 2;
  batch->estimate_us = RUN_US;
  batch->attempts = 3;
  batch->start_by_us = bed->now_us + 5 * USEC_PER_SEC;
  return batch;
}

static struct batch *
submit_to (struct crash_bed *bed, const char *service, const char *prefix,
           guint number, guint n)
{
  struct batch *batch = make_batch (bed, service, prefix, number, n);

  owner_submit_batch (bed->owner, batch, bed->now_us);
  return batch;
}

static struct batch *
submit (struct crash_bed *bed, const char *prefix, guint number, guint n)
{
  return submit_to (bed, "s", prefix, number, n);
}

/* A task under which two upstreams have crashed is given up, and its job is
   shown as failed: it must not crash one upstream after the other.  */
static void
test_given_up (void)
{
  struct crash_bed bed;

  bed_init (&bed, 6, NULL);
  submit (&bed, DEADLY, 1, 1);
  pass (&bed, 500 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_crashes, ==, 1);
  g_assert_cmpuint (bed.n_crashed, ==, 0);
  pass (&bed, 20 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_crashes, ==, 2);
  g_assert_cmpuint (bed.n_crashed, ==, 1);
  bed_clear (&bed);
}

/* Among other jobs, a task that crashes upstreams costs two of them, and no
   other task is lost twice.  */
static void
test_neighbours (void)
{
  struct crash_bed bed;

  bed_init (&bed, 6, NULL);
  for (guint i = 0; i < 8; i++)
    submit (&bed, "job", i, 1);
  pass (&bed, 100 * USEC_PER_MSEC);
  submit (&bed, DEADLY, 1, 1);
  submit (&bed, DEADLY, 2, 1);
  for (guint i = 0; i < 40; i++)
    {
      submit (&bed, "late", i, 1);
      pass (&bed, 100 * USEC_PER_MSEC);
    }
  pass (&bed, 20 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_crashes, <=, 4);
  g_assert_cmpuint (bed.n_crashed, ==, 2);
  g_assert_cmpuint (bed.n_done, ==, 48);
  g_assert_cmpuint (bed.n_shared_starts, ==, 0);
  bed_clear (&bed);
}

/* A task that crashes its upstream in the middle of its run, beside tasks that
   started later, is not found at its first crash.  It must be by its third. */
static void
test_crash_midway (void)
{
  struct crash_bed bed;

  bed_init (&bed, 4, NULL);
  bed.deadly_after_us = 250 * USEC_PER_MSEC;
  submit (&bed, DEADLY, 1, 1);
  for (guint i = 0; i < 60; i++)
    {
      submit (&bed, "job", i, 1);
      pass (&bed, 60 * USEC_PER_MSEC);
    }
  pass (&bed, 20 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_crashes, <=, 3);
  g_assert_cmpuint (bed.n_crashed, ==, 1);
  g_assert_cmpuint (bed.n_done, ==, 60);
  bed_clear (&bed);
}

/* A suspect runs alone: while it does, its upstream has no room for others,
   and announces none.  */
static void
test_isolated (void)
{
  struct crash_bed bed;
  struct owner_room room;

  bed_init (&bed, 2, NULL);
  submit (&bed, "job", 1, 1);
  crash (&bed, &bed.upstreams[0]);
  crash (&bed, &bed.upstreams[1]);
  pass (&bed, RESTART_US + 100 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_suspects, ==, 1);
  pass (&bed, 50 * USEC_PER_MSEC);
  owner_get_room (bed.owner, "s", &room, bed.now_us);
  g_assert_cmpuint (room.n_running, ==, 1);
  submit (&bed, "job", 2, 4);
  owner_get_room (bed.owner, "s", &room, bed.now_us);
  g_assert_cmpuint (free_slots_count (&room.free_slots, 2), ==, 0);
  g_assert_cmpuint (bed.n_shared_starts, ==, 0);
  pass (&bed, 5 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_done, ==, 2);
  bed_clear (&bed);
}

/* A suspect waits while other tasks in time wait for slots.  */
static void
test_behind_others (void)
{
  struct crash_bed bed;
  struct batch *suspect;

  bed_init (&bed, 1, NULL);
  suspect = submit (&bed, "suspect", 1, 1);
  crash (&bed, &bed.upstreams[0]);
  pass (&bed, RESTART_US - 500 * USEC_PER_MSEC);
  g_assert_cmpuint (suspect->n_suspects, ==, 1);
  submit (&bed, "job", 1, 4);
  pass (&bed, 1 * USEC_PER_SEC);
  g_assert_cmpint (suspect->tasks[0].state, ==, BATCH_TASK_QUEUED);
  pass (&bed, 5 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_done, ==, 2);
  bed_clear (&bed);
}

/* A rack that loses power proves nothing about the tasks that ran there: they
   run again as before.  */
static void
test_rack_lost (void)
{
  struct crash_bed bed;

  bed_init (&bed, 4, "r1");
  for (guint i = 0; i < 8; i++)
    submit (&bed, "job", i, 1);
  for (guint i = 0; i < 4; i++)
    crash (&bed, &bed.upstreams[i]);
  pass (&bed, 2 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_suspects, ==, 0);
  pass (&bed, 10 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_done, ==, 8);
  bed_clear (&bed);
}

/* The same where the rest of the rack is idle, which is noticed only when it
   is polled.  */
static void
test_idle_rack_lost (void)
{
  struct crash_bed bed;

  bed_init (&bed, 4, "r1");
  submit (&bed, "job", 1, 1);
  pass (&bed, 500 * USEC_PER_MSEC);
  submit (&bed, "job", 2, 1);
  for (guint i = 0; i < 4; i++)
    crash (&bed, &bed.upstreams[i]);
  pass (&bed, 2 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_suspects, ==, 0);
  pass (&bed, 10 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_done, ==, 2);
  bed_clear (&bed);
}

/* Upstreams that are silent for seconds and go on as the same instance have
   not crashed: a job whose task is lost with them twice must not be shown as
   failed for that.  */
static void
test_silent_upstreams (void)
{
  struct crash_bed bed;

  bed_init (&bed, 4, NULL);
  submit (&bed, "job", 1, 1);
  for (guint i = 0; i < 12; i++)
    {
      for (guint k = 0; k < 4 && i < 8; k++)
        if (bed.upstreams[k].n_runs > 0 && bed.upstreams[k].back_us == 0)
          {
            bed.upstreams[k].keeps_instance = TRUE;
            crash (&bed, &bed.upstreams[k]);
          }
      pass (&bed, 250 * USEC_PER_MSEC);
    }
  g_assert_cmpuint (bed.n_suspects, >=, 2);
  pass (&bed, 20 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_crashed, ==, 0);
  g_assert_cmpuint (bed.n_done, ==, 1);
  bed_clear (&bed);
}

/* An upstream that leaves as planned has not crashed.  */
static void
test_leaving (void)
{
  struct crash_bed bed;

  bed_init (&bed, 2, NULL);
  submit (&bed, "job", 1, 2);
  bed.upstreams[0].owned->is_leaving = TRUE;
  bed.upstreams[1].owned->is_leaving = TRUE;
  crash (&bed, &bed.upstreams[0]);
  crash (&bed, &bed.upstreams[1]);
  pass (&bed, 2 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_suspects, ==, 0);
  bed_clear (&bed);
}

/* Tasks that crash most upstreams of a zone together are not taken for a loss
   of power each time.  */
static void
test_all_crashed_together (void)
{
  struct crash_bed bed;

  bed_init (&bed, 3, NULL);
  submit (&bed, DEADLY, 1, 6);
  pass (&bed, 40 * USEC_PER_SEC);
  /* Three that are ignored, one for each task, and second ones on all three
     upstreams before the first of these is confirmed.  */
  g_assert_cmpuint (bed.n_crashes, <=, 3 + 6 + 3);
  g_assert_cmpuint (bed.n_crashed, ==, 1);
  bed_clear (&bed);
}

/* A suspect does not wait for tasks of another service, which do not compete
   for its upstreams.  */
static void
test_other_service_waits (void)
{
  struct crash_bed bed;

  bed_init (&bed, 1, NULL);
  submit (&bed, "suspect", 1, 1);
  crash (&bed, &bed.upstreams[0]);
  pass (&bed, RESTART_US - 100 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_suspects, ==, 1);
  submit_to (&bed, "other", "job", 1, 1);
  pass (&bed, 3 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_done, ==, 1);
  bed_clear (&bed);
}

/* A suspect that no upstream can run does not keep the others from theirs.  */
static void
test_suspect_without_upstream (void)
{
  struct crash_bed bed;

  bed_init (&bed, 2, NULL);
  g_free (bed.upstreams[0].owned->service);
  bed.upstreams[0].owned->service = g_strdup ("other");
  submit_to (&bed, "other", "suspect", 1, 1);
  pass (&bed, 100 * USEC_PER_MSEC);
  submit (&bed, "suspect", 2, 1);
  crash (&bed, &bed.upstreams[0]);
  crash (&bed, &bed.upstreams[1]);
  bed.upstreams[0].back_us += 60 * USEC_PER_SEC;
  pass (&bed, RESTART_US + 1 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_suspects, ==, 2);
  g_assert_cmpuint (bed.n_done, ==, 1);
  bed_clear (&bed);
}

/* A task that goes back to its home after a crash is named as a suspect, so
   that it is none the less one at the next owner.  */
static void
test_returned_suspects (void)
{
  struct crash_bed bed;

  bed_init (&bed, 2, NULL);
  submit (&bed, "first", 1, 1);
  pass (&bed, 150 * USEC_PER_MSEC);
  submit (&bed, "second", 1, 1);
  crash (&bed, &bed.upstreams[0]);
  crash (&bed, &bed.upstreams[1]);
  pass (&bed, RESTART_US - 100 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_suspects, >, 0);
  owner_return_all_queued (bed.owner, "s", bed.now_us);
  g_assert_cmpuint (bed.n_returned, ==, 2);
  g_assert_cmpuint (bed.n_returned_suspects, ==, bed.n_suspects);
  g_assert_cmpuint (bed.n_returned_crashed + bed.n_returned_suspects, ==, 2);
  bed_clear (&bed);
}

/* A task that was a suspect at another owner runs alone here, and is not
   started after three crashes: its job fails, or its outcome is unknown where
   the crashes are not confirmed here.  */
static void
test_suspect_elsewhere (void)
{
  static const guint suspect = 1;
  struct crash_bed bed;
  struct batch *batch;

  bed_init (&bed, 2, NULL);
  batch = make_batch (&bed, "s", DEADLY, 1, 2);
  batch_mark_crashed (batch, &suspect, 1, TRUE, bed.now_us);
  g_assert_cmpuint (batch->n_suspects, ==, 1);
  g_assert_true (batch->tasks[1].is_suspect);
  bed.deadly_after_us = RUN_US;
  owner_submit_batch (bed.owner, batch, bed.now_us);
  pass (&bed, 20 * USEC_PER_SEC);
  g_assert_cmpuint (bed.n_shared_starts, ==, 0);
  g_assert_cmpuint (bed.n_crashes, <=, 3);
  g_assert_cmpuint (bed.n_crashed + bed.n_other_ends, ==, 1);
  bed_clear (&bed);
}

/* Where all tasks of an owner wait as suspects, they are found when it has
   given up its upstreams: they could never start.  */
static void
test_stranded (void)
{
  struct crash_bed bed;

  bed_init (&bed, 1, NULL);
  submit (&bed, "job", 1, 1);
  crash (&bed, &bed.upstreams[0]);
  pass (&bed, RESTART_US - 100 * USEC_PER_MSEC);
  g_assert_cmpuint (bed.n_suspects, ==, 1);
  g_assert_null (owner_get_stranded_suspects (bed.owner));
  bed.upstreams[0].owned->is_leaving = TRUE;
  g_assert_nonnull (owner_get_stranded_suspects (bed.owner));
  owner_return_all_queued (bed.owner, "s", bed.now_us);
  g_assert_null (owner_get_stranded_suspects (bed.owner));
  bed_clear (&bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/owner-crashes/given-up", test_given_up);
  g_test_add_func ("/owner-crashes/neighbours", test_neighbours);
  g_test_add_func ("/owner-crashes/crash-midway", test_crash_midway);
  g_test_add_func ("/owner-crashes/isolated", test_isolated);
  g_test_add_func ("/owner-crashes/behind-others", test_behind_others);
  g_test_add_func ("/owner-crashes/rack-lost", test_rack_lost);
  g_test_add_func ("/owner-crashes/idle-rack-lost", test_idle_rack_lost);
  g_test_add_func ("/owner-crashes/silent-upstreams", test_silent_upstreams);
  g_test_add_func ("/owner-crashes/leaving", test_leaving);
  g_test_add_func ("/owner-crashes/all-crashed-together",
                   test_all_crashed_together);
  g_test_add_func ("/owner-crashes/other-service-waits",
                   test_other_service_waits);
  g_test_add_func ("/owner-crashes/suspect-without-upstream",
                   test_suspect_without_upstream);
  g_test_add_func ("/owner-crashes/returned-suspects", test_returned_suspects);
  g_test_add_func ("/owner-crashes/suspect-elsewhere", test_suspect_elsewhere);
  g_test_add_func ("/owner-crashes/stranded", test_stranded);
  return g_test_run ();
}
