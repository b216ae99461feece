#include "transport/entry.h"
#include "base/event_log.h"
#include "commands/cli.h"
#include "protocol/settings.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "entry",
  .summary = "Runs the daemon of an entry VM until a SIGTERM has drained it.",
  .example = "  radishchute entry --settings entry.json\n"
             "  radishchute entry --settings entry.json --check-settings\n",
};

static int
run_entry (const struct settings *settings, const char *path)
{
  g_autoptr (GError) error = NULL;
  struct entry *entry = entry_new (settings, &error);

  if (entry == NULL)
    {
      event_log (EVENT_LISTEN_FAILED, "%s", error->message);
      return EXIT_STATUS_FAILED;
    }
  entry_set_settings_path (entry, path);
  printf ("{\"ready\":true,\"ports\":[%u,%u]}\n", entry_get_port (entry),
          entry_get_peer_port (entry));
  fflush (stdout);
  entry_run (entry);
  entry_free (entry);
  return EXIT_STATUS_OK;
}

int
command_entry (int argc, char **argv)
{
  struct cli_daemon_options options = { NULL, FALSE };
  g_autoptr (GError) error = NULL;
  struct settings *settings;
  int status = EXIT_STATUS_OK;

  if (!cli_parse_daemon_options (&usage, &options, &argc, &argv))
    return EXIT_STATUS_USAGE;
  settings = settings_load (options.settings_path, &error);
  if (settings == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      g_free (options.settings_path);
      return EXIT_STATUS_USAGE;
    }
  event_log_set_level (settings->log_level);
  event_log_set_format (settings->log_format);
  if (options.is_check_only)
    printf ("settings are valid\n");
  else
    status = run_entry (settings, options.settings_path);
  settings_free (settings);
  g_free (options.settings_path);
  return status;
}
