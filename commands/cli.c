#include "commands/cli.h"

#include "base/clock.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_TIMEOUT_MS 60000 /* of the option --timeout */
#define ENTRY_ENV_VARIABLE "RADISHCHUTE_ENTRY"
#define COLUMN_GAP 2 /* spaces between two columns of a table */

#define HELP_ON_EXIT_STATUS                                                   \
  "Exit status:\n"                                                            \
  "  0 success; 1 the operation failed; 2 the command line or a file is "     \
  "invalid;\n"                                                                \
  "  3 the server does not respond or does not accept work at present\n"

static void print_usage_error (const struct cli_usage *usage,
                               const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
print_usage_error (const struct cli_usage *usage, const char *format, ...)
{
  g_autofree char *message = NULL;
  va_list args;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "radishchute %s: %s; see 'radishchute %s --help'\n",
           usage->name, message, usage->name);
}

static void
add_client_options (GOptionContext *context,
                    struct cli_client_options *options)
{
  GOptionEntry entries[] = {
    { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &options->entries,
      "address of an entry VM; may be repeated (default: the environment "
      "variable " ENTRY_ENV_VARIABLE ", separated by commas)",
      "IP:PORT" },
    { "token-file", 0, 0, G_OPTION_ARG_FILENAME, &options->token_file,
      "file that contains the operators' token", "FILE" },
    { "timeout", 't', 0, G_OPTION_ARG_INT, &options->timeout_ms,
      "maximum time to wait, in milliseconds", "MS" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &options->is_json, "print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };

  g_option_context_add_main_entries (context, entries, NULL);
}

static gboolean
read_token (const struct cli_usage *usage, struct cli_client_options *options)
{
  g_autoptr (GError) error = NULL;

  if (options->token_file == NULL)
    return TRUE;
  if (!g_file_get_contents (options->token_file, &options->token, NULL,
                            &error))
    {
      print_usage_error (usage, "%s; check --token-file", error->message);
      return FALSE;
    }
  g_strchomp (options->token);
  return TRUE;
}

static gboolean
check_client_options (const struct cli_usage *usage,
                      struct cli_client_options *options)
{
  const char *env_entries = g_getenv (ENTRY_ENV_VARIABLE);

  if (options->entries == NULL && env_entries != NULL)
    options->entries = g_strsplit (env_entries, ",", -1);
  if (options->entries == NULL || options->entries[0] == NULL)
    {
      print_usage_error (usage, "no entry VM is given; use --entry IP:PORT");
      return FALSE;
    }
  if (options->timeout_ms <= 0)
    {
      print_usage_error (usage, "--timeout must be at least 1 millisecond");
      return FALSE;
    }
  return read_token (usage, options);
}

static GOptionContext *
new_option_context (const struct cli_usage *usage)
{
  GOptionContext *context = g_option_context_new (usage->arguments);
  g_autofree char *description = g_strconcat ("Example:\n", usage->example,
                                              "\n" HELP_ON_EXIT_STATUS, NULL);

  g_option_context_set_summary (context, usage->summary);
  g_option_context_set_description (context, description);
  return context;
}

static gboolean
check_arguments (const struct cli_usage *usage, guint n_arguments)
{
  if (n_arguments >= usage->min_arguments
      && n_arguments <= usage->max_arguments)
    return TRUE;
  if (n_arguments < usage->min_arguments)
    print_usage_error (usage, "%s is missing", usage->arguments);
  else
    print_usage_error (usage, "too many arguments");
  return FALSE;
}

gboolean
cli_parse (const struct cli_usage *usage, const GOptionEntry *entries,
           struct cli_client_options *client_options, int *argc, char ***argv)
{
  g_autoptr (GOptionContext) context = new_option_context (usage);
  g_autofree char *program = g_strconcat ("radishchute ", usage->name, NULL);
  g_autoptr (GError) error = NULL;

  g_set_prgname (program);
  if (entries != NULL)
    g_option_context_add_main_entries (context, entries, NULL);
  if (client_options != NULL)
    {
      if (client_options->timeout_ms == 0)
        client_options->timeout_ms = DEFAULT_TIMEOUT_MS;
      add_client_options (context, client_options);
    }
  if (!g_option_context_parse (context, argc, argv, &error))
    {
      print_usage_error (usage, "%s", error->message);
      return FALSE;
    }
  if (!check_arguments (usage, (guint)*argc - 1))
    return FALSE;
  return client_options == NULL
         || check_client_options (usage, client_options);
}

gboolean
cli_parse_daemon_options (const struct cli_usage *usage,
                          struct cli_daemon_options *options, int *argc,
                          char ***argv)
{
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_path,
      "settings file of this entry VM", "FILE" },
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, &options->is_check_only,
      "check the settings and exit", NULL },
    G_OPTION_ENTRY_NULL,
  };

  if (!cli_parse (usage, entries, NULL, argc, argv))
    return FALSE;
  if (options->settings_path != NULL)
    return TRUE;
  print_usage_error (usage, "no settings file is given; use --settings FILE");
  return FALSE;
}

