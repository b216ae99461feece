/*
 * The runs of a worker stand-in: starts, stops, ends and leases.
 */
#include "t/standin/worker.h"

#include "base/clock.h"

#include <string.h>

#define PPM 1000000
#define PERCENT 100
#define HANGING_PERCENT 30
#define MAX_ENDS_LISTED 500
#define DEFAULT_CPU 1000

/* What a spec asks for.  */
struct wanted
{
  gint64 run_ms;
  struct room need;
  gboolean is_failing;
  gboolean is_hanging;
};

static gboolean
read_word (const char *word, struct wanted *wanted)
{
  static const char *const names[] = { "cpu=", "memMb=", "gpu=" };
  gint64 *const values[]
      = { &wanted->need.cpu, &wanted->need.memory_mb, &wanted->need.gpu };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_str_has_prefix (word, names[i]))
      return g_ascii_string_to_signed (word + strlen (names[i]), 10, 0,
                                       G_MAXINT32, values[i], NULL);
  if (strcmp (word, "fail") == 0)
    wanted->is_failing = TRUE;
  else if (strcmp (word, "hang") == 0)
    wanted->is_hanging = TRUE;
  return TRUE;
}

static gboolean
read_spec (const char *spec, struct wanted *wanted)
{
  g_auto (GStrv) words = g_strsplit (spec, " ", 0);

  *wanted = (struct wanted){ .need.cpu = DEFAULT_CPU };
  if (words[0] == NULL
      || !g_ascii_string_to_signed (words[0], 10, 0, G_MAXINT32,
                                    &wanted->run_ms, NULL))
    return FALSE;
  for (char **word = words + 1; *word != NULL; word++)
    if (!read_word (*word, wanted))
      return FALSE;
  return TRUE;
}

gboolean
worker_is_spec_valid (const char *spec)
{
  struct wanted wanted;

  return read_spec (spec, &wanted);
}

gint64
worker_clock_ms (const struct worker *worker, gint64 now_us)
{
  return (now_us - worker->born_us) / USEC_PER_MSEC * (PPM - worker->slow_ppm)
         / PPM;
}

/* When the clock of WORKER shows CLOCK_MS.  */
static gint64
from_clock_ms (const struct worker *worker, gint64 clock_ms)
{
  gint64 passed_ms = (clock_ms * PPM + PPM - 1 - worker->slow_ppm)
                     / (PPM - worker->slow_ppm);

  return worker->born_us + passed_ms * USEC_PER_MSEC;
}

static void
close_run (struct worker *worker, const char *task, guint64 number)
{
  guint64 *closed = g_hash_table_lookup (worker->closed_runs, task);

  if (closed == NULL)
    {
      closed = g_new0 (guint64, 1);
      g_hash_table_insert (worker->closed_runs, g_strdup (task), closed);
    }
  *closed = MAX (*closed, number);
}

guint64
worker_get_closed (const struct worker *worker, const char *task)
{
  const guint64 *closed = g_hash_table_lookup (worker->closed_runs, task);

  return closed == NULL ? 0 : *closed;
}

static void
free_end (gpointer data)
{
  struct run_end_entry *entry = data;

  g_free (entry->task);
  g_free (entry);
}

static void
free_run (gpointer data)
{
  struct worker_run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
end_run (struct worker_run *run, enum record_end end)
{
  struct worker *worker = run->worker;
  struct run_end_entry *entry = g_new0 (struct run_end_entry, 1);

  worker_record_end (worker->fleet->record, run->entry, end);
  close_run (worker, run->task, run->number);
  entry->number = ++worker->n_ends;
  entry->task = g_strdup (run->task);
  entry->run = run->number;
  entry->end = end;
  g_queue_push_tail (&worker->ends, entry);
  g_ptr_array_remove (worker->runs, run);
}

static struct worker_run *
find_earliest (struct worker *worker)
{
  struct worker_run *earliest = NULL;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct worker_run *run = g_ptr_array_index (worker->runs, i);

      if (earliest == NULL || run->end_us < earliest->end_us)
        earliest = run;
    }
  return earliest;
}

static enum record_end
find_end (const struct worker_run *run)
{
  if (run->is_stopping)
    return RECORD_STOPPED;
  return run->is_failing ? RECORD_FAILED : RECORD_DONE;
}

static gboolean
on_run_timer (gpointer data)
{
  struct worker *worker = data;

  worker->run_timer = 0;
  worker_advance (worker);
  return G_SOURCE_REMOVE;
}

