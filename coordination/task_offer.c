#include "coordination/task_offer.h"

void
task_set_add (struct task_set *set, const guint *indexes, guint n)
{
  for (guint i = 0; i < n; i++)
    set->indexes[set->n++] = indexes[i];
}

gboolean
task_set_contains (const struct task_set *set, guint index)
{
  for (guint i = 0; i < set->n; i++)
    if (set->indexes[i] == index)
      return TRUE;
  return FALSE;
}

void
task_set_remove (struct task_set *set, const guint *indexes, guint n)
{
  for (guint i = 0; i < n; i++)
    for (guint k = 0; k < set->n; k++)
      if (set->indexes[k] == indexes[i])
        {
          set->indexes[k] = set->indexes[--set->n];
          break;
        }
}

guint
task_set_grant (struct task_set *wanted, const struct task_set *offered,
                guint n, guint *granted)
{
  guint n_granted = 0;

  for (guint i = 0; i < wanted->n && n_granted < n;)
    {
      guint index = wanted->indexes[i];

      if (!task_set_contains (offered, index))
        {
          i++;
          continue;
        }
      wanted->indexes[i] = wanted->indexes[--wanted->n];
      granted[n_granted++] = index;
    }
  return n_granted;
}

gboolean
task_set_intersects (const struct task_set *wanted,
                     const struct task_set *offered)
{
  for (guint i = 0; i < wanted->n; i++)
    if (task_set_contains (offered, wanted->indexes[i]))
      return TRUE;
  return FALSE;
}
