#include "commands/cli.h"

#include <stdio.h>

/* An entry VM that does not answer delays the table by at most this long.  */
#define DEFAULT_TIMEOUT_MS 3000

static const struct cli_usage usage = {
  .name = "status",
  .summary = "Shows the state of each given entry VM on one line.",
  .example = "  radishchute status --entry 127.0.0.1:8080 "
             "--entry 127.0.0.1:8081\n",
};

static const char *const headings[]
    = { "ENTRY",  "VM",      "ZONE",   "STATUS", "JOBS",
        "QUEUED", "RUNNING", "STARTS", "RSS KB", "CPU SECONDS" };

#define N_COLUMNS G_N_ELEMENTS (headings)

static char *
format_number (const json_t *object, const char *group, const char *key)
{
  json_t *value = json_object_get (json_object_get (object, group), key);

  if (!json_is_integer (value))
    return g_strdup ("-");
  return g_strdup_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (value));
}

static char *
format_cpu (const json_t *state)
{
  json_t *value
      = json_object_get (json_object_get (state, "process"), "cpu_us");

  if (!json_is_integer (value))
    return g_strdup ("-");
  return g_strdup_printf ("%.1f", (double)json_integer_value (value) / 1e6);
}

static char *
format_text (const json_t *state, const char *key)
{
  const char *text = json_string_value (json_object_get (state, key));

  return g_strdup (text != NULL ? text : "-");
}

/* Returns the cells of the row of ENTRY.  Free with g_strfreev ().  */
static char **
format_state_row (const char *entry, const json_t *state)
{
  gboolean is_draining = json_is_true (json_object_get (state, "draining"));
  char **cells = g_new0 (char *, N_COLUMNS + 1);
  guint n = 0;

  cells[n++] = g_strdup (entry);
  cells[n++] = format_text (state, "vm");
  cells[n++] = format_text (state, "availability_zone");
  cells[n++] = g_strdup (is_draining ? "draining" : "serving");
  cells[n++] = format_number (state, "load", "active_jobs");
  cells[n++] = format_number (state, "load", "queued_tasks");
  cells[n++] = format_number (state, "load", "running_tasks");
  cells[n++] = format_number (state, "messages", "starts");
  cells[n++] = format_number (state, "process", "rss_kb");
  cells[n] = format_cpu (state);
  return cells;
}

/* The same for an entry VM whose state could not be fetched.  */
static char **
format_failure_row (const char *entry, const GError *error)
{
  gboolean is_denied = error_get_kind (error) == ERROR_DENIED;
  char **cells = g_new0 (char *, N_COLUMNS + 1);

  for (guint i = 0; i < N_COLUMNS; i++)
    cells[i] = g_strdup (i == 0   ? entry
                         : i == 3 ? (is_denied ? "denied" : "no answer")
                                  : "-");
  return cells;
}

/* Fetches the state of ENTRY and adds it to TABLE and to the array STATES.
   Without an answer adds a row that says so and returns FALSE.  */
static gboolean
add_entry_status (struct client *client,
                  const struct cli_client_options *options, const char *entry,
                  struct cli_table *table, json_t *states)
{
  struct client_request request = { .method = "GET",
                                    .address = entry,
                                    .path = "/v1/state",
                                    .deadline_us = cli_deadline_us (options) };
  g_autoptr (GError) error = NULL;
  json_t *state = client_fetch_json (client, &request, &error);
  g_auto (GStrv) cells = state != NULL ? format_state_row (entry, state)
                                       : format_failure_row (entry, error);

  cli_table_add_row (table, (const char *const *)cells);
  if (state == NULL)
    fprintf (stderr, "radishchute status: %s\n", error->message);
  json_array_append_new (
      states, json_pack ("{s:s, s:o?}", "entry", entry, "state", state));
  return state != NULL;
}

static int
show_status (const struct cli_client_options *options)
{
  struct cli_table *table = cli_table_new (headings, N_COLUMNS);
  struct client *client = client_new (options->token);
  json_t *states = json_array ();
  int status = EXIT_STATUS_OK;

  for (char **entry = options->entries; *entry != NULL; entry++)
    if (!add_entry_status (client, options, *entry, table, states))
      status = EXIT_STATUS_UNAVAILABLE;
  if (options->is_json)
    {
      cli_print_json (states);
      cli_table_free (table);
    }
  else
    cli_table_print (table);
  json_decref (states);
  client_free (client);
  return status;
}

int
command_status (int argc, char **argv)
{
  struct cli_client_options options = { .timeout_ms = DEFAULT_TIMEOUT_MS };
  int status = EXIT_STATUS_USAGE;

  if (cli_parse (&usage, NULL, &options, &argc, &argv))
    status = show_status (&options);
  cli_client_options_clear (&options);
  return status;
}