static void
set_timer (struct worker *worker, gint64 due_us, gint64 now_us)
{
  gint64 wait_ms = (due_us - now_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC;

  g_clear_handle_id (&worker->run_timer, g_source_remove);
  worker->run_timer = g_timeout_add ((guint)CLAMP (wait_ms, 0, G_MAXINT),
                                     on_run_timer, worker);
}

void
worker_advance (struct worker *worker)
{
  gint64 now_us = clock_now_us ();
  guint64 n_before = worker->n_ends;
  struct worker_run *run;

  if (worker->runs == NULL)
    return;
  while ((run = find_earliest (worker)) != NULL
         && MIN (run->end_us, worker->lease_us) <= now_us)
    end_run (run,
             run->end_us <= worker->lease_us ? find_end (run) : RECORD_LAPSED);
  g_clear_handle_id (&worker->run_timer, g_source_remove);
  if (run != NULL)
    set_timer (worker, MIN (run->end_us, worker->lease_us), now_us);
  if (worker->n_ends != n_before)
    worker_wake_holds (worker);
}

void
worker_prolong (struct worker *worker, gint64 until_ms)
{
  gint64 most_ms
      = worker_clock_ms (worker, clock_now_us ()) + worker->fleet->hold_max_ms;

  worker->lease_us = MAX (worker->lease_us,
                          from_clock_ms (worker, MIN (until_ms, most_ms)));
  worker_advance (worker);
}

struct worker_run *
worker_find_run (struct worker *worker, const char *task, guint64 number)
{

  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct worker_run *run = g_ptr_array_index (worker->runs, i);

      if (run->number == number && strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

static gboolean
has_room (struct worker *worker, const struct room *need)
{
  struct room used = *need;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct worker_run *run = g_ptr_array_index (worker->runs, i);

      used.cpu += run->need.cpu;
      used.memory_mb += run->need.memory_mb;
      used.gpu += run->need.gpu;
    }
  return used.cpu <= worker->capacity.cpu
         && used.memory_mb <= worker->capacity.memory_mb
         && used.gpu <= worker->capacity.gpu;
}

gboolean
worker_start_run (struct worker *worker, const char *task, guint64 number,
                  const char *spec)
{
  struct fleet *fleet = worker->fleet;
  struct worker_run *run;
  struct wanted wanted;
  gboolean is_over;

  read_spec (spec, &wanted);
  is_over = !has_room (worker, &wanted.need);
  if (is_over && fleet->has_admission_check)
    return FALSE;
  run = g_new0 (struct worker_run, 1);
  run->worker = worker;
  run->task = g_strdup (task);
  run->number = number;
  run->need = wanted.need;
  run->started_us = clock_now_us ();
  run->work_us = (gint64)((double)(wanted.run_ms * USEC_PER_MSEC)
                          * worker->faults.slow_factor);
  run->is_failing
      = wanted.is_failing || fleet_draw (fleet, worker->faults.fail_percent);
  run->is_hanging
      = wanted.is_hanging || fleet_draw (fleet, worker->faults.hang_percent);
  run->end_us
      = run->is_hanging ? DEADLINE_NEVER : run->started_us + run->work_us;
  run->entry = worker_record_start (fleet->record, worker->id, worker->born_ms,
                                    task, number, is_over,
                                    worker->state == WORKER_DRAINING);
  g_ptr_array_add (worker->runs, run);
  return TRUE;
}

void
worker_stop_run (struct worker *worker, const char *task, guint64 number)
{
  struct worker_run *run = worker_find_run (worker, task, number);
  gint64 stopped_us = clock_now_us () + worker->fleet->stop_ms * USEC_PER_MSEC;

  close_run (worker, task, number);
  if (run != NULL && stopped_us < run->end_us)
    {
      run->is_stopping = TRUE;
      run->end_us = stopped_us;
    }
  worker_advance (worker);
}

void
worker_forget_ends (struct worker *worker, guint64 last_seen)
{
  struct run_end_entry *entry;

  while ((entry = g_queue_peek_head (&worker->ends)) != NULL
         && entry->number <= last_seen)
    free_end (g_queue_pop_head (&worker->ends));
}

static guint
get_percent (const struct worker_run *run, gint64 now_us)
{
  gint64 percent = run->work_us <= 0
                       ? 0
                       : (now_us - run->started_us) * PERCENT / run->work_us;

  return (guint)CLAMP (percent, 0,
                       run->is_hanging ? HANGING_PERCENT : PERCENT - 1);
}

json_t *
worker_list_runs (struct worker *worker, guint64 last_seen)
{
  gint64 now_us = clock_now_us ();
  json_t *body = json_object ();
  json_t *running = json_array ();
  json_t *ended = json_array ();

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct worker_run *run = g_ptr_array_index (worker->runs, i);

      json_array_append_new (
          running, json_pack ("[sIsiI]", run->task, (json_int_t)run->number,
                              "", (int)get_percent (run, now_us),
                              (json_int_t)run->need.cpu));
    }
  for (const GList *link = worker->ends.head;
       link != NULL && json_array_size (ended) < MAX_ENDS_LISTED;
       link = link->next)
    {
      const struct run_end_entry *entry = link->data;

      if (entry->number > last_seen)
        json_array_append_new (ended,
                               json_pack ("[IsIss]", (json_int_t)entry->number,
                                          entry->task, (json_int_t)entry->run,
                                          record_end_name (entry->end), ""));
    }
  json_add_int (body, "clockMs", worker_clock_ms (worker, now_us));
  json_add_int (body, "born", worker->born_ms);
  json_object_set_new (body, "running", running);
  json_object_set_new (body, "ended", ended);
  return body;
}

void
worker_boot (struct worker *worker)
{
  worker->born_us = clock_now_us ();
  worker->born_ms = MAX (clock_unix_ms (), worker->born_ms + 1);
  worker->state = WORKER_READY;
  worker->seq = 0;
  worker->leave_us = 0;
  worker->largest_token = 0;
  worker->lease_us = 0;
  worker->n_ends = 0;
  worker->runs = g_ptr_array_new_with_free_func (free_run);
  worker->closed_runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
worker_end_life (struct worker *worker, enum worker_state state)
{
  if (worker->state == WORKER_DOWN || worker->state == WORKER_SILENT)
    {
      worker->state = state;
      return;
    }
  worker->state = state;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct worker_run *run = g_ptr_array_index (worker->runs, i);

      worker_record_end (worker->fleet->record, run->entry, RECORD_CRASHED);
    }
  g_clear_pointer (&worker->runs, g_ptr_array_unref);
  worker_forget_ends (worker, G_MAXUINT64);
  g_clear_handle_id (&worker->run_timer, g_source_remove);
  g_clear_handle_id (&worker->beat_timer, g_source_remove);
  g_clear_handle_id (&worker->leave_timer, g_source_remove);
  g_hash_table_unref (worker->closed_runs);
  worker->closed_runs = NULL;
  worker_break_holds (worker);
}
