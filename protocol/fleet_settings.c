#include "protocol/fleet_settings.h"

#include "protocol/peer_xdr.h"

#include <string.h>

/* Separates the parts of a VM's member name in the platform's groups.  */
#define MEMBER_SEPARATOR '@'

#define MAX_PORT 65535
#define MAX_SHARDS 64
#define MAX_DURATION_MS 600000
#define MAX_CONNECTIONS 1000000
#define MIN_MEMORY_MB 16
#define MAX_MEMORY_MB 16777216
#define MIN_DESCRIPTORS 64
#define MAX_DESCRIPTORS 1000000000
#define MAX_WAITING_JOBS 1000000
#define MAX_WAITING_KB 16777216

#define DEFAULT_SHARDS 16
#define DEFAULT_MEMBER_TTL_MS 1000

/* The default of lease_ms: DEFAULT_LEASE_MS, or this share of max_lease_ms if
   that is shorter.  */
#define DEFAULT_LEASE_MS 900
#define DEFAULT_LEASE_SHARE 0.9

#define DEFAULT_MAX_LEASE_MS 1000
#define DEFAULT_CALLER_RETRY_MS 1300

/* A shorter time would be over before a lost VM is noticed.  */
#define MIN_CALLER_RETRY_MS 1000
#define DEFAULT_GRACE_MS 6000
#define DEFAULT_CONNECTIONS 3000
#define MAX_FAR_FACTOR 100
#define MAX_CPU_CORES 1000

static const char *const keys[] = { "vm",
                                    "availability_zone",
                                    "ip",
                                    "availability_zones",
                                    "callers",
                                    "readiness",
                                    "peers",
                                    "beacon_port",
                                    "metrics",
                                    "store",
                                    "shards",
                                    "member_ttl_ms",
                                    "lease_ms",
                                    "max_lease_ms",
                                    "caller_retry_ms",
                                    "grace_s",
                                    "max_connections",
                                    "memory_mb",
                                    "max_descriptors",
                                    "far_factor",
                                    "log_level",
                                    "share_by_caller",
                                    "spread_retries",
                                    "max_waiting_jobs",
                                    "max_waiting_kb",
                                    "placement_by_speed",
                                    "share_by_capacity",
                                    "cpu_share",
                                    "cpu_cores",
                                    NULL };

/* Reads a required string that must not be empty.  */
static void
read_text (struct json_check *check, json_t *root, const char *key,
           char **value)
{
  settings_read_string (check, key, root, key, TRUE, value);
  if (*value != NULL && (*value)[0] == '\0')
    json_check_add_problem (check, key, "must not be empty");
}

/* Reads a string that is sent in beacons and as part of the member name, so
   that its length and characters are limited.  */
static void
read_name (struct json_check *check, json_t *root, const char *key,
           char **value)
{
  read_text (check, root, key, value);
  if (*value != NULL && strlen (*value) > PEER_NAME_MAX)
    json_check_add_problem (check, key, "must have at most %d bytes",
                            PEER_NAME_MAX);
  if (*value != NULL && strchr (*value, MEMBER_SEPARATOR) != NULL)
    json_check_add_problem (check, key, "must not contain a '%c'",
                            MEMBER_SEPARATOR);
}

static void
read_zones (struct json_check *check, json_t *root,
            struct fleet_settings *settings)
{
  json_t *zones = NULL;
  json_t *zone;
  gsize i;

  if (json_read_array (check, "availability_zones", root, "availability_zones",
                       TRUE, &zones))
    json_array_foreach (zones, i, zone)
    {
      if (json_is_string (zone))
        g_ptr_array_add (settings->availability_zones,
                         g_strdup (json_string_value (zone)));
      else
        json_check_add_problem (check, "availability_zones",
                                "must contain only names");
    }
  g_ptr_array_add (settings->availability_zones, NULL);
}

/* Reads an optional number and rounds it down to an integer.  */
static void
read_uint (struct json_check *check, json_t *root, const char *key, guint min,
           guint max, guint *value)
{
  gdouble number;

  if (json_read_number (check, "", root, key, min, max, &number))
    *value = (guint)number;
}

/* Reads both leases.  The default of lease_ms depends on max_lease_ms.  */
static void
read_leases (struct json_check *check, json_t *root, struct fleet_settings *s)
{
  gdouble share_ms;

  read_uint (check, root, "max_lease_ms", 1, MAX_DURATION_MS,
             &s->max_lease_ms);
  share_ms = MAX (s->max_lease_ms * DEFAULT_LEASE_SHARE, 1);
  s->lease_ms = (guint)MIN (DEFAULT_LEASE_MS, share_ms);
  read_uint (check, root, "lease_ms", 1, MAX_DURATION_MS, &s->lease_ms);
  if (s->lease_ms > s->max_lease_ms)
    json_check_add_problem (check, "lease_ms", "must not exceed max_lease_ms");
}

