#include "coordination/owner_private.h"

void
owner_release_holds (struct batch *batch)
{
  while (!list_is_empty (&batch->holds))
    slot_hold_free (
        list_entry (batch->holds.next, struct slot_hold, batch_link));
}

/* The first task of BATCH that is not granted; there is one.  */
static const struct batch_task *
get_first_offered (const struct batch *batch)
{
  const struct batch_task *task = batch->tasks;

  while (task->state != BATCH_TASK_OFFERED)
    task++;
  return task;
}

void
owner_claim_slots (struct owner *owner, struct batch *batch, gint64 now_us)
{
  const struct batch_task *task;
  guint n = 0;

  if (batch->n_offered == 0 || batch->is_claiming)
    return;
  task = get_first_offered (batch);
  while (n < batch->n_offered)
    {
      struct owned_upstream *upstream = owner_find_slot (owner, task, now_us);

      if (upstream == NULL)
        break;
      slot_hold_new (upstream, batch);
      n++;
    }
  if (n == 0)
    return;
  batch->is_claiming = TRUE;
  owner->driver->ops->claim_tasks (owner->driver, batch, n);
}

static struct batch_task *
find_offered (struct batch *batch, guint index)
{
  for (guint i = 0; i < batch->n_tasks; i++)
    if (batch->tasks[i].index == index
        && batch->tasks[i].state == BATCH_TASK_OFFERED)
      return &batch->tasks[i];
  return NULL;
}

static void
take_granted (struct batch *batch, const guint *granted, guint n_granted)
{
  for (guint i = 0; i < n_granted; i++)
    {
      struct batch_task *task = find_offered (batch, granted[i]);

      if (task == NULL)
        continue;
      batch->n_offered--;
      batch_task_queue (task);
    }
}

/* The other owners have got the tasks of BATCH that are not granted here.  */
static void
forget_offered (struct batch *batch)
{
  for (guint i = 0; i < batch->n_tasks; i++)
    if (batch->tasks[i].state == BATCH_TASK_OFFERED)
      {
        batch->tasks[i].state = BATCH_TASK_RETURNED;
        batch->n_returned++;
      }
  batch->n_offered = 0;
}

void
owner_claim_ended (struct owner *owner, struct batch *batch,
                   const guint *granted, guint n_granted,
                   gboolean is_exhausted, gint64 now_us)
{
  if (batch->is_ending)
    return;
  owner_detect_pause (owner, now_us);
  batch->is_claiming = FALSE;
  owner_release_holds (batch);
  take_granted (batch, granted, n_granted);
  if (is_exhausted)
    forget_offered (batch);
  owner_start_batch (owner, batch, now_us);
  if (!owner_finish_batch_if_done (owner, batch))
    owner_relink_batch (owner, batch);
  owner_start_queued (owner, now_us);
  owner_advance (owner, now_us);
}

void
owner_claim_failed (struct owner *owner, struct batch *batch, gint64 now_us)
{
  if (batch->is_ending)
    return;
  batch->is_claiming = FALSE;
  owner_release_holds (batch);
  owner_return_tasks (owner, batch, 0, TRUE);
  owner_start_queued (owner, now_us);
  owner_advance (owner, now_us);
}
