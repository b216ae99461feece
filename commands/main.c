#include "commands/command.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* A command is suggested for an unknown name within this edit distance.  */
#define MAX_SUGGESTION_EDITS 3

static const struct command commands[] = {
  { "bench", "generate load and measure the response times", command_bench },
  { "cancel", "cancel a job", command_cancel },
  { "config", "check, publish and show configuration documents",
    command_config },
  { "drain", "make entry VMs finish their jobs and exit", command_drain },
  { "dump", "print the state of an entry VM", command_dump },
  { "entry", "run the daemon of an entry VM", command_entry },
  { "evacuate", "start nothing more in an availability zone",
    command_evacuate },
  { "explain", "explain from logs what happened to a job", command_explain },
  { "fleet", "run the daemon of an entry VM that owns upstreams",
    command_fleet },
  { "help", "list the commands, or show the help of one", command_help },
  { "job", "show the progress or the answer of a job", command_job },
  { "log-level", "set the log level of entry VMs", command_log_level },
  { "status", "show the state of each entry VM", command_status },
  { "submit", "submit a job and print its answer", command_submit },
  { "ticket", "request tickets, which make retries safe", command_ticket },
  { "version", "print the version", command_version },
  { NULL, NULL, NULL },
};

const struct command *
command_table (void)
{
  return commands;
}

const struct command *
command_find (const char *name)
{
  for (const struct command *c = commands; c->name != NULL; c++)
    if (strcmp (c->name, name) == 0)
      return c;
  return NULL;
}

/* Returns the Levenshtein distance of A and B, in bytes.  */
static guint
edit_distance (const char *a, const char *b)
{
  size_t n = strlen (b);
  g_autofree guint *row = g_new (guint, n + 1);

  for (size_t j = 0; j <= n; j++)
    row[j] = (guint)j;
  for (size_t i = 0; a[i] != '\0'; i++)
    {
      guint diagonal = row[0];

      row[0] = (guint)i + 1;
      for (size_t j = 0; j < n; j++)
        {
          guint above = row[j + 1];
          guint replaced = diagonal + (a[i] != b[j]);

          row[j + 1] = MIN (MIN (above, row[j]) + 1, replaced);
          diagonal = above;
        }
    }
  return row[n];
}

static const char *
find_nearest (const char *name)
{
  guint least = MAX_SUGGESTION_EDITS + 1;
  const char *nearest = NULL;

  for (const struct command *c = commands; c->name != NULL; c++)
    {
      guint distance = edit_distance (name, c->name);

      if (distance < least && distance < strlen (c->name))
        {
          least = distance;
          nearest = c->name;
        }
    }
  return nearest;
}

int
command_report_unknown (const char *name)
{
  const char *nearest = find_nearest (name);

  fprintf (stderr, "radishchute: '%s' is not a command; ", name);
  if (nearest != NULL)
    fprintf (stderr, "did you mean '%s'? ", nearest);
  fprintf (stderr, "'radishchute help' lists them all\n");
  return EXIT_STATUS_USAGE;
}

int
main (int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "help";
  const struct command *command;

  if (strcmp (name, "--help") == 0 || strcmp (name, "-h") == 0)
    name = "help";
  if (strcmp (name, "--version") == 0)
    name = "version";
  command = command_find (name);
  if (command == NULL)
    return command_report_unknown (name);
  return command->run (MAX (argc - 1, 1), argc > 1 ? argv + 1 : argv);
}
