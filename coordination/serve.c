#include "coordination/serve.h"

#include "base/clock.h"
#include "coordination/host.h"
#include "coordination/placement.h"
#include "coordination/reservation.h"
#include "coordination/shape_check.h"

/* The most entries of a lane's heap that are examined for a task that fits. */
#define LOOKAHEAD 8

/* A lease is renewed this many times over its length; see leases.c.  */
#define RENEWALS_PER_LEASE 3

/* Updates the index of UPSTREAM after a change of its running tasks.  Updates
   those of the host's other upstreams too when the host has become full or is
   no longer full.  */
static void
update_indexes (struct upstream *upstream, gint64 now_us)
{
  struct host *host = upstream->host;
  struct list_node *node;
  struct list_node *after;

  if (host_is_full (host) == host->is_indexed_full)
    {
      pool_update_index (upstream, now_us);
      return;
    }
  host->is_indexed_full = host_is_full (host);
  list_for_each (node, after, &host->upstreams)
    pool_update_index (list_entry (node, struct upstream, host_link), now_us);
}

/* Counts TASK as running on UPSTREAM.  */
static void
occupy_upstream (struct dispatcher *d, struct task *task,
                 struct upstream *upstream, gint64 now_us)
{
  struct pool *pool = upstream->pool;
  gint64 lease_us = pool->service->lease_ms * USEC_PER_MSEC;

  if (upstream->n_running == 0)
    {
      upstream->renew_due_us = now_us + lease_us / RENEWALS_PER_LEASE;
      list_append (&d->busy_upstreams, &upstream->busy_link);
    }
  upstream->n_running++;
  health_note_start (upstream);
  upstream->host->n_running++;
  list_append (&upstream->running, &task->upstream_link);
  shape_add (&upstream->host->used, &task->need);
  pool->n_running++;
  pool->running_work_us += task->estimate_us;
  pool->last_start_us = now_us;
  quota_note_start (&pool->team->quota, now_us);
  host_note_start (upstream, task->estimate_us,
                   team_get_pool_weight (pool->team));
  d->n_running++;
}

/* Moves TASK from its lane to UPSTREAM and has the driver start it.  */
static void
start_task (struct dispatcher *d, struct task *task, struct upstream *upstream,
            gint64 now_us)
{
  struct pool *pool = upstream->pool;
  struct job *job = job_ref (task->job);

  pool_dequeue (pool, task);
  job->n_queued--;
  job->n_running++;
  job->n_started++;
  pool_remove_queued_work (pool, job);
  job->queued_work_us -= task->estimate_us;
  pool_add_queued_work (pool, job, now_us);
  task->state = TASK_RUNNING;
  task->upstream = upstream_ref (upstream);
  task->token = d->next_token++;
  task->started_us = now_us;
  task->lease_deadline_us = now_us + pool->service->lease_ms * USEC_PER_MSEC;
  task->is_lease_refused = FALSE;
  occupy_upstream (d, task, upstream, now_us);
  lane_update_job (job);
  d->driver->ops->start_task (d->driver, task);
}

/* Whether the quota of POOL's team allows a start.  If not, marks the team as
   throttled and schedules a retry.  */
static gboolean
check_quota (struct dispatcher *d, struct pool *pool, gint64 now_us)
{
  gint64 retry_at_us;

  if (quota_may_start (&pool->team->quota, &d->vms, now_us, &retry_at_us))
    return TRUE;
  pool->team->is_throttled = TRUE;
  d->throttle_retry_us = MIN (d->throttle_retry_us, retry_at_us);
  return FALSE;
}

/* The upstream on which TASK of LANE can start now, or NULL.  */
static struct upstream *
find_upstream (struct dispatcher *d, struct pool *pool,
               const struct lane *lane, const struct task *task, gint64 now_us)
{
  struct upstream *upstream = lane->upstream;

  if (upstream == NULL)
    return placement_late_binding.choose (pool, lane->kinds, &task->need,
                                          d->random);
  if (!pool_may_start_on (upstream, now_us)
      || !shape_fits_beside (&task->need, &upstream->host->used,
                             &upstream->shape))
    return NULL;
  return upstream;
}

/* Starts one task of LANE.  Returns FALSE when none of the tasks examined can
   start.  */
static gboolean
serve_lane_once (struct dispatcher *d, struct pool *pool, struct lane *lane,
                 gint64 now_us)
{
  for (guint i = 0; i < MIN (lane->heap->len, LOOKAHEAD); i++)
    {
      struct task *task = lane_entry_peek (g_ptr_array_index (lane->heap, i));
      struct upstream *upstream = find_upstream (d, pool, lane, task, now_us);

      if (upstream == NULL)
        continue;
      start_task (d, task, upstream, now_us);
      update_indexes (upstream, now_us);
      return TRUE;
    }
  return FALSE;
}

/* Of the lanes that have tasks and are not blocked, the one whose first job is
   served first; or NULL.  */
