#include "base/metrics.h"
#include "transport/fleet_private.h"

/* The jobs that wait for slots, and the requests that wait for routes.  */
static guint
count_waiting (const struct fleet *fleet)
{
  guint n = fleet_home_count_waiting (fleet->home);

  return fleet->requests == NULL
             ? n
             : n + fleet->requests->ops->count (fleet->requests);
}

guint
fleet_get_capacity (const struct fleet *fleet)
{
  if (!fleet->settings->share_by_capacity)
    return 0;
  return vm_capacity_get (&fleet->capacity);
}

/* Adds UPSTREAM to DATA, the counts of owned, resting, unresponsive, slow and
   fast upstreams.  */
static void
count_upstream (struct owned_upstream *upstream, gpointer data)
{
  guint *counts = data;

  counts[0]++;
  counts[1] += upstream->rest_until_us > clock_now_us () ? 1 : 0;
  counts[2] += upstream->state == OWNED_UNRESPONSIVE ? 1 : 0;
  counts[3] += upstream->slowness >= SLOT_SLOW ? 1 : 0;
  counts[4] += upstream->slowness <= 1 / SLOT_SLOW ? 1 : 0;
}

static void
refresh_gauges (struct metrics_source *source)
{
  struct fleet *fleet = list_entry (source, struct fleet, metrics_source);
  const GPtrArray *vms = vm_directory_list (fleet->directory);
  guint counts[5] = { 0 };
  struct listing_state listing;
  struct owner_room room;
  guint n_lost = 0;

  for (guint i = 0; i < vms->len; i++)
    n_lost += ((struct vm *)g_ptr_array_index (vms, i))->is_live ? 0 : 1;
  owner_foreach_upstream (fleet_owner_get_owner (fleet->owner), count_upstream,
                          counts);
  owner_get_room (fleet_owner_get_owner (fleet->owner), NULL, &room,
                  clock_now_us ());
  metrics_set (METRIC_ROOMS_OWNED, room.n_slots);
  metrics_set (METRIC_UPSTREAMS_OWNED, counts[0]);
  metrics_set (METRIC_UPSTREAMS_RESTING, counts[1]);
  metrics_set (METRIC_UPSTREAMS_MUTE, counts[2]);
  metrics_set (METRIC_UPSTREAMS_SLOW, counts[3]);
  metrics_set (METRIC_UPSTREAMS_FAST, counts[4]);
  metrics_set (
      METRIC_SHARDS_OWNED,
      (guint)__builtin_popcountll (fleet_shards_get_held (fleet->shards)));
  metrics_set (METRIC_CAPACITY, fleet_get_capacity (fleet));
  metrics_set (METRIC_VMS_LOST, n_lost);
  metrics_set (METRIC_STORE_REACHED, fleet->is_store_reached ? 1 : 0);
  metrics_set (METRIC_ROUTES_VERSION,
               fleet->routes != NULL ? fleet->routes->version : 0);
  metrics_set (METRIC_ZONES_EVACUATED, fleet->evacuation.n_zones);
  metrics_set (METRIC_EVACUATION_POSITION, fleet->evacuation.position);
  fleet->platform->ops->get_listing (fleet->platform, &listing);
  metrics_set (METRIC_LISTING_READ, listing.is_read ? 1 : 0);
  metrics_set (METRIC_LISTING_POSITION, listing.position);
  metrics_set (METRIC_JOBS_ACTIVE, fleet_home_count_jobs (fleet->home));
  metrics_set (METRIC_JOBS_WAITING, count_waiting (fleet));
  metrics_set (METRIC_TASKS_QUEUED, owner_room_count_queued (&room));
  metrics_set (METRIC_TASKS_RUNNING, room.n_running);
  metrics_set (METRIC_CLIENT_CONNECTIONS,
               client_budget_count (&fleet->client_budget));
  metrics_set (METRIC_CLIENT_BYTES, fleet->client_budget.n_bytes);
  metrics_set (METRIC_DRAINING, fleet->is_draining ? 1 : 0);
}

