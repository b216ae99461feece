#include "review/common/bed.h"

#include <glib/gstdio.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum port_use
{
  PORT_CALLERS,
  PORT_READINESS,
  PORT_PEERS,
  PORT_METRICS,
  N_PORTS
};

#define ZONE "reykjavik-a"
#define SERVICE "staerdarvisir"
#define SETTLE_TRIES 1000

/* The first time after which TCP sends a lost packet again.  */
#define RETRANSMIT_MS 200

/* The three kinds of request of the site hjolavinir-fit share this service;
   its bounds and those of "full-fit" are used here.  */
static const char desired_state[]
    = "{\"version\":1,\"routes\":[{\"name\":\"full-fit\",\"host\":\"" BED_HOST
      "\",\"prefix\":\"" BED_PREFIX "\",\"service\":\"" SERVICE
      "\",\"prio\":2,\"attempts\":2,\"stretch\":1.6,\"goalMs\":60}],"
      "\"services\":[{\"name\":\"" SERVICE "\",\"admissionCheck\":false}]}";

/* The address of VM; HIDDEN is where its port for peers really is.  */
static char *
format_ip (guint vm, gboolean hidden)
{
  return g_strdup_printf ("127.77.%u.%u", hidden ? 2 : 1, vm + 1);
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
  for (guint i = 0; i < 2 * BED_VMS; i++)
    {
      g_autofree char *ip = format_ip (i / 2, i % 2 == 1);

      if (!is_free (ip, port, G_SOCKET_TYPE_STREAM)
          || !is_free (ip, port, G_SOCKET_TYPE_DATAGRAM))
        return FALSE;
    }
  return TRUE;
}

static void
draw_ports (struct bed *bed)
{
  guint16 next = (guint16)g_random_int_range (12000, 28000);

  for (guint i = 0; i < N_PORTS; i++)
    {
      while (!is_free_everywhere (next))
        next++;
      bed->ports[i] = next++;
    }
  for (guint vm = 0; vm < BED_VMS; vm++)
    {
      while (!is_free_everywhere (next))
        next++;
      bed->beacon_ports[vm] = next++;
    }
}

gint64
bed_now_ms (struct bed *bed)
{
  return (g_get_monotonic_time () - bed->began_us) / 1000;
}

void
bed_note (struct bed *bed, const char *format, ...)
{
  va_list list;

  fprintf (bed->record, "%6" G_GINT64_FORMAT " ms  ", bed_now_ms (bed));
  va_start (list, format);
  vfprintf (bed->record, format, list);
  va_end (list);
  fputc ('\n', bed->record);
  fflush (bed->record);
}

