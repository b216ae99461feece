/*
 * The command-line functions that the commands share: option parsing, error
 * messages, tables and progress.
 */
#ifndef COMMANDS_CLI_H
#define COMMANDS_CLI_H

#include "commands/client.h"
#include "commands/command.h"

#include <glib.h>
#include <jansson.h>

/* A command's help texts and its number of arguments.  */
struct cli_usage
{
  const char *name;
  const char *arguments; /* shown after the options, such as "JOB"; or NULL */
  const char *summary;
  const char *example; /* complete command lines, each with a newline */
  guint min_arguments;
  guint max_arguments;
};

/* The options of every command that calls entry VMs.  Initialise to zero;
   free with cli_client_options_clear ().  */
struct cli_client_options
{
  char **entries; /* addresses of entry VMs, "IP:PORT"; ended by NULL */
  char *token_file;
  char *token;      /* content of TOKEN_FILE; NULL without one */
  int timeout_ms;   /* 0 before cli_parse () selects the common default */
  gboolean is_json; /* print JSON instead of text */
};

/*
 * Parses ARGV for the command's own options, the GOptionEntry array ENTRIES,
 * which may be NULL, and, unless CLIENT_OPTIONS is NULL, for those of struct
 * cli_client_options.  Removes the options from ARGV, so that argv[0] and the
 * arguments remain.  On an invalid command line prints the error and returns
 * FALSE.  The caller then exits with EXIT_STATUS_USAGE.
 */
gboolean cli_parse (const struct cli_usage *usage, const GOptionEntry *entries,
                    struct cli_client_options *client_options, int *argc,
                    char ***argv);

/* The options of every command that runs a daemon.  */
struct cli_daemon_options
{
  char *settings_path;    /* owned by the caller; freed with g_free () */
  gboolean is_check_only; /* check the settings, then exit */
};

/* Parses ARGV as cli_parse () does, for the options of struct
   cli_daemon_options only.  Requires the option --settings.  */
gboolean cli_parse_daemon_options (const struct cli_usage *usage,
                                   struct cli_daemon_options *options,
                                   int *argc, char ***argv);

/* Frees the strings in OPTIONS, but not OPTIONS itself.  */
void cli_client_options_clear (struct cli_client_options *options);

/* Returns the time at which the option --timeout expires, counted from now, on
   the clock of clock_now_us ().  */
gint64 cli_deadline_us (const struct cli_client_options *options);

/*
 * Sends REQUEST, which must be idempotent, to the entry VMs of OPTIONS in turn
 * until one succeeds.  Sets its address and deadline: each VM may use an equal
 * share of the time left until --timeout.  Returns the JSON of the response,
 * which the caller owns, or NULL with the ERROR of the last VM.
 */
json_t *cli_fetch_any (struct client *client,
                       const struct cli_client_options *options,
                       struct client_request request, GError **error);

/* Prints ERROR of the command NAME on standard error and, if IS_JSON, also as
   JSON on standard output.  Returns the exit status for its kind.  */
int cli_report_error (const char *name, const GError *error, gboolean is_json);

/* Prints VALUE as indented JSON on standard output.  */
void cli_print_json (const json_t *value);

/* A table of text cells, printed in aligned columns.  */
struct cli_table;

/* Returns a table whose first row holds the N_COLUMNS texts in HEADINGS.  Free
   with cli_table_free () or cli_table_print ().  */
struct cli_table *cli_table_new (const char *const *headings, guint n_columns);

/* Adds a row; CELLS must hold as many texts as there are columns.  */
void cli_table_add_row (struct cli_table *table, const char *const *cells);

void cli_table_free (struct cli_table *table);

/* Prints the table on standard output and frees it.  */
void cli_table_print (struct cli_table *table);

/*
 * Shows a progress line on standard error if that is a terminal.  Each call
 * replaces the line; a NULL FORMAT clears it.
 */
void cli_show_progress (const char *format, ...) G_GNUC_PRINTF (1, 2);

#endif
