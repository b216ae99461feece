#include "coordination/vm_room.h"

#include "base/hash64.h"

#define MS_PER_S 1000

/* At least one in this many starts is left to tasks of any priority: more
   urgent ones that are late go behind them.  */
#define MIN_SHARE_DIVISOR 4

void
vm_room_init (struct vm_room *room, const char *service,
              const struct owner_room *own)
{
  room->service_hash = hash64_string (service);
  room->n_slots = own->n_slots;
  room->free_slots = own->free_slots;
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    room->n_queued[i] = own->n_queued[i];
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    room->starts_per_s[i] = (guint)(own->starts_per_s[i] + 0.5);
  room->ends_per_s = (guint)(own->ends_per_s + 0.5);
}

guint
vm_room_count_ahead (const struct vm_room *room, guint priority)
{
  guint n = 0;

  for (guint i = 0; i <= owner_room_priority (priority); i++)
    n += room->n_queued[i];
  return n;
}

/* Starts per second that are left to tasks of PRIORITY by more urgent ones.
   While tasks are queued, one can start whenever a run ends.  */
static guint
count_starts_left (const struct vm_room *room, guint priority)
{
  guint n_all = 0;
  guint n_urgent = 0;

  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    {
      n_all += room->starts_per_s[i];
      n_urgent += i < priority ? room->starts_per_s[i] : 0;
    }
  n_all = MAX (n_all, room->ends_per_s);
  return MAX (n_all - n_urgent, n_all / MIN_SHARE_DIVISOR);
}

gint64
vm_room_estimate_wait_ms (const struct vm_room *room, guint n_ahead,
                          guint priority, guint run_ms)
{
  guint starts_per_s
      = count_starts_left (room, owner_room_priority (priority));

  if (starts_per_s > 0)
    return (gint64)n_ahead * MS_PER_S / starts_per_s;
  return (gint64)n_ahead * run_ms / MAX (room->n_slots, 1u);
}

void
vm_room_take (struct vm_room *room, const struct room_tasks *tasks)
{
  guint n_now
      = MIN (tasks->n, free_slots_count (&room->free_slots, tasks->cpus));

  free_slots_take (&room->free_slots, n_now);
  if (!tasks->is_late)
    room->n_queued[owner_room_priority (tasks->priority)] += tasks->n - n_now;
}
