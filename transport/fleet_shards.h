/*
 * The upstreams of the own availability zone, sorted into shards, and which of
 * them this VM owns: drives coordination/ownership.h.
 */
#ifndef TRANSPORT_FLEET_SHARDS_H
#define TRANSPORT_FLEET_SHARDS_H

#include "coordination/ownership.h"
#include "coordination/vm_directory.h"
#include "transport/fleet_owner.h"
#include "transport/peer_hub.h"

#include <glib.h>

struct fleet_shards;

/* The shards of AVAILABILITY_ZONE for the VM of that name.  HUB and DIRECTORY
   must outlive them.  */
struct fleet_shards *fleet_shards_new (const char *vm,
                                       const char *availability_zone,
                                       guint n_shards, struct peer_hub *hub,
                                       const struct vm_directory *directory);
void fleet_shards_free (struct fleet_shards *shards);

/* OWNER takes and releases the upstreams; to be set before anything else.  */
void fleet_shards_set_owner (struct fleet_shards *shards,
                             struct fleet_owner *owner);

/* See struct fleet_events_ops.  */
void fleet_shards_change_upstream (struct fleet_shards *shards,
                                   const struct owned_spec *spec);
void fleet_shards_drop_upstream (struct fleet_shards *shards, const char *id);
void fleet_shards_assign (struct fleet_shards *shards, guint64 generation,
                          const guint *assigned, guint n_assigned);

/* The upstream of that name is no longer owned.  */
void fleet_shards_lose_upstream (struct fleet_shards *shards, const char *id,
                                 gboolean is_fenced);

/* A beacon of VM has come in.  */
void fleet_shards_hear (struct fleet_shards *shards, const struct vm *vm);

/* Hands every shard over: this VM is leaving.  */
void fleet_shards_leave (struct fleet_shards *shards);

/* The shards that are held, as bits.  */
guint64 fleet_shards_get_held (const struct fleet_shards *shards);

/* Upstreams that are known.  */
guint fleet_shards_count_upstreams (const struct fleet_shards *shards);

/* Passes the time.  */
void fleet_shards_advance (struct fleet_shards *shards);

#endif
