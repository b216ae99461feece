/*
 * How many tasks of a given size would start at once on a set of upstreams.
 *
 * Upstreams hold few tasks each, so the free CPUs alone don't tell how many
 * tasks fit.  The tasks that fit are counted for some sizes around a typical
 * one, the unit; counts for other sizes are interpolated.  Does no I/O.
 */
#ifndef COORDINATION_FREE_SLOTS_H
#define COORDINATION_FREE_SLOTS_H

#include <glib.h>

/* Number of sizes that are counted.  */
#define FREE_SLOTS_SIZES 8

/* Counts are limited to this, so that each fits into a byte of a beacon.  */
#define FREE_SLOTS_MAX 255

struct free_slots
{
  gdouble unit_cpus;              /* more than 0 */
  guint counts[FREE_SLOTS_SIZES]; /* tasks that fit, by size, ascending */
};

/* Initializes SLOTS without any free CPUs.  */
void free_slots_init (struct free_slots *slots, gdouble unit_cpus);

/* Adds an upstream with FREE_CPUS.  */
void free_slots_add_upstream (struct free_slots *slots, gdouble free_cpus);

/* Adds an upstream with CPUS, more than 0, that takes just one task.  Counts
   it for the smallest size in any case, since smaller tasks may fit.  */
void free_slots_add_single (struct free_slots *slots, gdouble cpus);

/* The number of tasks of CPUS each that fit.  */
guint free_slots_count (const struct free_slots *slots, gdouble cpus);

/* Takes away the room of N_TASKS.  */
void free_slots_take (struct free_slots *slots, guint n_tasks);

/* A task of CPUS did not fit: leaves no room for tasks of that size.  */
void free_slots_mark_full (struct free_slots *slots, gdouble cpus);

#endif
