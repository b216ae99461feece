#include "t/support/load_upstream.h"

#include <string.h>

#define ORDER_MS 2 /* there and back */
#define START_TIMEOUT_MS 300
#define STOP_TIMEOUT_MS 200
#define POLL_MARGIN_MS 200

/* How many times longer a run takes that begins while its upstream is cold. */
#define COLD_SLOWNESS 3

enum order_kind
{
  START_ORDER,
  STOP_ORDER,
  POLL_ORDER
};

struct sim_run
{
  char *name;
  guint number;
  gdouble cpus;
  gint64 began_us;
  gint64 ends_us;
};

struct sim_end
{
  char *name;
  guint number;
  enum run_end end;
};

struct sim_upstream
{
  guint number;
  gdouble speed;
  gboolean is_failing;
  struct owned_upstream *owned; /* referenced */
  gboolean is_gone;
  gint64 warm_at_us; /* runs that begin before are slower */
  GArray *runs;      /* struct sim_run */
  GArray *ends;      /* struct sim_end, by entry number less one */
};

struct sim_order
{
  enum order_kind kind;
  struct sim_upstream *upstream;
  char *name; /* NULL for a poll */
  guint number;
  gdouble cpus;
  guint run_ms;
  guint64 poll;
  guint64 last_ended; /* that the poll acknowledges */
  gint64 answer_us;   /* the latest time of its answer */
  gboolean is_lost;
};

struct load_upstreams
{
  struct owner *owner;
  const struct load_config *config;
  GRand *rand;
  gdouble lost_share;
  gint64 now_us;
  gint64 began_us;
  GPtrArray *upstreams; /* struct sim_upstream */
  GPtrArray *orders;    /* struct sim_order that is not answered */
};

static void
clear_run (gpointer data)
{
  g_free (((struct sim_run *)data)->name);
}

static void
clear_end (gpointer data)
{
  g_free (((struct sim_end *)data)->name);
}

static void
order_free (gpointer data)
{
  struct sim_order *order = data;

  g_free (order->name);
  g_free (order);
}

static void
upstream_free (gpointer data)
{
  struct sim_upstream *upstream = data;

  g_array_unref (upstream->runs);
  g_array_unref (upstream->ends);
  owned_unref (upstream->owned);
  g_free (upstream);
}

static gint64
get_clock_ms (const struct load_upstreams *all)
{
  return (all->now_us - all->began_us) / USEC_PER_MSEC + 1;
}

static struct sim_upstream *
find_upstream (const struct load_upstreams *all,
               const struct owned_upstream *owned)
{
  for (guint i = 0; i < all->upstreams->len; i++)
    {
      struct sim_upstream *upstream = g_ptr_array_index (all->upstreams, i);

      if (upstream->owned == owned)
        return upstream;
    }
  return NULL;
}

/* The speed of the upstream NUMBER.  */
static gdouble
get_speed (const struct load_config *config, guint number)
{
  guint n = 0;

  while (n < LOAD_MAX_SPEEDS && config->speeds[n] > 0)
    n++;
  return n > 0 ? config->speeds[number % n] : 1;
}

/* The CPUs of the upstream NUMBER.  Every third of one speed is wide.  */
static gdouble
get_cpus (const struct load_config *config, guint number)
{
  if (!config->is_sized)
    return LOAD_SLOTS;
  return number / LOAD_MAX_SPEEDS % 3 == 2 ? 24 : 16;
}

/* Takes the upstream NUMBER, or tells its owner anew what it is.  */
static struct owned_upstream *
tell_owner (struct load_upstreams *all, guint number, gboolean is_leaving,
            gint64 warm_at_us)
{
  g_autofree char *id = g_strdup_printf ("u%u", number);
  const struct listed_upstream spec
      = { .id = id,
          .address = "127.0.0.1:1",
          .service = "s",
          .rack = "",
          .availability_zone = "z",
          .shape = { .cpus = get_cpus (all->config, number) },
          .instance_start_ms = 1,
          .warm_at_us = warm_at_us,
          .is_leaving = is_leaving };

  return owner_take_upstream (all->owner, &spec, 1, all->now_us);
}

static void
take_upstream (struct load_upstreams *all, guint number)
{
  const struct upstream_report report
      = { .clock_ms = get_clock_ms (all), .instance_start_ms = 1 };
  struct sim_upstream *upstream = g_new0 (struct sim_upstream, 1);
  struct owned_upstream *owned = tell_owner (all, number, FALSE, 0);

  upstream->number = number;
  upstream->speed = get_speed (all->config, number);
  upstream->is_failing = all->config->failing_every > 0
                         && number % all->config->failing_every == 0;
  upstream->runs = g_array_new (FALSE, FALSE, sizeof (struct sim_run));
  upstream->ends = g_array_new (FALSE, FALSE, sizeof (struct sim_end));
  g_array_set_clear_func (upstream->runs, clear_run);
  g_array_set_clear_func (upstream->ends, clear_end);
  /* The poll of the take, which was sent before the upstream was known here,
     is answered at once.  */
  owner_poll_ended (all->owner, owned, owned->n_polls, ORDER_ACCEPTED, &report,
                    all->now_us);
  upstream->owned = owned_ref (owned);
  g_ptr_array_add (all->upstreams, upstream);
}

