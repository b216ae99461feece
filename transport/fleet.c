#include "transport/fleet_private.h"

#include "base/event_log.h"
#include "base/loop_turn.h"
#include "base/metrics.h"

#include <glib-unix.h>
#include <signal.h>
#include <string.h>

/* How often due work of the shards and the jobs is done, and the progress of a
   drain is checked.  */
#define TICK_MS 50

/* Fractions of the grace period of a drain.  The VM stays at least until
   DRAIN_STAY_FRACTION of it has passed: the load balancer goes on sending new
   connections for a while.  All remaining jobs are answered when
   DRAIN_ANSWER_FRACTION of it has passed.  */
#define DRAIN_STAY_FRACTION 0.4
#define DRAIN_ANSWER_FRACTION 0.9

/* A drain takes at least this long, so that the platform and the load balancer
   notice it.  */
#define MIN_DRAIN_US (1500 * USEC_PER_MSEC)

/* From the expiry of a lost VM's membership until another VM has its
   upstreams, with a margin: its shards are assigned, taken and polled in 1.0
   to 1.6 s after the loss, the expiry included.  */
#define TAKE_UPSTREAMS_US (2 * USEC_PER_SEC)

#define BYTES_PER_KB 1024

#define FETCH_ROUTES_TIMEOUT_US (1 * USEC_PER_SEC)

/* The most by which an upstream's clock may run slow.  */
#define CLOCK_DRIFT_PPM 20500

/* If on_tick () is called later than this after its last call, that is logged
   as a pause of the process.  */
#define MAX_TICK_GAP_US (400 * USEC_PER_MSEC)

/* The low bits of an incarnation are random, so that processes started in the
   same millisecond differ.  */
#define INCARNATION_RANDOM_BITS 12

/* Members of the platform's group are named "NAME@IP@ZONE".  */
#define MEMBER_SEPARATOR "@"

struct fleet_home *
fleet_get_home (struct fleet *fleet)
{
  return fleet->home;
}

struct client_budget *
fleet_get_client_budget (struct fleet *fleet)
{
  return &fleet->client_budget;
}

const struct route_table *
fleet_get_routes (const struct fleet *fleet)
{
  return fleet->routes;
}

void
fleet_set_requests (struct fleet *fleet, struct fleet_requests *requests)
{
  fleet->requests = requests;
}

/* The services of the routes in force, without duplicates.  */
static GPtrArray *
list_services (const struct fleet *fleet)
{
  GPtrArray *services = g_ptr_array_new ();
  guint n_routes = fleet->routes != NULL ? fleet->routes->routes->len : 0;

  for (guint i = 0; i < n_routes; i++)
    {
      const struct route *route = g_ptr_array_index (fleet->routes->routes, i);

      if (!g_ptr_array_find_with_equal_func (services, route->service,
                                             g_str_equal, NULL))
        g_ptr_array_add (services, route->service);
    }
  return services;
}

gboolean
fleet_is_ready (struct fleet *fleet)
{
  g_autoptr (GPtrArray) services = list_services (fleet);

  if (fleet->is_draining)
    return FALSE;
  for (guint i = 0; i < services->len; i++)
    if (fleet_home_has_slots (fleet->home, g_ptr_array_index (services, i)))
      return TRUE;
  return FALSE;
}

gboolean
fleet_is_draining (const struct fleet *fleet)
{
  return fleet->is_draining;
}

gboolean
fleet_is_accepting_job (const struct fleet *fleet, gint64 objective_us)
{
  gint64 now_us = clock_now_us ();

  return !fleet->is_draining || now_us < fleet->stay_until_us
         || now_us + objective_us * FLEET_LATE_FACTOR
                < fleet->drain_deadline_us;
}