void
cli_client_options_clear (struct cli_client_options *options)
{
  g_strfreev (options->entries);
  g_free (options->token_file);
  g_free (options->token);
}

gint64
cli_deadline_us (const struct cli_client_options *options)
{
  return clock_now_us () + options->timeout_ms * USEC_PER_MSEC;
}

/* Returns the deadline for the next of N_LEFT entry VMs: each gets an equal
   share of the time left until DEADLINE_US.  */
static gint64
get_attempt_deadline_us (gint64 deadline_us, guint n_left)
{
  gint64 now_us = clock_now_us ();

  return now_us + MAX (deadline_us - now_us, 0) / MAX (n_left, 1);
}

json_t *
cli_fetch_any (struct client *client, const struct cli_client_options *options,
               struct client_request request, GError **error)
{
  gint64 deadline_us = cli_deadline_us (options);
  guint n_entries = g_strv_length (options->entries);
  json_t *json = NULL;

  for (guint i = 0; i < n_entries && json == NULL; i++)
    {
      g_clear_error (error);
      request.address = options->entries[i];
      request.deadline_us
          = get_attempt_deadline_us (deadline_us, n_entries - i);
      json = client_fetch_json (client, &request, error);
    }
  return json;
}

static int
get_exit_status (enum error_kind kind)
{
  switch (kind)
    {
    case ERROR_UNAVAILABLE:
    case ERROR_NOT_RUN:
    case ERROR_DRAINING:
      return EXIT_STATUS_UNAVAILABLE;
    case ERROR_INVALID:
    case ERROR_TOO_LARGE:
      return EXIT_STATUS_USAGE;
    default:
      return EXIT_STATUS_FAILED;
    }
}

int
cli_report_error (const char *name, const GError *error, gboolean is_json)
{
  enum error_kind kind = error_get_kind (error);

  fprintf (stderr, "radishchute %s: %s: %s\n", name, error_kind_name (kind),
           error->message);
  if (is_json)
    {
      json_t *root
          = json_pack ("{s:{s:s, s:s}}", "error", "kind",
                       error_kind_name (kind), "message", error->message);

      cli_print_json (root);
      json_decref (root);
    }
  return get_exit_status (kind);
}

void
cli_print_json (const json_t *value)
{
  json_dumpf (value, stdout, JSON_INDENT (2) | JSON_ENCODE_ANY);
  putchar ('\n');
}

struct cli_table
{
  guint n_columns;
  GPtrArray *rows; /* char ** */
};

struct cli_table *
cli_table_new (const char *const *headings, guint n_columns)
{
  struct cli_table *table = g_new0 (struct cli_table, 1);

  table->n_columns = n_columns;
  table->rows = g_ptr_array_new_with_free_func ((GDestroyNotify)g_strfreev);
  cli_table_add_row (table, headings);
  return table;
}

void
cli_table_add_row (struct cli_table *table, const char *const *cells)
{
  char **row = g_new0 (char *, table->n_columns + 1);

  for (guint i = 0; i < table->n_columns; i++)
    row[i] = g_strdup (cells[i]);
  g_ptr_array_add (table->rows, row);
}

static int
column_width (const struct cli_table *table, guint column)
{
  glong width = 0;

  for (guint i = 0; i < table->rows->len; i++)
    {
      char **row = g_ptr_array_index (table->rows, i);

      width = MAX (width, g_utf8_strlen (row[column], -1));
    }
  return (int)width;
}

static void
print_row (const struct cli_table *table, char **row, const int *widths)
{
  for (guint i = 0; i + 1 < table->n_columns; i++)
    {
      int padding = widths[i] - (int)g_utf8_strlen (row[i], -1);

      printf ("%s%*s", row[i], padding + COLUMN_GAP, "");
    }
  printf ("%s\n", row[table->n_columns - 1]);
}

void
cli_table_print (struct cli_table *table)
{
  int *widths = g_new0 (int, table->n_columns);

  for (guint i = 0; i < table->n_columns; i++)
    widths[i] = column_width (table, i);
  for (guint i = 0; i < table->rows->len; i++)
    print_row (table, g_ptr_array_index (table->rows, i), widths);
  g_free (widths);
  cli_table_free (table);
}

void
cli_table_free (struct cli_table *table)
{
  g_ptr_array_unref (table->rows);
  g_free (table);
}

void
cli_show_progress (const char *format, ...)
{
  va_list args;

  if (!isatty (STDERR_FILENO))
    return;
  fprintf (stderr, "\r\033[K");
  if (format != NULL)
    {
      va_start (args, format);
      vfprintf (stderr, format, args);
      va_end (args);
    }
  fflush (stderr);
}
