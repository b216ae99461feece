#include "t/standin/standin.h"

#include <stdio.h>
#include <string.h>

struct subcommand
{
  const char *name;
  int (*run) (int argc, char **argv);
};

static const struct subcommand subcommands[] = {
  { "platform", standin_platform }, { "upstream", standin_upstream },
  { "proxy", standin_proxy },       { "store", standin_store },
  { "worker", standin_worker },
};

int
main (int argc, char **argv)
{
  for (size_t i = 0; argc > 1 && i < sizeof subcommands / sizeof *subcommands;
       i++)
    if (strcmp (subcommands[i].name, argv[1]) == 0)
      return subcommands[i].run (argc - 1, argv + 1);
  fprintf (
      stderr,
      "usage: standin platform|upstream|proxy|store|worker [OPTION...]\n");
  return 2;
}
