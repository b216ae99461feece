#include "t/standin/store_topic.h"

#include "t/standin/listener.h"

#include <string.h>

#define LENGTH_BYTES 4
#define PAGE_BYTES (1024 * 1024)

struct newest_record
{
  GBytes *value;
  guint64 offset;
};

static void
free_newest (gpointer data)
{
  struct newest_record *newest = data;

  g_bytes_unref (newest->value);
  g_free (newest);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

struct topic *
topic_new (const char *name, guint n_parts)
{
  struct topic *topic = g_new0 (struct topic, 1);

  topic->name = g_strdup (name);
  topic->is_keyed = g_str_has_prefix (name, "keyed.");
  topic->n_parts = n_parts;
  topic->parts = g_new0 (struct topic_part, n_parts);
  for (guint i = 0; i < n_parts; i++)
    {
      struct topic_part *part = &topic->parts[i];

      part->records
          = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
      if (topic->is_keyed)
        part->newest
            = g_tree_new_full (compare_keys, NULL, g_free, free_newest);
    }
  return topic;
}

static void
write_number (guint8 *to, guint64 value, guint n_bytes)
{
  for (guint i = 0; i < n_bytes; i++)
    to[i] = (guint8)(value >> (8 * (n_bytes - 1 - i)));
}

static guint32
read_length (const guint8 *from)
{
  return (guint32)from[0] << 24 | (guint32)from[1] << 16
         | (guint32)from[2] << 8 | from[3];
}

/* Whether the LENGTH bytes at DATA begin with a key of UTF-8 text.  */
static gboolean
has_key (const guint8 *data, gsize length)
{
  return length >= 1 && data[0] > 0 && length >= 1u + data[0]
         && g_utf8_validate ((const char *)data + 1, data[0], NULL);
}

GPtrArray *
topic_split (const struct topic *topic, GBytes *body, gsize max_record)
{
  gsize left;
  const guint8 *data = g_bytes_get_data (body, &left);
  gsize at = 0;
  g_autoptr (GPtrArray) records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);

  while (left > 0)
    {
      gsize length;

      if (left < LENGTH_BYTES)
        return NULL;
      length = read_length (data + at);
      at += LENGTH_BYTES;
      left -= LENGTH_BYTES;
      if (length > left || length > max_record
          || (topic->is_keyed && !has_key (data + at, length)))
        return NULL;
      g_ptr_array_add (records, g_bytes_new_from_bytes (body, at, length));
      at += length;
      left -= length;
    }
  return g_steal_pointer (&records);
}

guint64
topic_part_end (const struct topic_part *part)
{
  return part->first + part->records->len;
}

static void
note_newest (struct topic_part *part, GBytes *record, guint64 offset)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (record, &length);
  char *key = g_strndup ((const char *)data + 1, data[0]);
  gsize value_at = 1u + data[0];
  struct newest_record *newest;

  if (length == value_at)
    {
      g_tree_remove (part->newest, key);
      g_free (key);
      return;
    }
  newest = g_new (struct newest_record, 1);
  newest->value = g_bytes_new_from_bytes (record, value_at, length - value_at);
  newest->offset = offset;
  g_tree_replace (part->newest, key, newest);
}

guint64
topic_part_append (struct topic_part *part, GPtrArray *records)
{
  guint64 offset = topic_part_end (part);

  for (guint i = 0; i < records->len; i++)
    {
      GBytes *record = g_ptr_array_index (records, i);

      if (part->newest != NULL)
        note_newest (part, record, offset + i);
      g_ptr_array_add (part->records, g_bytes_ref (record));
    }
  return offset;
}

void
topic_part_put (struct topic_part *part, const char *key, GBytes *value)
{
  gsize length;
  const void *data = g_bytes_get_data (value, &length);
  guint8 key_length = (guint8)strlen (key);
  GByteArray *text = g_byte_array_new ();
  g_autoptr (GPtrArray) records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);

  g_byte_array_append (text, &key_length, 1);
  g_byte_array_append (text, (const guint8 *)key, key_length);
  if (length > 0)
    g_byte_array_append (text, data, (guint)length);
  g_ptr_array_add (records, g_byte_array_free_to_bytes (text));
  topic_part_append (part, records);
}

GBytes *
topic_part_get (const struct topic_part *part, const char *key)
{
  const struct newest_record *newest = g_tree_lookup (part->newest, key);

  return newest == NULL ? NULL : g_bytes_ref (newest->value);
}

void
topic_part_trim (struct topic_part *part, guint64 before)
{
  guint64 end = MIN (before, topic_part_end (part));

  if (end <= part->first)
    return;
  g_ptr_array_remove_range (part->records, 0, (guint)(end - part->first));
  part->first = end;
}

GBytes *
topic_part_read (const struct topic_part *part, guint64 from, gsize max_bytes)
{
  guint8 number[sizeof (guint64)];
  guint64 end = topic_part_end (part);
  GByteArray *text = g_byte_array_new ();

  write_number (number, end, sizeof number);
  g_byte_array_append (text, number, sizeof number);
  write_number (number, part->first, sizeof number);
  g_byte_array_append (text, number, sizeof number);
  for (guint64 at = from; at < end; at++)
    {
      gsize length;
      const void *data = g_bytes_get_data (
          g_ptr_array_index (part->records, at - part->first), &length);

      if (at > from && text->len + length > max_bytes)
        break;
      write_number (number, length, LENGTH_BYTES);
      g_byte_array_append (text, number, LENGTH_BYTES);
      g_byte_array_append (text, data, (guint)length);
    }
  return g_byte_array_free_to_bytes (text);
}

struct page
{
  json_t *items;
  const char *after;
  guint max_items;
  gsize n_bytes;
  gboolean has_more;
};

static gboolean
add_to_page (gpointer key, gpointer data, gpointer page_data)
{
  const struct newest_record *newest = data;
  struct page *page = page_data;
  gsize length;
  const guchar *value = g_bytes_get_data (newest->value, &length);
  g_autofree char *text = NULL;
  json_t *item;

  if (page->after != NULL && strcmp (key, page->after) <= 0)
    return FALSE;
  page->has_more = json_array_size (page->items) == page->max_items
                   || page->n_bytes > PAGE_BYTES;
  if (page->has_more)
    return TRUE;
  text = g_base64_encode (value, length);
  page->n_bytes += strlen (text);
  item = json_object ();
  json_object_set_new (item, "key", json_string (key));
  json_object_set_new (item, "value", json_string (text));
  json_add_int (item, "offset", (gint64)newest->offset);
  json_array_append_new (page->items, item);
  return FALSE;
}

json_t *
topic_part_list_newest (const struct topic_part *part, const char *after,
                        guint max_items)
{
  struct page page = {
    .items = json_array (),
    .after = after,
    .max_items = max_items,
  };
  json_t *body = json_object ();

  g_tree_foreach (part->newest, add_to_page, &page);
  json_object_set_new (body, "items", page.items);
  json_object_set_new (body, "more", json_boolean (page.has_more));
  json_add_int (body, "end", (gint64)topic_part_end (part));
  return body;
}
