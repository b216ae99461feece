#include "coordination/owner_private.h"

/* From the end of the leases of an unconfirmed batch until its caller may send
   the job again.  */
#define RESEND_MARGIN_US (20 * USEC_PER_MSEC)

/* An unconfirmed batch is stopped when this share of the time is left: its
   runs should be gone before they keep the others on their upstreams from
   being renewed.  */
#define STOP_SHARE 0.27

/* A run is not started with a lease that is shorter than this share of the
   time.  */
#define MIN_LEASE_SHARE 0.2

const char owner_reason_unconfirmed[] = "its home has not confirmed it";

gint64
owner_get_confirmed_us (const struct owner *owner, const struct batch *batch)
{
  if (batch->is_local && !batch->is_ending)
    return owner->local_confirmed_us;
  return batch->confirmed_us;
}

/* The time that a confirmation holds for.  */
static gint64
get_term_us (const struct owner *owner)
{
  return owner->limits.resend_ms * USEC_PER_MSEC - RESEND_MARGIN_US;
}

/* Until when a run of BATCH may last.  */
static gint64
get_bound_us (const struct owner *owner, const struct batch *batch)
{
  return owner_get_confirmed_us (owner, batch) + get_term_us (owner);
}

static gboolean
is_unconfirmed (const struct owner *owner, const struct batch *batch,
                gint64 now_us)
{
  gint64 stop_us = (gint64)((gdouble)get_term_us (owner) * STOP_SHARE);

  return owner->limits.resend_ms != 0
         && now_us >= get_bound_us (owner, batch) - stop_us;
}

gint64
owner_get_lease_end_ms (const struct owner *owner,
                        const struct owned_upstream *upstream,
                        const struct batch *batch, gint64 now_us)
{
  gint64 end_ms
      = owned_estimate_clock_ms (upstream, now_us) + owner->limits.lease_ms;
  gint64 bound_us
      = batch != NULL ? get_bound_us (owner, batch) : DEADLINE_NEVER;
  const struct list_node *node;

  if (owner->limits.resend_ms == 0)
    return end_ms;
  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    {
      const struct run *run = list_entry (node, struct run, link);

      if (run->task != NULL)
        bound_us = MIN (bound_us, get_bound_us (owner, run->task->batch));
    }
  if (bound_us == DEADLINE_NEVER)
    return end_ms;
  return MIN (end_ms, owned_latest_lease_end_ms (owner, upstream, bound_us));
}

gboolean
owner_can_lease (const struct owner *owner,
                 const struct owned_upstream *upstream,
                 const struct batch *batch, gint64 now_us)
{
  gint64 min_ms = (gint64)(owner->limits.resend_ms * MIN_LEASE_SHARE);
  gint64 end_ms;

  if (owner->limits.resend_ms == 0)
    return TRUE;
  end_ms = owned_latest_lease_end_ms (owner, upstream,
                                      get_bound_us (owner, batch));
  return end_ms >= upstream->leased_until_ms
         && owner_get_lease_end_ms (owner, upstream, batch, now_us)
                >= owned_estimate_clock_ms (upstream, now_us) + min_ms;
}

void
owner_confirm_batch (struct owner *owner, struct batch *batch,
                     gint64 confirmed_us, gint64 now_us)
{
  if (batch->is_ending || batch->is_finished)
    return;
  if (is_unconfirmed (owner, batch, now_us))
    owner_stop_batch (owner, batch, owner_reason_unconfirmed, now_us);
  else
    batch->confirmed_us = MAX (batch->confirmed_us, confirmed_us);
}

void
owner_confirm_local (struct owner *owner, gint64 confirmed_us)
{
  owner->local_confirmed_us = MAX (owner->local_confirmed_us, confirmed_us);
}

static void
list_unconfirmed (const struct owner *owner, const struct list_node *batches,
                  GPtrArray *found, gint64 now_us)
{
  const struct list_node *node;

  for (node = batches->next; node != batches; node = node->next)
    {
      struct batch *batch = list_entry (node, struct batch, link);

      if (!batch->is_ending && !batch->is_local
          && is_unconfirmed (owner, batch, now_us))
        g_ptr_array_add (found, batch);
    }
}

void
owner_stop_unconfirmed (struct owner *owner, gint64 now_us)
{
  g_autoptr (GPtrArray) found = g_ptr_array_new ();

  list_unconfirmed (owner, &owner->queue, found, now_us);
  list_unconfirmed (owner, &owner->batches, found, now_us);
  for (guint i = 0; i < found->len; i++)
    owner_stop_batch (owner, g_ptr_array_index (found, i),
                      owner_reason_unconfirmed, now_us);
}
