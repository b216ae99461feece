/*
 * The command table: one entry and one file a command.
 *
 * A command gets its own argument vector, argv[0] being its name, and returns
 * the process's exit status.
 */
#ifndef COMMANDS_COMMAND_H
#define COMMANDS_COMMAND_H

#include <glib.h>

/* Exit statuses, the same for every command.  */
enum exit_status
{
  EXIT_STATUS_OK = 0,
  EXIT_STATUS_FAILED = 1,      /* the operation failed */
  EXIT_STATUS_USAGE = 2,       /* the command line or a file is wrong */
  EXIT_STATUS_UNAVAILABLE = 3, /* the service asked does not answer or
                                  takes no work now */
};

struct command
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
};

/* The table, ended by an entry without a name.  Static.  */
const struct command *command_table (void);

/* The command of that name, or NULL.  Static.  */
const struct command *command_find (const char *name);

/* Says that NAME is no command and which one comes nearest; returns
   EXIT_STATUS_USAGE.  */
int command_report_unknown (const char *name);

int command_bench (int argc, char **argv);
int command_cancel (int argc, char **argv);
int command_config (int argc, char **argv);
int command_drain (int argc, char **argv);
int command_dump (int argc, char **argv);
int command_entry (int argc, char **argv);
int command_explain (int argc, char **argv);
int command_fleet (int argc, char **argv);
int command_help (int argc, char **argv);
int command_job (int argc, char **argv);
int command_log_level (int argc, char **argv);
int command_status (int argc, char **argv);
int command_submit (int argc, char **argv);
int command_ticket (int argc, char **argv);
int command_version (int argc, char **argv);

#endif
