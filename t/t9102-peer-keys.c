/*
 * Peers with keys, with real processes: junk, replays, wrong keys, and a
 * change of keys without a stop.
 */
#include "protocol/heartbeat.h"
#include "protocol/rpc_message.h"
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/peers.h"

#include <signal.h>
#include <string.h>

#define FIRST_KEY                                                             \
  "00112233445566778899aabbccddeeff00112233445566778899aabbccdd"
#define SECOND_KEY                                                            \
  "ffeeddccbbaa99887766554433221100ffeeddccbbaa9988776655443322"
#define N_JUNK 20000

static void
set_keys (json_t *settings, const char *first, const char *second)
{
  json_t *keys = json_array ();

  json_array_append_new (keys, json_string (first));
  if (second != NULL)
    json_array_append_new (keys, json_string (second));
  json_object_set_new (settings, "keys", keys);
}

/* Starts entry VM INDEX again with these keys, on a new port.  */
static void
restart_with_keys (struct deployment *d, guint index, const char *first,
                   const char *second)
{
  json_t *settings = deployment_settings (d, index);

  set_keys (settings, first, second);
  deployment_start_entry (d, index, settings);
  json_decref (settings);
}

static struct deployment *
start_with_keys (guint n_entries)
{
  struct deployment *d = deployment_start (n_entries, 2);

  for (guint i = 0; i < n_entries; i++)
    restart_with_keys (d, i, FIRST_KEY, NULL);
  peers_connect (d);
  deployment_wait_in_force (d);
  return d;
}

static GSocket *
connect_to (guint16 port, GSocketType type)
{
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, type,
                                  G_SOCKET_PROTOCOL_DEFAULT, NULL);
  g_autoptr (GError) error = NULL;

  g_socket_connect (socket, address, NULL, &error);
  g_assert_no_error (error);
  return socket;
}

static void
fill (GRand *random, guint8 *data, gsize length)
{
  for (gsize i = 0; i < length; i++)
    data[i] = (guint8)g_rand_int (random);
}

/* Half of the junk begins like a heartbeat.  */
static void
send_junk_datagrams (guint16 port)
{
  static const guint8 head[] = { 'R', 'C', 1, 1 };
  GSocket *socket = connect_to (port, G_SOCKET_TYPE_DATAGRAM);
  GRand *random = g_rand_new_with_seed (5);

  for (guint i = 0; i < N_JUNK; i++)
    {
      guint8 data[256];
      gsize length = (gsize)g_rand_int_range (random, 1, sizeof data);

      fill (random, data, length);
      if (i % 2 == 0 && length > 4)
        memcpy (data, head, sizeof head);
      g_socket_send (socket, (const char *)data, length, NULL, NULL);
    }
  g_rand_free (random);
  g_object_unref (socket);
}

/* Waits until the other side closes.  */
static void
expect_closed (GSocket *socket)
{
  char byte;

  while (g_socket_receive (socket, &byte, 1, NULL, NULL) > 0)
    ;
}

static void
send_junk_records (guint16 port)
{
  GRand *random = g_rand_new_with_seed (6);

  for (guint i = 0; i < 2000; i++)
    {
      GSocket *socket = connect_to (port, G_SOCKET_TYPE_STREAM);
      guint8 data[204];
      guint32 mark = GUINT32_TO_BE (0x80000000u | 200);

      fill (random, data, sizeof data);
      if (i % 2 == 0)
        memcpy (data, &mark, sizeof mark);
      else
        data[0] |= 0x80;
      g_socket_send (socket, (const char *)data, sizeof data, NULL, NULL);
      g_socket_shutdown (socket, FALSE, TRUE, NULL);
      expect_closed (socket);
      g_object_unref (socket);
    }
  g_rand_free (random);
}

static gint64
count_peers (struct deployment *d, guint index)
{
  g_autofree char *url = deployment_url (d, index, "/v1/state");
  json_t *state = http_get_json (url);
  gint64 n = (gint64)json_array_size (json_get (state, "peers"));

  json_decref (state);
  return n;
}

static void
expect_forwarded (struct deployment *d, guint home, guint other)
{
  g_autofree char *ticket = peers_draw_ticket (d, home);
  g_autofree char *job = peers_job (ticket, 2, 1, 10);
  g_autofree char *url = deployment_url (d, other, "/v1/jobs");
  struct http_answer *answer = http_request ("POST", url, job, NULL);
  json_t *body = http_answer_json (answer);

  g_assert_cmpuint (answer->status, ==, 200);
  deployment_assert_whole (body, 2, 10);
  json_decref (body);
  http_answer_free (answer);
}

static void
test_junk_changes_nothing (void)
{
  struct deployment *d = start_with_keys (2);
  guint16 port = d->entries[0]->ports[1];

  send_junk_datagrams (port);
  send_junk_records (port);
  g_assert_cmpint (peers_count (d, 0, "datagrams_refused"), >, 0);
  g_assert_cmpint (peers_count (d, 0, "calls_refused"), >=, 900);
  g_assert_cmpint (count_peers (d, 0), ==, 1);
  peers_wait_state (d, 0, 1, "alive");
  peers_wait_state (d, 1, 0, "alive");
  expect_forwarded (d, 0, 1);
  deployment_stop (d);
}

