/*
 * The stand-in of the platform: the append-only log and the list of VMs of
 * docs/PROTOCOLS.md, sections 2 and 3, and controls under /test/ that bring
 * about outages, expiry and lag.
 */
#include "t/standin/listener.h"
#include "t/standin/log_stream.h"
#include "t/standin/program.h"
#include "t/standin/standin.h"

#include <string.h>

#define MAX_RECORD_BYTES (1024 * 1024)
#define DEFAULT_READ_LIMIT 100

enum outage_mode
{
  OUTAGE_NONE,
  OUTAGE_REFUSE,
  OUTAGE_SILENT,
  OUTAGE_LOSE_ANSWERS,
  OUTAGE_MODE_COUNT
};

static const char *const outage_names[OUTAGE_MODE_COUNT]
    = { "none", "refuse", "silent", "lose-answers" };

struct platform
{
  GHashTable *streams; /* name -> struct log_stream */
  gint64 retention;    /* records kept in a stream; 0 for all */
  enum outage_mode outage;
  json_t *vms; /* what the list shows */
  gint64 vms_version;
  guint vms_lag_ms;
};

static struct log_stream *
find_stream (struct platform *platform, const char *name)
{
  struct log_stream *stream = g_hash_table_lookup (platform->streams, name);

  if (stream == NULL)
    {
      stream = log_stream_new (platform->retention);
      g_hash_table_insert (platform->streams, g_strdup (name), stream);
    }
  return stream;
}

static void
append_record (struct platform *platform, const char *name,
               SoupServerMessage *msg)
{
  gsize length;
  const char *text = request_text (msg, &length);
  json_t *body = json_object ();

  json_add_int (body, "offset",
                log_stream_append (find_stream (platform, name), text));
  if (platform->outage == OUTAGE_LOSE_ANSWERS)
    {
      json_decref (body);
      answer_by_closing (msg);
      return;
    }
  answer_json (msg, 200, body);
}

static void
handle_append (struct platform *platform, const char *name,
               SoupServerMessage *msg)
{
  gsize length;
  json_t *value = request_json (msg);
  gboolean valid = value != NULL;

  request_text (msg, &length);
  json_decref (value);
  if (length > MAX_RECORD_BYTES)
    answer_text (msg, 413, NULL);
  else if (!valid)
    answer_text (msg, 400, NULL);
  else
    append_record (platform, name, msg);
}

static gint64
query_int (GHashTable *query, const char *name, gint64 fallback)
{
  const char *text = query ? g_hash_table_lookup (query, name) : NULL;

  return text == NULL ? fallback : g_ascii_strtoll (text, NULL, 10);
}

static void
handle_read (struct platform *platform, const char *name, GHashTable *query,
             SoupServerMessage *msg)
{
  log_stream_read (find_stream (platform, name), msg,
                   query_int (query, "from", 0),
                   query_int (query, "limit", DEFAULT_READ_LIMIT),
                   query_int (query, "wait_ms", 0));
}

/* Whether an outage took care of MSG.  */
static gboolean
apply_outage (struct platform *platform, SoupServerMessage *msg)
{
  if (platform->outage == OUTAGE_REFUSE)
    answer_text (msg, 503, NULL);
  else if (platform->outage == OUTAGE_SILENT)
    answer_by_silence (msg);
  return platform->outage == OUTAGE_REFUSE
         || platform->outage == OUTAGE_SILENT;
}

static void
on_streams (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  struct platform *platform = data;
  g_autofree char *name = g_strdup (path + strlen ("/v1/streams/"));

  if (apply_outage (platform, msg))
    return;
  if (!g_str_has_suffix (name, "/records"))
    {
      answer_text (msg, 404, NULL);
      return;
    }
  name[strlen (name) - strlen ("/records")] = '\0';
  if (request_has_method (msg, "POST"))
    handle_append (platform, name, msg);
  else if (request_has_method (msg, "GET"))
    handle_read (platform, name, query, msg);
  else
    answer_text (msg, 405, NULL);
}

static void
on_vms (SoupServer *server, SoupServerMessage *msg, const char *path,
        GHashTable *query, gpointer data)
{
  struct platform *platform = data;
  g_autofree char *tag
      = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", platform->vms_version);
  const char *known = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "If-None-Match");
  json_t *body;

  if (apply_outage (platform, msg))
    return;
  if (g_strcmp0 (known, tag) == 0)
    {
      answer_text (msg, 304, NULL);
      return;
    }
  body = json_object ();
  json_add_int (body, "version", platform->vms_version);
  json_object_set_new (body, "vms", json_incref (platform->vms));
  answer_json (msg, 200, body);
}

struct vms_change
{
  struct platform *platform;
  json_t *vms;
};

