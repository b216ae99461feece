/*
 * Measures the cost of heartbeats and membership for an entry VM.
 *
 * The first part runs in one process, over loopback and with keys for message
 * authentication, the peer hubs of all VMs of one availability zone and of one
 * VM in each of OTHER_ZONES other zones.  It prints the mean traffic and CPU
 * time of a VM of the zone.  The CPU time of the process is attributed to its
 * VMs in proportion to the datagrams that they receive.
 *
 * The second part measures membership_advance () alone, without I/O, with all
 * the VMs of several zones listed.
 *
 * usage: membership [VMS]
 *
 * VMS is the number of entry VMs of the zone, 2 to 40; 40 by default.
 */
#include "base/clock.h"
#include "base/event_log.h"
#include "transport/peer_hub.h"

#include <jansson.h>
#include <libsoup/soup.h>

#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#define MAX_ZONE_VMS 40
#define OTHER_ZONES 6
#define WARM_UP_MS 6000
#define MEASURE_MS 20000
#define CHANGE_INTERVAL_MS 500 /* of loads, in the busy run */

/* Number of entry VMs in the measured zone.  */
static guint n_zone_vms = MAX_ZONE_VMS;

struct entry_vm
{
  struct settings settings;
  struct peer_hub *hub;
  struct peer_hub_counts counts_before; /* at the start of a measurement */
};

struct bench
{
  GMainLoop *loop;
  GPtrArray *keys;
  SoupServer *platform;
  struct entry_vm entry_vms[MAX_ZONE_VMS + OTHER_ZONES]; /* those of the
                                                            zone first */
  guint n_changes; /* calls of change_heartbeat_contents () */
};

/* Answers a request for the list of all VMs.  Requests are served by the main
   loop, which starts after all hubs exist, so the list is complete.  */
static void
serve_vm_list (SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, gpointer data)
{
  struct bench *bench = data;
  json_t *vms = json_array ();
  json_t *root;
  char *text;

  if (soup_message_headers_get_one (
          soup_server_message_get_request_headers (message), "If-None-Match"))
    {
      soup_server_message_set_status (message, 304, NULL);
      return;
    }
  for (guint i = 0; i < n_zone_vms + OTHER_ZONES; i++)
    {
      const struct entry_vm *entry_vm = &bench->entry_vms[i];
      g_autofree char *address = g_strdup_printf (
          "127.0.0.1:%u", peer_hub_get_port (entry_vm->hub));

      json_array_append_new (vms,
                             json_pack ("{s:s, s:s, s:s, s:s, s:s}", "name",
                                        entry_vm->settings.vm, "role", "entry",
                                        "availability_zone",
                                        entry_vm->settings.availability_zone,
                                        "address", address, "status", "live"));
    }
  root = json_pack ("{s:i, s:o}", "version", 1, "vms", vms);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_TAKE, text, strlen (text));
}

