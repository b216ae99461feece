#include "t/support/fleet_bed.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

static const char *const zones[] = { "reykjavik-a", "hafnarfj-b" };
#define SERVICE "staerdarvisir"
#define HOST "jobs.example"

/* Below the ports that systems give out by themselves.  */
#define MIN_PORT 20000
#define BLOCK_PORTS 200
#define N_BLOCKS 50

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

/* Networks of loopback: where VMs are reached, and where their peers' ports
   are when a proxy stands before them.  */
enum network
{
  NETWORK_PUBLIC,
  NETWORK_HIDDEN,
};

static char *
format_ip (enum network network, guint vm)
{
  return g_strdup_printf ("127.0.%u.%u", network, vm + 1);
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
  for (guint i = 0; i < FLEET_BED_MAX_VMS * 2; i++)
    {
      g_autofree char *ip = format_ip ((enum network) (i % 2), i / 2);

      if (!is_free (ip, port, G_SOCKET_TYPE_STREAM)
          || !is_free (ip, port, G_SOCKET_TYPE_DATAGRAM))
        return FALSE;
    }
  return TRUE;
}

/* Draws a block of ports that no other bed uses, in this process or another. A
   bed holds the first one bound, as others are free between their drawing and
   the start of what listens there.  */
static void
reserve_ports (struct fleet_bed *bed)
{
  guint first = (guint)g_random_int_range (0, N_BLOCKS);

  for (guint i = 0; i < N_BLOCKS && bed->reservation == NULL; i++)
    {
      g_autoptr (GSocket) socket
          = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                          G_SOCKET_PROTOCOL_DEFAULT, NULL);
      guint block = (first + i) % N_BLOCKS;
      g_autoptr (GSocketAddress) address
          = g_inet_socket_address_new_from_string (
              "127.0.0.1", MIN_PORT + block * BLOCK_PORTS);

      bed->next_port = (guint16)(MIN_PORT + block * BLOCK_PORTS + 1);
      if (g_socket_bind (socket, address, FALSE, NULL))
        bed->reservation = g_steal_pointer (&socket);
    }
  g_assert_nonnull (bed->reservation);
}

static void
draw_ports (struct fleet_bed *bed)
{
  for (gsize i = 0; i < G_N_ELEMENTS (bed->ports); i++)
    {
      while (!is_free_everywhere (bed->next_port))
        bed->next_port++;
      bed->ports[i] = bed->next_port++;
    }
}

/* Draws N ports in a row for the workers, and N for the proxy before them.  */
static void
draw_worker_ports (struct fleet_bed *bed, guint n)
{
  guint n_free = 0;

  for (; n_free < 2 * n; bed->next_port++)
    n_free = is_free_everywhere (bed->next_port) ? n_free + 1 : 0;
  bed->worker_port = (guint16)(bed->next_port - 2 * n);
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
  gboolean is_hidden = use == PORT_PEERS && bed->plan.has_proxy;
  g_autofree char *ip
      = format_ip (is_hidden ? NETWORK_HIDDEN : NETWORK_PUBLIC, vm);
  g_autofree char *text = g_strdup_printf ("%s:%u", ip, bed->ports[use]);

  json_object_set_new (settings, key, json_string (text));
}

static guint16
get_store_port (struct fleet_bed *bed, guint vm)
{
  return bed->proxy != NULL
             ? bed->proxy->ports[fleet_bed_store_route (bed, vm)]
             : bed->store->ports[0];
}

/* The zone of the VM or the process of workers with INDEX.  */
static const char *
get_zone (const struct fleet_bed *bed, guint index)
{
  return zones[index % MAX (bed->plan.n_zones, 1u)];
}

