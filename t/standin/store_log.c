/*
 * The calls of the log: append, read, newest, trim.
 */
#include "t/standin/store.h"

#include <string.h>

#define MAX_RECORD_BYTES 262144
#define MAX_CALL_BYTES 2097152
#define MAX_WAIT_MS 30000
#define DEFAULT_READ_KB 1024
#define BYTES_PER_KB 1024

/* The part that CALL names, or NULL, with CALL refused.  */
static struct topic_part *
find_part (struct store_call *call)
{
  const char *topic = store_call_text (call, "topic");
  gint64 part = store_call_int (call, "part", -1);
  struct topic_part *found
      = topic == NULL ? NULL : store_find_part (call->store, topic, part);

  if (found == NULL)
    store_call_refuse (call, 400, "part");
  return found;
}

/* Whether the system may not write where CALL wants to; refuses it then.  */
static gboolean
is_forbidden (struct store_call *call)
{
  const char *topic = store_call_text (call, "topic");

  if (strcmp (topic, "keyed.op") == 0 && call->door->is_operator)
    return FALSE;
  if (strcmp (topic, "keyed.op") != 0 && strcmp (topic, "keyed.servers") != 0)
    return FALSE;
  store_call_refuse (call, 403, "topic");
  return TRUE;
}

static json_t *
end_body (const struct topic_part *part)
{
  json_t *body = json_object ();

  json_add_int (body, "end", (gint64)topic_part_end (part));
  return body;
}

static void
append_records (struct store_call *call, struct topic_part *part,
                GPtrArray *records)
{
  struct store *store = call->store;
  guint64 offset = topic_part_append (part, records);
  json_t *body = end_body (part);

  json_add_int (body, "offset", (gint64)offset);
  store_call_answer_json (call, 200, body);
  store_wake_readers (store, part);
}

static void
handle_append (struct store_call *call)
{
  struct topic_part *part = find_part (call);
  g_autoptr (GPtrArray) records = NULL;
  gint64 as_of = store_call_int (call, "asOf", -1);

  if (part == NULL || is_forbidden (call))
    return;
  if (g_bytes_get_size (call->body) <= MAX_CALL_BYTES)
    records = topic_split (
        store_find_topic (call->store, store_call_text (call, "topic")),
        call->body, MAX_RECORD_BYTES);
  if (records == NULL)
    store_call_refuse (call, 400, "records");
  else if (as_of >= 0 && (guint64)as_of != topic_part_end (part))
    store_call_answer_json (call, 412, end_body (part));
  else
    append_records (call, part, records);
}

static void
answer_read (struct store_call *call)
{
  store_call_answer_bytes (
      call, topic_part_read (call->part, call->from, call->max_bytes));
}

static gboolean
on_read_timeout (gpointer data)
{
  struct store_call *call = data;

  call->timer = 0;
  answer_read (call);
  return G_SOURCE_REMOVE;
}

void
store_wake_readers (struct store *store, const struct topic_part *part)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &store->waiting)
    {
      struct store_call *call = list_entry (node, struct store_call, node);

      if (call->part == part && call->from < topic_part_end (part))
        answer_read (call);
    }
}

static void
handle_read (struct store_call *call)
{
  struct topic_part *part = find_part (call);
  gint64 from = store_call_int (call, "from", 0);
  gint64 wait_ms = store_call_int (call, "waitMs", 0);
  gint64 max_kb = store_call_int (call, "maxSize", DEFAULT_READ_KB);

  if (part == NULL)
    return;
  if (from < 0 || wait_ms < 0 || wait_ms > MAX_WAIT_MS || max_kb <= 0)
    store_call_refuse (call, 400, "from, waitMs or maxSize");
  else if ((guint64)from < part->first)
    {
      json_t *body = json_object ();

      json_add_int (body, "first", (gint64)part->first);
      store_call_answer_json (call, 410, body);
    }
  else
    {
      call->part = part;
      call->from = (guint64)from;
      call->max_bytes = (gsize)max_kb * BYTES_PER_KB;
      if (call->from < topic_part_end (part) || wait_ms == 0)
        answer_read (call);
      else
        store_call_wait (call, (guint)wait_ms, on_read_timeout);
    }
}

static void
handle_newest (struct store_call *call)
{
  struct topic_part *part = find_part (call);

  if (part == NULL)
    return;
  if (part->newest == NULL)
    store_call_refuse (call, 400, "topic");
  else
    store_call_answer_json (
        call, 200,
        topic_part_list_newest (part, store_call_text (call, "dependsOn"),
                                call->store->page));
}

static void
handle_trim (struct store_call *call)
{
  struct topic_part *part = find_part (call);
  gint64 before = store_call_int (call, "before", -1);

  if (part == NULL || is_forbidden (call))
    return;
  if (before < 0)
    {
      store_call_refuse (call, 400, "before");
      return;
    }
  topic_part_trim (part, (guint64)before);
  store_call_answer_json (call, 200, json_object ());
}

const struct store_route store_log_routes[] = {
  { "log-append", "POST", TRUE, handle_append },
  { "log-read", "GET", FALSE, handle_read },
  { "log-newest", "GET", FALSE, handle_newest },
  { "log-trim", "POST", TRUE, handle_trim },
  { NULL },
};
