/*
 * The other entry VMs of a fleet, as known from their beacons.  Does no I/O.
 *
 * A VM is known by name, from the platform or from another VM, before its
 * first beacon.  It is live while its beacons arrive.  A newer incarnation
 * replaces an older one, which is then lost for good.
 */
#ifndef COORDINATION_VM_DIRECTORY_H
#define COORDINATION_VM_DIRECTORY_H

#include "base/clock.h"
#include "coordination/caller_share.h"
#include "coordination/evacuation.h"
#include "coordination/listing_source.h"
#include "coordination/vm_room.h"

#include <glib.h>

/* A VM with which this one has work in common counts as lost when it was not
   heard for this long.  The loss of a home must be noticed, and the runs of
   its jobs stopped, before the caller sends the job again.  Others may
   announce that their beacons come less often: they count as lost when
   VM_MISSED_BEACONS of them are missing.  */
#define VM_LOST_AFTER_US (600 * USEC_PER_MSEC)
#define VM_MISSED_BEACONS 3

/* The longest interval between beacons that is believed.  */
#define VM_MAX_INTERVAL_MS 1000

/* A VM that is not live is removed when it was not heard for this long.  */
#define VM_FORGET_AFTER_US (30 * USEC_PER_SEC)

/* Maximum number of known VMs; further ones are ignored.  */
#define VM_DIRECTORY_MAX 4096

/* Maximum number of services for which a VM announces its room.  */
#define VM_ROOMS_MAX 8

struct vm
{
  char *name;
  char *ip;
  char *availability_zone;
  guint64 incarnation;     /* 0 before its first beacon */
  guint32 sequence;        /* of its latest beacon */
  gint64 received_us;      /* when that was read */
  guint32 former_sequence; /* of the beacon before it; 0 for none */
  gint64 former_us;        /* when that was read */
  gboolean is_live;
  gboolean is_leaving;
  gint64 heard_us;   /* time of its latest beacon, or when it became known */
  gint64 lost_at_us; /* counts as lost then, unless it is heard before */
  gint64 beacon_due_us; /* when the next beacon is to be sent to it */
  guint n_works;        /* calls with work in common that are in flight */
  guint64 held;         /* shards that it holds in its zone, as bits */
  guint capacity; /* of its processor, in thousandths of a core; 0: unknown */
  guint64 routes_version;
  struct evacuation evacuation; /* as it knows it */
  struct listing_state listing; /* likewise */
  struct caller_list callers;   /* with the largest demand there; empty unless
                                   it is live */
  struct vm_room rooms[VM_ROOMS_MAX];
  guint n_rooms;
};

/* The content of one beacon.  Owned by the caller.  */
struct vm_beacon
{
  const char *name;
  const char *ip;
  const char *availability_zone;
  guint64 incarnation;
  guint32 sequence;
  gboolean is_leaving;
  guint interval_ms; /* until its next beacon to this VM */
  guint64 held;      /* shards that the VM holds in its zone, as bits */
  guint capacity; /* of its processor, in thousandths of a core; 0: unknown */
  guint64 routes_version;
  struct evacuation evacuation; /* as the VM knows it */
  struct listing_state listing; /* likewise */
  struct caller_list callers;   /* with the largest demand there */
  const struct vm_room *rooms;
  guint n_rooms;
};

struct vm_directory;
struct vm_directory_listener;

struct vm_directory_listener_ops
{
  /* VM became live, or a new incarnation of it did.  */
  void (*vm_became_live) (struct vm_directory_listener *listener,
                          const struct vm *vm);

  /* That INCARNATION of VM is not heard any more, or was replaced.  */
  void (*vm_lost) (struct vm_directory_listener *listener, const struct vm *vm,
                   guint64 incarnation);
};

/* The first member of the directory's listener.  */
struct vm_directory_listener
{
  const struct vm_directory_listener_ops *ops;
};

/* A directory of all VMs but the one named OWN_NAME.  LISTENER must outlive
   it.  */
struct vm_directory *vm_directory_new (struct vm_directory_listener *listener,
                                       const char *own_name);
void vm_directory_free (struct vm_directory *directory);

/* Adds a VM that the platform or another VM has named, or updates the address
   of a known one that is not live.  Returns whether it was added.  */
gboolean vm_directory_add (struct vm_directory *directory, const char *name,
                           const char *ip, const char *availability_zone,
                           gint64 now_us);

/* Applies BEACON.  Returns its VM, or NULL when the beacon is ignored: it is
   outdated, or from this VM, or from a new VM while the directory is full.  */
const struct vm *vm_directory_handle_beacon (struct vm_directory *directory,
                                             const struct vm_beacon *beacon,
                                             gint64 now_us);

/* A call or a reply of the VM NAME was received: it is alive, even if its
   beacons are lost.  Ignored unless it is live.  */
void vm_directory_note_message (struct vm_directory *directory,
                                const char *name, gint64 now_us);

/* Work in common with the VM NAME begins or ends: a call between the two that
   one of them has to know the loss of the other for.  Both send each other
   beacons at the full rate meanwhile.  Begins are counted, and each needs its
   end.  */
void vm_directory_begin_work (struct vm_directory *directory, const char *name,
                              gint64 now_us);
void vm_directory_end_work (struct vm_directory *directory, const char *name);

/* The VMs, but for this one, of AVAILABILITY_ZONE.  */
guint vm_directory_count_zone (const struct vm_directory *directory,
                               const char *availability_zone);

/* The next beacon to VM is due at DUE_US.  */
void vm_directory_set_beacon_due (struct vm_directory *directory,
                                  const struct vm *vm, gint64 due_us);

/* Whether other VMs of AVAILABILITY_ZONE are known, and each of them was heard
   since the start.  */
gboolean vm_directory_has_heard_all (const struct vm_directory *directory,
                                     const char *availability_zone);

/* The latest beacon of VM that was read by SETTLED_US; 0 if it is not known.
   See loop_turn.h.  */
guint32 vm_get_settled_sequence (const struct vm *vm, gint64 settled_us);

/* The VM of that name, or NULL.  */
const struct vm *vm_directory_find (const struct vm_directory *directory,
                                    const char *name);

/* All known VMs, struct vm.  Owned by DIRECTORY; the next call may change
   it.  */
const GPtrArray *vm_directory_list (const struct vm_directory *directory);

/* Subtracts TASKS, which were just handed to the VM NAME, from its announced
   room, as its next beacon is still to come.  */
void vm_directory_reserve_room (struct vm_directory *directory,
                                const char *name, guint64 service_hash,
                                const struct room_tasks *tasks);

/* The VM NAME has given tasks for SERVICE that need CPUS each back: it has no
   free slots of that size until its next beacon.  */
void vm_directory_mark_full (struct vm_directory *directory, const char *name,
                             guint64 service_hash, gdouble cpus);

/* Marks VMs as lost, and removes VMs, as due at NOW_US.  */
void vm_directory_advance (struct vm_directory *directory, gint64 now_us);

#endif
