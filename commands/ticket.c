#include "commands/cli.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "ticket",
  .summary
  = "Requests tickets, under which a job can be submitted repeatedly.",
  .example = "  radishchute ticket --entry 127.0.0.1:8080 --count 10\n",
};

static int
print_tickets (const json_t *response, gboolean is_json)
{
  json_t *tickets = json_object_get (response, "tickets");

  if (is_json)
    cli_print_json (response);
  for (size_t i = 0; !is_json && i < json_array_size (tickets); i++)
    printf ("%s\n", json_string_value (json_array_get (tickets, i)));
  return EXIT_STATUS_OK;
}

static int
request_tickets (const struct cli_client_options *options, int count)
{
  g_autofree char *path = g_strdup_printf ("/v1/tickets?count=%d", count);
  struct client_request request = { .method = "POST", .path = path };
  struct client *client = client_new (options->token);
  g_autoptr (GError) error = NULL;
  json_t *response = cli_fetch_any (client, options, request, &error);
  int status = response != NULL
                   ? print_tickets (response, options->is_json)
                   : cli_report_error (usage.name, error, options->is_json);

  json_decref (response);
  client_free (client);
  return status;
}

int
command_ticket (int argc, char **argv)
{
  int count = 1;
  const GOptionEntry entries[] = {
    { "count", 'n', 0, G_OPTION_ARG_INT, &count,
      "number of tickets (default 1)", "N" },
    G_OPTION_ENTRY_NULL,
  };
  struct cli_client_options options = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (cli_parse (&usage, entries, &options, &argc, &argv))
    status = request_tickets (&options, count);
  cli_client_options_clear (&options);
  return status;
}
