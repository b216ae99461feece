/*
 * Keeps this VM's list of upstreams up to date, from the platform's store or
 * from other VMs of its zone, as coordination/listing_source.h decides, and
 * serves it to them.
 */
#ifndef TRANSPORT_FLEET_LISTING_H
#define TRANSPORT_FLEET_LISTING_H

#include "coordination/vm_directory.h"
#include "protocol/fleet_settings.h"
#include "transport/fleet_platform.h"
#include "transport/peer_hub.h"

struct fleet_listing;

/* All arguments must outlive the result.  */
struct fleet_listing *fleet_listing_new (const struct fleet_settings *settings,
                                         struct fleet_platform *platform,
                                         const struct vm_directory *directory,
                                         struct peer_hub *hub);
void fleet_listing_free (struct fleet_listing *listing);

/* This VM shuts down: it reads the store only if no other VM does.  */
void fleet_listing_leave (struct fleet_listing *listing);

/* Decides and does what is due; to be called several times a second.
   CAPACITY is that of this VM, in thousandths of a core; 0 for not known.  */
void fleet_listing_advance (struct fleet_listing *listing, guint capacity);

#endif
