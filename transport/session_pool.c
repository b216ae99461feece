#include "transport/session_pool.h"

#include "base/clock.h"

/* A session is dropped when it has not been requested for this long.  */
#define UNUSED_TIMEOUT_US (120 * USEC_PER_SEC)

struct session_pool
{
  GHashTable *sessions; /* address -> struct pooled_session */
};

struct pooled_session
{
  SoupSession *session;
  gint64 drop_us; /* when to drop it, unless used before */
};

static void
pooled_session_free (gpointer data)
{
  struct pooled_session *pooled = data;

  g_object_unref (pooled->session);
  g_free (pooled);
}

struct session_pool *
session_pool_new (void)
{
  struct session_pool *pool = g_new0 (struct session_pool, 1);

  pool->sessions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          pooled_session_free);
  return pool;
}

void
session_pool_free (struct session_pool *pool)
{
  g_hash_table_unref (pool->sessions);
  g_free (pool);
}

static struct pooled_session *
add_session (struct session_pool *pool, const char *address)
{
  struct pooled_session *pooled = g_new0 (struct pooled_session, 1);

  pooled->session = soup_session_new_with_options (
      "proxy-resolver", NULL, "max-conns", SESSION_MAX_CONNECTIONS,
      "max-conns-per-host", SESSION_MAX_CONNECTIONS, "idle-timeout",
      SESSION_IDLE_TIMEOUT_SEC, "timeout", 0, NULL);
  /* Responses are short: compression would cost more than it saves.  */
  soup_session_remove_feature_by_type (pooled->session,
                                       SOUP_TYPE_CONTENT_DECODER);
  g_hash_table_insert (pool->sessions, g_strdup (address), pooled);
  return pooled;
}

SoupSession *
session_pool_get (struct session_pool *pool, const char *address,
                  gint64 now_us)
{
  struct pooled_session *pooled
      = g_hash_table_lookup (pool->sessions, address);

  if (pooled == NULL)
    pooled = add_session (pool, address);
  pooled->drop_us = now_us + UNUSED_TIMEOUT_US;
  return pooled->session;
}

static gboolean
is_unused (gpointer key, gpointer value, gpointer data)
{
  const struct pooled_session *pooled = value;
  const gint64 *now_us = data;

  return pooled->drop_us <= *now_us;
}

void
session_pool_sweep (struct session_pool *pool, gint64 now_us)
{
  g_hash_table_foreach_remove (pool->sessions, is_unused, &now_us);
}
