#include "t/support/entry_crowds.h"

#include "t/support/crowd_matrix.h"
#include "t/support/deployment.h"

#define MACHINE_BYTES (96 * 1024 * 1024)
#define BODY_BYTES (2 * 1024 * 1024)
#define REQUEST_TIMEOUT_MS 5000
#define N_CLIENTS 64
#define N_TASKS 130

static const char long_begin[]
    = "{\"team\":\"" DEPLOYMENT_TEAM "\",\"service\":\"" DEPLOYMENT_SERVICE
      "\",\"tasks\":[{\"input\":{\"run_ms\":1,\"value\":1,\"text\":\"";
static const char long_end[] = "\"}}]}";

static const struct crowd_target targets[] = {
  { .name = "route",
    .method = "POST",
    .path = "/v1/jobs",
    .is_answered = TRUE },
  { .name = "no-route", .method = "GET", .path = "/none" },
  { .name = "no-id", .method = "GET", .path = "/v1/jobs" },
  { .name = "readiness",
    .method = "GET",
    .path = "/v1/health",
    .is_answered = TRUE },
  { .name = "metrics",
    .method = "GET",
    .path = "/v1/metrics",
    .is_answered = TRUE },
};

struct entry_host
{
  struct crowd_host host;
  gboolean has_tls;
  struct deployment *deployment;
};

static json_t *
make_settings (const struct entry_host *entry)
{
  json_t *settings = deployment_settings (entry->deployment, 0);

  json_object_set_new (settings, "limits",
                       json_pack ("{s:i, s:i}", "body_bytes", BODY_BYTES,
                                  "request_timeout_ms", REQUEST_TIMEOUT_MS));
  if (entry->has_tls)
    json_object_set_new (settings, "tls",
                         json_pack ("{s:s, s:s}", "certificate",
                                    "t/data/test-certificate.pem", "key",
                                    "t/data/test-key.pem"));
  return settings;
}

/* The targets of DEPLOYMENT_TEAM need a document in force, which cannot be
   read from the state dump over TLS: an ordinary job is sent until it is
   done.  */
static void
publish (struct entry_host *entry)
{
  struct deployment *d = entry->deployment;
  json_t *document = deployment_document (d);

  d->n_entries = entry->has_tls ? 0 : 1;
  deployment_publish (d, document);
  d->n_entries = 1;
  json_decref (document);
  g_assert_true (crowd_request_until_served (&entry->host.targets[0], NULL));
}

static void
start (struct crowd_host *host, guint max_descriptors, gsize max_bytes)
{
  struct entry_host *entry = (struct entry_host *)host;
  json_t *settings;

  entry->deployment = deployment_start (0, 1);
  settings = make_settings (entry);
  process_set_limits (max_descriptors, max_bytes);
  deployment_start_entry (entry->deployment, 0, settings);
  process_set_limits (0, 0);
  json_decref (settings);
  host->ports[0] = entry->deployment->entries[0]->ports[0];
  for (guint i = 0; i < host->n_targets; i++)
    host->targets[i].port = host->ports[0];
  publish (entry);
}

static void
stop (struct crowd_host *host)
{
  deployment_stop (((struct entry_host *)host)->deployment);
}

static pid_t
get_pid (struct crowd_host *host)
{
  return ((struct entry_host *)host)->deployment->entries[0]->pid;
}

static const struct crowd_host_ops ops = { start, stop, get_pid };

int
entry_crowds_run (const char *name, gboolean has_tls, int argc, char **argv)
{
  g_autofree char *job = deployment_job (1, 1, 0);
  g_autofree char *wide_job = deployment_job (N_TASKS, 1, 0);
  struct entry_host entry = {
    .host = { .ops = &ops,
              .name = name,
              .machine_bytes = MACHINE_BYTES,
              .body_bytes = BODY_BYTES,
              .n_clients = N_CLIENTS,
              .n_targets = G_N_ELEMENTS (targets) },
    .has_tls = has_tls,
  };

  for (guint i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      entry.host.targets[i] = targets[i];
      entry.host.targets[i].ip = "127.0.0.1";
      entry.host.targets[i].host = "127.0.0.1";
      entry.host.targets[i].is_tls = has_tls;
    }
  entry.host.targets[0].body = job;
  entry.host.targets[0].long_begin = long_begin;
  entry.host.targets[0].long_end = long_end;
  entry.host.targets[0].wide_body = wide_job;
  return crowd_matrix_run (&entry.host, argc, argv);
}
