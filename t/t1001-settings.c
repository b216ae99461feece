/* The settings: what is accepted, and what is said about the rest.  */
#include "base/error.h"
#include "protocol/settings.h"

#include <string.h>

#define REQUIRED                                                              \
  "\"vm\":\"entry-1\",\"availability_zone\":\"a\","                           \
  "\"listen\":\"127.0.0.1:8080\",\"peer_listen\":\"127.0.0.1:9000\","         \
  "\"log_url\":\"http://127.0.0.1:7000/\","                                   \
  "\"vm_list_url\":\"http://127.0.0.1:7000\""

static void
test_example (void)
{
  g_autoptr (GError) error = NULL;
  struct settings *settings = settings_load ("contrib/entry.json", &error);

  g_assert_no_error (error);
  g_assert_cmpstr (settings->vm, ==, "entry-1");
  g_assert_cmpstr (settings->listen.ip, ==, "10.0.1.5");
  g_assert_cmpuint (settings->peer_listen.port, ==, 9000);
  g_assert_cmpuint (settings->keys->len, ==, 1);
  g_assert_cmpint (settings->log_format, ==, LOG_FORMAT_JSON);
  settings_free (settings);
}

static void
test_defaults (void)
{
  static const char text[] = "{" REQUIRED "}";
  g_autoptr (GError) error = NULL;
  struct settings *settings
      = settings_parse (text, strlen (text), "test", &error);

  g_assert_no_error (error);
  g_assert_cmpstr (settings->log_url, ==, "http://127.0.0.1:7000");
  g_assert_cmpstr (settings->config_stream, ==, "radishchute-config");
  g_assert_null (settings->operator_token);
  g_assert_cmpuint (settings->keys->len, ==, 0);
  settings_free (settings);
}

static void
assert_problem (const char *text, const char *problem)
{
  g_autoptr (GError) error = NULL;

  g_assert_null (settings_parse (text, strlen (text), "test.json", &error));
  g_assert_error (error, RADISHCHUTE_ERROR, ERROR_INVALID);
  g_assert_true (g_str_has_prefix (error->message, "test.json: "));
  if (strstr (error->message, problem) == NULL)
    g_error ("'%s' is not in: %s", problem, error->message);
}

static void
test_each_problem (void)
{
  assert_problem ("{", "line 1");
  assert_problem ("{" REQUIRED ",\"vm\":\"b\"}", "duplicate");
  assert_problem ("[]", "must be an object");
  assert_problem ("{" REQUIRED ",\"vmm\":1}", "unknown member 'vmm'");
  assert_problem ("{" REQUIRED ",\"region\":7}", "'region' must be a string");
  assert_problem ("{" REQUIRED ",\"peer_seeds\":[\"host:1\"]}", "entry 0");
  assert_problem ("{" REQUIRED ",\"keys\":[\"abc\"]}", "hexadecimal");
  assert_problem ("{" REQUIRED ",\"log\":{\"level\":\"loud\"}}",
                  "log: 'level' must be one of: error");
  assert_problem ("{" REQUIRED ",\"limits\":{\"connections\":0}}",
                  "'connections' must be a whole number from 1");
  assert_problem ("{" REQUIRED ",\"limits\":{\"memory_mb\":15}}",
                  "'memory_mb' must be a whole number from 16");
  assert_problem ("{" REQUIRED ",\"limits\":{\"descriptors\":63}}",
                  "'descriptors' must be a whole number from 64");
  assert_problem ("{" REQUIRED ",\"tls\":{\"key\":\"k\"}}",
                  "'certificate' is missing");
}

/* All problems are told in one go, a line each.  */
static void
test_several_problems (void)
{
  static const char text[]
      = "{\"vm\":\"Entry 1\",\"listen\":\"localhost:8080\","
        "\"peer_listen\":\"127.0.0.1:9000\",\"log_url\":\"ftp://x\","
        "\"surplus\":true}";
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) lines = NULL;

  g_assert_null (settings_parse (text, strlen (text), "test.json", &error));
  lines = g_strsplit (error->message, "\n", -1);
  g_assert_cmpuint (g_strv_length (lines), ==, 6);
}

static void
test_clashing_addresses (void)
{
  assert_problem ("{\"vm\":\"e\",\"availability_zone\":\"a\","
                  "\"listen\":\"127.0.0.1:8080\","
                  "\"peer_listen\":\"127.0.0.1:8080\","
                  "\"log_url\":\"http://127.0.0.1:1\","
                  "\"vm_list_url\":\"http://127.0.0.1:1\"}",
                  "the same address");
}

/* Comments are blanked, but not within strings, and lines are kept.  */
static void
test_comments (void)
{
  static const char text[]
      = "// first\n{" REQUIRED ", /* a\nb */ \"region\": \"a//b/*c*/\" }";
  g_autoptr (GError) error = NULL;
  struct settings *settings
      = settings_parse (text, strlen (text), "test", &error);

  g_assert_no_error (error);
  g_assert_cmpstr (settings->region, ==, "a//b/*c*/");
  settings_free (settings);
  assert_problem ("// first\n/* a\n b */ {,}", "line 3");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/example", test_example);
  g_test_add_func ("/settings/defaults", test_defaults);
  g_test_add_func ("/settings/each-problem", test_each_problem);
  g_test_add_func ("/settings/several-problems", test_several_problems);
  g_test_add_func ("/settings/clashing-addresses", test_clashing_addresses);
  g_test_add_func ("/settings/comments", test_comments);
  return g_test_run ();
}
