#include "commands/cli.h"

#include <stdio.h>

#define RADISHCHUTE_VERSION "0.1.0"

static const struct cli_usage usage = {
  .name = "version",
  .summary = "Prints the version.",
  .example = "  radishchute version\n",
};

int
command_version (int argc, char **argv)
{
  gboolean is_json = FALSE;
  const GOptionEntry entries[] = {
    { "json", 0, 0, G_OPTION_ARG_NONE, &is_json, "print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };

  if (!cli_parse (&usage, entries, NULL, &argc, &argv))
    return EXIT_STATUS_USAGE;
  if (is_json)
    printf ("{\"version\":\"%s\"}\n", RADISHCHUTE_VERSION);
  else
    printf ("radishchute %s\n", RADISHCHUTE_VERSION);
  return EXIT_STATUS_OK;
}
