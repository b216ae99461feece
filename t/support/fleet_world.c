#include "t/support/fleet_world_private.h"

#include <string.h>

/* Time that one step may take, in ms.  */
#define MAX_STEP_MS 8

/* A pause after which upstreams are asked first.  */
#define LONG_PAUSE_US USEC_PER_SEC

/* Once the faults are over, some run must end within this time until all
   batches have: what is left may have to run on a single upstream, one long
   task after the other.  */
#define STALL_MS 20000

static const char *const homes[] = { "home-a", "home-b", "home-c" };

void
fleet_expect (struct fleet_world *world, gboolean holds, const char *what)
{
  if (holds || world->broken != NULL)
    return;
  world->broken = what;
  fleet_tell (world, "BROKEN: %s", what);
}

guint
fleet_draw (struct fleet_world *world, guint n)
{
  return (guint)g_rand_int_range (world->details, 0, (gint32)n);
}

gint64
fleet_draw_us (struct fleet_world *world, gint64 max_us)
{
  return g_rand_int_range (world->details, 0, (gint32)max_us);
}

void
fleet_tell (struct fleet_world *world, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list arguments;

  if (!world->is_traced)
    return;
  va_start (arguments, format);
  text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_test_message ("%" G_GINT64_FORMAT ".%03u ms: %s", world->now_us / 1000,
                  (guint)(world->now_us % 1000), text);
}

/* The number between BEFORE and AFTER at *TEXT, which is moved on.  */
static guint
read_part (const char **text, const char *before, char after)
{
  gsize n = strlen (before);
  guint number = 0;
  const char *c;

  g_assert_cmpint (strncmp (*text, before, n), ==, 0);
  for (c = *text + n; g_ascii_isdigit (*c); c++)
    number = number * 10 + (guint)(*c - '0');
  g_assert_true (c > *text + n && *c == after);
  *text = c;
  return number;
}

/* Called for every run at every millisecond, hence no sscanf ().  */
struct sim_batch *
fleet_find_batch (struct fleet_world *world, const char *name, guint *index)
{
  guint number = read_part (&name, "j", '.');
  guint step = read_part (&name, ".0.", '.');

  *index = read_part (&name, ".", '\0') - step;
  g_assert_cmpuint (number, <, world->batches->len);
  return g_ptr_array_index (world->batches, number);
}

static struct sim_owner *
from_driver (struct owner_driver *driver)
{
  return (struct sim_owner *)driver;
}

static gboolean
is_awake (const struct fleet_world *w, const struct sim_owner *o)
{
  return w->now_us >= o->frozen_until_us;
}

struct sim_upstream *
fleet_find_upstream (struct fleet_world *world, const char *id)
{
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    if (g_str_equal (world->upstreams[i].id, id))
      return &world->upstreams[i];
  return NULL;
}

static void
check_start (const struct sim_owner *o, const struct run *run)
{
  struct fleet_world *world = o->world;
  guint index;
  const struct sim_batch *batch = fleet_find_batch (world, run->name, &index);
  const struct sim_task *task = &batch->tasks[index];
  const struct sim_upstream *u
      = fleet_find_upstream (world, run->upstream->id);

  fleet_expect (world, batch->n_finished == 0, "a batch that ended starts");
  fleet_expect (world, batch->unwanted_us == 0, "a stopped batch starts");
  fleet_expect (world, !task->is_returned, "a returned task starts");
  fleet_expect (world, !task->is_last_done, "a task that is done starts");
  fleet_expect (world, task->n_failed < batch->attempts,
                "a task starts that has used up its attempts");
  fleet_expect (world, run->number > task->last_number,
                "the number of a run does not rise");
  fleet_expect (
      world,
      u == NULL || (o->unproven & (G_GUINT64_CONSTANT (1) << u->slot)) == 0,
      "a run starts after a pause before an ask was answered");
  fleet_expect (world, u == NULL || !u->is_told_leaving[o->slot],
                "a leaving upstream gets a run");
}

/* Which version of the shape of the upstream ID O was told last.  */
static guint
get_told_version (const struct sim_owner *o, const char *id)
{
  const struct sim_upstream *u = fleet_find_upstream (o->world, id);

  return u != NULL ? u->told_version[o->slot] : 0;
}

