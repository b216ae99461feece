#include "protocol/document_json.h"

#include "base/error.h"
#include "protocol/json_read.h"
#include "state/job_id.h"

#include <gio/gio.h>
#include <string.h>

#define MAX_WEIGHT 1000
#define MAX_SLOTS 4096
#define MAX_CONNECTIONS 4096
#define MAX_QUOTA 10000000
#define MIN_LEASE_MS 500
#define MAX_LEASE_MS 600000
#define MAX_QUEUED_TASKS 1000000
#define MAX_TASK_BYTES (64 * 1024 * 1024)
#define MAX_CPUS 1024
#define MAX_MEMORY_MB (16 * 1024 * 1024)
#define MAX_ACCELERATORS 64

static const char *const document_keys[]
    = { "team", "weight", "quota", "services", NULL };
static const char *const quota_keys[] = { "slots", "starts_per_second", NULL };
static const char *const service_keys[] = { "shutdown",
                                            "placement",
                                            "order",
                                            "slots_per_upstream",
                                            "connections_per_upstream",
                                            "lease_ms",
                                            "limits",
                                            "upstreams",
                                            NULL };
static const char *const limit_keys[]
    = { "queued_tasks", "input_bytes", "output_bytes", NULL };
static const char *const upstream_keys[]
    = { "address",   "availability_zone", "rack", "cpus",
        "memory_mb", "accelerators",      NULL };
static const char *const placement_names[]
    = { "random", "two-choices", "least-outstanding", "late-binding", NULL };
static const char *const order_names[] = { "fifo", "fewest-remaining", NULL };

/* Replaces *VALUE by the member KEY, which must be one of CHOICES.  */
static void
read_choice (struct json_check *check, const char *path, json_t *object,
             const char *key, const char *const *choices, char **value)
{
  g_autofree char *known = NULL;
  const char *name = NULL;

  if (!json_read_string (check, path, object, key, FALSE, &name))
    return;
  if (g_strv_contains (choices, name))
    {
      g_free (*value);
      *value = g_strdup (name);
      return;
    }
  known = g_strjoinv (", ", (char **)choices);
  json_check_add_problem (check, path, "'%s' must be one of: %s", key, known);
}

/* Whether TEXT is "IP:PORT".  Host names are not allowed.  */
static gboolean
is_address (const char *text)
{
  g_autoptr (GSocketConnectable) parsed
      = g_network_address_parse (text, 0, NULL);
  GNetworkAddress *address = G_NETWORK_ADDRESS (parsed);

  if (parsed == NULL || g_network_address_get_port (address) == 0)
    return FALSE;
  return g_hostname_is_ip_address (g_network_address_get_hostname (address));
}

static void
read_upstream (struct json_check *check, const char *path, const char *name,
               json_t *object, struct service *service)
{
  g_autofree char *own_path = g_strdup_printf ("%s.upstreams.%s", path, name);
  const char *address = "";
  const char *zone = "";
  const char *rack = "";
  struct upstream_spec *spec;

  if (!json_is_object (object))
    {
      json_check_add_problem (check, own_path, "must be an object");
      return;
    }
  json_check_keys (check, own_path, object, upstream_keys);
  if (!vm_name_is_valid (name))
    json_check_add_problem (
        check, own_path,
        "an upstream's name must have 1 to 63 characters of "
        "a-z, 0-9 and '-'");
  if (json_read_string (check, own_path, object, "address", TRUE, &address)
      && !is_address (address))
    json_check_add_problem (check, own_path,
                            "'address' must be IP:PORT, as in 10.0.3.7:9101");
  json_read_string (check, own_path, object, "availability_zone", FALSE,
                    &zone);
  json_read_string (check, own_path, object, "rack", FALSE, &rack);
  spec = service_add_upstream (service, name, address);
  g_free (spec->availability_zone);
  spec->availability_zone = g_strdup (zone);
  g_free (spec->rack);
  spec->rack = g_strdup (rack);
  json_read_number (check, own_path, object, "cpus", 0, MAX_CPUS,
                    &spec->shape.cpus);
  json_read_uint (check, own_path, object, "memory_mb", 0, MAX_MEMORY_MB,
                  &spec->shape.memory_mb);
  json_read_uint (check, own_path, object, "accelerators", 0, MAX_ACCELERATORS,
                  &spec->shape.accelerators);
}

static void
read_shutdown (struct json_check *check, const char *path, json_t *object,
               struct service *service)
{
  g_autoptr (GDateTime) when = NULL;
  const char *text = NULL;

  if (!json_read_string (check, path, object, "shutdown", FALSE, &text))
    return;
  when = g_date_time_new_from_iso8601 (text, NULL);
  if (when == NULL)
    json_check_add_problem (
        check, path,
        "'shutdown' must be a time with a time zone, as in "
        "2027-05-31T22:00:00Z");
  else
    service->shutdown_unix_ms = g_date_time_to_unix (when) * 1000;
}

