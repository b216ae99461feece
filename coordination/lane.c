#include "coordination/lane.h"

struct lane *
lane_new (guint64 kinds, struct upstream *upstream,
          const struct order_ops *order)
{
  struct lane *lane = g_new0 (struct lane, 1);

  lane->kinds = kinds;
  lane->upstream = upstream;
  lane->order = order;
  lane->heap = g_ptr_array_new ();
  return lane;
}

void
lane_free (struct lane *lane)
{
  g_assert (lane->n_tasks == 0);
  g_ptr_array_unref (lane->heap);
  g_free (lane);
}

gboolean
lane_entry_precedes (const struct lane_entry *a, const struct lane_entry *b)
{
  if (a->key != b->key)
    return a->key < b->key;
  return a->job->sequence < b->job->sequence;
}

static struct lane_entry *
entry_at (const struct lane *lane, guint position)
{
  return g_ptr_array_index (lane->heap, position);
}

static void
place_entry (struct lane *lane, struct lane_entry *entry, guint position)
{
  g_ptr_array_index (lane->heap, position) = entry;
  entry->position = position;
}

static void
sift_up (struct lane *lane, struct lane_entry *entry)
{
  guint position = entry->position;

  while (position > 0)
    {
      struct lane_entry *parent = entry_at (lane, (position - 1) / 2);

      if (!lane_entry_precedes (entry, parent))
        break;
      place_entry (lane, parent, position);
      position = (position - 1) / 2;
    }
  place_entry (lane, entry, position);
}

static void
sift_down (struct lane *lane, struct lane_entry *entry)
{
  guint position = entry->position;
  guint n = lane->heap->len;

  for (;;)
    {
      guint child = 2 * position + 1;

      if (child >= n)
        break;
      if (child + 1 < n
          && lane_entry_precedes (entry_at (lane, child + 1),
                                  entry_at (lane, child)))
        child++;
      if (!lane_entry_precedes (entry_at (lane, child), entry))
        break;
      place_entry (lane, entry_at (lane, child), position);
      position = child;
    }
  place_entry (lane, entry, position);
}

static void
update_entry (struct lane_entry *entry)
{
  entry->key = entry->lane->order->compute_key (entry->job);
  sift_up (entry->lane, entry);
  sift_down (entry->lane, entry);
}

void
lane_update_job (struct job *job)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &job->lane_entries)
    update_entry (list_entry (node, struct lane_entry, job_link));
}

static struct lane_entry *
find_entry (struct lane *lane, struct job *job)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &job->lane_entries)
    {
      struct lane_entry *entry
          = list_entry (node, struct lane_entry, job_link);

      if (entry->lane == lane)
        return entry;
    }
  return NULL;
}

static struct lane_entry *
add_entry (struct lane *lane, struct job *job)
{
  struct lane_entry *entry = g_new0 (struct lane_entry, 1);

  entry->lane = lane;
  entry->job = job;
  entry->key = lane->order->compute_key (job);
  list_init (&entry->tasks);
  list_append (&job->lane_entries, &entry->job_link);
  g_ptr_array_add (lane->heap, entry);
  entry->position = lane->heap->len - 1;
  sift_up (lane, entry);
  return entry;
}

static void
remove_entry (struct lane_entry *entry)
{
  struct lane *lane = entry->lane;
  guint position = entry->position;
  struct lane_entry *last = entry_at (lane, lane->heap->len - 1);

  g_ptr_array_set_size (lane->heap, (gint)lane->heap->len - 1);
  if (last != entry)
    {
      place_entry (lane, last, position);
      sift_up (lane, last);
      sift_down (lane, last);
    }
  list_remove (&entry->job_link);
  g_free (entry);
}

void
lane_add (struct lane *lane, struct task *task, gboolean at_front)
{
  struct lane_entry *entry = find_entry (lane, task->job);

  if (entry == NULL)
    entry = add_entry (lane, task->job);
  if (at_front)
    list_insert_after (&entry->tasks, &task->queue_link);
  else
    list_append (&entry->tasks, &task->queue_link);
  task->queue_entry = entry;
  lane->n_tasks++;
}

void
lane_remove (struct task *task)
{
  struct lane_entry *entry = task->queue_entry;

  list_remove (&task->queue_link);
  task->queue_entry = NULL;
  entry->lane->n_tasks--;
  if (list_is_empty (&entry->tasks))
    remove_entry (entry);
}

struct lane_entry *
lane_peek (const struct lane *lane)
{
  return lane->heap->len > 0 ? entry_at (lane, 0) : NULL;
}

struct task *
lane_entry_peek (const struct lane_entry *entry)
{
  return list_entry (entry->tasks.next, struct task, queue_link);
}
