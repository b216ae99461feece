#include "t/support/fleet_world_private.h"

struct sim_order *
sim_order_new (struct sim_owner *owner, struct owned_upstream *owned,
               enum sim_order_kind kind)
{
  struct sim_order *order = g_new0 (struct sim_order, 1);

  order->kind = kind;
  order->owner = owner->slot;
  order->owner_life = owner->life;
  order->owned = owned_ref (owned);
  order->poll = owned->n_polls;
  order->token = owned->token;
  order->sent = order_credentials_get (owned);
  order->running = g_array_new (FALSE, FALSE, sizeof (struct listed_run));
  order->ended = g_array_new (FALSE, FALSE, sizeof (struct listed_end));
  return order;
}

void
sim_order_free (gpointer data)
{
  struct sim_order *order = data;

  for (guint i = 0; i < order->running->len; i++)
    g_free ((char *)g_array_index (order->running, struct listed_run, i).name);
  for (guint i = 0; i < order->ended->len; i++)
    g_free ((char *)g_array_index (order->ended, struct listed_end, i).name);
  g_array_unref (order->running);
  g_array_unref (order->ended);
  owned_unref (order->owned);
  g_free (order->name);
  g_free (order);
}

/* What becomes of an order on the way there.  */
static void
draw_way (struct fleet_world *world, const struct sim_upstream *upstream,
          struct sim_order *order)
{
  guint chance = world->is_calm ? G_MAXUINT : fleet_draw (world, 100);
  guint n_bad = upstream->net == NET_LOSSY ? 40 : 8;

  order->carry_us = world->now_us + fleet_draw_us (world, 4 * USEC_PER_MSEC);
  if (upstream->net == NET_CUT)
    order->carry_us = DEADLINE_NEVER;
  if (chance >= n_bad)
    return;
  order->is_answer_lost = TRUE;
  if (chance % 3 == 0)
    order->carry_us = DEADLINE_NEVER;
  else if (chance % 3 == 1)
    order->carry_us = world->now_us + fleet_draw_us (world, 2 * USEC_PER_SEC);
  else
    order->carry_us = world->now_us + 300 * USEC_PER_MSEC
                      + fleet_draw_us (world, 300 * USEC_PER_MSEC);
}

void
sim_order_send (struct fleet_world *world, struct sim_order *order,
                guint timeout_ms)
{
  struct sim_upstream *upstream
      = fleet_find_upstream (world, order->owned->id);

  order->sent_us = world->now_us;
  order->give_up_us = world->now_us + timeout_ms * USEC_PER_MSEC;
  order->answer_us = DEADLINE_NEVER;
  order->carry_us = DEADLINE_NEVER;
  order->end = ORDER_UNANSWERED;
  order->slot = upstream != NULL ? upstream->slot : FLEET_UPSTREAMS;
  if (upstream == NULL || !upstream->is_up)
    {
      order->end = ORDER_NOT_SENT;
      if (upstream == NULL || upstream->net != NET_CUT)
        order->answer_us = world->now_us + USEC_PER_MSEC;
    }
  else
    {
      order->life_us = upstream->born_us;
      draw_way (world, upstream, order);
    }
  g_ptr_array_add (world->orders, order);
}

static void
note_told_ends (struct fleet_world *world, const struct sim_order *order)
{
  for (guint i = 0; i < order->ended->len; i++)
    {
      const struct listed_end *end
          = &g_array_index (order->ended, struct listed_end, i);
      guint index;
      struct sim_batch *batch = fleet_find_batch (world, end->name, &index);

      /* Each end is told again until it is acknowledged.  */
      if (end->entry_number <= order->owned->last_ended_entry
          || batch->owner != order->owner || order->owned->is_removed
          || end->end != RUN_DONE)
        continue;
      batch->tasks[index].is_done = TRUE;
      if (end->run_number == batch->tasks[index].last_number)
        batch->tasks[index].is_last_done = TRUE;
    }
}

