#include "commands/cli.h"

#include "base/clock.h"

#include <stdio.h>

/* Time between two requests for the state of a draining VM.  */
#define POLL_INTERVAL_US (200 * USEC_PER_MSEC)

static const struct cli_usage usage = {
  .name = "drain",
  .summary
  = "Makes entry VMs refuse new jobs, finish their running jobs and exit.",
  .example = "  radishchute drain --entry 127.0.0.1:8080 --wait\n",
};

/* The member "unfinished" of a response counts the unfinished jobs plus the
   tasks that still occupy an upstream.  */
static json_t *
send_request (struct client *client, const char *entry, const char *method,
              const char *path, gint64 deadline_us, GError **error)
{
  struct client_request request = { .method = method,
                                    .address = entry,
                                    .path = path,
                                    .deadline_us = deadline_us };

  return client_fetch_json (client, &request, error);
}

/* Waits until the process of ENTRY accepts no more connections.  */
static gboolean
wait_for_exit (struct client *client, const char *entry, gint64 deadline_us,
               GError **error)
{
  while (clock_now_us () < deadline_us)
    {
      g_autoptr (GError) reason = NULL;
      json_t *state = send_request (client, entry, "GET", "/v1/state",
                                    deadline_us, &reason);

      if (state == NULL && error_get_kind (reason) == ERROR_NOT_RUN)
        {
          cli_show_progress (NULL);
          return TRUE;
        }
      cli_show_progress ("%s: %lld unfinished jobs and tasks", entry,
                         (long long)json_integer_value (
                             json_object_get (state, "unfinished")));
      json_decref (state);
      g_usleep (POLL_INTERVAL_US);
    }
  cli_show_progress (NULL);
  error_set (error, ERROR_UNAVAILABLE,
             "%s is still draining; increase --timeout to wait longer", entry);
  return FALSE;
}

static int
drain_entry (struct client *client, const struct cli_client_options *options,
             const char *entry, gboolean is_waiting)
{
  gint64 deadline_us = cli_deadline_us (options);
  g_autoptr (GError) error = NULL;
  json_t *response
      = send_request (client, entry, "POST", "/v1/drain", deadline_us, &error);

  if (response == NULL)
    return cli_report_error (usage.name, error, options->is_json);
  if (options->is_json)
    cli_print_json (response);
  else
    printf ("%s: draining, %lld unfinished jobs and tasks\n", entry,
            (long long)json_integer_value (
                json_object_get (response, "unfinished")));
  json_decref (response);
  fflush (stdout);
  if (is_waiting && !wait_for_exit (client, entry, deadline_us, &error))
    return cli_report_error (usage.name, error, FALSE);
  return EXIT_STATUS_OK;
}

int
command_drain (int argc, char **argv)
{
  gboolean is_waiting = FALSE;
  const GOptionEntry entries[] = {
    { "wait", 'w', 0, G_OPTION_ARG_NONE, &is_waiting,
      "wait until the process accepts no more connections", NULL },
    G_OPTION_ENTRY_NULL,
  };
  struct cli_client_options options = { 0 };
  int worst_status = EXIT_STATUS_USAGE;

  if (cli_parse (&usage, entries, &options, &argc, &argv))
    {
      struct client *client = client_new (options.token);

      worst_status = EXIT_STATUS_OK;
      for (char **entry = options.entries; *entry != NULL; entry++)
        {
          int status = drain_entry (client, &options, *entry, is_waiting);

          worst_status = MAX (worst_status, status);
        }
      client_free (client);
    }
  cli_client_options_clear (&options);
  return worst_status;
}
