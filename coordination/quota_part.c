#include "coordination/quota_part.h"

void
quota_part_init (struct quota_part *part, const char *vm, guint n_vms,
                 guint own_index)
{
  part->vm = g_strdup (vm);
  part->is_fixed = n_vms > 0;
  part->vms.n_vms = MAX (n_vms, 1);
  part->vms.own_index = part->is_fixed ? own_index : 0;
  part->pending_n_vms = part->vms.n_vms;
  part->pending_from_us = DEADLINE_NEVER;
}

void
quota_part_clear (struct quota_part *part)
{
  g_free (part->vm);
}

/* The index of this VM in the order of all VMs' names.  */
static guint
find_index (const struct quota_part *part, const char *const *others,
            guint n_others)
{
  guint index = 0;

  for (guint i = 0; i < n_others; i++)
    if (g_strcmp0 (others[i], part->vm) < 0)
      index++;
  return index;
}

/* Returns the number of VMs by which quotas are divided now, when N_VMS are
   listed.  */
static guint
update_count (struct quota_part *part, guint n_vms, gint64 now_us)
{
  if (n_vms >= part->vms.n_vms)
    {
      part->pending_from_us = DEADLINE_NEVER;
      return n_vms;
    }
  if (part->pending_from_us == DEADLINE_NEVER || n_vms > part->pending_n_vms)
    part->pending_from_us = now_us + QUOTA_PART_GROW_DELAY_US;
  part->pending_n_vms = n_vms;
  if (part->pending_from_us > now_us)
    return part->vms.n_vms;
  part->pending_from_us = DEADLINE_NEVER;
  return n_vms;
}

gboolean
quota_part_update (struct quota_part *part, const char *const *others,
                   guint n_others, gint64 now_us)
{
  struct quota_vms former = part->vms;

  if (part->is_fixed)
    return FALSE;
  part->vms.n_vms = update_count (part, n_others + 1, now_us);
  /* While a smaller number is pending, other VMs may still use the former list
     and its indexes.  This VM then takes no share of the remainder, so that
     none is taken twice.  */
  part->vms.own_index = part->pending_from_us == DEADLINE_NEVER
                            ? find_index (part, others, n_others)
                            : part->vms.n_vms;
  return former.n_vms != part->vms.n_vms
         || former.own_index != part->vms.own_index;
}
