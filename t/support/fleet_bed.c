#include "t/support/fleet_bed.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#define ZONE "reykjavik-a"
#define SERVICE "staerdarvisir"
#define HOST "jobs.example"

/* Below the ports that systems give out by themselves.  */
#define MIN_PORT 20000
#define MAX_PORT 30000

#define POLL_INTERVAL_MS 20
#define MAX_POLLS 1500

enum port_use
{
  PORT_CALLERS,
  PORT_READINESS,
  PORT_PEERS,
  PORT_BEACON,
  PORT_METRICS,
};

static const char desired_state[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"hasty\",\"host\":\"" HOST "\",\"prefix\":\"" FLEET_BED_HASTY
      "\",\"service\":\"" SERVICE
      "\",\"attempts\":4,\"goalMs\":100,\"stretch\":1},"
      "{\"name\":\"patient\",\"host\":\"" HOST
      "\",\"prefix\":\"" FLEET_BED_PATIENT "\",\"service\":\"" SERVICE
      "\",\"attempts\":4,\"goalMs\":10000,\"stretch\":2}]}";

static char *
format_ip (guint vm)
{
  return g_strdup_printf ("127.0.0.%u", vm + 1);
}

static gboolean
is_free (const char *ip, guint16 port, GSocketType type)
{
  g_autoptr (GSocket) socket = g_socket_new (G_SOCKET_FAMILY_IPV4, type,
                                             G_SOCKET_PROTOCOL_DEFAULT, NULL);
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string (ip, port);

  return g_socket_bind (socket, address, FALSE, NULL);
}

static gboolean
is_free_everywhere (guint16 port)
{
  for (guint vm = 0; vm < FLEET_BED_MAX_VMS; vm++)
    {
      g_autofree char *ip = format_ip (vm);

      if (!is_free (ip, port, G_SOCKET_TYPE_STREAM)
          || !is_free (ip, port, G_SOCKET_TYPE_DATAGRAM))
        return FALSE;
    }
  return TRUE;
}

static void
draw_ports (struct fleet_bed *bed)
{
  guint16 port = (guint16)g_random_int_range (MIN_PORT, MAX_PORT);

  for (gsize i = 0; i < G_N_ELEMENTS (bed->ports); i++)
    {
      while (!is_free_everywhere (port))
        port++;
      bed->ports[i] = port++;
    }
}

static char *
settings_path (struct fleet_bed *bed, guint vm)
{
  return g_strdup_printf ("%s/vm-%u.json", bed->directory, vm + 1);
}

static void
set_endpoint (struct fleet_bed *bed, json_t *settings, const char *key,
              guint vm, enum port_use use)
{
  g_autofree char *ip = format_ip (vm);
  g_autofree char *text = g_strdup_printf ("%s:%u", ip, bed->ports[use]);

  json_object_set_new (settings, key, json_string (text));
}

static json_t *
build_settings (struct fleet_bed *bed, guint vm)
{
  g_autofree char *name = g_strdup_printf ("vm-%u", vm + 1);
  g_autofree char *ip = format_ip (vm);
  g_autofree char *store
      = g_strdup_printf ("127.0.0.1:%u", bed->store->ports[0]);
  json_t *settings = json_pack (
      "{ss ss ss s[s] si ss si ss}", "vm", name, "availability_zone", ZONE,
      "ip", ip, "availability_zones", ZONE, "beacon_port",
      bed->ports[PORT_BEACON], "store", store, "grace_s", FLEET_BED_GRACE_S,
      "log_level", "warning");

  set_endpoint (bed, settings, "callers", vm, PORT_CALLERS);
  set_endpoint (bed, settings, "readiness", vm, PORT_READINESS);
  set_endpoint (bed, settings, "peers", vm, PORT_PEERS);
  set_endpoint (bed, settings, "metrics", vm, PORT_METRICS);
  return settings;
}

static void
start_vm (struct fleet_bed *bed, guint vm)
{
  g_autofree char *path = settings_path (bed, vm);
  json_t *settings = build_settings (bed, vm);

  g_assert_cmpint (json_dump_file (settings, path, JSON_INDENT (1)), ==, 0);
  json_decref (settings);
  bed->vms[vm]
      = process_start ("radishchute", "fleet", "--settings", path, NULL);
}

struct fleet_bed *
fleet_bed_start_bare (guint n_vms)
{
  struct fleet_bed *bed = g_new0 (struct fleet_bed, 1);
  g_autofree char *count = g_strdup_printf ("%d", FLEET_BED_WORKERS);
  g_autofree char *cpu = g_strdup_printf ("%d", FLEET_BED_SLOTS * 1000);
  g_autofree char *store = NULL;

  bed->directory = g_dir_make_tmp ("radishchute-XXXXXX", NULL);
  bed->store = process_start_standin ("store", NULL);
  store = g_strdup_printf ("%u", bed->store->ports[0]);
  bed->workers = process_start_standin (
      "worker", "--count", count, "--store", store, "--name", "w", "--service",
      SERVICE, "--zone", ZONE, "--cpu", cpu, NULL);
  draw_ports (bed);
  bed->n_vms = n_vms;
  for (guint vm = 0; vm < n_vms; vm++)
    start_vm (bed, vm);
  return bed;
}

struct fleet_bed *
fleet_bed_start (guint n_vms)
{
  struct fleet_bed *bed = fleet_bed_start_bare (n_vms);

  fleet_bed_put_state (bed);
  fleet_bed_wait_settled (bed);
  return bed;
}

void
fleet_bed_put_state (struct fleet_bed *bed)
{
  g_autofree char *url = http_url (bed->store->ports[0],
                                   "/standin/put?topic=keyed.op&key=config");

  http_post (url, desired_state);
}

static char *
build_url (struct fleet_bed *bed, guint vm, enum port_use use,
           const char *path)
{
  g_autofree char *ip = format_ip (vm);

  return g_strdup_printf ("http://%s:%u%s", ip, bed->ports[use], path);
}

char *
fleet_bed_url (struct fleet_bed *bed, guint vm, const char *path)
{
  return build_url (bed, vm, PORT_CALLERS, path);
}

/* NULL before the VM answers.  */
static json_t *
try_dump (struct fleet_bed *bed, guint vm)
{
  g_autofree char *url = build_url (bed, vm, PORT_METRICS, "/dump");
  struct http_answer *answer = http_request ("GET", url, NULL, NULL);
  json_t *dump = http_answer_json (answer);

  http_answer_free (answer);
  return dump;
}

json_t *
fleet_bed_dump (struct fleet_bed *bed, guint vm)
{
  json_t *dump = try_dump (bed, vm);

  g_assert_nonnull (dump);
  return dump;
}

static guint
count_live_peers (json_t *dump)
{
  json_t *peers = json_get (dump, "peers");
  guint n = 0;
  json_t *peer;
  size_t i;

  json_array_foreach (peers, i, peer) n
      += json_is_true (json_get (peer, "is_live")) ? 1 : 0;
  return n;
}

static gboolean
is_settled (struct fleet_bed *bed)
{
  gint64 n_owned = 0;
  guint n_running = 0;
  gboolean is_known = TRUE;

  for (guint vm = 0; vm < bed->n_vms; vm++)
    n_running += bed->vms[vm] != NULL ? 1 : 0;
  for (guint vm = 0; vm < bed->n_vms && is_known; vm++)
    {
      json_t *dump = bed->vms[vm] != NULL ? try_dump (bed, vm) : NULL;

      if (bed->vms[vm] == NULL)
        continue;
      is_known = dump != NULL && json_get_int (dump, "routes_version") == 1
                 && count_live_peers (dump) == n_running - 1;
      n_owned += dump != NULL ? json_get_int (dump, "upstreams") : 0;
      json_decref (dump);
    }
  return is_known && n_owned == FLEET_BED_WORKERS;
}

void
fleet_bed_wait_settled (struct fleet_bed *bed)
{
  for (guint i = 0; i < MAX_POLLS; i++)
    {
      if (is_settled (bed))
        return;
      fleet_bed_pass (POLL_INTERVAL_MS);
    }
  for (guint vm = 0; vm < bed->n_vms; vm++)
    if (bed->vms[vm] != NULL)
      g_test_message ("%s", json_dumps (fleet_bed_dump (bed, vm), 0));
  g_error ("the VMs never owned all workers");
}

static void
judge (struct fleet_bed *bed)
{
  json_t *record = fleet_bed_get_record (bed);

  g_assert_cmpint (json_get_int (record, "double_runs"), ==, 0);
  g_assert_cmpint (json_get_int (record, "over_capacity"), ==, 0);
  json_decref (record);
}

void
fleet_bed_stop (struct fleet_bed *bed)
{
  judge (bed);
  for (guint vm = 0; vm < bed->n_vms; vm++)
    {
      g_autofree char *path = settings_path (bed, vm);

      g_clear_pointer (&bed->vms[vm], process_free);
      g_unlink (path);
    }
  process_free (bed->workers);
  process_free (bed->store);
  g_rmdir (bed->directory);
  g_free (bed->directory);
  g_free (bed);
}

guint
fleet_bed_find_owner (struct fleet_bed *bed)
{
  gint64 most = -1;
  guint owner = 0;

  for (guint vm = 0; vm < bed->n_vms; vm++)
    {
      json_t *dump = bed->vms[vm] != NULL ? fleet_bed_dump (bed, vm) : NULL;

      if (dump != NULL && json_get_int (dump, "upstreams") > most)
        {
          most = json_get_int (dump, "upstreams");
          owner = vm;
        }
      json_decref (dump);
    }
  return owner;
}

void
fleet_bed_kill_vm (struct fleet_bed *bed, guint vm)
{
  g_clear_pointer (&bed->vms[vm], process_free);
}
