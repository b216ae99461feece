#include "state/job_table.h"

#include "state/job_id.h"

struct job_table *
job_table_new (gsize max_bytes)
{
  struct job_table *table = g_new0 (struct job_table, 1);

  table->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)job_unref);
  table->used = used_ids_new ();
  list_init (&table->finished);
  table->max_bytes = max_bytes;
  return table;
}

void
job_table_free (struct job_table *table)
{
  g_hash_table_unref (table->jobs);
  used_ids_free (table->used);
  g_free (table);
}

gboolean
job_table_has_room (const struct job_table *table, gsize bytes)
{
  return table->bytes + bytes <= table->max_bytes;
}

gboolean
job_table_is_id_used (const struct job_table *table, const char *id)
{
  struct job_id parsed;

  if (g_hash_table_contains (table->jobs, id))
    return TRUE;
  return job_id_parse (id, &parsed, NULL, NULL)
         && used_ids_contain (table->used, parsed.sequence);
}

void
job_table_add (struct job_table *table, struct job *job, gint64 now_us)
{
  struct job_id parsed;

  if (job_id_parse (job->id, &parsed, NULL, NULL))
    used_ids_add (table->used, parsed.sequence, now_us);
  job_update_bytes (job);
  table->bytes += job->bytes;
  g_hash_table_insert (table->jobs, job->id, job_ref (job));
}

struct job *
job_table_find (struct job_table *table, const char *id)
{
  return g_hash_table_lookup (table->jobs, id);
}

void
job_table_finish (struct job_table *table, struct job *job)
{
  table->bytes -= job->bytes;
  job_update_bytes (job);
  table->bytes += job->bytes;
  list_append (&table->finished, &job->table_link);
}

static void
remove_job (struct job_table *table, struct job *job)
{
  list_remove (&job->table_link);
  table->bytes -= job->bytes;
  g_hash_table_remove (table->jobs, job->id);
}

void
job_table_expire (struct job_table *table, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  used_ids_expire (table->used, now_us);
  list_for_each (node, after, &table->finished)
    {
      struct job *job = list_entry (node, struct job, table_link);

      if (job->expire_us > now_us)
        return;
      remove_job (table, job);
    }
}