/* Passes the list of all known VMs to the hub.  */
static void
apply_vms (struct fleet *fleet)
{
  const GPtrArray *vms = vm_directory_list (fleet->directory);
  g_autoptr (GArray) listed
      = g_array_sized_new (FALSE, FALSE, sizeof (struct listed_vm), vms->len);
  g_autoptr (GPtrArray) addresses = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (vms, i);
      struct listed_vm entry
          = { .name = vm->name,
              .availability_zone = vm->availability_zone,
              .address
              = g_strdup_printf ("%s:%u", vm->ip, fleet->settings->peers.port),
              .is_leaving = vm->is_leaving };

      g_ptr_array_add (addresses, (char *)entry.address);
      g_array_append_val (listed, entry);
    }
  peer_hub_apply_vms (
      fleet->hub, (const struct listed_vm *)(void *)listed->data, listed->len);
}

static void
on_vm_became_live (struct vm_directory_listener *listener, const struct vm *vm)
{
  struct fleet *fleet
      = list_entry (listener, struct fleet, directory_listener);

  event_log_fields (EVENT_VM_BACK, FIELD_TEXT ("peer", vm->name),
                    FIELD_INT ("incarnation", vm->incarnation));
  apply_vms (fleet);
}

static void
on_vm_lost (struct vm_directory_listener *listener, const struct vm *vm,
            guint64 incarnation)
{
  struct fleet *fleet
      = list_entry (listener, struct fleet, directory_listener);
  g_autofree char *home = fleet_format_home (vm->name, incarnation);
  gint64 now_us = clock_now_us ();

  event_log_fields (EVENT_VM_LOST, FIELD_TEXT ("peer", vm->name),
                    FIELD_INT ("incarnation", incarnation),
                    FIELD_INT ("silent_us", now_us - vm->heard_us));
  owner_stop_home_batches (fleet_owner_get_owner (fleet->owner), home, now_us);
  fleet_home_handle_vm_lost (fleet->home, vm->name, incarnation);
  /* What a partition holds up is void: its jobs are answered.  */
  peer_hub_abort (fleet->hub, vm->name);
}

static const struct vm_directory_listener_ops directory_ops = {
  .vm_became_live = on_vm_became_live,
  .vm_lost = on_vm_lost,
};

static void
fill_beacon (struct fleet_beacon_owner *owner, struct vm_beacon *state,
             struct vm_room *rooms)
{
  struct fleet *fleet = list_entry (owner, struct fleet, beacon_owner);
  g_autoptr (GPtrArray) services = list_services (fleet);

  state->is_leaving = fleet->is_draining;
  state->held = fleet_shards_get_held (fleet->shards);
  state->capacity = fleet_get_capacity (fleet);
  state->routes_version = fleet->routes != NULL ? fleet->routes->version : 0;
  state->evacuation = fleet->evacuation;
  fleet->platform->ops->get_listing (fleet->platform, &state->listing);
  fleet_admission_list_callers (fleet->admission, &state->callers);
  for (guint i = 0; i < services->len && state->n_rooms < VM_ROOMS_MAX; i++)
    {
      const char *service = g_ptr_array_index (services, i);
      struct owner_room room;

      owner_get_room (fleet_owner_get_owner (fleet->owner), service, &room,
                      clock_now_us ());
      if (room.n_slots == 0)
        continue;
      vm_room_init (&rooms[state->n_rooms++], service, &room);
    }
}

static void
on_routes_fetched (const void *result, const GError *error, gpointer data)
{
  const peer_routes_result *reply = result;
  struct fleet *fleet = data;
  g_autoptr (GBytes) text = NULL;

  fleet->is_fetching_routes = FALSE;
  if (reply == NULL || reply->text.text_len == 0)
    return;
  text = g_bytes_new (reply->text.text_val, reply->text.text_len);
  fleet->platform->ops->offer_routes (fleet->platform, text);
}

/* Fetches the routes from VM if it has newer ones, because this VM may be
   unable to reach the platform.  */
static void
fetch_routes (struct fleet *fleet, const struct vm *vm)
{
  peer_routes_args args = {
    .known_version = fleet->routes != NULL ? fleet->routes->version : 0,
  };

  if (fleet->is_fetching_routes || vm->routes_version <= args.known_version)
    return;
  fleet->is_fetching_routes = TRUE;
  peer_hub_call (fleet->hub, vm->name, PEER_FETCH_ROUTES, &args,
                 clock_now_us () + FETCH_ROUTES_TIMEOUT_US, on_routes_fetched,
                 fleet);
}

