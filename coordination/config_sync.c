#include "coordination/config_sync.h"

#include "base/hash64.h"

struct peer_digest
{
  struct config_digest digest;
  gint64 ahead_since_us; /* DEADLINE_NEVER while the peer is not ahead */
  gint64 retry_from_us;
  gint64 retry_delay_us; /* after the next fetch that brings nothing */
};

struct config_sync
{
  struct config_sync_driver *driver;
  GHashTable *peers; /* name -> struct peer_digest */
  gboolean is_fetching;
};

struct config_sync *
config_sync_new (struct config_sync_driver *driver)
{
  struct config_sync *sync = g_new0 (struct config_sync, 1);

  sync->driver = driver;
  sync->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return sync;
}

void
config_sync_free (struct config_sync *sync)
{
  g_hash_table_unref (sync->peers);
  g_free (sync);
}

void
config_sync_update_digest (struct config_sync *sync, const char *peer,
                           const struct config_digest *digest, gint64 now_us)
{
  struct peer_digest *entry = g_hash_table_lookup (sync->peers, peer);

  if (entry == NULL)
    {
      entry = g_new0 (struct peer_digest, 1);
      entry->ahead_since_us = DEADLINE_NEVER;
      entry->retry_delay_us = CONFIG_SYNC_FIRST_RETRY_US;
      g_hash_table_insert (sync->peers, g_strdup (peer), entry);
    }
  entry->digest = *digest;
}

void
config_sync_remove_peer (struct config_sync *sync, const char *peer)
{
  g_hash_table_remove (sync->peers, peer);
}

void
config_sync_fetch_ended (struct config_sync *sync, const char *peer,
                         gboolean is_useful, gint64 now_us)
{
  struct peer_digest *entry = g_hash_table_lookup (sync->peers, peer);

  sync->is_fetching = FALSE;
  if (entry == NULL)
    return;
  entry->ahead_since_us = DEADLINE_NEVER;
  if (is_useful)
    {
      entry->retry_delay_us = CONFIG_SYNC_FIRST_RETRY_US;
      return;
    }
  entry->retry_from_us = now_us + entry->retry_delay_us;
  entry->retry_delay_us
      = MIN (entry->retry_delay_us * 2, CONFIG_SYNC_MAX_RETRY_US);
}

/* Whether PEER may have a document that is missing here.  */
static gboolean
is_ahead (const struct config_digest *peer,
          const struct config_sync_state *state)
{
  const struct config_digest *own = &state->digest;

  if (!state->is_ready || own->next == 0)
    return peer->next > 0 || peer->versions != own->versions;
  if (peer->versions == own->versions || peer->versions == 0)
    return FALSE;
  return peer->next > own->next || peer->next == 0;
}

/* Whether a fetch from PEER is due.  */
static gboolean
is_due (struct peer_digest *peer, const struct config_sync_state *state,
        gint64 now_us)
{
  gint64 grace_us = CONFIG_SYNC_GRACE_US;

  if (!is_ahead (&peer->digest, state))
    {
      peer->ahead_since_us = DEADLINE_NEVER;
      return FALSE;
    }
  peer->ahead_since_us = MIN (peer->ahead_since_us, now_us);
  if (!state->is_log_available || !state->is_ready)
    grace_us = 0;
  return now_us >= peer->ahead_since_us + grace_us
         && now_us >= peer->retry_from_us;
}

void
config_sync_advance (struct config_sync *sync,
                     const struct config_sync_state *state, gint64 now_us)
{
  const char *chosen_peer = NULL;
  guint64 chosen_next = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, sync->peers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct peer_digest *peer = value;

      if (!is_due (peer, state, now_us))
        continue;
      if (chosen_peer != NULL && peer->digest.next <= chosen_next)
        continue;
      chosen_peer = key;
      chosen_next = peer->digest.next;
    }
  if (chosen_peer == NULL || sync->is_fetching)
    return;
  sync->is_fetching = TRUE;
  sync->driver->ops->fetch (sync->driver, chosen_peer);
}

gboolean
config_sync_writes_snapshot (const char *vm, const char *const *others,
                             guint n_others, guint64 epoch)
{
  guint64 own = hash64_pair (hash64_string (vm), epoch);

  for (guint i = 0; i < n_others; i++)
    if (hash64_pair (hash64_string (others[i]), epoch) > own)
      return FALSE;
  return TRUE;
}
