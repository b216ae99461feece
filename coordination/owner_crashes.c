#include "coordination/owner_private.h"

/* A task that has run for longer than the latest start on its upstream by more
   than this is no suspect at the first crash: what crashes upstreams mostly
   does so at its start.  */
#define START_WINDOW_US (100 * USEC_PER_MSEC)

/* A task becomes a suspect at this crash, whoever else ran.  */
#define SUSPICIOUS_CRASHES 2

/* A task is given up when so many crashes under it are confirmed.  */
#define MAX_CONFIRMED_CRASHES 2

/* How long an upstream is waited for whose answer verifies a crash.  */
#define VERIFICATION_TIMEOUT_US (10 * USEC_PER_SEC)

/* After so many crashes a task is not started again, even if they are not
   confirmed.  */
#define MAX_CRASHES 3

/* Upstreams that are lost within this time of each other are lost together.
   Where connections hang, two polls have to time out, one of which may be held
   back, before the others are asked.  */
#define COMMON_LOSS_US (700 * USEC_PER_MSEC)

/* At least so many upstreams that are lost together, and this share of those
   owned in their rack or availability zone, have a common cause: a loss of
   power or a network partition.  */
#define MIN_COMMON_LOSSES 3
#define MIN_COMMON_SHARE 0.75

gboolean
batch_task_is_suspect (const struct batch_task *task)
{
  return task->is_suspect;
}

guint
batch_list_crashed (const struct batch *batch, gboolean only_suspects,
                    guint *indexes)
{
  guint n = 0;

  for (guint i = 0; i < batch->n_tasks; i++)
    {
      const struct batch_task *task = &batch->tasks[i];

      if (task->state == BATCH_TASK_RETURNED
          && (task->n_crashes > 0 || task->is_loss_ignored)
          && task->is_suspect == only_suspects)
        indexes[n++] = task->index;
    }
  return n;
}

/* A task that crashes upstreams must not start anew with each owner, so what
   was ignored elsewhere counts.  */
static void
mark_crashed (struct batch_task *task, gboolean is_suspect, gint64 now_us)
{
  task->n_crashes = is_suspect ? SUSPICIOUS_CRASHES : 1;
  task->is_loss_ignored = TRUE;
  task->crashed_us = now_us;
  if (!is_suspect || task->is_suspect)
    return;
  task->is_suspect = TRUE;
  task->batch->n_suspects += task->state == BATCH_TASK_QUEUED ? 1 : 0;
}

void
batch_mark_crashed (struct batch *batch, const guint *indexes, guint n,
                    gboolean are_suspects, gint64 now_us)
{
  for (guint i = 0; i < n; i++)
    for (guint k = 0; k < batch->n_tasks; k++)
      if (batch->tasks[k].index == indexes[i])
        mark_crashed (&batch->tasks[k], are_suspects, now_us);
}

/* Upstreams of one rack or availability zone.  */
struct domain_losses
{
  guint n_lost;  /* together with the one in question */
  guint n_owned; /* by this owner */
};

static void
add_to_domain (struct domain_losses *losses, gboolean is_lost)
{
  losses->n_owned++;
  losses->n_lost += is_lost ? 1 : 0;
}

static gboolean
is_common (const struct domain_losses *losses)
{
  return losses->n_lost >= MIN_COMMON_LOSSES
         && losses->n_lost >= MIN_COMMON_SHARE * losses->n_owned;
}

/* Whether UPSTREAM was lost together with most others of its rack or
   availability zone.  */
static gboolean
has_common_cause (const struct owner *owner,
                  const struct owned_upstream *upstream)
{
  struct domain_losses rack = { 0 };
  struct domain_losses zone = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct owned_upstream *other = value;
      gboolean is_lost
          = other->lost_us != 0
            && ABS (other->lost_us - upstream->lost_us) <= COMMON_LOSS_US;

      if (g_strcmp0 (other->availability_zone, upstream->availability_zone))
        continue;
      add_to_domain (&zone, is_lost);
      if (g_strcmp0 (other->rack, upstream->rack) == 0)
        add_to_domain (&rack, is_lost);
    }
  return is_common (&rack) || is_common (&zone);
}

/* When the latest of the runs of UPSTREAM was started.  */
static gint64
get_latest_start_us (const struct owned_upstream *upstream)
{
  const struct list_node *node;
  gint64 latest_us = 0;

  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    {
      const struct run *run = list_entry (node, struct run, link);

      if (run->task != NULL)
        latest_us = MAX (latest_us, run->started_us);
    }
  return latest_us;
}

/* The upstream of RUN was lost with most others of its rack or availability
   zone.  Does not count it for the task of RUN, but only once: several tasks
   that crash upstreams look the same.  Returns whether it is ignored.  */
static gboolean
ignore_loss (struct run *run)
{
  if (run->task->is_loss_ignored)
    return run->is_loss_ignored;
  run->task->is_loss_ignored = TRUE;
  run->is_loss_ignored = TRUE;
  return TRUE;
}

/* Has the crash of its upstream under RUN verified when that answers again.
   A run that the upstream never confirmed may not have begun there.  */
