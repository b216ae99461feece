#include "coordination/vm_directory.h"

#include "base/hash64.h"

struct vm_directory
{
  struct vm_directory_listener *listener;
  char *own_name;
  GPtrArray *vms;      /* struct vm */
  GHashTable *by_name; /* name -> struct vm, owned by vms */
};

static void
vm_free (gpointer data)
{
  struct vm *vm = data;

  g_free (vm->name);
  g_free (vm->ip);
  g_free (vm->availability_zone);
  g_free (vm);
}

struct vm_directory *
vm_directory_new (struct vm_directory_listener *listener, const char *own_name)
{
  struct vm_directory *directory = g_new0 (struct vm_directory, 1);

  directory->listener = listener;
  directory->own_name = g_strdup (own_name);
  directory->vms = g_ptr_array_new_with_free_func (vm_free);
  directory->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return directory;
}

void
vm_directory_free (struct vm_directory *directory)
{
  g_hash_table_unref (directory->by_name);
  g_ptr_array_unref (directory->vms);
  g_free (directory->own_name);
  g_free (directory);
}

static struct vm *
find_vm (const struct vm_directory *directory, const char *name)
{
  return g_hash_table_lookup (directory->by_name, name);
}

gboolean
vm_directory_has_heard_all (const struct vm_directory *directory,
                            const char *availability_zone)
{
  guint n_heard = 0;

  for (guint i = 0; i < directory->vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (directory->vms, i);

      if (!g_str_equal (vm->availability_zone, availability_zone))
        continue;
      if (vm->incarnation == 0)
        return FALSE;
      n_heard++;
    }
  return n_heard > 0;
}

const struct vm *
vm_directory_find (const struct vm_directory *directory, const char *name)
{
  return find_vm (directory, name);
}

const GPtrArray *
vm_directory_list (const struct vm_directory *directory)
{
  return directory->vms;
}

/* Sets the address of VM, which may have changed since it was last live.  */
static void
set_address (struct vm *vm, const char *ip, const char *availability_zone)
{
  if (g_strcmp0 (vm->ip, ip) != 0)
    {
      g_free (vm->ip);
      vm->ip = g_strdup (ip);
    }
  if (g_strcmp0 (vm->availability_zone, availability_zone) != 0)
    {
      g_free (vm->availability_zone);
      vm->availability_zone = g_strdup (availability_zone);
    }
}

gboolean
vm_directory_add (struct vm_directory *directory, const char *name,
                  const char *ip, const char *availability_zone, gint64 now_us)
{
  struct vm *vm = find_vm (directory, name);

  if (g_str_equal (name, directory->own_name))
    return FALSE;
  if (vm != NULL)
    {
      /* The address in a live VM's own beacons takes precedence.  */
      if (!vm->is_live)
        set_address (vm, ip, availability_zone);
      return FALSE;
    }
  if (directory->vms->len >= VM_DIRECTORY_MAX)
    return FALSE;
  vm = g_new0 (struct vm, 1);
  vm->name = g_strdup (name);
  vm->heard_us = now_us;
  set_address (vm, ip, availability_zone);
  g_ptr_array_add (directory->vms, vm);
  g_hash_table_insert (directory->by_name, vm->name, vm);
  return TRUE;
}

static void
mark_lost (struct vm_directory *directory, struct vm *vm)
{
  guint64 incarnation = vm->incarnation;

  vm->is_live = FALSE;
  vm->held = 0;
  vm->n_rooms = 0;
  vm->callers.n = 0;
  directory->listener->ops->vm_lost (directory->listener, vm, incarnation);
}

/* Whether BEACON is older than the latest one.  A lower incarnation is
   accepted from a VM that is not live: its clock may have been set back.  */
static gboolean
is_outdated (const struct vm *vm, const struct vm_beacon *beacon)
{
  if (!vm->is_live && beacon->incarnation != vm->incarnation)
    return FALSE;
  if (beacon->incarnation != vm->incarnation)
    return beacon->incarnation < vm->incarnation;
  return (gint32)(beacon->sequence - vm->sequence) <= 0;
}

/* How long after BEACON its sender counts as live.  */
static gint64
get_patience_us (const struct vm_beacon *beacon)
{
  guint interval_ms = MIN (beacon->interval_ms, VM_MAX_INTERVAL_MS);

  return MAX (VM_LOST_AFTER_US,
              VM_MISSED_BEACONS * interval_ms * USEC_PER_MSEC);
}

static void
note_sequence (struct vm *vm, const struct vm_beacon *beacon, gint64 now_us)
{
  gboolean is_same = vm->incarnation == beacon->incarnation;

  vm->former_sequence = is_same ? vm->sequence : 0;
  vm->former_us = vm->received_us;
  vm->incarnation = beacon->incarnation;
  vm->sequence = beacon->sequence;
  vm->received_us = now_us;
}

