#include "t/support/fleet_world_private.h"

#define MILLION 1000000

static void
run_free (gpointer data)
{
  struct sim_run *run = data;

  g_free (run->name);
  g_free (run);
}

static void
end_free (gpointer data)
{
  struct sim_end *end = data;

  g_free (end->name);
  g_free (end);
}

void
sim_upstream_init (struct fleet_world *world, guint slot)
{
  struct sim_upstream *u = &world->upstreams[slot];

  u->slot = slot;
  u->owner = slot % FLEET_OWNERS;
  u->next_token = 10;
  u->runs = g_ptr_array_new_with_free_func (run_free);
  u->ends = g_ptr_array_new_with_free_func (end_free);
  u->highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sim_upstream_begin (world, u, TRUE);
}

void
sim_upstream_clear (struct sim_upstream *upstream)
{
  g_ptr_array_unref (upstream->runs);
  g_ptr_array_unref (upstream->ends);
  g_hash_table_unref (upstream->highest);
}

void
sim_upstream_begin (struct fleet_world *world, struct sim_upstream *upstream,
                    gboolean is_new)
{
  struct sim_upstream *u = upstream;

  if (is_new)
    g_snprintf (u->id, sizeof u->id, "u%u-%u", u->slot, ++u->n_ids);
  u->is_up = TRUE;
  u->is_gone = FALSE;
  u->is_leaving = FALSE;
  for (guint i = 0; i < FLEET_OWNERS; i++)
    u->is_told_leaving[i] = FALSE;
  u->is_unhealthy = FALSE;
  u->hangs_starts = FALSE;
  u->work = WORK_SOUND;
  u->net = NET_SOUND;
  u->born_us = world->now_us;
  u->born_ms = G_GINT64_CONSTANT (1700000000000) + world->now_us / 1000;
  u->slow_ppm = fleet_draw (world, FLEET_DRIFT_PPM + 1);
  u->token = 0;
  u->last_end = 0;
  u->shape = (struct shape){ 4.0 + fleet_draw (world, 3) * 4.0, 64000, 0 };
  u->full_cpus = u->shape.cpus;
  u->shape_version++;
  fleet_tell (world, "%s begins, %.0f cpus", u->id, u->shape.cpus);
}

void
sim_upstream_crash (struct fleet_world *world, struct sim_upstream *upstream)
{
  fleet_tell (world, "%s crashes", upstream->id);
  upstream->is_up = FALSE;
  /* Some are back before anybody has missed them.  */
  upstream->rebirth_us
      = world->now_us
        + (fleet_draw (world, 3) == 0
               ? fleet_draw_us (world, 50 * USEC_PER_MSEC)
               : 1500 * USEC_PER_MSEC
                     + fleet_draw_us (world, 2 * USEC_PER_SEC));
  g_ptr_array_set_size (upstream->runs, 0);
  g_ptr_array_set_size (upstream->ends, 0);
  g_hash_table_remove_all (upstream->highest);
  world->counts.n_crashes++;
}

gint64
sim_upstream_clock_ms (const struct fleet_world *world,
                       const struct sim_upstream *upstream)
{
  gint64 age_us = world->now_us - upstream->born_us;

  return 1 + (age_us - age_us * upstream->slow_ppm / MILLION) / USEC_PER_MSEC;
}

static struct sim_run *
find_run (const struct sim_upstream *upstream, const char *name)
{
  for (guint i = 0; i < upstream->runs->len; i++)
    {
      struct sim_run *run = g_ptr_array_index (upstream->runs, i);

      if (g_str_equal (run->name, name))
        return run;
    }
  return NULL;
}

static void
note_highest (struct sim_upstream *upstream, const char *name, guint number)
{
  guint highest
      = GPOINTER_TO_UINT (g_hash_table_lookup (upstream->highest, name));

  if (number > highest)
    g_hash_table_insert (upstream->highest, g_strdup (name),
                         GUINT_TO_POINTER (number));
}

/* Answers the asks that wait for an end.  */
static void
wake_asks (struct fleet_world *world, const struct sim_upstream *upstream)
{
  for (guint i = 0; i < world->orders->len; i++)
    {
      struct sim_order *order = g_ptr_array_index (world->orders, i);

      if (order->slot == upstream->slot && order->wait_us != 0)
        order->wait_us = world->now_us;
    }
}

static void
end_run (struct fleet_world *world, struct sim_upstream *upstream,
         struct sim_run *run, enum run_end how)
{
  struct sim_end *end = g_new0 (struct sim_end, 1);

  fleet_tell (world, "%s run %u of %s ends: %d", upstream->id, run->number,
              run->name, how);
  end->number = ++upstream->last_end;
  end->name = g_strdup (run->name);
  end->run = run->number;
  end->how = how;
  g_ptr_array_add (upstream->ends, end);
  note_highest (upstream, run->name, run->number);
  world->counts.n_run_ends[how]++;
  g_ptr_array_remove (upstream->runs, run);
  wake_asks (world, upstream);
}