struct load_upstreams *
load_upstreams_new (struct owner *owner, const struct load_config *config,
                    guint first, guint n, GRand *rand, gint64 now_us)
{
  struct load_upstreams *all = g_new0 (struct load_upstreams, 1);

  all->owner = owner;
  all->config = config;
  all->rand = rand;
  all->now_us = now_us;
  all->began_us = now_us;
  all->upstreams = g_ptr_array_new_with_free_func (upstream_free);
  all->orders = g_ptr_array_new_with_free_func (order_free);
  for (guint i = 0; i < n; i++)
    take_upstream (all, first + i);
  return all;
}

void
load_upstreams_set_lost_share (struct load_upstreams *upstreams, gdouble share)
{
  upstreams->lost_share = share;
}

void
load_upstreams_free (struct load_upstreams *upstreams)
{
  g_ptr_array_unref (upstreams->orders);
  g_ptr_array_unref (upstreams->upstreams);
  g_free (upstreams);
}

void
load_upstreams_remove (struct load_upstreams *upstreams, guint number,
                       gint64 now_us)
{
  for (guint i = 0; i < upstreams->upstreams->len; i++)
    {
      struct sim_upstream *upstream
          = g_ptr_array_index (upstreams->upstreams, i);

      if (upstream->number != number || upstream->is_gone)
        continue;
      upstream->is_gone = TRUE;
      g_array_set_size (upstream->runs, 0);
      owner_remove_upstream (upstreams->owner, upstream->owned->id, now_us);
    }
}

void
load_upstreams_slow_down (struct load_upstreams *upstreams, guint every,
                          gdouble factor)
{
  for (guint i = 0; i < upstreams->upstreams->len; i++)
    {
      struct sim_upstream *upstream
          = g_ptr_array_index (upstreams->upstreams, i);

      if (upstream->number % every == 0)
        upstream->speed /= factor;
    }
}

void
load_upstreams_set_leaving (struct load_upstreams *upstreams, guint number,
                            gboolean is_leaving, guint warm_up_ms,
                            gint64 now_us)
{
  for (guint i = 0; i < upstreams->upstreams->len; i++)
    {
      struct sim_upstream *upstream
          = g_ptr_array_index (upstreams->upstreams, i);

      if (upstream->number != number || upstream->is_gone)
        continue;
      upstreams->now_us = now_us;
      upstream->warm_at_us = now_us + warm_up_ms * USEC_PER_MSEC;
      tell_owner (upstreams, number, is_leaving, upstream->warm_at_us);
    }
}

static struct sim_order *
send_order (struct load_upstreams *all, enum order_kind kind,
            const struct owned_upstream *owned, const struct run *run,
            guint timeout_ms)
{
  struct sim_upstream *upstream = find_upstream (all, owned);
  struct sim_order *order = g_new0 (struct sim_order, 1);

  order->kind = kind;
  order->upstream = upstream;
  order->name = run != NULL ? g_strdup (run->name) : NULL;
  order->number = run != NULL ? run->number : 0;
  order->cpus = run != NULL ? run->need.cpus : 0;
  order->is_lost = g_rand_double (all->rand) < all->lost_share;
  order->answer_us
      = all->now_us + (order->is_lost ? timeout_ms : ORDER_MS) * USEC_PER_MSEC;
  g_ptr_array_add (all->orders, order);
  return order;
}

void
load_upstreams_start (struct load_upstreams *upstreams, const struct run *run,
                      guint run_ms, gint64 now_us)
{
  upstreams->now_us = now_us;
  send_order (upstreams, START_ORDER, run->upstream, run, START_TIMEOUT_MS)
      ->run_ms
      = run_ms;
}

void
load_upstreams_stop (struct load_upstreams *upstreams, const struct run *run,
                     gint64 now_us)
{
  upstreams->now_us = now_us;
  send_order (upstreams, STOP_ORDER, run->upstream, run, STOP_TIMEOUT_MS);
}

void
load_upstreams_poll (struct load_upstreams *upstreams,
                     struct owned_upstream *owned, guint wait_ms,
                     gint64 now_us)
{
  struct sim_order *order;

  upstreams->now_us = now_us;
  if (find_upstream (upstreams, owned) == NULL)
    return; /* it is being taken */
  order = send_order (upstreams, POLL_ORDER, owned, NULL,
                      wait_ms + POLL_MARGIN_MS);
  order->poll = owned->n_polls;
  order->last_ended = owned->last_ended_entry;
  if (!order->is_lost)
    order->answer_us += wait_ms * USEC_PER_MSEC;
}

static void
end_run (struct sim_upstream *upstream, guint index, enum run_end end)
{
  const struct sim_run *run
      = &g_array_index (upstream->runs, struct sim_run, index);
  struct sim_end entry
      = { .name = g_strdup (run->name), .number = run->number, .end = end };

  g_array_append_val (upstream->ends, entry);
  g_array_remove_index (upstream->runs, index);
}