static void
tell_ask (struct fleet_world *world, struct sim_owner *to,
          const struct sim_order *order, enum order_end end)
{
  struct upstream_report report = {
    .clock_ms = order->clock_ms,
    .instance_start_ms = order->born_ms,
    .running = (struct listed_run *)(void *)order->running->data,
    .n_running = order->running->len,
    .ended = (struct listed_end *)(void *)order->ended->data,
    .n_ended = order->ended->len,
  };

  if (end == ORDER_ACCEPTED && order->sent_us >= to->woken_us)
    to->unproven &= ~(G_GUINT64_CONSTANT (1) << order->slot);
  if (end == ORDER_ACCEPTED)
    note_told_ends (world, order);
  owner_poll_ended (to->owner, order->owned, order->poll, end,
                    end == ORDER_ACCEPTED ? &report : NULL, world->now_us);
}

static void
tell (struct fleet_world *world, struct sim_order *order, enum order_end end)
{
  struct sim_owner *to = &world->owners[order->owner];
  gint64 clock_ms
      = end == ORDER_UNANSWERED || end == ORDER_NOT_SENT ? 0 : order->clock_ms;

  end = order_judge_refusal (order->owned, &order->sent,
                             order->kind == SIM_START, end);
  order->is_told = TRUE;
  if (to->life != order->owner_life)
    return;
  if (order->kind != SIM_ASK || end != ORDER_ACCEPTED)
    fleet_tell (world, "owner %u learns of %s %u %s on %s: %d", to->slot,
                order->kind == SIM_START  ? "start"
                : order->kind == SIM_STOP ? "stop"
                                          : "ask",
                order->number, order->name != NULL ? order->name : "",
                order->owned->id, end);
  if (order->kind == SIM_START)
    owner_start_ended (to->owner, order->owned, order->name, order->number,
                       end, clock_ms, world->now_us);
  else if (order->kind == SIM_STOP)
    owner_stop_ended (to->owner, order->owned, order->name, order->number, end,
                      clock_ms, world->now_us);
  else
    tell_ask (world, to, order, end);
}

/* Whether the upstream that ORDER was sent to is still in that life.  */
static gboolean
is_same_life (const struct fleet_world *world, const struct sim_order *order)
{
  const struct sim_upstream *upstream;

  if (order->slot >= FLEET_UPSTREAMS)
    return FALSE;
  upstream = &world->upstreams[order->slot];
  return upstream->is_up && upstream->born_us == order->life_us;
}

static void
move_order (struct fleet_world *world, struct sim_order *order)
{
  const struct sim_owner *to = &world->owners[order->owner];

  if (!order->is_carried && order->carry_us <= world->now_us)
    {
      order->is_carried = TRUE;
      if (is_same_life (world, order))
        sim_upstream_obey (world, &world->upstreams[order->slot], order);
    }
  if (order->wait_us != 0 && order->wait_us <= world->now_us
      && is_same_life (world, order))
    sim_upstream_answer_ask (world, &world->upstreams[order->slot], order);
  if (order->is_told || world->now_us < to->frozen_until_us)
    return;
  if (order->answer_us <= world->now_us)
    tell (world, order, order->end);
  else if (order->give_up_us <= world->now_us)
    tell (world, order, ORDER_UNANSWERED);
}

/* Whether nothing more can become of ORDER.  */
static gboolean
is_over (const struct fleet_world *world, const struct sim_order *order)
{
  return order->is_told
         && (order->is_carried || order->carry_us == DEADLINE_NEVER
             || !is_same_life (world, order));
}

void
sim_orders_pass (struct fleet_world *world)
{
  for (guint i = 0; i < world->orders->len; i++)
    move_order (world, g_ptr_array_index (world->orders, i));
  for (guint i = world->orders->len; i > 0; i--)
    if (is_over (world, g_ptr_array_index (world->orders, i - 1)))
      g_ptr_array_remove_index_fast (world->orders, i - 1);
}
