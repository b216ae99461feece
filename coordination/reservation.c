#include "coordination/reservation.h"

#include "coordination/host.h"
#include "coordination/serve.h"
#include "coordination/shape_check.h"

/* The most entries of a lane's heap that are examined.  */
#define LOOKAHEAD 8

/* Updates the indexes of HOST's upstreams after a change of its
   reservation.  */
static void
update_indexes (struct host *host, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &host->upstreams)
    pool_update_index (list_entry (node, struct upstream, host_link), now_us);
}

/* Whether the job of TASK has waited for long and TASK does not fit beside the
   tasks on UPSTREAM.  */
static gboolean
is_starved (const struct task *task, const struct upstream *upstream,
            gint64 now_us)
{
  if (task->job->accepted_us + RESERVATION_WAIT_US > now_us)
    return FALSE;
  return !shape_fits_beside (&task->need, &upstream->host->used,
                             &upstream->shape);
}

static struct job *
find_starved_job (const struct upstream *upstream, gint64 now_us)
{
  const GPtrArray *lanes = upstream->pool->lanes;

  for (guint i = 0; i < lanes->len; i++)
    {
      const struct lane *lane = g_ptr_array_index (lanes, i);

      if ((lane->kinds >> upstream->shape_kind & 1) == 0)
        continue;
      for (guint j = 0; j < MIN (lane->heap->len, LOOKAHEAD); j++)
        {
          struct lane_entry *entry = g_ptr_array_index (lane->heap, j);

          if (is_starved (lane_entry_peek (entry), upstream, now_us))
            return entry->job;
        }
    }
  return NULL;
}

void
reservation_reserve_if_starved (struct upstream *upstream, gint64 now_us)
{
  struct pool *pool = upstream->pool;
  struct host *host = upstream->host;
  struct job *job;

  if (pool == NULL || pool->n_queued == 0 || pool->reserved_host != NULL
      || host->reserved_job != NULL || upstream->is_leaving)
    return;
  job = find_starved_job (upstream, now_us);
  if (job == NULL)
    return;
  pool->reserved_host = host;
  host->reserved_job = job_ref (job);
  host->reserved_until_us = now_us + RESERVATION_MAX_US;
  update_indexes (host, now_us);
}

struct task *
reservation_find_task (const struct upstream *upstream)
{
  const struct job *job = upstream->host->reserved_job;
  const struct list_node *node;

  if (job->pool != upstream->pool)
    return NULL;
  for (node = job->lane_entries.next; node != &job->lane_entries;
       node = node->next)
    {
      struct lane_entry *entry
          = list_entry (node, struct lane_entry, job_link);
      struct task *task = lane_entry_peek (entry);

      if ((entry->lane->kinds >> upstream->shape_kind & 1) != 0
          && shape_fits_beside (&task->need, &upstream->host->used,
                                &upstream->shape))
        return task;
    }
  return NULL;
}

void
reservation_end (struct host *host, gint64 now_us)
{
  struct job *job = host->reserved_job;

  if (job == NULL)
    return;
  host->reserved_job = NULL;
  job->pool->reserved_host = NULL;
  job_unref (job);
  update_indexes (host, now_us);
}

void
reservations_expire (struct dispatcher *d, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct host *host = ((struct pool *)value)->reserved_host;
      struct upstream *upstream;

      if (host == NULL
          || (host->reserved_until_us > now_us
              && host->reserved_job->n_queued > 0))
        continue;
      reservation_end (host, now_us);
      upstream = host_find_active (host);
      if (upstream != NULL)
        serve_upstream (d, upstream, now_us);
    }
}
