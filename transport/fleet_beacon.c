#include "transport/fleet_beacon.h"

#include "base/hash64.h"
#include "base/list.h"
#include "base/loop_turn.h"
#include "coordination/beacon_rate.h"
#include "coordination/sent_beacons.h"
#include "protocol/beacon.h"
#include "transport/peer_socket.h"

#include <string.h>

/* One of this many beacons names other VMs.  */
#define GOSSIP_INTERVAL_BEACONS 8

/* Before the first beacon.  */
#define START_DELAY_MS 50

/* Received beacons are read at this interval, several at a time.  */
#define READ_INTERVAL_US (20 * USEC_PER_MSEC)

/* CPUs are sent as integers, in thousandths.  */
#define MILLI 1000.0

G_STATIC_ASSERT (FREE_SLOTS_SIZES == BEACON_SIZES);
G_STATIC_ASSERT (ROOM_PRIORITIES == BEACON_PRIORITIES);
G_STATIC_ASSERT (EVACUATION_MAX_ZONES == BEACON_ZONES_MAX);
G_STATIC_ASSERT (CALLER_LIST_MAX == BEACON_CALLERS_MAX);
G_STATIC_ASSERT (CONFIRMATIONS_MAX == BEACON_CONFIRMATIONS_MAX);
G_STATIC_ASSERT (REVOKED_MAX == BEACON_REVOKED_MAX);

struct fleet_beacon
{
  struct peer_socket_owner socket_owner;
  struct peer_heard_source heard_source;
  struct peer_socket *socket;
  const struct fleet_settings *settings;
  struct vm_directory *directory;
  struct fleet_beacon_owner *owner;
  guint64 incarnation;
  guint32 sequence;
  struct sent_beacons sent;
  guint next_gossip; /* index in the directory of the next VM to name */
  guint timer;
  GHashTable *addresses; /* ip -> GSocketAddress */
};

static void
decode_room (const struct beacon_room *from, struct vm_room *to)
{
  to->service_hash = from->service;
  to->n_slots = from->n_slots;
  free_slots_init (&to->free_slots, MAX (from->unit_milli_cpus, 1u) / MILLI);
  for (guint i = 0; i < FREE_SLOTS_SIZES; i++)
    to->free_slots.counts[i] = (guint8)from->free_slots[i];
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    to->n_queued[i] = from->n_queued[i];
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    to->starts_per_s[i] = from->starts_per_s[i];
  to->ends_per_s = from->ends_per_s;
}

static void
encode_room (const struct vm_room *from, struct beacon_room *to)
{
  to->service = from->service_hash;
  to->n_slots = from->n_slots;
  to->unit_milli_cpus = (guint)(from->free_slots.unit_cpus * MILLI + 0.5);
  for (guint i = 0; i < FREE_SLOTS_SIZES; i++)
    to->free_slots[i] = (char)from->free_slots.counts[i];
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    to->n_queued[i] = from->n_queued[i];
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    to->starts_per_s[i] = from->starts_per_s[i];
  to->ends_per_s = from->ends_per_s;
}

static void
decode_evacuation (const struct beacon *from, struct evacuation *to)
{
  to->position = from->evacuation_position;
  to->n_zones
      = MIN (from->evacuated_zones.evacuated_zones_len, EVACUATION_MAX_ZONES);
  for (guint i = 0; i < to->n_zones; i++)
    to->zones[i] = from->evacuated_zones.evacuated_zones_val[i];
}

static void
encode_listing (const struct listing_state *from, struct beacon *to)
{
  gint64 age_us = clock_now_us () - from->as_of_us;

  to->listing_position = from->position;
  to->listing_changed = from->changed;
  to->listing_age_ms = (guint)MIN (age_us / USEC_PER_MSEC, G_MAXINT32);
  to->is_listing_read = from->is_read;
}

static void
decode_callers (const struct beacon *from, struct caller_list *to)
{
  to->n = MIN (from->callers.callers_len, CALLER_LIST_MAX);
  for (guint i = 0; i < to->n; i++)
    {
      const struct beacon_caller *caller = &from->callers.callers_val[i];

      to->callers[i]
          = (struct caller_demand){ caller->caller, caller->demand_milli };
    }
}

static void
encode_callers (const struct caller_list *from,
                struct beacon_caller to[CALLER_LIST_MAX])
{
  for (guint i = 0; i < from->n; i++)
    to[i] = (struct beacon_caller){ from->callers[i].caller,
                                    from->callers[i].demand_milli };
}

