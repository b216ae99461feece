/*
 * The checker accepts a run without faults and names every made-up violation.
 */
#include "t/support/checker.h"

#include <string.h>

#define WHOLE                                                                 \
  "{\"job\":\"j\",\"status\":\"complete\",\"outputs\":["                      \
  "{\"task\":\"j/0\",\"echo\":10},{\"task\":\"j/1\",\"echo\":11}]}"
#define FAILED                                                                \
  "{\"job\":\"j\",\"status\":\"failed\",\"error\":{\"kind\":\"unknown\"}}"
#define NOT_RUN                                                               \
  "{\"job\":\"j\",\"status\":\"refused\",\"error\":{\"kind\":\"not-run\"}}"
#define BOTH_STARTED                                                          \
  "{\"starts\":[{\"task\":\"j/0\",\"count\":1},"                              \
  "{\"task\":\"j/1\",\"count\":1}]}"

struct scenario
{
  const char *name;
  const char *starts_a;
  const char *starts_b;
  guint status;
  const char *body;
  guint second_status; /* of another answer to the same job, 0 for none */
  const char *second_body;
  const char *violation; /* part of the one line expected, NULL for none */
};

static const struct scenario scenarios[] = {
  { "whole", BOTH_STARTED, NULL, 200, WHOLE, 200, WHOLE, NULL },
  { "failed", BOTH_STARTED, NULL, 502, FAILED, 0, NULL, NULL },
  { "no-answer", BOTH_STARTED, NULL, 0, NULL, 0, NULL, NULL },
  { "not-run", NULL, NULL, 503, NOT_RUN, 0, NULL, NULL },
  { "twice-at-one",
    "{\"starts\":[{\"task\":\"j/0\",\"count\":2},"
    "{\"task\":\"j/1\",\"count\":1}]}",
    NULL, 200, WHOLE, 0, NULL, "j/0: started 2 times by a" },
  { "twice-at-two", BOTH_STARTED,
    "{\"starts\":[{\"task\":\"j/1\",\"count\":1}]}", 200, WHOLE, 0, NULL,
    "j/1: started by a and by b" },
  { "stray-start", "{\"starts\":[{\"task\":\"k/0\",\"count\":1}]}", NULL, 0,
    NULL, 0, NULL, "k/0: started for a job never submitted" },
  { "partial", BOTH_STARTED, NULL, 200,
    "{\"job\":\"j\",\"status\":\"complete\","
    "\"outputs\":[{\"task\":\"j/0\",\"echo\":10}]}",
    0, NULL, "1 of 2 outputs" },
  { "cut", BOTH_STARTED, NULL, 200, "{\"job\":\"j\",\"outputs\":[", 0, NULL,
    "not whole" },
  { "partial-failure", BOTH_STARTED, NULL, 502,
    "{\"job\":\"j\",\"outputs\":[1],\"error\":{\"kind\":\"failed\"}}", 0, NULL,
    "failed, but with outputs" },
  { "no-kind", BOTH_STARTED, NULL, 502, "{\"job\":\"j\"}", 0, NULL,
    "without a kind" },
  { "other-job", BOTH_STARTED, NULL, 502,
    "{\"job\":\"k\",\"error\":{\"kind\":\"unknown\"}}", 0, NULL,
    "got the answer of job k" },
  { "wrong-value", BOTH_STARTED, NULL, 200,
    "{\"job\":\"j\",\"outputs\":[{\"task\":\"j/0\",\"echo\":10},"
    "{\"task\":\"j/1\",\"echo\":12}]}",
    0, NULL, "output 1 is not that of its input" },
  { "wrong-order", BOTH_STARTED, NULL, 200,
    "{\"job\":\"j\",\"outputs\":[{\"task\":\"j/0\",\"echo\":10},"
    "{\"task\":\"j/0\",\"echo\":11}]}",
    0, NULL, "output 1 comes from task j/0" },
  { "no-start", "{\"starts\":[{\"task\":\"j/0\",\"count\":1}]}", NULL, 200,
    WHOLE, 0, NULL, "j/1: has an output but no start" },
  { "false-not-run", "{\"starts\":[{\"task\":\"j/0\",\"count\":1}]}", NULL,
    503, NOT_RUN, 0, NULL, "not-run, but 1 tasks were started" },
  { "knowledge-lost", BOTH_STARTED, NULL, 200, WHOLE, 502, FAILED, NULL },
  { "later-complete", BOTH_STARTED, NULL, 502, FAILED, 200, WHOLE,
    "two different answers" },
  { "other-failure", BOTH_STARTED, NULL, 502, FAILED, 502,
    "{\"job\":\"j\",\"error\":{\"kind\":\"failed\"}}",
    "two different answers" },
  { "other-text", BOTH_STARTED, NULL, 200, WHOLE, 200, WHOLE " ",
    "two different answers" },
  { "answered-later", BOTH_STARTED, NULL, 503,
    "{\"job\":\"j\",\"error\":{\"kind\":\"unavailable\"}}", 200, WHOLE, NULL },
};

