#include "commands/command.h"

#include <stdio.h>

int
command_help (int argc, char **argv)
{
  printf ("usage: radishchute COMMAND [OPTION...]\n\nCommands:\n");
  for (const struct command *c = command_table (); c->name != NULL; c++)
    printf ("  %-10s %s\n", c->name, c->summary);
  printf ("\n'radishchute COMMAND --help' explains one command.\n");
  return EXIT_STATUS_OK;
}
