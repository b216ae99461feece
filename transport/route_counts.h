/*
 * Counts of the jobs of each route at this home: refused, by cause, and late.
 * The number of routes that are counted apart is limited; jobs of further ones
 * count under the name "other".
 */
#ifndef TRANSPORT_ROUTE_COUNTS_H
#define TRANSPORT_ROUTE_COUNTS_H

#include "base/metrics.h"

#include <jansson.h>

#define ROUTE_COUNTS_MAX 64

struct route_count
{
  char *name;
  guint64 n_refused[REFUSAL_COUNT];
  guint64 n_late;    /* done, but not within the objective */
  guint64 n_waiting; /* jobs of which a task waits for a slot; refreshed before
                        the counts are read */
};

struct route_counts;

struct route_counts *route_counts_new (void);
void route_counts_free (struct route_counts *counts);

/* The counts of the route NAME.  Owned by COUNTS.  */
struct route_count *route_counts_get (struct route_counts *counts,
                                      const char *name);

/* Sets the numbers of waiting jobs to 0.  */
void route_counts_reset_waiting (struct route_counts *counts);

/* All counts as a new JSON array, which the caller owns.  */
json_t *route_counts_describe (const struct route_counts *counts);

/* Appends all counts to TEXT as metrics, in the text exposition format.  */
void route_counts_format (const struct route_counts *counts, GString *text);

#endif