static json_t *
build_settings (struct fleet_bed *bed, guint vm)
{
  g_autofree char *name = g_strdup_printf ("vm-%u", vm + 1);
  g_autofree char *ip = format_ip (NETWORK_PUBLIC, vm);
  g_autofree char *store
      = g_strdup_printf ("127.0.0.1:%u", get_store_port (bed, vm));
  json_t *settings = json_pack (
      "{ss ss ss s[s] si ss si sb sb ss}", "vm", name, "availability_zone",
      get_zone (bed, vm), "ip", ip, "availability_zones", zones[0],
      "beacon_port", bed->ports[PORT_BEACON], "store", store, "grace_s",
      FLEET_BED_GRACE_S, "share_by_caller", TRUE, "spread_retries", TRUE,
      "log_level", bed->plan.log_directory != NULL ? "debug" : "warning");

  json_object_set_new (settings, "max_waiting_jobs",
                       json_integer (bed->plan.max_waiting_jobs));
  json_object_set_new (settings, "max_waiting_kb", json_integer (8192));
  if (bed->plan.n_zones > 1)
    json_array_append_new (json_object_get (settings, "availability_zones"),
                           json_string (zones[1]));
  if (bed->plan.cpu_shares != NULL)
    {
      json_object_set_new (settings, "share_by_capacity", json_true ());
      json_object_set_new (settings, "cpu_share",
                           json_real (bed->plan.cpu_shares[vm]));
    }
  set_endpoint (bed, settings, "callers", vm, PORT_CALLERS);
  set_endpoint (bed, settings, "readiness", vm, PORT_READINESS);
  set_endpoint (bed, settings, "peers", vm, PORT_PEERS);
  set_endpoint (bed, settings, "metrics", vm, PORT_METRICS);
  return settings;
}

void
fleet_bed_start_vm (struct fleet_bed *bed, guint vm)
{
  g_autofree char *path = settings_path (bed, vm);
  g_autofree char *log = NULL;
  json_t *settings = build_settings (bed, vm);

  g_assert_cmpint (json_dump_file (settings, path, JSON_INDENT (1)), ==, 0);
  json_decref (settings);
  if (bed->plan.log_directory != NULL)
    log = g_strdup_printf ("%s/vm-%u.%u.log", bed->plan.log_directory, vm + 1,
                           ++bed->n_starts);
  process_set_limits (bed->plan.vm_descriptors, bed->plan.vm_bytes);
  bed->vms[vm] = process_start_logged (log,
                                       (bed->plan.former_vms & 1u << vm) != 0
                                           ? "former/radishchute"
                                           : "radishchute",
                                       "fleet", "--settings", path, NULL);
  process_set_limits (0, 0);
}

guint
fleet_bed_worker_route (const struct fleet_bed *bed, guint worker)
{
  return worker;
}

guint
fleet_bed_store_route (const struct fleet_bed *bed, guint vm)
{
  return bed->plan.n_workers + vm;
}

guint
fleet_bed_peer_route (const struct fleet_bed *bed, guint vm)
{
  return bed->plan.n_workers + bed->n_vms + 1 + vm;
}

guint
fleet_bed_caller_route (const struct fleet_bed *bed, guint vm)
{
  return bed->plan.n_workers + 2 * bed->n_vms + 1 + vm;
}

static void
add_route (GPtrArray *arguments, const char *near_ip, guint16 near,
           const char *far_ip, guint16 far)
{
  g_ptr_array_add (arguments, g_strdup ("--from"));
  g_ptr_array_add (arguments, g_strdup_printf ("%s:%u", near_ip, near));
  g_ptr_array_add (arguments, g_strdup ("--to"));
  g_ptr_array_add (arguments, g_strdup_printf ("%s:%u", far_ip, far));
}

