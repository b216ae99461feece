/* Jobs as callers of the platform write them: read, refused as malformed, or
   refused as not served.  */
#include "base/clock.h"
#include "base/error.h"
#include "platform/job_body.h"

#include <math.h>
#include <string.h>

#define ID "5c0e7a21d94b36f8"
#define STEP "{'count':4,'cpu':500,'memMb':256,'estMs':900}"
#define MAX_SPEC_BYTES 4000
#define MAX_VALUES 16384

static const struct route route = {
  .service = (char *)"thumbnails",
  .priority = 2,
  .attempts = 3,
  .stretch = 1.5,
  .goal_ms = 400,
};

/* Parses TEXT, in which single quotes stand for double ones.  */
static struct fleet_submission *
try_parse (const char *text, GError **error)
{
  char *json = g_strdelimit (g_strdup (text), "'", '"');
  g_autoptr (GBytes) body = g_bytes_new_take (json, strlen (json));

  return job_body_parse (body, ID, &route, error);
}

static struct fleet_submission *
parse (const char *text)
{
  g_autoptr (GError) error = NULL;
  struct fleet_submission *s = try_parse (text, &error);

  g_assert_no_error (error);
  return s;
}

static void
assert_refused (const char *text, enum error_kind kind, const char *part)
{
  g_autoptr (GError) error = NULL;

  g_assert_null (try_parse (text, &error));
  g_assert_nonnull (error);
  if (error_get_kind (error) != kind || strstr (error->message, part) == NULL)
    g_error ("%s: '%s' is not in: %s", text, part, error->message);
}

/* A job of one step with MEMBERS more in the job and in the step.  */
static char *
make_job (const char *job_members, const char *step_members)
{
  return g_strdup_printf ("{'spec':'s','bestEffort':true%s,"
                          "'steps':[{'count':2%s}]}",
                          job_members, step_members);
}

static void
assert_job_refused (const char *job_members, const char *step_members,
                    enum error_kind kind, const char *part)
{
  g_autofree char *text = make_job (job_members, step_members);

  assert_refused (text, kind, part);
}

/* A legal body of very many short members must not hold the loop.  */
static void
test_many_values (void)
{
  g_autoptr (GString) members = g_string_new (",'x':[0");
  g_autofree char *text = NULL;

  for (guint i = 0; i < MAX_VALUES; i++)
    g_string_append (members, ",0");
  g_string_append_c (members, ']');
  text = make_job (members->str, "");
  assert_refused (text, ERROR_TOO_LARGE, "values");
}

/* Peers cannot exchange longer labels: a job that requires one never runs, and
   one that prefers such a rack runs anywhere.  */
static void
test_long_labels (void)
{
  g_autofree char *label = g_strnfill (PEER_NAME_MAX + 1, 'x');
  g_autofree char *affinity = g_strdup_printf (",'affinity':'%s'", label);
  g_autofree char *required = g_strdup_printf (",'requires':'%s'", label);
  g_autofree char *text = make_job ("", affinity);
  struct fleet_submission *s = parse (text);

  g_assert_cmpstr (s->affinity, ==, NULL);
  fleet_submission_free (s);
  assert_job_refused ("", required, ERROR_NEVER_RUNS, "at most");
}

static void
test_whole_job (void)
{
  struct fleet_submission *s
      = parse ("{'spec':'(text)','bestEffort':true,'steps':[{'count':4,"
               "'cpu':500,'memMb':256,'gpu':1,'estMs':900,"
               "'affinity':'r1-3','antiAffinity':2,'requires':'kind-a'}]}");

  g_assert_cmpstr (s->job, ==, ID);
  g_assert_cmpstr (s->spec, ==, "(text)");
  g_assert_cmpstr (s->service, ==, "thumbnails");
  g_assert_cmpstr (s->affinity, ==, "r1-3");
  g_assert_cmpstr (s->required_label, ==, "kind-a");
  g_assert_cmpuint (s->n_tasks, ==, 4);
  g_assert_cmpuint (s->per_upstream, ==, 2);
  g_assert_true (fabs (s->need.cpus - 0.5) < 1e-9);
  g_assert_cmpuint (s->need.memory_mb, ==, 256);
  g_assert_cmpuint (s->need.accelerators, ==, 1);
  g_assert_cmpint (s->estimate_us, ==, 900 * USEC_PER_MSEC);
  g_assert_cmpuint (s->priority, ==, 2);
  g_assert_cmpuint (s->attempts, ==, 3);
  g_assert_cmpint (s->objective_us, ==, (1350 + 400) * USEC_PER_MSEC);
  fleet_submission_free (s);
}