static void
driver_start_run (struct owner_driver *driver, struct run *run,
                  gint64 until_ms)
{
  struct sim_owner *o = from_driver (driver);
  struct fleet_world *w = o->world;
  struct sim_order *order = sim_order_new (o, run->upstream, SIM_START);
  guint index;
  struct sim_batch *batch = fleet_find_batch (w, run->name, &index);

  check_start (o, run);
  fleet_tell (w, "owner %u starts run %u of %s on %s", o->slot, run->number,
              run->name, run->upstream->id);
  batch->tasks[index].last_number = run->number;
  order->name = g_strdup (run->name);
  order->number = run->number;
  order->need = run->need;
  order->estimate_us = run->task->batch->estimate_us;
  order->until_ms = until_ms;
  order->told_version = get_told_version (o, run->upstream->id);
  sim_order_send (w, order, 300);
}

static void
driver_stop_run (struct owner_driver *driver, struct run *run)
{
  struct sim_owner *o = from_driver (driver);
  struct sim_order *order = sim_order_new (o, run->upstream, SIM_STOP);

  fleet_tell (o->world, "owner %u stops run %u of %s on %s", o->slot,
              run->number, run->name, run->upstream->id);
  order->name = g_strdup (run->name);
  order->number = run->number;
  sim_order_send (o->world, order, 200);
}

static void
driver_ask (struct owner_driver *driver, struct owned_upstream *upstream,
            gint64 until_ms, guint wait_ms)
{
  struct sim_owner *o = from_driver (driver);
  struct sim_order *order = sim_order_new (o, upstream, SIM_ASK);
  const struct sim_upstream *u = fleet_find_upstream (o->world, upstream->id);

  if (until_ms == 0 || o->world->is_traced)
    fleet_tell (o->world, "owner %u asks %s until %" G_GINT64_FORMAT, o->slot,
                upstream->id, until_ms);
  order->last_seen = upstream->last_ended_entry;
  if (u != NULL && until_ms != 0)
    fleet_expect (o->world,
                  (o->unproven & (G_GUINT64_CONSTANT (1) << u->slot)) == 0,
                  "leases are prolonged after a pause before an answer");
  order->until_ms = until_ms;
  order->wait_ms = wait_ms;
  sim_order_send (o->world, order, wait_ms + 300);
}

static void
driver_run_ended (struct owner_driver *driver, const struct run *run,
                  enum run_end end)
{
  struct fleet_world *w = from_driver (driver)->world;
  guint index;
  struct sim_batch *batch = fleet_find_batch (w, run->name, &index);

  fleet_tell (w, "owner %u: run %u of %s on %s ended as %d",
              from_driver (driver)->slot, run->number, run->name,
              run->upstream->id, end);
  if (run->task != NULL && end == RUN_FAILED)
    batch->tasks[index].n_failed++;
  /* What becomes of it is its new owner's affair.  */
  if (run->task != NULL && run->upstream->is_removed)
    batch->is_fenced = TRUE;
}

static void
driver_return_tasks (struct owner_driver *driver, struct batch *batch,
                     const guint *indexes, guint n_tasks)
{
  struct fleet_world *w = from_driver (driver)->world;
  struct sim_batch *model = g_ptr_array_index (w->batches, batch->number);

  fleet_expect (w, n_tasks > 0, "no task is returned");
  for (guint i = 0; i < n_tasks; i++)
    {
      struct sim_task *task = &model->tasks[indexes[i] - batch->step];

      fleet_expect (w, !task->is_returned, "a task is returned twice");
      task->is_returned = TRUE;
    }
  w->counts.n_returned += n_tasks;
}

/* Whether a run of MODEL is on an upstream that its owner still has.  */
static gboolean
is_running (struct fleet_world *w, const struct sim_batch *model)
{
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    for (guint j = 0; j < w->upstreams[i].runs->len; j++)
      {
        const struct sim_run *run
            = g_ptr_array_index (w->upstreams[i].runs, j);
        guint index;

        if (fleet_find_batch (w, run->name, &index) == model)
          return TRUE;
      }
  return FALSE;
}

