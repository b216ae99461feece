/* Beacons on the loopback: what a VM sends and what it learns from others.  */
#include "base/hash64.h"
#include "base/loop_turn.h"
#include "protocol/beacon.h"
#include "transport/fleet_beacon.h"

#include <gio/gio.h>

#define OWN_IP "127.0.0.1"
#define PEER_IP "127.0.0.2"
#define INCARNATION 77
#define MAX_TRIES 20

/* More beacons than it takes until one tells of other VMs.  */
#define N_BEACONS 20

struct bed
{
  struct vm_directory_listener directory_owner;
  struct fleet_beacon_owner beacon_owner;
  struct fleet_settings settings;
  struct vm_directory *directory;
  struct fleet_beacon *beacon;
  GSocket *peer;
  guint n_heard;
  gint64 confirmed_us; /* as the last confirmation told */
  guint n_revoked;
};

static void
on_found (struct vm_directory_listener *owner, const struct vm *vm)
{
}

static void
on_lost (struct vm_directory_listener *owner, const struct vm *vm,
         guint64 incarnation)
{
}

static const struct vm_directory_listener_ops directory_ops = {
  .vm_became_live = on_found,
  .vm_lost = on_lost,
};

static void
on_fill (struct fleet_beacon_owner *owner, struct vm_beacon *news,
         struct vm_room *rooms)
{
  rooms[0] = (struct vm_room){ .service_hash = 1,
                               .n_slots = 8,
                               .n_queued = { 3, 0, 0, 2 },
                               .starts_per_s = { 0, 900, 0, 1 },
                               .ends_per_s = 901 };
  free_slots_init (&rooms[0].free_slots, 2.5);
  free_slots_add_upstream (&rooms[0].free_slots, 1000);
  news->n_rooms = 1;
  news->held = 6;
  news->routes_version = 41;
  news->callers.n = 2;
  news->callers.callers[0] = (struct caller_demand){ 11, 3000 };
  news->callers.callers[1] = (struct caller_demand){ 12, 1 };
}

static void
on_heard (struct fleet_beacon_owner *owner, const struct vm *vm)
{
  struct bed *bed
      = (struct bed *)((char *)owner - offsetof (struct bed, beacon_owner));

  g_assert_cmpstr (vm->name, ==, "peer");
  bed->n_heard++;
}

/* This VM has batches at the peer, and has stopped one of them.  */
static guint
on_list_confirmed (struct fleet_beacon_owner *owner,
                   struct owner_confirmation *list)
{
  list[0] = (struct owner_confirmation){
    .vm = "peer", .revoked = { 6 }, .n_revoked = 1, .is_complete = TRUE
  };
  return 1;
}

static void
on_confirmed (struct fleet_beacon_owner *owner, const struct vm *vm,
              gint64 confirmed_us, const guint *revoked, guint n_revoked)
{
  struct bed *bed
      = (struct bed *)((char *)owner - offsetof (struct bed, beacon_owner));

  bed->confirmed_us = confirmed_us;
  bed->n_revoked = n_revoked;
}

static const struct fleet_beacon_owner_ops beacon_ops = {
  .list_confirmed = on_list_confirmed,
  .confirmed = on_confirmed,
  .fill_beacon = on_fill,
  .beacon_received = on_heard,
};

/* The peer's socket; its port is that of all beacons.  */
static GSocket *
open_peer (guint *port)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                                  G_SOCKET_PROTOCOL_UDP, NULL);
  g_autoptr (GSocketAddress) any
      = g_inet_socket_address_new_from_string (PEER_IP, 0);
  g_autoptr (GSocketAddress) bound = NULL;

  g_assert_true (g_socket_bind (socket, any, FALSE, NULL));
  bound = g_socket_get_local_address (socket, NULL);
  *port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  return socket;
}

static struct bed *
bed_new (void)
{
  struct bed *bed = g_new0 (struct bed, 1);

  bed->directory_owner.ops = &directory_ops;
  bed->beacon_owner.ops = &beacon_ops;
  bed->directory = vm_directory_new (&bed->directory_owner, "own");
  bed->settings.vm = (char *)"own";
  bed->settings.ip = (char *)OWN_IP;
  bed->settings.availability_zone = (char *)"a";
  /* The port may be taken at the other address.  */
  for (guint i = 0; i < MAX_TRIES && bed->beacon == NULL; i++)
    {
      g_clear_object (&bed->peer);
      bed->peer = open_peer (&bed->settings.beacon_port);
      bed->beacon
          = fleet_beacon_new (&bed->settings, INCARNATION, bed->directory,
                              &bed->beacon_owner, NULL);
    }
  g_assert_nonnull (bed->beacon);
  g_socket_set_blocking (bed->peer, FALSE);
  vm_directory_add (bed->directory, "peer", PEER_IP, "b", clock_now_us ());
  return bed;
}

