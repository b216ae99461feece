#include "t/support/fake_store.h"

#include <jansson.h>
#include <libsoup/soup.h>
#include <string.h>

struct topic
{
  GPtrArray *records; /* GBytes: length of the key, key, value */
  guint64 first;      /* the first that is kept */
};

/* A read that waits for a record.  */
struct waiting
{
  struct fake_store *store;
  SoupServerMessage *message;
  char *topic;
  guint64 from;
  guint source;
};

struct fake_store
{
  SoupServer *server;
  char *address;
  GHashTable *topics;  /* name -> struct topic */
  GHashTable *answers; /* call -> text */
  GHashTable *counts;  /* call -> number */
  GHashTable *last;    /* call -> body or query */
  GPtrArray *waiting;
  guint fault;
  guint page;
  guint n_given;
};

static void
topic_free (gpointer data)
{
  struct topic *topic = data;

  g_ptr_array_unref (topic->records);
  g_free (topic);
}

static struct topic *
get_topic (struct fake_store *store, const char *name)
{
  struct topic *topic = g_hash_table_lookup (store->topics, name);

  if (topic == NULL)
    {
      topic = g_new0 (struct topic, 1);
      topic->records
          = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
      g_hash_table_insert (store->topics, g_strdup (name), topic);
    }
  return topic;
}

static void
answer_bytes (SoupServerMessage *message, guint status, GString *body)
{
  gsize size = body->len;
  char *bytes = g_string_free (body, FALSE);

  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/octet-stream",
                                    SOUP_MEMORY_TAKE, bytes, size);
}

static void
append_offset (GString *body, guint64 offset)
{
  guint64 raw = GUINT64_TO_BE (offset);

  g_string_append_len (body, (const char *)&raw, sizeof raw);
}

static void
append_record (GString *body, GBytes *record)
{
  gsize size;
  const char *bytes = g_bytes_get_data (record, &size);
  guint32 raw = GUINT32_TO_BE ((guint32)size);

  g_string_append_len (body, (const char *)&raw, sizeof raw);
  g_string_append_len (body, bytes, (gssize)size);
}

static void
answer_read (struct fake_store *store, SoupServerMessage *message,
             struct topic *topic, guint64 from)
{
  GString *body = g_string_new (NULL);

  append_offset (body, topic->records->len);
  append_offset (body, topic->first);
  for (guint64 i = from; i < topic->records->len; i++)
    {
      append_record (body, topic->records->pdata[i]);
      store->n_given++;
    }
  answer_bytes (message, SOUP_STATUS_OK, body);
}

static void
waiting_free (gpointer data)
{
  struct waiting *waiting = data;

  g_clear_handle_id (&waiting->source, g_source_remove);
  g_object_unref (waiting->message);
  g_free (waiting->topic);
  g_free (waiting);
}

/* Answers WAITING, unless the store is to be silent, and frees it.  */
static void
end_waiting (struct waiting *waiting)
{
  struct fake_store *store = waiting->store;

  if (store->fault == 0)
    {
      answer_read (store, waiting->message, get_topic (store, waiting->topic),
                   waiting->from);
      soup_server_message_unpause (waiting->message);
    }
  g_ptr_array_remove (store->waiting, waiting);
}

static gboolean
on_waited (gpointer data)
{
  struct waiting *waiting = data;

  waiting->source = 0;
  end_waiting (waiting);
  return G_SOURCE_REMOVE;
}