/* A home counts as done what is named so at the end of BATCH: tasks that were
   given back or did not succeed must not be.  */
static void
check_named_done (struct fleet_world *w, const struct batch *batch,
                  const struct sim_batch *model)
{
  g_autofree guint *indexes = g_new (guint, batch->n_tasks);
  guint n = batch_list_tasks (batch, BATCH_TASK_DONE, indexes);

  for (guint i = 0; i < n; i++)
    {
      const struct sim_task *task = &model->tasks[indexes[i] - batch->step];

      fleet_expect (w, task->is_done && !task->is_returned,
                    "a task is named as done that is not");
    }
  if (batch->end == BATCH_DONE)
    fleet_expect (w, n + batch->n_returned == batch->n_tasks,
                  "a task is named neither as done nor as returned");
}

static void
check_finish (struct fleet_world *w, const struct batch *batch,
              const struct sim_batch *model)
{
  guint n_returned = 0;

  fleet_expect (w, model->n_finished == 1, "a batch ends twice");
  fleet_expect (w, batch->n_active == 0, "a batch ends that is active");
  fleet_expect (w, model->is_fenced || !is_running (w, model),
                "a batch ends that still runs");
  if (batch->end == BATCH_NOT_STARTED)
    fleet_expect (w, model->n_begun == 0,
                  "no room, but something was started");
  for (guint i = 0; i < model->n_tasks; i++)
    {
      const struct sim_task *task = &model->tasks[i];

      n_returned += task->is_returned ? 1 : 0;
      if (batch->end == BATCH_DONE)
        fleet_expect (w, task->is_returned || task->is_done,
                      "done without all tasks");
    }
  fleet_expect (w, batch->n_returned == n_returned, "the returns differ");
  check_named_done (w, batch, model);
}

static void
driver_finish_batch (struct owner_driver *driver, struct batch *batch)
{
  struct fleet_world *w = from_driver (driver)->world;
  struct sim_batch *model = g_ptr_array_index (w->batches, batch->number);

  fleet_tell (w, "batch %s ends as %d: %s", batch->job, batch->end,
              batch->reason != NULL ? batch->reason : "");
  model->n_finished++;
  model->batch = NULL;
  w->n_live--;
  w->counts.n_finished++;
  w->counts.n_ends[batch->end]++;
  check_finish (w, batch, model);
  if (model->unwanted_us == 0)
    model->unwanted_us = w->now_us;
  batch_free (batch);
}

static void
driver_lost (struct owner_driver *driver, struct owned_upstream *upstream,
             gboolean is_fenced)
{
  struct sim_owner *o = from_driver (driver);

  fleet_tell (o->world, "owner %u has lost %s%s", o->slot, upstream->id,
              is_fenced ? ", fenced" : "");
  fleet_expect (o->world, is_fenced || list_is_empty (&upstream->runs),
                "an upstream with runs is given up");
  g_ptr_array_add (o->world->lost, owned_ref (upstream));
}

static void
driver_wake_at (struct owner_driver *driver, gint64 when_us)
{
  from_driver (driver)->wake_us = when_us;
}

static const struct owner_driver_ops driver_ops = {
  .start_run = driver_start_run,
  .stop_run = driver_stop_run,
  .poll = driver_ask,
  .run_ended = driver_run_ended,
  .return_tasks = driver_return_tasks,
  .finish_batch = driver_finish_batch,
  .ownership_ended = driver_lost,
  .wake_at = driver_wake_at,
};

static void
begin_owner (struct fleet_world *w, struct sim_owner *o)
{
  const struct owner_limits limits
      = { FLEET_LEASE_MS, FLEET_MAX_LEASE_MS, FLEET_DRIFT_PPM,
          w->placement_by_speed };

  o->driver.ops = &driver_ops;
  o->world = w;
  o->life++;
  o->wake_us = w->now_us;
  o->frozen_until_us = 0;
  o->unproven = 0;
  o->owner = owner_new (&o->driver, &limits);
}

