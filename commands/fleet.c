#include "transport/fleet.h"
#include "base/event_log.h"
#include "commands/cli.h"
#include "platform/fleet_caller_server.h"
#include "platform/platform.h"

#include <stdio.h>
#include <unistd.h>

static const struct cli_usage usage = {
  .name = "fleet",
  .summary
  = "Runs the daemon of an entry VM that owns upstreams under leases.",
  .example = "  radishchute fleet --settings fleet.json\n"
             "  radishchute fleet --settings fleet.json --check-settings\n",
};

static struct fleet_platform *
new_platform (const struct fleet_settings *settings)
{
  g_autofree char *member = g_strdup_printf (
      "%s@%s@%s", settings->vm, settings->ip, settings->availability_zone);
  struct platform_config config = {
    .store = settings->store,
    .member = member,
    .availability_zone = settings->availability_zone,
    .zones = (const char *const *)settings->availability_zones->pdata,
    .n_shards = settings->n_shards,
    .member_ttl_ms = settings->member_ttl_ms,
  };

  return platform_new (&config);
}

static int
run_fleet (const struct fleet_settings *settings)
{
  struct fleet_platform *platform = new_platform (settings);
  g_autoptr (GError) error = NULL;
  struct fleet *fleet = fleet_new (settings, platform, &error);
  struct fleet_caller_server *server = NULL;

  if (fleet != NULL)
    server = fleet_caller_server_new (settings, fleet, &error);
  if (server != NULL)
    fleet_run (fleet);
  else
    event_log (EVENT_LISTEN_FAILED, "%s", error->message);
  g_clear_pointer (&server, fleet_caller_server_free);
  g_clear_pointer (&fleet, fleet_free);
  platform->ops->free (platform);
  return error == NULL ? EXIT_STATUS_OK : EXIT_STATUS_FAILED;
}

int
command_fleet (int argc, char **argv)
{
  struct cli_daemon_options options = { NULL, FALSE };
  g_autoptr (GError) error = NULL;
  struct fleet_settings *settings;
  int status = EXIT_STATUS_OK;

  if (!cli_parse_daemon_options (&usage, &options, &argc, &argv))
    return EXIT_STATUS_USAGE;
  settings = fleet_settings_load (options.settings_path, &error);
  g_free (options.settings_path);
  if (settings == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      return EXIT_STATUS_USAGE;
    }
  event_log_set_level (settings->log_level);
  event_log_set_output (STDOUT_FILENO, settings->vm);
  if (options.is_check_only)
    printf ("settings are valid\n");
  else
    status = run_fleet (settings);
  event_log_flush ();
  fleet_settings_free (settings);
  return status;
}