/* Identifies a VM and its incarnation in confirmations.  */
static guint64
hash_receiver (const char *vm, guint64 incarnation)
{
  return hash64_pair (hash64_string (vm), incarnation);
}

/* Passes on what LIST, of a beacon from VM, says to this VM.  */
static void
handle_confirmations (struct fleet_beacon *b, const struct vm *vm,
                      const struct beacon_confirmations *list)
{
  guint64 own = hash_receiver (b->settings->vm, b->incarnation);

  for (guint i = 0; i < list->list.list_len; i++)
    {
      const struct beacon_confirmation *entry = &list->list.list_val[i];

      if (entry->receiver == own)
        b->owner->ops->confirmed (
            b->owner, vm, sent_beacons_get_us (&b->sent, entry->sequence),
            entry->revoked.revoked_val, entry->revoked.revoked_len);
    }
}

static void
handle_beacon (struct fleet_beacon *b, const struct beacon *message,
               const struct beacon_confirmations *confirmations)
{
  struct vm_room rooms[VM_ROOMS_MAX];
  struct vm_beacon received = {
    .name = message->sender.name,
    .ip = message->sender.ip,
    .availability_zone = message->sender.availability_zone,
    .incarnation = message->incarnation,
    .sequence = message->sequence,
    .interval_ms = message->interval_ms,
    .is_leaving = message->is_leaving,
    .held = message->held,
    .capacity = message->capacity,
    .routes_version = message->routes_version,
    .rooms = rooms,
    .n_rooms = MIN (message->rooms.rooms_len, VM_ROOMS_MAX),
  };
  gint64 now_us = clock_now_us ();
  const struct vm *vm;

  decode_evacuation (message, &received.evacuation);
  received.listing = (struct listing_state){
    .position = message->listing_position,
    .changed = message->listing_changed,
    .as_of_us = now_us - message->listing_age_ms * USEC_PER_MSEC,
    .is_read = message->is_listing_read,
  };
  decode_callers (message, &received.callers);
  for (guint i = 0; i < received.n_rooms; i++)
    decode_room (&message->rooms.rooms_val[i], &rooms[i]);
  for (guint i = 0; i < message->known.known_len; i++)
    {
      const struct beacon_vm *known = &message->known.known_val[i];

      if (known->name[0] != '\0')
        vm_directory_add (b->directory, known->name, known->ip,
                          known->availability_zone, now_us);
    }
  vm = vm_directory_handle_beacon (b->directory, &received, now_us);
  if (vm == NULL)
    return;
  handle_confirmations (b, vm, confirmations);
  b->owner->ops->beacon_received (b->owner, vm);
}

static void
on_datagram (struct peer_socket_owner *owner, const guint8 *data, gsize length)
{
  struct fleet_beacon *b
      = list_entry (owner, struct fleet_beacon, socket_owner);
  struct beacon_confirmations confirmations;
  struct beacon message;

  if (!beacon_decode (data, length, &message, &confirmations))
    return;
  handle_beacon (b, &message, &confirmations);
  beacon_clear (&message);
  beacon_clear_confirmations (&confirmations);
}

static const struct peer_socket_owner_ops socket_ops = {
  .received = on_datagram,
};

static GSocketAddress *
get_address (struct fleet_beacon *b, const char *ip)
{
  GSocketAddress *address = g_hash_table_lookup (b->addresses, ip);
  g_autofree char *text = NULL;

  if (address != NULL)
    return address;
  text = g_strdup_printf ("%s:%u", ip, b->settings->beacon_port);
  address = peer_address_parse (text);
  if (address != NULL)
    g_hash_table_insert (b->addresses, g_strdup (ip), address);
  return address;
}

/* Names some live VMs, in rotation, so that every VM learns of every other.  A
   VM that is not live is not named: otherwise VMs would keep reminding each
   other of it, and none would ever remove it.  Returns the number of
   entries.  */
static guint
fill_gossip (struct fleet_beacon *b, struct beacon_vm *known)
{
  const GPtrArray *vms = vm_directory_list (b->directory);
  guint n = 0;

  for (guint i = 0; i < vms->len && n < BEACON_VMS_MAX; i++)
    {
      const struct vm *vm
          = g_ptr_array_index (vms, b->next_gossip++ % vms->len);

      if (vm->is_live)
        known[n++]
            = (struct beacon_vm){ vm->name, vm->ip, vm->availability_zone };
    }
  return n;
}

