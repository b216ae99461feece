#include "coordination/spread.h"

#include "base/hash64.h"

/* Tasks are offered to the best of a random sample of owners that is this many
   times as large as the number of offers: homes that know the same rooms
   choose differently.  */
#define SAMPLE_FACTOR 2

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

/* How long N_MORE of TASKS would wait at OWNER alone, in milliseconds.  */
static gint64
compute_wait_ms (const struct spread_owner *owner, guint n_more,
                 const struct spread_tasks *tasks)
{
  guint n_ahead = vm_room_count_ahead (&owner->room, tasks->priority)
                  + owner->n_given + n_more;

  return vm_room_estimate_wait_ms (&owner->room, n_ahead, tasks->priority,
                                   tasks->run_ms);
}

/* Whether A is better for an offer of TASKS than B, which may be NULL: its
   wait is shorter or, with equal waits, it is nearer.  */
static gboolean
is_better (const struct spread_owner *a, const struct spread_owner *b,
           const struct spread_tasks *tasks)
{
  gint64 difference_ms;

  if (b == NULL)
    return TRUE;
  difference_ms = compute_wait_ms (a, tasks->n, tasks)
                  - compute_wait_ms (b, tasks->n, tasks);
  return difference_ms < 0
         || (difference_ms == 0 && get_distance (a) < get_distance (b));
}

/* Moves a random sample of OWNERS to their front.  Returns its size.  */
static guint
sample_owners (struct spread_owner *owners, guint n_owners, guint n_sampled,
               guint64 *seed)
{
  guint n = MIN (n_owners, n_sampled);

  for (guint i = 0; i < n; i++)
    {
      guint other = i + (guint)(next_random (seed) % (n_owners - i));
      struct spread_owner owner = owners[i];

      owners[i] = owners[other];
      owners[other] = owner;
    }
  return n;
}

/* Marks the best owner of OWNERS that is not marked yet.  Returns it, or NULL
   when no other one has a slot.  */
static const struct spread_owner *
mark_best (struct spread_owner *owners, guint n_owners,
           const struct spread_tasks *tasks)
{
  struct spread_owner *best = NULL;

  for (guint i = 0; i < n_owners; i++)
    if (!owners[i].is_offered && owners[i].room.n_slots > 0
        && is_better (&owners[i], best, tasks))
      best = &owners[i];
  if (best != NULL)
    best->is_offered = TRUE;
  return best;
}

/* Adds the slots, starts and queue of OWNER to POOL.  Of the queue, the tasks
   that go before PRIORITY count, all as the most urgent.  */
static void
add_to_pool (struct vm_room *pool, const struct spread_owner *owner,
             guint priority)
{
  pool->n_slots += owner->room.n_slots;
  pool->n_queued[0]
      += vm_room_count_ahead (&owner->room, priority) + owner->n_given;
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    pool->starts_per_s[i] += owner->room.starts_per_s[i];
  pool->ends_per_s += owner->room.ends_per_s;
}

/* Offers N_LEFT of TASKS to some of OWNERS.  */
static struct spread_offer
offer_tasks (struct spread_owner *owners, guint n_owners, guint n_left,
             const struct spread_tasks *tasks, guint64 *seed)
{
  struct spread_offer offer = { .n_tasks = n_left };
  struct vm_room pool = { 0 };
  guint n = sample_owners (owners, n_owners, SAMPLE_FACTOR * tasks->max_offers,
                           seed);

  while (offer.n_offers < tasks->max_offers)
    {
      const struct spread_owner *owner = mark_best (owners, n, tasks);

      if (owner == NULL)
        break;
      add_to_pool (&pool, owner, tasks->priority);
      offer.n_offers++;
    }
  offer.wait_ms = vm_room_estimate_wait_ms (&pool, pool.n_queued[0] + n_left,
                                            tasks->priority, tasks->run_ms);
  if (offer.n_offers == 0)
    offer.wait_ms = -1;
  return offer;
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

/* Gives TASKS to free slots.  Returns how many are left.  */
static guint
fill_free_slots (struct spread_owner *owners, guint n_owners,
                 const struct spread_tasks *tasks, guint64 *seed)
{
  guint n_left = tasks->n;

  while (n_left > 0)
    {
      struct spread_owner *owner = find_free_owner (owners, n_owners, seed);
      guint n;

      if (owner == NULL)
        break;
      n = count_to_give (owner, n_left);
      owner->n_given += n;
      n_left -= n;
    }
  return n_left;
}

static void
clear_results (struct spread_owner *owners, guint n_owners)
{
  for (guint i = 0; i < n_owners; i++)
    {
      owners[i].n_given = 0;
      owners[i].is_offered = FALSE;
    }
}

struct spread_offer
spread_assign (struct spread_owner *owners, guint n_owners,
               const struct spread_tasks *tasks, guint64 seed)
{
  struct spread_offer none = { 0 };
  struct spread_tasks late = *tasks;
  guint n_left = tasks->n;

  clear_results (owners, n_owners);
  if (!tasks->is_offer_only)
    n_left = fill_free_slots (owners, n_owners, tasks, &seed);
  if (n_left == 0)
    return none;
  if (!tasks->is_late)
    return offer_tasks (owners, n_owners, n_left, tasks, &seed);
  /* All that are in time go before them.  */
  late.priority = ROOM_PRIORITIES;
  clear_results (owners, n_owners);
  return offer_tasks (owners, n_owners, tasks->n, &late, &seed);
}
