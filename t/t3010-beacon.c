/* Beacons: what goes out comes in, and nothing else does.  */
#include "protocol/beacon.h"
#include "t/support/message.h"

#include <string.h>

#define N_MUTATIONS 20000
#define LONG_NAME                                                             \
  "n23456789012345678901234567890123456789012345678901234567890123"
#define TOO_LONG_NAME LONG_NAME "4"

/* A beacon whose texts and lists have their greatest lengths.  */
struct sample
{
  struct beacon_room rooms[BEACON_ROOMS_MAX];
  struct beacon_vm known[BEACON_VMS_MAX + 2];
  struct beacon_caller callers[BEACON_CALLERS_MAX + 1];
  struct beacon message;
};

static struct beacon_vm
make_vm (const char *name)
{
  return (struct beacon_vm){ (char *)name, (char *)LONG_NAME,
                             (char *)LONG_NAME };
}

static void
fill (struct sample *sample)
{
  struct beacon *message = &sample->message;

  memset (sample, 0, sizeof *sample);
  message->sender = make_vm (LONG_NAME);
  message->incarnation = G_MAXUINT64;
  message->sequence = G_MAXUINT32;
  message->is_leaving = TRUE;
  message->held = G_GUINT64_CONSTANT (0x8000000000000001);
  message->routes_version = 77;
  for (guint i = 0; i < BEACON_ROOMS_MAX; i++)
    {
      sample->rooms[i] = (struct beacon_room){
        .service = i,
        .n_slots = i + 1,
        .unit_milli_cpus = i + 2,
        .n_queued = { i + 3, i + 4, i + 5, i + 6 },
        .starts_per_s = { i + 7, i + 8, i + 9, G_MAXUINT32 },
        .ends_per_s = i + 11,
      };
      memset (sample->rooms[i].free_slots, (int)(i + 10), BEACON_SIZES);
    }
  for (guint i = 0; i < G_N_ELEMENTS (sample->known); i++)
    sample->known[i] = make_vm (LONG_NAME);
  for (guint i = 0; i < G_N_ELEMENTS (sample->callers); i++)
    sample->callers[i] = (struct beacon_caller){ G_MAXUINT64 - i, i };
  message->callers.callers_len = BEACON_CALLERS_MAX;
  message->callers.callers_val = sample->callers;
  message->rooms.rooms_len = BEACON_ROOMS_MAX;
  message->rooms.rooms_val = sample->rooms;
  message->known.known_len = BEACON_VMS_MAX;
  message->known.known_val = sample->known;
}

static void
assert_same_vm (const struct beacon_vm *a, const struct beacon_vm *b)
{
  g_assert_cmpstr (a->name, ==, b->name);
  g_assert_cmpstr (a->ip, ==, b->ip);
  g_assert_cmpstr (a->availability_zone, ==, b->availability_zone);
}

/* Decodes a copy that ends where the data does, so that the sanitizer sees a
   read behind it.  */
static gboolean
decode (const guint8 *data, gsize length, struct beacon *message)
{
  g_autofree guint8 *copy = g_memdup2 (data, length);
  struct beacon_confirmations confirmations;

  if (!beacon_decode (copy, length, message, &confirmations))
    return FALSE;
  beacon_clear_confirmations (&confirmations);
  return TRUE;
}

static guint
count_known (const struct beacon *message)
{
  guint8 data[BEACON_MAX_LENGTH];
  gsize length = beacon_encode (message, data);
  struct beacon decoded;
  guint n_known;

  g_assert_cmpuint (length, >, 0);
  g_assert_true (decode (data, length, &decoded));
  n_known = decoded.known.known_len;
  for (guint i = 0; i < n_known; i++)
    assert_same_vm (&decoded.known.known_val[i], &message->known.known_val[i]);
  beacon_clear (&decoded);
  return n_known;
}

static void
test_round_trip (void)
{
  guint8 data[BEACON_MAX_LENGTH];
  struct sample sample;
  struct beacon got;
  gsize length;

  fill (&sample);
  length = beacon_encode (&sample.message, data);
  g_assert_cmpuint (length, >, 0);
  g_assert_true (decode (data, length, &got));
  assert_same_vm (&got.sender, &sample.message.sender);
  g_assert_cmpuint (got.incarnation, ==, G_MAXUINT64);
  g_assert_cmpuint (got.sequence, ==, G_MAXUINT32);
  g_assert_true (got.is_leaving);
  g_assert_cmpuint (got.held, ==, sample.message.held);
  g_assert_cmpuint (got.routes_version, ==, 77);
  g_assert_cmpmem (got.rooms.rooms_val,
                   got.rooms.rooms_len * sizeof *got.rooms.rooms_val,
                   sample.rooms, sizeof sample.rooms);
  g_assert_cmpuint (got.callers.callers_len, ==, BEACON_CALLERS_MAX);
  for (guint i = 0; i < BEACON_CALLERS_MAX; i++)
    {
      g_assert_cmpuint (got.callers.callers_val[i].caller, ==,
                        G_MAXUINT64 - i);
      g_assert_cmpuint (got.callers.callers_val[i].demand_milli, ==, i);
    }
  beacon_clear (&got);
  beacon_clear (&got);
  sample.message.callers.callers_len = 0;
  g_assert_cmpuint (count_known (&sample.message), ==, BEACON_VMS_MAX);
}

