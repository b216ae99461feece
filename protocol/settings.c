#include "protocol/settings.h"

#include "state/job_id.h"

#include <gio/gio.h>
#include <string.h>

#define MIN_BODY_BYTES 1024
#define MAX_BODY_BYTES (256 * 1024 * 1024)
#define DEFAULT_BODY_BYTES (8 * 1024 * 1024)
#define MIN_STATE_BYTES (1024 * 1024)
#define MAX_STATE_BYTES (2047u * 1024 * 1024)
#define DEFAULT_STATE_BYTES (32 * 1024 * 1024)
#define MAX_CALLER_CONNECTIONS 1000000
#define DEFAULT_CALLER_CONNECTIONS 4096
#define MIN_MEMORY_MB 16
#define MAX_MEMORY_MB (16 * 1024 * 1024)
#define MIN_DESCRIPTORS 64
#define MAX_DESCRIPTORS 1000000000
#define MIN_REQUEST_TIMEOUT_MS 100
#define MAX_REQUEST_TIMEOUT_MS 600000
#define DEFAULT_REQUEST_TIMEOUT_MS 10000
#define MAX_DRAIN_TIMEOUT_MS 3600000
#define DEFAULT_DRAIN_TIMEOUT_MS 600000
#define MIN_KEY_DIGITS 32
#define MAX_SNAPSHOT_INTERVAL_S 86400
#define DEFAULT_SNAPSHOT_INTERVAL_S 900
#define MAX_SNAPSHOT_RECORDS 1000000
#define DEFAULT_SNAPSHOT_RECORDS 2000
#define MAX_ENTRY_VMS 8192

static const char *const settings_keys[] = { "vm",
                                             "availability_zone",
                                             "region",
                                             "listen",
                                             "peer_listen",
                                             "peer_seeds",
                                             "log_url",
                                             "vm_list_url",
                                             "config_stream",
                                             "snapshot_stream",
                                             "keys",
                                             "operator_token",
                                             "tls",
                                             "log",
                                             "limits",
                                             NULL };
static const char *const tls_keys[] = { "certificate", "key", NULL };
static const char *const log_keys[] = { "level", "format", NULL };
static const char *const limit_keys[]
    = { "body_bytes",         "state_bytes",      "connections",
        "request_timeout_ms", "drain_timeout_ms", "snapshot_interval_s",
        "snapshot_records",   "entry_vms",        "entry_number",
        "memory_mb",          "descriptors",      NULL };

/* Whether TEXT is an http or https URL with an IP address.  Host names are not
   allowed.  */
static gboolean
is_url (const char *text)
{
  g_autoptr (GUri) uri = g_uri_parse (text, G_URI_FLAGS_NONE, NULL);

  if (uri == NULL || g_uri_get_host (uri) == NULL)
    return FALSE;
  if (!g_str_equal (g_uri_get_scheme (uri), "http")
      && !g_str_equal (g_uri_get_scheme (uri), "https"))
    return FALSE;
  return g_hostname_is_ip_address (g_uri_get_host (uri));
}

/* Reads a required URL and removes its final slash.  */
static void
read_url (struct json_check *check, json_t *root, const char *key,
          char **value)
{
  settings_read_string (check, "settings", root, key, TRUE, value);
  if (*value == NULL)
    return;
  if (!is_url (*value))
    json_check_add_problem (check, key,
                            "must be a URL with an IP address, as in "
                            "http://10.0.0.2:7000");
  else if (g_str_has_suffix (*value, "/"))
    (*value)[strlen (*value) - 1] = '\0';
}

static void
read_names (struct json_check *check, json_t *root, struct settings *settings)
{
  settings_read_string (check, "settings", root, "vm", TRUE, &settings->vm);
  if (settings->vm != NULL && !vm_name_is_valid (settings->vm))
    json_check_add_problem (check, "vm",
                            "must have 1 to 63 characters of "
                            "a-z, 0-9 and '-'");
  settings_read_string (check, "settings", root, "availability_zone", TRUE,
                        &settings->availability_zone);
  settings_read_string (check, "settings", root, "region", FALSE,
                        &settings->region);
  settings_read_string (check, "settings", root, "config_stream", FALSE,
                        &settings->config_stream);
  settings_read_string (check, "settings", root, "snapshot_stream", FALSE,
                        &settings->snapshot_stream);
  settings_read_string (check, "settings", root, "operator_token", FALSE,
                        &settings->operator_token);
}