/* Whether RUN may still be going on.  */
static void
check_wanted (struct fleet_world *world, const struct sim_run *run)
{
  guint index;
  const struct sim_batch *batch = fleet_find_batch (world, run->name, &index);

  if (batch->unwanted_us != 0)
    fleet_expect (world,
                  world->now_us <= batch->unwanted_us + FLEET_STOP_BOUND_US,
                  "a run that nobody wants goes on");
}

static void
pass_run (struct fleet_world *world, struct sim_upstream *upstream,
          struct sim_run *run)
{
  check_wanted (world, run);
  if (sim_upstream_clock_ms (world, upstream) >= run->lease_ms)
    end_run (world, upstream, run, RUN_LEASE_EXPIRED);
  else if (run->stopped_us <= world->now_us)
    end_run (world, upstream, run, RUN_STOPPED);
  else if (run->done_us <= world->now_us && upstream->work != WORK_HANGS)
    end_run (world, upstream, run, run->fails ? RUN_FAILED : RUN_DONE);
}

void
sim_upstream_pass (struct fleet_world *world, struct sim_upstream *upstream)
{
  for (guint i = upstream->runs->len; i > 0; i--)
    pass_run (world, upstream, g_ptr_array_index (upstream->runs, i - 1));
}

/* What goes through the net on the way back.  */
static void
send_answer (struct fleet_world *world, const struct sim_upstream *upstream,
             struct sim_order *order)
{
  gint64 delay_us = fleet_draw_us (world, 6 * USEC_PER_MSEC);

  order->wait_us = 0;
  order->clock_ms = sim_upstream_clock_ms (world, upstream);
  if (!world->is_calm && fleet_draw (world, 60) == 0)
    delay_us = fleet_draw_us (world, 300 * USEC_PER_MSEC);
  order->answer_us = world->now_us + delay_us;
  if (order->is_answer_lost || upstream->net == NET_MUTE
      || upstream->net == NET_CUT
      || (order->kind == SIM_START && upstream->hangs_starts)
      || (upstream->net == NET_LOSSY && fleet_draw (world, 8) == 0))
    order->answer_us = DEADLINE_NEVER;
}

static guint
find_percent (const struct fleet_world *world,
              const struct sim_upstream *upstream, const struct sim_run *run)
{
  gint64 percent = (world->now_us - run->began_us) * 100 / run->total_us;

  if (upstream->work == WORK_HANGS)
    return run->number * 7 % 100;
  return (guint)CLAMP (percent, 0, 99);
}

void
sim_upstream_answer_ask (struct fleet_world *world,
                         struct sim_upstream *upstream,
                         struct sim_order *order)
{
  for (guint i = 0; i < upstream->runs->len; i++)
    {
      const struct sim_run *run = g_ptr_array_index (upstream->runs, i);
      struct listed_run row = { g_strdup (run->name), run->number,
                                find_percent (world, upstream, run) };

      g_array_append_val (order->running, row);
    }
  for (guint i = 0; i < upstream->ends->len; i++)
    {
      const struct sim_end *end = g_ptr_array_index (upstream->ends, i);
      struct listed_end row
          = { end->number, g_strdup (end->name), end->run, end->how };

      g_array_append_val (order->ended, row);
    }
  order->born_ms = upstream->born_ms;
  order->end = ORDER_ACCEPTED;
  send_answer (world, upstream, order);
}

static void
prolong (struct fleet_world *world, struct sim_upstream *upstream,
         gint64 until_ms)
{
  gint64 latest_ms
      = sim_upstream_clock_ms (world, upstream) + FLEET_MAX_LEASE_MS;

  for (guint i = 0; i < upstream->runs->len; i++)
    {
      struct sim_run *run = g_ptr_array_index (upstream->runs, i);

      run->lease_ms = MAX (run->lease_ms, MIN (until_ms, latest_ms));
    }
}

/* Whether a start is refused for sure.  */
static gboolean
is_refused (struct fleet_world *world, struct sim_upstream *upstream,
            const struct sim_order *order)
{
  guint highest = GPOINTER_TO_UINT (
      g_hash_table_lookup (upstream->highest, order->name));
  gboolean has_no_room = !world->is_calm && fleet_draw (world, 200) == 0;

  if (order->until_ms <= sim_upstream_clock_ms (world, upstream))
    return TRUE;
  prolong (world, upstream, order->until_ms);
  return order->number <= highest || has_no_room;
}

/* The CPUs that ORDER may make UPSTREAM use: as many as its sender knew of. */
static gdouble
get_limit (const struct sim_upstream *upstream, const struct sim_order *order)
{
  return order->told_version == upstream->shape_version ? upstream->shape.cpus
                                                        : upstream->full_cpus;
}

