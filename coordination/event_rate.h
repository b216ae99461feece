/*
 * The rate of some kind of event, measured over the last half second.  Does no
 * I/O.
 */
#ifndef COORDINATION_EVENT_RATE_H
#define COORDINATION_EVENT_RATE_H

#include <glib.h>

#define EVENT_RATE_BUCKETS 6

/* Zeroed memory is a valid rate without events.  */
struct event_rate
{
  gint64 bucket; /* number of the latest bucket of time that was counted in */
  guint counts[EVENT_RATE_BUCKETS]; /* events by bucket number, as a ring */
};

/* Counts an event at NOW_US, a reading of clock_now_us ().  */
void event_rate_count (struct event_rate *rate, gint64 now_us);

/* Events per second over the last full buckets before NOW_US.  */
gdouble event_rate_get (const struct event_rate *rate, gint64 now_us);

#endif
