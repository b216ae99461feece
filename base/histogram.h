/*
 * Log-linear histograms of times.
 *
 * Each power of two is split into HISTOGRAM_STEPS buckets of equal width, so
 * the relative error of a quantile is at most 1 / HISTOGRAM_STEPS.  A
 * histogram is a plain struct that starts as zeros and needs no allocation.
 */
#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <glib.h>

/* Buckets within one power of two.  */
#define HISTOGRAM_STEP_BITS 5
#define HISTOGRAM_STEPS (1 << HISTOGRAM_STEP_BITS)

/* Values of 2 to the power of this or more are counted in the last bucket.  */
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

/* The number of values that are at most LIMIT, other values in the bucket of
   LIMIT included.  */
guint64 histogram_count_up_to (const struct histogram *histogram,
                               gint64 limit);

/* The quantile Q, from 0 to 1, rounded up to the limit of its bucket, or 0
   when nothing was recorded.  */
gint64 histogram_quantile (const struct histogram *histogram, gdouble q);

#endif
