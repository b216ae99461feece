/*
 * The command table.  Each command has one entry in it and a source file
 * of its own.
 *
 * A command receives its own argument vector, in which argv[0] is its name,
 * and returns the exit status of the process.
 */
#ifndef COMMANDS_COMMAND_H
#define COMMANDS_COMMAND_H

#include <glib.h>

/* Exit statuses, the same for every command.  */
enum exit_status
{
  EXIT_STATUS_OK = 0,
  EXIT_STATUS_FAILED = 1,      /* the operation failed */
  EXIT_STATUS_USAGE = 2,       /* the command line or a file is invalid */
  EXIT_STATUS_UNAVAILABLE = 3, /* the server does not respond or
                                  does not accept work at present */
};

struct command
{
  const char *name;
  const char *summary; /* shown in the list of commands */
  int (*run) (int argc, char **argv);
};

/* Returns the table, which ends with an entry whose name is NULL.  Static.  */
const struct command *command_table (void);

/* Returns the command of that name, or NULL.  Static.  */
const struct command *command_find (const char *name);

/* Prints that NAME is not a command and suggests one with a similar name.
   Returns EXIT_STATUS_USAGE.  */
int command_report_unknown (const char *name);

int command_bench (int argc, char **argv);
int command_cancel (int argc, char **argv);
int command_config (int argc, char **argv);
int command_drain (int argc, char **argv);
int command_dump (int argc, char **argv);
int command_entry (int argc, char **argv);
int command_evacuate (int argc, char **argv);
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
