#include "coordination/beacon_rate.h"

/* The interval grows with the number of VMs, which limits the number of
   beacons that a VM sends and receives per second.  */
#define INTERVAL_PER_VM_MS 5
#define MIN_FULL_INTERVAL_MS 50
#define MAX_FULL_INTERVAL_MS 150
#define MAX_INTERVAL_MS 1000

enum beacon_class
beacon_rate_classify (const struct beacon_rate *rate,
                      const struct beacon_receiver *r)
{
  if (r->has_work || (r->is_local && (rate->is_awaited || !r->is_live)))
    return BEACON_FULL;
  return r->is_local ? BEACON_ZONE : BEACON_REMOTE;
}

guint
beacon_rate_get_ms (const struct beacon_rate *rate, enum beacon_class class)
{
  guint full_ms = CLAMP (rate->n_vms * INTERVAL_PER_VM_MS,
                         MIN_FULL_INTERVAL_MS, MAX_FULL_INTERVAL_MS);
  guint n = class == BEACON_ZONE ? rate->n_zone_vms
                                 : rate->n_vms - rate->n_zone_vms;

  if (class == BEACON_FULL)
    return full_ms;
  return CLAMP (n * INTERVAL_PER_VM_MS, full_ms, MAX_INTERVAL_MS);
}
