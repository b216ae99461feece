#include "coordination/estimate.h"

#include "base/clock.h"

/* Taken for a service of which nothing is known.  */
#define UNKNOWN_US (200 * USEC_PER_MSEC)

/* A class with fewer samples is blended with the service's mean.  */
#define MIN_SAMPLES 8

/* The length of the moving average, in samples.  */
#define MAX_SAMPLES 256

static guint
classify (gint64 declared_us)
{
  guint bits = 0;

  if (declared_us <= 0)
    return 0;
  while (declared_us > 0 && bits < ESTIMATE_N_CLASSES - 1)
    {
      declared_us >>= 1;
      bits++;
    }
  return bits;
}

gint64
estimate_get (const struct estimate_table *table, gint64 declared_us)
{
  const struct estimate_class *class = &table->classes[classify (declared_us)];
  gdouble fallback_us = table->all.mean_us;
  gdouble mean_us;

  if (table->all.n_seen == 0)
    fallback_us = declared_us > 0 ? (gdouble)declared_us : UNKNOWN_US;
  if (class->n_seen >= MIN_SAMPLES)
    mean_us = class->mean_us;
  else
    mean_us = (class->mean_us * class->n_seen
               + fallback_us * (MIN_SAMPLES - class->n_seen))
              / MIN_SAMPLES;
  return MAX ((gint64)mean_us, 1);
}

static void
learn (struct estimate_class *class, gint64 actual_us)
{
  if (class->n_seen < MAX_SAMPLES)
    class->n_seen++;
  class->mean_us += ((gdouble)actual_us - class->mean_us) / class->n_seen;
}

void
estimate_learn (struct estimate_table *table, gint64 declared_us,
                gint64 actual_us)
{
  learn (&table->classes[classify (declared_us)], actual_us);
  learn (&table->all, actual_us);
}
