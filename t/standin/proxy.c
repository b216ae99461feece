/*
 * The fault-injecting proxy: routes, the control port, and a script of steps.
 */
#include "t/standin/listener.h"
#include "t/standin/program.h"
#include "t/standin/proxy_route.h"
#include "t/standin/standin.h"

#define SCRIPT_POLL_MS 2

struct proxy
{
  GPtrArray *routes; /* of struct route */
  json_t *script;    /* an array of steps, or NULL */
  size_t next_step;
  gint64 step_began_us; /* on the monotonic clock */
};

static void
apply_to_route (struct route *route, const json_t *change)
{
  proxy_faults_set (&route->faults, change);
  if (json_int_member (change, "silence_existing", 0) != 0)
    route->ops->silence (route);
  if (json_int_member (change, "reset_existing", 0) != 0)
    route->ops->reset (route);
  route->ops->set_listening (route,
                             json_int_member (change, "closed", 0) == 0);
}

/* Applies CHANGE to the route that it names, or to all; FALSE for none.  */
static gboolean
apply_change (struct proxy *proxy, const json_t *change)
{
  gint64 index = json_int_member (change, "route", -1);

  if (!json_is_object (change) || index >= (gint64)proxy->routes->len)
    return FALSE;
  for (guint i = 0; i < proxy->routes->len; i++)
    if (index < 0 || index == i)
      apply_to_route (g_ptr_array_index (proxy->routes, i), change);
  return TRUE;
}

static void
on_faults (SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
  json_t *change = request_json (msg);
  gboolean applied = apply_change (data, change);

  json_decref (change);
  answer_json (msg, applied ? 200 : 400, json_object ());
}

static json_t *
route_to_json (const struct route *route)
{
  return json_pack ("{s:I, s:I, s:I, s:I}", "accepted",
                    (json_int_t)route->n_accepted, "open",
                    (json_int_t)route->n_open, "bytes_up",
                    (json_int_t)route->bytes[DIRECTION_UP], "bytes_down",
                    (json_int_t)route->bytes[DIRECTION_DOWN]);
}

static void
on_routes (SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
  struct proxy *proxy = data;
  json_t *routes = json_array ();

  for (guint i = 0; i < proxy->routes->len; i++)
    json_array_append_new (
        routes, route_to_json (g_ptr_array_index (proxy->routes, i)));
  answer_json (msg, 200, json_pack ("{s:o}", "routes", routes));
}

static guint64
count_accepted (const struct proxy *proxy)
{
  guint64 n = 0;

  for (guint i = 0; i < proxy->routes->len; i++)
    n += ((struct route *)g_ptr_array_index (proxy->routes, i))->n_accepted;
  return n;
}

static gboolean
is_step_due (const struct proxy *proxy, const json_t *step)
{
  gint64 waited_ms = (g_get_monotonic_time () - proxy->step_began_us) / 1000;

  return waited_ms >= json_int_member (step, "after_ms", 0)
         && count_accepted (proxy)
                >= (guint64)json_int_member (step, "after_connections", 0);
}

static gboolean
run_script (gpointer data)
{
  struct proxy *proxy = data;
  json_t *step = json_array_get (proxy->script, proxy->next_step);

  if (step == NULL)
    return G_SOURCE_REMOVE;
  if (!is_step_due (proxy, step))
    return G_SOURCE_CONTINUE;
  apply_change (proxy, json_object_get (step, "faults"));
  proxy->next_step++;
  proxy->step_began_us = g_get_monotonic_time ();
  return G_SOURCE_CONTINUE;
}

static void
load_script (struct proxy *proxy, const char *path)
{
  json_error_t error;

  proxy->script = json_load_file (path, 0, &error);
  if (proxy->script == NULL)
    {
      g_autoptr (GError) failure
          = g_error_new (G_FILE_ERROR, G_FILE_ERROR_INVAL, "%s:%d: %s", path,
                         error.line, error.text);

      program_fail (failure);
    }
  proxy->step_began_us = g_get_monotonic_time ();
  g_timeout_add (SCRIPT_POLL_MS, run_script, proxy);
}

