#include "bench/omniscient.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

/* In order of remaining work, a job's key is its arrival time plus
   AGEING_FACTOR times its remaining run time, at most MAX_AGEING_US.  The same
   values as in coordination/order.[ch].  */
#define MAX_AGEING_US (60 * USEC_PER_SEC)
#define AGEING_FACTOR 2

struct queued_job
{
  const struct workload_job *spec;
  gint64 run_times_us[WORKLOAD_MAX_TASKS]; /* longest first */
  guint next_task;     /* index in run_times_us of the next one to start */
  gint64 remaining_us; /* run time of the tasks that have not started */
  gint64 end_us;       /* when the last of the started tasks ends */
};

struct job_queue
{
  GPtrArray *jobs; /* struct queued_job, owned, with tasks to start */
  gboolean by_remaining_work;
};

/* The job with the smallest key is served first.  */
static gint64
get_order_key (const struct job_queue *queue, const struct queued_job *job)
{
  if (!queue->by_remaining_work)
    return job->spec->arrival_us;
  return job->spec->arrival_us
         + MIN (job->remaining_us * AGEING_FACTOR, MAX_AGEING_US);
}

static int
compare_descending (const void *a, const void *b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return (x < y) - (x > y);
}

static struct queued_job *
queued_job_new (const struct workload_job *spec)
{
  struct queued_job *job = g_new0 (struct queued_job, 1);

  job->spec = spec;
  memcpy (job->run_times_us, spec->run_times_us, sizeof job->run_times_us);
  qsort (job->run_times_us, spec->n_tasks, sizeof job->run_times_us[0],
         compare_descending);
  for (guint i = 0; i < spec->n_tasks; i++)
    job->remaining_us += job->run_times_us[i];
  return job;
}

static guint
find_next_job_index (const struct job_queue *queue)
{
  guint first = 0;

  for (guint i = 1; i < queue->jobs->len; i++)
    {
      if (get_order_key (queue, queue->jobs->pdata[i])
          < get_order_key (queue, queue->jobs->pdata[first]))
        first = i;
    }
  return first;
}

/* Restores the min-heap SLOT_FREE_US, the times at which the N slots become
   free, after entry I has grown.  */
static void
sift_down (gint64 *slot_free_us, guint n, guint i)
{
  for (;;)
    {
      guint child = 2 * i + 1;
      gint64 parent_us = slot_free_us[i];

      if (child >= n)
        return;
      if (child + 1 < n && slot_free_us[child + 1] < slot_free_us[child])
        child++;
      if (slot_free_us[child] >= parent_us)
        return;
      slot_free_us[i] = slot_free_us[child];
      slot_free_us[child] = parent_us;
      i = child;
    }
}

static void
record_ratio (const struct queued_job *job, gint64 one_way_delay_us,
              gint64 warm_up_us, GArray *ratios)
{
  const struct workload_job *spec = job->spec;
  gdouble ideal_us
      = (gdouble)(workload_job_get_longest_us (spec) + 2 * one_way_delay_us);
  gdouble ratio
      = (gdouble)(job->end_us + 2 * one_way_delay_us - spec->arrival_us)
        / ideal_us;

  if (spec->arrival_us >= warm_up_us)
    g_array_append_val (ratios, ratio);
}

/* Starts the next task of the first job in QUEUE at NOW_US, on the slot that
   becomes free first.  With its last task, removes the job from QUEUE and adds
   its ratio to RATIOS unless it arrived before WARM_UP_US.  */
static void
start_next_task (struct job_queue *queue, gint64 *slot_free_us, guint n_slots,
                 gint64 now_us, gint64 one_way_delay_us, gint64 warm_up_us,
                 GArray *ratios)
{
  guint position = find_next_job_index (queue);
  struct queued_job *job = queue->jobs->pdata[position];
  gint64 run_time_us = job->run_times_us[job->next_task++];

  slot_free_us[0] = now_us + run_time_us;
  job->remaining_us -= run_time_us;
  job->end_us = MAX (job->end_us, slot_free_us[0]);
  sift_down (slot_free_us, n_slots, 0);
  if (job->next_task < job->spec->n_tasks)
    return;
  record_ratio (job, one_way_delay_us, warm_up_us, ratios);
  g_ptr_array_remove_index_fast (queue->jobs, position);
  g_free (job);
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  gdouble x = *(const gdouble *)a;
  gdouble y = *(const gdouble *)b;

  return (x > y) - (x < y);
}

GArray *
omniscient_run (const struct workload *workload, guint n_slots,
                gint64 one_way_delay_us, gint64 warm_up_us,
                gboolean by_remaining_work)
{
  struct job_queue queue = { g_ptr_array_new (), by_remaining_work };
  GArray *ratios = g_array_new (FALSE, FALSE, sizeof (gdouble));
  gint64 *slot_free_us = g_new0 (gint64, n_slots);
  guint next_job_index = 0;

  while (next_job_index < workload->jobs->len || queue.jobs->len > 0)
    {
      const struct workload_job *spec
          = next_job_index < workload->jobs->len
                ? workload->jobs->pdata[next_job_index]
                : NULL;

      if (spec != NULL
          && (queue.jobs->len == 0 || spec->arrival_us <= slot_free_us[0]))
        {
          g_ptr_array_add (queue.jobs, queued_job_new (spec));
          next_job_index++;
          continue;
        }
      struct queued_job *first
          = queue.jobs->pdata[find_next_job_index (&queue)];

      start_next_task (&queue, slot_free_us, n_slots,
                       MAX (slot_free_us[0], first->spec->arrival_us),
                       one_way_delay_us, warm_up_us, ratios);
    }
  g_array_sort (ratios, compare_doubles);
  g_ptr_array_unref (queue.jobs);
  g_free (slot_free_us);
  return ratios;
}
