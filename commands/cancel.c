#include "base/error.h"
#include "commands/cli.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "cancel",
  .arguments = "JOB",
  .summary = "Cancels a job: its queued tasks never start, and its running "
             "tasks are asked\nto stop.",
  .example = "  radishchute cancel --entry 127.0.0.1:8080 "
             "r1.entry-1.18c2b6f9a3e.1f.18c2b7\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

/* Prints how the job ended: its status and, if it failed, the error message.
 */
static int
print_job_end (const struct client_response *response, gboolean is_json)
{
  json_t *detail = json_object_get (response->json, "error");
  const char *status
      = json_string_value (json_object_get (response->json, "status"));
  const char *message
      = json_string_value (json_object_get (detail, "message"));

  if (is_json)
    cli_print_json (response->json);
  else
    printf ("%s%s%s\n", status, message != NULL ? ": " : "",
            message != NULL ? message : "");
  return EXIT_STATUS_OK;
}

/* Whether an error of KIND means that the job has ended, so that no task is
   left to cancel.  */
static gboolean
is_final (enum error_kind kind)
{
  return kind == ERROR_CANCELLED || kind == ERROR_NOT_RUN
         || kind == ERROR_FAILED;
}

static int
report_response (const struct client_response *response, gboolean is_json)
{
  g_autoptr (GError) error = NULL;
  gboolean has_job = json_object_get (response->json, "job") != NULL;

  if (client_response_check (response, &error)
      || (has_job && is_final (error_get_kind (error))))
    return print_job_end (response, is_json);
  return cli_report_error (usage.name, error, is_json);
}

static int
cancel_job (const struct cli_client_options *options, const char *id)
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, NULL);
  struct client_request request = { .method = "DELETE",
                                    .path = path,
                                    .address = options->entries[0],
                                    .deadline_us = cli_deadline_us (options) };
  struct client *client = client_new (options->token);
  struct client_response *response = NULL;
  g_autoptr (GError) error = NULL;
  int status;

  for (char **entry = options->entries; *entry != NULL && response == NULL;
       entry++)
    {
      g_clear_error (&error);
      request.address = *entry;
      response = client_call (client, &request, &error);
    }
  if (response == NULL)
    status = cli_report_error (usage.name, error, options->is_json);
  else
    {
      status = report_response (response, options->is_json);
      client_response_free (response);
    }
  client_free (client);
  return status;
}

int
command_cancel (int argc, char **argv)
{
  struct cli_client_options options = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (cli_parse (&usage, NULL, &options, &argc, &argv))
    status = cancel_job (&options, argv[1]);
  cli_client_options_clear (&options);
  return status;
}
