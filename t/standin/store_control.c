/*
 * The controls of the store stand-in, under /standin/.  They work on every
 * door, whatever its faults are.
 */
#include "t/standin/store.h"

#include <string.h>

static const char *const mode_names[DOOR_MODE_COUNT]
    = { "serves", "refuses", "busy", "silent", "resets" };

/* A key of keyed.servers that is dropped unless it is put again in time.  */
struct expiry
{
  struct store *store;
  char *key;
  guint timer;
};

static const char *
query_text (GHashTable *query, const char *name)
{
  return query == NULL ? NULL : g_hash_table_lookup (query, name);
}

static gint64
query_int (GHashTable *query, const char *name, gint64 fallback)
{
  const char *text = query_text (query, name);

  return text == NULL ? fallback : g_ascii_strtoll (text, NULL, 10);
}

static struct topic_part *
find_part (struct store *store, GHashTable *query)
{
  const char *topic = query_text (query, "topic");

  if (topic == NULL)
    return NULL;
  return store_find_part (store, topic, query_int (query, "part", 0));
}

static void
put (struct store *store, struct topic_part *part, const char *key,
     GBytes *value)
{
  topic_part_put (part, key, value);
  store_wake_readers (store, part);
}

static void
free_expiry (gpointer data)
{
  struct expiry *expiry = data;

  g_clear_handle_id (&expiry->timer, g_source_remove);
  g_free (expiry->key);
  g_free (expiry);
}

static gboolean
on_expired (gpointer data)
{
  struct expiry *expiry = data;
  struct store *store = expiry->store;
  g_autofree char *key = g_strdup (expiry->key);
  g_autoptr (GBytes) nothing = g_bytes_new (NULL, 0);

  expiry->timer = 0;
  g_hash_table_remove (store->expiries, key);
  put (store, store_find_part (store, "keyed.servers", 0), key, nothing);
  return G_SOURCE_REMOVE;
}

static void
expire_later (struct store *store, const char *key, guint ttl_ms)
{
  struct expiry *expiry = g_new0 (struct expiry, 1);

  expiry->store = store;
  expiry->key = g_strdup (key);
  expiry->timer = g_timeout_add (ttl_ms, on_expired, expiry);
  g_hash_table_replace (store->expiries, expiry->key, expiry);
}

/* Whether two entries of a worker differ in no more than what every heartbeat
   changes.  */
static gboolean
is_same_entry (GBytes *a, GBytes *b)
{
  static const char *const passing[] = { "seq", "clockMs" };
  GBytes *const texts[2] = { a, b };
  json_t *entries[2];
  gboolean is_same;

  for (guint i = 0; i < 2; i++)
    {
      gsize length;
      const char *text = g_bytes_get_data (texts[i], &length);

      entries[i] = text == NULL ? NULL : json_loadb (text, length, 0, NULL);
      for (guint j = 0; j < G_N_ELEMENTS (passing); j++)
        json_object_del (entries[i], passing[j]);
    }
  is_same = entries[0] != NULL && entries[1] != NULL
            && json_equal (entries[0], entries[1]);
  json_decref (entries[0]);
  json_decref (entries[1]);
  return is_same;
}

/* A heartbeat reaches the store only while the door serves.  */
static void
put_heartbeat (struct store_door *door, SoupServerMessage *msg,
               struct topic_part *part, const char *key, GBytes *value,
               guint ttl_ms)
{
  g_autoptr (GBytes) old = topic_part_get (part, key);

  if (door->mode != DOOR_SERVES)
    {
      answer_text (msg, 503, NULL);
      return;
    }
  expire_later (door->store, key, ttl_ms);
  if (old == NULL || !is_same_entry (old, value))
    put (door->store, part, key, value);
  answer_json (msg, 200, json_object ());
}

