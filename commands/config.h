/*
 * The subcommands of "config" and the functions that they share.
 */
#ifndef COMMANDS_CONFIG_H
#define COMMANDS_CONFIG_H

#include "commands/cli.h"
#include "commands/config_view.h"
#include "state/document.h"

int command_config_check (int argc, char **argv);
int command_config_diff (int argc, char **argv);
int command_config_history (int argc, char **argv);
int command_config_put (int argc, char **argv);
int command_config_show (int argc, char **argv);

/*
 * Parses ARGV for the command's own options, the GOptionEntry array ENTRIES,
 * which may be NULL, and for those of struct config_options.  Returns FALSE
 * after printing what is wrong.  The caller frees OPTIONS with
 * config_options_clear () in either case.
 */
gboolean config_options_parse (const struct cli_usage *usage,
                               const GOptionEntry *entries,
                               struct config_options *options, int *argc,
                               char ***argv);
void config_options_clear (struct config_options *options);

/* The deadline that --timeout sets, counted from now, on the clock of
   clock_now_us ().  */
gint64 config_options_deadline_us (const struct config_options *options);

/* Reads and checks the document in the file at PATH.  Returns a new reference,
   or NULL with ERROR_INVALID.  */
struct document *config_read_file (const char *path, GError **error);

/* The document of TEAM in force.  Owned by VIEW.  Returns NULL with
   ERROR_NOT_FOUND when there is none, and with ERROR_CONFLICT when the log has
   lost records, so that it is not known.  */
const struct document *config_find_document (const struct config_view *view,
                                             const char *team, GError **error);

#endif
