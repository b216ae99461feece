/*
 * Log-linear histograms of times.
 *
 * Each power of two is split into HISTOGRAM_STEPS buckets of equal width, so
 * a quantile is off by at most one part in HISTOGRAM_STEPS.  A histogram is a
 * plain struct that starts as zeros and needs no allocation.
 */
#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <glib.h>

/* Buckets within one power of two.  */
#define HISTOGRAM_STEP_BITS 5
#define HISTOGRAM_STEPS (1 << HISTOGRAM_STEP_BITS)

/* Values from 2 to the power of this on share the last bucket.  */
#define HISTOGRAM_MAX_BITS 36

#define HISTOGRAM_BUCKETS                                                     \
  ((HISTOGRAM_MAX_BITS - HISTOGRAM_STEP_BITS + 1) * HISTOGRAM_STEPS)

struct histogram
{
  guint64 count;
  guint64 sum;
  guint64 buckets[HISTOGRAM_BUCKETS];
};

/* Records VALUE; a negative one counts as 0.  */
void histogram_record (struct histogram *histogram, gint64 value);

/* The number of values that are at most LIMIT, up to the bucket's width.  */
guint64 histogram_count_up_to (const struct histogram *histogram,
                               gint64 limit);

/* The largest value of the bucket that holds the quantile Q, from 0 to 1, or
   0 when nothing was recorded.  */
gint64 histogram_quantile (const struct histogram *histogram, gdouble q);

#endif
