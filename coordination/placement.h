/*
 * Placement policies: which upstream gets a task.
 *
 * A policy that binds early chooses when the task is queued; the task then
 * waits for that upstream.  One that binds late chooses when a slot is free
 * and a task may start.  Every policy works on this VM's own knowledge only.
 */
#ifndef COORDINATION_PLACEMENT_H
#define COORDINATION_PLACEMENT_H

#include "coordination/pool.h"

#define PLACEMENT_DEFAULT "late-binding"

struct placement_ops
{
  const char *name;
  gboolean binds_early;

  /* An upstream of POOL, of one of KINDS, for a task of shape NEED; or NULL
     when none suits, now for a policy that binds late.  */
  struct upstream *(*choose) (struct pool *pool, guint64 kinds,
                              const struct shape *need, GRand *random);
};

/* The policy of that name, or NULL.  Static.  */
const struct placement_ops *placement_find (const char *name);

/* All policies, ended by NULL, the default first.  Static.  */
const struct placement_ops *const *placement_list (void);

/* The level of UPSTREAM in its pool's index: below POOL_N_LEVELS, the lowest
   is taken first.  */
guint placement_compute_level (const struct upstream *upstream);

/* The policies, one per file.  */
extern const struct placement_ops placement_late_binding;
extern const struct placement_ops placement_random;
extern const struct placement_ops placement_two_choices;
extern const struct placement_ops placement_least_outstanding;

#endif
