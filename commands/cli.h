/*
 * What the commands share on the command line: options, messages, tables.
 */
#ifndef COMMANDS_CLI_H
#define COMMANDS_CLI_H

#include "commands/client.h"
#include "commands/command.h"

#include <glib.h>
#include <jansson.h>

/* How a command explains itself.  */
struct cli_usage
{
  const char *name;
  const char *arguments; /* after the options, as in "JOB"; NULL for none */
  const char *summary;
  const char *example; /* whole command lines, each ended by a newline */
  guint min_arguments;
  guint max_arguments;
};

/* The options of every command that calls entry VMs.  */
struct cli_client_options
{
  char **entries; /* "IP:PORT" */
  char *token_file;
  char *token;
  int timeout_ms; /* 0 before cli_parse () for the common default */
  gboolean is_json;
};

/*
 * Parses ARGV by ENTRIES and, unless CLIENT is NULL, by the options that call
 * entry VMs.  What is left in ARGV are the arguments.  Returns FALSE after
 * printing what is wrong; the exit status is then EXIT_STATUS_USAGE.
 */
gboolean cli_parse (const struct cli_usage *usage, const GOptionEntry *entries,
                    struct cli_client_options *client, int *argc,
                    char ***argv);

/* The options of every command that runs a daemon.  */
struct cli_daemon_options
{
  char *settings_path; /* the caller's to free */
  gboolean check_settings;
};

/* The same for a command that runs a daemon and takes nothing else.  */
gboolean cli_parse_daemon_options (const struct cli_usage *usage,
                                   struct cli_daemon_options *options,
                                   int *argc, char ***argv);

/* Frees what cli_parse () put into OPTIONS.  */
void cli_client_options_clear (struct cli_client_options *options);

/* The deadline that the option --timeout sets, counted from now.  */
gint64 cli_deadline_us (const struct cli_client_options *options);

/*
 * Sends REQUEST, which must be idempotent, to the entry VMs of OPTIONS in turn
 * until one answers.  Returns the JSON, which the caller owns, or NULL with
 * ERROR of the last one asked.
 */
json_t *cli_fetch_any (struct client *client,
                       const struct cli_client_options *options,
                       struct client_request request, GError **error);

/* Prints ERROR on standard error, as JSON on standard output too when
   IS_JSON, and returns the exit status that goes with its kind.  */
int cli_report_error (const char *name, const GError *error, gboolean is_json);

/* Prints VALUE as indented JSON on standard output.  */
void cli_print_json (const json_t *value);

/* Rows of text, printed in aligned columns.  */
struct cli_table;

/* A table whose first row has the N_COLUMNS texts of HEADINGS.  */
struct cli_table *cli_table_new (const char *const *headings, guint n_columns);

/* Adds a row of as many texts.  */
void cli_table_add_row (struct cli_table *table, const char *const *cells);

void cli_table_free (struct cli_table *table);

/* Prints the table on standard output and frees it.  */
void cli_table_print (struct cli_table *table);

/*
 * A progress line on standard error, shown only on a terminal.  The text is
 * replaced by each call; NULL clears the line.
 */
void cli_show_progress (const char *format, ...) G_GNUC_PRINTF (1, 2);

#endif
