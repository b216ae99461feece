/* How the stand-ins of the operators' workers come and go.  */
#include "t/support/http.h"
#include "t/support/process.h"

#include <string.h>

#define LONG_HOLDS "--hold-max-ms", "600000"

/* A store with workers that register themselves at its first door; the test
   looks through the second.  */
struct bed
{
  struct process *store;
  struct process *workers;
};

static void
start_workers (struct bed *bed, guint16 store_port, const char *count,
               const char *heartbeat_ms)
{
  g_autofree char *port = g_strdup_printf ("%u", store_port);

  bed->workers = process_start_standin (
      "worker", LONG_HOLDS, "--store", port, "--name", "w", "--service", "s",
      "--zone", "z", "--count", count, "--racks", "2", "--cpu", "4000",
      "--heartbeat-ms", heartbeat_ms, NULL);
}

static void
start_bed (struct bed *bed, const char *heartbeat_ms)
{
  bed->store = process_start_standin ("store", "--doors", "2", NULL);
  start_workers (bed, bed->store->ports[0], "3", heartbeat_ms);
}

static void
free_bed (struct bed *bed)
{
  process_free (bed->workers);
  process_free (bed->store);
}

static void
control (struct bed *bed, const char *name, const char *body)
{
  g_autofree char *url = http_url (
      bed->workers->ports[bed->workers->n_ports - 1], "/standin/%s", name);

  http_post (url, body);
}

/* The entry of a worker in an answer of the newest, or NULL.  The caller owns
   it.  */
static json_t *
find_entry (json_t *newest, const char *id)
{
  json_t *items = json_get (newest, "items");

  for (size_t i = 0; i < json_array_size (items); i++)
    {
      json_t *item = json_array_get (items, i);
      gsize length;
      g_autofree guchar *text = NULL;

      if (strcmp (json_string_value (json_get (item, "key")), id) != 0)
        continue;
      text = g_base64_decode (json_string_value (json_get (item, "value")),
                              &length);
      return json_loadb ((const char *)text, length, 0, NULL);
    }
  return NULL;
}

struct wish
{
  const char *id;
  const char *state; /* NULL for no entry */
};

static gboolean
is_fulfilled (json_t *newest, gpointer data)
{
  const struct wish *wish = data;
  json_t *entry = find_entry (newest, wish->id);
  const char *state = json_string_value (json_object_get (entry, "state"));
  gboolean is_fulfilled = g_strcmp0 (state, wish->state) == 0;

  json_decref (entry);
  return is_fulfilled;
}

/* Waits until the entry of ID shows STATE, or is gone for NULL, and returns
   it, which the caller owns.  */
static json_t *
wait_entry (struct bed *bed, const char *id, const char *state)
{
  struct wish wish = { id, state };
  g_autofree char *url
      = http_url (bed->store->ports[1],
                  "/radishchute/log-newest?topic=keyed.servers&part=0");
  json_t *newest = http_poll_until (url, is_fulfilled, &wish);
  json_t *entry = find_entry (newest, id);

  json_decref (newest);
  return entry;
}

static void
test_entry (void)
{
  struct bed bed;
  json_t *entry;
  g_autofree char *address = NULL;

  start_bed (&bed, "600000");
  address = g_strdup_printf ("127.0.0.1:%u", bed.workers->ports[1]);
  entry = wait_entry (&bed, "w-1", "ready");
  g_assert_cmpstr (json_string_value (json_get (entry, "addr")), ==, address);
  g_assert_cmpstr (json_string_value (json_get (entry, "service")), ==, "s");
  g_assert_cmpstr (json_string_value (json_get (entry, "zone")), ==, "z");
  g_assert_cmpint (json_get_int (json_get (entry, "capacity"), "cpu"), ==,
                   4000);
  g_assert_cmpstr (
      json_string_value (json_array_get (json_get (entry, "labels"), 1)), ==,
      "r1");
  g_assert_cmpint (json_get_int (entry, "born"), >, 0);
  json_decref (entry);
  free_bed (&bed);
}

/* A crash sends nothing; the entry goes after three heartbeats of silence.  */
static void
test_crash_expires (void)
{
  struct bed bed;
  json_t *entry;
  gint64 born;

  start_bed (&bed, "300");
  entry = wait_entry (&bed, "w-0", "ready");
  born = json_get_int (entry, "born");
  json_decref (entry);
  control (&bed, "crash", "{\"worker\":0,\"silent\":true}");
  wait_entry (&bed, "w-0", NULL);
  control (&bed, "rebirth", "{\"worker\":0}");
  entry = wait_entry (&bed, "w-0", "ready");
  g_assert_cmpint (json_get_int (entry, "born"), >, born);
  json_decref (entry);
  free_bed (&bed);
}