/* Gives UPSTREAM to the owner that it is assigned to.  */
static void
give (struct fleet_world *w, struct sim_upstream *u)
{
  struct sim_owner *o = &w->owners[u->owner];
  struct listed_upstream spec = {
    .id = u->id,
    .address = "127.0.0.1:1",
    .service = "work",
    .availability_zone = "z",
    .rack = u->slot < FLEET_UPSTREAMS / 2 ? "r1" : "r2",
    .shape = u->shape,
    .instance_start_ms = u->born_ms,
    .is_leaving = u->is_leaving,
  };

  u->is_news = u->is_up;
  if (w->now_us < o->frozen_until_us || !u->is_up)
    return;
  u->is_news = FALSE;
  fleet_tell (w, "owner %u gets %s with token %u%s", o->slot, u->id,
              (guint)u->next_token, u->is_leaving ? ", leaving" : "");
  u->is_told_leaving[o->slot] = u->is_leaving;
  u->told_version[o->slot] = u->shape_version;
  owner_take_upstream (o->owner, &spec, u->next_token, w->now_us);
}

struct fleet_world *
fleet_world_new (guint32 seed, gboolean placement_by_speed)
{
  struct fleet_world *w = g_new0 (struct fleet_world, 1);

  w->placement_by_speed = placement_by_speed;
  w->details = g_rand_new_with_seed (seed);
  w->now_us = 1000 * USEC_PER_SEC;
  w->orders = g_ptr_array_new_with_free_func (sim_order_free);
  w->batches = g_ptr_array_new_with_free_func (g_free);
  w->lost = g_ptr_array_new_with_free_func ((GDestroyNotify)owned_unref);
  for (guint i = 0; i < FLEET_OWNERS; i++)
    {
      w->owners[i].slot = i;
      begin_owner (w, &w->owners[i]);
    }
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    {
      sim_upstream_init (w, i);
      give (w, &w->upstreams[i]);
    }
  return w;
}

void
fleet_world_free (struct fleet_world *world)
{
  for (guint i = 0; i < FLEET_OWNERS; i++)
    owner_free (world->owners[i].owner);
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    sim_upstream_clear (&world->upstreams[i]);
  g_ptr_array_unref (world->orders);
  g_ptr_array_unref (world->lost);
  g_ptr_array_unref (world->batches);
  g_rand_free (world->details);
  g_free (world);
}

void
fleet_world_trace (struct fleet_world *world)
{
  world->is_traced = TRUE;
}

void
fleet_world_count (const struct fleet_world *world,
                   struct fleet_counts *counts)
{
  *counts = world->counts;
}

/* What the owner of shards does when an upstream is lost: it goes to whom it
   is assigned to, with a higher token.  */
static void
handle_lost (struct fleet_world *w)
{
  while (w->lost->len > 0)
    {
      g_autoptr (GPtrArray) lost = w->lost;

      w->lost = g_ptr_array_new_with_free_func ((GDestroyNotify)owned_unref);
      for (guint i = 0; i < lost->len; i++)
        {
          const struct owned_upstream *owned = g_ptr_array_index (lost, i);
          struct sim_upstream *u = fleet_find_upstream (w, owned->id);

          if (u == NULL || !u->is_up
              || owner_find_upstream (w->owners[u->owner].owner, u->id)
                     != NULL)
            continue;
          u->next_token++;
          give (w, u);
        }
    }
}

/* A crashed upstream comes back, under its id or a new one.  */
static void
bring_back (struct fleet_world *w, struct sim_upstream *u)
{
  if (u->is_up || u->rebirth_us > w->now_us)
    return;
  if (!u->is_gone && fleet_draw (w, 2) == 0)
    {
      for (guint i = 0; i < FLEET_OWNERS; i++)
        if (!is_awake (w, &w->owners[i]))
          return;
      u->is_gone = TRUE;
      for (guint i = 0; i < FLEET_OWNERS; i++)
        owner_remove_upstream (w->owners[i].owner, u->id, w->now_us);
    }
  sim_upstream_begin (w, u, u->is_gone);
  /* The news of a new life may come late.  */
  if (fleet_draw (w, 2) == 0)
    u->is_news = TRUE;
  else
    give (w, u);
}

