/*
 * Loads of several seconds on one owner, on simulated upstreams.
 *
 * Pattern "burst beside lost orders": for two seconds more work arrives than
 * the upstreams can do, while one order in twenty-five gets no answer.  What
 * is served in time must stay what it was before the burst.
 */
#include "base/clock.h"
#include "coordination/owner.h"

#include <string.h>

#define START_US (1000 * USEC_PER_SEC)
#define STEP_US USEC_PER_MSEC
#define N_UPSTREAMS 6
#define SLOTS 2 /* of one upstream */
#define RUN_MS 200
#define START_TIMEOUT_MS 300
#define STOP_TIMEOUT_MS 200
#define POLL_MARGIN_MS 200

/* The home's rules for a job of RUN_MS: the objective, and the latest end of
   interest.  */
#define OBJECTIVE_MS (RUN_MS * 16 / 10 + 60)
#define LATE_FACTOR 3

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
  gint64 began_us;
};

struct sim_end
{
  char *name;
  guint number;
  enum run_end end;
};

struct sim_upstream
{
  struct owned_upstream *owned;
  GArray *runs; /* struct sim_run */
  GArray *ends; /* struct sim_end, by entry number less one */
};

struct sim_order
{
  enum order_kind kind;
  struct sim_upstream *upstream;
  char *name; /* NULL for a poll */
  guint number;
  guint64 poll;
  guint64 last_ended; /* that the poll acknowledges */
  gint64 answer_us;   /* the latest time of its answer */
  gboolean is_lost;
};

struct load
{
  struct owner_driver driver;
  struct owner *owner;
  GRand *rand;
  gdouble lost_share; /* of orders */
  gint64 now_us;
  struct sim_upstream upstreams[N_UPSTREAMS];
  GPtrArray *orders; /* struct sim_order that is not answered */
  guint n_jobs;
  guint n_in_time; /* jobs served so, ever */
};

static struct load *
load_from_driver (struct owner_driver *driver)
{
  return list_entry (driver, struct load, driver);
}

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

static struct sim_upstream *
find_upstream (struct load *load, const struct owned_upstream *owned)
{
  for (guint i = 0; i < N_UPSTREAMS; i++)
    if (load->upstreams[i].owned == owned)
      return &load->upstreams[i];
  return NULL;
}

static struct sim_order *
send_order (struct load *load, enum order_kind kind,
            const struct owned_upstream *upstream, const char *name,
            guint number, guint timeout_ms)
{
  struct sim_order *order = g_new0 (struct sim_order, 1);

  order->kind = kind;
  order->upstream = find_upstream (load, upstream);
  order->name = g_strdup (name);
  order->number = number;
  order->is_lost = g_rand_double (load->rand) < load->lost_share;
  order->answer_us
      = load->now_us
        + (order->is_lost ? timeout_ms * USEC_PER_MSEC : 2 * STEP_US);
  g_ptr_array_add (load->orders, order);
  return order;
}

static void
on_start (struct owner_driver *driver, struct run *run, gint64 until_ms)
{
  send_order (load_from_driver (driver), START_ORDER, run->upstream, run->name,
              run->number, START_TIMEOUT_MS);
}

static void
on_stop (struct owner_driver *driver, struct run *run)
{
  send_order (load_from_driver (driver), STOP_ORDER, run->upstream, run->name,
              run->number, STOP_TIMEOUT_MS);
}

static void
on_poll (struct owner_driver *driver, struct owned_upstream *upstream,
         gint64 until_ms, guint wait_ms)
{
  struct load *load = load_from_driver (driver);
  struct sim_order *order;

  if (find_upstream (load, upstream) == NULL)
    return; /* it is being taken; take_upstreams () answers */
  order = send_order (load, POLL_ORDER, upstream, NULL, 0,
                      wait_ms + POLL_MARGIN_MS);
  order->poll = upstream->n_polls;
  order->last_ended = upstream->last_ended_entry;
  if (!order->is_lost)
    order->answer_us += wait_ms * USEC_PER_MSEC;
}

static void
on_return (struct owner_driver *driver, struct batch *batch,
           const guint *indexes, guint n_tasks)
{
}

