#include "transport/fleet_home_private.h"

/* A job that is closed while owners may still run tasks of it.  */
struct ending_job
{
  struct fleet_job *job;  /* holds a reference */
  gint64 until_us;        /* nothing of it runs after that */
  struct fleet_job *next; /* with the same id, which waits for that; NULL for
                             none */
};

static void
ending_job_free (gpointer data)
{
  struct ending_job *ending = data;

  fleet_job_unref (ending->job);
  g_free (ending);
}

GHashTable *
fleet_home_new_ending (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                ending_job_free);
}

void
fleet_home_keep_ending (struct fleet_job *job)
{
  struct fleet_home *home = job->home;
  struct ending_job *ending
      = g_hash_table_lookup (home->ending, job->submission->job);

  if (ending != NULL && ending->next == job)
    ending->next = NULL;
  if (job->n_sent_parts == 0)
    return;
  ending = g_new0 (struct ending_job, 1);
  ending->job = fleet_job_ref (job);
  ending->until_us = clock_now_us () + home->resend_ms * USEC_PER_MSEC;
  g_hash_table_replace (home->ending, job->submission->job, ending);
}

gboolean
fleet_home_wait_for_former (struct fleet_job *job)
{
  struct ending_job *ending
      = g_hash_table_lookup (job->home->ending, job->submission->job);

  if (ending == NULL)
    return FALSE;
  ending->next = job;
  return TRUE;
}

/* Nothing of ENDING runs any more: starts the job that waits for that.  */
static void
finish_ending (struct fleet_home *home, struct ending_job *ending)
{
  struct fleet_job *next = ending->next;

  g_hash_table_remove (home->ending, ending->job->submission->job);
  if (next != NULL && !fleet_home_wait_behind (next))
    fleet_home_assign_all (next);
}

void
fleet_home_end_part (struct fleet_job *job)
{
  struct ending_job *ending;

  if (--job->n_sent_parts > 0 || !job->is_closed)
    return;
  ending = g_hash_table_lookup (job->home->ending, job->submission->job);
  if (ending != NULL && ending->job == job)
    finish_ending (job->home, ending);
}

void
fleet_home_advance_ending (struct fleet_home *home, gint64 now_us)
{
  g_autoptr (GPtrArray) over = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, home->ending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct ending_job *)value)->until_us <= now_us)
      g_ptr_array_add (over, value);
  for (guint i = 0; i < over->len; i++)
    finish_ending (home, g_ptr_array_index (over, i));
}