/* An owner that has woken is told what it has missed.  */
static void
tell_news (struct fleet_world *w)
{
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    if (w->upstreams[i].is_news && fleet_draw (w, 50) == 0)
      give (w, &w->upstreams[i]);
}

/* Lets 1 ms go by.  */
static void
pass_ms (struct fleet_world *w)
{
  w->now_us += USEC_PER_MSEC;
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    {
      sim_upstream_pass (w, &w->upstreams[i]);
      bring_back (w, &w->upstreams[i]);
    }
  sim_orders_pass (w);
  tell_news (w);
  handle_lost (w);
  for (guint i = 0; i < FLEET_OWNERS; i++)
    {
      struct sim_owner *o = &w->owners[i];

      if (!is_awake (w, o) || o->wake_us > w->now_us)
        continue;
      o->wake_us = DEADLINE_NEVER;
      owner_advance (o->owner, w->now_us);
    }
  handle_lost (w);
}

static void
pass (struct fleet_world *w, guint ms)
{
  for (guint i = 0; i < ms && w->broken == NULL; i++)
    pass_ms (w);
}

static void
submit (struct fleet_world *w)
{
  struct sim_owner *o = &w->owners[fleet_draw (w, FLEET_OWNERS)];
  guint n_tasks = 1 + fleet_draw (w, FLEET_MAX_TASKS);
  struct sim_batch *model;
  g_autofree char *job = g_strdup_printf ("j%u", w->batches->len);
  struct batch *batch;

  if (w->n_live >= FLEET_MAX_LIVE || !is_awake (w, o))
    return;
  model = g_new0 (struct sim_batch, 1);
  batch
      = batch_new (job, homes[fleet_draw (w, G_N_ELEMENTS (homes))], n_tasks);
  model->batch = batch;
  model->number = w->batches->len;
  model->owner = o->slot;
  model->n_tasks = n_tasks;
  model->attempts = 1 + fleet_draw (w, 3);
  batch->number = model->number;
  batch->service = g_strdup ("work");
  batch->spec = g_strdup ("");
  batch->affinity = g_strdup (fleet_draw (w, 2) == 0 ? "r1" : "");
  batch->required_label = g_strdup ("");
  batch->step = fleet_draw (w, 3);
  batch->first_run_number = 1 + fleet_draw (w, 3);
  batch->far_factor = 1.5;
  batch->need = (struct shape){ 0.5 + fleet_draw (w, 8) * 0.5, 100, 0 };
  batch->estimate_us
      = (5 + fleet_draw (w, fleet_draw (w, 5) == 0 ? 3000 : 300))
        * USEC_PER_MSEC;
  batch->per_upstream = fleet_draw (w, 3) == 0 ? 2 : 0;
  batch->priority = fleet_draw (w, 3);
  batch->attempts = model->attempts;
  batch->start_by_us = w->now_us + fleet_draw_us (w, 500 * USEC_PER_MSEC);
  if (fleet_draw (w, 3) == 0)
    batch->end_by_us = w->now_us + fleet_draw_us (w, 3 * USEC_PER_SEC);
  for (guint i = 0; i < n_tasks; i++)
    batch->tasks[i].index = batch->step + i;
  g_ptr_array_add (w->batches, model);
  w->n_live++;
  w->counts.n_batches++;
  fleet_tell (w, "owner %u gets batch %s: %u tasks of %.1f cpus, %d ms",
              o->slot, job, n_tasks, batch->need.cpus,
              (gint)(batch->estimate_us / 1000));
  owner_submit_batch (o->owner, batch, w->now_us);
}

/* The COUNTth live batch of an owner that is awake, or NULL.  */
static struct sim_batch *
draw_live (struct fleet_world *w)
{
  guint first = w->batches->len > 60 ? w->batches->len - 60 : 0;
  guint n = w->batches->len - first;

  for (guint tries = 0; tries < 8 && n > 0; tries++)
    {
      struct sim_batch *model
          = g_ptr_array_index (w->batches, first + fleet_draw (w, n));

      if (model->batch != NULL && is_awake (w, &w->owners[model->owner]))
        return model;
    }
  return NULL;
}

