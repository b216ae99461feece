#include "coordination/host.h"

static void
host_free (gpointer data)
{
  struct host *host = data;

  if (host->reserved_job != NULL)
    job_unref (host->reserved_job);
  g_free (host->address);
  g_free (host);
}

GHashTable *
host_table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_free);
}

static struct host *
ensure_host (GHashTable *hosts, const char *address)
{
  struct host *host = g_hash_table_lookup (hosts, address);

  if (host == NULL)
    {
      host = g_new0 (struct host, 1);
      host->address = g_strdup (address);
      list_init (&host->upstreams);
      g_hash_table_insert (hosts, host->address, host);
    }
  return host;
}

void
host_update_slots (struct host *host)
{
  struct list_node *node;
  struct list_node *after;

  host->slots = 0;
  list_for_each (node, after, &host->upstreams)
    {
      struct upstream *upstream
          = list_entry (node, struct upstream, host_link);

      host->slots = MAX (host->slots, upstream->slots);
    }
}

void
host_attach (GHashTable *hosts, struct upstream *upstream)
{
  struct host *host = ensure_host (hosts, upstream->address);

  upstream->host = host;
  upstream->host_virtual_us = host->virtual_us;
  host->n_running += upstream->n_running;
  list_append (&host->upstreams, &upstream->host_link);
  host_update_slots (host);
}

void
host_detach (GHashTable *hosts, struct upstream *upstream)
{
  struct host *host = upstream->host;

  upstream->host = NULL;
  host->n_running -= upstream->n_running;
  list_remove (&upstream->host_link);
  if (list_is_empty (&host->upstreams))
    g_hash_table_remove (hosts, host->address);
  else
    host_update_slots (host);
}

struct upstream *
host_find_active (const struct host *host)
{
  const struct list_node *node = host->upstreams.next;

  for (; node != &host->upstreams; node = node->next)
    {
      struct upstream *upstream
          = list_entry (node, struct upstream, host_link);

      if (upstream->pool != NULL)
        return upstream;
    }
  return NULL;
}

gint64
host_get_virtual_us (const struct upstream *upstream)
{
  return MAX (upstream->host_virtual_us, upstream->host->virtual_us);
}

void
host_note_start (struct upstream *upstream, gint64 estimate_us, guint weight)
{
  gint64 virtual_us = host_get_virtual_us (upstream);

  upstream->host->virtual_us = virtual_us;
  upstream->host_virtual_us = virtual_us + estimate_us / (gint64)weight;
}

/* The time in which the share of a pool of that weight amounts to COST_US of
   slot time.  */
static gint64
compute_share_time_us (const struct host *host, gint64 cost_us, guint weight)
{
  gint64 all = MAX (host->active_weight, weight);

  return cost_us * all / ((gint64)weight * MAX (host->slots, 1));
}

void
host_note_end (struct upstream *upstream, gint64 estimate_us,
               gint64 run_time_us, guint weight, gint64 now_us)
{
  gint64 covered_us
      = MAX (upstream->host_use_covered_us, now_us)
        + compute_share_time_us (upstream->host, run_time_us, weight);

  upstream->host_virtual_us += (run_time_us - estimate_us) / (gint64)weight;
  upstream->host_use_covered_us
      = MIN (covered_us, now_us + 2 * HOST_SHARE_TOLERANCE_US);
}

gboolean
host_is_within_share (const struct upstream *upstream, gint64 now_us)
{
  return upstream->host_use_covered_us <= now_us + HOST_SHARE_TOLERANCE_US;
}