/* Members that are 0, false or empty are left out.  */
static void
test_least_job (void)
{
  struct fleet_submission *s
      = parse ("{'spec':'','bestEffort':true,'steps':[{}]}");

  g_assert_cmpuint (s->n_tasks, ==, 1);
  g_assert_cmpuint (s->per_upstream, ==, 0);
  g_assert_true (fabs (s->need.cpus) < 1e-9);
  g_assert_cmpint (s->estimate_us, >, 0);
  g_assert_null (s->affinity);
  g_assert_null (s->required_label);
  fleet_submission_free (s);
}

static void
test_spec_size (void)
{
  g_autofree char *most = g_strnfill (MAX_SPEC_BYTES, 'x');
  g_autofree char *fits = g_strdup_printf (
      "{'spec':'%s','bestEffort':true,'steps':[" STEP "]}", most);
  g_autofree char *over = g_strdup_printf (
      "{'spec':'%sx','bestEffort':true,'steps':[" STEP "]}", most);

  fleet_submission_free (parse (fits));
  assert_refused (over, ERROR_INVALID, "spec: must have at most 4000 bytes");
  /* Bytes count, not characters.  */
  strstr (over, "xxx")[0] = '\xc3';
  strstr (over, "xxx")[0] = '\xa9';
  assert_refused (over, ERROR_INVALID, "at most 4000 bytes");
}

static void
test_malformed (void)
{
  static const char *const texts[]
      = { "",
          "{",
          "{'spec':'s','bestEffort':true,'steps':[" STEP "]",
          "{'spec':'s','bestEffort':true,'steps':[" STEP "]}}",
          "{'spec':'s','spec':'t','bestEffort':true,'steps':[" STEP "]}",
          "{'spec':'\xff','bestEffort':true,'steps':[" STEP "]}",
          "{'spec':'a\\u0000b','bestEffort':true,'steps':[" STEP "]}" };

  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    assert_refused (texts[i], ERROR_INVALID, "send one valid JSON text");
  assert_refused ("[]", ERROR_INVALID, "must be a JSON object");
  assert_refused ("7", ERROR_INVALID, "must be a JSON object");
}

static void
test_wrong_types (void)
{
  assert_refused ("{'bestEffort':true,'steps':[" STEP "]}", ERROR_INVALID,
                  "'spec' is missing");
  assert_refused ("{'spec':7,'bestEffort':true,'steps':[" STEP "]}",
                  ERROR_INVALID, "'spec' must be a string");
  assert_refused ("{'spec':'s','bestEffort':true}", ERROR_INVALID,
                  "'steps' is missing");
  assert_refused ("{'spec':'s','bestEffort':true,'steps':{}}", ERROR_INVALID,
                  "'steps' must be an array");
  assert_refused ("{'spec':'s','bestEffort':true,'steps':[]}", ERROR_INVALID,
                  "at least one step");
  assert_refused ("{'spec':'s','bestEffort':true,'steps':[4]}", ERROR_INVALID,
                  "steps[0]: must be an object");
  assert_job_refused ("", ",'cpu':'500'", ERROR_INVALID, "'cpu' must be");
  assert_job_refused ("", ",'memMb':-1", ERROR_INVALID, "'memMb' must be");
  assert_job_refused ("", ",'gpu':1.5", ERROR_INVALID, "'gpu' must be");
  assert_job_refused ("", ",'estMs':true", ERROR_INVALID, "'estMs' must be");
  assert_job_refused ("", ",'affinity':3", ERROR_INVALID, "'affinity' must");
  assert_job_refused ("", ",'requires':[]", ERROR_INVALID, "'requires' must");
  assert_refused ("{'spec':'s','bestEffort':true,'steps':[{'count':0}]}",
                  ERROR_INVALID, "'count' must be a whole number from 1");
  assert_refused ("{'spec':'s','bestEffort':true,'steps':[{'count':131}]}",
                  ERROR_INVALID, "'count' must be a whole number from 1");
}

