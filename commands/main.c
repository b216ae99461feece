#include "commands/command.h"

#include <stdio.h>
#include <string.h>

static const struct command commands[] = {
  { "entry", "run the daemon of an entry VM", command_entry },
  { "help", "list the commands", command_help },
  { "version", "print the version", command_version },
  { NULL, NULL, NULL },
};

const struct command *
command_table (void)
{
  return commands;
}

int
main (int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "help";

  if (strcmp (name, "--help") == 0)
    name = "help";
  if (strcmp (name, "--version") == 0)
    name = "version";
  for (const struct command *c = commands; c->name != NULL; c++)
    if (strcmp (c->name, name) == 0)
      return c->run (MAX (argc - 1, 1), argc > 1 ? argv + 1 : argv);
  fprintf (stderr,
           "radishchute: '%s' is not a command; 'radishchute help' lists "
           "them\n",
           name);
  return EXIT_STATUS_USAGE;
}