static void
check_begin (struct fleet_world *world, const struct sim_upstream *upstream,
             const struct sim_order *order)
{
  gdouble cpus = order->need.cpus;
  guint index;
  struct sim_batch *batch = fleet_find_batch (world, order->name, &index);

  for (guint i = 0; i < upstream->runs->len; i++)
    cpus += ((struct sim_run *)g_ptr_array_index (upstream->runs, i))
                ->need.cpus;
  fleet_expect (world, cpus <= get_limit (upstream, order) + 0.001,
                "an upstream gets more than it has");
  for (guint i = 0; i < FLEET_UPSTREAMS; i++)
    fleet_expect (world,
                  !world->upstreams[i].is_up
                      || find_run (&world->upstreams[i], order->name) == NULL,
                  "a task runs twice at once");
  fleet_expect (world, batch->n_finished == 0,
                "a run of a batch that has ended begins");
  fleet_expect (world, order->token == upstream->token,
                "a run of a former owner begins");
  batch->n_begun++;
}

static void
begin_run (struct fleet_world *world, struct sim_upstream *upstream,
           const struct sim_order *order)
{
  struct sim_run *run = g_new0 (struct sim_run, 1);
  gint64 clock_ms = sim_upstream_clock_ms (world, upstream);

  check_begin (world, upstream, order);
  fleet_tell (world, "%s begins run %u of %s", upstream->id, order->number,
              order->name);
  run->name = g_strdup (order->name);
  run->number = order->number;
  run->need = order->need;
  run->began_us = world->now_us;
  run->total_us = order->estimate_us * (70 + fleet_draw (world, 70)) / 100;
  if (upstream->work == WORK_SLOW)
    run->total_us *= 6;
  run->fails = upstream->work == WORK_FAILS
               || (!world->is_calm && fleet_draw (world, 50) == 0);
  run->done_us = world->now_us + run->total_us;
  run->stopped_us = DEADLINE_NEVER;
  run->lease_ms = MIN (order->until_ms, clock_ms + FLEET_MAX_LEASE_MS);
  g_ptr_array_add (upstream->runs, run);
  world->counts.n_begun++;
  if (order->is_told)
    world->counts.n_late++;
}

static enum order_end
obey_start (struct fleet_world *world, struct sim_upstream *upstream,
            const struct sim_order *order)
{
  const struct sim_run *run = find_run (upstream, order->name);

  if (run != NULL && run->number == order->number)
    {
      prolong (world, upstream, order->until_ms);
      return ORDER_ACCEPTED;
    }
  if (is_refused (world, upstream, order))
    return ORDER_REJECTED;
  begin_run (world, upstream, order);
  return ORDER_ACCEPTED;
}

static enum order_end
obey_stop (struct fleet_world *world, struct sim_upstream *upstream,
           const struct sim_order *order)
{
  struct sim_run *run = find_run (upstream, order->name);

  note_highest (upstream, order->name, order->number);
  if (run != NULL && run->number == order->number
      && run->stopped_us == DEADLINE_NEVER)
    run->stopped_us
        = world->now_us + fleet_draw_us (world, FLEET_STOP_MS * USEC_PER_MSEC);
  return ORDER_ACCEPTED;
}

static void
obey_ask (struct fleet_world *world, struct sim_upstream *upstream,
          struct sim_order *order)
{
  if (order->until_ms != 0)
    prolong (world, upstream, order->until_ms);
  while (upstream->ends->len > 0
         && ((struct sim_end *)g_ptr_array_index (upstream->ends, 0))->number
                <= order->last_seen)
    g_ptr_array_remove_index (upstream->ends, 0);
  if (order->wait_ms > 0 && upstream->ends->len == 0)
    order->wait_us = world->now_us + order->wait_ms * USEC_PER_MSEC;
  else
    sim_upstream_answer_ask (world, upstream, order);
}

void
sim_upstream_obey (struct fleet_world *world, struct sim_upstream *upstream,
                   struct sim_order *order)
{
  /* A start goes only over a connection that has carried an answer of the
     instance that the owner knows; see platform/orders.c.  */
  if (order->kind == SIM_START
      && order->sent.instance_start_ms != upstream->born_ms)
    order->end = ORDER_OTHER_INSTANCE;
  else if (upstream->is_unhealthy && order->kind == SIM_START)
    order->end = ORDER_UNHEALTHY;
  else if (order->token < upstream->token)
    {
      order->end = ORDER_FENCED;
      world->counts.n_fenced++;
    }
  else
    {
      upstream->token = order->token;
      if (order->kind == SIM_ASK)
        {
          obey_ask (world, upstream, order);
          return;
        }
      order->end = order->kind == SIM_START
                       ? obey_start (world, upstream, order)
                       : obey_stop (world, upstream, order);
    }
  send_answer (world, upstream, order);
}