guint32
vm_get_settled_sequence (const struct vm *vm, gint64 settled_us)
{
  if (vm->received_us <= settled_us)
    return vm->sequence;
  return vm->former_us <= settled_us ? vm->former_sequence : 0;
}

const struct vm *
vm_directory_handle_beacon (struct vm_directory *directory,
                            const struct vm_beacon *beacon, gint64 now_us)
{
  gboolean was_live;
  struct vm *vm;

  vm_directory_add (directory, beacon->name, beacon->ip,
                    beacon->availability_zone, now_us);
  vm = find_vm (directory, beacon->name);
  if (vm == NULL || is_outdated (vm, beacon))
    return NULL;
  if (vm->is_live && vm->incarnation != beacon->incarnation)
    mark_lost (directory, vm);
  was_live = vm->is_live;
  set_address (vm, beacon->ip, beacon->availability_zone);
  note_sequence (vm, beacon, now_us);
  vm->is_live = TRUE;
  vm->is_leaving = beacon->is_leaving;
  vm->heard_us = now_us;
  vm->lost_at_us = now_us + get_patience_us (beacon);
  vm->held = beacon->held;
  vm->capacity = beacon->capacity;
  vm->routes_version = beacon->routes_version;
  vm->evacuation = beacon->evacuation;
  vm->listing = beacon->listing;
  vm->callers = beacon->callers;
  vm->n_rooms = MIN (beacon->n_rooms, VM_ROOMS_MAX);
  for (guint i = 0; i < vm->n_rooms; i++)
    vm->rooms[i] = beacon->rooms[i];
  if (!was_live)
    directory->listener->ops->vm_became_live (directory->listener, vm);
  return vm;
}

void
vm_directory_note_message (struct vm_directory *directory, const char *name,
                           gint64 now_us)
{
  struct vm *vm = find_vm (directory, name);

  if (vm == NULL || !vm->is_live)
    return;
  vm->heard_us = MAX (vm->heard_us, now_us);
  vm->lost_at_us = MAX (vm->lost_at_us, now_us + VM_LOST_AFTER_US);
}

void
vm_directory_begin_work (struct vm_directory *directory, const char *name,
                         gint64 now_us)
{
  struct vm *vm = find_vm (directory, name);

  if (vm == NULL)
    return;
  vm->n_works++;
  vm->lost_at_us = MIN (vm->lost_at_us, now_us + VM_LOST_AFTER_US);
  vm->beacon_due_us = MIN (vm->beacon_due_us, now_us);
}

void
vm_directory_end_work (struct vm_directory *directory, const char *name)
{
  struct vm *vm = find_vm (directory, name);

  /* The VM may have been forgotten and have become known again meanwhile.  */
  if (vm != NULL && vm->n_works > 0)
    vm->n_works--;
}

guint
vm_directory_count_zone (const struct vm_directory *directory,
                         const char *availability_zone)
{
  guint n = 0;

  for (guint i = 0; i < directory->vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (directory->vms, i);

      n += g_str_equal (vm->availability_zone, availability_zone);
    }
  return n;
}

void
vm_directory_set_beacon_due (struct vm_directory *directory,
                             const struct vm *vm, gint64 due_us)
{
  find_vm (directory, vm->name)->beacon_due_us = due_us;
}

void
vm_directory_reserve_room (struct vm_directory *directory, const char *name,
                           guint64 service_hash,
                           const struct room_tasks *tasks)
{
  struct vm *vm = find_vm (directory, name);

  for (guint i = 0; vm != NULL && i < vm->n_rooms; i++)
    {
      struct vm_room *room = &vm->rooms[i];

      if (room->service_hash == service_hash)
        vm_room_take (room, tasks);
    }
}

void
vm_directory_mark_full (struct vm_directory *directory, const char *name,
                        guint64 service_hash, gdouble cpus)
{
  struct vm *vm = find_vm (directory, name);

  for (guint i = 0; vm != NULL && i < vm->n_rooms; i++)
    if (vm->rooms[i].service_hash == service_hash)
      free_slots_mark_full (&vm->rooms[i].free_slots, cpus);
}

static gboolean
is_forgettable (const struct vm *vm, gint64 now_us)
{
  return !vm->is_live && now_us - vm->heard_us > VM_FORGET_AFTER_US;
}

void
vm_directory_advance (struct vm_directory *directory, gint64 now_us)
{
  for (guint i = directory->vms->len; i > 0; i--)
    {
      struct vm *vm = g_ptr_array_index (directory->vms, i - 1);

      if (vm->is_live && now_us > vm->lost_at_us)
        mark_lost (directory, vm);
      if (!is_forgettable (vm, now_us))
        continue;
      g_hash_table_remove (directory->by_name, vm->name);
      g_ptr_array_remove_index_fast (directory->vms, i - 1);
    }
}