/* With every list at its bound, the beacon must still be sent and name a VM:
   otherwise VMs would no longer learn of each other.  */
static void
test_all_full (void)
{
  guint64 zones[BEACON_ZONES_MAX] = { 0 };
  struct sample sample;

  fill (&sample);
  sample.message.evacuated_zones.evacuated_zones_len = BEACON_ZONES_MAX;
  sample.message.evacuated_zones.evacuated_zones_val = zones;
  g_assert_cmpuint (count_known (&sample.message), >=, 1);
}

/* Known VMs that do not fit are left out; the rest goes.  */
static void
test_too_many_known (void)
{
  struct sample sample;

  fill (&sample);
  sample.message.callers.callers_len = 0;
  sample.message.known.known_len = G_N_ELEMENTS (sample.known);
  g_assert_cmpuint (count_known (&sample.message), ==, BEACON_VMS_MAX);
  sample.known[2] = make_vm (TOO_LONG_NAME);
  g_assert_cmpuint (count_known (&sample.message), ==, 2);
  sample.message.known.known_len = 0;
  g_assert_cmpuint (count_known (&sample.message), ==, 0);
}

static void
test_cannot_encode (void)
{
  guint8 data[BEACON_MAX_LENGTH];
  struct sample sample;

  fill (&sample);
  sample.message.sender = make_vm (TOO_LONG_NAME);
  g_assert_cmpuint (beacon_encode (&sample.message, data), ==, 0);
  fill (&sample);
  sample.message.rooms.rooms_len = BEACON_ROOMS_MAX + 1;
  g_assert_cmpuint (beacon_encode (&sample.message, data), ==, 0);
  fill (&sample);
  sample.message.callers.callers_len = BEACON_CALLERS_MAX + 1;
  g_assert_cmpuint (beacon_encode (&sample.message, data), ==, 0);
}

static void
assert_refused (const guint8 *data, gsize length)
{
  struct beacon got;

  g_assert_false (decode (data, length, &got));
  g_assert_null (got.sender.name);
  g_assert_null (got.rooms.rooms_val);
  g_assert_null (got.known.known_val);
  g_assert_null (got.callers.callers_val);
}

static void
test_truncated (void)
{
  guint8 data[BEACON_MAX_LENGTH];
  struct sample sample;
  gsize length;

  fill (&sample);
  length = beacon_encode (&sample.message, data);
  for (gsize n = 0; n < length; n++)
    assert_refused (data, n);
  data[0] ^= 1;
  assert_refused (data, length);
  sample.message.sender = make_vm ("");
  length = beacon_encode (&sample.message, data);
  assert_refused (data, length);
}

static void
assert_vm_in_bounds (const struct beacon_vm *vm)
{
  g_assert_cmpuint (strlen (vm->name), <=, PEER_NAME_MAX);
  g_assert_cmpuint (strlen (vm->ip), <=, PEER_ADDRESS_MAX);
  g_assert_cmpuint (strlen (vm->availability_zone), <=, PEER_NAME_MAX);
}

/* What was read is within bounds, and can be said again.  */
static void
assert_in_bounds (const struct beacon *got)
{
  guint8 data[BEACON_MAX_LENGTH];

  g_assert_cmpuint (got->rooms.rooms_len, <=, BEACON_ROOMS_MAX);
  g_assert_cmpuint (got->known.known_len, <=, BEACON_VMS_MAX);
  g_assert_cmpuint (got->callers.callers_len, <=, BEACON_CALLERS_MAX);
  g_assert_cmpstr (got->sender.name, !=, "");
  assert_vm_in_bounds (&got->sender);
  for (guint i = 0; i < got->known.known_len; i++)
    assert_vm_in_bounds (&got->known.known_val[i]);
  g_assert_cmpuint (beacon_encode (got, data), >, 0);
}

/* Changes up to four bytes and, now and then, the length.  */
static gsize
bend (GRand *random, guint8 *data, gsize length)
{
  gint32 n = g_rand_int_range (random, 1, 5);

  for (gint32 i = 0; i < n; i++)
    data[g_rand_int_range (random, 0, (gint32)length)]
        = (guint8)g_rand_int (random);
  if (g_rand_boolean (random))
    return length;
  return (gsize)g_rand_int_range (random, 0, (gint32)length + 1);
}

static void
test_mutated (void)
{
  GRand *random = g_rand_new_with_seed (3010);
  guint8 good[BEACON_MAX_LENGTH];
  guint n_read = 0;
  struct sample sample;
  gsize length;

  fill (&sample);
  length = beacon_encode (&sample.message, good);
  for (guint i = 0; i < N_MUTATIONS; i++)
    {
      guint8 data[BEACON_MAX_LENGTH];
      struct beacon got;
      gsize n;

      memcpy (data, good, length);
      n = bend (random, data, length);
      if (!decode (data, n, &got))
        continue;
      n_read++;
      assert_in_bounds (&got);
      beacon_clear (&got);
    }
  g_assert_cmpuint (n_read, >, 0);
  g_assert_cmpuint (n_read, <, N_MUTATIONS);
  g_rand_free (random);
}

