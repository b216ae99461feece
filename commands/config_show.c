#include "commands/config.h"
#include "protocol/log_record.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "config show",
  .arguments = "TEAM",
  .summary = "Prints a team's document in force according to the log; with "
             "--json also its version, edit and author.",
  .example = "  radishchute config show hjolavinir --log "
             "http://10.0.0.2:7000 >team.json\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

static void
print_document (const struct document *document, gboolean is_json)
{
  json_t *root = is_json ? log_record_format_document (document)
                         : log_record_document_to_json (document);

  if (!is_json)
    fprintf (stderr, "version %" G_GUINT64_FORMAT " by '%s', edit '%s'\n",
             document->version, document->author, document->edit);
  cli_print_json (root);
  json_decref (root);
}

static int
show_team (const struct config_options *options, const char *team)
{
  struct config_view *view = config_view_new (options);
  g_autoptr (GError) error = NULL;
  const struct document *document = NULL;
  int status = EXIT_STATUS_OK;

  if (config_view_load (view, FALSE, config_options_deadline_us (options),
                        &error))
    document = config_find_document (view, team, &error);
  if (document != NULL)
    print_document (document, options->is_json);
  else
    status = cli_report_error (usage.name, error, options->is_json);
  config_view_free (view);
  return status;
}

int
command_config_show (int argc, char **argv)
{
  struct config_options options = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (config_options_parse (&usage, NULL, &options, &argc, &argv))
    status = show_team (&options, argv[1]);
  config_options_clear (&options);
  return status;
}