static void
serve_fetch_routes (struct peer_request *request, const void *arguments,
                    gpointer data)
{
  struct fleet *fleet = data;
  const peer_routes_args *args = arguments;
  peer_routes_result result = { { 0, NULL } };
  gsize length = 0;

  if (fleet->routes != NULL && fleet->routes->version > args->known_version)
    result.text.text_val
        = (char *)g_bytes_get_data (fleet->routes_text, &length);
  result.text.text_len = (u_int)length;
  peer_request_reply (request, &result);
}

/* Logs the zones of this deployment that NOW evacuates and BEFORE does not,
   and the reverse.  */
static void
log_evacuation (const struct fleet *fleet, const struct evacuation *before,
                const struct evacuation *now)
{
  const GPtrArray *zones = fleet->settings->availability_zones;

  for (guint i = 0; i < zones->len && zones->pdata[i] != NULL; i++)
    {
      const char *zone = zones->pdata[i];
      gboolean is_evacuated = evacuation_includes (now, zone);

      if (is_evacuated != evacuation_includes (before, zone))
        event_log_fields (is_evacuated ? EVENT_ZONE_EVACUATED
                                       : EVENT_ZONE_TAKEN_BACK,
                          FIELD_TEXT ("availability_zone", zone),
                          FIELD_INT ("position", now->position));
    }
}

/* No slots are expected in the evacuated zones.  */
static void
forget_evacuated (struct fleet *fleet)
{
  const GPtrArray *zones = fleet->settings->availability_zones;

  for (guint i = 0; i < zones->len && zones->pdata[i] != NULL; i++)
    if (evacuation_includes (&fleet->evacuation, zones->pdata[i]))
      fleet_home_handle_evacuated (fleet->home, zones->pdata[i]);
}

/* Brings STATE, which the platform or a peer has told, into force if it is
   newer.  */
static void
apply_evacuation (struct fleet *fleet, const struct evacuation *state)
{
  const struct evacuation before = fleet->evacuation;

  if (!evacuation_update (&fleet->evacuation, state))
    return;
  log_evacuation (fleet, &before, &fleet->evacuation);
  forget_evacuated (fleet);
  fleet_shards_allow_starts (
      fleet->shards,
      evacuation_allows_starts (&fleet->evacuation,
                                fleet->settings->availability_zone));
}

/* Ends the time in which this VM listens before it takes shards, once all VMs
   of its zone that the platform lists were heard.  */
static void
check_listening (struct fleet *fleet)
{
  if (!fleet->has_listened && fleet->are_members_listed
      && vm_directory_has_heard_all (fleet->directory,
                                     fleet->settings->availability_zone))
    {
      fleet->has_listened = TRUE;
      fleet_shards_end_listening (fleet->shards);
    }
}

static void
on_beacon_received (struct fleet_beacon_owner *owner, const struct vm *vm)
{
  struct fleet *fleet = list_entry (owner, struct fleet, beacon_owner);

  apply_evacuation (fleet, &vm->evacuation);
  fleet_shards_handle_beacon (fleet->shards, vm);
  check_listening (fleet);
  fleet_home_handle_beacon (fleet->home, vm);
  fetch_routes (fleet, vm);
}

static guint
list_confirmed (struct fleet_beacon_owner *owner,
                struct owner_confirmation *list)
{
  struct fleet *fleet = list_entry (owner, struct fleet, beacon_owner);

  return fleet_home_list_confirmed (fleet->home, list, CONFIRMATIONS_MAX);
}

static void
on_confirmed (struct fleet_beacon_owner *owner, const struct vm *vm,
              gint64 confirmed_us, const guint *revoked, guint n_revoked)
{
  struct fleet *fleet = list_entry (owner, struct fleet, beacon_owner);

  fleet_owner_confirm_home (fleet->owner, vm, confirmed_us, revoked,
                            n_revoked);
}

static const struct fleet_beacon_owner_ops beacon_ops = {
  .fill_beacon = fill_beacon,
  .list_confirmed = list_confirmed,
  .confirmed = on_confirmed,
  .beacon_received = on_beacon_received,
};

