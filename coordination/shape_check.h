/*
 * Shapes: which upstreams of a pool a task fits on.
 *
 * The distinct shapes of a pool's upstreams are its kinds, at most
 * SHAPE_MAX_KINDS; a task is described by the bit set of kinds that it fits.
 * A pool with more shapes has the surplus merged into one kind that promises
 * no more than any of them has.
 */
#ifndef COORDINATION_SHAPE_CHECK_H
#define COORDINATION_SHAPE_CHECK_H

#include "state/job.h"

#define SHAPE_MAX_KINDS 64

/* The kind of SHAPE in KINDS, an array of struct shape; added when new.  */
guint shape_kinds_add (GArray *kinds, const struct shape *shape);

/* The kinds that NEED fits, as a bit set.  */
guint64 shape_kinds_match (const GArray *kinds, const struct shape *need);

/*
 * Whether each task of JOB fits some kind.  Otherwise ERROR_NEVER_RUNS names
 * the task and the nearest shape that there is.
 */
gboolean shape_check_job (const GArray *kinds, const struct job *job,
                          GError **error);

/* Whether NEED fits beside USED into HAVE.  */
gboolean shape_fits_beside (const struct shape *need, const struct shape *used,
                            const struct shape *have);

void shape_add (struct shape *sum, const struct shape *shape);
void shape_subtract (struct shape *sum, const struct shape *shape);

#endif