static void
report_crash (const struct run *run)
{
  const struct owned_upstream *upstream = run->upstream;

  if (!run->is_confirmed || upstream->instance_start_ms == 0)
    return;
  for (guint i = 0; i < MAX_CRASH_REPORTS; i++)
    {
      struct crash_report *report = &run->task->reports[i];

      if (report->upstream != NULL)
        continue;
      report->upstream = g_strdup (upstream->id);
      report->instance_start_ms = upstream->instance_start_ms;
      report->expires_us = upstream->lost_us + VERIFICATION_TIMEOUT_US;
      return;
    }
}

/* Counts the crash of its upstream in the task of RUN.  */
static void
count_crash (struct run *run, gint64 latest_start_us)
{
  struct batch_task *task = run->task;

  run->is_crash_counted = TRUE;
  task->n_crashes++;
  report_crash (run);
  task->crashed_us = run->upstream->lost_us;
  task->crash_age_us = run->upstream->lost_us - run->started_us;
  task->is_suspect |= task->n_crashes >= SUSPICIOUS_CRASHES
                      || run->started_us + START_WINDOW_US >= latest_start_us;
}

void
owner_poll_domain (struct owner *owner, const struct owned_upstream *upstream,
                   gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct owned_upstream *other = value;

      if (other->state == OWNED_HELD
          && g_strcmp0 (other->availability_zone, upstream->availability_zone)
                 == 0)
        other->poll_due_us = MIN (other->poll_due_us, now_us);
    }
}

void
owner_note_crash (struct owner *owner, struct owned_upstream *upstream)
{
  gint64 latest_start_us = get_latest_start_us (upstream);
  gboolean is_common_loss = has_common_cause (owner, upstream);
  struct list_node *node;
  struct list_node *after;

  if (upstream->is_leaving)
    return;
  list_for_each (node, after, &upstream->runs)
    {
      struct run *run = list_entry (node, struct run, link);

      if (run->task == NULL || run->is_crash_counted)
        continue;
      if (is_common_loss && ignore_loss (run))
        continue;
      count_crash (run, latest_start_us);
      if (owner->driver->ops->upstream_crashed != NULL)
        owner->driver->ops->upstream_crashed (owner->driver, run);
    }
}

void
batch_task_clear_crashes (struct batch_task *task)
{
  for (guint i = 0; i < MAX_CRASH_REPORTS; i++)
    g_clear_pointer (&task->reports[i].upstream, g_free);
}

/* Verifies REPORT of TASK, which is about UPSTREAM.  */
static void
verify_report (struct batch_task *task, struct crash_report *report,
               const struct owned_upstream *upstream)
{
  gboolean is_other_instance
      = upstream->instance_start_ms != report->instance_start_ms;

  g_clear_pointer (&report->upstream, g_free);
  if (upstream->is_removed)
    return;
  if (is_other_instance)
    task->n_confirmed_crashes++;
  else
    task->n_crashes--;
}

static void
verify_task (struct batch_task *task, const struct owned_upstream *upstream)
{
  for (guint i = 0; i < MAX_CRASH_REPORTS; i++)
    if (g_strcmp0 (task->reports[i].upstream, upstream->id) == 0)
      verify_report (task, &task->reports[i], upstream);
}

/* Whether a crash of TASK is still to be verified.  */
static gboolean
has_report (const struct batch_task *task, gint64 now_us)
{
  for (guint i = 0; i < MAX_CRASH_REPORTS; i++)
    if (task->reports[i].upstream != NULL
        && task->reports[i].expires_us > now_us)
      return TRUE;
  return FALSE;
}

/* Whether TASK is not started again before its crashes are verified.  */
static gboolean
is_awaiting_verification (const struct batch_task *task, gint64 now_us)
{
  return task->n_crashes >= MAX_CONFIRMED_CRASHES && has_report (task, now_us);
}

void
owner_apply_crash_limit (struct owner *owner, struct batch_task *task,
                         gint64 now_us)
{
  if (task->state != BATCH_TASK_QUEUED)
    return;
  if (task->n_confirmed_crashes >= MAX_CONFIRMED_CRASHES)
    owner_end_batch (owner, task->batch, BATCH_CRASHED,
                     "upstreams crash under a task", now_us);
  else if (task->n_crashes >= MAX_CRASHES && !has_report (task, now_us))
    owner_end_batch (owner, task->batch, BATCH_STOPPED,
                     "its upstreams were lost again and again", now_us);
}

/* All batches of OWNER; only those with queued suspects if ONLY_SUSPECTS.  */
static GPtrArray *
list_batches (struct owner *owner, gboolean only_suspects)
{
  struct list_node *const lists[] = { &owner->queue, &owner->batches };
  GPtrArray *batches = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  for (guint i = 0; i < G_N_ELEMENTS (lists); i++)
    list_for_each (node, after, lists[i])
      {
        struct batch *batch = list_entry (node, struct batch, link);

        if (!only_suspects || batch->n_suspects > 0)
          g_ptr_array_add (batches, batch);
      }
  return batches;
}

