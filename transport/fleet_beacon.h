/*
 * Sends this VM's beacons to all known VMs over one UDP socket, and updates
 * the VM directory from the beacons that are received.
 */
#ifndef TRANSPORT_FLEET_BEACON_H
#define TRANSPORT_FLEET_BEACON_H

#include "coordination/vm_directory.h"
#include "protocol/fleet_settings.h"
#include "protocol/peer_xdr.h"
#include "transport/peer_hub.h"

#include <glib.h>

/* Owners to which one beacon can tell that their batches are wanted, and
   batches of one owner that it can name as revoked.  */
#define CONFIRMATIONS_MAX 64
#define REVOKED_MAX 32

/* What this VM, as a home, tells an owner of its batches there: it wants all
   but those that are named.  */
struct owner_confirmation
{
  const char *vm;             /* name of the owner */
  guint revoked[REVOKED_MAX]; /* numbers of batches */
  guint n_revoked;
  gboolean is_complete; /* FALSE if more are revoked than fit: none of the
                           others is confirmed */
};

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

  /* Fills LIST with the owners that have batches of this VM, up to
     CONFIRMATIONS_MAX, and returns their number.  The names need only last for
     the call that sends a beacon.  */
  guint (*list_confirmed) (struct fleet_beacon_owner *owner,
                           struct owner_confirmation *list);

  /* VM, as a home, wants all batches here but the N_REVOKED ones with the
     numbers REVOKED, and wanted them at CONFIRMED_US or later, on the clock of
     this VM; 0 if none is confirmed.  */
  void (*confirmed) (struct fleet_beacon_owner *owner, const struct vm *vm,
                     gint64 confirmed_us, const guint *revoked,
                     guint n_revoked);

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

/* When the beacon of this VM that HEARD names was sent; 0 if it names none, or
   none that is still known.  */
gint64 fleet_beacon_get_sent_us (const struct fleet_beacon *b,
                                 const peer_credential_heard *heard);

/* Tells of which beacons calls name as heard.  */
struct peer_heard_source *
fleet_beacon_get_heard_source (struct fleet_beacon *b);

/* Sends a beacon to all known VMs now, without waiting for the interval; for
   use after a change of state.  */
void fleet_beacon_send (struct fleet_beacon *b);

#endif