static void
stop_batch (struct fleet_world *w)
{
  struct sim_batch *model = draw_live (w);

  if (model == NULL)
    return;
  fleet_tell (w, "batch j%u is stopped", model->number);
  model->unwanted_us = w->now_us;
  owner_stop_batch (w->owners[model->owner].owner, model->batch, "test",
                    w->now_us);
}

static void
stop_home (struct fleet_world *w)
{
  struct sim_owner *o = &w->owners[fleet_draw (w, FLEET_OWNERS)];
  const char *home = homes[fleet_draw (w, G_N_ELEMENTS (homes))];

  if (!is_awake (w, o))
    return;
  fleet_tell (w, "owner %u stops %s", o->slot, home);
  for (guint i = 0; i < w->batches->len; i++)
    {
      struct sim_batch *model = g_ptr_array_index (w->batches, i);

      if (model->batch != NULL && model->owner == o->slot
          && g_str_equal (model->batch->home, home))
        model->unwanted_us = w->now_us;
    }
  owner_stop_home_batches (o->owner, home, w->now_us);
}

static void
return_queued (struct fleet_world *w)
{
  struct sim_owner *o = &w->owners[fleet_draw (w, FLEET_OWNERS)];

  if (is_awake (w, o))
    owner_return_queued (o->owner, "work", 1 + fleet_draw (w, 6), w->now_us);
}

/* Another owner takes over without a word to the former one.  */
static void
take_over (struct fleet_world *w, struct sim_upstream *u)
{
  guint to = fleet_draw (w, FLEET_OWNERS);

  if (!is_awake (w, &w->owners[to]) || !u->is_up)
    return;
  u->owner = to;
  u->next_token += 1 + fleet_draw (w, 3);
  give (w, u);
}

/* The owner hands an upstream over, once nothing runs there.  */
static void
hand_over (struct fleet_world *w, struct sim_upstream *u)
{
  struct sim_owner *o = &w->owners[u->owner];

  if (!is_awake (w, o) || owner_find_upstream (o->owner, u->id) == NULL)
    return;
  fleet_tell (w, "owner %u is to release %s", o->slot, u->id);
  u->owner = (u->owner + 1) % FLEET_OWNERS;
  u->next_token++;
  owner_release_upstream (o->owner, u->id, w->now_us);
  handle_lost (w);
}

/* An owner's process dies; another life takes its upstreams over.  */
static void
crash_owner (struct fleet_world *w)
{
  struct sim_owner *o = &w->owners[fleet_draw (w, FLEET_OWNERS)];

  fleet_tell (w, "owner %u crashes", o->slot);
  for (guint i = 0; i < w->batches->len; i++)
    {
      struct sim_batch *model = g_ptr_array_index (w->batches, i);

      if (model->batch == NULL || model->owner != o->slot)
        continue;
      model->batch = NULL;
      if (model->unwanted_us == 0)
        model->unwanted_us = w->now_us;
      w->n_live--;
      w->counts.n_batches--;
    }
  owner_free (o->owner);
  begin_owner (w, o);
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    if (w->upstreams[i].owner == o->slot)
      {
        w->upstreams[i].next_token++;
        give (w, &w->upstreams[i]);
      }
}

static void
freeze_owner (struct fleet_world *w)
{
  struct sim_owner *o = &w->owners[fleet_draw (w, FLEET_OWNERS)];

  if (!is_awake (w, o))
    return;
  o->frozen_until_us = w->now_us + fleet_draw_us (w, 2 * USEC_PER_SEC);
  if (o->frozen_until_us - w->now_us >= LONG_PAUSE_US)
    {
      o->woken_us = o->frozen_until_us;
      o->unproven = G_MAXUINT64;
    }
  fleet_tell (w, "owner %u is frozen for %d ms", o->slot,
              (gint)((o->frozen_until_us - w->now_us) / 1000));
}

