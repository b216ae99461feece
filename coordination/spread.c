#include "coordination/spread.h"

/* How near OWNER is; less is nearer.  */
static guint
get_distance (const struct spread_owner *owner)
{
  if (owner->is_self)
    return 0;
  return owner->is_local ? 1 : 2;
}

static guint
count_free (const struct spread_owner *owner)
{
  guint n_taken = owner->room.n_queued + owner->n_given;

  return owner->room.free_slots > n_taken ? owner->room.free_slots - n_taken
                                          : 0;
}

/* The nearest owner with a free slot, and of several the one with the most. */
static struct spread_owner *
find_free (struct spread_owner *owners, guint n_owners)
{
  struct spread_owner *best = NULL;

  for (guint i = 0; i < n_owners; i++)
    {
      struct spread_owner *owner = &owners[i];

      if (count_free (owner) == 0)
        continue;
      if (best == NULL || get_distance (owner) < get_distance (best)
          || (get_distance (owner) == get_distance (best)
              && count_free (owner) > count_free (best)))
        best = owner;
    }
  return best;
}

/* How long the last of N_MORE tasks would wait at OWNER, in milliseconds.  */
static gint64
compute_wait_ms (const struct spread_owner *owner, guint n_more, guint run_ms)
{
  gint64 queued_ms
      = owner->room.queued_ms + (gint64)(owner->n_given + n_more) * run_ms;

  return queued_ms / owner->room.n_slots;
}

/* The owner where the last of N_MORE tasks waits least, or NULL.  */
static struct spread_owner *
find_shortest (struct spread_owner *owners, guint n_owners, guint n_more,
               guint run_ms)
{
  struct spread_owner *best = NULL;
  gint64 best_ms = 0;

  for (guint i = 0; i < n_owners; i++)
    {
      struct spread_owner *owner = &owners[i];
      gint64 wait_ms;

      if (owner->room.n_slots == 0)
        continue;
      wait_ms = compute_wait_ms (owner, n_more, run_ms);
      if (best != NULL
          && (wait_ms > best_ms
              || (wait_ms == best_ms
                  && get_distance (owner) >= get_distance (best))))
        continue;
      best = owner;
      best_ms = wait_ms;
    }
  return best;
}

/* Queues all tasks at one owner.  */
static gint64
queue_tasks (struct spread_owner *owners, guint n_owners, guint n_tasks,
             guint run_ms)
{
  struct spread_owner *owner
      = find_shortest (owners, n_owners, n_tasks, run_ms);

  if (owner == NULL)
    return -1;
  owner->n_given = n_tasks;
  return compute_wait_ms (owner, 0, run_ms);
}

gint64
spread_tasks (struct spread_owner *owners, guint n_owners, guint n_tasks,
              guint run_ms)
{
  gint64 longest_ms = 0;
  guint n_left = n_tasks;

  for (guint i = 0; i < n_owners; i++)
    owners[i].n_given = 0;
  if (find_free (owners, n_owners) == NULL && n_tasks > 0)
    return queue_tasks (owners, n_owners, n_tasks, run_ms);
  while (n_left > 0)
    {
      struct spread_owner *owner = find_free (owners, n_owners);
      guint n = 1;

      if (owner != NULL)
        n = MIN (n_left, count_free (owner));
      else
        owner = find_shortest (owners, n_owners, 1, run_ms);
      if (owner == NULL)
        return -1;
      if (count_free (owner) == 0)
        longest_ms = MAX (longest_ms, compute_wait_ms (owner, 1, run_ms));
      owner->n_given += n;
      n_left -= n;
    }
  return longest_ms;
}
