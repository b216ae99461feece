#include "coordination/shares.h"

#include "base/clock.h"
#include "coordination/rollout.h"
#include "coordination/serve.h"

void
dispatcher_set_unix_offset (struct dispatcher *d, gint64 offset_us,
                            gint64 now_us)
{
  d->unix_offset_us = offset_us;
  d->has_unix_offset = TRUE;
  rollout_update_shutdowns (d);
}

static void
serve_all (struct dispatcher *d, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    serve_team (d, value, now_us);
}

void
dispatcher_set_vm_count (struct dispatcher *d, guint n_vms, guint own_index,
                         gint64 now_us)
{
  d->vms.n_vms = MAX (n_vms, 1);
  d->vms.own_index = own_index;
  serve_all (d, now_us);
  dispatcher_update_wakeup (d);
}

void
dispatcher_set_quota_share (struct dispatcher *d, const char *team,
                            guint slots, guint starts_per_second,
                            gint64 deadline_us, gint64 now_us)
{
  struct team *found = g_hash_table_lookup (d->teams, team);

  if (found == NULL)
    return;
  quota_grant (&found->quota, slots, starts_per_second, deadline_us);
  serve_team (d, found, now_us);
  dispatcher_update_wakeup (d);
}

static void
set_share (struct dispatcher *d, struct upstream *upstream, guint share,
           gint64 deadline_us, gint64 now_us)
{
  upstream->share = MIN (share, upstream->slots);
  upstream->share_deadline_us = deadline_us;
  pool_update_slots (upstream->pool);
  serve_upstream (d, upstream, now_us);
}

void
dispatcher_set_slot_share (struct dispatcher *d, const char *pool_key,
                           const char *upstream_name, guint share,
                           gint64 deadline_us, gint64 now_us)
{
  struct pool *pool = g_hash_table_lookup (d->pools, pool_key);

  for (guint i = 0; pool != NULL && i < pool->upstreams->len; i++)
    {
      struct upstream *upstream = g_ptr_array_index (pool->upstreams, i);

      if (g_str_equal (upstream->name, upstream_name))
        set_share (d, upstream, share, deadline_us, now_us);
    }
  dispatcher_update_wakeup (d);
}

static void
expire_share (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  guint even = MAX (upstream->slots / d->vms.n_vms, 1);

  if (upstream->share_deadline_us > now_us)
    return;
  set_share (d, upstream, MIN (upstream->share, even), DEADLINE_NEVER, now_us);
}

void
shares_expire (struct dispatcher *d, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool *pool = value;

      for (guint i = 0; i < pool->upstreams->len; i++)
        expire_share (d, g_ptr_array_index (pool->upstreams, i), now_us);
    }
}

gboolean
dispatcher_get_load (struct dispatcher *d, const char *pool_key,
                     struct dispatcher_load *load)
{
  struct pool *pool = g_hash_table_lookup (d->pools, pool_key);

  if (pool == NULL)
    return FALSE;
  load->n_queued = pool->n_queued;
  load->n_running = pool->n_running;
  load->n_slots = pool->n_slots;
  load->queued_work_us = pool->queued_work_us;
  load->wait_us = pool_estimate_wait_us (pool);
  return TRUE;
}
