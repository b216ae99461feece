#include "t/standin/worker_record.h"

#include "base/clock.h"
#include "t/standin/listener.h"

/* What is known of a task over all workers.  */
struct task_tally
{
  guint n_running;
  guint n_done;
};

struct worker_record
{
  GPtrArray *entries;  /* struct record_entry * */
  GHashTable *tallies; /* task -> struct task_tally */
  json_t *refused;     /* counts by reason */
  guint64 n_starts;
  guint64 n_running;
  guint64 n_ended[RECORD_END_COUNT];
  guint64 n_over_capacity;
  guint64 n_double;
  guint64 n_after_done;
  guint64 n_draining;
};

static const char *const end_names[RECORD_END_COUNT]
    = { "running", "done", "failed", "stopped", "lapsed", "crashed" };

const char *
record_end_name (enum record_end end)
{
  return end_names[end];
}

struct worker_record *
worker_record_new (void)
{
  struct worker_record *record = g_new0 (struct worker_record, 1);

  record->entries = g_ptr_array_new ();
  record->tallies
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  record->refused = json_object ();
  return record;
}

static void
free_entry (struct record_entry *entry)
{
  g_free (entry->worker);
  g_free (entry->task);
  g_free (entry);
}

void
worker_record_reset (struct worker_record *record)
{
  GPtrArray *running = g_ptr_array_new ();

  for (guint i = 0; i < record->entries->len; i++)
    {
      struct record_entry *entry = g_ptr_array_index (record->entries, i);

      if (entry->end == RECORD_RUNNING)
        g_ptr_array_add (running, entry);
      else
        free_entry (entry);
    }
  g_ptr_array_unref (record->entries);
  record->entries = running;
  json_object_clear (record->refused);
  record->n_starts = 0;
  for (guint i = 0; i < RECORD_END_COUNT; i++)
    record->n_ended[i] = 0;
  record->n_over_capacity = 0;
  record->n_double = 0;
  record->n_after_done = 0;
  record->n_draining = 0;
}

static struct task_tally *
find_tally (struct worker_record *record, const char *task)
{
  struct task_tally *tally = g_hash_table_lookup (record->tallies, task);

  if (tally == NULL)
    {
      tally = g_new0 (struct task_tally, 1);
      g_hash_table_insert (record->tallies, g_strdup (task), tally);
    }
  return tally;
}

struct record_entry *
worker_record_start (struct worker_record *record, const char *worker,
                     gint64 born_ms, const char *task, guint64 run,
                     gboolean is_over_capacity, gboolean is_draining)
{
  struct record_entry *entry = g_new0 (struct record_entry, 1);

  entry->worker = g_strdup (worker);
  entry->born_ms = born_ms;
  entry->task = g_strdup (task);
  entry->run = run;
  entry->start_ms = clock_now_us () / USEC_PER_MSEC;
  entry->end_ms = -1;
  entry->tally = find_tally (record, task);
  entry->is_over_capacity = is_over_capacity;
  entry->is_double = entry->tally->n_running > 0;
  g_ptr_array_add (record->entries, entry);
  record->n_starts++;
  record->n_running++;
  record->n_over_capacity += is_over_capacity;
  record->n_double += entry->is_double;
  record->n_after_done += entry->tally->n_done > 0;
  record->n_draining += is_draining;
  entry->tally->n_running++;
  return entry;
}

void
worker_record_end (struct worker_record *record, struct record_entry *entry,
                   enum record_end end)
{
  entry->end = end;
  entry->end_ms = clock_now_us () / USEC_PER_MSEC;
  entry->tally->n_running--;
  entry->tally->n_done += end == RECORD_DONE;
  record->n_running--;
  record->n_ended[end]++;
}

void
worker_record_refuse (struct worker_record *record, const char *reason)
{
  json_add_int (record->refused, reason,
                json_int_member (record->refused, reason, 0) + 1);
}

static json_t *
entry_to_json (const struct record_entry *entry)
{
  json_t *body = json_object ();

  json_object_set_new (body, "worker", json_string (entry->worker));
  json_add_int (body, "born", entry->born_ms);
  json_object_set_new (body, "task", json_string (entry->task));
  json_add_int (body, "run", (gint64)entry->run);
  json_object_set_new (body, "end", json_string (end_names[entry->end]));
  json_add_int (body, "start_ms", entry->start_ms);
  json_add_int (body, "end_ms", entry->end_ms);
  json_object_set_new (body, "over_capacity",
                       json_boolean (entry->is_over_capacity));
  json_object_set_new (body, "double", json_boolean (entry->is_double));
  return body;
}

json_t *
worker_record_to_json (const struct worker_record *record, gboolean has_list)
{
  json_t *body = json_object ();
  json_t *list = json_array ();

  json_add_int (body, "starts", (gint64)record->n_starts);
  json_add_int (body, "over_capacity", (gint64)record->n_over_capacity);
  json_add_int (body, "double_runs", (gint64)record->n_double);
  json_add_int (body, "starts_after_done", (gint64)record->n_after_done);
  json_add_int (body, "draining_starts", (gint64)record->n_draining);
  json_add_int (body, "running", (gint64)record->n_running);
  for (int i = RECORD_DONE; i < RECORD_END_COUNT; i++)
    json_add_int (body, end_names[i], (gint64)record->n_ended[i]);
  json_object_set_new (body, "refused", json_deep_copy (record->refused));
  for (guint i = 0; has_list && i < record->entries->len; i++)
    json_array_append_new (
        list, entry_to_json (g_ptr_array_index (record->entries, i)));
  json_object_set_new (body, "list", list);
  return body;
}