static struct fleet *
fleet_from_events (struct fleet_events *events)
{
  return list_entry (events, struct fleet, events);
}

static void
on_routes_changed (struct fleet_events *events, struct route_table *table,
                   GBytes *text)
{
  struct fleet *fleet = fleet_from_events (events);

  event_log_fields (EVENT_ROUTES_IN_FORCE,
                    FIELD_INT ("version", table->version),
                    FIELD_INT ("routes", table->routes->len));
  route_table_ref (table);
  if (fleet->routes != NULL)
    route_table_unref (fleet->routes);
  fleet->routes = table;
  g_bytes_ref (text);
  g_clear_pointer (&fleet->routes_text, g_bytes_unref);
  fleet->routes_text = text;
  if (fleet->requests != NULL)
    fleet->requests->ops->state_changed (fleet->requests);
}

static void
on_zones_evacuated (struct fleet_events *events,
                    const struct evacuation *state)
{
  apply_evacuation (fleet_from_events (events), state);
}

static void
on_upstream_changed (struct fleet_events *events,
                     const struct listed_upstream *spec)
{
  fleet_shards_change_upstream (fleet_from_events (events)->shards, spec);
}

static void
on_upstream_gone (struct fleet_events *events, const char *id)
{
  fleet_shards_remove_upstream (fleet_from_events (events)->shards, id);
}

static void
on_shards_assigned (struct fleet_events *events, guint64 generation,
                    const guint *shards, guint n_shards)
{
  fleet_shards_assign (fleet_from_events (events)->shards, generation, shards,
                       n_shards);
}

static void
on_members_listed (struct fleet_events *events, const char *const *members,
                   guint n_members)
{
  struct fleet *fleet = fleet_from_events (events);
  gboolean has_new = FALSE;

  for (guint i = 0; i < n_members; i++)
    {
      g_auto (GStrv) parts = g_strsplit (members[i], MEMBER_SEPARATOR, 3);

      if (g_strv_length (parts) == 3)
        has_new |= vm_directory_add (fleet->directory, parts[0], parts[1],
                                     parts[2], clock_now_us ());
    }
  fleet->are_members_listed |= n_members > 0;
  if (has_new)
    apply_vms (fleet);
}

static void
on_store_reachability_changed (struct fleet_events *events,
                               gboolean is_reached)
{
  struct fleet *fleet = fleet_from_events (events);

  fleet->is_store_reached = is_reached;
  fleet_shards_set_store_reached (fleet->shards, is_reached);
  event_log_fields (is_reached ? EVENT_STORE_REACHED : EVENT_STORE_LOST,
                    FIELD_TEXT ("store", fleet->settings->store));
}

static const struct fleet_events_ops events_ops = {
  .routes_changed = on_routes_changed,
  .zones_evacuated = on_zones_evacuated,
  .upstream_changed = on_upstream_changed,
  .upstream_gone = on_upstream_gone,
  .shards_assigned = on_shards_assigned,
  .members_listed = on_members_listed,
  .store_reachability_changed = on_store_reachability_changed,
};

static void
on_upstream_lost (struct fleet_owner_listener *listener, const char *id,
                  gboolean is_fenced)
{
  struct fleet *fleet = list_entry (listener, struct fleet, owner_listener);

  fleet_shards_handle_upstream_lost (fleet->shards, id, is_fenced);
}

static const struct fleet_owner_listener_ops listener_ops = {
  .upstream_lost = on_upstream_lost,
};

static gboolean
is_drained (struct fleet *fleet, gint64 now_us)
{
  if (now_us >= fleet->drain_deadline_us)
    return TRUE;
  return now_us - fleet->drain_began_us >= MIN_DRAIN_US
         && now_us >= fleet->stay_until_us
         && fleet_home_count_jobs (fleet->home) == 0
         && fleet_owner_count_batches (fleet->owner) == 0
         && fleet_shards_get_held (fleet->shards) == 0;
}

static gboolean
quit (gpointer data)
{
  struct fleet *fleet = data;

  g_main_loop_quit (fleet->loop);
  return G_SOURCE_REMOVE;
}

