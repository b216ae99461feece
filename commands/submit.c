#include "commands/submission.h"

#include "protocol/json_read.h"

#include <stdio.h>
#include <string.h>

static const struct cli_usage usage = {
  .name = "submit",
  .arguments = "[FILE]",
  .summary
  = "Submits a job from FILE or from standard input and prints its answer.",
  .example = "  radishchute submit --entry 127.0.0.1:8080 job.json\n"
             "  radishchute submit --retry --entry 127.0.0.1:8080 "
             "--entry 127.0.0.1:8081 job.json\n",
  .max_arguments = 1,
};

struct options
{
  struct cli_client_options client;
  char *ticket;
  gboolean is_async;
  gboolean is_waiting;
  gboolean is_retrying;
};

/* Returns the content of PATH, or of standard input when PATH is NULL or "-".
   Free with g_free ().  */
static char *
read_input (const char *path, gsize *length, GError **error)
{
  g_autoptr (GString) text = g_string_new (NULL);
  char *content = NULL;
  char buf[65536];
  size_t n;

  if (path != NULL && strcmp (path, "-") != 0)
    {
      if (g_file_get_contents (path, &content, length, error))
        return content;
      g_prefix_error (error, "cannot read the job: ");
      (*error)->domain = RADISHCHUTE_ERROR;
      (*error)->code = ERROR_INVALID;
      return NULL;
    }
  while ((n = fread (buf, 1, sizeof buf, stdin)) > 0)
    g_string_append_len (text, buf, (gssize)n);
  *length = text->len;
  return g_strndup (text->str, text->len);
}

/* Returns the job as a JSON object, which the caller owns, or NULL with ERROR.
   Comments are allowed.  */
static json_t *
load_job (const char *path, GError **error)
{
  gsize length = 0;
  g_autofree char *text = read_input (path, &length, error);
  json_t *job;

  if (text == NULL)
    return NULL;
  job = json_parse_with_comments (text, length, error);
  if (job != NULL && !json_is_object (job))
    {
      error_set (error, ERROR_INVALID,
                 "the job must be a JSON object; see docs/PROTOCOLS.md");
      g_clear_pointer (&job, json_decref);
    }
  return job;
}

static void
print_outputs (const json_t *answer)
{
  json_t *outputs = json_object_get (answer, "outputs");
  const char *id = json_string_value (json_object_get (answer, "job"));
  const char *status = json_string_value (json_object_get (answer, "status"));

  printf ("job %s: %s", id, status);
  if (outputs != NULL)
    printf (", %zu outputs", json_array_size (outputs));
  printf ("\n");
  for (size_t i = 0; i < json_array_size (outputs); i++)
    {
      char *text = json_dumps (json_array_get (outputs, i),
                               JSON_COMPACT | JSON_ENCODE_ANY);

      printf ("%4zu  %s\n", i, text);
      free (text);
    }
}

/* Prints ANSWER or, if it is NULL, ERROR.  Returns the exit status.  */
static int
print_result (const struct options *options, json_t *answer,
              const GError *error)
{
  if (answer == NULL)
    return cli_report_error (usage.name, error, options->client.is_json);
  if (options->client.is_json)
    cli_print_json (answer);
  else
    print_outputs (answer);
  return EXIT_STATUS_OK;
}

static int
submit_job (const struct options *options, const char *path)
{
  g_autoptr (GError) error = NULL;
  json_t *job = load_job (path, &error);
  struct job_submission submission = {
    .options = &options->client,
    .job = job,
    .ticket = options->ticket,
    .is_async = options->is_async || options->is_waiting,
    .is_retrying = options->is_retrying,
  };
  json_t *answer = NULL;
  int status;

  if (job == NULL)
    return cli_report_error (usage.name, error, options->client.is_json);
  submission.client = client_new (options->client.token);
  submission.deadline_us = cli_deadline_us (&options->client);
  answer = job_submission_run (&submission, &error);
  if (answer != NULL && options->is_waiting)
    answer = job_submission_wait (&submission, answer, &error);
  status = print_result (options, answer, error);
  json_decref (answer);
  json_decref (job);
  g_free (submission.issued_ticket);
  client_free (submission.client);
  return status;
}

int
command_submit (int argc, char **argv)
{
  struct options options = { 0 };
  const GOptionEntry entries[] = {
    { "ticket", 0, 0, G_OPTION_ARG_STRING, &options.ticket,
      "submit under this ticket, so that the submission can be repeated "
      "safely",
      "TICKET" },
    { "async", 0, 0, G_OPTION_ARG_NONE, &options.is_async,
      "print the job's id without waiting for its answer", NULL },
    { "wait", 'w', 0, G_OPTION_ARG_NONE, &options.is_waiting,
      "submit as with --async, then poll until the job has finished", NULL },
    { "retry", 'r', 0, G_OPTION_ARG_NONE, &options.is_retrying,
      "request a ticket and try the entry VMs in turn until the job is "
      "answered",
      NULL },
    G_OPTION_ENTRY_NULL,
  };
  int status = EXIT_STATUS_USAGE;

  if (cli_parse (&usage, entries, &options.client, &argc, &argv))
    status = submit_job (&options, argc > 1 ? argv[1] : NULL);
  cli_client_options_clear (&options.client);
  g_free (options.ticket);
  return status;
}