static peer_credential_heard
get_heard (struct fleet_beacon *b, const char *name)
{
  const struct vm *vm = vm_directory_find (b->directory, name);
  peer_credential_heard heard = { 0 };

  if (vm == NULL)
    return heard;
  heard.incarnation = vm->incarnation;
  heard.sequence = vm_get_settled_sequence (vm, loop_turn_get_settled_us ());
  return heard;
}

static peer_credential_heard
source_get_heard (struct peer_heard_source *source, const char *vm)
{
  return get_heard (list_entry (source, struct fleet_beacon, heard_source),
                    vm);
}

static const struct peer_heard_source_ops heard_source_ops = {
  .get_heard = source_get_heard,
};

struct peer_heard_source *
fleet_beacon_get_heard_source (struct fleet_beacon *b)
{
  return &b->heard_source;
}

gint64
fleet_beacon_get_sent_us (const struct fleet_beacon *b,
                          const peer_credential_heard *heard)
{
  if (heard->incarnation != b->incarnation)
    return 0;
  return sent_beacons_get_us (&b->sent, heard->sequence);
}

/* Appends what this VM, as a home, tells owners to the beacon of LENGTH bytes
   in DATA.  Returns the new length.  */
static gsize
append_confirmations (struct fleet_beacon *b, guint8 data[BEACON_MAX_LENGTH],
                      gsize length)
{
  struct owner_confirmation list[CONFIRMATIONS_MAX];
  struct beacon_confirmation entries[CONFIRMATIONS_MAX];
  guint n = b->owner->ops->list_confirmed (b->owner, list);
  const struct beacon_confirmations message = { { n, entries } };

  for (guint i = 0; i < n; i++)
    {
      peer_credential_heard heard = get_heard (b, list[i].vm);

      entries[i] = (struct beacon_confirmation){
        .receiver = hash_receiver (list[i].vm, heard.incarnation),
        .sequence = list[i].is_complete ? heard.sequence : 0,
        .revoked = { list[i].n_revoked, list[i].revoked },
      };
    }
  return n > 0 ? beacon_append_confirmations (&message, data, length) : length;
}

/* Encodes OWN, the state of this VM, for receivers that get a beacon every
   INTERVAL_MS.  At the full rate only some name other VMs.  */
static gsize
encode_beacon (struct fleet_beacon *b, const struct vm_beacon *own,
               guint interval_ms, gboolean is_full_rate,
               guint8 data[BEACON_MAX_LENGTH])
{
  struct beacon_room sent[VM_ROOMS_MAX];
  struct beacon_vm known[BEACON_VMS_MAX];
  struct beacon_caller callers[CALLER_LIST_MAX];
  guint64 evacuated[EVACUATION_MAX_ZONES];
  struct beacon message = {
    .sender
    = { b->settings->vm, b->settings->ip, b->settings->availability_zone },
    .incarnation = b->incarnation,
    .sequence = b->sequence,
    .interval_ms = interval_ms,
  };

  message.is_leaving = own->is_leaving;
  message.held = own->held;
  message.capacity = own->capacity;
  message.routes_version = own->routes_version;
  message.evacuation_position = own->evacuation.position;
  message.evacuated_zones.evacuated_zones_len = own->evacuation.n_zones;
  message.evacuated_zones.evacuated_zones_val = evacuated;
  memcpy (evacuated, own->evacuation.zones, sizeof evacuated);
  encode_listing (&own->listing, &message);
  encode_callers (&own->callers, callers);
  message.callers.callers_len = own->callers.n;
  message.callers.callers_val = callers;
  for (guint i = 0; i < own->n_rooms; i++)
    encode_room (&own->rooms[i], &sent[i]);
  message.rooms.rooms_len = own->n_rooms;
  message.rooms.rooms_val = sent;
  message.known.known_len = fill_gossip (b, known);
  message.known.known_val = known;
  return beacon_encode (&message, data);
}

static enum beacon_class
classify (const struct fleet_beacon *b, const struct beacon_rate *rate,
          const struct vm *vm)
{
  const struct beacon_receiver receiver = {
    .is_local
    = g_str_equal (vm->availability_zone, b->settings->availability_zone),
    .is_live = vm->is_live,
    .has_work = vm->n_works > 0,
  };

  return beacon_rate_classify (rate, &receiver);
}

