#include "transport/entry.h"
#include "base/event_log.h"
#include "commands/command.h"
#include "protocol/settings.h"

#include <stdio.h>

struct options
{
  char *settings_path;
  gboolean check_settings;
};

static gboolean
parse_options (int *argc, char ***argv, struct options *options)
{
  GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_path,
      "the settings of this entry VM", "FILE" },
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, &options->check_settings,
      "check the settings and exit", NULL },
    G_OPTION_ENTRY_NULL,
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;

  g_option_context_set_summary (context, "Runs the daemon of an entry VM.");
  g_option_context_set_description (
      context, "Example:\n  radishchute entry --settings entry.json\n");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, argc, argv, &error))
    {
      fprintf (stderr, "radishchute entry: %s; see --help\n", error->message);
      return FALSE;
    }
  if (*argc > 1 || options->settings_path == NULL)
    {
      fprintf (stderr, "radishchute entry: name one file with --settings\n");
      return FALSE;
    }
  return TRUE;
}

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
  struct options options = { NULL, FALSE };
  g_autoptr (GError) error = NULL;
  struct settings *settings;
  int status = EXIT_STATUS_OK;

  if (!parse_options (&argc, &argv, &options))
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
  if (!options.check_settings)
    status = run_entry (settings, options.settings_path);
  settings_free (settings);
  g_free (options.settings_path);
  return status;
}