static void
bed_free (struct bed *bed)
{
  fleet_beacon_free (bed->beacon);
  vm_directory_free (bed->directory);
  g_object_unref (bed->peer);
  g_free (bed);
}

/* The next beacon that the peer gets, and its confirmations, unless that is
   NULL.  */
static void
receive_all (struct bed *bed, struct beacon *message,
             struct beacon_confirmations *confirmations)
{
  char data[BEACON_MAX_LENGTH];
  gssize length;

  while ((length = g_socket_receive (bed->peer, data, sizeof data, NULL, NULL))
         < 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_true (beacon_decode ((const guint8 *)data, (gsize)length, message,
                                confirmations));
}

static void
receive (struct bed *bed, struct beacon *message)
{
  receive_all (bed, message, NULL);
}

/* Sends a beacon of VM NAME, at IP, from the peer's socket.  CONFIRMATIONS may
   be NULL.  */
static void
send_confirmations (struct bed *bed, const char *name, const char *ip,
                    guint32 sequence,
                    const struct beacon_confirmations *confirmations)
{
  struct beacon_caller callers[] = { { 21, 700 }, { 22, 5 } };
  struct beacon message
      = { .sender = { (char *)name, (char *)ip, (char *)"b" },
          .incarnation = 5,
          .sequence = sequence,
          .callers = { G_N_ELEMENTS (callers), callers } };
  g_autoptr (GSocketAddress) own = g_inet_socket_address_new_from_string (
      OWN_IP, bed->settings.beacon_port);
  guint8 data[BEACON_MAX_LENGTH];
  gsize length = beacon_encode (&message, data);

  if (confirmations != NULL)
    length = beacon_append_confirmations (confirmations, data, length);
  g_assert_cmpint (g_socket_send_to (bed->peer, own, (const char *)data,
                                     length, NULL, NULL),
                   ==, (gssize)length);
}

static void
send_beacon (struct bed *bed, const char *name, const char *ip)
{
  send_confirmations (bed, name, ip, 1, NULL);
}

static void
test_sent (void)
{
  struct bed *bed = bed_new ();
  const struct beacon_room *room;
  struct beacon message;

  receive (bed, &message);
  g_assert_cmpstr (message.sender.name, ==, "own");
  g_assert_cmpstr (message.sender.ip, ==, OWN_IP);
  g_assert_cmpuint (message.incarnation, ==, INCARNATION);
  g_assert_cmpuint (message.held, ==, 6);
  g_assert_cmpuint (message.routes_version, ==, 41);
  g_assert_cmpuint (message.callers.callers_len, ==, 2);
  g_assert_cmpuint (message.callers.callers_val[0].caller, ==, 11);
  g_assert_cmpuint (message.callers.callers_val[0].demand_milli, ==, 3000);
  g_assert_cmpuint (message.callers.callers_val[1].caller, ==, 12);
  g_assert_cmpuint (message.rooms.rooms_len, ==, 1);
  room = &message.rooms.rooms_val[0];
  g_assert_cmpuint (room->n_queued[0], ==, 3);
  g_assert_cmpuint (room->n_queued[3], ==, 2);
  g_assert_cmpuint (room->starts_per_s[1], ==, 900);
  g_assert_cmpuint (room->ends_per_s, ==, 901);
  g_assert_cmpuint (room->unit_milli_cpus, ==, 2500);
  g_assert_cmpuint ((guint8)room->free_slots[0], ==, FREE_SLOTS_MAX);
  g_assert_cmpuint ((guint8)room->free_slots[7], ==, 222);
  beacon_clear (&message);
  bed_free (bed);
}

static void
test_heard (void)
{
  struct bed *bed = bed_new ();
  const struct vm *vm;

  send_beacon (bed, "peer", PEER_IP);
  while (bed->n_heard == 0)
    g_main_context_iteration (NULL, TRUE);
  vm = vm_directory_find (bed->directory, "peer");
  g_assert_true (vm->is_live);
  g_assert_cmpuint (vm->callers.n, ==, 2);
  g_assert_cmpuint (vm->callers.callers[0].caller, ==, 21);
  g_assert_cmpuint (vm->callers.callers[0].demand_milli, ==, 700);
  g_assert_cmpuint (vm->callers.callers[1].caller, ==, 22);
  bed_free (bed);
}

/* Collects the names that are told in some beacons.  */
static void
collect_told (struct bed *bed, GHashTable *told)
{
  for (guint i = 0; i < N_BEACONS; i++)
    {
      struct beacon message;

      receive (bed, &message);
      for (guint k = 0; k < message.known.known_len; k++)
        g_hash_table_add (told, g_strdup (message.known.known_val[k].name));
      beacon_clear (&message);
    }
}

/* VMs that live are told of.  One that is silent is not, or VMs would remind
   each other of it for ever.  */
static void
test_told_of (void)
{
  g_autoptr (GHashTable) told
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct vm_beacon live = { .name = "live",
                            .ip = "127.0.0.3",
                            .availability_zone = "b",
                            .incarnation = 1,
                            .sequence = 1 };
  struct bed *bed = bed_new ();

  /* Heard a little later than now, so that a slow machine does not lose it. */
  vm_directory_handle_beacon (bed->directory, &live,
                              clock_now_us () + 60 * USEC_PER_SEC);
  vm_directory_add (bed->directory, "silent", "127.0.0.4", "b",
                    clock_now_us ());
  collect_told (bed, told);
  g_assert_true (g_hash_table_contains (told, "live"));
  g_assert_false (g_hash_table_contains (told, "silent"));
  bed_free (bed);
}

/* Waits for a beacon that tells the peer that its beacon 1 was heard, with the
   batch that is stopped.  Returns its sequence.  */
static guint32
wait_told (struct bed *bed)
{
  for (guint i = 0; i < N_BEACONS; i++)
    {
      struct beacon_confirmations got;
      const struct beacon_confirmation *entry;
      struct beacon message;
      guint32 sequence = 0;

      receive_all (bed, &message, &got);
      entry = got.list.list_val;
      if (got.list.list_len == 1 && entry->sequence == 1)
        {
          g_assert_cmpuint (entry->receiver, ==,
                            hash64_pair (hash64_string ("peer"), 5));
          g_assert_cmpuint (entry->revoked.revoked_len, ==, 1);
          g_assert_cmpuint (entry->revoked.revoked_val[0], ==, 6);
          sequence = message.sequence;
        }
      beacon_clear (&message);
      beacon_clear_confirmations (&got);
      if (sequence != 0)
        return sequence;
    }
  g_assert_not_reached ();
}

/* A home tells an owner by beacons which batches it no longer wants, and which
   of the owner's beacons it had heard by then, which tells the owner how old
   that is by its own clock.  What names another incarnation, or a beacon that
   was never sent, confirms nothing.  */
static void
test_confirmed (void)
{
  struct bed *bed = bed_new ();
  guint revoked[] = { 1, 2 };
  struct beacon_confirmation entry = { .revoked = { 2, revoked } };
  const struct beacon_confirmations list = { { 1, &entry } };
  gint64 began_us = clock_now_us ();
  guint64 own = hash64_pair (hash64_string ("own"), INCARNATION);

  loop_turn_follow ();
  send_beacon (bed, "peer", PEER_IP);
  while (bed->n_heard == 0)
    g_main_context_iteration (NULL, TRUE);
  vm_directory_begin_work (bed->directory, "peer", clock_now_us ());
  entry.sequence = wait_told (bed);
  entry.receiver = own + 1;
  send_confirmations (bed, "peer", PEER_IP, 2, &list);
  while (bed->n_heard == 1)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (bed->n_revoked, ==, 0);
  entry.receiver = own;
  send_confirmations (bed, "peer", PEER_IP, 3, &list);
  while (bed->n_heard == 2)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (bed->n_revoked, ==, 2);
  g_assert_cmpint (bed->confirmed_us, >=, began_us);
  g_assert_cmpint (bed->confirmed_us, <=, clock_now_us ());
  entry.sequence += 1000;
  send_confirmations (bed, "peer", PEER_IP, 4, &list);
  while (bed->n_heard == 3)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpint (bed->confirmed_us, ==, 0);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet-beacon/sent", test_sent);
  g_test_add_func ("/fleet-beacon/heard", test_heard);
  g_test_add_func ("/fleet-beacon/told-of", test_told_of);
  g_test_add_func ("/fleet-beacon/confirmed", test_confirmed);
  return g_test_run ();
}
