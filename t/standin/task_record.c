#include "t/standin/task_record.h"

#include "t/standin/listener.h"

static void
free_record (gpointer data)
{
  struct task_record *record = data;

  g_free (record->task);
  g_free (record);
}

struct task_records *
task_records_new (void)
{
  struct task_records *records = g_new0 (struct task_records, 1);

  records->by_task
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_record);
  return records;
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer data)
{
  const struct task_record *record = value;

  return !record->running;
}

void
task_records_reset (struct task_records *records)
{
  g_hash_table_foreach_remove (records->by_task, is_idle, NULL);
  records->starts = 0;
  records->refusals = 0;
  records->most_running = records->running;
}

struct task_record *
task_records_find (const struct task_records *records, const char *task)
{
  return g_hash_table_lookup (records->by_task, task);
}

struct task_record *
task_records_get (struct task_records *records, const char *task)
{
  struct task_record *record = task_records_find (records, task);

  if (record != NULL)
    return record;
  record = g_new0 (struct task_record, 1);
  record->task = g_strdup (task);
  record->largest_token = -1;
  record->started_token = -1;
  record->stopped_token = -1;
  g_hash_table_insert (records->by_task, record->task, record);
  return record;
}

void
task_records_add_start (struct task_records *records,
                        struct task_record *record, gint64 token)
{
  record->started_token = token;
  record->starts++;
  record->running = TRUE;
  records->starts++;
  records->running++;
  records->most_running = MAX (records->most_running, records->running);
}

void
task_records_add_refusal (struct task_records *records,
                          struct task_record *record)
{
  record->refusals++;
  records->refusals++;
}

void
task_records_add_end (struct task_records *records, struct task_record *record)
{
  record->running = FALSE;
  records->running--;
}

static json_t *
record_to_json (const struct task_record *record, const char *count_name,
                guint count)
{
  json_t *object = json_object ();

  json_object_set_new (object, "task", json_string (record->task));
  json_add_int (object, "token",
                record->starts > 0 ? record->started_token
                                   : record->largest_token);
  json_add_int (object, count_name, count);
  return object;
}

json_t *
task_records_to_json (const struct task_records *records)
{
  json_t *body = json_object ();
  json_t *starts = json_array ();
  json_t *refused = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, records->by_task);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct task_record *record = value;

      if (record->starts > 0)
        json_array_append_new (
            starts, record_to_json (record, "count", record->starts));
      if (record->refusals > 0)
        json_array_append_new (
            refused, record_to_json (record, "count", record->refusals));
    }
  json_object_set_new (body, "starts", starts);
  json_object_set_new (body, "refused", refused);
  json_add_int (body, "total", (gint64)records->starts);
  json_add_int (body, "total_refused", (gint64)records->refusals);
  json_add_int (body, "running", records->running);
  json_add_int (body, "max_running", records->most_running);
  return body;
}