/* Sends a beacon as soon as this VM's upstreams have slots and had none
   before: homes that know of no others wait for it.  */
static void
announce_first_slots (struct fleet *fleet)
{
  struct owner_room room;
  gboolean had_slots = fleet->has_slots;

  owner_get_room (fleet_owner_get_owner (fleet->owner), NULL, &room,
                  clock_now_us ());
  fleet->has_slots = room.n_slots > 0;
  if (fleet->has_slots && !had_slots)
    fleet_beacon_send (fleet->beacon);
}

/* Adapts the capacity to the delay of this tick.  Processes are held to a
   processor quota in periods of 100 ms.  The timer of loop_delay.h, which has
   the same period, falls into step with them and is on time although the loop
   stands still for most of each.  */
static void
update_capacity (struct fleet *fleet, gint64 now_us)
{
  guint before = vm_capacity_get (&fleet->capacity);
  gint64 late_us
      = MAX (now_us - fleet->last_tick_us - TICK_MS * USEC_PER_MSEC, 0);
  guint capacity;

  if (!vm_capacity_update (&fleet->capacity, late_us, now_us))
    return;
  capacity = vm_capacity_get (&fleet->capacity);
  event_log_fields (capacity < before ? EVENT_CAPACITY_LOWERED
                                      : EVENT_CAPACITY_RAISED,
                    FIELD_INT ("milli_cores", capacity),
                    FIELD_INT ("share_milli_cores", fleet->capacity.share),
                    FIELD_INT ("late_us", late_us));
  fleet_shards_set_capacity (fleet->shards, capacity);
}

static gboolean
on_tick (gpointer data)
{
  struct fleet *fleet = data;
  gint64 now_us = clock_now_us ();

  if (now_us - fleet->last_tick_us > MAX_TICK_GAP_US)
    event_log_fields (EVENT_FLEET_PAUSED,
                      FIELD_INT ("late_us", now_us - fleet->last_tick_us));
  if (fleet->settings->share_by_capacity)
    update_capacity (fleet, now_us);
  fleet->last_tick_us = now_us;
  fleet_listing_advance (fleet->listing, fleet_get_capacity (fleet));
  fleet_shards_advance (fleet->shards);
  fleet_admission_advance (fleet->admission, now_us);
  fleet_home_advance (fleet->home, now_us);
  announce_first_slots (fleet);
  if (!fleet->is_draining || !is_drained (fleet, now_us))
    return G_SOURCE_CONTINUE;
  fleet_home_answer_all (fleet->home, "this VM had to stop");
  fleet->tick_source = 0;
  /* Leaves time to write the last answers to their connections.  */
  g_timeout_add (TICK_MS, quit, fleet);
  return G_SOURCE_REMOVE;
}

