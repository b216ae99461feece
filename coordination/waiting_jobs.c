#include "coordination/waiting_jobs.h"

#include "base/clock.h"
#include "base/hash64.h"

void
waiting_jobs_init (struct waiting_jobs *jobs, guint max_jobs, gsize max_bytes)
{
  list_init (&jobs->jobs);
  jobs->n = 0;
  jobs->n_bytes = 0;
  jobs->max_jobs = max_jobs;
  jobs->max_bytes = max_bytes;
}

void
waiting_job_init (struct waiting_job *job)
{
  list_init (&job->link);
}

gboolean
waiting_job_is_waiting (const struct waiting_job *job)
{
  return !list_is_empty (&job->link);
}

void
waiting_jobs_add (struct waiting_jobs *jobs, struct waiting_job *job)
{
  list_append (&jobs->jobs, &job->link);
  jobs->n++;
  jobs->n_bytes += job->n_bytes;
}

void
waiting_jobs_remove (struct waiting_jobs *jobs, struct waiting_job *job)
{
  if (!waiting_job_is_waiting (job))
    return;
  list_remove (&job->link);
  jobs->n--;
  jobs->n_bytes -= job->n_bytes;
}

/* The latest time at which JOB must start: to meet its objective or, if that
   is no longer possible, to be of use.  */
static gint64
get_latest_start_us (const struct waiting_job *job, gint64 now_us)
{
  return now_us <= job->start_by_us ? job->start_by_us : job->end_by_us;
}

/* Negative if A goes before B, positive if it goes behind B.  */
static int
compare_jobs (const struct waiting_job *a, const struct waiting_job *b,
              gint64 now_us)
{
  gboolean is_a_late = now_us > a->start_by_us;
  gboolean is_b_late = now_us > b->start_by_us;
  gint64 a_us = get_latest_start_us (a, now_us);
  gint64 b_us = get_latest_start_us (b, now_us);

  if (is_a_late != is_b_late)
    return is_a_late ? 1 : -1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  return a_us < b_us ? -1 : a_us > b_us;
}

static gint
compare_entries (gconstpointer a, gconstpointer b, gpointer data)
{
  return compare_jobs (*(const struct waiting_job *const *)a,
                       *(const struct waiting_job *const *)b,
                       *(const gint64 *)data);
}

struct waiting_job *
waiting_jobs_find_excess (const struct waiting_jobs *jobs, gint64 now_us)
{
  struct waiting_job *last = NULL;
  struct list_node *node;
  struct list_node *after;

  if (jobs->n <= jobs->max_jobs && jobs->n_bytes <= jobs->max_bytes)
    return NULL;
  list_for_each (node, after, &jobs->jobs)
    {
      struct waiting_job *job = list_entry (node, struct waiting_job, link);

      if (last == NULL || compare_jobs (last, job, now_us) <= 0)
        last = job;
    }
  return last;
}

struct waiting_job *
waiting_jobs_find_expired (const struct waiting_jobs *jobs, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &jobs->jobs)
    {
      struct waiting_job *job = list_entry (node, struct waiting_job, link);

      if (now_us >= job->end_by_us)
        return job;
    }
  return NULL;
}

gboolean
waiting_jobs_precede (const struct waiting_jobs *jobs,
                      const struct waiting_job *job, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &jobs->jobs)
    {
      const struct waiting_job *other
          = list_entry (node, struct waiting_job, link);

      if (other->service_hash == job->service_hash
          && compare_jobs (other, job, now_us) < 0)
        return TRUE;
    }
  return FALSE;
}

GPtrArray *
waiting_jobs_list (const struct waiting_jobs *jobs, guint64 service_hash,
                   gint64 now_us)
{
  GPtrArray *list = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &jobs->jobs)
    {
      struct waiting_job *job = list_entry (node, struct waiting_job, link);

      if (job->service_hash == service_hash)
        g_ptr_array_add (list, job);
    }
  g_ptr_array_sort_with_data (list, compare_entries, &now_us);
  return list;
}

/* Whether JOB starts in time when N_TASKS, its own included, are assigned to
   SLOTS now.  */
static gboolean
starts_in_time (const struct waiting_job *job,
                const struct waiting_slots *slots, guint n_tasks,
                gint64 now_us)
{
  guint n_ahead = vm_room_count_ahead (&slots->pool, job->priority) + n_tasks;
  gint64 wait_ms = 0;

  if (n_ahead > slots->n_free)
    wait_ms = vm_room_estimate_wait_ms (&slots->pool, n_ahead - slots->n_free,
                                        job->priority, job->run_ms);
  return wait_ms * USEC_PER_MSEC <= get_latest_start_us (job, now_us) - now_us;
}

/* Whether the lot falls on this home, to assign JOB.  Of all homes, as many
   are drawn as there are free slots for their tasks, and at least one on
   average.  */
static gboolean
draw_lot (const struct waiting_job *job, const struct waiting_slots *slots)
{
  guint64 drawn = hash64_pair (slots->seed, slots->seed + 1)
                  % ((guint64)slots->n_homes * MAX (job->n_tasks, 1u));

  return drawn < MAX (slots->n_free, job->n_tasks);
}

GPtrArray *
waiting_jobs_select (const struct waiting_jobs *jobs, guint64 service_hash,
                     const struct waiting_slots *slots, gint64 now_us)
{
  g_autoptr (GPtrArray) list = waiting_jobs_list (jobs, service_hash, now_us);
  GPtrArray *selected = g_ptr_array_new ();
  gboolean is_drawn = FALSE;
  guint n_assigned = 0;

  for (guint i = 0; i < list->len && slots->pool.n_slots > 0; i++)
    {
      struct waiting_job *job = g_ptr_array_index (list, i);
      guint n_tasks = n_assigned + job->n_tasks;
      gboolean is_selected = starts_in_time (
          job, slots, n_tasks * MAX (slots->n_homes, 1u), now_us);

      if (!is_selected && !is_drawn && n_assigned == 0
          && starts_in_time (job, slots, n_tasks, now_us))
        {
          is_drawn = TRUE;
          is_selected = draw_lot (job, slots);
        }
      if (!is_selected)
        continue;
      n_assigned = n_tasks;
      g_ptr_array_add (selected, job);
    }
  return selected;
}
