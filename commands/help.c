#include "commands/command.h"

#include <stdio.h>
#include <string.h>

static void
print_command_list (void)
{
  printf ("usage: radishchute COMMAND [OPTION...]\n\nCommands:\n");
  for (const struct command *c = command_table (); c->name != NULL; c++)
    printf ("  %-10s %s\n", c->name, c->summary);
  printf ("\n'radishchute help COMMAND' shows the help of a command.\n");
}

int
command_help (int argc, char **argv)
{
  const struct command *command;
  char help_option[] = "--help";

  if (argc < 2 || strcmp (argv[1], "--help") == 0)
    {
      print_command_list ();
      return EXIT_STATUS_OK;
    }
  command = command_find (argv[1]);
  if (command == NULL)
    return command_report_unknown (argv[1]);
  return command->run (2, (char *[]){ argv[1], help_option, NULL });
}
