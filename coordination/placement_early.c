/*
 * Placement with early binding: random, power of two choices, and least
 * outstanding tasks.  They compare upstreams only by the number of tasks that
 * this VM runs there or has queued for them.
 */
#include "coordination/placement.h"

/* Random draws before the search for an eligible upstream ends.  */
#define MAX_DRAWS 32

static gboolean
is_eligible (const struct upstream *upstream, guint64 kinds)
{
  return !upstream->is_leaving && upstream->health->state != HEALTH_PROBATION
         && (kinds >> upstream->shape_kind & 1) != 0;
}

/* Tasks of this VM that run on UPSTREAM or are bound to it.  */
static guint
count_outstanding (const struct upstream *upstream)
{
  guint n_queued = upstream->lane != NULL ? upstream->lane->n_tasks : 0;

  return upstream->n_running + n_queued;
}

static struct upstream *
choose_random (struct pool *pool, guint64 kinds, const struct shape *need,
               GRand *random)
{
  gint n = (gint)pool->upstreams->len;

  for (guint i = 0; n > 0 && i < MAX_DRAWS; i++)
    {
      struct upstream *upstream = g_ptr_array_index (
          pool->upstreams, g_rand_int_range (random, 0, n));

      if (is_eligible (upstream, kinds))
        return upstream;
    }
  return NULL;
}

static struct upstream *
choose_less_loaded_of_two (struct pool *pool, guint64 kinds,
                           const struct shape *need, GRand *random)
{
  struct upstream *first = choose_random (pool, kinds, need, random);
  struct upstream *second = choose_random (pool, kinds, need, random);

  if (first == NULL || second == NULL)
    return first != NULL ? first : second;
  return count_outstanding (second) < count_outstanding (first) ? second
                                                                : first;
}

static struct upstream *
choose_least_outstanding (struct pool *pool, guint64 kinds,
                          const struct shape *need, GRand *random)
{
  struct upstream *best = NULL;
  guint n = pool->upstreams->len;
  guint offset = n > 0 ? (guint)g_rand_int_range (random, 0, (gint)n) : 0;

  for (guint i = 0; i < n; i++)
    {
      struct upstream *upstream
          = g_ptr_array_index (pool->upstreams, (offset + i) % n);

      if (!is_eligible (upstream, kinds))
        continue;
      if (best == NULL
          || count_outstanding (upstream) < count_outstanding (best))
        best = upstream;
    }
  return best;
}

const struct placement_ops placement_random
    = { "random", TRUE, choose_random };
const struct placement_ops placement_two_choices
    = { "two-choices", TRUE, choose_less_loaded_of_two };
const struct placement_ops placement_least_outstanding
    = { "least-outstanding", TRUE, choose_least_outstanding };
