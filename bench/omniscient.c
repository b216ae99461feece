#include "bench/omniscient.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

/* As the dispatcher's order has it.  */
#define MAX_AGEING_US (60 * USEC_PER_SEC)
#define AGEING_FACTOR 2

struct waiting_job
{
  const struct workload_job *spec;
  gint64 runs[WORKLOAD_MAX_TASKS]; /* longest first */
  guint next;
  gint64 remaining_us; /* of the tasks that have not started */
  gint64 end_us;       /* of the tasks that have */
};

struct queue
{
  GPtrArray *waiting; /* struct waiting_job */
  gboolean by_work;
};

static gint64
compute_key (const struct queue *queue, const struct waiting_job *job)
{
  if (!queue->by_work)
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

static struct waiting_job *
waiting_job_new (const struct workload_job *spec)
{
  struct waiting_job *job = g_new0 (struct waiting_job, 1);

  job->spec = spec;
  memcpy (job->runs, spec->run_us, sizeof job->runs);
  qsort (job->runs, spec->n_tasks, sizeof job->runs[0], compare_descending);
  for (guint i = 0; i < spec->n_tasks; i++)
    job->remaining_us += job->runs[i];
  return job;
}

static guint
find_first (const struct queue *queue)
{
  guint first = 0;

  for (guint i = 1; i < queue->waiting->len; i++)
    {
      if (compute_key (queue, queue->waiting->pdata[i])
          < compute_key (queue, queue->waiting->pdata[first]))
        first = i;
    }
  return first;
}

/* Times at which slots become free, a sorted ring would do; the number is
   small enough for a heap by hand.  */
static void
sink (gint64 *slots, guint n, guint i)
{
  for (;;)
    {
      guint child = 2 * i + 1;
      gint64 former = slots[i];

      if (child >= n)
        return;
      if (child + 1 < n && slots[child + 1] < slots[child])
        child++;
      if (slots[child] >= former)
        return;
      slots[i] = slots[child];
      slots[child] = former;
      i = child;
    }
}

static void
finish (const struct waiting_job *job, gint64 travel_us, gint64 warm_up_us,
        GArray *ratios)
{
  const struct workload_job *spec = job->spec;
  gdouble ideal_us = (gdouble)(workload_job_longest_us (spec) + 2 * travel_us);
  gdouble ratio
      = (gdouble)(job->end_us + 2 * travel_us - spec->arrival_us) / ideal_us;

  if (spec->arrival_us >= warm_up_us)
    g_array_append_val (ratios, ratio);
}

/* Starts the first waiting task at NOW_US on the slot that is free first.  */
static void
start_first (struct queue *queue, gint64 *slots, guint n_slots, gint64 now_us,
             gint64 travel_us, gint64 warm_up_us, GArray *ratios)
{
  guint position = find_first (queue);
  struct waiting_job *job = queue->waiting->pdata[position];
  gint64 run_us = job->runs[job->next++];

  slots[0] = now_us + run_us;
  job->remaining_us -= run_us;
  job->end_us = MAX (job->end_us, slots[0]);
  sink (slots, n_slots, 0);
  if (job->next < job->spec->n_tasks)
    return;
  finish (job, travel_us, warm_up_us, ratios);
  g_ptr_array_remove_index_fast (queue->waiting, position);
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
                gint64 travel_us, gint64 warm_up_us, gboolean by_work)
{
  struct queue queue = { g_ptr_array_new (), by_work };
  GArray *ratios = g_array_new (FALSE, FALSE, sizeof (gdouble));
  gint64 *slots = g_new0 (gint64, n_slots);
  guint next = 0;

  while (next < workload->jobs->len || queue.waiting->len > 0)
    {
      const struct workload_job *spec
          = next < workload->jobs->len ? workload->jobs->pdata[next] : NULL;

      if (spec != NULL
          && (queue.waiting->len == 0 || spec->arrival_us <= slots[0]))
        {
          g_ptr_array_add (queue.waiting, waiting_job_new (spec));
          next++;
          continue;
        }
      struct waiting_job *first = queue.waiting->pdata[find_first (&queue)];

      start_first (&queue, slots, n_slots,
                   MAX (slots[0], first->spec->arrival_us), travel_us,
                   warm_up_us, ratios);
    }
  g_array_sort (ratios, compare_doubles);
  g_ptr_array_unref (queue.waiting);
  g_free (slots);
  return ratios;
}
