#include "t/support/run.h"

#include <gio/gio.h>

struct run_result *
run_command (const char *input, ...)
{
  const char *build = g_getenv ("RADISHCHUTE_BUILD");
  g_autofree char *program = g_build_filename (build == NULL ? "build" : build,
                                               "radishchute", NULL);
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  g_autoptr (GSubprocess) child = NULL;
  g_autoptr (GError) error = NULL;
  struct run_result *result = g_new0 (struct run_result, 1);
  char *argument;
  va_list list;

  g_ptr_array_add (arguments, program);
  va_start (list, input);
  while ((argument = va_arg (list, char *)) != NULL)
    g_ptr_array_add (arguments, argument);
  va_end (list);
  g_ptr_array_add (arguments, NULL);
  child = g_subprocess_newv ((const char *const *)arguments->pdata,
                             G_SUBPROCESS_FLAGS_STDIN_PIPE
                                 | G_SUBPROCESS_FLAGS_STDOUT_PIPE
                                 | G_SUBPROCESS_FLAGS_STDERR_PIPE,
                             &error);
  g_assert_no_error (error);
  g_subprocess_communicate_utf8 (child, input != NULL ? input : "", NULL,
                                 &result->out, &result->err, &error);
  g_assert_no_error (error);
  g_assert_true (g_subprocess_get_if_exited (child));
  result->status = g_subprocess_get_exit_status (child);
  return result;
}

json_t *
run_result_json (const struct run_result *result)
{
  json_error_t error;
  json_t *json = json_loads (result->out, JSON_DECODE_ANY, &error);

  if (json == NULL)
    g_error ("not JSON: %s: '%s' '%s'", error.text, result->out, result->err);
  return json;
}

void
run_result_free (struct run_result *result)
{
  g_free (result->out);
  g_free (result->err);
  g_free (result);
}