static guint64
get_number (GHashTable *query, const char *key)
{
  const char *text = g_hash_table_lookup (query, key);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static void
serve_read (struct fake_store *store, SoupServerMessage *message,
            GHashTable *query)
{
  const char *name = g_hash_table_lookup (query, "topic");
  struct topic *topic = get_topic (store, name);
  guint64 from = get_number (query, "from");
  guint wait_ms = (guint)get_number (query, "waitMs");
  struct waiting *waiting;

  if (from < topic->first)
    {
      soup_server_message_set_status (message, SOUP_STATUS_GONE, NULL);
      return;
    }
  if (wait_ms == 0 || from < topic->records->len)
    {
      answer_read (store, message, topic, from);
      return;
    }
  waiting = g_new0 (struct waiting, 1);
  waiting->store = store;
  waiting->message = g_object_ref (message);
  waiting->topic = g_strdup (name);
  waiting->from = from;
  waiting->source = g_timeout_add (wait_ms, on_waited, waiting);
  g_ptr_array_add (store->waiting, waiting);
  soup_server_message_pause (message);
}

/* The key of RECORD; *VALUE and *SIZE tell the value.  */
static char *
split_record (GBytes *record, const guint8 **value, gsize *size)
{
  const guint8 *bytes = g_bytes_get_data (record, size);

  *value = bytes + 1 + bytes[0];
  *size -= 1 + bytes[0];
  return g_strndup ((const char *)bytes + 1, bytes[0]);
}

/* The offset of the newest record of KEY, or -1 when it was dropped.  */
static gint64
find_newest (const struct topic *topic, const char *key)
{
  for (guint i = topic->records->len; i-- > 0;)
    {
      const guint8 *value;
      gsize size;
      g_autofree char *other
          = split_record (topic->records->pdata[i], &value, &size);

      if (g_str_equal (key, other))
        return size > 0 ? (gint64)i : -1;
    }
  return -1;
}

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
sort_keys (const struct topic *topic)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < topic->records->len; i++)
    {
      const guint8 *value;
      gsize size;
      char *key = split_record (topic->records->pdata[i], &value, &size);

      if (find_newest (topic, key) == (gint64)i)
        g_ptr_array_add (keys, key);
      else
        g_free (key);
    }
  g_ptr_array_sort (keys, compare_keys);
  return keys;
}

static json_t *
make_item (const struct topic *topic, const char *key)
{
  gint64 offset = find_newest (topic, key);
  const guint8 *value;
  gsize size;
  g_autofree char *same
      = split_record (topic->records->pdata[offset], &value, &size);
  g_autofree char *text = g_base64_encode (value, size);

  return json_pack ("{s:s,s:s,s:I}", "key", same, "value", text, "offset",
                    (json_int_t)offset);
}

static void
serve_newest (struct fake_store *store, SoupServerMessage *message,
              GHashTable *query)
{
  struct topic *topic
      = get_topic (store, g_hash_table_lookup (query, "topic"));
  const char *after = g_hash_table_lookup (query, "dependsOn");
  g_autoptr (GPtrArray) keys = sort_keys (topic);
  json_t *items = json_array ();
  gboolean has_more = FALSE;
  json_t *root;
  char *text;

  for (guint i = 0; i < keys->len && !has_more; i++)
    {
      if (after != NULL && strcmp (keys->pdata[i], after) <= 0)
        continue;
      if (store->page > 0 && json_array_size (items) == store->page)
        has_more = TRUE;
      else
        json_array_append_new (items, make_item (topic, keys->pdata[i]));
    }
  root = json_pack ("{s:o,s:b,s:I}", "items", items, "more", (int)has_more,
                    "end", (json_int_t)topic->records->len);
  text = json_dumps (root, JSON_COMPACT);
  answer_bytes (message, SOUP_STATUS_OK, g_string_new (text));
  free (text);
  json_decref (root);
}

static void
serve_answer (struct fake_store *store, SoupServerMessage *message,
              const char *call)
{
  const char *text = g_hash_table_lookup (store->answers, call);
  g_autofree char *json
      = g_strdelimit (g_strdup (text != NULL ? text : ""), "'", '"');

  if (text == NULL)
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
  else
    answer_bytes (message, SOUP_STATUS_OK, g_string_new (json));
}

static void
note_call (struct fake_store *store, SoupServerMessage *message,
           const char *call)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  const char *query = g_uri_get_query (soup_server_message_get_uri (message));
  guint n = fake_store_count (store, call);

  g_hash_table_insert (store->counts, g_strdup (call),
                       GUINT_TO_POINTER (n + 1));
  g_hash_table_insert (store->last, g_strdup (call),
                       body->length > 0
                           ? g_strndup (body->data, (gsize)body->length)
                           : g_strdup (query));
}

