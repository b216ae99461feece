#include "coordination/shape_check.h"

#include <math.h>

/* Bound of the rounding errors of summed processor counts.  */
#define CPU_EPSILON 1e-6

static gboolean
shape_equal (const struct shape *a, const struct shape *b)
{
  return fabs (a->cpus - b->cpus) < CPU_EPSILON && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators;
}

guint
shape_kinds_add (GArray *kinds, const struct shape *shape)
{
  struct shape *last;

  for (guint i = 0; i < kinds->len; i++)
    {
      if (shape_equal (&g_array_index (kinds, struct shape, i), shape))
        return i;
    }
  if (kinds->len < SHAPE_MAX_KINDS)
    {
      g_array_append_val (kinds, *shape);
      return kinds->len - 1;
    }
  last = &g_array_index (kinds, struct shape, SHAPE_MAX_KINDS - 1);
  last->cpus = MIN (last->cpus, shape->cpus);
  last->memory_mb = MIN (last->memory_mb, shape->memory_mb);
  last->accelerators = MIN (last->accelerators, shape->accelerators);
  return SHAPE_MAX_KINDS - 1;
}

guint64
shape_kinds_match (const GArray *kinds, const struct shape *need)
{
  guint64 mask = 0;

  for (guint i = 0; i < kinds->len; i++)
    {
      if (shape_fits (need, &g_array_index (kinds, struct shape, i)))
        mask |= G_GUINT64_CONSTANT (1) << i;
    }
  return mask;
}

/* The fraction of NEED that HAVE lacks.  */
static gdouble
compute_shortfall (gdouble need, gdouble have)
{
  return need > have ? (need - have) / need : 0;
}

static gdouble
compute_distance (const struct shape *need, const struct shape *have)
{
  return compute_shortfall (need->cpus, have->cpus)
         + compute_shortfall (need->memory_mb, have->memory_mb)
         + compute_shortfall (need->accelerators, have->accelerators);
}

static const struct shape *
find_nearest (const GArray *kinds, const struct shape *need)
{
  const struct shape *nearest = NULL;

  for (guint i = 0; i < kinds->len; i++)
    {
      const struct shape *kind = &g_array_index (kinds, struct shape, i);

      if (nearest == NULL
          || compute_distance (need, kind) < compute_distance (need, nearest))
        nearest = kind;
    }
  return nearest;
}

static void
set_never_runs_error (const GArray *kinds, const struct job *job,
                      const struct task *task, GError **error)
{
  const struct shape *need = &task->need;
  const struct shape *nearest = find_nearest (kinds, need);

  if (nearest == NULL)
    {
      error_set (error, ERROR_NEVER_RUNS,
                 "service '%s' has no upstreams; add some to its document",
                 job->service);
      return;
    }
  error_set (
      error, ERROR_NEVER_RUNS,
      "task %u asks for %g processors, %u MB and %u accelerators, which "
      "no upstream of '%s' has; the nearest has %g processors, %u MB "
      "and %u accelerators: ask for no more than that",
      task->index, need->cpus, need->memory_mb, need->accelerators,
      job->service, nearest->cpus, nearest->memory_mb, nearest->accelerators);
}

gboolean
shape_check_job (const GArray *kinds, const struct job *job, GError **error)
{
  for (guint i = 0; i < job->n_tasks; i++)
    {
      if (shape_kinds_match (kinds, &job->tasks[i].need) != 0)
        continue;
      set_never_runs_error (kinds, job, &job->tasks[i], error);
      return FALSE;
    }
  return TRUE;
}

gboolean
shape_fits_beside (const struct shape *need, const struct shape *used,
                   const struct shape *have)
{
  return need->cpus + used->cpus <= have->cpus + CPU_EPSILON
         && need->memory_mb + used->memory_mb <= have->memory_mb
         && need->accelerators + used->accelerators <= have->accelerators;
}

void
shape_add (struct shape *sum, const struct shape *shape)
{
  sum->cpus += shape->cpus;
  sum->memory_mb += shape->memory_mb;
  sum->accelerators += shape->accelerators;
}

void
shape_subtract (struct shape *sum, const struct shape *shape)
{
  sum->cpus -= shape->cpus;
  sum->memory_mb -= shape->memory_mb;
  sum->accelerators -= shape->accelerators;
}