static void
apply_crash_limits (struct owner *owner, struct batch *batch, gint64 now_us)
{
  for (guint i = 0; i < batch->n_tasks; i++)
    owner_apply_crash_limit (owner, &batch->tasks[i], now_us);
  owner_finish_batch_if_done (owner, batch);
}

void
owner_apply_crash_limits (struct owner *owner, gint64 now_us)
{
  g_autoptr (GPtrArray) batches = list_batches (owner, TRUE);

  for (guint i = 0; i < batches->len; i++)
    apply_crash_limits (owner, g_ptr_array_index (batches, i), now_us);
}

void
owner_verify_crashes (struct owner *owner,
                      const struct owned_upstream *upstream, gint64 now_us)
{
  g_autoptr (GPtrArray) batches = list_batches (owner, FALSE);

  for (guint i = 0; i < batches->len; i++)
    {
      struct batch *batch = g_ptr_array_index (batches, i);

      for (guint k = 0; k < batch->n_tasks; k++)
        verify_task (&batch->tasks[k], upstream);
      apply_crash_limits (owner, batch, now_us);
    }
}

/* Whether a task for SERVICE that is no suspect waits in time for a slot.  */
static gboolean
has_others_in_time (const struct owner *owner, const char *service)
{
  const struct list_node *node;

  for (node = owner->queue.next; node != &owner->queue; node = node->next)
    {
      const struct batch *batch = list_entry (node, struct batch, link);

      if (!batch->is_late && batch_count_waiting (batch) > 0
          && g_str_equal (batch->service, service))
        return TRUE;
    }
  return FALSE;
}

/* Whether UPSTREAM has answered a poll since TASK was lost.  Otherwise it may
   have been lost unnoticed, which would count against TASK.  */
static gboolean
has_answered_since (const struct owned_upstream *upstream,
                    const struct batch_task *task)
{
  return upstream->answered_sent_us > task->crashed_us;
}

/* The upstream on which TASK can run alone, or NULL.  Polls the idle ones that
   have not answered since TASK was lost.  */
static struct owned_upstream *
find_empty_upstream (struct owner *owner, const struct batch_task *task,
                     gint64 now_us)
{
  struct owned_upstream *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct owned_upstream *upstream = value;

      if (!list_is_empty (&upstream->runs) || !list_is_empty (&upstream->holds)
          || !owner_may_run_on (owner, task, upstream, now_us))
        continue;
      if (!has_answered_since (upstream, task))
        {
          upstream->poll_due_us = MIN (upstream->poll_due_us, now_us);
          continue;
        }
      if (best == NULL || upstream->shape.cpus < best->shape.cpus)
        best = upstream;
    }
  return best;
}

/* Whether OWNER keeps an upstream of SERVICE.  */
static gboolean
has_upstream (const struct owner *owner, const char *service)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct owned_upstream *upstream = value;

      if (!upstream->is_leaving && !upstream->is_releasing
          && g_str_equal (upstream->service, service))
        return TRUE;
    }
  return FALSE;
}

const struct batch *
owner_get_stranded_suspects (const struct owner *owner)
{
  const struct list_node *node;

  for (node = owner->queue.next; node != &owner->queue; node = node->next)
    {
      const struct batch *batch = list_entry (node, struct batch, link);

      if (batch->n_suspects > 0 && !has_upstream (owner, batch->service))
        return batch;
    }
  return NULL;
}

/* What runs next of the suspects.  */
struct suspect_choice
{
  struct batch_task *task; /* NULL for none */
  struct owned_upstream *upstream;
};

/* Adds the suspects of BATCH that are queued and have an upstream to CHOICE.
   Keeps the one that most probably did not crash its upstream: that had run
   longest.  */
static void
add_suspects (struct owner *owner, struct batch *batch,
              struct suspect_choice *choice, gint64 now_us)
{
  for (guint i = 0; i < batch->n_tasks; i++)
    {
      struct batch_task *task = &batch->tasks[i];
      struct owned_upstream *upstream;

      if (task->state != BATCH_TASK_QUEUED || !batch_task_is_suspect (task)
          || is_awaiting_verification (task, now_us)
          || (choice->task != NULL
              && task->crash_age_us <= choice->task->crash_age_us))
        continue;
      upstream = find_empty_upstream (owner, task, now_us);
      if (upstream != NULL)
        *choice = (struct suspect_choice){ task, upstream };
    }
}

void
owner_start_suspect (struct owner *owner, gint64 now_us)
{
  struct suspect_choice choice = { 0 };
  struct list_node *node;
  struct list_node *after;

  if (owner->n_isolated > 0)
    return;
  list_for_each (node, after, &owner->queue)
    {
      struct batch *batch = list_entry (node, struct batch, link);

      if (batch->n_suspects > 0 && !has_others_in_time (owner, batch->service))
        add_suspects (owner, batch, &choice, now_us);
    }
  if (choice.task == NULL)
    return;
  owner_start_task (owner, choice.task, choice.upstream, now_us);
  owner_relink_batch (owner, choice.task->batch);
}
