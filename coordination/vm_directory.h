/*
 * The entry VMs of a fleet as their beacons show them: free of I/O.
 *
 * A VM is known by name, from the platform or from another VM, before it is
 * heard.  It counts as live while its beacons come in.  A newer incarnation
 * replaces an older one, which is then gone for good.
 */
#ifndef COORDINATION_VM_DIRECTORY_H
#define COORDINATION_VM_DIRECTORY_H

#include "base/clock.h"
#include "coordination/owner.h"

#include <glib.h>

/* A VM is lost when nothing was heard of it for this long.  A home that dies
   must be noticed, and its runs be stopped, before its caller sends the job
   again.  */
#define VM_LOST_AFTER_US (600 * USEC_PER_MSEC)

/* A VM that is not heard is forgotten after this.  */
#define VM_FORGET_AFTER_US (30 * USEC_PER_SEC)

/* The most VMs that are known.  */
#define VM_DIRECTORY_MAX 4096

/* Services of which a VM tells its room.  */
#define VM_ROOMS_MAX 8

/* The room of one service on the upstreams that a VM owns.  */
struct vm_room
{
  guint64 service; /* hash of its name */
  guint n_slots;
  guint free_slots;
  guint n_queued;
  guint queued_ms;
};

/* What is told of the room that OWN has for SERVICE; a queue too long for the
   message counts as the longest that it can tell.  */
void vm_room_init (struct vm_room *room, const char *service,
                   const struct owner_room *own);

struct vm
{
  char *name;
  char *ip;
  char *availability_zone;
  guint64 incarnation; /* 0 before it was heard */
  guint32 sequence;    /* of its latest beacon */
  gboolean is_live;
  gboolean is_leaving;
  gint64 heard_us; /* or when it became known */
  guint64 held;    /* shards of its zone, as bits */
  guint64 routes_version;
  struct vm_room rooms[VM_ROOMS_MAX];
  guint n_rooms;
};

/* What one beacon says.  */
struct vm_beacon
{
  const char *name;
  const char *ip;
  const char *availability_zone;
  guint64 incarnation;
  guint32 sequence;
  gboolean is_leaving;
  guint64 held;
  guint64 routes_version;
  const struct vm_room *rooms;
  guint n_rooms;
};

struct vm_directory;
struct vm_directory_listener;

struct vm_directory_listener_ops
{
  /* VM became live, or another incarnation of it did.  */
  void (*vm_found) (struct vm_directory_listener *owner, const struct vm *vm);

  /* The incarnation of VM is silent, or gone.  */
  void (*vm_lost) (struct vm_directory_listener *owner, const struct vm *vm,
                   guint64 incarnation);
};

/* The first member of the directory's owner.  */
struct vm_directory_listener
{
  const struct vm_directory_listener_ops *ops;
};

/* A directory of all VMs but the one named OWN_NAME.  */
struct vm_directory *vm_directory_new (struct vm_directory_listener *owner,
                                       const char *own_name);
void vm_directory_free (struct vm_directory *directory);

/* A VM is said to exist.  Returns whether it is new.  */
gboolean vm_directory_add (struct vm_directory *directory, const char *name,
                           const char *ip, const char *availability_zone,
                           gint64 now_us);

/* Takes a beacon.  Returns the VM, or NULL when it is old news.  */
const struct vm *vm_directory_handle_beacon (struct vm_directory *directory,
                                             const struct vm_beacon *news,
                                             gint64 now_us);

/* The VM of that name, or NULL.  */
const struct vm *vm_directory_find (const struct vm_directory *directory,
                                    const char *name);

/* All VMs, struct vm; changes with the next event.  */
const GPtrArray *vm_directory_list (const struct vm_directory *directory);

/* Tasks that were just handed to VM take room that it has not told yet.  */
void vm_directory_reserve_room (struct vm_directory *directory,
                                const char *name, guint64 service,
                                guint n_tasks, guint run_ms);

/* VM has given tasks for SERVICE back: it has no free slots.  */
void vm_directory_mark_full (struct vm_directory *directory, const char *name,
                             guint64 service);

/* Passes the time.  */
void vm_directory_advance (struct vm_directory *directory, gint64 now_us);

#endif