static void
read_limits (struct json_check *check, const char *path, json_t *object,
             struct service *service)
{
  g_autofree char *own_path = g_strconcat (path, ".limits", NULL);
  json_t *limits = NULL;

  if (!json_read_object (check, path, object, "limits", FALSE, &limits))
    return;
  json_check_keys (check, own_path, limits, limit_keys);
  json_read_uint (check, own_path, limits, "queued_tasks", 1, MAX_QUEUED_TASKS,
                  &service->max_queued_tasks);
  json_read_uint (check, own_path, limits, "input_bytes", 1, MAX_TASK_BYTES,
                  &service->max_input_bytes);
  json_read_uint (check, own_path, limits, "output_bytes", 1, MAX_TASK_BYTES,
                  &service->max_output_bytes);
}

static void
read_service (struct json_check *check, const char *name, json_t *object,
              struct document *document)
{
  g_autofree char *path = g_strdup_printf ("services.%s", name);
  struct service *service = document_add_service (document, name);
  json_t *upstreams = NULL;
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    {
      json_check_add_problem (check, path, "must be an object");
      return;
    }
  json_check_keys (check, path, object, service_keys);
  read_shutdown (check, path, object, service);
  read_choice (check, path, object, "placement", placement_names,
               &service->placement);
  read_choice (check, path, object, "order", order_names, &service->order);
  json_read_uint (check, path, object, "slots_per_upstream", 1, MAX_SLOTS,
                  &service->slots_per_upstream);
  json_read_uint (check, path, object, "connections_per_upstream", 1,
                  MAX_CONNECTIONS, &service->connections_per_upstream);
  json_read_uint (check, path, object, "lease_ms", MIN_LEASE_MS, MAX_LEASE_MS,
                  &service->lease_ms);
  read_limits (check, path, object, service);
  if (!json_read_object (check, path, object, "upstreams", TRUE, &upstreams))
    return;
  json_object_foreach (upstreams, key, value)
      read_upstream (check, path, key, value, service);
}

static void
read_document (struct json_check *check, json_t *root,
               struct document *document)
{
  json_t *quota = NULL;
  json_t *services = NULL;
  const char *key;
  json_t *value;

  json_check_keys (check, "document", root, document_keys);
  json_read_uint (check, "document", root, "weight", 1, MAX_WEIGHT,
                  &document->weight);
  if (json_read_object (check, "document", root, "quota", FALSE, &quota))
    {
      json_check_keys (check, "quota", quota, quota_keys);
      json_read_uint (check, "quota", quota, "slots", 0, MAX_QUOTA,
                      &document->quota_slots);
      json_read_uint (check, "quota", quota, "starts_per_second", 0, MAX_QUOTA,
                      &document->quota_starts_per_second);
    }
  if (!json_read_object (check, "document", root, "services", TRUE, &services))
    return;
  json_object_foreach (services, key, value)
      read_service (check, key, value, document);
}

/* Sets the canonical text of DOCUMENT.  Adds a problem when it is too
   long.  */
static void
set_text (struct json_check *check, json_t *root, struct document *document)
{
  document->text = json_format_sorted (root);
  if (strlen (document->text) > MAX_DOCUMENT_BYTES)
    json_check_add_problem (
        check, "document",
        "is %u bytes long without spaces, the limit is %d; spread "
        "the services over several teams",
        (guint)strlen (document->text), MAX_DOCUMENT_BYTES);
}

struct document *
document_from_json (json_t *root, const char *source, GError **error)
{
  struct document *document;
  struct json_check check;
  const char *team = "";

  if (!json_is_object (root))
    {
      error_set (error, ERROR_INVALID, "%s: a document must be an object",
                 source);
      return NULL;
    }
  json_check_init (&check, source);
  if (json_read_string (&check, "document", root, "team", TRUE, &team)
      && !vm_name_is_valid (team))
    json_check_add_problem (&check, "document",
                            "'team' must have 1 to 63 characters of "
                            "a-z, 0-9 and '-'");
  document = document_new (team);
  read_document (&check, root, document);
  set_text (&check, root, document);
  if (!json_check_end (&check, error))
    {
      document_unref (document);
      return NULL;
    }
  return document;
}

struct document *
document_from_text (const char *text, gsize length, const char *source,
                    GError **error)
{
  json_t *root = json_parse_with_comments (text, length, error);
  struct document *document;

  if (root == NULL)
    {
      g_prefix_error (error, "%s: ", source);
      return NULL;
    }
  document = document_from_json (root, source, error);
  json_decref (root);
  return document;
}
