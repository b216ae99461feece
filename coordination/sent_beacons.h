/*
 * When this VM sent its latest beacons.  Does no I/O.
 *
 * A message that names a beacon of this VM which its sender had heard was sent
 * after that beacon.  This bounds the age of the message by the clock of this
 * VM alone.
 */
#ifndef COORDINATION_SENT_BEACONS_H
#define COORDINATION_SENT_BEACONS_H

#include <glib.h>

/* Beacons that are kept: those of 3 s at the shortest interval.  */
#define SENT_BEACONS_MAX 64

struct sent_beacons
{
  guint32 sequences[SENT_BEACONS_MAX];
  gint64 sent_us[SENT_BEACONS_MAX];
};

/* The beacon SEQUENCE, not 0, is sent at NOW_US.  */
void sent_beacons_add (struct sent_beacons *sent, guint32 sequence,
                       gint64 now_us);

/* When the beacon SEQUENCE was sent; 0 if that is no longer known or it was
   not.  */
gint64 sent_beacons_get_us (const struct sent_beacons *sent, guint32 sequence);

#endif