static struct lane *
find_first_lane (struct pool *pool)
{
  struct lane *first = NULL;

  for (guint i = 0; i < pool->lanes->len; i++)
    {
      struct lane *lane = g_ptr_array_index (pool->lanes, i);

      if (lane->is_blocked || lane->n_tasks == 0)
        continue;
      if (first == NULL
          || lane_entry_precedes (lane_peek (lane), lane_peek (first)))
        first = lane;
    }
  return first;
}

static gboolean
has_free_upstream (const struct pool *pool)
{
  for (guint i = 0; i < pool->indexes->len; i++)
    {
      const struct pool_index *index = g_ptr_array_index (pool->indexes, i);

      if (index->nonempty_levels != 0)
        return TRUE;
    }
  return FALSE;
}

static void
unblock_lanes (struct pool *pool)
{
  for (guint i = 0; i < pool->lanes->len; i++)
    {
      struct lane *lane = g_ptr_array_index (pool->lanes, i);

      lane->is_blocked = FALSE;
    }
}

void
serve_pool (struct dispatcher *d, struct pool *pool, gint64 now_us)
{
  if (pool->n_queued == 0 || !has_free_upstream (pool))
    return;
  unblock_lanes (pool);
  while (pool->n_queued > 0 && has_free_upstream (pool)
         && check_quota (d, pool, now_us))
    {
      struct lane *lane = find_first_lane (pool);

      if (lane == NULL)
        return;
      if (!serve_lane_once (d, pool, lane, now_us))
        lane->is_blocked = TRUE;
    }
}

/* The task of LANE that UPSTREAM serves first and that fits there, or NULL. */
static struct task *
find_task_in_lane (const struct lane *lane, const struct upstream *upstream)
{
  const struct lane_entry *best = NULL;

  if ((lane->kinds >> upstream->shape_kind & 1) == 0
      || (lane->upstream != NULL && lane->upstream != upstream))
    return NULL;
  for (guint i = 0; i < MIN (lane->heap->len, LOOKAHEAD); i++)
    {
      const struct lane_entry *entry = g_ptr_array_index (lane->heap, i);

      if (!shape_fits_beside (&lane_entry_peek (entry)->need,
                              &upstream->host->used, &upstream->shape))
        continue;
      if (best == NULL || lane_entry_precedes (entry, best))
        best = entry;
      if (i == 0)
        break;
    }
  return best != NULL ? lane_entry_peek (best) : NULL;
}

/* The queued task of POOL that is served first on UPSTREAM, or NULL.  */
static struct task *
find_task (struct pool *pool, const struct upstream *upstream)
{
  struct task *best = NULL;

  for (guint i = 0; i < pool->lanes->len; i++)
    {
      struct task *task
          = find_task_in_lane (g_ptr_array_index (pool->lanes, i), upstream);

      if (task == NULL)
        continue;
      if (best == NULL
          || lane_entry_precedes (task->queue_entry, best->queue_entry))
        best = task;
    }
  return best;
}

/* The time since which POOL has waited to start TASK, its first one.  */
static gint64
get_waiting_since_us (const struct pool *pool, const struct task *task)
{
  return MAX (pool->last_start_us, task->job->accepted_us);
}

/* Whether task X on upstream A is served before task Y on upstream B; see
   coordination/host.h for the rules.  */
static gboolean
is_served_before (const struct upstream *a, const struct task *x,
                  const struct upstream *b, const struct task *y,
                  gint64 now_us)
{
  gboolean a_within = host_is_within_share (a, now_us);
  gboolean b_within = host_is_within_share (b, now_us);
  gint64 a_us = host_get_virtual_us (a);
  gint64 b_us = host_get_virtual_us (b);
  gint64 a_since_us = get_waiting_since_us (a->pool, x);
  gint64 b_since_us = get_waiting_since_us (b->pool, y);

  if (MIN (a_since_us, b_since_us) + HOST_MAX_WAIT_US <= now_us)
    return a_since_us < b_since_us;
  if (a_within != b_within)
    return a_within;
  if (!a_within && a_us != b_us)
    return a_us < b_us;
  return lane_entry_precedes (x->queue_entry, y->queue_entry);
}

/* The task that may start on UPSTREAM now, with regard to quota and
   reservation, or NULL.  */
static struct task *
find_startable_task (struct dispatcher *d, struct upstream *upstream,
                     gint64 now_us)
{
  if (upstream->pool->n_queued == 0 || !pool_has_room_on (upstream, now_us)
      || !check_quota (d, upstream->pool, now_us))
    return NULL;
  if (upstream->host->reserved_job != NULL)
    return reservation_find_task (upstream);
  return find_task (upstream->pool, upstream);
}

/* The upstream of HOST that gets the next slot, or NULL when none has a task
   that may start.  Sets *TASK to its task.  Recomputes host->active_weight. */
static struct upstream *
find_next_upstream (struct dispatcher *d, struct host *host,
                    struct task **task, gint64 now_us)
{
  struct upstream *best = NULL;
  struct list_node *node;
  struct list_node *after;