static void
start_proxy (struct fleet_bed *bed)
{
  g_autoptr (GPtrArray) arguments = g_ptr_array_new_with_free_func (g_free);
  guint n = bed->plan.n_workers;

  draw_worker_ports (bed, n);
  g_ptr_array_add (arguments, g_strdup ("proxy"));
  g_ptr_array_add (arguments, g_strdup ("--exit-on-eof"));
  g_ptr_array_add (arguments, g_strdup ("--seed"));
  g_ptr_array_add (arguments, g_strdup_printf ("%u", bed->plan.seed));
  for (guint i = 0; i < n; i++)
    add_route (arguments, "127.0.0.1", bed->worker_port + n + i, "127.0.0.1",
               bed->worker_port + i);
  for (guint vm = 0; vm <= bed->n_vms; vm++)
    add_route (arguments, "127.0.0.1", 0, "127.0.0.1", bed->store->ports[vm]);
  for (guint vm = 0; vm < bed->n_vms; vm++)
    {
      g_autofree char *near = format_ip (NETWORK_PUBLIC, vm);
      g_autofree char *far = format_ip (NETWORK_HIDDEN, vm);

      add_route (arguments, near, bed->ports[PORT_PEERS], far,
                 bed->ports[PORT_PEERS]);
    }
  for (guint vm = 0; vm < bed->n_vms; vm++)
    {
      g_autofree char *far = format_ip (NETWORK_PUBLIC, vm);

      add_route (arguments, "127.0.0.1", 0, far, bed->ports[PORT_CALLERS]);
    }
  g_ptr_array_add (arguments, NULL);
  bed->proxy
      = process_start_array ("standin", (const char *const *)arguments->pdata);
  process_wait_ready (bed->proxy);
}

/* Adds an option whose value is a number.  */
static void
add_number (GPtrArray *arguments, const char *option, gint64 value)
{
  g_ptr_array_add (arguments, g_strdup (option));
  g_ptr_array_add (arguments, g_strdup_printf ("%" G_GINT64_FORMAT, value));
}

static void
start_workers (struct fleet_bed *bed, guint process)
{
  const struct fleet_bed_plan *plan = &bed->plan;
  g_autoptr (GPtrArray) arguments = g_ptr_array_new_with_free_func (g_free);
  const char *const fixed[]
      = { "worker", "--exit-on-eof", "--service",
          SERVICE,  "--zone",        get_zone (bed, process) };
  guint n = plan->n_workers / plan->n_worker_processes;
  guint first = n * process;

  for (gsize i = 0; i < G_N_ELEMENTS (fixed); i++)
    g_ptr_array_add (arguments, g_strdup (fixed[i]));
  g_ptr_array_add (arguments, g_strdup ("--name"));
  g_ptr_array_add (arguments, process == 0 ? g_strdup ("w")
                                           : g_strdup_printf ("w%u", process));
  add_number (arguments, "--count", n);
  add_number (arguments, "--store", get_store_port (bed, bed->n_vms));
  add_number (arguments, "--cpu", FLEET_BED_SLOTS * 1000);
  add_number (arguments, "--seed", plan->seed + process);
  add_number (arguments, "--slow-ppm",
              plan->max_slow_ppm * process
                  / MAX (1, plan->n_worker_processes - 1));
  if (bed->worker_port != 0)
    {
      add_number (arguments, "--port", bed->worker_port + first);
      add_number (arguments, "--entry-port",
                  bed->worker_port + plan->n_workers + first);
    }
  g_ptr_array_add (arguments, NULL);
  bed->workers[process]
      = process_start_array ("standin", (const char *const *)arguments->pdata);
  process_wait_ready (bed->workers[process]);
}

struct fleet_bed *
fleet_bed_start_plan (const struct fleet_bed_plan *plan)
{
  struct fleet_bed *bed = g_new0 (struct fleet_bed, 1);
  g_autofree char *doors = g_strdup_printf ("%u", plan->n_vms + 1);

  bed->plan = *plan;
  bed->n_vms = plan->n_vms;
  bed->directory = g_dir_make_tmp ("radishchute-XXXXXX", NULL);
  bed->store = process_start_standin ("store", "--doors", doors, NULL);
  reserve_ports (bed);
  draw_ports (bed);
  if (plan->has_proxy)
    start_proxy (bed);
  for (guint i = 0; i < plan->n_worker_processes; i++)
    start_workers (bed, i);
  for (guint vm = 0; vm < bed->n_vms; vm++)
    fleet_bed_start_vm (bed, vm);
  return bed;
}

