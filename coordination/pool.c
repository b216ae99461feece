#include "coordination/pool.h"

struct pool *
pool_new (const char *team, const char *service_name)
{
  struct pool *pool = g_new0 (struct pool, 1);

  pool->team = g_strdup (team);
  pool->service_name = g_strdup (service_name);
  pool->upstreams
      = g_ptr_array_new_with_free_func ((GDestroyNotify)upstream_unref);
  list_init (&pool->queue);
  return pool;
}

void
pool_free (struct pool *pool)
{
  g_free (pool->team);
  g_free (pool->service_name);
  g_ptr_array_unref (pool->upstreams);
  if (pool->document != NULL)
    document_unref (pool->document);
  g_free (pool);
}

static struct upstream *
take_existing (GPtrArray *upstreams, const struct upstream_spec *spec)
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

static void
update_upstream (struct upstream *upstream, const struct upstream_spec *spec,
                 const struct service *service)
{
  upstream->shape = spec->shape;
  upstream->slots = service->slots_per_upstream;
  upstream->share = service->slots_per_upstream;
  upstream->max_connections = service->connections_per_upstream;
  upstream->lease_ms = service->lease_ms;
}

static void
mark_removed (gpointer data, gpointer user_data)
{
  struct upstream *upstream = data;

  upstream->is_removed = TRUE;
}

static void
replace_upstreams (struct pool *pool)
{
  GPtrArray *former = pool->upstreams;

  pool->upstreams
      = g_ptr_array_new_with_free_func ((GDestroyNotify)upstream_unref);
  for (guint i = 0; pool->service && i < pool->service->upstreams->len; i++)
    {
      struct upstream_spec *spec
          = g_ptr_array_index (pool->service->upstreams, i);
      struct upstream *upstream = take_existing (former, spec);

      if (upstream != NULL)
        update_upstream (upstream, spec, pool->service);
      else
        upstream = upstream_new (spec, pool->service);
      g_ptr_array_add (pool->upstreams, upstream);
    }
  g_ptr_array_foreach (former, mark_removed, NULL);
  g_ptr_array_unref (former);
}

void
pool_apply_document (struct pool *pool, struct document *document)
{
  document_ref (document);
  if (pool->document != NULL)
    document_unref (pool->document);
  pool->document = document;
  pool->service = document_find_service (document, pool->service_name);
  replace_upstreams (pool);
}

void
pool_enqueue (struct pool *pool, struct task *task)
{
  list_append (&pool->queue, &task->queue_link);
  pool->n_queued++;
}

void
pool_dequeue (struct pool *pool, struct task *task)
{
  list_remove (&task->queue_link);
  pool->n_queued--;
}
