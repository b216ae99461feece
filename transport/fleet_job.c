#include "transport/fleet_job.h"

/* How long a caller is assumed to wait if it does not say.  */
#define DEFAULT_CALLER_TIMEOUT_US (30 * USEC_PER_SEC)

void
fleet_submission_free (struct fleet_submission *submission)
{
  g_free (submission->job);
  g_free (submission->spec);
  g_free (submission->service);
  g_free (submission->route);
  g_free (submission->caller);
  g_free (submission->affinity);
  g_free (submission->required_label);
  g_free (submission);
}

struct fleet_job *
fleet_job_ref (struct fleet_job *job)
{
  job->ref_count++;
  return job;
}

void
fleet_job_unref (struct fleet_job *job)
{
  if (--job->ref_count > 0)
    return;
  fleet_submission_free (job->submission);
  g_string_free (job->trail, TRUE);
  g_free (job);
}

void
fleet_part_free (struct fleet_part *part)
{
  list_remove (&part->link);
  fleet_job_unref (part->job);
  batch_tally_clear (&part->sink.tally);
  g_free (part->owner);
  g_free (part);
}

guint
fleet_part_grant (struct fleet_part *part, guint n, guint *granted)
{
  guint n_granted
      = task_set_grant (&part->job->wanted, &part->offered, n, granted);

  for (guint i = 0; i < n_granted; i++)
    part->indexes[part->n_tasks++] = granted[i];
  return n_granted;
}

guint
fleet_part_remove_tasks (struct fleet_part *part, const guint *indexes,
                         guint n_indexes, guint *out)
{
  guint n_out = 0;

  task_set_remove (&part->offered, indexes, n_indexes);
  for (guint i = 0; i < n_indexes; i++)
    for (guint k = 0; k < part->n_tasks; k++)
      if (part->indexes[k] == indexes[i])
        {
          part->indexes[k] = part->indexes[--part->n_tasks];
          out[n_out++] = indexes[i];
          break;
        }
  return n_out;
}

static gboolean
is_named (guint index, const guint *indexes, guint n_indexes)
{
  for (guint i = 0; i < n_indexes; i++)
    if (indexes[i] == index)
      return TRUE;
  return FALSE;
}

void
fleet_job_note_crashed (struct fleet_job *job, const guint *returned, guint n,
                        const guint *crashed, guint n_crashed,
                        gboolean are_suspects)
{
  for (guint i = 0; i < n; i++)
    {
      guint index = returned[i];

      if (!is_named (index, crashed, n_crashed)
          || task_set_contains (&job->suspects, index))
        continue;
      task_set_remove (&job->crashed, &index, 1);
      task_set_add (are_suspects ? &job->suspects : &job->crashed, &index, 1);
    }
}

void
fleet_part_take_done (struct fleet_part *part, const guint *indexes,
                      guint n_indexes)
{
  struct task_set *done = &part->job->done;
  guint n_left = 0;

  for (guint i = 0; i < part->n_tasks; i++)
    {
      guint index = part->indexes[i];

      if (task_set_contains (done, index))
        continue;
      if (is_named (index, indexes, n_indexes))
        task_set_add (done, &index, 1);
      else
        part->indexes[n_left++] = index;
    }
  part->n_tasks = n_left;
}

gboolean
fleet_job_is_done (const struct fleet_job *job)
{
  return job->done.n == job->submission->n_tasks;
}

gboolean
fleet_job_is_awaited (const struct fleet_job *job)
{
  struct fleet_answer_handler *handler = job->handler;

  return clock_now_us () < job->deadline_us
         && (handler->is_connected == NULL || handler->is_connected (handler));
}

struct fleet_part *
fleet_job_find_part (const struct fleet_job *job, guint number)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &job->parts)
    {
      struct fleet_part *part = list_entry (node, struct fleet_part, link);

      if (part->number == number)
        return part;
    }
  return NULL;
}

void
fleet_job_set_times (struct fleet_job *job)
{
  const struct fleet_submission *s = job->submission;
  gint64 now_us = job->accepted_us;

  job->deadline_us = now_us
                     + (s->caller_timeout_us > 0 ? s->caller_timeout_us
                                                 : DEFAULT_CALLER_TIMEOUT_US);
  job->start_by_us = now_us + s->objective_us - s->estimate_us;
  job->end_by_us
      = now_us + s->objective_us * FLEET_LATE_FACTOR - s->estimate_us;
  if (s->caller_timeout_us > 0)
    job->end_by_us = MIN (job->end_by_us,
                          now_us + s->caller_timeout_us - s->estimate_us / 2);
}

gboolean
fleet_job_has_offers (const struct fleet_job *job)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &job->parts)
    if (task_set_intersects (
            &job->wanted,
            &list_entry (node, struct fleet_part, link)->offered))
      return TRUE;
  return FALSE;
}