static void
disturb_upstream (struct fleet_world *w, struct sim_upstream *u)
{
  switch (fleet_draw (w, 8))
    {
    case 0:
      if (u->is_up)
        sim_upstream_crash (w, u);
      break;
    case 1:
      u->net = fleet_draw (w, NET_COUNT);
      fleet_tell (w, "the net to %s: %d", u->id, u->net);
      break;
    case 2:
      u->work = fleet_draw (w, WORK_COUNT);
      fleet_tell (w, "the work on %s: %d", u->id, u->work);
      break;
    case 3:
      u->is_unhealthy = !u->is_unhealthy;
      break;
    case 4:
      u->hangs_starts = !u->hangs_starts;
      break;
    case 5:
      u->is_leaving = !u->is_leaving;
      give (w, u);
      break;
    case 6:
      take_over (w, u);
      break;
    default:
      hand_over (w, u);
    }
}

/* Changes the capacity of U to CPUS.  Its owner is told later, as the news go
   through the store.  */
static void
reshape (struct fleet_world *w, struct sim_upstream *u, gdouble cpus)
{
  gdouble used = 0;

  if (!u->is_up || u->shape.cpus == cpus)
    return;
  fleet_tell (w, "%s has %.1f cpus now", u->id, cpus);
  for (guint i = 0; i < u->runs->len; i++)
    used += ((const struct sim_run *)u->runs->pdata[i])->need.cpus;
  w->counts.n_exceeded += used > cpus ? 1 : 0;
  u->shape.cpus = cpus;
  u->shape_version++;
  u->is_news = TRUE;
}

static void
cure (struct fleet_world *w, struct sim_upstream *u)
{
  reshape (w, u, u->full_cpus);
  u->net = NET_SOUND;
  u->work = WORK_SOUND;
  u->is_unhealthy = FALSE;
  u->hangs_starts = FALSE;
  if (u->is_leaving)
    {
      u->is_leaving = FALSE;
      give (w, u);
    }
}

static void
perform (struct fleet_world *w, guint kind)
{
  struct sim_upstream *u = &w->upstreams[fleet_draw (w, FLEET_UPSTREAMS)];

  if (kind < 100)
    submit (w);
  else if (kind < 110)
    stop_batch (w);
  else if (kind < 112)
    stop_home (w);
  else if (kind < 116)
    return_queued (w);
  else if (kind < 128)
    disturb_upstream (w, u);
  else if (kind < 150)
    cure (w, u);
  else if (kind < 152)
    freeze_owner (w);
  else if (kind < 153)
    crash_owner (w);
  else if (kind < 165 && w->has_shrinks)
    reshape (w, u, u->full_cpus * fleet_draw (w, 5) / 4);
}

void
fleet_world_allow_shrinks (struct fleet_world *world)
{
  world->has_shrinks = TRUE;
}

const char *
fleet_world_step (struct fleet_world *world, guint32 code)
{
  g_rand_set_seed (world->details, code);
  perform (world, fleet_draw (world, 1000));
  handle_lost (world);
  pass (world, 1 + fleet_draw (world, MAX_STEP_MS));
  return world->broken;
}

/* Every owner gets upstreams again, so that all its batches can end.  One of
   the upstreams stays cut off.  */
static void
end_faults (struct fleet_world *w)
{
  guint left = fleet_draw (w, FLEET_UPSTREAMS);

  w->is_calm = TRUE;
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    {
      struct sim_upstream *u = &w->upstreams[i];

      cure (w, u);
      if (i == left)
        u->net = NET_CUT;
      if (u->owner == i % FLEET_OWNERS)
        continue;
      u->owner = i % FLEET_OWNERS;
      u->next_token++;
      give (w, u);
    }
  handle_lost (w);
}

static guint
count_ended_runs (const struct fleet_world *world)
{
  guint n = 0;

  for (guint i = 0; i < G_N_ELEMENTS (world->counts.n_run_ends); i++)
    n += world->counts.n_run_ends[i];
  return n;
}

const char *
fleet_world_settle (struct fleet_world *world)
{
  guint n_ended = 0;

  end_faults (world);
  for (guint i = 0; i < STALL_MS && world->n_live > 0; i++)
    {
      pass (world, 1);
      if (count_ended_runs (world) > n_ended)
        i = 0;
      n_ended = count_ended_runs (world);
    }
  fleet_expect (world, world->n_live == 0, "a batch does not end");
  return world->broken;
}
