#include "commands/cli.h"

static const struct cli_usage usage = {
  .name = "dump",
  .summary = "Prints the complete state of an entry VM's process as JSON.",
  .example = "  radishchute dump --entry 127.0.0.1:8080\n",
};

static int
dump_state (const struct cli_client_options *options)
{
  struct client_request request = { .method = "GET", .path = "/v1/state" };
  struct client *client = client_new (options->token);
  g_autoptr (GError) error = NULL;
  json_t *state = cli_fetch_any (client, options, request, &error);
  int status = EXIT_STATUS_OK;

  if (state != NULL)
    cli_print_json (state);
  else
    status = cli_report_error (usage.name, error, options->is_json);
  json_decref (state);
  client_free (client);
  return status;
}

int
command_dump (int argc, char **argv)
{
  struct cli_client_options options = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (cli_parse (&usage, NULL, &options, &argc, &argv))
    status = dump_state (&options);
  cli_client_options_clear (&options);
  return status;
}
