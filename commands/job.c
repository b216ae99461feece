#include "commands/cli.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "job",
  .arguments = "JOB",
  .summary
  = "Shows the progress of a job or, once it has finished, its answer.",
  .example = "  radishchute job --entry 127.0.0.1:8080 "
             "r1.entry-1.18c2b6f9a3e.1f.18c2b7\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

static int
print_progress (const json_t *response)
{
  const char *headings[] = { "JOB", "STATUS", "TASKS", "DONE", "RUNNING" };
  struct cli_table *table = cli_table_new (headings, G_N_ELEMENTS (headings));
  const char *keys[] = { "tasks", "done", "running" };
  const char *cells[G_N_ELEMENTS (headings)];
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (g_free);

  cells[0] = json_string_value (json_object_get (response, "job"));
  cells[1] = json_string_value (json_object_get (response, "status"));
  for (guint i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      json_int_t n = json_integer_value (json_object_get (response, keys[i]));
      char *text = g_strdup_printf ("%" JSON_INTEGER_FORMAT, n);

      g_ptr_array_add (texts, text);
      cells[i + 2] = text;
    }
  cli_table_add_row (table, cells);
  cli_table_print (table);
  return EXIT_STATUS_OK;
}

static int
show_job (const struct cli_client_options *options, const char *id)
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, NULL);
  struct client_request request = { .method = "GET", .path = path };
  struct client *client = client_new (options->token);
  g_autoptr (GError) error = NULL;
  json_t *response = cli_fetch_any (client, options, request, &error);
  int status;

  if (response == NULL)
    status = cli_report_error (usage.name, error, options->is_json);
  else if (options->is_json || json_object_get (response, "outputs") != NULL)
    {
      cli_print_json (response);
      status = EXIT_STATUS_OK;
    }
  else
    status = print_progress (response);
  json_decref (response);
  client_free (client);
  return status;
}

int
command_job (int argc, char **argv)
{
  struct cli_client_options options = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (cli_parse (&usage, NULL, &options, &argc, &argv))
    status = show_job (&options, argv[1]);
  cli_client_options_clear (&options);
  return status;
}
