#include "commands/command.h"

int
command_entry (int argc, char **argv)
{
  return EXIT_STATUS_FAILED;
}
