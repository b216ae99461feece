/*
 * Decides how often a VM sends its beacon to another.  Does no I/O.
 *
 * All VMs that send to all at one rate fill their links in a large fleet.  The
 * full rate goes to those that have to act on each beacon: VMs with work in
 * common, which must learn of a loss at once; VMs of the zone, if the sender
 * owns upstreams that they may use or take over, or reads the list of
 * upstreams for them; and VMs of the zone that were not heard yet.  The others
 * get beacons at an interval that grows with their number.
 */
#ifndef COORDINATION_BEACON_RATE_H
#define COORDINATION_BEACON_RATE_H

#include <glib.h>

/* The fleet as the sender knows it.  */
struct beacon_rate
{
  guint n_vms;         /* other VMs */
  guint n_zone_vms;    /* those of the sender's zone */
  gboolean is_awaited; /* the sender owns upstreams, or reads the list of them
                          for its zone */
};

/* What the sender knows of a receiver.  */
struct beacon_receiver
{
  gboolean is_local; /* in the sender's zone */
  gboolean is_live;
  gboolean has_work; /* in common with the sender */
};

enum beacon_class
{
  BEACON_FULL,   /* gets beacons at the full rate */
  BEACON_ZONE,   /* another VM of the sender's zone */
  BEACON_REMOTE, /* a VM of another zone */
  N_BEACON_CLASSES
};

enum beacon_class beacon_rate_classify (const struct beacon_rate *rate,
                                        const struct beacon_receiver *r);

/* The interval at which receivers of CLASS get beacons, in milliseconds.  */
guint beacon_rate_get_ms (const struct beacon_rate *rate,
                          enum beacon_class class);

#endif
