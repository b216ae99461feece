/*
 * The program that stands in for workers of the operators' platform.
 */
#include "t/standin/worker.h"

#include "t/standin/program.h"
#include "t/standin/standin.h"

#define DEFAULT_CPU 16000
#define DEFAULT_MEMORY_MB 32768
#define DEFAULT_HEARTBEAT_MS 500
#define DEFAULT_HOLD_MAX_MS 1000
#define DEFAULT_STOP_MS 50
#define STORE_CONNECTIONS 4

/* A heartbeat without an answer is given up after this.  */
#define STORE_TIMEOUT_S 1

struct worker_options
{
  int port;
  int control_port;
  int entry_port;
  int count;
  int store;
  int seed;
  char *name;
  char *kind;
  int racks;
  gint64 slow_ppm;
  struct room capacity;
};

static void
parse_options (int argc, char **argv, struct worker_options *options,
               struct fleet *fleet)
{
  const GOptionEntry entries[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &options->port,
      "Port of the first worker, 0 for any", "PORT" },
    { "control-port", 0, 0, G_OPTION_ARG_INT, &options->control_port,
      "Port of the controls, 0 for any", "PORT" },
    { "entry-port", 0, 0, G_OPTION_ARG_INT, &options->entry_port,
      "Port of the first worker in its entry, as of a proxy; 0 for its own",
      "PORT" },
    { "count", 0, 0, G_OPTION_ARG_INT, &options->count,
      "Workers in this process, each on its own port", "N" },
    { "store", 0, 0, G_OPTION_ARG_INT, &options->store,
      "Port of the store stand-in, 0 for none", "PORT" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
      "Seed of the faults that are drawn", "N" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &options->name,
      "Ids are NAME-0, NAME-1...", "NAME" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &fleet->service,
      "The service that the workers belong to", "NAME" },
    { "zone", 0, 0, G_OPTION_ARG_STRING, &fleet->zone,
      "The zone that the workers are in", "NAME" },
    { "kind", 0, 0, G_OPTION_ARG_STRING, &options->kind,
      "The label that names their kind", "NAME" },
    { "racks", 0, 0, G_OPTION_ARG_INT, &options->racks,
      "Workers are spread over the racks r0, r1...", "N" },
    { "cpu", 0, 0, G_OPTION_ARG_INT64, &options->capacity.cpu,
      "Capacity of a worker in thousandths of a core", "N" },
    { "memory-mb", 0, 0, G_OPTION_ARG_INT64, &options->capacity.memory_mb,
      "Memory of a worker", "MB" },
    { "gpu", 0, 0, G_OPTION_ARG_INT64, &options->capacity.gpu,
      "Accelerators of a worker", "N" },
    { "slow-ppm", 0, 0, G_OPTION_ARG_INT64, &options->slow_ppm,
      "By how much the workers' clocks are slow", "PPM" },
    { "heartbeat-ms", 0, 0, G_OPTION_ARG_INT64, &fleet->heartbeat_ms,
      "Time between heartbeats", "MS" },
    { "hold-max-ms", 0, 0, G_OPTION_ARG_INT64, &fleet->hold_max_ms,
      "The longest lease", "MS" },
    { "stop-ms", 0, 0, G_OPTION_ARG_INT64, &fleet->stop_ms,
      "How long a stop takes", "MS" },
    { "admission-check", 0, 0, G_OPTION_ARG_NONE, &fleet->has_admission_check,
      "Refuse what does not fit", NULL },
    { NULL },
  };

  program_parse (argc, argv, entries);
}

static struct worker *
make_worker (struct fleet *fleet, const struct worker_options *options, int i)
{
  struct worker *worker = g_new0 (struct worker, 1);
  SoupServer *server = soup_server_new (NULL, NULL);
  int port = options->port == 0 ? 0 : options->port + i;
  g_autoptr (GError) error = NULL;
  struct listener *listener = listener_new (server, (guint16)port, 0, &error);

  if (listener == NULL)
    program_fail (error);
  worker->fleet = fleet;
  worker->index = (guint)i;
  worker->id = g_strdup_printf (
      "%s-%d", options->name == NULL ? "worker" : options->name, i);
  worker->port = listener->port;
  worker->entry_port = options->entry_port == 0
                           ? worker->port
                           : (guint16)(options->entry_port + i);
  worker->labels[0] = g_strdup (options->kind == NULL ? "a" : options->kind);
  worker->labels[1] = g_strdup_printf ("r%d", i % MAX (1, options->racks));
  worker->capacity = options->capacity;
  worker->slow_ppm = options->slow_ppm;
  worker->faults.slow_factor = 1;
  for (int call = 0; call < WORKER_CALL_COUNT; call++)
    worker->faults.is_on[call] = TRUE;
  list_init (&worker->holds);
  g_queue_init (&worker->ends);
  worker_boot (worker);
  worker_add_calls (worker, server);
  return worker;
}

static guint16
open_controls (struct fleet *fleet, int port)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  g_autoptr (GError) error = NULL;
  struct listener *listener = listener_new (server, (guint16)port, 0, &error);

  if (listener == NULL)
    program_fail (error);
  fleet_add_controls (fleet, server);
  return listener->port;
}

static void
set_defaults (struct fleet *fleet)
{
  if (fleet->service == NULL)
    fleet->service = g_strdup ("service");
  if (fleet->zone == NULL)
    fleet->zone = g_strdup ("zone");
}

int
standin_worker (int argc, char **argv)
{
  struct worker_options options = {
    .count = 1,
    .capacity = { DEFAULT_CPU, DEFAULT_MEMORY_MB, 0 },
  };
  struct fleet fleet = {
    .heartbeat_ms = DEFAULT_HEARTBEAT_MS,
    .hold_max_ms = DEFAULT_HOLD_MAX_MS,
    .stop_ms = DEFAULT_STOP_MS,
  };
  g_autoptr (GArray) ports = g_array_new (FALSE, FALSE, sizeof (guint16));
  guint16 control_port;

  parse_options (argc, argv, &options, &fleet);
  set_defaults (&fleet);
  fleet.store_port = (guint16)options.store;
  fleet.workers = g_ptr_array_new ();
  fleet.record = worker_record_new ();
  fleet.random = g_rand_new_with_seed ((guint32)options.seed);
  fleet.session = soup_session_new_with_options (
      "max-conns", STORE_CONNECTIONS, "max-conns-per-host", STORE_CONNECTIONS,
      "proxy-resolver", NULL, "timeout", STORE_TIMEOUT_S, NULL);
  for (int i = 0; i < options.count; i++)
    {
      struct worker *worker = make_worker (&fleet, &options, i);

      g_ptr_array_add (fleet.workers, worker);
      g_array_append_val (ports, worker->port);
      worker_beat (worker);
    }
  control_port = open_controls (&fleet, options.control_port);
  g_array_append_val (ports, control_port);
  return program_run ((const guint16 *)(void *)ports->data, ports->len);
}
