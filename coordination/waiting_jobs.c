#include "coordination/waiting_jobs.h"

#include "base/hash64.h"

/* The longest interval between two beacons of an owner is three rounds, so a
   home may assign three times by the same announcement.  */
#define ROUNDS_PER_NEWS 3

/* So many tasks that the time in which they are started tells the rate.  */
#define MANY_TASKS 1000

void
waiting_slots_set_demand (struct waiting_slots *slots,
                          const struct slot_demand *demand,
                          guint64 service_hash, guint n_owners,
                          gboolean is_complete, gint64 now_us)
{
  gint64 run_us;
  gdouble n_own = slot_demand_get (demand, service_hash, now_us, &run_us);
  gdouble n_busy
      = slots->pool.ends_per_s * (gdouble)run_us / (gdouble)USEC_PER_SEC;

  slots->n_needed = slots->n_homes * n_own;
  /* The number of slots that an owner announces is for tasks of typical size
     and rounded down: of upstreams for not quite two it is half.  */
  slots->n_expected = MAX (slots->pool.n_slots, slots->n_free + n_busy);
  slots->is_complete = is_complete;
  /* The VMs that announce none yet are expected to own as many upstreams.  */
  if (!is_complete && n_owners > 0 && n_owners < slots->n_homes)
    slots->n_expected *= (gdouble)slots->n_homes / n_owners;
}

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

gboolean
waiting_job_is_late (const struct waiting_job *job, gint64 now_us)
{
  return now_us > job->start_by_us;
}

/* The latest time at which JOB must start: to meet its objective or, if that
   is no longer possible, to be of use.  */
static gint64
get_latest_start_us (const struct waiting_job *job, gint64 now_us)
{
  return waiting_job_is_late (job, now_us) ? job->end_by_us : job->start_by_us;
}

/* Negative if A goes before B, positive if it goes behind B.  */
static int
compare_jobs (const struct waiting_job *a, const struct waiting_job *b,
              gint64 now_us)
{
  gboolean is_a_late = waiting_job_is_late (a, now_us);
  gboolean is_b_late = waiting_job_is_late (b, now_us);
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

/* How long N_TASKS, those of JOB and others that are assigned to SLOTS before,
   wait until the last one starts.  */
static gint64
estimate_wait_us (const struct waiting_job *job,
                  const struct waiting_slots *slots, guint n_tasks)
{
  guint n_ahead = vm_room_count_ahead (&slots->pool, job->priority) + n_tasks;

  if (n_ahead <= slots->n_free)
    return 0;
  return vm_room_estimate_wait_ms (&slots->pool, n_ahead - slots->n_free,
                                   job->priority, job->run_ms)
         * USEC_PER_MSEC;
}

/* How many tasks like those of JOB, which can be in time, this home may assign
   in one round, so that all homes together assign what SLOTS start.  */
static gdouble
compute_share (const struct waiting_job *job,
               const struct waiting_slots *slots)
{
  gint64 many_us = vm_room_estimate_wait_ms (&slots->pool, MANY_TASKS,
                                             job->priority, job->run_ms)
                   * USEC_PER_MSEC;
  gdouble n_started = (gdouble)MANY_TASKS * WAITING_ROUND_US
                      / (gdouble)MAX (many_us, USEC_PER_MSEC);

  if (slots->n_homes <= 1)
    return G_MAXUINT;
  return ((gdouble)slots->n_free / ROUNDS_PER_NEWS + n_started)
         / slots->n_homes;
}

/* The same for JOB, which can only be late: all homes together assign what
   keeps the slots busy that jobs in time do not need, and only as long as
   slots are free.  */
static gdouble
compute_late_share (const struct waiting_job *job,
                    const struct waiting_slots *slots)
{
  guint n_queued = vm_room_count_ahead (&slots->pool, ROOM_PRIORITIES);
  gdouble n_free = (gdouble)slots->n_free - n_queued;
  gdouble n_spare = slots->n_expected - slots->n_needed;
  /* Tasks that one slot starts in a round.  */
  gdouble n_starts = (gdouble)WAITING_ROUND_US
                     / ((gdouble)MAX (job->run_ms, 1u) * USEC_PER_MSEC);
  /* The same for the slots that were announced as free: one that is taken
     stays so until the next announcement, or until the run ends.  */
  gdouble n_free_starts = CLAMP (n_starts, 1.0 / ROUNDS_PER_NEWS, 1);

  return MAX (0, MIN (n_free * n_free_starts, n_spare * n_starts))
         / slots->n_homes;
}

/* A pseudo-random number, at least 0 and less than 1.  */
static gdouble
draw (guint64 seed)
{
  return (gdouble)(hash64_pair (seed, seed + 1) >> 11) * 0x1p-53;
}

/* Whether JOB is assigned to SLOTS when N_LEFT tasks are left of the share. */
static gboolean
fits_share (const struct waiting_job *job, const struct waiting_slots *slots,
            gdouble n_left)
{
  return n_left >= job->n_tasks || draw (slots->seed) < n_left / job->n_tasks;
}

GPtrArray *
waiting_jobs_select (const struct waiting_jobs *jobs, guint64 service_hash,
                     const struct waiting_slots *slots, gint64 now_us)
{
  g_autoptr (GPtrArray) list = waiting_jobs_list (jobs, service_hash, now_us);
  GPtrArray *selected = g_ptr_array_new ();
  guint n_assigned = 0;

  for (guint i = 0; i < list->len && slots->pool.n_slots > 0; i++)
    {
      struct waiting_job *job = g_ptr_array_index (list, i);
      gboolean is_late = waiting_job_is_late (job, now_us);
      gboolean is_due = !is_late && slots->is_complete;
      gdouble n_left = (is_late ? compute_late_share (job, slots)
                                : compute_share (job, slots))
                       - n_assigned;
      gint64 wait_us
          = estimate_wait_us (job, slots, n_assigned + job->n_tasks);

      if (!is_due && wait_us > get_latest_start_us (job, now_us) - now_us)
        continue;
      if (!is_due && !fits_share (job, slots, n_left))
        break;
      g_ptr_array_add (selected, job);
      n_assigned += job->n_tasks;
      if (!is_due && n_left < job->n_tasks)
        break;
    }
  return selected;
}

GPtrArray *
waiting_jobs_list_hopeless (const struct waiting_jobs *jobs,
                            guint64 service_hash,
                            const struct waiting_slots *slots, gint64 now_us)
{
  g_autoptr (GPtrArray) list = waiting_jobs_list (jobs, service_hash, now_us);
  GPtrArray *hopeless = g_ptr_array_new ();
  /* Of this home.  */
  gdouble n_spare
      = (slots->n_expected - (slots->is_complete ? slots->n_needed : 0))
        / slots->n_homes;
  gdouble work_us = 0;

  for (guint i = 0; i < list->len && slots->pool.n_slots > 0; i++)
    {
      struct waiting_job *job = g_ptr_array_index (list, i);
      gint64 left_us = job->end_by_us - now_us;

      if (!waiting_job_is_late (job, now_us))
        continue;
      if (n_spare <= 0 || work_us > n_spare * (gdouble)left_us)
        g_ptr_array_add (hopeless, job);
      else
        work_us += (gdouble)job->n_tasks * job->run_ms * USEC_PER_MSEC;
    }
  return hopeless;
}