/* Only the holder of the key is taken for a peer.  */
static void
test_wrong_key (void)
{
  struct deployment *d = start_with_keys (3);

  restart_with_keys (d, 2, SECOND_KEY, NULL);
  peers_publish (d, -1);
  peers_wait_state (d, 0, 2, "dead");
  peers_wait_state (d, 1, 2, "dead");
  peers_wait_state (d, 2, 0, "unheard");
  while (peers_count (d, 0, "datagrams_refused") == 0)
    ;
  peers_wait_state (d, 0, 1, "alive");
  peers_wait_state (d, 0, 2, "dead");
  deployment_stop (d);
}

static void
change_keys (struct deployment *d, guint index, const char *first,
             const char *second)
{
  g_autofree char *path
      = g_strdup_printf ("%s/entry-%u.json", d->directory, index + 1);
  json_t *settings = json_load_file (path, 0, NULL);

  set_keys (settings, first, second);
  g_assert_cmpint (json_dump_file (settings, path, 0), ==, 0);
  process_signal (d->entries[index], SIGHUP);
  json_decref (settings);
}

/* The new key at the end, then in front, then alone: no step refuses
   anything.  */
static void
test_rotation (void)
{
  static const char *const steps[][2] = { { FIRST_KEY, SECOND_KEY },
                                          { SECOND_KEY, FIRST_KEY },
                                          { SECOND_KEY, NULL } };
  struct deployment *d = start_with_keys (2);
  g_autofree char *old = peers_draw_ticket (d, 0);
  g_autofree char *job = peers_job (old, 2, 1, 10);
  g_autofree char *url = deployment_url (d, 1, "/v1/jobs");
  struct http_answer *answer;

  for (guint step = 0; step < G_N_ELEMENTS (steps); step++)
    for (guint i = 0; i < d->n_entries; i++)
      {
        change_keys (d, i, steps[step][0], steps[step][1]);
        expect_forwarded (d, 0, 1);
        expect_forwarded (d, 1, 0);
      }
  g_assert_cmpint (peers_count (d, 0, "datagrams_refused"), ==, 0);
  g_assert_cmpint (peers_count (d, 1, "calls_refused"), ==, 0);
  /* An id that the dropped key has signed is no longer believed.  */
  answer = http_request ("POST", url, job, NULL);
  g_assert_cmpuint (answer->status, ==, 400);
  http_answer_free (answer);
  deployment_stop (d);
}

static GBytes *
build_ping (const struct peer_mac *mac, guint64 sequence, gint64 sent_ms,
            const char *receiver)
{
  peer_ping_args arguments = { .suspect = (char *)"" };
  peer_credential credential = {
    .sender = (char *)"entry-9",
    .receiver = (char *)receiver,
    .incarnation = 1,
    .sequence = sequence,
    .sent_unix_ms = (guint64)sent_ms,
  };

  return rpc_build_call (mac, 7, rpc_procedure_find (PEER_PING), &credential,
                         NULL, &arguments);
}

/* Whether a record sent over a fresh connection is answered.  */
static gboolean
is_answered (guint16 port, GBytes *record)
{
  GSocket *socket = connect_to (port, G_SOCKET_TYPE_STREAM);
  char byte;
  gboolean answered;

  g_socket_send (socket, g_bytes_get_data (record, NULL),
                 g_bytes_get_size (record), NULL, NULL);
  answered = g_socket_receive (socket, &byte, 1, NULL, NULL) == 1;
  g_object_unref (socket);
  return answered;
}

static void
test_replayed_call (void)
{
  struct deployment *d = start_with_keys (1);
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  guint16 port = d->entries[0]->ports[1];
  gint64 now_ms = g_get_real_time () / 1000;
  struct peer_mac *mac;

  g_ptr_array_add (keys, (gpointer)FIRST_KEY);
  mac = peer_mac_new (keys);
  g_autoptr (GBytes) good = build_ping (mac, 1, now_ms, "entry-1");
  g_autoptr (GBytes) stale
      = build_ping (mac, 2, now_ms - 2 * PEER_MAX_SKEW_MS, "entry-1");
  g_autoptr (GBytes) astray = build_ping (mac, 3, now_ms, "entry-2");
  g_autoptr (GBytes) next = build_ping (mac, 4, now_ms, "entry-1");

  g_assert_true (is_answered (port, good));
  g_assert_false (is_answered (port, good));
  g_assert_false (is_answered (port, stale));
  g_assert_false (is_answered (port, astray));
  g_assert_true (is_answered (port, next));
  peer_mac_free (mac);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer-keys/junk-changes-nothing",
                   test_junk_changes_nothing);
  g_test_add_func ("/peer-keys/wrong-key", test_wrong_key);
  g_test_add_func ("/peer-keys/rotation", test_rotation);
  g_test_add_func ("/peer-keys/replayed-call", test_replayed_call);
  return g_test_run ();
}
