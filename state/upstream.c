#include "state/upstream.h"

#include "base/clock.h"

struct upstream *
upstream_new (const struct upstream_spec *spec, const struct service *service)
{
  struct upstream *upstream = g_new0 (struct upstream, 1);

  upstream->ref_count = 1;
  upstream->name = g_strdup (spec->name);
  upstream->address = g_strdup (spec->address);
  upstream->availability_zone = g_strdup (spec->availability_zone);
  upstream->rack = g_strdup (spec->rack);
  upstream->shape = spec->shape;
  upstream->slots = service->slots_per_upstream;
  upstream->share = service->slots_per_upstream;
  upstream->max_connections = service->connections_per_upstream;
  upstream->lease_ms = service->lease_ms;
  upstream->share_deadline_us = DEADLINE_NEVER;
  list_init (&upstream->running);
  list_init (&upstream->host_link);
  list_init (&upstream->level_link);
  list_init (&upstream->busy_link);
  return upstream;
}

struct upstream *
upstream_ref (struct upstream *upstream)
{
  upstream->ref_count++;
  return upstream;
}

void
upstream_unref (struct upstream *upstream)
{
  if (--upstream->ref_count > 0)
    return;
  g_free (upstream->name);
  g_free (upstream->address);
  g_free (upstream->availability_zone);
  g_free (upstream->rack);
  g_free (upstream->health);
  g_free (upstream);
}

guint
upstream_count_free_slots (const struct upstream *upstream)
{
  if (upstream->is_leaving || upstream->is_removed)
    return 0;
  if (upstream->n_running >= upstream->share)
    return 0;
  return upstream->share - upstream->n_running;
}
