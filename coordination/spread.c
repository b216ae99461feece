#include "coordination/spread.h"

#include "base/hash64.h"

/* If no owner has a free slot and there are more than COMPARE_ALL_MAX of them,
   only N_COMPARED random ones are compared.  Otherwise all homes that know the
   same rooms would choose the same queue.  */
#define COMPARE_ALL_MAX 8
#define N_COMPARED 4

/* Returns the next pseudo-random number and stores it in *SEED.  */
static guint64
next_random (guint64 *seed)
{
  *seed = hash64_pair (*seed, *seed + 1);
  return *seed;
}

#define N_DISTANCES 3

/* The distance to OWNER: 0 for this VM, 1 for its zone, 2 for others.  */
static guint
get_distance (const struct spread_owner *owner)
{
  if (owner->is_self)
    return 0;
  return owner->is_local ? 1 : 2;
}

static guint
count_free_slots (const struct spread_owner *owner)
{
  guint n_taken
      = vm_room_count_ahead (&owner->room, ROOM_PRIORITIES) + owner->n_given;

  return owner->free_slots > n_taken ? owner->free_slots - n_taken : 0;
}

static gboolean
is_candidate (const struct spread_owner *owner, guint distance)
{
  return get_distance (owner) == distance && count_free_slots (owner) > 0;
}

/* A random owner at DISTANCE with free slots, with a probability in proportion
   to their number, or NULL.  */
static struct spread_owner *
draw_free_owner (struct spread_owner *owners, guint n_owners, guint distance,
                 guint64 *seed)
{
  guint64 n_free = 0;
  guint64 drawn;

  for (guint i = 0; i < n_owners; i++)
    if (is_candidate (&owners[i], distance))
      n_free += count_free_slots (&owners[i]);
  if (n_free == 0)
    return NULL;
  drawn = next_random (seed) % n_free;
  for (guint i = 0; i < n_owners; i++)
    {
      if (!is_candidate (&owners[i], distance))
        continue;
      if (drawn < count_free_slots (&owners[i]))
        return &owners[i];
      drawn -= count_free_slots (&owners[i]);
    }
  return NULL;
}

/* One of the nearest owners with a free slot, or NULL.  */
static struct spread_owner *
find_free_owner (struct spread_owner *owners, guint n_owners, guint64 *seed)
{
  struct spread_owner *found = NULL;

  for (guint distance = 0; distance < N_DISTANCES && found == NULL; distance++)
    found = draw_free_owner (owners, n_owners, distance, seed);
  return found;
}

/* How long the last of N_MORE of TASKS would wait at OWNER, in milliseconds:
   until as many tasks have been started there as go before it.  */
static gint64
compute_wait_ms (const struct spread_owner *owner, guint n_more,
                 const struct spread_tasks *tasks)
{
  guint n_ahead = vm_room_count_ahead (&owner->room, tasks->priority)
                  + owner->n_given + n_more;

  return vm_room_estimate_wait_ms (&owner->room, n_ahead, tasks->priority,
                                   tasks->run_ms);
}

/* The owner where the last of N_MORE tasks has the shortest wait, or NULL when
   no compared one has a slot.  With equal waits, the nearer one is taken.  */
static struct spread_owner *
find_shortest_queue (struct spread_owner *owners, guint n_owners, guint n_more,
                     const struct spread_tasks *tasks, guint64 *seed)
{
  guint n_compared = n_owners <= COMPARE_ALL_MAX ? n_owners : N_COMPARED;
  struct spread_owner *best = NULL;
  gint64 best_ms = 0;

  for (guint i = 0; i < n_compared; i++)
    {
      struct spread_owner *owner = &owners[i];
      gint64 wait_ms;

      if (n_compared < n_owners)
        owner = &owners[next_random (seed) % n_owners];
      if (owner->room.n_slots == 0)
        continue;
      wait_ms = compute_wait_ms (owner, n_more, tasks);
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

/* Queues N_TASKS at one owner.  Returns the expected wait of the last of them,
   in milliseconds, or -1 when no owner was found.  */
static gint64
queue_tasks (struct spread_owner *owners, guint n_owners, guint n_tasks,
             const struct spread_tasks *tasks, guint64 *seed)
{
  struct spread_owner *owner
      = find_shortest_queue (owners, n_owners, n_tasks, tasks, seed);

  if (owner == NULL)
    return -1;
  owner->n_given += n_tasks;
  owner->has_queued = TRUE;
  return compute_wait_ms (owner, 0, tasks);
}

/* How many of N_TASKS go to the free slots of OWNER.  Of another VM only half
   of the slots, rounded up, are used, since other homes may fill them at the
   same time.  */
static guint
count_to_give (const struct spread_owner *owner, guint n_tasks)
{
  guint n_free = count_free_slots (owner);

  return MIN (n_tasks, owner->is_self ? n_free : (n_free + 1) / 2);
}

gint64
spread_assign (struct spread_owner *owners, guint n_owners,
               const struct spread_tasks *tasks, guint64 seed)
{
  gint64 longest_ms = 0;
  guint n_left = tasks->n;

  for (guint i = 0; i < n_owners; i++)
    {
      owners[i].n_given = 0;
      owners[i].has_queued = FALSE;
    }
  while (n_left > 0)
    {
      struct spread_owner *owner = find_free_owner (owners, n_owners, &seed);
      guint n = 1;

      if (owner != NULL)
        {
          n = count_to_give (owner, n_left);
          owner->n_given += n;
        }
      else
        {
          gint64 wait_ms;

          /* No task of the job starts at once: one queue gets all of them.  */
          if (n_left == tasks->n)
            n = tasks->n;
          wait_ms = queue_tasks (owners, n_owners, n, tasks, &seed);
          if (wait_ms < 0)
            return -1;
          longest_ms = MAX (longest_ms, wait_ms);
        }
      n_left -= n;
    }
  return longest_ms;
}
