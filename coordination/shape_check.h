/*
 * Which upstreams of a pool a task fits on, by their shapes.
 *
 * The distinct shapes of a pool's upstreams are called its shape kinds,
 * numbered from 0.  A task has the bit set of the kinds that it fits.  There
 * are at most SHAPE_MAX_KINDS; the last kind then stands for all further
 * shapes, with the minimum of each resource.
 */
#ifndef COORDINATION_SHAPE_CHECK_H
#define COORDINATION_SHAPE_CHECK_H

#include "state/job.h"

#define SHAPE_MAX_KINDS 64

/* The number of SHAPE's kind in KINDS, an array of struct shape.  Adds it when
   it is new.  */
guint shape_kinds_add (GArray *kinds, const struct shape *shape);

/* The bit set of the kinds that NEED fits.  */
guint64 shape_kinds_match (const GArray *kinds, const struct shape *need);

/*
 * Whether each task of JOB fits some kind.  If not, sets ERROR_NEVER_RUNS,
 * with the first task that fits none and the shape nearest to its need.
 */
gboolean shape_check_job (const GArray *kinds, const struct job *job,
                          GError **error);

/* Whether NEED fits into what USED leaves of HAVE.  */
gboolean shape_fits_beside (const struct shape *need, const struct shape *used,
                            const struct shape *have);

void shape_add (struct shape *sum, const struct shape *shape);
void shape_subtract (struct shape *sum, const struct shape *shape);

#endif
