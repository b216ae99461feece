#include "commands/command.h"

#include <stdio.h>

#define RADISHCHUTE_VERSION "0.1.0"

int
command_version (int argc, char **argv)
{
  printf ("radishchute %s\n", RADISHCHUTE_VERSION);
  return EXIT_STATUS_OK;
}