static void
end_due_runs (struct load_upstreams *all)
{
  for (guint u = 0; u < all->upstreams->len; u++)
    {
      struct sim_upstream *upstream = g_ptr_array_index (all->upstreams, u);

      for (guint i = upstream->runs->len; i > 0; i--)
        if (g_array_index (upstream->runs, struct sim_run, i - 1).ends_us
            <= all->now_us)
          end_run (upstream, i - 1,
                   upstream->is_failing ? RUN_FAILED : RUN_DONE);
    }
}

static void
answer_poll (struct load_upstreams *all, const struct sim_order *order)
{
  const struct sim_upstream *upstream = order->upstream;
  g_autoptr (GArray) running
      = g_array_new (FALSE, FALSE, sizeof (struct listed_run));
  g_autoptr (GArray) ended
      = g_array_new (FALSE, FALSE, sizeof (struct listed_end));
  struct upstream_report report
      = { .clock_ms = get_clock_ms (all), .instance_start_ms = 1 };

  for (guint i = 0; i < upstream->runs->len; i++)
    {
      const struct sim_run *run
          = &g_array_index (upstream->runs, struct sim_run, i);
      gint64 percent = (all->now_us - run->began_us) * 100
                       / (run->ends_us - run->began_us);
      struct listed_run listed = { run->name, run->number, (guint)percent };

      g_array_append_val (running, listed);
    }
  for (guint i = (guint)order->last_ended; i < upstream->ends->len; i++)
    {
      const struct sim_end *end
          = &g_array_index (upstream->ends, struct sim_end, i);
      struct listed_end listed = { i + 1, end->name, end->number, end->end };

      g_array_append_val (ended, listed);
    }
  report.running = (const struct listed_run *)(void *)running->data;
  report.n_running = running->len;
  report.ended = (const struct listed_end *)(void *)ended->data;
  report.n_ended = ended->len;
  owner_poll_ended (all->owner, upstream->owned, order->poll, ORDER_ACCEPTED,
                    &report, all->now_us);
}

/* Adds RUN, which must fit.  */
static void
add_run (struct sim_upstream *upstream, const struct sim_run *run)
{
  gdouble cpus = run->cpus;

  for (guint i = 0; i < upstream->runs->len; i++)
    cpus += g_array_index (upstream->runs, struct sim_run, i).cpus;
  g_assert_cmpfloat (cpus, <=, upstream->owned->shape.cpus + 0.01);
  g_array_append_vals (upstream->runs, run, 1);
}

static void
carry_out (struct load_upstreams *all, const struct sim_order *order)
{
  struct sim_upstream *upstream = order->upstream;
  guint slowness = all->now_us < upstream->warm_at_us ? COLD_SLOWNESS : 1;
  guint run_ms = upstream->is_failing
                     ? LOAD_FAIL_MS
                     : (guint)(order->run_ms * slowness / upstream->speed);
  struct sim_run run = { .number = order->number,
                         .cpus = order->cpus,
                         .began_us = all->now_us,
                         .ends_us = all->now_us + run_ms * USEC_PER_MSEC };

  if (order->kind == START_ORDER)
    {
      run.name = g_strdup (order->name);
      add_run (upstream, &run);
      return;
    }
  for (guint i = 0; i < upstream->runs->len; i++)
    if (g_str_equal (g_array_index (upstream->runs, struct sim_run, i).name,
                     order->name))
      {
        end_run (upstream, i, RUN_STOPPED);
        return;
      }
}

static void
answer (struct load_upstreams *all, const struct sim_order *order)
{
  enum order_end end = order->is_lost ? ORDER_UNANSWERED : ORDER_ACCEPTED;
  gint64 clock_ms = order->is_lost ? 0 : get_clock_ms (all);
  struct owned_upstream *owned = order->upstream->owned;

  if (!order->is_lost && order->kind != POLL_ORDER)
    carry_out (all, order);
  if (order->kind == START_ORDER)
    owner_start_ended (all->owner, owned, order->name, order->number, end,
                       clock_ms, all->now_us);
  else if (order->kind == STOP_ORDER)
    owner_stop_ended (all->owner, owned, order->name, order->number, end,
                      clock_ms, all->now_us);
  else if (order->is_lost)
    owner_poll_ended (all->owner, owned, order->poll, end, NULL, all->now_us);
  else
    answer_poll (all, order);
}

/* Whether ORDER is answered now: a poll that waits, as soon as a run ends.  */
static gboolean
is_due (const struct load_upstreams *all, const struct sim_order *order)
{
  if (order->answer_us <= all->now_us)
    return TRUE;
  return order->kind == POLL_ORDER && !order->is_lost
         && order->upstream->ends->len > order->last_ended;
}

void
load_upstreams_advance (struct load_upstreams *upstreams, gint64 now_us)
{
  upstreams->now_us = now_us;
  end_due_runs (upstreams);
  for (guint i = 0; i < upstreams->orders->len;)
    {
      struct sim_order *order = g_ptr_array_index (upstreams->orders, i);

      if (!is_due (upstreams, order))
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index_fast (upstreams->orders, i);
      if (!order->upstream->is_gone)
        answer (upstreams, order);
      order_free (order);
    }
}