static void
on_put (SoupServer *server, SoupServerMessage *msg, const char *path,
        GHashTable *query, gpointer data)
{
  struct store_door *door = data;
  struct topic_part *part = find_part (door->store, query);
  const char *key = query_text (query, "key");
  guint ttl_ms = (guint)query_int (query, "ttl_ms", 0);
  g_autoptr (GBytes) value
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  json_t *body;

  if (part == NULL || part->newest == NULL || key == NULL || *key == '\0'
      || strlen (key) > G_MAXUINT8)
    {
      answer_text (msg, 400, NULL);
      return;
    }
  if (ttl_ms > 0)
    {
      put_heartbeat (door, msg, part, key, value, ttl_ms);
      return;
    }
  if (part == store_find_part (door->store, "keyed.servers", 0))
    g_hash_table_remove (door->store->expiries, key);
  put (door->store, part, key, value);
  body = json_object ();
  json_add_int (body, "end", (gint64)topic_part_end (part));
  answer_json (msg, 200, body);
}

static void
on_trim (SoupServer *server, SoupServerMessage *msg, const char *path,
         GHashTable *query, gpointer data)
{
  struct store_door *door = data;
  struct topic_part *part = find_part (door->store, query);

  if (part == NULL)
    {
      answer_text (msg, 400, NULL);
      return;
    }
  topic_part_trim (part, (guint64)query_int (query, "before", G_MAXINT64));
  answer_json (msg, 200, json_object ());
}

static void
turn_away (struct store *store, json_t *members)
{
  g_hash_table_remove_all (store->turned_away);
  for (size_t i = 0; i < json_array_size (members); i++)
    {
      const char *name = json_string_value (json_array_get (members, i));

      if (name != NULL)
        g_hash_table_add (store->turned_away, g_strdup (name));
    }
}

static void
set_faults (struct store_door *door, const json_t *body)
{
  const char *mode = json_text_member (body, "mode");

  door->delay_ms = (guint)json_int_member (body, "delay_ms", door->delay_ms);
  door->late_ms = (guint)json_int_member (body, "late_ms", door->late_ms);
  door->loses_answers
      = json_int_member (body, "loses_answers", door->loses_answers) != 0;
  door->is_operator
      = json_int_member (body, "operator", door->is_operator) != 0;
  for (guint i = 0; i < DOOR_MODE_COUNT; i++)
    if (g_strcmp0 (mode, mode_names[i]) == 0)
      store_door_set_mode (door, (enum door_mode)i);
}

static void
on_faults (SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
  struct store *store = ((struct store_door *)data)->store;
  json_t *body = request_json (msg);
  gint64 door = json_int_member (body, "door", -1);
  json_t *turned_away = json_object_get (body, "turned_away");

  store->is_expiring
      = json_int_member (body, "groups_expire", store->is_expiring) != 0;
  for (guint i = 0; i < store->doors->len; i++)
    if (door < 0 || door == i)
      set_faults (g_ptr_array_index (store->doors, i), body);
  if (turned_away != NULL)
    turn_away (store, turned_away);
  answer_json (msg, json_is_object (body) ? 200 : 400, json_object ());
  json_decref (body);
}

static void
on_deal (SoupServer *server, SoupServerMessage *msg, const char *path,
         GHashTable *query, gpointer data)
{
  struct store *store = ((struct store_door *)data)->store;
  const char *name = query_text (query, "group");

  if (name == NULL)
    {
      answer_text (msg, 400, NULL);
      return;
    }
  group_deal_anew (store_find_group (store, name),
                   query_int (query, "force", 0) != 0);
  answer_json (msg, 200, json_object ());
}

static void
on_calls (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  struct store_door *door = data;

  answer_json (msg, 200, json_incref (door->store->counts));
}

static const struct
{
  const char *path;
  SoupServerCallback handler;
} controls[] = {
  { "/standin/put", on_put },       { "/standin/trim", on_trim },
  { "/standin/faults", on_faults }, { "/standin/deal", on_deal },
  { "/standin/calls", on_calls },
};

void
store_add_controls (struct store_door *door, SoupServer *server)
{
  if (door->store->expiries == NULL)
    door->store->expiries
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_expiry);
  for (gsize i = 0; i < G_N_ELEMENTS (controls); i++)
    soup_server_add_handler (server, controls[i].path, controls[i].handler,
                             door, NULL);
}