static json_t *
dump_state (struct metrics_source *source)
{
  return fleet_describe (list_entry (source, struct fleet, metrics_source));
}

static const struct route_counts *
count_routes (struct fleet *fleet)
{
  return fleet_admission_count_routes (fleet->admission,
                                       fleet_home_get_jobs (fleet->home));
}

static void
append_metrics (struct metrics_source *source, GString *text)
{
  struct fleet *fleet = list_entry (source, struct fleet, metrics_source);

  route_counts_format (count_routes (fleet), text);
}

const struct metrics_source_ops fleet_metrics_ops = {
  .refresh = refresh_gauges,
  .dump = dump_state,
  .append = append_metrics,
};

static json_t *
describe_vm (const struct vm *vm, gint64 now_us)
{
  return json_pack ("{s:s, s:s, s:b, s:b, s:I, s:I, s:i}", "name", vm->name,
                    "zone", vm->availability_zone, "is_live", vm->is_live,
                    "is_leaving", vm->is_leaving, "heard_us_ago",
                    (json_int_t)(now_us - vm->heard_us), "held",
                    (json_int_t)vm->held, "capacity", (int)vm->capacity);
}

/* The names of the evacuated zones of this deployment.  */
static json_t *
describe_evacuation (const struct fleet *fleet)
{
  const GPtrArray *zones = fleet->settings->availability_zones;
  json_t *names = json_array ();

  for (guint i = 0; i < zones->len && zones->pdata[i] != NULL; i++)
    if (evacuation_includes (&fleet->evacuation, zones->pdata[i]))
      json_array_append_new (names, json_string (zones->pdata[i]));
  return names;
}

/* What this VM knows of the list of upstreams.  */
static json_t *
describe_listing (struct fleet *fleet, gint64 now_us)
{
  struct listing_state state;

  fleet->platform->ops->get_listing (fleet->platform, &state);
  return json_pack ("{s:b, s:I, s:I, s:I}", "is_read", state.is_read,
                    "position", (json_int_t)state.position, "changed",
                    (json_int_t)state.changed, "as_of_us_ago",
                    (json_int_t)(now_us - state.as_of_us));
}

json_t *
fleet_describe (struct fleet *fleet)
{
  const GPtrArray *vms = vm_directory_list (fleet->directory);
  gint64 now_us = clock_now_us ();
  json_t *peers = json_array ();
  struct owner_room room;

  for (guint i = 0; i < vms->len; i++)
    json_array_append_new (peers,
                           describe_vm (g_ptr_array_index (vms, i), now_us));
  owner_get_room (fleet_owner_get_owner (fleet->owner), NULL, &room, now_us);
  return json_pack (
      "{s:s, s:b, s:b, s:I, s:I, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:I, s:o, "
      "s:o, s:o, s:o}",
      "vm", fleet->settings->vm, "is_draining", fleet->is_draining,
      "is_store_reached", fleet->is_store_reached, "routes_version",
      (json_int_t)(fleet->routes != NULL ? fleet->routes->version : 0), "held",
      (json_int_t)fleet_shards_get_held (fleet->shards), "capacity",
      (int)fleet_get_capacity (fleet), "jobs",
      (int)fleet_home_count_jobs (fleet->home), "waiting",
      (int)count_waiting (fleet), "upstreams", (int)room.n_upstreams,
      "free_slots",
      (int)free_slots_count (&room.free_slots, room.free_slots.unit_cpus),
      "queued", (int)owner_room_count_queued (&room), "running",
      (int)room.n_running, "evacuation_position",
      (json_int_t)fleet->evacuation.position, "evacuated_zones",
      describe_evacuation (fleet), "routes",
      route_counts_describe (count_routes (fleet)), "listing",
      describe_listing (fleet, now_us), "peers", peers);
}
