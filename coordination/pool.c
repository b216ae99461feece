#include "coordination/pool.h"

#include "base/clock.h"
#include "coordination/host.h"
#include "coordination/placement.h"
#include "coordination/shape_check.h"

struct pool *
pool_new (struct team *team, const char *service_name)
{
  struct pool *pool = g_new0 (struct pool, 1);

  pool->key = g_strconcat (team->name, "/", service_name, NULL);
  pool->service_name = g_strdup (service_name);
  pool->team = team;
  g_ptr_array_add (team->pools, pool);
  pool->placement = placement_find (PLACEMENT_DEFAULT);
  pool->order = order_find (ORDER_DEFAULT);
  pool->upstreams
      = g_ptr_array_new_with_free_func ((GDestroyNotify)upstream_unref);
  pool->kinds = g_array_new (FALSE, FALSE, sizeof (struct shape));
  pool->indexes = g_ptr_array_new_with_free_func (g_free);
  pool->lanes = g_ptr_array_new_with_free_func ((GDestroyNotify)lane_free);
  pool->shutdown_us = DEADLINE_NEVER;
  return pool;
}

void
pool_free (struct pool *pool)
{
  g_ptr_array_unref (pool->lanes);
  g_ptr_array_unref (pool->indexes);
  g_array_unref (pool->kinds);
  g_ptr_array_unref (pool->upstreams);
  g_free (pool->service_name);
  g_free (pool->key);
  g_free (pool);
}

/* Removes from UPSTREAMS the one with the name and address of SPEC.  Returns
   its reference to the caller, or NULL.  */
static struct upstream *
steal_matching_upstream (GPtrArray *upstreams,
                         const struct upstream_spec *spec)
{
  for (guint i = 0; i < upstreams->len; i++)
    {
      struct upstream *upstream = g_ptr_array_index (upstreams, i);

      if (g_str_equal (upstream->name, spec->name)
          && g_str_equal (upstream->address, spec->address))
        return g_ptr_array_steal_index_fast (upstreams, i);
    }
  return NULL;
}

/* Updates UPSTREAM, which stays in the pool.  A share that differs from the
   slots was granted and is kept.  */
static void
update_upstream (struct upstream *upstream, const struct upstream_spec *spec,
                 const struct service *service)
{
  gboolean is_shared = upstream->share != upstream->slots;

  upstream->shape = spec->shape;
  upstream->slots = service->slots_per_upstream;
  if (!is_shared)
    upstream->share = service->slots_per_upstream;
  upstream->max_connections = service->connections_per_upstream;
  upstream->lease_ms = service->lease_ms;
}

static void
add_upstream (struct pool *pool, struct upstream *upstream, GHashTable *hosts)
{
  if (upstream->health == NULL)
    upstream->health = health_new ();
  upstream->pool = pool;
  upstream->lane = NULL;
  upstream->shape_kind = shape_kinds_add (pool->kinds, &upstream->shape);
  if (upstream->host == NULL)
    host_attach (hosts, upstream);
  else
    host_update_slots (upstream->host);
  g_ptr_array_add (pool->upstreams, upstream);
}

/* Marks UPSTREAM as removed.  It stays on its host until it is idle, so that
   its running tasks are counted there.  */
static void
remove_upstream (struct upstream *upstream, GHashTable *hosts)
{
  health_leave_pool (upstream, &upstream->pool->health);
  upstream->is_removed = TRUE;
  upstream->pool = NULL;
  upstream->lane = NULL;
  if (upstream->n_running == 0)
    host_detach (hosts, upstream);
}

static struct pool_index *
pool_index_new (void)
{
  struct pool_index *index = g_new0 (struct pool_index, 1);

  for (guint i = 0; i < POOL_N_LEVELS; i++)
    list_init (&index->levels[i]);
  return index;
}

/* Removes all lanes, which are empty, and the indexes and shape kinds.  */
static void
clear_index (struct pool *pool)
{
  for (guint i = 0; i < pool->upstreams->len; i++)
    {
      struct upstream *upstream = g_ptr_array_index (pool->upstreams, i);

      list_remove (&upstream->level_link);
    }
  g_ptr_array_set_size (pool->lanes, 0);
  g_ptr_array_set_size (pool->indexes, 0);
  g_array_set_size (pool->kinds, 0);
}

static void
replace_upstreams (struct pool *pool, GHashTable *hosts)
{
  GPtrArray *former = pool->upstreams;

  pool->upstreams
      = g_ptr_array_new_with_free_func ((GDestroyNotify)upstream_unref);
  for (guint i = 0; pool->service && i < pool->service->upstreams->len; i++)
    {
      struct upstream_spec *spec
          = g_ptr_array_index (pool->service->upstreams, i);
      struct upstream *upstream = steal_matching_upstream (former, spec);

      if (upstream != NULL)
        update_upstream (upstream, spec, pool->service);
      else
        upstream = upstream_new (spec, pool->service);
      add_upstream (pool, upstream, hosts);
    }
  for (guint i = 0; i < former->len; i++)
    remove_upstream (g_ptr_array_index (former, i), hosts);
  g_ptr_array_unref (former);
}

/* Sets the placement policy and queueing order that the document names, or the
   defaults for unknown names.  */
static void
choose_policies (struct pool *pool)
{
  const struct placement_ops *placement
      = placement_find (pool->service->placement);
  const struct order_ops *order = order_find (pool->service->order);

  pool->placement
      = placement != NULL ? placement : placement_find (PLACEMENT_DEFAULT);
  pool->order = order != NULL ? order : order_find (ORDER_DEFAULT);
}

