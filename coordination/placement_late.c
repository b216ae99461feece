/*
 * Placement with late binding: a task gets an upstream when it starts.
 *
 * Among the upstreams with free slots, the order of preference is:
 *
 * 1. Fast upstreams in the availability zone of this VM, fast ones in other
 *    zones, slow ones in the same zone, slow ones in other zones.  Within
 *    each of these groups, by speed class.
 * 2. The fewest running tasks of this VM, which spreads a job over machines
 *    and racks.
 *
 * A task that needs no accelerator gets an upstream with accelerators only
 * when no other is free.
 */
#include "coordination/placement.h"

#include "coordination/host.h"
#include "coordination/shape_check.h"

/* Levels of one speed class, in the same zone or in other zones.  Each number
   of running tasks has its level; the last level is for all higher numbers. */
#define LEVELS_PER_CLASS (POOL_N_LEVELS / HEALTH_N_SPEEDS / 2)

/* Speed classes that count as fast.  */
#define N_FAST_SPEEDS 2

/* Upstreams of one level that are tried when a task does not fit beside the
   tasks that run there.  */
#define LOOKAHEAD 8

/* Added to the level of upstreams with accelerators that a task does not
   need.  */
#define ACCELERATOR_PENALTY POOL_N_LEVELS

/* The rank of UPSTREAM by speed class and zone; the lowest is preferred.  */
static guint
rank_class (const struct upstream *upstream)
{
  guint speed = health_get_speed_class (upstream);
  guint base = speed < N_FAST_SPEEDS ? 0 : N_FAST_SPEEDS;

  return speed + base + (upstream->is_remote ? N_FAST_SPEEDS : 0);
}

guint
placement_compute_level (const struct upstream *upstream)
{
  guint base = rank_class (upstream) * LEVELS_PER_CLASS;

  return base + MIN (upstream->n_running, LEVELS_PER_CLASS - 1);
}

static struct upstream *
search_level (struct list_node *level, const struct shape *need)
{
  struct list_node *node;
  struct list_node *after;
  guint n = 0;

  list_for_each (node, after, level)
    {
      struct upstream *upstream
          = list_entry (node, struct upstream, level_link);

      if (shape_fits_beside (need, &upstream->host->used, &upstream->shape))
        return upstream;
      if (++n == LOOKAHEAD)
        break;
    }
  return NULL;
}

static struct upstream *
search_index (struct pool_index *index, const struct shape *need)
{
  guint64 levels = index->nonempty_levels;

  while (levels != 0)
    {
      guint level = (guint)__builtin_ctzll (levels);
      struct upstream *upstream = search_level (&index->levels[level], need);

      if (upstream != NULL)
        return upstream;
      levels &= levels - 1;
    }
  return NULL;
}

static guint
rank_upstream (const struct upstream *upstream, const struct shape *need)
{
  gboolean is_scarce
      = upstream->shape.accelerators > 0 && need->accelerators == 0;

  return upstream->level + (is_scarce ? ACCELERATOR_PENALTY : 0);
}

static struct upstream *
choose_late (struct pool *pool, guint64 kinds, const struct shape *need,
             GRand *random)
{
  struct upstream *best = NULL;

  while (kinds != 0)
    {
      guint kind = (guint)__builtin_ctzll (kinds);
      struct upstream *upstream
          = search_index (g_ptr_array_index (pool->indexes, kind), need);

      kinds &= kinds - 1;
      if (upstream == NULL)
        continue;
      if (best == NULL
          || rank_upstream (upstream, need) < rank_upstream (best, need))
        best = upstream;
    }
  return best;
}

const struct placement_ops placement_late_binding
    = { "late-binding", FALSE, choose_late };