static void
on_finish (struct owner_driver *driver, struct batch *batch)
{
  struct load *load = load_from_driver (driver);
  gint64 took_us = load->now_us - batch->queued_us;

  if (batch->n_done > 0 && took_us <= OBJECTIVE_MS * USEC_PER_MSEC)
    load->n_in_time++;
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
  .return_tasks = on_return,
  .finish_batch = on_finish,
  .ownership_ended = on_lost,
  .wake_at = on_wake_at,
};

static gint64
get_clock_ms (const struct load *load)
{
  return (load->now_us - START_US) / USEC_PER_MSEC + 1;
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
end_due_runs (struct load *load)
{
  for (guint u = 0; u < N_UPSTREAMS; u++)
    {
      struct sim_upstream *upstream = &load->upstreams[u];

      for (guint i = upstream->runs->len; i > 0; i--)
        if (g_array_index (upstream->runs, struct sim_run, i - 1).began_us
                + RUN_MS * USEC_PER_MSEC
            <= load->now_us)
          end_run (upstream, i - 1, RUN_DONE);
    }
}

static void
answer_poll (struct load *load, const struct sim_order *order)
{
  const struct sim_upstream *upstream = order->upstream;
  g_autoptr (GArray) running
      = g_array_new (FALSE, FALSE, sizeof (struct listed_run));
  g_autoptr (GArray) ended
      = g_array_new (FALSE, FALSE, sizeof (struct listed_end));
  struct upstream_report report
      = { .clock_ms = get_clock_ms (load), .instance_start_ms = 1 };

  for (guint i = 0; i < upstream->runs->len; i++)
    {
      const struct sim_run *run
          = &g_array_index (upstream->runs, struct sim_run, i);
      gint64 percent
          = (load->now_us - run->began_us) * 100 / (RUN_MS * USEC_PER_MSEC);
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
  owner_poll_ended (load->owner, upstream->owned, order->poll, ORDER_ACCEPTED,
                    &report, load->now_us);
}

static void
carry_out (struct load *load, const struct sim_order *order)
{
  struct sim_upstream *upstream = order->upstream;
  struct sim_run run = { .number = order->number, .began_us = load->now_us };

  if (order->kind == START_ORDER)
    {
      run.name = g_strdup (order->name);
      g_assert_cmpuint (upstream->runs->len, <, SLOTS);
      g_array_append_val (upstream->runs, run);
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
answer (struct load *load, const struct sim_order *order)
{
  enum order_end end = order->is_lost ? ORDER_UNANSWERED : ORDER_ACCEPTED;
  gint64 clock_ms = order->is_lost ? 0 : get_clock_ms (load);
  struct owned_upstream *owned = order->upstream->owned;

  if (!order->is_lost && order->kind != POLL_ORDER)
    carry_out (load, order);
  if (order->kind == START_ORDER)
    owner_start_ended (load->owner, owned, order->name, order->number, end,
                       clock_ms, load->now_us);
  else if (order->kind == STOP_ORDER)
    owner_stop_ended (load->owner, owned, order->name, order->number, end,
                      clock_ms, load->now_us);
  else if (order->is_lost)
    owner_poll_ended (load->owner, owned, order->poll, end, NULL,
                      load->now_us);
  else
    answer_poll (load, order);
}

/* Whether ORDER is answered now: a poll that waits, as soon as a run ends.  */
static gboolean
is_due (const struct load *load, const struct sim_order *order)
{
  if (order->answer_us <= load->now_us)
    return TRUE;
  return order->kind == POLL_ORDER && !order->is_lost
         && order->upstream->ends->len > order->last_ended;
}

static void
step (struct load *load)
{
  load->now_us += STEP_US;
  end_due_runs (load);
  for (guint i = 0; i < load->orders->len;)
    {
      struct sim_order *order = g_ptr_array_index (load->orders, i);

      if (!is_due (load, order))
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index_fast (load->orders, i);
      answer (load, order);
      order_free (order);
    }
  owner_advance (load->owner, load->now_us);
}

static void
submit_job (struct load *load)
{
  g_autofree char *id = g_strdup_printf ("%016x", ++load->n_jobs);
  struct batch *batch = batch_new (id, "home", 1);

  batch->service = g_strdup ("s");
  batch->spec = g_strdup ("");
  batch->need.cpus = 1;
  batch->estimate_us = RUN_MS * USEC_PER_MSEC;
  batch->attempts = 3;
  batch->start_by_us = load->now_us + (OBJECTIVE_MS - RUN_MS) * USEC_PER_MSEC;
  batch->end_by_us
      = load->now_us + (OBJECTIVE_MS * LATE_FACTOR - RUN_MS) * USEC_PER_MSEC;
  batch->max_wait_us = (batch->start_by_us - load->now_us) * 2 / 3;
  owner_submit_batch (load->owner, batch, load->now_us);
}

/* Lets N_SECONDS pass with JOBS_PER_S at even distances.  Returns how many
   jobs were served in time.  */
static guint
run_load (struct load *load, guint n_seconds, guint jobs_per_s)
{
  gint64 end_us = load->now_us + n_seconds * USEC_PER_SEC;
  gint64 next_us = load->now_us;
  guint n_before = load->n_in_time;

  while (load->now_us < end_us)
    {
      step (load);
      for (; next_us <= load->now_us; next_us += USEC_PER_SEC / jobs_per_s)
        submit_job (load);
    }
  return load->n_in_time - n_before;
}

static void
take_upstreams (struct load *load)
{
  static const struct upstream_report report
      = { .clock_ms = 1, .instance_start_ms = 1 };

  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      struct sim_upstream *upstream = &load->upstreams[i];
      g_autofree char *id = g_strdup_printf ("u%u", i);
      const struct listed_upstream spec = { .id = id,
                                            .address = "127.0.0.1:1",
                                            .service = "s",
                                            .rack = "",
                                            .availability_zone = "z",
                                            .shape = { .cpus = SLOTS },
                                            .instance_start_ms = 1 };
      struct owned_upstream *owned
          = owner_take_upstream (load->owner, &spec, 1, load->now_us);

      upstream->runs = g_array_new (FALSE, FALSE, sizeof (struct sim_run));
      upstream->ends = g_array_new (FALSE, FALSE, sizeof (struct sim_end));
      g_array_set_clear_func (upstream->runs, clear_run);
      g_array_set_clear_func (upstream->ends, clear_end);
      owner_poll_ended (load->owner, owned, owned->n_polls, ORDER_ACCEPTED,
                        &report, load->now_us);
      upstream->owned = owned;
    }
}

static struct load *
load_new (guint32 seed)
{
  static const struct owner_limits limits
      = { .lease_ms = 900, .max_lease_ms = 1000, .clock_drift_ppm = 20500 };
  struct load *load = g_new0 (struct load, 1);

  load->driver.ops = &ops;
  load->now_us = START_US;
  load->rand = g_rand_new_with_seed (seed);
  load->orders = g_ptr_array_new_with_free_func (order_free);
  load->owner = owner_new (&load->driver, &limits);
  take_upstreams (load);
  return load;
}

static void
load_free (struct load *load)
{
  owner_free (load->owner);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      g_array_unref (load->upstreams[i].runs);
      g_array_unref (load->upstreams[i].ends);
    }
  g_ptr_array_unref (load->orders);
  g_rand_free (load->rand);
  g_free (load);
}

/* Jobs per second that fill all slots.  */
#define FULL_LOAD (N_UPSTREAMS * SLOTS * 1000 / RUN_MS)
#define USUAL_LOAD (FULL_LOAD * 3 / 4)
#define BURST_LOAD (FULL_LOAD * 3 / 2)

static void
test_burst (gconstpointer data)
{
  gdouble lost_share = *(const gdouble *)data;

  for (guint32 seed = 1; seed <= 5; seed++)
    {
      struct load *load = load_new (seed);
      guint n_before = run_load (load, 2, USUAL_LOAD);
      guint n_in_burst;

      load->lost_share = lost_share;
      n_in_burst = run_load (load, 2, BURST_LOAD);
      g_test_message ("seed %u: %u in time before, %u in the burst", seed,
                      n_before, n_in_burst);
      g_assert_cmpuint (n_in_burst, >=, n_before);
      load_free (load);
    }
}

int
main (int argc, char **argv)
{
  static const gdouble none = 0;
  static const gdouble one_in_25 = 0.04;

  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/burst/plain", &none, test_burst);
  g_test_add_data_func ("/burst/lost-orders", &one_in_25, test_burst);
  return g_test_run ();
}