void
pool_apply_document (struct pool *pool, GHashTable *hosts)
{
  clear_index (pool);
  pool->service
      = document_find_service (pool->team->document, pool->service_name);
  if (pool->service != NULL)
    choose_policies (pool);
  replace_upstreams (pool, hosts);
  for (guint i = 0; i < pool->kinds->len; i++)
    g_ptr_array_add (pool->indexes, pool_index_new ());
  pool->health.n_upstreams = pool->upstreams->len;
  pool_update_slots (pool);
}

static struct lane *
add_lane (struct pool *pool, guint64 kinds, struct upstream *upstream)
{
  struct lane *lane = lane_new (kinds, upstream, pool->order);

  g_ptr_array_add (pool->lanes, lane);
  return lane;
}

static struct lane *
ensure_shared_lane (struct pool *pool, guint64 kinds)
{
  for (guint i = 0; i < pool->lanes->len; i++)
    {
      struct lane *lane = g_ptr_array_index (pool->lanes, i);

      if (lane->upstream == NULL && lane->kinds == kinds)
        return lane;
    }
  return add_lane (pool, kinds, NULL);
}

/* The lane for TASK: of the upstream that it is bound to, or the one shared by
   all upstreams of KINDS.  */
static struct lane *
choose_lane (struct pool *pool, const struct task *task, guint64 kinds,
             GRand *random)
{
  struct upstream *upstream;

  if (!pool->placement->binds_early)
    return ensure_shared_lane (pool, kinds);
  upstream = pool->placement->choose (pool, kinds, &task->need, random);
  if (upstream == NULL)
    return ensure_shared_lane (pool, kinds);
  if (upstream->lane == NULL)
    upstream->lane = add_lane (pool, kinds, upstream);
  return upstream->lane;
}

gboolean
pool_enqueue (struct pool *pool, struct task *task, gboolean at_front,
              GRand *random)
{
  guint64 kinds = shape_kinds_match (pool->kinds, &task->need);

  if (kinds == 0)
    return FALSE;
  lane_add (choose_lane (pool, task, kinds, random), task, at_front);
  pool->n_queued++;
  pool->queued_work_us += task->estimate_us;
  return TRUE;
}

void
pool_dequeue (struct pool *pool, struct task *task)
{
  lane_remove (task);
  pool->n_queued--;
  pool->queued_work_us -= task->estimate_us;
}

gboolean
pool_may_start_on (const struct upstream *upstream, gint64 now_us)
{
  return pool_has_room_on (upstream, now_us)
         && upstream->host->reserved_job == NULL;
}

gboolean
pool_has_room_on (const struct upstream *upstream, gint64 now_us)
{
  return upstream->pool != NULL && upstream_count_free_slots (upstream) > 0
         && !host_is_full (upstream->host)
         && health_may_start (upstream, now_us);
}

void
pool_add_queued_work (struct pool *pool, struct job *job, gint64 now_us)
{
  gint64 key_us = pool->order->compute_key (job);

  job->key_bucket = backlog_add (&pool->backlog_by_key, key_us,
                                 job->queued_work_us, now_us);
  if (job->deadline_us != DEADLINE_NEVER)
    job->end_bucket = backlog_add (&pool->backlog_by_end, job->end_by_us,
                                   job->queued_work_us, now_us);
}

void
pool_remove_queued_work (struct pool *pool, struct job *job)
{
  backlog_remove (&pool->backlog_by_key, job->key_bucket, job->queued_work_us);
  if (job->deadline_us != DEADLINE_NEVER)
    backlog_remove (&pool->backlog_by_end, job->end_bucket,
                    job->queued_work_us);
}

static void
remove_from_index (struct pool_index *index, struct upstream *upstream)
{
  if (list_is_empty (&upstream->level_link))
    return;
  list_remove (&upstream->level_link);
  if (list_is_empty (&index->levels[upstream->level]))
    index->nonempty_levels &= ~(G_GUINT64_CONSTANT (1) << upstream->level);
}

void
pool_update_index (struct upstream *upstream, gint64 now_us)
{
  struct pool *pool = upstream->pool;
  struct pool_index *index;

  if (pool == NULL)
    {
      list_remove (&upstream->level_link);
      return;
    }
  index = g_ptr_array_index (pool->indexes, upstream->shape_kind);
  remove_from_index (index, upstream);
  if (!pool_may_start_on (upstream, now_us))
    return;
  upstream->level = placement_compute_level (upstream);
  list_append (&index->levels[upstream->level], &upstream->level_link);
  index->nonempty_levels |= G_GUINT64_CONSTANT (1) << upstream->level;
}

void
pool_update_slots (struct pool *pool)
{
  pool->n_slots = 0;
  for (guint i = 0; i < pool->upstreams->len; i++)
    {
      struct upstream *upstream = g_ptr_array_index (pool->upstreams, i);

      if (upstream->is_leaving || upstream->health->state == HEALTH_PROBATION)
        continue;
      pool->n_slots += upstream->share;
    }
}

gint64
pool_estimate_wait_us (const struct pool *pool)
{
  gint64 n_slots = MAX (pool->n_slots, 1);

  if (pool->n_queued == 0 && pool->n_running < pool->n_slots)
    return 0;
  return (pool->queued_work_us + pool->running_work_us / 2) / n_slots;
}