static gboolean
set_flag (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

void
bed_pass (guint ms)
{
  gboolean is_over = FALSE;

  g_timeout_add (ms, set_flag, &is_over);
  while (!is_over)
    g_main_context_iteration (NULL, TRUE);
}

static char *
format_endpoint (struct bed *bed, guint vm, enum port_use use, gboolean hidden)
{
  g_autofree char *ip = format_ip (vm, hidden);

  return g_strdup_printf ("%s:%u", ip, bed->ports[use]);
}

/*
 * The links between VMs, in this process.
 *
 * Every VM binds its port for peers at a hidden address and is called at its
 * public one, where this process listens.  It relays the channels, and may
 * hold up their bytes.  The port of the beacons is another one at each VM, so
 * that it is known here from which VM a beacon comes.
 */

struct link
{
  struct bed *bed;
  guint caller; /* VM; BED_VMS before it has said so */
  guint called;
  GSocket *ends[2];       /* the caller's, the called VM's */
  GByteArray *buffers[2]; /* received from that end, not delivered yet */
  gint64 lost_ms[2];      /* when the first of them was sent into the cut; 0 */
  gboolean has_ended[2];  /* that end has closed */
  gboolean has_passed_end[2];
  gboolean is_silent;
  guint timer;
};

static void
link_free (gpointer data)
{
  struct link *link = data;

  g_source_remove (link->timer);
  for (guint i = 0; i < 2; i++)
    {
      g_object_unref (link->ends[i]);
      g_byte_array_unref (link->buffers[i]);
    }
  g_free (link);
}

/* Takes what has come from END.  */
static void
link_receive (struct link *link, guint end)
{
  guint8 bytes[65536];
  gssize n;

  while (!link->has_ended[end])
    {
      g_autoptr (GError) error = NULL;

      n = g_socket_receive (link->ends[end], (char *)bytes, sizeof bytes, NULL,
                            &error);
      if (n < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return;
      if (n > 0)
        g_byte_array_append (link->buffers[end], bytes, (guint)n);
      else
        link->has_ended[end] = TRUE;
    }
}

/* Passes on what has come from END.  */
static void
link_deliver (struct link *link, guint end)
{
  GByteArray *buffer = link->buffers[end];

  while (buffer->len > 0)
    {
      gssize n = g_socket_send (link->ends[!end], (const char *)buffer->data,
                                buffer->len, NULL, NULL);

      if (n <= 0)
        return;
      g_byte_array_remove_range (buffer, 0, (guint)n);
    }
  if (link->has_ended[end] && !link->has_passed_end[end])
    {
      link->has_passed_end[end] = TRUE;
      g_socket_shutdown (link->ends[!end], FALSE, TRUE, NULL);
    }
}

/* The first name of a VM in what the caller sends is its own.  */
static void
find_caller (struct link *link)
{
  const GByteArray *buffer = link->buffers[0];

  for (guint i = 0; i + 6 < buffer->len && link->caller == BED_VMS; i++)
    if (memcmp (buffer->data + i, "edge-", 5) == 0)
      link->caller = buffer->data[i + 5] - '1';
}

/* Whether the bytes from END wait.  What is sent into a cut is lost, and sent
   again by TCP after 0.2, 0.4, 0.8, 1.6... s; what is sent after it on the
   same channel goes behind it.  */
static gboolean
is_held (struct link *link, guint end)
{
  struct bed *bed = link->bed;
  gint64 at_ms = link->lost_ms[end];

  if (bed->is_cut && (link->caller == 0 || link->called == 0))
    {
      if (at_ms == 0
          && (link->buffers[end]->len > 0
              || (link->has_ended[end] && !link->has_passed_end[end])))
        link->lost_ms[end] = bed_now_ms (bed);
      return TRUE;
    }
  if (at_ms == 0)
    return FALSE;
  for (gint64 timeout_ms = RETRANSMIT_MS; at_ms < bed->healed_ms;
       timeout_ms *= 2)
    at_ms += timeout_ms;
  if (bed_now_ms (bed) < at_ms)
    return TRUE;
  link->lost_ms[end] = 0;
  if (link->buffers[end]->len > 0)
    bed_note (bed, "TCP delivers %u bytes that the cut had lost to edge-%u",
              link->buffers[end]->len,
              1 + (end == 0 ? link->called : link->caller));
  return FALSE;
}

static gboolean
on_link_timer (gpointer data)
{
  struct link *link = data;

  for (guint end = 0; end < 2; end++)
    {
      link_receive (link, end);
      if (link->caller == BED_VMS)
        find_caller (link);
      if (link->is_silent)
        g_byte_array_set_size (link->buffers[end], 0);
      else if (!is_held (link, end))
        link_deliver (link, end);
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_channel (GSocket *listener, GIOCondition condition, gpointer data)
{
  struct bed *bed = data;
  guint vm = 0;
  GSocket *socket;
  struct link *link;
  g_autofree char *far = NULL;
  g_autoptr (GSocketAddress) address = NULL;

  while (vm < BED_VMS && bed->listeners[vm] != listener)
    vm++;
  socket = g_socket_accept (listener, NULL, NULL);
  if (socket == NULL)
    return G_SOURCE_CONTINUE;
  link = g_new0 (struct link, 1);
  link->bed = bed;
  link->caller = BED_VMS;
  link->called = vm;
  link->ends[0] = socket;
  link->ends[1] = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                G_SOCKET_PROTOCOL_TCP, NULL);
  far = format_ip (vm, TRUE);
  address
      = g_inet_socket_address_new_from_string (far, bed->ports[PORT_PEERS]);
  if (!g_socket_connect (link->ends[1], address, NULL, NULL))
    link->has_ended[1] = TRUE;
  for (guint i = 0; i < 2; i++)
    {
      g_socket_set_blocking (link->ends[i], FALSE);
      g_socket_set_option (link->ends[i], 6 /* TCP */, 1 /* no delay */, 1,
                           NULL);
      link->buffers[i] = g_byte_array_new ();
    }
  link->timer = g_timeout_add (1, on_link_timer, link);
  g_ptr_array_add (bed->links, link);
  return G_SOURCE_CONTINUE;
}

static guint
watch_socket (GSocket *socket, GSocketSourceFunc function, gpointer data)
{
  GSource *source = g_socket_create_source (socket, G_IO_IN, NULL);
  guint id;

  g_source_set_callback (source, G_SOURCE_FUNC (function), data, NULL);
  id = g_source_attach (source, NULL);
  g_source_unref (source);
  return id;
}

static GSocket *
bind_socket (const char *ip, guint16 port, GSocketType type)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, type,
                                  G_SOCKET_PROTOCOL_DEFAULT, NULL);
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string (ip, port);

  g_socket_set_blocking (socket, FALSE);
  g_assert_true (g_socket_bind (socket, address, TRUE, NULL));
  return socket;
}

static gboolean
is_passing (const struct relay *relay)
{
  return !relay->bed->is_cut
         || (relay->from != 0 && relay->from != BED_VMS && relay->to_vm != 0);
}

/* Heartbeats name the address at which the port for peers is bound; it is
   replaced by the public one, of the same length, so that the VMs go on
   calling each other here.  While there is no cut, nothing is lost.  */
static gboolean
on_datagram (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct relay *relay = data;
  char bytes[65536];
  gssize n = g_socket_receive (socket, bytes, sizeof bytes, NULL, NULL);

  for (gssize i = 0; i + 9 <= n; i++)
    if (memcmp (bytes + i, "127.77.2.", 9) == 0)
      bytes[i + 7] = '1';
  if (n > 0 && is_passing (relay))
    g_socket_send_to (socket, relay->to, bytes, (gsize)n, NULL, NULL);
  return G_SOURCE_CONTINUE;
}

static void
start_relay (struct relay *relay, struct bed *bed, guint from, guint to_vm,
             guint16 port, gboolean hidden, guint16 to_port)
{
  g_autofree char *near = format_ip (to_vm, FALSE);
  g_autofree char *far = format_ip (to_vm, hidden);

  relay->bed = bed;
  relay->from = from;
  relay->to_vm = to_vm;
  relay->to = g_inet_socket_address_new_from_string (far, to_port);
  relay->socket = bind_socket (near, port, G_SOCKET_TYPE_DATAGRAM);
  relay->source = watch_socket (relay->socket, on_datagram, relay);
}

static void
stop_relay (struct relay *relay)
{
  if (relay->socket == NULL)
    return;
  g_source_remove (relay->source);
  g_object_unref (relay->socket);
  g_object_unref (relay->to);
}

static void
start_links (struct bed *bed)
{
  bed->links = g_ptr_array_new_with_free_func (link_free);
  for (guint vm = 0; vm < BED_VMS; vm++)
    {
      g_autofree char *near = format_ip (vm, FALSE);

      start_relay (&bed->heartbeats[vm], bed, BED_VMS, vm,
                   bed->ports[PORT_PEERS], TRUE, bed->ports[PORT_PEERS]);
      for (guint from = 0; from < BED_VMS; from++)
        if (from != vm)
          start_relay (&bed->beacons[from][vm], bed, from, vm,
                       bed->beacon_ports[from], FALSE, bed->beacon_ports[vm]);
      bed->listeners[vm]
          = bind_socket (near, bed->ports[PORT_PEERS], G_SOCKET_TYPE_STREAM);
      g_assert_true (g_socket_listen (bed->listeners[vm], NULL));
      bed->listener_sources[vm]
          = watch_socket (bed->listeners[vm], on_channel, bed);
    }
}

static void
stop_links (struct bed *bed)
{
  for (guint vm = 0; vm < BED_VMS; vm++)
    {
      stop_relay (&bed->heartbeats[vm]);
      for (guint from = 0; from < BED_VMS; from++)
        stop_relay (&bed->beacons[from][vm]);
      g_source_remove (bed->listener_sources[vm]);
      g_object_unref (bed->listeners[vm]);
    }
  g_ptr_array_unref (bed->links);
}

/* As deploy/fleet.json.in is filled in for a small deployment.  */
static json_t *
build_settings (struct bed *bed, guint vm)
{
  g_autofree char *name = g_strdup_printf ("edge-%u", vm + 1);
  g_autofree char *ip = format_ip (vm, FALSE);
  g_autofree char *callers = format_endpoint (bed, vm, PORT_CALLERS, FALSE);
  g_autofree char *ready = format_endpoint (bed, vm, PORT_READINESS, FALSE);
  g_autofree char *peers = format_endpoint (bed, vm, PORT_PEERS, TRUE);
  g_autofree char *metrics = format_endpoint (bed, vm, PORT_METRICS, FALSE);
  g_autofree char *store
      = g_strdup_printf ("127.0.0.1:%u", bed->store->ports[vm]);

  return json_pack (
      "{ss ss ss s[s] ss ss ss si ss ss si si si si sb sb sf sf si sb si si "
      "sb ss}",
      "vm", name, "availability_zone", ZONE, "ip", ip, "availability_zones",
      ZONE, "callers", callers, "readiness", ready, "peers", peers,
      "beacon_port", bed->beacon_ports[vm], "metrics", metrics, "store", store,
      "shards", 16, "member_ttl_ms", 1000, "max_lease_ms", 1000, "grace_s", 6,
      "share_by_caller", TRUE, "spread_retries", TRUE, "far_factor", 1.5,
      "cpu_share", 0.25, "cpu_cores", 1, "share_by_capacity", TRUE,
      "max_waiting_jobs", 1000, "max_waiting_kb", 8192, "placement_by_speed",
      TRUE, "log_level", "info");
}

static void
start_vm (struct bed *bed, guint vm)
{
  g_autofree char *path
      = g_strdup_printf ("%s/edge-%u.json", bed->directory, vm + 1);
  g_autofree char *log
      = g_strdup_printf ("%s/edge-%u.log", bed->directory, vm + 1);
  json_t *settings = build_settings (bed, vm);

  g_assert_nonnull (settings);
  g_assert_cmpint (json_dump_file (settings, path, JSON_INDENT (1)), ==, 0);
  json_decref (settings);
  bed->vms[vm] = process_start_logged (log, "radishchute", "fleet",
                                       "--settings", path, NULL);
}

void
bed_restart_vm (struct bed *bed, guint vm)
{
  start_vm (bed, vm);
}

static json_t *
try_dump (struct bed *bed, guint vm)
{
  g_autofree char *where = format_endpoint (bed, vm, PORT_METRICS, FALSE);
  g_autofree char *url = g_strdup_printf ("http://%s/dump", where);
  struct http_answer *answer = http_request ("GET", url, NULL, NULL);
  json_t *dump = http_answer_json (answer);

  http_answer_free (answer);
  return dump;
}

/* Waits until the VMs own all minions among them, at least MIN each.  */
static gboolean
wait_settled (struct bed *bed, guint min)
{
  for (guint i = 0; i < SETTLE_TRIES; i++)
    {
      gint64 n = 0;
      guint n_ready = 0;

      for (guint vm = 0; vm < BED_VMS; vm++)
        {
          json_t *dump = try_dump (bed, vm);

          if (dump == NULL)
            continue;
          bed->owned[vm] = (guint)json_integer_value (
              json_object_get (dump, "upstreams"));
          n += bed->owned[vm];
          n_ready += bed->owned[vm] >= min
                     && json_integer_value (
                            json_object_get (dump, "routes_version"))
                            == 1;
          json_decref (dump);
        }
      if (n == bed->n_workers && n_ready == BED_VMS)
        return TRUE;
      bed_pass (20);
    }
  return FALSE;
}

char *
bed_format_job (struct bed *bed, guint vm, guint more, guint run_ms,
                guint estimate_ms)
{
  return g_strdup_printf (
      "{\"bestEffort\":true,\"spec\":\"%u cpu=6800 memMb=64\",\"steps\":"
      "[{\"count\":%u,\"cpu\":6800,\"memMb\":64,\"estMs\":%u}]}",
      run_ms, 2 * bed->owned[vm] + more, estimate_ms);
}

/* Every VM gets a job that is larger than its own room, so that all VMs have
   channels to each other, as in use.  */
static void
warm_up (struct bed *bed)
{
  for (guint vm = 0; vm < BED_VMS; vm++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", vm + 1);
      g_autofree char *body = bed_format_job (bed, vm, 6, 100, 100);
      struct http_answer *answer
          = http_finish (bed_send (bed, vm, id, body, 1500));

      bed_note (bed, "client is answered %u", answer->status);
      http_answer_free (answer);
      bed_pass (300);
    }
}

struct bed *
bed_start (const char *record_path, guint n_workers)
{
  struct bed *bed = g_new0 (struct bed, 1);
  g_autofree char *count = g_strdup_printf ("%u", n_workers);
  g_autofree char *store = NULL;
  g_autofree char *url = NULL;

  bed->record = fopen (record_path, "w");
  g_assert_nonnull (bed->record);
  bed->began_us = g_get_monotonic_time ();
  bed->n_workers = n_workers;
  bed->directory = g_dir_make_tmp ("review-XXXXXX", NULL);
  draw_ports (bed);
  bed->store = process_start_standin ("store", "--doors", "4", NULL);
  start_links (bed);
  store = g_strdup_printf ("%u", bed->store->ports[BED_VMS]);
  bed->workers = process_start_standin (
      "worker", "--count", count, "--store", store, "--service", SERVICE,
      "--zone", ZONE, "--name", "m", "--racks", "3", "--cpu", "16000",
      "--memory-mb", "32768", "--heartbeat-ms", "500", "--seed", "1", NULL);
  url = http_url (bed->store->ports[0],
                  "/standin/put?topic=keyed.op&key=config");
  http_post (url, desired_state);
  for (guint vm = 0; vm < BED_VMS; vm++)
    start_vm (bed, vm);
  if (!wait_settled (bed, 2))
    {
      bed_note (bed, "the deployment did not start up");
      bed_free (bed);
      return NULL;
    }
  bed_pass (2500);
  if (!wait_settled (bed, 2))
    {
      bed_note (bed, "the deployment did not settle");
      bed_free (bed);
      return NULL;
    }
  warm_up (bed);
  bed_note (bed, "%u VMs serve; they own %u, %u and %u minions", BED_VMS,
            bed->owned[0], bed->owned[1], bed->owned[2]);
  return bed;
}

static void
remove_files (struct bed *bed)
{
  g_autoptr (GDir) dir = g_dir_open (bed->directory, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (bed->directory, name, NULL);

      if (g_getenv ("REVIEW_KEEP") == NULL)
        g_unlink (path);
    }
  g_rmdir (bed->directory);
}

void
bed_free (struct bed *bed)
{
  for (guint vm = 0; vm < BED_VMS; vm++)
    g_clear_pointer (&bed->vms[vm], process_free);
  g_clear_pointer (&bed->workers, process_free);
  stop_links (bed);
  g_clear_pointer (&bed->store, process_free);
  remove_files (bed);
  fclose (bed->record);
  g_free (bed->directory);
  g_free (bed);
}

void
bed_silence_peers (struct bed *bed)
{
  for (guint i = 0; i < bed->links->len; i++)
    ((struct link *)g_ptr_array_index (bed->links, i))->is_silent = TRUE;
  bed_note (bed, "all open channels between VMs went silent; new ones work");
}

void
bed_cut (struct bed *bed)
{
  bed->is_cut = TRUE;
  bed_note (bed, "edge-1 is cut off from the other VMs");
}

void
bed_heal (struct bed *bed)
{
  bed->is_cut = FALSE;
  bed->healed_ms = bed_now_ms (bed);
  bed_note (bed, "the cut has ended");
}

struct http_call *
bed_send (struct bed *bed, guint vm, const char *id, const char *body,
          guint budget_ms)
{
  g_autofree char *budget = g_strdup_printf ("%u", budget_ms);
  const char *const headers[]
      = { "Host", BED_HOST, "Radishchute-Deadline-Ms", budget, NULL };
  g_autofree char *where = format_endpoint (bed, vm, PORT_CALLERS, FALSE);
  g_autofree char *url
      = g_strdup_printf ("http://%s" BED_PREFIX "%s", where, id);

  bed_note (bed, "client sends job %s to edge-%u, waits %u ms", id, vm + 1,
            budget_ms);
  return http_begin ("POST", url, body, headers);
}

json_t *
bed_get_record (struct bed *bed)
{
  g_autofree char *url = http_url (
      bed->workers->ports[bed->workers->n_ports - 1], "/standin/record");

  return http_get_json (url);
}

void
bed_note_runs (struct bed *bed, json_t *list)
{
  gint64 offset_ms = -1;
  json_t *run;
  gsize i;

  fprintf (bed->record, "runs (times from the first start):\n");
  json_array_foreach (list, i, run)
  {
    gint64 start_ms = json_get_int (run, "start_ms");
    gint64 end_ms = json_get_int (run, "end_ms");

    if (offset_ms < 0)
      offset_ms = start_ms;
    fprintf (bed->record, "  %s run %lld on %s: %lld to %lld ms, %s%s%s\n",
             json_string_value (json_get (run, "task")),
             (long long)json_get_int (run, "run"),
             json_string_value (json_get (run, "worker")),
             (long long)(start_ms - offset_ms),
             (long long)(end_ms < 0 ? -1 : end_ms - offset_ms),
             json_string_value (json_get (run, "end")),
             json_is_true (json_get (run, "double")) ? ", BESIDE ANOTHER RUN"
                                                     : "",
             json_is_true (json_get (run, "over_capacity")) ? ", OVER CAPACITY"
                                                            : "");
  }
}
