#include "base/error.h"
#include "commands/cli.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "cancel",
  .arguments = "JOB",
  .summary = "Cancels a job: queued tasks never start, running ones are asked "
             "to stop.",
  .example = "  radishchute cancel --entry 127.0.0.1:8080 "
             "r1.entry-1.18c2b6f9a3e.1f.18c2b7\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

/* Prints the answer that the job ended with, whichever it is.  */
static int
print_end (const struct client_response *answer, gboolean is_json)
{
  json_t *detail = json_object_get (answer->json, "error");
  const char *status
      = json_string_value (json_object_get (answer->json, "status"));
  const char *message
      = json_string_value (json_object_get (detail, "message"));

  if (is_json)
    cli_print_json (answer->json);
  else
    printf ("%s%s%s\n", status, message != NULL ? ": " : "",
            message != NULL ? message : "");
  return EXIT_STATUS_OK;
}

/* Whether the job has certainly ended, so that nothing is left to cancel.  */
static gboolean
is_end (enum error_kind kind)
{
  return kind == ERROR_CANCELLED || kind == ERROR_NOT_RUN
         || kind == ERROR_FAILED;
}

static int
judge_answer (const struct client_response *answer, gboolean is_json)
{
  g_autoptr (GError) error = NULL;
  gboolean has_job = json_object_get (answer->json, "job") != NULL;

  if (client_response_check (answer, &error)
      || (has_job && is_end (error_get_kind (error))))
    return print_end (answer, is_json);
  return cli_report_error (usage.name, error, is_json);
}

static int
cancel_job (const struct cli_client_options *options, const char *id)
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, NULL);
  struct client_request request = { .method = "DELETE",
                                    .path = path,
                                    .base = options->entries[0],
                                    .deadline_us = cli_deadline_us (options) };
  struct client *client = client_new (options->token);
  struct client_response *answer = NULL;
  g_autoptr (GError) error = NULL;
  int status;

  for (char **entry = options->entries; *entry != NULL && answer == NULL;
       entry++)
    {
      g_clear_error (&error);
      request.base = *entry;
      answer = client_call (client, &request, &error);
    }
  if (answer == NULL)
    status = cli_report_error (usage.name, error, options->is_json);
  else
    {
      status = judge_answer (answer, options->is_json);
      client_response_free (answer);
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
