#include "commands/cli.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "log-level",
  .arguments = "LEVEL",
  .summary
  = "Sets the log level of each given entry VM to error, warning, info "
    "or debug.",
  .example = "  radishchute log-level --entry 127.0.0.1:8080 debug\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

static int
set_entry_level (struct client *client,
                 const struct cli_client_options *options, const char *entry,
                 const char *body)
{
  struct client_request request = { .method = "PUT",
                                    .address = entry,
                                    .path = "/v1/log-level",
                                    .body = body,
                                    .deadline_us = cli_deadline_us (options) };
  g_autoptr (GError) error = NULL;
  json_t *response = client_fetch_json (client, &request, &error);

  if (response == NULL)
    return cli_report_error (usage.name, error, options->is_json);
  if (options->is_json)
    cli_print_json (response);
  else
    printf ("%s: %s, was %s\n", entry,
            json_string_value (json_object_get (response, "level")),
            json_string_value (json_object_get (response, "former")));
  json_decref (response);
  return EXIT_STATUS_OK;
}

static int
set_all_levels (const struct cli_client_options *options, const char *level)
{
  struct client *client = client_new (options->token);
  json_t *body = json_pack ("{s:s}", "level", level);
  char *text = json_dumps (body, JSON_COMPACT);
  int worst_status = EXIT_STATUS_OK;

  for (char **entry = options->entries; *entry != NULL; entry++)
    {
      int status = set_entry_level (client, options, *entry, text);

      worst_status = MAX (worst_status, status);
    }
  free (text);
  json_decref (body);
  client_free (client);
  return worst_status;
}

int
command_log_level (int argc, char **argv)
{
  struct cli_client_options options = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (cli_parse (&usage, NULL, &options, &argc, &argv))
    status = set_all_levels (&options, argv[1]);
  cli_client_options_clear (&options);
  return status;
}
