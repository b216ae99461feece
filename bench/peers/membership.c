/*
 * What it costs a VM to know its peers.
 *
 * Runs the peer hubs of one availability zone, and of a VM in each of a few
 * others, in this one process over loopback, with keys, and divides what the
 * process spent by the number of hubs.  A second part times the decisions
 * alone with all the VMs of a region known.
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
#define RUN_MS 20000
#define CHANGE_MS 500

/* Entry VMs of the zone that is measured.  */
static guint zone_vms = MAX_ZONE_VMS;

struct node
{
  struct settings settings;
  struct peer_hub *hub;
  struct peer_hub_counts start;
};

struct bench
{
  GMainLoop *loop;
  GPtrArray *keys;
  SoupServer *platform;
  struct node nodes[MAX_ZONE_VMS + OTHER_ZONES];
  guint n_changes;
};

/* The list of all VMs; it is complete when the hubs read it.  */
static void
on_vms (SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, gpointer data)
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
  for (guint i = 0; i < zone_vms + OTHER_ZONES; i++)
    {
      const struct node *node = &bench->nodes[i];
      g_autofree char *address
          = g_strdup_printf ("127.0.0.1:%u", peer_hub_get_port (node->hub));

      json_array_append_new (vms,
                             json_pack ("{s:s, s:s, s:s, s:s, s:s}", "name",
                                        node->settings.vm, "role", "entry",
                                        "availability_zone",
                                        node->settings.availability_zone,
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
  soup_server_add_handler (bench->platform, "/v1/vms", on_vms, bench, NULL);
  if (!soup_server_listen_local (bench->platform, 0,
                                 SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    g_error ("%s", error->message);
}

static char *
platform_url (const struct bench *bench)
{
  GSList *uris = soup_server_get_uris (bench->platform);
  GUri *uri = uris->data;
  char *url = g_strdup_printf ("http://127.0.0.1:%d", g_uri_get_port (uri));

  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return url;
}

static void
start_node (struct bench *bench, guint index)
{
  struct node *node = &bench->nodes[index];
  struct settings *settings = &node->settings;
  GError *error = NULL;

  settings->vm = g_strdup_printf ("entry-%u", index);
  settings->availability_zone = g_strdup_printf (
      "zone-%u", index < zone_vms ? 0 : index - zone_vms + 1);
  settings->peer_listen.ip = g_strdup ("127.0.0.1");
  settings->peer_seeds = g_ptr_array_new ();
  settings->keys = bench->keys;
  settings->vm_list_url = platform_url (bench);
  node->hub = peer_hub_new (settings, index + 1, &error);
  if (node->hub == NULL)
    g_error ("%s", error->message);
}

static gboolean
quit (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

static void
run (struct bench *bench, guint duration_ms)
{
  g_timeout_add (duration_ms, quit, bench->loop);
  g_main_loop_run (bench->loop);
}

static gdouble
cpu_seconds (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (gdouble)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + (gdouble)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

/* Every hub gets a new digest and new loads, as in a busy deployment.  */
static gboolean
change_sections (gpointer data)
{
  struct bench *bench = data;
  heartbeat_load loads[4];

  bench->n_changes++;
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    loads[i] = (heartbeat_load){ i + 1, bench->n_changes, i };
  for (guint i = 0; i < zone_vms; i++)
    {
      peer_hub_set_digest (bench->nodes[i].hub, bench->n_changes / 4, 1);
      peer_hub_set_loads (bench->nodes[i].hub, loads, G_N_ELEMENTS (loads));
    }
  return G_SOURCE_CONTINUE;
}

static void
measure (struct bench *bench, const char *label)
{
  gdouble seconds = RUN_MS / 1000.0;
  guint64 bytes_sent = 0;
  guint64 bytes_received = 0;
  guint64 sent = 0;
  guint64 received = 0;
  guint64 all_received = 0;
  gdouble cpu;

  for (guint i = 0; i < zone_vms + OTHER_ZONES; i++)
    bench->nodes[i].start = *peer_hub_get_counts (bench->nodes[i].hub);
  cpu = cpu_seconds ();
  run (bench, RUN_MS);
  cpu = cpu_seconds () - cpu;
  for (guint i = 0; i < zone_vms + OTHER_ZONES; i++)
    {
      const struct node *node = &bench->nodes[i];
      const struct peer_hub_counts *now = peer_hub_get_counts (node->hub);

      all_received += now->datagrams_received - node->start.datagrams_received;
      if (i >= zone_vms)
        continue;
      bytes_sent += now->bytes_sent - node->start.bytes_sent;
      bytes_received += now->bytes_received - node->start.bytes_received;
      sent += now->datagrams_sent - node->start.datagrams_sent;
      received += now->datagrams_received - node->start.datagrams_received;
    }
  printf ("%s, per VM of the zone: sent %.0f bytes/s in %.1f datagrams/s, "
          "received %.0f bytes/s in %.1f; together %.0f bytes/s\n",
          label, (gdouble)bytes_sent / zone_vms / seconds,
          (gdouble)sent / zone_vms / seconds,
          (gdouble)bytes_received / zone_vms / seconds,
          (gdouble)received / zone_vms / seconds,
          (gdouble)(bytes_sent + bytes_received) / zone_vms / seconds);
  printf ("%s: %.1f bytes a datagram; CPU %.1f us a datagram sent and "
          "received, %.2f%% of a core per VM of the zone\n",
          label, (gdouble)bytes_sent / (gdouble)sent,
          cpu * 1e6 / (gdouble)all_received,
          100 * cpu / seconds / (gdouble)all_received * (gdouble)received
              / zone_vms);
}

static void
ignore_beat (struct membership_driver *driver, struct peer *peer,
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

static const struct membership_driver_ops idle_ops = {
  .send_heartbeat = ignore_beat,
  .check_peer = ignore_check,
  .peer_changed = ignore_peer,
  .peer_forgotten = ignore_peer,
};

/* The time that a tick takes with all the VMs of N_ZONES listed.  */
static void
measure_tick (guint n_zones)
{
  struct membership_driver driver = { &idle_ops };
  struct membership_config config = { "entry-0", "zone-0", 1, 1 };
  struct membership *membership = membership_new (&driver, &config);
  guint n = n_zones * MAX_ZONE_VMS;
  struct listed_vm *vms = g_new0 (struct listed_vm, n);
  guint n_ticks = 2000;
  gdouble cpu;

  for (guint i = 0; i < n; i++)
    vms[i] = (struct listed_vm){ g_strdup_printf ("entry-%u", i),
                                 g_strdup_printf ("zone-%u", i / MAX_ZONE_VMS),
                                 "127.0.0.1:9000", FALSE };
  membership_apply_list (membership, vms, n, 1);
  cpu = cpu_seconds ();
  for (guint i = 0; i < n_ticks; i++)
    membership_advance (membership, (i + 1) * MEMBERSHIP_TICK_US);
  cpu = cpu_seconds () - cpu;
  printf ("%u zones: %.1f us a tick, %.3f%% of a core\n", n_zones,
          cpu * 1e6 / n_ticks,
          100 * cpu / n_ticks * 1e6 / (gdouble)MEMBERSHIP_TICK_US);
  for (guint i = 0; i < n; i++)
    {
      g_free ((char *)vms[i].name);
      g_free ((char *)vms[i].availability_zone);
    }
  g_free (vms);
  membership_free (membership);
}

/* usage: membership [VMS], the entry VMs of the zone, 40 if not given.  */
int
main (int argc, char **argv)
{
  struct bench *bench = g_new0 (struct bench, 1);

  if (argc > 1)
    zone_vms = (guint)g_ascii_strtoull (argv[1], NULL, 10);
  zone_vms = CLAMP (zone_vms, 2, MAX_ZONE_VMS);

  event_log_set_level (LOG_LEVEL_ERROR);
  bench->loop = g_main_loop_new (NULL, FALSE);
  bench->keys = g_ptr_array_new ();
  start_platform (bench);
  g_ptr_array_add (
      bench->keys,
      (gpointer) "00112233445566778899aabbccddeeff00112233445566778899aabbcc");
  for (guint i = 0; i < zone_vms + OTHER_ZONES; i++)
    start_node (bench, i);
  run (bench, WARM_UP_MS);
  measure (bench, "quiet");
  g_timeout_add (CHANGE_MS, change_sections, bench);
  measure (bench, "busy");
  measure_tick (1);
  measure_tick (10);
  measure_tick (30);
  measure_tick (60);
  return 0;
}
