#include "coordination/estimate.h"

#include "base/clock.h"

/* The estimate while nothing is known: no declared run time and no sample.  */
#define DEFAULT_ESTIMATE_US (200 * USEC_PER_MSEC)

/* The estimate of a class with fewer samples is blended with the service's
   mean.  */
#define MIN_SAMPLES 8.0

/* The length of the moving average, in samples.  */
#define MAX_SAMPLES 256.0

/* The class of DECLARED_US: its number of significant bits.  */
static guint
get_class_index (gint64 declared_us)
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
  const struct estimate_class *class = &table->classes[get_class_index (
      declared_us)];
  gdouble n_missing = MAX (MIN_SAMPLES - class->n_complete, 0);
  gdouble fallback_us
      = declared_us > 0 ? (gdouble)declared_us : DEFAULT_ESTIMATE_US;

  if (table->all.n_complete >= 1)
    fallback_us = table->all.sum_us / table->all.n_complete;
  return MAX ((gint64)((class->sum_us + n_missing * fallback_us)
                       / (class->n_complete + n_missing)),
              1);
}

static void
add_sample (struct estimate_class *class, gint64 actual_us,
            gboolean is_complete)
{
  class->sum_us += (gdouble)actual_us;
  class->n_complete += is_complete ? 1 : 0;
  if (class->n_complete <= MAX_SAMPLES)
    return;
  class->sum_us *= MAX_SAMPLES / class->n_complete;
  class->n_complete = MAX_SAMPLES;
}

void
estimate_add_sample (struct estimate_table *table, gint64 declared_us,
                     gint64 actual_us, gboolean is_complete)
{
  add_sample (&table->classes[get_class_index (declared_us)], actual_us,
              is_complete);
  add_sample (&table->all, actual_us, is_complete);
}
