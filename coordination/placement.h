/*
 * Placement policies: which upstream a task runs on.
 *
 * A policy with early binding chooses the upstream when the task is queued,
 * and the task then waits for a slot of that upstream.  A policy with late
 * binding chooses it when the task starts, among the upstreams with a free
 * slot.  All policies use only what this VM knows itself.
 */
#ifndef COORDINATION_PLACEMENT_H
#define COORDINATION_PLACEMENT_H

#include "coordination/pool.h"

#define PLACEMENT_DEFAULT "late-binding"

struct placement_ops
{
  const char *name; /* in documents */
  gboolean binds_early;

  /* Chooses an upstream of POOL for a task that needs NEED.  KINDS is the bit
     set of the shape kinds that NEED fits.  Returns NULL when no upstream is
     suitable; for late binding, when none is suitable now.  */
  struct upstream *(*choose) (struct pool *pool, guint64 kinds,
                              const struct shape *need, GRand *random);
};

/* The policy called NAME, or NULL.  Statically allocated.  */
const struct placement_ops *placement_find (const char *name);

/* All policies, terminated by NULL, the default first.  Statically
   allocated.  */
const struct placement_ops *const *placement_list (void);

/* The level of UPSTREAM in its pool's index, from 0 to POOL_N_LEVELS - 1.
   Late binding prefers the lowest.  */
guint placement_compute_level (const struct upstream *upstream);

/* The policies.  The last three bind early.  */
extern const struct placement_ops placement_late_binding;
extern const struct placement_ops placement_random;
extern const struct placement_ops placement_two_choices;
extern const struct placement_ops placement_least_outstanding;

#endif