static void
add_starts (struct checker *checker, const char *upstream, const char *text)
{
  json_t *body;

  if (text == NULL)
    return;
  body = json_loads (text, 0, NULL);
  g_assert_nonnull (body);
  checker_add_starts (checker, upstream, body);
  json_decref (body);
}

static void
assert_one_line (const char *violations, const char *part)
{
  if (part == NULL)
    {
      g_assert_null (violations);
      return;
    }
  g_assert_nonnull (violations);
  g_assert_nonnull (strstr (violations, part));
  g_assert_true (strchr (violations, '\n')
                 == violations + strlen (violations) - 1);
}

static void
test_scenario (gconstpointer data)
{
  const struct scenario *scenario = data;
  struct checker *checker = checker_new ();
  g_autofree char *violations = NULL;

  checker_add_job (checker, "j", 2, 10);
  add_starts (checker, "a", scenario->starts_a);
  add_starts (checker, "b", scenario->starts_b);
  checker_add_answer (checker, "j", scenario->status, scenario->body);
  if (scenario->second_status != 0)
    checker_add_answer (checker, "j", scenario->second_status,
                        scenario->second_body);
  violations = checker_find_violations (checker);
  assert_one_line (violations, scenario->violation);
  checker_free (checker);
}

/* Changes at offsets 0 and 2 are accepted; the one at 1 has an old base.  */
static struct checker *
checker_with_changes (void)
{
  struct checker *checker = checker_new ();
  json_t *dump = json_loads (
      "{\"records\":[{\"offset\":0,\"data\":{\"team\":\"t\",\"base\":0}},"
      "{\"offset\":1,\"data\":{\"team\":\"t\",\"base\":0}},"
      "{\"offset\":2,\"data\":{\"team\":\"t\",\"base\":1}}]}",
      0, NULL);

  checker_add_changes (checker, dump);
  json_decref (dump);
  return checker;
}

static void
test_versions (void)
{
  struct checker *checker = checker_with_changes ();

  checker_add_in_force (checker, "entry-1", "t", 1);
  checker_add_in_force (checker, "entry-1", "t", 3);
  checker_add_in_force (checker, "entry-2", "t", 1);
  g_assert_null (checker_find_violations (checker));
  checker_free (checker);
}

static void
test_reverted (void)
{
  struct checker *checker = checker_with_changes ();
  g_autofree char *violations = NULL;

  checker_add_in_force (checker, "entry-1", "t", 3);
  checker_add_in_force (checker, "entry-1", "t", 1);
  violations = checker_find_violations (checker);
  assert_one_line (violations, "version 1 after 3");
  checker_free (checker);
}

static void
test_void_change (void)
{
  struct checker *checker = checker_with_changes ();
  g_autofree char *violations = NULL;

  checker_add_in_force (checker, "entry-1", "t", 2);
  violations = checker_find_violations (checker);
  assert_one_line (violations, "version 2 was never accepted");
  checker_free (checker);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/checker/%s", scenarios[i].name);

      g_test_add_data_func (path, &scenarios[i], test_scenario);
    }
  g_test_add_func ("/checker/versions", test_versions);
  g_test_add_func ("/checker/reverted", test_reverted);
  g_test_add_func ("/checker/void-change", test_void_change);
  return g_test_run ();
}
