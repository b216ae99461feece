#include "commands/config.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "config check",
  .arguments = "FILE",
  .summary = "Checks a team's document and lists every problem; needs no "
             "network.",
  .example = "  radishchute config check team.json\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

static void
print_report (const struct document *document, const GError *error)
{
  g_auto (GStrv) problems
      = g_strsplit (error != NULL ? error->message : "", "\n", -1);
  json_t *list = json_array ();
  json_t *root;

  for (char **problem = problems; *problem != NULL; problem++)
    if (**problem != '\0')
      json_array_append_new (list, json_string (*problem));
  root = json_pack ("{s:b, s:o}", "valid", document != NULL, "problems", list);
  cli_print_json (root);
  json_decref (root);
}

static int
check_file (const char *path, gboolean is_json)
{
  g_autoptr (GError) error = NULL;
  struct document *document = config_read_file (path, &error);
  int status = document != NULL ? EXIT_STATUS_OK : EXIT_STATUS_USAGE;

  if (is_json)
    print_report (document, error);
  else if (document != NULL)
    printf ("%s: the document of team '%s' is valid\n", path, document->team);
  else
    fprintf (stderr, "%s\n", error->message);
  if (document != NULL)
    document_unref (document);
  return status;
}

int
command_config_check (int argc, char **argv)
{
  gboolean is_json = FALSE;
  const GOptionEntry entries[] = {
    { "json", 0, 0, G_OPTION_ARG_NONE, &is_json, "print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };

  if (!cli_parse (&usage, entries, NULL, &argc, &argv))
    return EXIT_STATUS_USAGE;
  return check_file (argv[1], is_json);
}
