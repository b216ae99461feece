#include "coordination/rollout.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "coordination/job_flow.h"
#include "coordination/reservation.h"
#include "coordination/serve.h"
#include "coordination/wind_down.h"

/* The dispatcher ticks at least this many times during a lease.  */
#define TICKS_PER_LEASE 10

/* Bounds of the tick period.  */
#define MIN_TICK_US (20 * USEC_PER_MSEC)
#define MAX_TICK_US (500 * USEC_PER_MSEC)

static struct team *
ensure_team (struct dispatcher *d, const char *name)
{
  struct team *team = g_hash_table_lookup (d->teams, name);

  if (team == NULL)
    {
      team = team_new (name);
      g_hash_table_insert (d->teams, team->name, team);
    }
  return team;
}

static void
ensure_pools (struct dispatcher *d, struct team *team)
{
  GPtrArray *services = team->document->services;

  for (guint i = 0; i < services->len; i++)
    {
      struct service *service = g_ptr_array_index (services, i);
      struct pool *pool;

      if (dispatcher_find_pool (d, team->name, service->name) != NULL)
        continue;
      pool = pool_new (team, service->name);
      g_hash_table_insert (d->pools, pool->key, pool);
    }
}

/* Sorts tasks by acceptance of their jobs, then by estimate, the longest
   first.  */
static int
compare_queue_order (gconstpointer a, gconstpointer b)
{
  const struct task *x = *(struct task *const *)a;
  const struct task *y = *(struct task *const *)b;
  guint64 x_sequence = x->job->sequence;
  guint64 y_sequence = y->job->sequence;

  if (x_sequence != y_sequence)
    return x_sequence < y_sequence ? -1 : 1;
  if (x->estimate_us != y->estimate_us)
    return x->estimate_us > y->estimate_us ? -1 : 1;
  return x->index < y->index ? -1 : 1;
}

/* Dequeues all tasks of POOL.  Returns them sorted with
   compare_queue_order (); free with g_ptr_array_unref ().  */
static GPtrArray *
dequeue_all_tasks (struct pool *pool)
{
  GPtrArray *tasks = g_ptr_array_new ();

  for (guint i = 0; i < pool->lanes->len; i++)
    {
      struct lane *lane = g_ptr_array_index (pool->lanes, i);

      while (lane->n_tasks > 0)
        {
          struct task *task = lane_entry_peek (lane_peek (lane));

          pool_dequeue (pool, task);
          g_ptr_array_add (tasks, task);
        }
    }
  g_ptr_array_sort (tasks, compare_queue_order);
  return tasks;
}

/* Queues TASKS again, and fails the jobs that can no longer run.  */
static void
requeue_tasks (struct dispatcher *d, struct pool *pool, GPtrArray *tasks,
               gint64 now_us)
{
  const char *reason
      = pool->service != NULL
            ? "no upstream is left that has the resources for a task"
            : "the service was removed from its document";

  for (guint i = 0; i < tasks->len; i++)
    {
      struct task *task = g_ptr_array_index (tasks, i);

      if (task->state != TASK_QUEUED)
        continue;
      if (!pool_enqueue (pool, task, FALSE, d->random))
        job_flow_give_up (d, task->job, reason, now_us);
    }
}

/* Recomputes POOL's shutdown time, and logs an event when it gets one.  */
static void
update_shutdown (struct dispatcher *d, struct pool *pool)
{
  gint64 former_us = pool->shutdown_us;

  pool->shutdown_us = DEADLINE_NEVER;
  if (pool->service == NULL || !d->has_unix_offset)
    return;
  pool->shutdown_us
      = wind_down_compute_deadline (pool->service, d->unix_offset_us);
  if (former_us == DEADLINE_NEVER && pool->shutdown_us != DEADLINE_NEVER)
    event_log (EVENT_SERVICE_WINDING_DOWN, "service '%s' of team '%s'",
               pool->service_name, pool->team->name);
}

static void
clear_rests (struct pool *pool)
{
  for (guint i = 0; i < pool->upstreams->len; i++)
    serve_clear_rest (g_ptr_array_index (pool->upstreams, i));
}

/* Whether UPSTREAM is known to be in another zone than this VM.  */
static gboolean
is_in_other_zone (const struct dispatcher *d, const struct upstream *upstream)
{
  const char *zone = upstream->availability_zone;

  return *d->availability_zone != '\0' && *zone != '\0'
         && !g_str_equal (zone, d->availability_zone);
}

/* Sets is_leaving and is_remote of POOL's upstreams.  */
static void
update_upstream_flags (struct dispatcher *d, struct pool *pool)
{
  for (guint i = 0; i < pool->upstreams->len; i++)
    {
      struct upstream *upstream = g_ptr_array_index (pool->upstreams, i);

      upstream->is_leaving
          = g_hash_table_contains (d->leaving_names, upstream->name);
      upstream->is_remote = is_in_other_zone (d, upstream);
    }
  pool_update_slots (pool);
}

static void
update_rests (struct dispatcher *d, struct pool *pool, gint64 now_us)
{
  for (guint i = 0; i < pool->upstreams->len; i++)
    serve_update_rest (d, g_ptr_array_index (pool->upstreams, i), now_us);
}

static void
apply_to_pool (struct dispatcher *d, struct pool *pool, gint64 now_us)
{
  g_autoptr (GPtrArray) tasks = dequeue_all_tasks (pool);

  if (pool->reserved_host != NULL)
    reservation_end (pool->reserved_host, now_us);
  clear_rests (pool);
  pool_apply_document (pool, d->hosts);
  update_upstream_flags (d, pool);
  update_rests (d, pool, now_us);
  update_shutdown (d, pool);
  requeue_tasks (d, pool, tasks, now_us);
}

/* Shortens the tick period to suit the leases of TEAM's services.  */
static void
update_tick (struct dispatcher *d, struct team *team)
{
  for (guint i = 0; i < team->document->services->len; i++)
    {
      struct service *service
          = g_ptr_array_index (team->document->services, i);
      gint64 tick_us = service->lease_ms * USEC_PER_MSEC / TICKS_PER_LEASE;

      d->tick_us = MIN (d->tick_us, CLAMP (tick_us, MIN_TICK_US, MAX_TICK_US));
    }
}

void
rollout_apply (struct dispatcher *d, struct document *document, gint64 now_us)
{
  struct team *team = ensure_team (d, document->team);

  g_hash_table_replace (d->documents, g_strdup (document->team),
                        document_ref (document));
  team_apply_document (team, document);
  ensure_pools (d, team);
  update_tick (d, team);
  for (guint i = 0; i < team->pools->len; i++)
    apply_to_pool (d, g_ptr_array_index (team->pools, i), now_us);
  serve_team (d, team, now_us);
}

void
rollout_update_shutdowns (struct dispatcher *d)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_shutdown (d, value);
}