/* Sends the beacon of OWN to the VMs of CLASS to which it is due, or to all of
   these if IS_FORCED.  */
static void
send_to_class (struct fleet_beacon *b, const struct beacon_rate *rate,
               const struct vm_beacon *own, enum beacon_class class,
               gboolean is_forced)
{
  const GPtrArray *vms = vm_directory_list (b->directory);
  g_autoptr (GPtrArray) to = g_ptr_array_sized_new (vms->len);
  guint interval_ms = beacon_rate_get_ms (rate, class);
  gint64 now_us = clock_now_us ();
  gint64 due_us
      = now_us + beacon_rate_get_ms (rate, BEACON_FULL) * USEC_PER_MSEC / 2;
  guint8 data[BEACON_MAX_LENGTH];
  gsize length;

  for (guint i = 0; i < vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (vms, i);
      GSocketAddress *address = get_address (b, vm->ip);

      if (address == NULL || classify (b, rate, vm) != class
          || (!is_forced && vm->beacon_due_us > due_us))
        continue;
      vm_directory_set_beacon_due (b->directory, vm,
                                   now_us + interval_ms * USEC_PER_MSEC);
      g_ptr_array_add (to, address);
    }
  if (to->len == 0)
    return;
  length = encode_beacon (b, own, interval_ms, class == BEACON_FULL, data);
  /* Owners that have work of this VM get beacons at the full rate.  */
  if (length > 0 && class == BEACON_FULL)
    length = append_confirmations (b, data, length);
  if (length > 0)
    peer_socket_send_all (b->socket, to, data, length);
}

static struct beacon_rate
get_rate (const struct fleet_beacon *b, const struct vm_beacon *own)
{
  const char *zone = b->settings->availability_zone;

  return (struct beacon_rate){
    .n_vms = vm_directory_list (b->directory)->len,
    .n_zone_vms = vm_directory_count_zone (b->directory, zone),
    .is_awaited = own->held != 0 || own->n_rooms > 0 || own->listing.is_read,
  };
}

/* Sends beacons to the VMs to which one is due, or to all if IS_FORCED.  */
static void
send_beacons (struct fleet_beacon *b, gboolean is_forced)
{
  struct vm_room rooms[VM_ROOMS_MAX];
  struct vm_beacon own = { .rooms = rooms };
  struct beacon_rate rate;

  sent_beacons_add (&b->sent, ++b->sequence, clock_now_us ());
  b->owner->ops->fill_beacon (b->owner, &own, rooms);
  rate = get_rate (b, &own);
  for (guint class = 0; class < N_BEACON_CLASSES; class ++)
    send_to_class (b, &rate, &own, class, is_forced);
}

void
fleet_beacon_send (struct fleet_beacon *b)
{
  send_beacons (b, TRUE);
}

static gboolean
on_timer (gpointer data)
{
  struct fleet_beacon *b = data;
  struct beacon_rate rate = { .n_vms = vm_directory_list (b->directory)->len };

  vm_directory_advance (b->directory, clock_now_us ());
  send_beacons (b, FALSE);
  b->timer
      = g_timeout_add (beacon_rate_get_ms (&rate, BEACON_FULL), on_timer, b);
  return G_SOURCE_REMOVE;
}

struct fleet_beacon *
fleet_beacon_new (const struct fleet_settings *settings, guint64 incarnation,
                  struct vm_directory *directory,
                  struct fleet_beacon_owner *owner, GError **error)
{
  struct fleet_beacon *b = g_new0 (struct fleet_beacon, 1);

  b->socket_owner.ops = &socket_ops;
  b->heard_source.ops = &heard_source_ops;
  b->settings = settings;
  b->incarnation = incarnation;
  b->directory = directory;
  b->owner = owner;
  b->socket = peer_socket_new (settings->ip, settings->beacon_port,
                               &b->socket_owner, error);
  if (b->socket == NULL)
    {
      g_free (b);
      return NULL;
    }
  peer_socket_set_read_interval (b->socket, READ_INTERVAL_US);
  b->addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        g_object_unref);
  b->timer = g_timeout_add (START_DELAY_MS, on_timer, b);
  return b;
}

void
fleet_beacon_free (struct fleet_beacon *b)
{
  g_source_remove (b->timer);
  peer_socket_free (b->socket);
  g_hash_table_unref (b->addresses);
  g_free (b);
}