static gboolean
on_stop_signal (gpointer data)
{
  struct fleet *fleet = data;
  gint64 grace_us = fleet->settings->grace_ms * USEC_PER_MSEC;
  gint64 now_us = clock_now_us ();

  if (fleet->is_draining)
    return G_SOURCE_CONTINUE;
  event_log_fields (EVENT_FLEET_DRAINING,
                    FIELD_INT ("jobs", fleet_home_count_jobs (fleet->home)));
  fleet->is_draining = TRUE;
  fleet->drain_began_us = now_us;
  fleet->stay_until_us
      = now_us + (gint64)((gdouble)grace_us * DRAIN_STAY_FRACTION);
  fleet->drain_deadline_us
      = now_us + (gint64)((gdouble)grace_us * DRAIN_ANSWER_FRACTION);
  fleet->platform->ops->leave (fleet->platform);
  fleet_listing_leave (fleet->listing);
  fleet_shards_leave (fleet->shards);
  peer_hub_set_leaving (fleet->hub);
  fleet_home_leave (fleet->home);
  if (fleet->requests != NULL)
    fleet->requests->ops->state_changed (fleet->requests);
  fleet_beacon_send (fleet->beacon);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_reload_signal (gpointer data)
{
  event_log_fields (EVENT_FLEET_RELOADED,
                    FIELD_TEXT ("changed", "nothing: settings are read at "
                                           "start only; restart to apply"));
  return G_SOURCE_CONTINUE;
}

static void
set_hub_settings (struct fleet *fleet)
{
  struct settings *s = &fleet->hub_settings;

  s->vm = fleet->settings->vm;
  s->availability_zone = fleet->settings->availability_zone;
  s->peer_listen = fleet->settings->peers;
  s->peer_seeds = g_ptr_array_new ();
  s->keys = g_ptr_array_new ();
}

static void
set_waiting (struct fleet *fleet)
{
  const struct fleet_settings *settings = fleet->settings;
  struct fleet_waiting_options options = {
    .max_jobs = settings->max_waiting_jobs,
    .max_bytes = (gsize)settings->max_waiting_kb * BYTES_PER_KB,
    .takeover_us = settings->member_ttl_ms * USEC_PER_MSEC + TAKE_UPSTREAMS_US,
    .zones = settings->availability_zones,
    .shards = fleet->shards,
  };

  fleet_home_set_waiting (fleet->home, &options);
}

static void
share_by_capacity (struct fleet *fleet)
{
  const struct fleet_settings *settings = fleet->settings;

  vm_capacity_init (&fleet->capacity,
                    settings->cpu_share * settings->cpu_cores);
  fleet_shards_share_by_capacity (fleet->shards);
  fleet_shards_set_capacity (fleet->shards,
                             vm_capacity_get (&fleet->capacity));
}

static void
create_components (struct fleet *fleet)
{
  const struct fleet_settings *settings = fleet->settings;
  struct owner_limits limits = {
    .lease_ms = settings->lease_ms,
    .max_lease_ms = settings->max_lease_ms,
    .clock_drift_ppm = CLOCK_DRIFT_PPM,
    .placement_by_speed = settings->placement_by_speed,
    .resend_ms = settings->caller_retry_ms,
  };

  fleet->shards
      = fleet_shards_new (settings->vm, settings->availability_zone,
                          settings->n_shards, fleet->hub, fleet->directory);
  fleet->owner = fleet_owner_new (&limits, fleet->platform, fleet->directory,
                                  &fleet->owner_listener);
  fleet_shards_set_owner (fleet->shards, fleet->owner);
  if (settings->share_by_capacity)
    share_by_capacity (fleet);
  fleet_owner_serve (fleet->owner, fleet->hub);
  fleet->admission
      = fleet_admission_new (settings, fleet->directory, fleet->owner);
  fleet->home = fleet_home_new (settings->vm, fleet->incarnation,
                                settings->availability_zone,
                                settings->far_factor, fleet->directory,
                                fleet->hub, fleet->owner, fleet->admission);
  fleet_home_set_resend_ms (fleet->home, settings->caller_retry_ms);
  fleet_home_set_evacuation (fleet->home, &fleet->evacuation);
  set_waiting (fleet);
  fleet->listing = fleet_listing_new (settings, fleet->platform,
                                      fleet->directory, fleet->hub);
  peer_hub_serve (fleet->hub, PEER_FETCH_ROUTES, serve_fetch_routes, fleet);
}

/* The incarnation of this process: the Unix time in milliseconds in the high
   bits, random low bits.  */
static guint64
choose_incarnation (void)
{
  guint64 random = g_random_int () & ((1u << INCARNATION_RANDOM_BITS) - 1);

  return ((guint64)clock_unix_ms () << INCARNATION_RANDOM_BITS) | random;
}

/* Sets what clients may use of the machine.  */
static void
divide_machine (struct fleet *fleet)
{
  const struct fleet_settings *settings = fleet->settings;
  struct machine_limits limits;

  machine_limits_read (&limits, settings->memory_mb,
                       settings->max_descriptors);
  client_budget_init (&fleet->client_budget, &limits,
                      settings->max_connections);
}

static gboolean
open_metrics (struct fleet *fleet, GError **error)
{
  const struct endpoint *endpoint = &fleet->settings->metrics;

  fleet->loop_delay = loop_delay_new ();
  if (endpoint->port == 0)
    return TRUE;
  fleet->metrics_source.ops = &fleet_metrics_ops;
  fleet->metrics_server = metrics_server_new (endpoint, &fleet->metrics_source,
                                              &fleet->client_budget, error);
  return fleet->metrics_server != NULL;
}

/* Lets the messages between VMs tell how old they are.  */
static void
use_beacon (struct fleet *fleet)
{
  loop_turn_follow ();
  fleet_owner_set_beacon (fleet->owner, fleet->beacon);
  peer_hub_set_heard_source (fleet->hub,
                             fleet_beacon_get_heard_source (fleet->beacon));
}

struct fleet *
fleet_new (const struct fleet_settings *settings,
           struct fleet_platform *platform, GError **error)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  fleet->events.ops = &events_ops;
  fleet->owner_listener.ops = &listener_ops;
  fleet->directory_listener.ops = &directory_ops;
  fleet->beacon_owner.ops = &beacon_ops;
  fleet->settings = settings;
  fleet->platform = platform;
  fleet->incarnation = choose_incarnation ();
  divide_machine (fleet);
  fleet->loop = g_main_loop_new (NULL, FALSE);
  fleet->directory
      = vm_directory_new (&fleet->directory_listener, settings->vm);
  set_hub_settings (fleet);
  fleet->hub = peer_hub_new (&fleet->hub_settings, fleet->incarnation, error);
  if (fleet->hub != NULL)
    create_components (fleet);
  if (fleet->hub != NULL)
    fleet->beacon
        = fleet_beacon_new (settings, fleet->incarnation, fleet->directory,
                            &fleet->beacon_owner, error);
  if (fleet->beacon != NULL)
    use_beacon (fleet);
  if (fleet->beacon != NULL && open_metrics (fleet, error))
    return fleet;
  fleet_free (fleet);
  return NULL;
}

