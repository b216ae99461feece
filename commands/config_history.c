#include "commands/config.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "config history",
  .arguments = "TEAM",
  .summary = "Lists the changes of a team that the log still keeps: who, "
             "when, whether it took effect, and what differs.",
  .example = "  radishchute config history hjolavinir --log "
             "http://10.0.0.2:7000\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

static void
print_decisions (const GPtrArray *decisions, gboolean is_json)
{
  json_t *list = json_array ();

  for (guint i = 0; i < decisions->len; i++)
    {
      const struct config_decision *decision
          = g_ptr_array_index (decisions, i);

      if (is_json)
        json_array_append_new (list, config_decision_format (decision));
      else
        config_decision_print (decision);
    }
  if (is_json)
    cli_print_json (list);
  else if (decisions->len == 0)
    printf ("the log has no changes of this team\n");
  json_decref (list);
}

static int
show_history (const struct config_options *options, const char *team)
{
  struct config_view *view = config_view_new (options);
  g_autoptr (GError) error = NULL;
  int status = EXIT_STATUS_OK;

  if (config_view_load (view, TRUE, config_options_deadline_us (options),
                        &error))
    {
      g_autoptr (GPtrArray) decisions
          = config_view_list_decisions (view, team);

      print_decisions (decisions, options->is_json);
    }
  else
    status = cli_report_error (usage.name, error, options->is_json);
  config_view_free (view);
  return status;
}

int
command_config_history (int argc, char **argv)
{
  struct config_options options = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (config_options_parse (&usage, NULL, &options, &argc, &argv))
    status = show_history (&options, argv[1]);
  config_options_clear (&options);
  return status;
}
