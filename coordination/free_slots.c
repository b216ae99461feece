#include "coordination/free_slots.h"

#include <string.h>

/* The sizes that are counted, in units.  */
static const gdouble sizes[FREE_SLOTS_SIZES]
    = { 0.6, 0.75, 0.85, 0.95, 1.05, 1.2, 1.4, 1.8 };

/* Sums of CPUs may differ by this much through rounding.  */
#define CPU_EPSILON 0.0005

void
free_slots_init (struct free_slots *slots, gdouble unit_cpus)
{
  memset (slots, 0, sizeof *slots);
  slots->unit_cpus = unit_cpus;
}

static void
add (struct free_slots *slots, guint size, guint n)
{
  slots->counts[size] = MIN (slots->counts[size] + n, FREE_SLOTS_MAX);
}

void
free_slots_add_upstream (struct free_slots *slots, gdouble free_cpus)
{
  for (guint i = 0; i < FREE_SLOTS_SIZES && free_cpus > 0; i++)
    add (slots, i,
         (guint)((free_cpus + CPU_EPSILON) / (sizes[i] * slots->unit_cpus)));
}

void
free_slots_add_single (struct free_slots *slots, gdouble cpus)
{
  add (slots, 0, 1);
  for (guint i = 1; i < FREE_SLOTS_SIZES; i++)
    if (sizes[i] * slots->unit_cpus <= cpus + CPU_EPSILON)
      add (slots, i, 1);
}

/* The index of the smallest size that is not below CPUS, or FREE_SLOTS_SIZES
   if all are.  */
static guint
find_size (const struct free_slots *slots, gdouble cpus)
{
  guint i = 0;

  while (i < FREE_SLOTS_SIZES && sizes[i] * slots->unit_cpus < cpus)
    i++;
  return i;
}

guint
free_slots_count (const struct free_slots *slots, gdouble cpus)
{
  guint above = find_size (slots, cpus);
  gdouble units = cpus / slots->unit_cpus;
  gdouble share;

  if (above == 0)
    return slots->counts[0];
  if (above == FREE_SLOTS_SIZES)
    return (guint)(slots->counts[above - 1] * sizes[above - 1] / units);
  share = (units - sizes[above - 1]) / (sizes[above] - sizes[above - 1]);
  return (guint)(slots->counts[above - 1] * (1 - share)
                 + slots->counts[above] * share);
}

void
free_slots_take (struct free_slots *slots, guint n_tasks)
{
  for (guint i = 0; i < FREE_SLOTS_SIZES; i++)
    slots->counts[i] -= MIN (n_tasks, slots->counts[i]);
}

void
free_slots_mark_full (struct free_slots *slots, gdouble cpus)
{
  guint size = find_size (slots, cpus);

  /* The next smaller size counts in the interpolation.  */
  for (guint i = size > 0 ? size - 1 : 0; i < FREE_SLOTS_SIZES; i++)
    slots->counts[i] = 0;
}
