#include "coordination/sent_beacons.h"

void
sent_beacons_add (struct sent_beacons *sent, guint32 sequence, gint64 now_us)
{
  guint i = sequence % SENT_BEACONS_MAX;

  sent->sequences[i] = sequence;
  sent->sent_us[i] = now_us;
}

gint64
sent_beacons_get_us (const struct sent_beacons *sent, guint32 sequence)
{
  guint i = sequence % SENT_BEACONS_MAX;

  if (sequence == 0 || sent->sequences[i] != sequence)
    return 0;
  return sent->sent_us[i];
}