static void
serve (SoupServer *server, SoupServerMessage *message, const char *path,
       GHashTable *query, gpointer data)
{
  struct fake_store *store = data;
  const char *call = strrchr (path, '/') + 1;

  g_assert_true (g_str_has_prefix (path, "/radishchute/"));
  g_assert_cmpstr (soup_server_message_get_method (message), !=, "PUT");
  note_call (store, message, call);
  if (store->fault == FAKE_STORE_SILENT)
    soup_server_message_pause (message);
  else if (store->fault != 0)
    soup_server_message_set_status (message, store->fault, NULL);
  else if (g_str_equal (call, "log-read"))
    serve_read (store, message, query);
  else if (g_str_equal (call, "log-newest"))
    serve_newest (store, message, query);
  else
    serve_answer (store, message, call);
}

struct fake_store *
fake_store_new (void)
{
  struct fake_store *store = g_new0 (struct fake_store, 1);
  GSList *uris;

  store->topics
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, topic_free);
  store->answers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store->counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  store->last
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store->waiting = g_ptr_array_new_with_free_func (waiting_free);
  store->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (store->server, NULL, serve, store, NULL);
  g_assert_true (soup_server_listen_local (
      store->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (store->server);
  store->address
      = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return store;
}

void
fake_store_free (struct fake_store *store)
{
  g_ptr_array_unref (store->waiting);
  soup_server_disconnect (store->server);
  g_object_unref (store->server);
  g_hash_table_unref (store->topics);
  g_hash_table_unref (store->answers);
  g_hash_table_unref (store->counts);
  g_hash_table_unref (store->last);
  g_free (store->address);
  g_free (store);
}

const char *
fake_store_address (const struct fake_store *store)
{
  return store->address;
}

void
fake_store_put_bytes (struct fake_store *store, const char *topic,
                      const char *key, const void *bytes, gsize size)
{
  GByteArray *record = g_byte_array_new ();
  guint8 n = (guint8)strlen (key);

  g_byte_array_append (record, &n, 1);
  g_byte_array_append (record, (const guint8 *)key, n);
  if (size > 0)
    g_byte_array_append (record, bytes, (guint)size);
  g_ptr_array_add (get_topic (store, topic)->records,
                   g_byte_array_free_to_bytes (record));
  for (guint i = store->waiting->len; i-- > 0;)
    {
      struct waiting *waiting = store->waiting->pdata[i];

      if (g_str_equal (waiting->topic, topic))
        end_waiting (waiting);
    }
}

void
fake_store_put (struct fake_store *store, const char *topic, const char *key,
                const char *value)
{
  g_autofree char *text
      = g_strdelimit (g_strdup (value != NULL ? value : ""), "'", '"');

  fake_store_put_bytes (store, topic, key, text, strlen (text));
}

void
fake_store_forget (struct fake_store *store, const char *topic)
{
  struct topic *forgotten = get_topic (store, topic);

  forgotten->first = forgotten->records->len;
}

void
fake_store_set_fault (struct fake_store *store, guint fault)
{
  store->fault = fault;
}

void
fake_store_set_page (struct fake_store *store, guint n_keys)
{
  store->page = n_keys;
}

void
fake_store_set_answer (struct fake_store *store, const char *call,
                       const char *answer)
{
  if (answer == NULL)
    g_hash_table_remove (store->answers, call);
  else
    g_hash_table_insert (store->answers, g_strdup (call), g_strdup (answer));
}

guint
fake_store_count (const struct fake_store *store, const char *call)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (store->counts, call));
}

void
fake_store_wait (const struct fake_store *store, const char *call, guint n)
{
  guint end = fake_store_count (store, call) + n;

  while (fake_store_count (store, call) < end)
    g_main_context_iteration (NULL, TRUE);
}

void
fake_store_expect (GString *told, const char *words)
{
  while (told->len < strlen (words))
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpstr (told->str, ==, words);
  g_string_truncate (told, 0);
}

const char *
fake_store_last (const struct fake_store *store, const char *call)
{
  return g_hash_table_lookup (store->last, call);
}

guint
fake_store_count_given (const struct fake_store *store)
{
  return store->n_given;
}