static void
read_seeds (struct json_check *check, json_t *root, struct settings *settings)
{
  json_t *seeds = NULL;

  if (!json_read_array (check, "settings", root, "peer_seeds", FALSE, &seeds))
    return;
  for (size_t i = 0; i < json_array_size (seeds); i++)
    {
      const char *text = json_string_value (json_array_get (seeds, i));
      struct endpoint endpoint = { NULL, 0 };

      if (text == NULL || !settings_parse_endpoint (text, &endpoint)
          || endpoint.port == 0)
        json_check_add_problem (
            check, "peer_seeds",
            "entry %u must be IP:PORT, as in 10.0.1.6:9000", (guint)i);
      else
        g_ptr_array_add (settings->peer_seeds, g_strdup (text));
      g_free (endpoint.ip);
    }
}

static gboolean
is_key (const char *text)
{
  size_t n = text != NULL ? strlen (text) : 0;

  if (n < MIN_KEY_DIGITS || n % 2 != 0)
    return FALSE;
  return strspn (text, "0123456789abcdefABCDEF") == n;
}

static void
read_keys (struct json_check *check, json_t *root, struct settings *settings)
{
  json_t *keys = NULL;

  if (!json_read_array (check, "settings", root, "keys", FALSE, &keys))
    return;
  for (size_t i = 0; i < json_array_size (keys); i++)
    {
      const char *text = json_string_value (json_array_get (keys, i));

      if (!is_key (text))
        json_check_add_problem (
            check, "keys",
            "entry %u must be an even number of at least %d "
            "hexadecimal digits",
            (guint)i, MIN_KEY_DIGITS);
      else
        g_ptr_array_add (settings->keys, g_strdup (text));
    }
}

static void
read_tls (struct json_check *check, json_t *root, struct settings *settings)
{
  json_t *tls = NULL;

  if (!json_read_object (check, "settings", root, "tls", FALSE, &tls))
    return;
  json_check_keys (check, "tls", tls, tls_keys);
  settings_read_string (check, "tls", tls, "certificate", TRUE,
                        &settings->tls_certificate);
  settings_read_string (check, "tls", tls, "key", TRUE, &settings->tls_key);
}

static void
read_log (struct json_check *check, json_t *root, struct settings *settings)
{
  const char *format = NULL;
  json_t *log = NULL;

  if (!json_read_object (check, "settings", root, "log", FALSE, &log))
    return;
  json_check_keys (check, "log", log, log_keys);
  settings_read_log_level (check, "log", log, "level", &settings->log_level);
  if (!json_read_string (check, "log", log, "format", FALSE, &format))
    return;
  if (g_str_equal (format, "json"))
    settings->log_format = LOG_FORMAT_JSON;
  else if (!g_str_equal (format, "text"))
    json_check_add_problem (check, "log.format", "must be one of: text, json");
}

static void
read_limits (struct json_check *check, json_t *root, struct settings *settings)
{
  json_t *limits = NULL;

  if (!json_read_object (check, "settings", root, "limits", FALSE, &limits))
    return;
  json_check_keys (check, "limits", limits, limit_keys);
  json_read_uint (check, "limits", limits, "body_bytes", MIN_BODY_BYTES,
                  MAX_BODY_BYTES, &settings->max_body_bytes);
  json_read_uint (check, "limits", limits, "state_bytes", MIN_STATE_BYTES,
                  MAX_STATE_BYTES, &settings->max_state_bytes);
  json_read_uint (check, "limits", limits, "connections", 1,
                  MAX_CALLER_CONNECTIONS, &settings->max_connections);
  json_read_uint (check, "limits", limits, "memory_mb", MIN_MEMORY_MB,
                  MAX_MEMORY_MB, &settings->memory_mb);
  json_read_uint (check, "limits", limits, "descriptors", MIN_DESCRIPTORS,
                  MAX_DESCRIPTORS, &settings->max_descriptors);
  json_read_uint (check, "limits", limits, "request_timeout_ms",
                  MIN_REQUEST_TIMEOUT_MS, MAX_REQUEST_TIMEOUT_MS,
                  &settings->request_timeout_ms);
  json_read_uint (check, "limits", limits, "drain_timeout_ms", 0,
                  MAX_DRAIN_TIMEOUT_MS, &settings->drain_timeout_ms);
  json_read_uint (check, "limits", limits, "snapshot_interval_s", 1,
                  MAX_SNAPSHOT_INTERVAL_S, &settings->snapshot_interval_s);
  json_read_uint (check, "limits", limits, "snapshot_records", 1,
                  MAX_SNAPSHOT_RECORDS, &settings->snapshot_records);
  json_read_uint (check, "limits", limits, "entry_vms", 1, MAX_ENTRY_VMS,
                  &settings->entry_vms);
  json_read_uint (check, "limits", limits, "entry_number", 0,
                  MAX_ENTRY_VMS - 1, &settings->entry_number);
  if (settings->entry_number != G_MAXUINT
      && settings->entry_number >= settings->entry_vms)
    json_check_add_problem (check, "limits",
                            "'entry_number' must be below 'entry_vms'");
}

