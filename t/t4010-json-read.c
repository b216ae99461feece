/*
 * JSON that is legal in size but takes far more once it is read: many short
 * values, and as many problems.
 */
#include "base/error.h"
#include "protocol/json_read.h"

#include <string.h>

static gboolean
limit (const char *text, gsize max)
{
  g_autoptr (GError) error = NULL;
  gboolean is_within = json_limit_values (text, strlen (text), max, &error);

  if (!is_within)
    g_assert_cmpint (error_get_kind (error), ==, ERROR_TOO_LARGE);
  return is_within;
}

static void
test_values (void)
{
  g_assert_true (limit ("", 1));
  g_assert_true (limit ("7", 1));
  g_assert_true (limit ("[1,2,3]", 4));
  g_assert_false (limit ("[1,2,3]", 3));
  g_assert_true (limit ("{\"a\":{},\"b\":[]}", 5));
  g_assert_false (limit ("{\"a\":{},\"b\":[]}", 4));
}

/* Inputs are texts: what stands in a string is no value.  */
static void
test_strings (void)
{
  g_assert_true (limit ("\"a,b,[{,,,\"", 1));
  g_assert_true (limit ("[\"\\\",,,\",\"\\\\\"]", 3));
  g_assert_true (limit ("\"never ends,,,", 1));
  g_assert_true (limit ("\"ends in a backslash\\", 1));
}

/* One problem for each unknown member would be a message that is longer than
   the text.  */
static void
test_problems (void)
{
  struct json_check check;
  g_autoptr (GError) error = NULL;

  json_check_init (&check, "the job");
  for (guint i = 0; i < JSON_MAX_PROBLEMS + 7; i++)
    json_check_add_problem (&check, "job", "unknown member 'm%u'", i);
  g_assert_false (json_check_end (&check, &error));
  g_assert_nonnull (strstr (error->message, "unknown member 'm99'"));
  g_assert_null (strstr (error->message, "unknown member 'm100'"));
  g_assert_true (g_str_has_suffix (error->message, "7 more problems"));
}

/* A problem quotes names that are as long as the client likes.  */
static void
test_long_problem (void)
{
  g_autofree char *name = g_strnfill (JSON_MAX_PROBLEM_BYTES, 'x');
  struct json_check check;
  g_autoptr (GError) error = NULL;

  json_check_init (&check, "the job");
  json_check_add_problem (&check, "job", "%s\xc3\xa9", name);
  json_check_add_problem (&check, "job", "the second");
  g_assert_false (json_check_end (&check, &error));
  g_assert_true (g_utf8_validate (error->message, -1, NULL));
  g_assert_cmpuint (strlen (error->message), <, JSON_MAX_PROBLEM_BYTES + 50);
  g_assert_true (g_str_has_suffix (error->message, "the second"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/json-read/values", test_values);
  g_test_add_func ("/json-read/strings", test_strings);
  g_test_add_func ("/json-read/problems", test_problems);
  g_test_add_func ("/json-read/long-problem", test_long_problem);
  return g_test_run ();
}
