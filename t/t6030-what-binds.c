/* t/what-binds reads a recorded report, and refuses one that lacks what it
   needs.  */
#include <gio/gio.h>

#include <string.h>

#define SCRIPT "t/what-binds"
#define REPORT "t/golden/what-binds/report.txt"
#define TABLE "t/golden/what-binds/table.txt"

static char *
read_text (const char *path)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;

  g_file_get_contents (path, &text, NULL, &error);
  g_assert_no_error (error);
  return text;
}

/* Runs the script on INPUT.  Returns its exit status.  */
static int
run_script (const char *input, char **out, char **err)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocess) process = g_subprocess_new (
      G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE
          | G_SUBPROCESS_FLAGS_STDERR_PIPE,
      &error, SCRIPT, NULL);

  g_assert_no_error (error);
  g_subprocess_communicate_utf8 (process, input, NULL, out, err, &error);
  g_assert_no_error (error);
  return g_subprocess_get_exit_status (process);
}

/* INPUT without the lines that hold WORD.  */
static char *
remove_lines (const char *input, const char *word)
{
  g_auto (GStrv) lines = g_strsplit (input, "\n", -1);
  GString *kept = g_string_new (NULL);

  for (char **line = lines; *line != NULL; line++)
    if (strstr (*line, word) == NULL)
      g_string_append_printf (kept, "%s\n", *line);
  return g_string_free (kept, FALSE);
}

static void
test_table (void)
{
  g_autofree char *report = read_text (REPORT);
  g_autofree char *table = read_text (TABLE);
  g_autofree char *out = NULL;
  g_autofree char *err = NULL;

  g_assert_cmpint (run_script (report, &out, &err), ==, 0);
  g_assert_cmpstr (out, ==, table);
  g_assert_cmpstr (err, ==, "");
}

/* INPUT is refused with a message that holds WORD.  */
static void
assert_refused (const char *input, const char *word)
{
  g_autofree char *out = NULL;
  g_autofree char *err = NULL;

  g_assert_cmpint (run_script (input, &out, &err), ==, 2);
  g_assert_cmpstr (out, ==, "");
  g_assert_nonnull (strstr (err, word));
}

static void
test_missing (void)
{
  g_autofree char *report = read_text (REPORT);
  g_autofree char *no_table = remove_lines (report, "from second");
  g_autofree char *no_log = remove_lines (report, "time_us");

  assert_refused ("", "no table by seconds");
  assert_refused (no_table, "no table by seconds");
  assert_refused (no_log, "--log all");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/what-binds/table", test_table);
  g_test_add_func ("/what-binds/missing", test_missing);
  return g_test_run ();
}
