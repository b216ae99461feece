/*
 * Beacons in and out: one UDP socket, and the directory that it feeds.
 */
#ifndef TRANSPORT_FLEET_BEACON_H
#define TRANSPORT_FLEET_BEACON_H

#include "coordination/vm_directory.h"
#include "protocol/fleet_settings.h"

#include <glib.h>

struct fleet_beacon;
struct fleet_beacon_owner;

struct fleet_beacon_owner_ops
{
  /* Fills in what the next beacon says of this VM; name, address, zone,
     incarnation and sequence are filled in already.  NEWS->rooms has place for
     VM_ROOMS_MAX rooms.  */
  void (*fill) (struct fleet_beacon_owner *owner, struct vm_beacon *news,
                struct vm_room *rooms);

  /* A beacon of VM has come in.  */
  void (*heard) (struct fleet_beacon_owner *owner, const struct vm *vm);
};

/* Embedded in whoever owns the beacon.  */
struct fleet_beacon_owner
{
  const struct fleet_beacon_owner_ops *ops;
};

/* SETTINGS, DIRECTORY and OWNER must outlive the beacon.  Returns NULL with
   ERROR.  */
struct fleet_beacon *fleet_beacon_new (const struct fleet_settings *settings,
                                       guint64 incarnation,
                                       struct vm_directory *directory,
                                       struct fleet_beacon_owner *owner,
                                       GError **error);
void fleet_beacon_free (struct fleet_beacon *b);

/* Sends a beacon to all VMs now, as the state has changed.  */
void fleet_beacon_send (struct fleet_beacon *b);

#endif
