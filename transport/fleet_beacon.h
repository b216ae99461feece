/*
 * Sends this VM's beacons to all known VMs over one UDP socket, and updates
 * the VM directory from the beacons that are received.
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
  /* Fills in the state that the next beacon reports of this VM.  Name,
     address, zone, incarnation and sequence are set by this module.  ROOMS,
     which is also STATE->rooms, has space for VM_ROOMS_MAX entries.
     STATE->n_rooms is set to the number of entries filled in.  */
  void (*fill_beacon) (struct fleet_beacon_owner *owner,
                       struct vm_beacon *state, struct vm_room *rooms);

  /* A beacon of VM was received and is newer than the one before.  */
  void (*beacon_received) (struct fleet_beacon_owner *owner,
                           const struct vm *vm);
};

/* Embedded in the object that owns the beacon.  */
struct fleet_beacon_owner
{
  const struct fleet_beacon_owner_ops *ops;
};

/* Opens the socket and starts sending at regular intervals.  SETTINGS,
   DIRECTORY and OWNER must outlive the beacon.  Returns NULL and sets ERROR
   on failure.  */
struct fleet_beacon *fleet_beacon_new (const struct fleet_settings *settings,
                                       guint64 incarnation,
                                       struct vm_directory *directory,
                                       struct fleet_beacon_owner *owner,
                                       GError **error);
void fleet_beacon_free (struct fleet_beacon *b);

/* Sends a beacon to all known VMs now, without waiting for the interval; for
   use after a change of state.  */
void fleet_beacon_send (struct fleet_beacon *b);

#endif
