/*
 * Crowds of clients that misuse a VM of a fleet, at each address that they
 * reach.
 */
#include "t/support/crowd_matrix.h"
#include "t/support/fleet_bed.h"

#define MACHINE_BYTES (64 * 1024 * 1024)
#define BODY_BYTES (256 * 1024)
#define SPEC_BYTES 4000
#define N_CLIENTS 400

static const char job[]
    = "{\"bestEffort\":true,\"spec\":\"1\",\"steps\":[{\"count\":1,"
      "\"cpu\":1000,\"memMb\":64,\"estMs\":1}]}";

static const char long_begin[]
    = "{\"bestEffort\":true,\"spec\":\"1\",\"steps\":[{\"count\":1,"
      "\"cpu\":1000,\"memMb\":64,\"estMs\":1,\"affinity\":\"";
static const char long_end[] = "\"}]}";
static const char wide_begin[] = "{\"bestEffort\":true,\"spec\":\"";
static const char wide_end[] = "\",\"steps\":[{\"count\":130,"
                               "\"cpu\":1000,\"memMb\":64,\"estMs\":100}]}";

static const struct crowd_target targets[] = {
  { .name = "route",
    .method = "POST",
    .path = FLEET_BED_PATIENT,
    .has_ids = TRUE,
    .body = job,
    .long_begin = long_begin,
    .long_end = long_end,
    .is_answered = TRUE },
  { .name = "no-route",
    .method = "POST",
    .path = "/none/",
    .has_ids = TRUE,
    .body = job },
  { .name = "no-id",
    .method = "GET",
    .path = FLEET_BED_PATIENT,
    .is_answered = TRUE },
  { .name = "readiness",
    .method = "GET",
    .path = "/radishchute/readyz",
    .is_answered = TRUE },
  { .name = "metrics",
    .method = "GET",
    .path = "/metrics",
    .is_answered = TRUE },
};

struct fleet_host
{
  struct crowd_host host;
  struct fleet_bed *bed;
  char *ip;
};

static guint16
get_port (const struct fleet_host *fleet, guint target)
{
  switch (target)
    {
    case 3:
      return fleet_bed_get_readiness_port (fleet->bed);
    case 4:
      return fleet_bed_get_metrics_port (fleet->bed);
    default:
      return fleet_bed_get_callers_port (fleet->bed);
    }
}

static void
start (struct crowd_host *host, guint max_descriptors, gsize max_bytes)
{
  struct fleet_host *fleet = (struct fleet_host *)host;
  struct fleet_bed_plan plan = {
    .n_vms = 1,
    .n_workers = FLEET_BED_WORKERS,
    .n_worker_processes = 1,
    .vm_descriptors = max_descriptors,
    .vm_bytes = max_bytes,
  };

  fleet->bed = fleet_bed_start_plan (&plan);
  fleet_bed_put_state (fleet->bed);
  fleet_bed_wait_settled (fleet->bed);
  fleet->ip = fleet_bed_vm_ip (0);
  for (guint i = 0; i < host->n_targets; i++)
    {
      host->targets[i].ip = fleet->ip;
      host->targets[i].host = "jobs.example";
      host->targets[i].port = get_port (fleet, i);
      host->ports[i] = host->targets[i].port;
    }
}

static void
stop (struct crowd_host *host)
{
  struct fleet_host *fleet = (struct fleet_host *)host;

  fleet_bed_stop (fleet->bed);
  g_free (fleet->ip);
}

static pid_t
get_pid (struct crowd_host *host)
{
  return ((struct fleet_host *)host)->bed->vms[0]->pid;
}

static const struct crowd_host_ops ops = { start, stop, get_pid };

int
main (int argc, char **argv)
{
  g_autofree char *spec = g_strdup_printf ("%0*d", SPEC_BYTES, 1);
  g_autofree char *wide_job = g_strconcat (wide_begin, spec, wide_end, NULL);
  struct fleet_host fleet = {
    .host = { .ops = &ops,
              .name = "fleet",
              .machine_bytes = MACHINE_BYTES,
              .body_bytes = BODY_BYTES,
              .n_clients = N_CLIENTS,
              .n_targets = G_N_ELEMENTS (targets) },
  };

  for (guint i = 0; i < G_N_ELEMENTS (targets); i++)
    fleet.host.targets[i] = targets[i];
  fleet.host.targets[0].wide_body = wide_job;
  return crowd_matrix_run (&fleet.host, argc, argv);
}
