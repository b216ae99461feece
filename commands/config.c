#include "commands/config.h"

#include "base/clock.h"
#include "protocol/document_json.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 60000
#define LOG_ENV_VARIABLE "RADISHCHUTE_LOG"
#define ENTRY_ENV_VARIABLE "RADISHCHUTE_ENTRY"
#define DEFAULT_CONFIG_STREAM "radishchute-config"
#define DEFAULT_SNAPSHOT_STREAM "radishchute-snapshots"

static const struct command subcommands[] = {
  { "check", "check a document, offline", command_config_check },
  { "diff", "compare a document with the one in force", command_config_diff },
  { "history", "list the changes of a team", command_config_history },
  { "put", "publish a document", command_config_put },
  { "show", "print the document in force", command_config_show },
  { NULL, NULL, NULL },
};

static int
list_subcommands (void)
{
  printf ("usage: radishchute config SUBCOMMAND [OPTION...]\n\n"
          "Checks, publishes and shows the documents of the teams.\n\n"
          "Subcommands:\n");
  for (const struct command *c = subcommands; c->name != NULL; c++)
    printf ("  %-10s %s\n", c->name, c->summary);
  printf ("\nExample:\n  radishchute config put team.json --log "
          "http://10.0.0.2:7000 --entry 10.0.1.5:8080\n"
          "\n'radishchute config SUBCOMMAND --help' explains a subcommand.\n");
  return EXIT_STATUS_OK;
}

int
command_config (int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "--help";

  if (strcmp (name, "--help") == 0 || strcmp (name, "-h") == 0)
    return list_subcommands ();
  for (const struct command *c = subcommands; c->name != NULL; c++)
    if (strcmp (c->name, name) == 0)
      return c->run (argc - 1, argv + 1);
  fprintf (stderr,
           "radishchute config: '%s' is not a subcommand; "
           "'radishchute config --help' lists them\n",
           name);
  return EXIT_STATUS_USAGE;
}

/* Prints MESSAGE and how to show the help.  Returns FALSE.  */
static gboolean
report_usage_error (const struct cli_usage *usage, const char *message)
{
  fprintf (stderr, "radishchute %s: %s; see 'radishchute %s --help'\n",
           usage->name, message, usage->name);
  return FALSE;
}

static void
set_default_text (char **value, const char *fallback)
{
  if (*value == NULL && fallback != NULL)
    *value = g_strdup (fallback);
}

static gboolean
read_token (const struct cli_usage *usage, struct config_options *options)
{
  g_autoptr (GError) error = NULL;

  if (options->token_file == NULL)
    return TRUE;
  if (!g_file_get_contents (options->token_file, &options->token, NULL,
                            &error))
    return report_usage_error (usage, error->message);
  g_strchomp (options->token);
  return TRUE;
}

/* Fills in defaults and checks OPTIONS.  Returns FALSE after printing what is
   wrong.  */
static gboolean
check_options (const struct cli_usage *usage, struct config_options *options)
{
  const char *entries = g_getenv (ENTRY_ENV_VARIABLE);

  set_default_text (&options->log_url, g_getenv (LOG_ENV_VARIABLE));
  set_default_text (&options->config_stream, DEFAULT_CONFIG_STREAM);
  set_default_text (&options->snapshot_stream, DEFAULT_SNAPSHOT_STREAM);
  if (options->entries == NULL && entries != NULL)
    options->entries = g_strsplit (entries, ",", -1);
  if (options->log_url == NULL)
    return report_usage_error (usage,
                               "the URL of the platform's log is not given; "
                               "use --log URL or set " LOG_ENV_VARIABLE);
  if (!g_uri_is_valid (options->log_url, G_URI_FLAGS_NONE, NULL))
    return report_usage_error (
        usage, "--log must be a URL such as http://10.0.0.2:7000");
  if (options->timeout_ms <= 0)
    return report_usage_error (usage,
                               "--timeout must be at least 1 millisecond");
  return read_token (usage, options);
}

/* Appends the options of every command that reads the platform's log to
   ENTRIES.  Parsing them sets the fields of OPTIONS.  */
static void
add_common_entries (GArray *entries, struct config_options *options)
{
  const GOptionEntry common[] = {
    { "log", 0, 0, G_OPTION_ARG_STRING, &options->log_url,
      "the platform's log (default: the environment variable " LOG_ENV_VARIABLE
      ")",
      "URL" },
    { "config-stream", 0, 0, G_OPTION_ARG_STRING, &options->config_stream,
      "the stream of changes (default: " DEFAULT_CONFIG_STREAM ")", "NAME" },
    { "snapshot-stream", 0, 0, G_OPTION_ARG_STRING, &options->snapshot_stream,
      "the stream of snapshots (default: " DEFAULT_SNAPSHOT_STREAM ")",
      "NAME" },
    { "timeout", 't', 0, G_OPTION_ARG_INT, &options->timeout_ms,
      "maximum time to wait for the log, in milliseconds (default: 60000)",
      "MS" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &options->is_json, "print JSON", NULL },
  };

  g_array_append_vals (entries, common, G_N_ELEMENTS (common));
}

gboolean
config_options_parse (const struct cli_usage *usage,
                      const GOptionEntry *entries,
                      struct config_options *options, int *argc, char ***argv)
{
  g_autoptr (GArray) joined = g_array_new (TRUE, TRUE, sizeof (GOptionEntry));

  for (; entries != NULL && entries->long_name != NULL; entries++)
    g_array_append_vals (joined, entries, 1);
  add_common_entries (joined, options);
  options->timeout_ms = DEFAULT_TIMEOUT_MS;
  return cli_parse (usage, (const GOptionEntry *)(void *)joined->data, NULL,
                    argc, argv)
         && check_options (usage, options);
}

void
config_options_clear (struct config_options *options)
{
  g_free (options->log_url);
  g_free (options->config_stream);
  g_free (options->snapshot_stream);
  g_strfreev (options->entries);
  g_free (options->token_file);
  g_free (options->token);
}

gint64
config_options_deadline_us (const struct config_options *options)
{
  return clock_now_us () + options->timeout_ms * USEC_PER_MSEC;
}

struct document *
config_read_file (const char *path, GError **error)
{
  g_autoptr (GError) reason = NULL;
  g_autofree char *text = NULL;
  gsize length = 0;

  if (g_file_get_contents (path, &text, &length, &reason))
    return document_from_text (text, length, path, error);
  error_set (error, ERROR_INVALID, "%s; check the path", reason->message);
  return NULL;
}

const struct document *
config_find_document (const struct config_view *view, const char *team,
                      GError **error)
{
  const struct config_log *log = config_view_get_log (view);
  const struct config_entry *entry = config_log_find (log, team);

  if (entry != NULL && entry->is_certain)
    return entry->document;
  if (entry == NULL && config_log_is_certain (log))
    error_set (error, ERROR_NOT_FOUND,
               "team '%s' has no document; publish one with 'config put'",
               team);
  else
    error_set (error, ERROR_CONFLICT,
               "the log has deleted records that no snapshot covers, so the "
               "document in force for team '%s' cannot be determined; "
               "publish the whole document with 'config put --force'",
               team);
  return NULL;
}
