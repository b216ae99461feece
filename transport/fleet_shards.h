/*
 * Divides the upstreams of this VM's availability zone into shards, and takes
 * and releases the upstreams of the shards that this VM owns.  Connects
 * coordination/ownership.h, which decides without I/O, to the fleet.
 */
#ifndef TRANSPORT_FLEET_SHARDS_H
#define TRANSPORT_FLEET_SHARDS_H

#include "coordination/ownership.h"
#include "coordination/vm_directory.h"
#include "transport/fleet_owner.h"
#include "transport/peer_hub.h"

#include <glib.h>

struct fleet_shards;

/* The shards of AVAILABILITY_ZONE, N_SHARDS (at most OWNERSHIP_MAX_SHARDS), as
   seen by this VM, named VM.  HUB and DIRECTORY must outlive the result.  */
struct fleet_shards *fleet_shards_new (const char *vm,
                                       const char *availability_zone,
                                       guint n_shards, struct peer_hub *hub,
                                       const struct vm_directory *directory);
void fleet_shards_free (struct fleet_shards *shards);

/* Sets the OWNER that takes and releases the upstreams.  Must be called
   before any other function but fleet_shards_free ().  */
void fleet_shards_set_owner (struct fleet_shards *shards,
                             struct fleet_owner *owner);

/* Divides the shards by the capacities of the VMs.  */
void fleet_shards_share_by_capacity (struct fleet_shards *shards);

/* The capacity of this VM, in thousandths of a core; 0 for not known.  */
void fleet_shards_set_capacity (struct fleet_shards *shards,
                                guint milli_cores);

/* Whether the platform's store answers.  */
void fleet_shards_set_store_reached (struct fleet_shards *shards,
                                     gboolean is_reached);

/* Handle the events upstream_changed, upstream_gone and shards_assigned of
   struct fleet_events_ops.  */
void fleet_shards_change_upstream (struct fleet_shards *shards,
                                   const struct listed_upstream *spec);
void fleet_shards_remove_upstream (struct fleet_shards *shards,
                                   const char *id);
void fleet_shards_assign (struct fleet_shards *shards, guint64 generation,
                          const guint *assigned, guint n_assigned);

/* Allows starts on the upstreams of this availability zone or, if the operator
   has evacuated it, no longer allows them: what runs there may end.  They are
   not allowed before the first call.  */
void fleet_shards_allow_starts (struct fleet_shards *shards,
                                gboolean is_allowed);

/* The owner no longer owns the upstream ID: it was fenced by a higher token
   (IS_FENCED) or released.  */
void fleet_shards_handle_upstream_lost (struct fleet_shards *shards,
                                        const char *id, gboolean is_fenced);

/* Every VM that the platform lists in this availability zone was heard: shards
   may be taken.  */
void fleet_shards_end_listening (struct fleet_shards *shards);

/* A beacon of VM was received.  */
void fleet_shards_handle_beacon (struct fleet_shards *shards,
                                 const struct vm *vm);

/* Releases every shard because this VM is shutting down.  */
void fleet_shards_leave (struct fleet_shards *shards);

/* The shards that are held, those being released included: bit N is shard
   N.  */
guint64 fleet_shards_get_held (const struct fleet_shards *shards);

/* Whether this VM is about to take a shard, see ownership_is_acquiring ().  */
gboolean fleet_shards_is_acquiring (struct fleet_shards *shards);

/* The number of known upstreams in this availability zone.  */
guint fleet_shards_count_upstreams (const struct fleet_shards *shards);

/* Runs what is due; to be called several times a second.  */
void fleet_shards_advance (struct fleet_shards *shards);

#endif