static void
test_drain (void)
{
  struct bed bed;
  json_t *entry;
  g_autofree char *health = NULL;
  struct http_answer *answer;

  start_bed (&bed, "600000");
  health = http_url (bed.workers->ports[2], "/healthz");
  json_decref (wait_entry (&bed, "w-2", "ready"));
  control (&bed, "drain", "{\"worker\":2,\"drain_ms\":600000}");
  entry = wait_entry (&bed, "w-2", "draining");
  g_assert_cmpint (json_get_int (entry, "remainingMs"), >, 0);
  json_decref (entry);
  /* It still runs, but says that it drains.  */
  answer = http_request ("GET", health, NULL, NULL);
  g_assert_cmpuint (answer->status, ==, 503);
  http_answer_free (answer);
  control (&bed, "drain", "{\"worker\":1,\"drain_ms\":1}");
  wait_entry (&bed, "w-1", NULL);
  control (&bed, "rebirth", "{\"worker\":1}");
  json_decref (wait_entry (&bed, "w-1", "ready"));
  free_bed (&bed);
}

/* Entries that expire during an outage are back after it.  */
static void
test_outage (void)
{
  struct bed bed;
  g_autofree char *faults = NULL;

  start_bed (&bed, "100");
  faults = http_url (bed.store->ports[0], "/standin/faults");
  json_decref (wait_entry (&bed, "w-0", "ready"));
  http_post (faults, "{\"door\":0,\"mode\":\"refuses\"}");
  wait_entry (&bed, "w-0", NULL);
  http_post (faults, "{\"door\":0,\"mode\":\"serves\"}");
  json_decref (wait_entry (&bed, "w-0", "ready"));
  free_bed (&bed);
}

/* Entries that expire as a connection has lost a heartbeat, and stays silent
   for good, are written again on another.  */
static void
test_silent_link (void)
{
  struct bed bed;
  struct process *proxy;
  g_autofree char *target = NULL;
  g_autofree char *faults = NULL;

  bed.store = process_start_standin ("store", "--doors", "2", NULL);
  target = g_strdup_printf ("127.0.0.1:%u", bed.store->ports[0]);
  proxy = process_start_standin ("proxy", "--to", target, NULL);
  faults = http_url (proxy->ports[1], "/test/faults");
  start_workers (&bed, proxy->ports[0], "1", "100");
  json_decref (wait_entry (&bed, "w-0", "ready"));
  http_post (faults, "{\"up\":{\"silent\":true}}");
  wait_entry (&bed, "w-0", NULL);
  http_post (faults, "{}");
  json_decref (wait_entry (&bed, "w-0", "ready"));
  free_bed (&bed);
  process_free (proxy);
}

static gint64
get_born (guint16 port, gint64 token)
{
  g_autofree char *url = http_url (port, "/radishchute/hold");
  g_autofree char *body = g_strdup_printf (
      "{\"fencingToken\":%" G_GINT64_FORMAT ",\"lastSeen\":0}", token);
  struct http_answer *answer = http_request ("POST", url, body, NULL);
  json_t *json = http_answer_json (answer);
  gint64 born = json_get_int (json, "born");

  g_assert_cmpuint (answer->status, ==, 200);
  json_decref (json);
  http_answer_free (answer);
  return born;
}

static void
test_rebirth (void)
{
  struct bed bed;
  guint16 port;
  g_autofree char *health = NULL;
  g_autofree char *start = NULL;
  g_autofree char *record = NULL;
  gint64 born;
  struct http_answer *answer;
  json_t *counts;

  start_bed (&bed, "600000");
  port = bed.workers->ports[0];
  health = http_url (port, "/healthz");
  start = http_url (port, "/radishchute/run-start");
  record = http_url (bed.workers->ports[3], "/standin/record");
  born = get_born (port, 1000);
  http_post (start, "{\"task\":\"a\",\"run\":1,\"spec\":\"1 hang\","
                    "\"untilMs\":900000000,\"fencingToken\":1000}");
  control (&bed, "crash", "{\"worker\":0}");
  answer = http_request ("GET", health, NULL, NULL);
  g_assert_cmpuint (answer->status, ==, 0);
  http_answer_free (answer);
  control (&bed, "rebirth", "{\"worker\":0}");
  /* It knows neither the token nor the run of before.  */
  g_assert_cmpint (get_born (port, 1), >, born);
  http_post (start, "{\"task\":\"a\",\"run\":1,\"spec\":\"1 hang\","
                    "\"untilMs\":900000000,\"fencingToken\":1}");
  counts = http_get_json (record);
  g_assert_cmpint (json_get_int (counts, "crashed"), ==, 1);
  g_assert_cmpint (json_get_int (counts, "starts"), ==, 2);
  g_assert_cmpint (json_get_int (counts, "double_runs"), ==, 0);
  g_assert_cmpuint (json_array_size (json_get (counts, "list")), ==, 2);
  json_decref (counts);
  free_bed (&bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lives/entry", test_entry);
  g_test_add_func ("/lives/crash-expires", test_crash_expires);
  g_test_add_func ("/lives/drain", test_drain);
  g_test_add_func ("/lives/outage", test_outage);
  g_test_add_func ("/lives/silent-link", test_silent_link);
  g_test_add_func ("/lives/rebirth", test_rebirth);
  return g_test_run ();
}