static gboolean
show_vms (gpointer data)
{
  struct vms_change *change = data;

  json_decref (change->platform->vms);
  change->platform->vms = change->vms;
  change->platform->vms_version++;
  g_free (change);
  return G_SOURCE_REMOVE;
}

static void
on_test_vms (SoupServer *server, SoupServerMessage *msg, const char *path,
             GHashTable *query, gpointer data)
{
  struct platform *platform = data;
  json_t *vms = request_json (msg);
  struct vms_change *change;

  if (!json_is_array (vms))
    {
      json_decref (vms);
      answer_text (msg, 400, NULL);
      return;
    }
  change = g_new (struct vms_change, 1);
  change->platform = platform;
  change->vms = vms;
  if (platform->vms_lag_ms == 0)
    show_vms (change);
  else
    g_timeout_add (platform->vms_lag_ms, show_vms, change);
  answer_json (msg, 200, json_object ());
}

static void
set_outage (struct platform *platform, enum outage_mode mode)
{
  GHashTableIter iter;
  gpointer stream;

  platform->outage = mode;
  if (mode != OUTAGE_SILENT)
    return;
  g_hash_table_iter_init (&iter, platform->streams);
  while (g_hash_table_iter_next (&iter, NULL, &stream))
    log_stream_abandon_readers (stream);
}

static void
on_test_outage (SoupServer *server, SoupServerMessage *msg, const char *path,
                GHashTable *query, gpointer data)
{
  struct platform *platform = data;
  json_t *body = request_json (msg);
  const char *mode = json_text_member (body, "mode");
  guint status = 400;

  for (int i = 0; i < OUTAGE_MODE_COUNT; i++)
    if (g_strcmp0 (mode, outage_names[i]) == 0)
      {
        set_outage (platform, (enum outage_mode)i);
        status = 200;
      }
  json_decref (body);
  answer_json (msg, status, json_object ());
}

static void
on_test_expire (SoupServer *server, SoupServerMessage *msg, const char *path,
                GHashTable *query, gpointer data)
{
  struct platform *platform = data;
  json_t *body = request_json (msg);
  const char *name = json_text_member (body, "stream");

  if (name == NULL)
    answer_text (msg, 400, NULL);
  else
    {
      log_stream_expire (find_stream (platform, name),
                         json_int_member (body, "before", 0));
      answer_json (msg, 200, json_object ());
    }
  json_decref (body);
}

static void
on_test_streams (SoupServer *server, SoupServerMessage *msg, const char *path,
                 GHashTable *query, gpointer data)
{
  struct platform *platform = data;
  const char *name = path + strlen ("/test/streams/");

  log_stream_dump (find_stream (platform, name), msg);
}

static void
add_handlers (SoupServer *server, struct platform *platform)
{
  soup_server_add_handler (server, "/v1/streams/", on_streams, platform, NULL);
  soup_server_add_handler (server, "/v1/vms", on_vms, platform, NULL);
  soup_server_add_handler (server, "/test/vms", on_test_vms, platform, NULL);
  soup_server_add_handler (server, "/test/outage", on_test_outage, platform,
                           NULL);
  soup_server_add_handler (server, "/test/expire", on_test_expire, platform,
                           NULL);
  soup_server_add_handler (server, "/test/streams/", on_test_streams, platform,
                           NULL);
}

static void
add_port (SoupServer *server, int port, GArray *ports)
{
  g_autoptr (GError) error = NULL;
  struct listener *listener = listener_new (server, (guint16)port, 0, &error);

  if (listener == NULL)
    program_fail (error);
  g_array_append_val (ports, listener->port);
}

int
standin_platform (int argc, char **argv)
{
  int port = 0;
  int second_port = -1;
  int vms_lag_ms = 0;
  int status;
  struct platform platform = { 0 };
  const GOptionEntry entries[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "Port, 0 for any", "PORT" },
    { "port-b", 0, 0, G_OPTION_ARG_INT, &second_port,
      "A second port with the same contents", "PORT" },
    { "retention", 0, 0, G_OPTION_ARG_INT64, &platform.retention,
      "Records kept in a stream, 0 for all", "N" },
    { "vms-lag-ms", 0, 0, G_OPTION_ARG_INT, &vms_lag_ms,
      "By how much the list of VMs lags", "MS" },
    { NULL },
  };
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autoptr (GArray) ports = g_array_new (FALSE, FALSE, sizeof (guint16));

  program_parse (argc, argv, entries);
  platform.vms_lag_ms = (guint)vms_lag_ms;
  platform.streams = g_hash_table_new (g_str_hash, g_str_equal);
  platform.vms = json_array ();
  add_handlers (server, &platform);
  add_port (server, port, ports);
  if (second_port >= 0)
    add_port (server, second_port, ports);
  status = program_run ((const guint16 *)(void *)ports->data, ports->len);
  json_decref (platform.vms);
  g_hash_table_unref (platform.streams);
  return status;
}
