#include "coordination/placement.h"

static const struct placement_ops *const policies[] = {
  &placement_late_binding,
  &placement_random,
  &placement_two_choices,
  &placement_least_outstanding,
  NULL,
};

const struct placement_ops *const *
placement_list (void)
{
  return policies;
}

const struct placement_ops *
placement_find (const char *name)
{
  for (guint i = 0; policies[i] != NULL; i++)
    {
      if (g_str_equal (policies[i]->name, name))
        return policies[i];
    }
  return NULL;
}
