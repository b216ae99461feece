/* The operator's desired state: what is read, and what is refused.  */
#include "platform/desired_state.h"

#include "base/error.h"

#include <string.h>

/* Single quotes stand for double ones.  */
static struct desired_state *
parse (const char *text, GError **error)
{
  char *json = g_strdelimit (g_strdup (text), "'", '"');
  g_autoptr (GBytes) bytes = g_bytes_new_take (json, strlen (json));

  return desired_state_parse (bytes, error);
}

static void
expect_refusal (const char *text, const char *about)
{
  g_autoptr (GError) error = NULL;
  struct desired_state *state = parse (text, &error);

  g_assert_null (state);
  g_assert_error (error, RADISHCHUTE_ERROR, ERROR_INVALID);
  if (strstr (error->message, about) == NULL)
    g_error ("'%s' does not tell of '%s'", error->message, about);
}

static void
test_routes_are_read (void)
{
  struct desired_state *state
      = parse ("{'version':9007199254740993,'routes':[{'name':'r-1',"
               "'host':'A.example','prefix':'/x/','kind':'non_idempotent',"
               "'timeoutMs':1500,'goalMs':60,'prio':2,'service':'s',"
               "'attempts':4,'stretch':1.6}],'services':[{'name':'t'}],"
               "'limits':{'maxHeaderBytes':16384}}",
               NULL);
  const struct route *route;

  g_assert_nonnull (state);
  g_assert_cmpuint (state->table->version, ==,
                    G_GUINT64_CONSTANT (9007199254740993));
  route = route_table_find (state->table, "a.example:80", "/x/1");
  g_assert_nonnull (route);
  g_assert_cmpstr (route->name, ==, "r-1");
  g_assert_cmpstr (route->service, ==, "s");
  g_assert_cmpuint (route->timeout_ms, ==, 1500);
  g_assert_cmpuint (route->goal_ms, ==, 60);
  g_assert_cmpuint (route->priority, ==, 2);
  g_assert_cmpuint (route->attempts, ==, 4);
  g_assert_cmpfloat (route->stretch, ==, 1.6);
  g_assert_true (g_hash_table_contains (state->services, "s"));
  g_assert_true (g_hash_table_contains (state->services, "t"));
  g_assert_false (g_hash_table_contains (state->services, "u"));
  desired_state_free (state);
}

static void
test_omitted_figures (void)
{
  struct desired_state *state = parse (
      "{'version':1,'routes':[{'host':'a','prefix':'/','service':'s'}]}",
      NULL);
  const struct route *route;

  g_assert_nonnull (state);
  route = route_table_find (state->table, "a", "/");
  g_assert_cmpuint (route->priority, ==, 0);
  g_assert_cmpuint (route->attempts, ==, 1);
  g_assert_cmpuint (route->timeout_ms, ==, 0);
  g_assert_cmpfloat (route->stretch, ==, 1.0);
  desired_state_free (state);
}

static void
test_unknown_members_are_ignored (void)
{
  struct desired_state *state = parse (
      "{'version':1,'new':[1],'routes':[{'host':'a','prefix':'/',"
      "'service':'s','newer':{}}],'services':[{'name':'s','other':null}]}",
      NULL);

  g_assert_nonnull (state);
  desired_state_free (state);
}

static void
test_wrong_texts (void)
{
  expect_refusal ("", "line 1");
  expect_refusal ("{'version':1", "line 1");
  expect_refusal ("[]", "must be an object");
  expect_refusal ("{}", "'version' is missing");
  expect_refusal ("{'version':'7'}", "'version' must be");
  expect_refusal ("{'version':7.0}", "'version' must be");
  expect_refusal ("{'version':-1}", "'version' must be");
  expect_refusal ("{'version':1,'version':2}", "duplicate");
  expect_refusal ("{'version':1,'routes':{}}", "'routes'");
  expect_refusal ("{'version':1,'routes':[1]}", "routes[0]");
  expect_refusal ("{'version':1,'services':['s']}", "services[0]");
  expect_refusal ("{'version':1,'services':[{}]}", "'name' is missing");
}

static void
test_wrong_routes (void)
{
  static const char *const members[][2] = {
    { "'prefix':'/','service':'s'", "'host' is missing" },
    { "'host':'a','service':'s'", "'prefix' is missing" },
    { "'host':'a','prefix':'/'", "'service' is missing" },
    { "'host':1,'prefix':'/','service':'s'", "'host' must be" },
    { "'host':'a','prefix':'x','service':'s'", "slash" },
    { "'host':'','prefix':'/','service':'s'", "empty" },
    { "'host':'a','prefix':'/','service':'s','prio':-1", "'prio'" },
    { "'host':'a','prefix':'/','service':'s','prio':'0'", "'prio'" },
    { "'host':'a','prefix':'/','service':'s','attempts':1.5", "'attempts'" },
    { "'host':'a','prefix':'/','service':'s','goalMs':99999999999",
      "'goalMs'" },
    { "'host':'a','prefix':'/','service':'s','timeoutMs':null",
      "'timeoutMs'" },
    { "'host':'a','prefix':'/','service':'s','stretch':-0.1", "'stretch'" },
    { "'host':'a','prefix':'/','service':'s','stretch':'2'", "'stretch'" },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (members); i++)
    {
      g_autofree char *text
          = g_strdup_printf ("{'version':1,'routes':[{%s}]}", members[i][0]);

      expect_refusal (text, members[i][1]);
    }
}

static void
test_all_problems_are_told (void)
{
  expect_refusal ("{'routes':[{'host':'a','prefix':'/','service':'s',"
                  "'prio':-1}]}",
                  "'version'");
  expect_refusal ("{'routes':[{'host':'a','prefix':'/','service':'s',"
                  "'prio':-1}]}",
                  "'prio'");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/desired-state/routes", test_routes_are_read);
  g_test_add_func ("/desired-state/omitted", test_omitted_figures);
  g_test_add_func ("/desired-state/unknown-members",
                   test_unknown_members_are_ignored);
  g_test_add_func ("/desired-state/wrong-texts", test_wrong_texts);
  g_test_add_func ("/desired-state/wrong-routes", test_wrong_routes);
  g_test_add_func ("/desired-state/all-problems", test_all_problems_are_told);
  return g_test_run ();
}
