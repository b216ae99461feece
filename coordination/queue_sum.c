#include "coordination/queue_sum.h"

#define MS_PER_S 1000
#define MILLI 1000

void
queue_sum_add (struct queue_sum *sum, const struct vm_room *room)
{
  guint n_queued = vm_room_count_ahead (room, ROOM_PRIORITIES);
  guint n_free
      = free_slots_count (&room->free_slots, room->free_slots.unit_cpus);
  guint starts_per_s = 0;

  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    starts_per_s += room->starts_per_s[i];
  sum->n_waiting += n_queued - MIN (n_queued, n_free);
  /* While tasks are queued, one can start whenever a run ends.  */
  sum->starts_per_s += MAX (starts_per_s, room->ends_per_s);
  sum->capacity_milli += room->n_slots * room->free_slots.unit_cpus * MILLI;
}

gint64
queue_sum_get_drain_ms (const struct queue_sum *sum)
{
  return (gint64)((gdouble)sum->n_waiting * MS_PER_S
                  / MAX (sum->starts_per_s, 1));
}

gboolean
queue_sum_has_queue (const struct queue_sum *sum)
{
  return queue_sum_get_drain_ms (sum) > QUEUE_SUM_MIN_MS;
}
