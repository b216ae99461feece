/*
 * The program that serves one or more upstream stand-ins.
 */
#include "t/standin/upstream.h"

#include "t/standin/program.h"
#include "t/standin/standin.h"

#define DEFAULT_SLOTS 8
#define DEFAULT_CONNECTIONS 64

struct upstream_options
{
  int port;
  int count;
  char *name;
  int slots;
  int connections;
  int usage_lag_ms;
  int seed;
  gboolean no_fencing;
};

static void
parse_options (int argc, char **argv, struct upstream_options *options)
{
  const GOptionEntry entries[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &options->port,
      "Port of the first upstream, 0 for any", "PORT" },
    { "count", 0, 0, G_OPTION_ARG_INT, &options->count,
      "Upstreams in this process, each on its own port", "N" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &options->name,
      "Name, to which -0, -1... is added when there are several", "NAME" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &options->slots,
      "Tasks that run at once", "N" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &options->connections,
      "Connections that are kept open, 0 for no bound", "N" },
    { "usage-lag-ms", 0, 0, G_OPTION_ARG_INT, &options->usage_lag_ms,
      "By how much the reported usage lags", "MS" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
      "Seed of the faults that are drawn", "N" },
    { "no-fencing", 0, 0, G_OPTION_ARG_NONE, &options->no_fencing,
      "Do not check fencing tokens", NULL },
    { NULL },
  };

  options->count = 1;
  options->slots = DEFAULT_SLOTS;
  options->connections = DEFAULT_CONNECTIONS;
  program_parse (argc, argv, entries);
}

static struct upstream *
make_upstream (const struct upstream_options *options, int i)
{
  struct upstream *upstream = g_new0 (struct upstream, 1);
  const char *name = options->name == NULL ? "upstream" : options->name;
  int port = options->port == 0 ? 0 : options->port + i;
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autoptr (GError) error = NULL;

  upstream->name = options->count == 1 ? g_strdup (name)
                                       : g_strdup_printf ("%s-%d", name, i);
  upstream->slots = (guint)options->slots;
  upstream->fencing = !options->no_fencing;
  upstream->usage_lag_ms = (guint)options->usage_lag_ms;
  upstream->random = g_rand_new_with_seed ((guint32)(options->seed + i));
  faults_init (&upstream->faults);
  upstream->records = task_records_new ();
  upstream->running = g_hash_table_new (g_str_hash, g_str_equal);
  upstream->listener = listener_new (server, (guint16)port,
                                     (guint)options->connections, &error);
  if (upstream->listener == NULL)
    program_fail (error);
  upstream_add_handlers (upstream, server);
  return upstream;
}

int
standin_upstream (int argc, char **argv)
{
  struct upstream_options options = { 0 };
  g_autoptr (GArray) ports = g_array_new (FALSE, FALSE, sizeof (guint16));
  g_autoptr (GPtrArray) upstreams = g_ptr_array_new ();

  parse_options (argc, argv, &options);
  for (int i = 0; i < options.count; i++)
    {
      struct upstream *upstream = make_upstream (&options, i);

      g_ptr_array_add (upstreams, upstream);
      g_array_append_val (ports, upstream->listener->port);
    }
  return program_run ((const guint16 *)(void *)ports->data, ports->len);
}
