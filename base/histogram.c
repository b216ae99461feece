#include "base/histogram.h"

#include <math.h>

static guint
get_bucket (guint64 value)
{
  guint bits = value > 0 ? g_bit_storage (value) : 0;
  guint shift;

  if (value >= G_GUINT64_CONSTANT (1) << HISTOGRAM_MAX_BITS)
    return HISTOGRAM_BUCKETS - 1;
  if (bits <= HISTOGRAM_STEP_BITS)
    return (guint)value;
  shift = bits - HISTOGRAM_STEP_BITS - 1;
  return (shift << HISTOGRAM_STEP_BITS) + (guint)(value >> shift);
}

/* The largest value that falls into BUCKET.  */
static guint64
get_bucket_limit (guint bucket)
{
  guint shift;
  guint64 step;

  if (bucket < 2 * HISTOGRAM_STEPS)
    return bucket;
  shift = (bucket >> HISTOGRAM_STEP_BITS) - 1;
  step = bucket - (shift << HISTOGRAM_STEP_BITS);
  return ((step + 1) << shift) - 1;
}

void
histogram_record (struct histogram *histogram, gint64 value)
{
  guint64 n = value > 0 ? (guint64)value : 0;

  histogram->count++;
  histogram->sum += n;
  histogram->buckets[get_bucket (n)]++;
}

guint64
histogram_count_up_to (const struct histogram *histogram, gint64 limit)
{
  guint last = get_bucket (limit > 0 ? (guint64)limit : 0);
  guint64 count = 0;

  for (guint i = 0; i <= last; i++)
    count += histogram->buckets[i];
  return count;
}

gint64
histogram_quantile (const struct histogram *histogram, gdouble q)
{
  guint64 rank = (guint64)ceil (q * (gdouble)histogram->count);
  guint64 seen = 0;

  if (histogram->count == 0)
    return 0;
  rank = CLAMP (rank, 1, histogram->count);
  for (guint i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen >= rank)
        return (gint64)get_bucket_limit (i);
    }
  return (gint64)get_bucket_limit (HISTOGRAM_BUCKETS - 1);
}