struct proxy_options
{
  int listen_port;
  int control_port;
  char **targets;
  char **origins; /* where the routes listen, or NULL */
  char *script;
  int seed;
  gboolean udp;
};

static void
parse_options (int argc, char **argv, struct proxy_options *options)
{
  const GOptionEntry entries[] = {
    { "listen-port", 0, 0, G_OPTION_ARG_INT, &options->listen_port,
      "Port of the first route, 0 for any", "PORT" },
    { "control-port", 0, 0, G_OPTION_ARG_INT, &options->control_port,
      "Port of the controls, 0 for any", "PORT" },
    { "to", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->targets,
      "A route to this target; may be repeated", "ADDRESS:PORT" },
    { "from", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->origins,
      "Where a route listens; as often as --to, or not at all",
      "ADDRESS:PORT" },
    { "script", 0, 0, G_OPTION_ARG_FILENAME, &options->script,
      "Steps of faults in JSON", "FILE" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "Seed of the draws",
      "N" },
    { "udp", 0, 0, G_OPTION_ARG_NONE, &options->udp, "Relay datagrams", NULL },
    { NULL },
  };

  program_parse (argc, argv, entries);
}

/* Lives as long as the process.  */
static GNetworkAddress *
parse_address (const char *text)
{
  g_autoptr (GError) error = NULL;
  GSocketConnectable *address = g_network_address_parse (text, 0, &error);

  if (address == NULL)
    program_fail (error);
  return G_NETWORK_ADDRESS (address);
}

static struct route *
make_route (const struct proxy_options *options, const char *target, guint i)
{
  g_autoptr (GError) error = NULL;
  GNetworkAddress *far = parse_address (target);
  GSocketAddress *address = g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (far), g_network_address_get_port (far));
  guint port = options->listen_port == 0 ? 0 : options->listen_port + i;
  const char *ip = "127.0.0.1";
  struct route *route;

  if (options->origins != NULL)
    {
      GNetworkAddress *near = parse_address (options->origins[i]);

      ip = g_network_address_get_hostname (near);
      port = g_network_address_get_port (near);
    }
  route = (options->udp ? proxy_udp_new : proxy_tcp_new) (
      ip, (guint16)port, address, g_rand_new_with_seed (options->seed + i),
      &error);
  if (route == NULL)
    program_fail (error);
  return route;
}

static void
check_origins (const struct proxy_options *options)
{
  g_autoptr (GError) error = NULL;

  if (options->origins == NULL
      || (options->targets != NULL
          && g_strv_length (options->origins)
                 == g_strv_length (options->targets)))
    return;
  error = g_error_new (G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                       "give --from as often as --to, or not at all");
  program_fail (error);
}

int
standin_proxy (int argc, char **argv)
{
  struct proxy_options options = { 0 };
  struct proxy proxy = { .routes = g_ptr_array_new () };
  g_autoptr (GArray) ports = g_array_new (FALSE, FALSE, sizeof (guint16));
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autoptr (GError) error = NULL;
  struct listener *control;

  parse_options (argc, argv, &options);
  check_origins (&options);
  for (guint i = 0; options.targets != NULL && options.targets[i] != NULL; i++)
    {
      struct route *route = make_route (&options, options.targets[i], i);

      g_ptr_array_add (proxy.routes, route);
      g_array_append_val (ports, route->port);
    }
  control = listener_new (server, (guint16)options.control_port, 0, &error);
  if (control == NULL)
    program_fail (error);
  g_array_append_val (ports, control->port);
  soup_server_add_handler (server, "/test/faults", on_faults, &proxy, NULL);
  soup_server_add_handler (server, "/test/routes", on_routes, &proxy, NULL);
  if (options.script != NULL)
    load_script (&proxy, options.script);
  return program_run ((const guint16 *)(void *)ports->data, ports->len);
}