struct fleet_bed *
fleet_bed_start_bare (guint n_vms)
{
  struct fleet_bed_plan plan = {
    .n_vms = n_vms,
    .n_workers = FLEET_BED_WORKERS,
    .n_worker_processes = 1,
  };

  return fleet_bed_start_plan (&plan);
}

struct fleet_bed *
fleet_bed_start (guint n_vms)
{
  struct fleet_bed *bed = fleet_bed_start_bare (n_vms);

  fleet_bed_put_state (bed);
  fleet_bed_wait_settled (bed);
  return bed;
}

/* The URL at which the key evacuate/ZONE of the zone with INDEX is set.  */
static char *
evacuation_url (struct fleet_bed *bed, guint index)
{
  return http_url (bed->store->ports[0],
                   "/standin/put?topic=keyed.op&key=evacuate%%2F%s",
                   zones[index]);
}

void
fleet_bed_evacuate (struct fleet_bed *bed, guint zone)
{
  g_autofree char *url = evacuation_url (bed, zone);

  http_post (url, "{}");
}

void
fleet_bed_take_back (struct fleet_bed *bed, guint zone)
{
  g_autofree char *url = evacuation_url (bed, zone);

  http_post (url, "");
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
  g_autofree char *ip = format_ip (NETWORK_PUBLIC, vm);

  return g_strdup_printf ("http://%s:%u%s", ip, bed->ports[use], path);
}

char *
fleet_bed_url (struct fleet_bed *bed, guint vm, const char *path)
{
  if (bed->proxy != NULL)
    return http_url (bed->proxy->ports[fleet_bed_caller_route (bed, vm)], "%s",
                     path);
  return build_url (bed, vm, PORT_CALLERS, path);
}

char *
fleet_bed_vm_ip (guint vm)
{
  return format_ip (NETWORK_PUBLIC, vm);
}

guint16
fleet_bed_get_callers_port (const struct fleet_bed *bed)
{
  return bed->ports[PORT_CALLERS];
}

guint16
fleet_bed_get_readiness_port (const struct fleet_bed *bed)
{
  return bed->ports[PORT_READINESS];
}

guint16
fleet_bed_get_metrics_port (const struct fleet_bed *bed)
{
  return bed->ports[PORT_METRICS];
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
  return is_known && n_owned == bed->plan.n_workers;
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

gboolean
fleet_bed_is_listening (struct fleet_bed *bed, guint vm)
{
  g_autofree char *ip = format_ip (NETWORK_PUBLIC, vm);
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string (ip, bed->ports[PORT_CALLERS]);
  g_autoptr (GSocket) socket = g_socket_new (
      G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);

  return g_socket_connect (socket, address, NULL, NULL);
}

char *
fleet_bed_worker_control (struct fleet_bed *bed, guint process,
                          const char *name)
{
  struct process *workers = bed->workers[process];

  return http_url (workers->ports[workers->n_ports - 1], "/standin/%s", name);
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
  fleet_bed_free (bed);
}

void
fleet_bed_free (struct fleet_bed *bed)
{
  for (guint vm = 0; vm < bed->n_vms; vm++)
    {
      g_autofree char *path = settings_path (bed, vm);

      g_clear_pointer (&bed->vms[vm], process_free);
      g_unlink (path);
    }
  for (guint i = 0; i < bed->plan.n_worker_processes; i++)
    process_free (bed->workers[i]);
  g_clear_pointer (&bed->proxy, process_free);
  process_free (bed->store);
  g_object_unref (bed->reservation);
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