/* Said to be never run, in words from which the caller learns why.  */
static void
test_not_served (void)
{
  assert_refused ("{'spec':'s','steps':[" STEP "]}", ERROR_NEVER_RUNS,
                  "jobs without 'bestEffort' are not supported");
  assert_refused ("{'spec':'s','bestEffort':false,'steps':[" STEP "]}",
                  ERROR_NEVER_RUNS, "nothing was run");
  assert_refused ("{'spec':'s','bestEffort':true,'steps':[" STEP "," STEP "]}",
                  ERROR_NEVER_RUNS, "several steps are not supported");
  assert_job_refused (",'times':3,'firstMs':1,'intervalMs':1000", "",
                      ERROR_NEVER_RUNS, "'times'");
  assert_job_refused (",'longRunning':true", "", ERROR_NEVER_RUNS,
                      "'longRunning'");
  assert_job_refused ("", ",'longRunning':true", ERROR_NEVER_RUNS,
                      "'longRunning'");
  assert_job_refused ("", ",'gang':true", ERROR_NEVER_RUNS, "'gang'");
  assert_job_refused ("", ",'fills':true", ERROR_NEVER_RUNS, "'fills'");
}

/* The example of the platform's pages: two steps, to be kept.  */
static void
test_example (void)
{
  assert_refused (
      "{'spec':'(text)','steps':[{'count':4,'cpu':500,'memMb':256,"
      "'estMs':900,'affinity':'r1-3'},{'count':20,'cpu':2000,'memMb':1024,"
      "'estMs':7000,'dependsOn':[0],'checkpointing':true}]}",
      ERROR_NEVER_RUNS, "nothing was run");
}

/* Kinds that are switched off, and members that nobody has named yet.  */
static void
test_ignored (void)
{
  g_autofree char *text
      = make_job (",'times':0,'longRunning':false,'colour':{'x':[1]}",
                  ",'gang':false,'speculative':true,'image':'i','shade':null");
  struct fleet_submission *s = parse (text);

  g_assert_cmpuint (s->n_tasks, ==, 2);
  fleet_submission_free (s);
}

/* A kind that is told in another type is not taken for switched off.  */
static void
test_kind_of_wrong_type (void)
{
  assert_job_refused ("", ",'gang':'yes'", ERROR_INVALID, "'gang' must be");
  assert_job_refused (",'longRunning':{}", "", ERROR_INVALID,
                      "'longRunning' must be");
  assert_job_refused (",'times':'3'", "", ERROR_INVALID, "'times' must be");
  assert_job_refused (",'times':-1", "", ERROR_INVALID, "'times' must be");
  assert_refused ("{'spec':'s','bestEffort':'true','steps':[" STEP "]}",
                  ERROR_INVALID, "'bestEffort' must be");
}

static void
test_ids (void)
{
  g_assert_true (job_body_is_id (ID));
  g_assert_true (job_body_is_id ("0123456789ABCDEF"));
  g_assert_false (job_body_is_id (""));
  g_assert_false (job_body_is_id ("5c0e7a21d94b36f"));
  g_assert_false (job_body_is_id (ID "0"));
  g_assert_false (job_body_is_id ("5c0e7a21d94b36fg"));
  g_assert_false (job_body_is_id ("5c0e7a21/94b36f8"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/job-body/whole-job", test_whole_job);
  g_test_add_func ("/job-body/long-labels", test_long_labels);
  g_test_add_func ("/job-body/many-values", test_many_values);
  g_test_add_func ("/job-body/least-job", test_least_job);
  g_test_add_func ("/job-body/spec-size", test_spec_size);
  g_test_add_func ("/job-body/malformed", test_malformed);
  g_test_add_func ("/job-body/wrong-types", test_wrong_types);
  g_test_add_func ("/job-body/not-served", test_not_served);
  g_test_add_func ("/job-body/example", test_example);
  g_test_add_func ("/job-body/ignored", test_ignored);
  g_test_add_func ("/job-body/kind-of-wrong-type", test_kind_of_wrong_type);
  g_test_add_func ("/job-body/ids", test_ids);
  return g_test_run ();
}