/* Appends N confirmations to the beacon of LENGTH bytes in DATA, and
   reads them back.  Returns how many arrive.  */
static guint
pass_confirmations (guint8 *data, gsize length, guint n)
{
  struct beacon_confirmation entries[BEACON_CONFIRMATIONS_MAX];
  guint revoked[] = { 3, 9 };
  const struct beacon_confirmations list = { { n, entries } };
  struct beacon_confirmations got;
  struct beacon message;
  guint n_got;

  for (guint i = 0; i < n; i++)
    entries[i] = (struct beacon_confirmation){ i + 1, i + 2, { 2, revoked } };
  length = beacon_append_confirmations (&list, data, length);
  g_assert_cmpuint (length, <=, BEACON_MAX_LENGTH);
  g_assert_true (beacon_decode (data, length, &message, &got));
  n_got = got.list.list_len;
  for (guint i = 0; i < n_got; i++)
    {
      g_assert_cmpuint (got.list.list_val[i].receiver, ==, i + 1);
      g_assert_cmpuint (got.list.list_val[i].sequence, ==, i + 2);
      g_assert_cmpmem (got.list.list_val[i].revoked.revoked_val,
                       got.list.list_val[i].revoked.revoked_len
                           * sizeof *revoked,
                       revoked, sizeof revoked);
    }
  beacon_clear (&message);
  beacon_clear_confirmations (&got);
  return n_got;
}

/* Confirmations follow the beacon, as many as the datagram has room for.  */
static void
test_confirmations (void)
{
  struct beacon small = { .sender = make_vm ("a") };
  guint8 data[BEACON_MAX_LENGTH];
  struct sample sample;
  guint n;

  g_assert_cmpuint (pass_confirmations (data, beacon_encode (&small, data), 0),
                    ==, 0);
  g_assert_cmpuint (pass_confirmations (data, beacon_encode (&small, data), 7),
                    ==, 7);
  fill (&sample);
  n = pass_confirmations (data, beacon_encode (&sample.message, data),
                          BEACON_CONFIRMATIONS_MAX);
  g_assert_cmpuint (n, <, BEACON_CONFIRMATIONS_MAX);
}

/* A VM of another build must go on being heard: what follows its beacon is
   read as far as it is known, and skipped otherwise.  */
static void
test_sections (void)
{
  struct beacon sent = { .sender = make_vm ("a"), .sequence = 8 };
  struct beacon_section other = { .kind = 77, .data = { 5, (char *)"later" } };
  guint8 data[BEACON_MAX_LENGTH];
  gsize length = beacon_encode (&sent, data);
  struct beacon_confirmations got;
  struct beacon message;
  XDR xdr;

  xdrmem_create (&xdr, (char *)data + length, (u_int)(sizeof data - length),
                 XDR_ENCODE);
  g_assert_true (xdr_beacon_section (&xdr, &other));
  g_assert_cmpuint (pass_confirmations (data, length + xdr_getpos (&xdr), 3),
                    ==, 3);
  memset (data + length, 0xff, 16);
  g_assert_true (beacon_decode (data, length + 16, &message, &got));
  g_assert_cmpuint (message.sequence, ==, 8);
  g_assert_cmpuint (got.list.list_len, ==, 0);
  beacon_clear (&message);
}

/* The beacons of the build that serves while VMs are replaced.  */
static void
test_former_build (void)
{
  g_autoptr (GBytes) recorded = message_read ("bcea9bc-beacon");
  gsize length;
  const guint8 *data = g_bytes_get_data (recorded, &length);
  struct beacon_confirmations got;
  struct beacon message;
  guint8 again[BEACON_MAX_LENGTH];

  g_assert_true (beacon_decode (data, length, &message, &got));
  g_assert_cmpstr (message.sender.name, ==, "edge-2");
  g_assert_cmpuint (message.sequence, ==, 9);
  g_assert_cmpuint (message.rooms.rooms_val[0].ends_per_s, ==, 5);
  g_assert_cmpuint (got.list.list_len, ==, 0);
  g_assert_cmpuint (beacon_encode (&message, again), ==, length);
  g_assert_cmpmem (again, length, data, length);
  beacon_clear (&message);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/beacon/round-trip", test_round_trip);
  g_test_add_func ("/beacon/all-full", test_all_full);
  g_test_add_func ("/beacon/too-many-known", test_too_many_known);
  g_test_add_func ("/beacon/cannot-encode", test_cannot_encode);
  g_test_add_func ("/beacon/truncated", test_truncated);
  g_test_add_func ("/beacon/mutated", test_mutated);
  g_test_add_func ("/beacon/confirmations", test_confirmations);
  g_test_add_func ("/beacon/sections", test_sections);
  g_test_add_func ("/beacon/former-build", test_former_build);
  return g_test_run ();
}
