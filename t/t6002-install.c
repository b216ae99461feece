/* What "make install" ships: the manual page and the service file.  */
#include "t/support/run.h"

#include <string.h>

static char *
read_text (const char *path)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;

  g_file_get_contents (path, &text, NULL, &error);
  g_assert_no_error (error);
  return text;
}

/* The names that "radishchute help" lists.  */
static GPtrArray *
list_commands (void)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  struct run_result *help = run_command (NULL, "help", NULL);
  g_auto (GStrv) lines = g_strsplit (help->out, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    if (g_str_has_prefix (*line, "  "))
      g_ptr_array_add (names, g_strndup (*line + 2, strcspn (*line + 2, " ")));
  run_result_free (help);
  g_assert_cmpuint (names->len, >, 0);
  return names;
}

/* The name as the manual page writes it, with its hyphens escaped.  */
static char *
escape_name (const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, "-", -1);

  return g_strjoinv ("\\-", parts);
}

static void
test_manual_lists_every_command (void)
{
  g_autofree char *manual = read_text ("radishchute.1");
  g_autoptr (GPtrArray) names = list_commands ();

  for (guint i = 0; i < names->len; i++)
    {
      g_autofree char *name = escape_name (g_ptr_array_index (names, i));
      g_autofree char *entry = g_strdup_printf ("\n.TP\n.B %s\n", name);

      if (strstr (manual, entry) == NULL)
        g_error ("radishchute.1 lacks the command '%s'", name);
    }
}

static void
test_manual_lists_no_other (void)
{
  g_autofree char *manual = read_text ("radishchute.1");
  g_autoptr (GPtrArray) names = list_commands ();
  char *start = strstr (manual, ".SH COMMANDS\n");
  char *end = strstr (manual, ".SH COMMON OPTIONS\n");
  g_autofree char *part = NULL;
  g_auto (GStrv) entries = NULL;

  g_assert_nonnull (start);
  g_assert_nonnull (end);
  part = g_strndup (start, (gsize)(end - start));
  entries = g_strsplit (part, ".TP\n", -1);
  g_assert_cmpuint (g_strv_length (entries) - 1, ==, names->len);
}

static void
test_every_command_has_a_page (void)
{
  g_autoptr (GPtrArray) names = list_commands ();

  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      g_autofree char *path = g_strdup_printf ("commands/%s.md", name);
      g_autofree char *page = read_text (path);
      g_autofree char *title = g_strdup_printf ("# radishchute %s", name);

      g_assert_true (g_str_has_prefix (page, title));
    }
}

static void
test_service_file (void)
{
  g_autoptr (GKeyFile) file = g_key_file_new ();
  g_autoptr (GError) error = NULL;
  g_autofree char *type = NULL;
  g_autofree char *stop_signal = NULL;

  g_key_file_load_from_file (file, "contrib/radishchute.service",
                             G_KEY_FILE_NONE, &error);
  g_assert_no_error (error);
  type = g_key_file_get_string (file, "Service", "Type", NULL);
  stop_signal = g_key_file_get_string (file, "Service", "KillSignal", NULL);
  g_assert_cmpstr (type, ==, "notify");
  g_assert_cmpstr (stop_signal, ==, "SIGTERM");
  g_assert_cmpint (
      g_key_file_get_integer (file, "Service", "TimeoutStopSec", NULL), >,
      600);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/install/manual", test_manual_lists_every_command);
  g_test_add_func ("/install/manual-no-other", test_manual_lists_no_other);
  g_test_add_func ("/install/pages", test_every_command_has_a_page);
  g_test_add_func ("/install/service-file", test_service_file);
  return g_test_run ();
}
