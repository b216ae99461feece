/*
 * A world around two owners for randomised tests: upstreams with clocks,
 * leases and fencing tokens of their own, a net that loses, delays and
 * reorders, and a model of what has run where.
 *
 * Driven by steps as a decision world is; see decision_world.h.
 */
#ifndef T_SUPPORT_FLEET_WORLD_H
#define T_SUPPORT_FLEET_WORLD_H

#include <glib.h>

struct fleet_world;

/* A world that draws its shapes from SEED.  */
struct fleet_world *fleet_world_new (guint32 seed,
                                     gboolean placement_by_speed);

/* Makes capacities shrink and grow.  */
void fleet_world_allow_shrinks (struct fleet_world *world);

void fleet_world_free (struct fleet_world *world);

/* Makes the world tell what happens.  */
void fleet_world_trace (struct fleet_world *world);

/* Performs the step of CODE.  Returns NULL, or what no longer holds.  */
const char *fleet_world_step (struct fleet_world *world, guint32 code);

/* Ends all faults and lets everything end; returns as fleet_world_step.  */
const char *fleet_world_settle (struct fleet_world *world);

/* What has happened, to see that a test reaches what it is for.  */
struct fleet_counts
{
  guint n_batches;
  guint n_finished;
  guint n_ends[5];     /* by enum batch_end */
  guint n_begun;       /* runs */
  guint n_run_ends[5]; /* by enum run_end */
  guint n_late;        /* starts carried out after their sender gave up */
  guint n_fenced;
  guint n_crashes;
  guint n_returned;
  guint n_exceeded; /* capacities that have shrunk below what runs there */
};

void fleet_world_count (const struct fleet_world *world,
                        struct fleet_counts *counts);

#endif