static void
read_numbers (struct json_check *check, json_t *root, struct fleet_settings *s)
{
  gdouble grace_s;

  if (json_object_get (root, "beacon_port") == NULL)
    json_check_add_problem (check, "", "'beacon_port' is missing; add it");
  read_uint (check, root, "beacon_port", 1, MAX_PORT, &s->beacon_port);
  read_uint (check, root, "shards", 1, MAX_SHARDS, &s->n_shards);
  read_uint (check, root, "member_ttl_ms", 100, MAX_DURATION_MS,
             &s->member_ttl_ms);
  read_uint (check, root, "caller_retry_ms", MIN_CALLER_RETRY_MS,
             MAX_DURATION_MS, &s->caller_retry_ms);
  read_uint (check, root, "max_connections", 1, MAX_CONNECTIONS,
             &s->max_connections);
  read_uint (check, root, "memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB,
             &s->memory_mb);
  read_uint (check, root, "max_descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS,
             &s->max_descriptors);
  read_uint (check, root, "max_waiting_jobs", 0, MAX_WAITING_JOBS,
             &s->max_waiting_jobs);
  read_uint (check, root, "max_waiting_kb", 0, MAX_WAITING_KB,
             &s->max_waiting_kb);
  json_read_number (check, "", root, "far_factor", 1, MAX_FAR_FACTOR,
                    &s->far_factor);
  json_read_number (check, "", root, "cpu_share", 0, MAX_CPU_CORES,
                    &s->cpu_share);
  json_read_number (check, "", root, "cpu_cores", 0, MAX_CPU_CORES,
                    &s->cpu_cores);
  if (json_read_number (check, "", root, "grace_s", 0.001,
                        MAX_DURATION_MS / 1000.0, &grace_s))
    s->grace_ms = (guint)(grace_s * 1000);
}

static gpointer
settings_new (void)
{
  struct fleet_settings *settings = g_new0 (struct fleet_settings, 1);

  settings->availability_zones = g_ptr_array_new_with_free_func (g_free);
  settings->n_shards = DEFAULT_SHARDS;
  settings->member_ttl_ms = DEFAULT_MEMBER_TTL_MS;
  settings->max_lease_ms = DEFAULT_MAX_LEASE_MS;
  settings->caller_retry_ms = DEFAULT_CALLER_RETRY_MS;
  settings->grace_ms = DEFAULT_GRACE_MS;
  settings->far_factor = 1;
  settings->cpu_cores = 1;
  settings->max_connections = DEFAULT_CONNECTIONS;
  settings->log_level = LOG_LEVEL_INFO;
  return settings;
}

static void
read_root (struct json_check *check, json_t *root, gpointer data)
{
  struct fleet_settings *settings = data;

  json_check_keys (check, "", root, keys);
  read_name (check, root, "vm", &settings->vm);
  read_name (check, root, "availability_zone", &settings->availability_zone);
  read_name (check, root, "ip", &settings->ip);
  read_text (check, root, "store", &settings->store);
  settings_read_endpoint (check, "callers", root, "callers", TRUE,
                          &settings->callers);
  settings_read_endpoint (check, "readiness", root, "readiness", TRUE,
                          &settings->readiness);
  settings_read_endpoint (check, "peers", root, "peers", TRUE,
                          &settings->peers);
  settings_read_endpoint (check, "metrics", root, "metrics", FALSE,
                          &settings->metrics);
  json_read_boolean (check, "", root, "share_by_capacity",
                     &settings->share_by_capacity);
  read_zones (check, root, settings);
  read_numbers (check, root, settings);
  read_leases (check, root, settings);
  json_read_boolean (check, "", root, "share_by_caller",
                     &settings->share_by_caller);
  json_read_boolean (check, "", root, "spread_retries",
                     &settings->spread_retries);
  json_read_boolean (check, "", root, "placement_by_speed",
                     &settings->placement_by_speed);
  settings_read_log_level (check, "log_level", root, "log_level",
                           &settings->log_level);
}

static void
free_settings (gpointer settings)
{
  fleet_settings_free (settings);
}

static const struct settings_kind kind
    = { settings_new, read_root, free_settings };

struct fleet_settings *
fleet_settings_parse (const char *text, gsize length, const char *source,
                      GError **error)
{
  return settings_read_text (&kind, text, length, source, error);
}

struct fleet_settings *
fleet_settings_load (const char *path, GError **error)
{
  return settings_read_file (&kind, path, error);
}

void
fleet_settings_free (struct fleet_settings *settings)
{
  g_free (settings->vm);
  g_free (settings->availability_zone);
  g_free (settings->ip);
  g_free (settings->callers.ip);
  g_free (settings->readiness.ip);
  g_free (settings->peers.ip);
  g_free (settings->metrics.ip);
  g_free (settings->store);
  g_ptr_array_unref (settings->availability_zones);
  g_free (settings);
}
