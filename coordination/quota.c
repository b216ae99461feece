#include "coordination/quota.h"

#include "base/clock.h"

/* One step of the sliding window.  */
#define STEP_US (USEC_PER_SEC / QUOTA_WINDOW_STEPS)
#define RING_LENGTH (QUOTA_WINDOW_STEPS + 1)

void
quota_set_total (struct quota *quota, guint slots, guint starts)
{
  quota->total_slots = slots;
  quota->total_starts = starts;
}

void
quota_grant (struct quota *quota, guint slots, guint starts,
             gint64 deadline_us)
{
  quota->granted_slots = slots;
  quota->granted_starts = starts;
  quota->grant_deadline_us = deadline_us;
}

/* This VM's even part of TOTAL.  The parts of all VMs add up to TOTAL.  */
static guint
compute_even_part (guint total, const struct quota_vms *vms)
{
  guint extra = vms->own_index < total % vms->n_vms ? 1 : 0;

  return total / vms->n_vms + extra;
}

static guint
compute_share (const struct quota *quota, guint total, guint granted,
               const struct quota_vms *vms, gint64 now_us)
{
  guint even = compute_even_part (total, vms);

  if (total == 0)
    return QUOTA_UNLIMITED;
  if (quota->grant_deadline_us == 0)
    return even;
  if (quota->grant_deadline_us <= now_us)
    return MIN (granted, even);
  return MIN (granted, total);
}

guint
quota_get_slots (const struct quota *quota, const struct quota_vms *vms,
                 gint64 now_us)
{
  return compute_share (quota, quota->total_slots, quota->granted_slots, vms,
                        now_us);
}

guint
quota_get_starts (const struct quota *quota, const struct quota_vms *vms,
                  gint64 now_us)
{
  return compute_share (quota, quota->total_starts, quota->granted_starts, vms,
                        now_us);
}

/* Moves the window to NOW_US and drops the steps older than a second.  */
static void
advance_window (struct quota *quota, gint64 now_us)
{
  gint64 step = now_us / STEP_US;
  gint64 n_passed = step - quota->step;

  if (n_passed <= 0)
    return;
  for (gint64 i = 1; i <= MIN (n_passed, RING_LENGTH); i++)
    {
      guint *slot = &quota->starts[(quota->step + i) % RING_LENGTH];

      quota->n_starts -= *slot;
      *slot = 0;
    }
  quota->step = step;
}

gboolean
quota_may_start (struct quota *quota, const struct quota_vms *vms,
                 gint64 now_us, gint64 *retry_at_us)
{
  *retry_at_us = DEADLINE_NEVER;
  if (quota->total_slots != 0
      && quota->n_running >= quota_get_slots (quota, vms, now_us))
    return FALSE;
  if (quota->total_starts == 0)
    return TRUE;
  advance_window (quota, now_us);
  if (quota->n_starts < quota_get_starts (quota, vms, now_us))
    return TRUE;
  *retry_at_us = (quota->step + 1) * STEP_US;
  return FALSE;
}

void
quota_note_start (struct quota *quota, gint64 now_us)
{
  advance_window (quota, now_us);
  quota->starts[quota->step % RING_LENGTH]++;
  quota->n_starts++;
  quota->n_running++;
}

void
quota_note_end (struct quota *quota)
{
  quota->n_running--;
}