static void
start_platform (struct bench *bench)
{
  GError *error = NULL;

  bench->platform = soup_server_new (NULL, NULL);
  soup_server_add_handler (bench->platform, "/v1/vms", serve_vm_list, bench,
                           NULL);
  if (!soup_server_listen_local (bench->platform, 0,
                                 SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    g_error ("%s", error->message);
}

static char *
get_platform_url (const struct bench *bench)
{
  GSList *uris = soup_server_get_uris (bench->platform);
  GUri *uri = uris->data;
  char *url = g_strdup_printf ("http://127.0.0.1:%d", g_uri_get_port (uri));

  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return url;
}

static void
start_entry_vm (struct bench *bench, guint index)
{
  struct entry_vm *entry_vm = &bench->entry_vms[index];
  struct settings *settings = &entry_vm->settings;
  GError *error = NULL;

  settings->vm = g_strdup_printf ("entry-%u", index);
  settings->availability_zone = g_strdup_printf (
      "zone-%u", index < n_zone_vms ? 0 : index - n_zone_vms + 1);
  settings->peer_listen.ip = g_strdup ("127.0.0.1");
  settings->peer_seeds = g_ptr_array_new ();
  settings->keys = bench->keys;
  settings->vm_list_url = get_platform_url (bench);
  entry_vm->hub = peer_hub_new (settings, index + 1, &error);
  if (entry_vm->hub == NULL)
    g_error ("%s", error->message);
}

static gboolean
quit (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

static void
run_loop (struct bench *bench, guint duration_ms)
{
  g_timeout_add (duration_ms, quit, bench->loop);
  g_main_loop_run (bench->loop);
}

static gdouble
get_cpu_seconds (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (gdouble)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + (gdouble)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

/* Gives every hub of the zone new loads, and a new digest at every fourth
   call, as in a busy deployment.  */
static gboolean
change_heartbeat_contents (gpointer data)
{
  struct bench *bench = data;
  heartbeat_load loads[4];

  bench->n_changes++;
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    loads[i] = (heartbeat_load){ i + 1, bench->n_changes, i };
  for (guint i = 0; i < n_zone_vms; i++)
    {
      peer_hub_set_digest (bench->entry_vms[i].hub, bench->n_changes / 4, 1);
      peer_hub_set_loads (bench->entry_vms[i].hub, loads,
                          G_N_ELEMENTS (loads));
    }
  return G_SOURCE_CONTINUE;
}

/* Runs all hubs for MEASURE_MS and prints the traffic and CPU time.  */
static void
measure_traffic (struct bench *bench, const char *label)
{
  gdouble seconds = MEASURE_MS / 1000.0;
  guint64 bytes_sent = 0;
  guint64 bytes_received = 0;
  guint64 n_sent = 0;
  guint64 n_received = 0;
  guint64 n_received_by_all = 0;
  gdouble elapsed_cpu_s;

  for (guint i = 0; i < n_zone_vms + OTHER_ZONES; i++)
    bench->entry_vms[i].counts_before
        = *peer_hub_get_counts (bench->entry_vms[i].hub);
  elapsed_cpu_s = get_cpu_seconds ();
  run_loop (bench, MEASURE_MS);
  elapsed_cpu_s = get_cpu_seconds () - elapsed_cpu_s;
  for (guint i = 0; i < n_zone_vms + OTHER_ZONES; i++)
    {
      const struct entry_vm *entry_vm = &bench->entry_vms[i];
      const struct peer_hub_counts *now = peer_hub_get_counts (entry_vm->hub);

      n_received_by_all += now->datagrams_received
                           - entry_vm->counts_before.datagrams_received;
      if (i >= n_zone_vms)
        continue;
      bytes_sent += now->bytes_sent - entry_vm->counts_before.bytes_sent;
      bytes_received
          += now->bytes_received - entry_vm->counts_before.bytes_received;
      n_sent += now->datagrams_sent - entry_vm->counts_before.datagrams_sent;
      n_received += now->datagrams_received
                    - entry_vm->counts_before.datagrams_received;
    }
  printf ("%s, per VM of the zone: sent %.0f bytes/s in %.1f datagrams/s, "
          "received %.0f bytes/s in %.1f; together %.0f bytes/s\n",
          label, (gdouble)bytes_sent / n_zone_vms / seconds,
          (gdouble)n_sent / n_zone_vms / seconds,
          (gdouble)bytes_received / n_zone_vms / seconds,
          (gdouble)n_received / n_zone_vms / seconds,
          (gdouble)(bytes_sent + bytes_received) / n_zone_vms / seconds);
  printf ("%s: %.1f bytes a datagram; CPU %.1f us a datagram sent and "
          "received, %.2f%% of a core per VM of the zone\n",
          label, (gdouble)bytes_sent / (gdouble)n_sent,
          elapsed_cpu_s * 1e6 / (gdouble)n_received_by_all,
          100 * elapsed_cpu_s / seconds / (gdouble)n_received_by_all
              * (gdouble)n_received / n_zone_vms);
}

static void
ignore_heartbeat (struct membership_driver *driver, struct peer *peer,
                  const struct membership_heartbeat *beat)
{
}

static void
ignore_check (struct membership_driver *driver, struct peer *peer,
              struct peer *via, guint check_id, gint64 deadline_us)
{
}

static void
ignore_peer (struct membership_driver *driver, struct peer *peer)
{
}

static const struct membership_driver_ops ignore_ops = {
  .send_heartbeat = ignore_heartbeat,
  .check_peer = ignore_check,
  .peer_changed = ignore_peer,
  .peer_forgotten = ignore_peer,
};

/* Measures the CPU time of one tick when the list has N_ZONES zones of
   MAX_ZONE_VMS VMs each.  */
static void
measure_tick (guint n_zones)
{
  struct membership_driver driver = { &ignore_ops };
  struct membership_config config = { "entry-0", "zone-0", 1, 1 };
  struct membership *membership = membership_new (&driver, &config);
  guint n = n_zones * MAX_ZONE_VMS;
  struct listed_vm *vms = g_new0 (struct listed_vm, n);
  guint n_ticks = 2000;
  gdouble elapsed_cpu_s;

  for (guint i = 0; i < n; i++)
    vms[i] = (struct listed_vm){ g_strdup_printf ("entry-%u", i),
                                 g_strdup_printf ("zone-%u", i / MAX_ZONE_VMS),
                                 "127.0.0.1:9000", FALSE };
  membership_apply_list (membership, vms, n, 1);
  elapsed_cpu_s = get_cpu_seconds ();
  for (guint i = 0; i < n_ticks; i++)
    membership_advance (membership, (i + 1) * MEMBERSHIP_TICK_US);
  elapsed_cpu_s = get_cpu_seconds () - elapsed_cpu_s;
  printf ("%u zones: %.1f us a tick, %.3f%% of a core\n", n_zones,
          elapsed_cpu_s * 1e6 / n_ticks,
          100 * elapsed_cpu_s / n_ticks * 1e6 / (gdouble)MEMBERSHIP_TICK_US);
  for (guint i = 0; i < n; i++)
    {
      g_free ((char *)vms[i].name);
      g_free ((char *)vms[i].availability_zone);
    }
  g_free (vms);
  membership_free (membership);
}

int
main (int argc, char **argv)
{
  struct bench *bench = g_new0 (struct bench, 1);

  if (argc > 1)
    n_zone_vms = (guint)g_ascii_strtoull (argv[1], NULL, 10);
  n_zone_vms = CLAMP (n_zone_vms, 2, MAX_ZONE_VMS);

  event_log_set_level (LOG_LEVEL_ERROR);
  bench->loop = g_main_loop_new (NULL, FALSE);
  bench->keys = g_ptr_array_new ();
  start_platform (bench);
  g_ptr_array_add (
      bench->keys,
      (gpointer) "00112233445566778899aabbccddeeff00112233445566778899aabbcc");
  for (guint i = 0; i < n_zone_vms + OTHER_ZONES; i++)
    start_entry_vm (bench, i);
  run_loop (bench, WARM_UP_MS);
  measure_traffic (bench, "quiet");
  g_timeout_add (CHANGE_INTERVAL_MS, change_heartbeat_contents, bench);
  measure_traffic (bench, "busy");
  measure_tick (1);
  measure_tick (10);
  measure_tick (30);
  measure_tick (60);
  return 0;
}