void
fleet_free (struct fleet *fleet)
{
  if (fleet->tick_source != 0)
    g_source_remove (fleet->tick_source);
  g_clear_pointer (&fleet->metrics_server, metrics_server_free);
  g_clear_pointer (&fleet->loop_delay, loop_delay_free);
  g_clear_pointer (&fleet->beacon, fleet_beacon_free);
  g_clear_pointer (&fleet->hub, peer_hub_free);
  g_clear_pointer (&fleet->home, fleet_home_free);
  g_clear_pointer (&fleet->admission, fleet_admission_free);
  g_clear_pointer (&fleet->owner, fleet_owner_free);
  g_clear_pointer (&fleet->listing, fleet_listing_free);
  g_clear_pointer (&fleet->shards, fleet_shards_free);
  vm_directory_free (fleet->directory);
  g_clear_pointer (&fleet->routes, route_table_unref);
  g_clear_pointer (&fleet->routes_text, g_bytes_unref);
  g_ptr_array_unref (fleet->hub_settings.peer_seeds);
  g_ptr_array_unref (fleet->hub_settings.keys);
  g_main_loop_unref (fleet->loop);
  g_free (fleet);
}

void
fleet_run (struct fleet *fleet)
{
  guint sources[] = {
    g_unix_signal_add (SIGTERM, on_stop_signal, fleet),
    g_unix_signal_add (SIGINT, on_stop_signal, fleet),
    g_unix_signal_add (SIGHUP, on_reload_signal, fleet),
  };

  event_log_fields (
      EVENT_FLEET_STARTED, FIELD_INT ("incarnation", fleet->incarnation),
      FIELD_TEXT ("availability_zone", fleet->settings->availability_zone));
  fleet->last_tick_us = clock_now_us ();
  fleet->tick_source = g_timeout_add (TICK_MS, on_tick, fleet);
  fleet->platform->ops->follow (fleet->platform, &fleet->events);
  g_main_loop_run (fleet->loop);
  event_log_fields (EVENT_FLEET_STOPPED,
                    FIELD_INT ("jobs", fleet_home_count_jobs (fleet->home)));
  for (guint i = 0; i < G_N_ELEMENTS (sources); i++)
    g_source_remove (sources[i]);
}
