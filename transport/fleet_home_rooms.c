#include "transport/fleet_home_private.h"

#include "base/hash64.h"

/* Appends this VM to OWNERS if it has slots for SERVICE.  CPUS are those that
   a task needs.  */
static void
add_self (struct fleet_home *home, const char *service, gdouble cpus,
          GArray *owners)
{
  struct spread_owner owner
      = { .name = home->vm, .is_self = TRUE, .is_local = TRUE };
  struct owner_room room;

  owner_get_room (fleet_owner_get_owner (home->owner), service, &room,
                  clock_now_us ());
  vm_room_init (&owner.room, service, &room);
  owner.free_slots = owner_count_free_slots (
      fleet_owner_get_owner (home->owner), service, cpus, clock_now_us ());
  if (owner.room.n_slots > 0)
    g_array_append_val (owners, owner);
}

void
fleet_home_set_evacuation (struct fleet_home *home,
                           const struct evacuation *evacuation)
{
  home->evacuation = evacuation;
}

/* Whether tasks may be sent to VM.  Its room in an evacuated zone is gone as
   soon as this home knows of the evacuation, before a beacon tells so.  */
static gboolean
may_receive_tasks (const struct fleet_home *home, const struct vm *vm)
{
  if (!vm->is_live || vm->is_leaving)
    return FALSE;
  return home->evacuation == NULL
         || !evacuation_includes (home->evacuation, vm->availability_zone);
}

GArray *
fleet_home_list_owners (struct fleet_home *home, const char *service,
                        gdouble cpus)
{
  GArray *owners = g_array_new (FALSE, FALSE, sizeof (struct spread_owner));
  const GPtrArray *vms = vm_directory_list (home->directory);
  guint64 hash = hash64_string (service);

  add_self (home, service, cpus, owners);
  for (guint i = 0; i < vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (vms, i);

      if (!may_receive_tasks (home, vm))
        continue;
      for (guint k = 0; k < vm->n_rooms; k++)
        {
          struct spread_owner owner = { .name = vm->name };

          if (vm->rooms[k].service_hash != hash || vm->rooms[k].n_slots == 0)
            continue;
          owner.is_local
              = g_str_equal (vm->availability_zone, home->availability_zone);
          owner.room = vm->rooms[k];
          owner.free_slots = free_slots_count (&owner.room.free_slots, cpus);
          g_array_append_val (owners, owner);
        }
    }
  return owners;
}

gboolean
fleet_home_has_slots (struct fleet_home *home, const char *service)
{
  g_autoptr (GArray) owners = fleet_home_list_owners (home, service, 0);

  return owners->len > 0;
}

guint
fleet_home_count_jobs (const struct fleet_home *home)
{
  return g_hash_table_size (home->jobs);
}

GHashTable *
fleet_home_get_jobs (const struct fleet_home *home)
{
  return home->jobs;
}

gint64
fleet_home_get_retry_ms (struct fleet_job *job, gint64 fallback_ms)
{
  const struct fleet_submission *s = job->submission;
  g_autoptr (GArray) owners
      = fleet_home_list_owners (job->home, s->service, s->need.cpus);

  return fleet_admission_get_retry_ms (job->home->admission, job, owners,
                                       fallback_ms);
}
