#include "state/document.h"

#include "base/clock.h"

#define DEFAULT_SLOTS_PER_UPSTREAM 8
#define DEFAULT_CONNECTIONS_PER_UPSTREAM 64
#define DEFAULT_LEASE_MS 5000
#define DEFAULT_MAX_QUEUED_TASKS 20000
#define DEFAULT_MAX_INPUT_BYTES (64 * 1024)
#define DEFAULT_MAX_OUTPUT_BYTES (1024 * 1024)

static void
upstream_spec_free (struct upstream_spec *spec)
{
  g_free (spec->name);
  g_free (spec->address);
  g_free (spec->availability_zone);
  g_free (spec->rack);
  g_free (spec);
}

static void
service_free (struct service *service)
{
  g_free (service->name);
  g_free (service->placement);
  g_free (service->order);
  g_ptr_array_unref (service->upstreams);
  g_free (service);
}

struct document *
document_new (const char *team)
{
  struct document *document = g_new0 (struct document, 1);

  document->ref_count = 1;
  document->team = g_strdup (team);
  document->weight = 1;
  document->services
      = g_ptr_array_new_with_free_func ((GDestroyNotify)service_free);
  return document;
}

struct document *
document_ref (struct document *document)
{
  document->ref_count++;
  return document;
}

void
document_unref (struct document *document)
{
  if (--document->ref_count > 0)
    return;
  g_free (document->team);
  g_free (document->edit);
  g_free (document->author);
  g_free (document->text);
  g_ptr_array_unref (document->services);
  g_free (document);
}

struct service *
document_find_service (const struct document *document, const char *name)
{
  for (guint i = 0; i < document->services->len; i++)
    {
      struct service *service = g_ptr_array_index (document->services, i);

      if (g_str_equal (service->name, name))
        return service;
    }
  return NULL;
}

struct service *
document_add_service (struct document *document, const char *name)
{
  struct service *service = g_new0 (struct service, 1);

  service->name = g_strdup (name);
  service->placement = g_strdup ("late-binding");
  service->order = g_strdup ("fewest-remaining");
  service->slots_per_upstream = DEFAULT_SLOTS_PER_UPSTREAM;
  service->connections_per_upstream = DEFAULT_CONNECTIONS_PER_UPSTREAM;
  service->lease_ms = DEFAULT_LEASE_MS;
  service->max_queued_tasks = DEFAULT_MAX_QUEUED_TASKS;
  service->max_input_bytes = DEFAULT_MAX_INPUT_BYTES;
  service->max_output_bytes = DEFAULT_MAX_OUTPUT_BYTES;
  service->shutdown_unix_ms = DEADLINE_NEVER;
  service->upstreams
      = g_ptr_array_new_with_free_func ((GDestroyNotify)upstream_spec_free);
  g_ptr_array_add (document->services, service);
  return service;
}

struct upstream_spec *
service_add_upstream (struct service *service, const char *name,
                      const char *address)
{
  struct upstream_spec *spec = g_new0 (struct upstream_spec, 1);

  spec->name = g_strdup (name);
  spec->address = g_strdup (address);
  spec->availability_zone = g_strdup ("");
  spec->rack = g_strdup ("");
  g_ptr_array_add (service->upstreams, spec);
  return spec;
}

gboolean
shape_fits (const struct shape *need, const struct shape *have)
{
  return need->cpus <= have->cpus && need->memory_mb <= have->memory_mb
         && need->accelerators <= have->accelerators;
}
