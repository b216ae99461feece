#include "transport/fleet_home_private.h"

/* The timeout of a call that runs a batch exceeds the longest time that the
   batch may take by this margin.  */
#define CALL_MARGIN_US (5 * USEC_PER_SEC)

/* CPUs and factors are sent to peers as integers, in thousandths.  */
#define MILLI 1000

void
fleet_part_stop (struct fleet_part *part)
{
  struct fleet_home *home = part->job->home;

  if (part->owner != NULL)
    fleet_home_revoke (home, part->owner, part->job->submission->job,
                       part->number);
  else if (part->batch != NULL)
    owner_stop_batch (fleet_owner_get_owner (home->owner), part->batch,
                      "its home has stopped it", clock_now_us ());
}

/* The tasks that PART is sent with, those that it offers or is given, and
   their number in *N_TASKS.  */
static const guint *
get_sent_tasks (const struct fleet_part *part, guint *n_tasks)
{
  *n_tasks = part->n_offers > 0 ? part->offered.n : part->n_tasks;
  return part->n_offers > 0 ? part->offered.indexes : part->indexes;
}

/* Whether tasks of the job of PART may have been started, or are at other
   owners, which may start them.  */
static gboolean
is_part_of_begun (const struct fleet_part *part)
{
  guint n_tasks;

  get_sent_tasks (part, &n_tasks);
  return n_tasks < part->job->submission->n_tasks;
}

/* Whether PART is to be run only on free slots, which its owner has announced:
   announcements are up to one beacon interval old.  */
static gboolean
needs_free_slots (const struct fleet_part *part)
{
  return part->n_offers == 0;
}

/* Writes those of the N tasks INDEXES that SET contains to OUT, which has room
   for all.  Returns their number.  */
static guint
list_common (const struct task_set *set, const guint *indexes, guint n,
             guint *out)
{
  guint n_out = 0;

  for (guint i = 0; i < n; i++)
    if (task_set_contains (set, indexes[i]))
      out[n_out++] = indexes[i];
  return n_out;
}

/* The batch for PART, which runs on this VM.  */
static struct batch *
build_batch (const struct fleet_part *part)
{
  const struct fleet_job *job = part->job;
  const struct fleet_submission *s = job->submission;
  guint n_tasks;
  const guint *indexes = get_sent_tasks (part, &n_tasks);
  struct batch *batch = batch_new (s->job, job->home->name, n_tasks);

  for (guint i = 0; i < n_tasks; i++)
    batch->tasks[i].index = indexes[i];
  if (part->n_offers > 0)
    batch_set_offered (batch, part->n_offers);
  batch_mark_crashed (batch, job->crashed.indexes, job->crashed.n, FALSE,
                      clock_now_us ());
  batch_mark_crashed (batch, job->suspects.indexes, job->suspects.n, TRUE,
                      clock_now_us ());
  batch->number = part->number;
  batch->service = g_strdup (s->service);
  batch->spec = g_strdup (s->spec);
  batch->affinity = g_strdup (s->affinity);
  batch->required_label = g_strdup (s->required_label);
  batch->need = s->need;
  batch->estimate_us = s->estimate_us;
  batch->far_factor = job->home->far_factor;
  batch->per_upstream = s->per_upstream;
  batch->priority = s->priority;
  batch->attempts = s->attempts;
  batch->is_settled = job->n_assignments > FLEET_MAX_MOVABLE_ASSIGNMENTS;
  batch->is_part = is_part_of_begun (part);
  batch->is_local = TRUE;
  batch->start_by_us = job->start_by_us;
  batch->end_by_us = job->end_by_us;
  batch->needs_free_slots = needs_free_slots (part);
  return batch;
}

/* Sends PART to its owner, another VM.  */
static void
send_remote (struct fleet_part *part, peer_call_done_func *ended)
{
  struct fleet_job *job = part->job;
  const struct fleet_submission *s = job->submission;
  gint64 now_us = clock_now_us ();
  guint n_tasks;
  const guint *indexes = get_sent_tasks (part, &n_tasks);
  guint crashed[PEER_TASKS_MAX];
  guint suspects[PEER_TASKS_MAX];
  peer_batch_args args = {
    .incarnation = job->home->incarnation,
    .job = s->job,
    .number = part->number,
    .service = s->service,
    .spec = part->n_offers > 0 ? (char *)"" : s->spec,
    .affinity = s->affinity != NULL ? s->affinity : (char *)"",
    .required_label
    = s->required_label != NULL ? s->required_label : (char *)"",
    .milli_cpus = (u_int)(s->need.cpus * MILLI + 0.5),
    .memory_mb = s->need.memory_mb,
    .accelerators = s->need.accelerators,
    .estimate_us = s->estimate_us,
    .far_permille = (u_int)(job->home->far_factor * MILLI + 0.5),
    .per_upstream = s->per_upstream,
    .priority = s->priority,
    .attempts = s->attempts,
    .is_settled = job->n_assignments > FLEET_MAX_MOVABLE_ASSIGNMENTS,
    .is_part = is_part_of_begun (part),
    .needs_free_slots = needs_free_slots (part),
    .start_in_us = job->start_by_us - now_us,
    .end_in_us = job->end_by_us - now_us,
    .n_offers = part->n_offers,
    .indexes = { n_tasks, (guint *)indexes },
    .crashed
    = { list_common (&job->crashed, indexes, n_tasks, crashed), crashed },
    .suspects
    = { list_common (&job->suspects, indexes, n_tasks, suspects), suspects },
  };

  fleet_home_begin_call (job->home, part->owner);
  peer_hub_call (job->home->hub, part->owner, PEER_RUN_BATCH, &args,
                 job->end_by_us + s->estimate_us * FLEET_LATE_FACTOR
                     + CALL_MARGIN_US,
                 ended, part);
}

void
fleet_part_send (struct fleet_part *part, peer_call_done_func *ended)
{
  part->job->n_sent_parts++;
  if (part->owner != NULL)
    {
      send_remote (part, ended);
      return;
    }
  part->batch = build_batch (part);
  fleet_owner_run (part->job->home->owner, part->batch, &part->sink);
}