static void
check_address_conflict (struct json_check *check,
                        const struct settings *settings)
{
  const struct endpoint *a = &settings->listen;
  const struct endpoint *b = &settings->peer_listen;

  if (a->port != 0 && a->port == b->port && g_strcmp0 (a->ip, b->ip) == 0)
    json_check_add_problem (
        check, "peer_listen",
        "is the same address as 'listen'; give it another port");
}

static gpointer
settings_new (void)
{
  struct settings *settings = g_new0 (struct settings, 1);

  settings->peer_seeds = g_ptr_array_new_with_free_func (g_free);
  settings->keys = g_ptr_array_new_with_free_func (g_free);
  settings->region = g_strdup ("");
  settings->config_stream = g_strdup ("radishchute-config");
  settings->snapshot_stream = g_strdup ("radishchute-snapshots");
  settings->log_level = LOG_LEVEL_INFO;
  settings->max_body_bytes = DEFAULT_BODY_BYTES;
  settings->max_state_bytes = DEFAULT_STATE_BYTES;
  settings->max_connections = DEFAULT_CALLER_CONNECTIONS;
  settings->request_timeout_ms = DEFAULT_REQUEST_TIMEOUT_MS;
  settings->drain_timeout_ms = DEFAULT_DRAIN_TIMEOUT_MS;
  settings->snapshot_interval_s = DEFAULT_SNAPSHOT_INTERVAL_S;
  settings->snapshot_records = DEFAULT_SNAPSHOT_RECORDS;
  settings->entry_number = G_MAXUINT;
  return settings;
}

static void
read_settings (struct json_check *check, json_t *root, gpointer data)
{
  struct settings *settings = data;

  if (!json_is_object (root))
    {
      json_check_add_problem (check, "settings", "must be an object");
      return;
    }
  json_check_keys (check, "settings", root, settings_keys);
  read_names (check, root, settings);
  settings_read_endpoint (check, "settings", root, "listen", TRUE,
                          &settings->listen);
  settings_read_endpoint (check, "settings", root, "peer_listen", TRUE,
                          &settings->peer_listen);
  read_seeds (check, root, settings);
  read_url (check, root, "log_url", &settings->log_url);
  read_url (check, root, "vm_list_url", &settings->vm_list_url);
  read_keys (check, root, settings);
  read_tls (check, root, settings);
  read_log (check, root, settings);
  read_limits (check, root, settings);
  check_address_conflict (check, settings);
}

static void
free_settings (gpointer settings)
{
  settings_free (settings);
}

static const struct settings_kind kind
    = { settings_new, read_settings, free_settings };

struct settings *
settings_parse (const char *text, gsize length, const char *source,
                GError **error)
{
  return settings_read_text (&kind, text, length, source, error);
}

struct settings *
settings_load (const char *path, GError **error)
{
  return settings_read_file (&kind, path, error);
}

void
settings_free (struct settings *settings)
{
  g_free (settings->vm);
  g_free (settings->availability_zone);
  g_free (settings->region);
  g_free (settings->listen.ip);
  g_free (settings->peer_listen.ip);
  g_ptr_array_unref (settings->peer_seeds);
  g_free (settings->log_url);
  g_free (settings->vm_list_url);
  g_free (settings->config_stream);
  g_free (settings->snapshot_stream);
  g_ptr_array_unref (settings->keys);
  g_free (settings->operator_token);
  g_free (settings->tls_certificate);
  g_free (settings->tls_key);
  g_free (settings);
}
