#include "coordination/event_rate.h"

#include "base/clock.h"

#define BUCKET_US (100 * USEC_PER_MSEC)

/* Sets the counts of the buckets between the latest one and BUCKET to 0.  */
static void
advance_to (struct event_rate *rate, gint64 bucket)
{
  gint64 first = MAX (rate->bucket + 1, bucket - EVENT_RATE_BUCKETS + 1);

  for (gint64 i = first; i <= bucket; i++)
    rate->counts[i % EVENT_RATE_BUCKETS] = 0;
  rate->bucket = MAX (rate->bucket, bucket);
}

void
event_rate_count (struct event_rate *rate, gint64 now_us)
{
  gint64 bucket = now_us / BUCKET_US;

  advance_to (rate, bucket);
  rate->counts[bucket % EVENT_RATE_BUCKETS]++;
}

gdouble
event_rate_get (const struct event_rate *rate, gint64 now_us)
{
  gint64 bucket = now_us / BUCKET_US;
  gint64 first = MAX (bucket - EVENT_RATE_BUCKETS + 1,
                      rate->bucket - EVENT_RATE_BUCKETS + 1);
  guint n = 0;

  for (gint64 i = first; i <= rate->bucket && i < bucket; i++)
    n += rate->counts[i % EVENT_RATE_BUCKETS];
  return (gdouble)n * USEC_PER_SEC / ((EVENT_RATE_BUCKETS - 1) * BUCKET_US);
}
