#include "commands/config.h"
#include "protocol/json_patch.h"
#include "protocol/log_record.h"

#include <stdio.h>

static const struct cli_usage usage = {
  .name = "config diff",
  .arguments = "FILE",
  .summary = "Compares a team's document with the one in force.",
  .example
  = "  radishchute config diff team.json --log http://10.0.0.2:7000\n",
  .min_arguments = 1,
  .max_arguments = 1,
};

static void
print_difference (const struct document *current,
                  const struct document *changed, gboolean is_json)
{
  json_t *before = log_record_document_to_json (current);
  json_t *after = log_record_document_to_json (changed);
  json_t *patch = json_patch_diff (before, after);
  g_autoptr (GString) text = g_string_new (NULL);

  if (is_json)
    {
      json_t *root
          = json_pack ("{s:s, s:I, s:O}", "team", changed->team, "base",
                       (json_int_t)current->version, "patch", patch);

      cli_print_json (root);
      json_decref (root);
    }
  else if (json_object_size (patch) == 0)
    printf ("no difference from version %" G_GUINT64_FORMAT "\n",
            current->version);
  else
    {
      json_patch_describe (before, patch, text);
      printf ("team %s, changes to version %" G_GUINT64_FORMAT ":\n%s",
              changed->team, current->version, text->str);
    }
  json_decref (before);
  json_decref (after);
  json_decref (patch);
}

static int
diff_file (const struct config_options *options, const char *path)
{
  struct config_view *view = config_view_new (options);
  g_autoptr (GError) error = NULL;
  struct document *changed = config_read_file (path, &error);
  const struct document *current = NULL;
  int status = EXIT_STATUS_OK;

  if (changed != NULL
      && config_view_load (view, FALSE, config_options_deadline_us (options),
                           &error))
    current = config_find_document (view, changed->team, &error);
  if (current != NULL)
    print_difference (current, changed, options->is_json);
  else
    status = cli_report_error (usage.name, error, options->is_json);
  if (changed != NULL)
    document_unref (changed);
  config_view_free (view);
  return status;
}

int
command_config_diff (int argc, char **argv)
{
  struct config_options options = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (config_options_parse (&usage, NULL, &options, &argc, &argv))
    status = diff_file (&options, argv[1]);
  config_options_clear (&options);
  return status;
}