  host->active_weight = 0;
  list_for_each (node, after, &host->upstreams)
    {
      struct upstream *upstream
          = list_entry (node, struct upstream, host_link);
      struct pool *pool = upstream->pool;
      struct task *first;

      if (pool == NULL || pool->n_queued + pool->n_running == 0)
        continue;
      host->active_weight += team_get_pool_weight (pool->team);
      first = find_startable_task (d, upstream, now_us);
      if (first == NULL
          || (best != NULL
              && !is_served_before (upstream, first, best, *task, now_us)))
        continue;
      best = upstream;
      *task = first;
    }
  return best;
}

void
serve_upstream (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  struct host *host = upstream->host;

  if (host == NULL)
    return;
  reservation_reserve_if_starved (upstream, now_us);
  while (!host_is_full (host))
    {
      struct task *task = NULL;
      struct upstream *due = find_next_upstream (d, host, &task, now_us);

      if (due == NULL)
        break;
      if (host->reserved_job == task->job)
        reservation_end (host, now_us);
      start_task (d, task, due, now_us);
      pool_update_index (due, now_us);
    }
  update_indexes (upstream, now_us);
}

void
serve_team (struct dispatcher *d, struct team *team, gint64 now_us)
{
  team->is_throttled = FALSE;
  for (guint i = 0; i < team->pools->len; i++)
    serve_pool (d, g_ptr_array_index (team->pools, i), now_us);
}

void
serve_throttled (struct dispatcher *d, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (d->throttle_retry_us > now_us)
    return;
  d->throttle_retry_us = DEADLINE_NEVER;
  g_hash_table_iter_init (&iter, d->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct team *team = value;

      if (team->is_throttled)
        serve_team (d, team, now_us);
    }
}

static int
compare_rests (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const struct upstream *x = a;
  const struct upstream *y = b;
  gint64 x_us = x->health->rest_until_us;
  gint64 y_us = y->health->rest_until_us;

  return (x_us > y_us) - (x_us < y_us);
}

void
serve_clear_rest (struct upstream *upstream)
{
  if (upstream->rest_iter != NULL)
    g_sequence_remove (upstream->rest_iter);
  upstream->rest_iter = NULL;
}

void
serve_update_rest (struct dispatcher *d, struct upstream *upstream,
                   gint64 now_us)
{
  serve_clear_rest (upstream);
  if (upstream->pool == NULL)
    return;
  if (upstream->health->rest_until_us > now_us)
    upstream->rest_iter = g_sequence_insert_sorted (
        d->resting_upstreams, upstream, compare_rests, NULL);
  pool_update_index (upstream, now_us);
}

void
serve_rested (struct dispatcher *d, gint64 now_us)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (d->resting_upstreams);
      struct upstream *upstream;

      if (g_sequence_iter_is_end (first))
        return;
      upstream = g_sequence_get (first);
      if (upstream->health->rest_until_us > now_us)
        return;
      serve_clear_rest (upstream);
      serve_upstream (d, upstream, now_us);
    }
}

void
serve_requeue_bound_tasks (struct dispatcher *d, struct upstream *upstream)
{
  struct lane *lane = upstream->lane;
  g_autoptr (GPtrArray) tasks = g_ptr_array_new ();

  while (lane != NULL && lane->n_tasks > 0)
    {
      struct task *task = lane_entry_peek (lane_peek (lane));

      pool_dequeue (upstream->pool, task);
      g_ptr_array_add (tasks, task);
    }
  for (guint i = 0; i < tasks->len; i++)
    pool_enqueue (upstream->pool, g_ptr_array_index (tasks, i), FALSE,
                  d->random);
}

/* Updates the state of UPSTREAM after its last running task has ended.  */
static void
note_idle (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  list_remove (&upstream->busy_link);
  if (upstream->pool != NULL
      && health_note_idle (upstream, &upstream->pool->health, now_us))
    {
      serve_update_rest (d, upstream, now_us);
      pool_update_slots (upstream->pool);
    }
  if (upstream->is_removed && upstream->host != NULL)
    host_detach (d->hosts, upstream);
}

void
serve_release_task (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct upstream *upstream = task->upstream;
  struct job *job = task->job;
  struct pool *pool = job->pool;
  gint64 run_time_us = now_us - task->started_us;

  list_remove (&task->upstream_link);
  upstream->n_running--;
  upstream->host->n_running--;
  shape_subtract (&upstream->host->used, &task->need);
  host_note_end (upstream, task->estimate_us, run_time_us,
                 team_get_pool_weight (pool->team), now_us);
  pool->n_running--;
  pool->running_work_us -= task->estimate_us;
  quota_note_end (&pool->team->quota);
  job->n_running--;
  d->n_running--;
  if (upstream->n_running == 0)
    note_idle (d, upstream, now_us);
  task->upstream = NULL;
  upstream_unref (upstream);
}
