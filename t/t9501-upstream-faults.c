/*
 * Faults between an entry VM and its upstreams, and of the upstreams.
 *
 * In each, the checker holds that no task of a submission starts twice, that
 * every answer is complete or marked failed and belongs to its own request,
 * and that a refusal as not run is true.  Upstreams do not check fencing
 * tokens, so a second start would show.
 */
#include "t/support/fault_bed.h"

#define SLOTS 8
#define MANY_JOBS 24
#define TASKS_PER_JOB 6

struct load_case
{
  const char *name;
  const char *proxy_faults; /* on the leg to all upstreams, or NULL */
  const char *task_faults;  /* of upstream 0, or NULL */
  gboolean must_complete;   /* whether the other upstreams make up for it */
};

static const struct load_case load_cases[] = {
  { "refuses-everything", NULL, "{\"refuse_percent\":100}", TRUE },
  { "refuses-connections", "{\"route\":0,\"closed\":true}", NULL, TRUE },
  { "resets-connections", "{\"route\":0,\"refuse\":true}", NULL, FALSE },
  { "slow", NULL, "{\"slow_factor\":20}", TRUE },
  { "fails-everything", NULL, "{\"fail_percent\":100}", FALSE },
  { "fails-some", NULL, "{\"fail_percent\":10}", FALSE },
  { "closes-unread", NULL, "{\"close_before_read_percent\":20}", FALSE },
  { "closes-unanswered", NULL, "{\"close_after_read_percent\":20}", FALSE },
  { "answers-junk", NULL, "{\"answer_junk_percent\":20}", FALSE },
  { "omits-outcome", NULL, "{\"omit_outcome_percent\":20}", FALSE },
  { "cut-in-request",
    "{\"up\":{\"cut_after_bytes\":500},\"connections_percent\":20}", NULL,
    FALSE },
  { "cut-in-answer",
    "{\"down\":{\"cut_after_bytes\":300},\"connections_percent\":20}", NULL,
    FALSE },
  { "closed-in-answer",
    "{\"down\":{\"close_after_bytes\":300},\"connections_percent\":20}", NULL,
    FALSE },
  { "slow-drip", "{\"down\":{\"bytes_per_second\":4000}}", NULL, TRUE },
  { "delayed", "{\"up\":{\"delay_ms\":20},\"down\":{\"delay_ms\":20}}", NULL,
    TRUE },
};

/* Runs many jobs at once and returns how many were complete.  */
static guint
run_many (struct fault_bed *bed)
{
  struct fault_call *calls[MANY_JOBS];
  guint n_complete = 0;

  for (guint i = 0; i < MANY_JOBS; i++)
    calls[i] = fault_bed_begin (bed, 0, TASKS_PER_JOB, 1 + i % 5);
  for (guint i = 0; i < MANY_JOBS; i++)
    {
      if (fault_call_wait (bed, calls[i]) == 200)
        n_complete++;
      else
        g_test_message ("job %u: %s", i, fault_call_error (calls[i]));
      fault_call_free (calls[i]);
    }
  return n_complete;
}

static void
test_load (gconstpointer data)
{
  const struct load_case *load_case = data;
  struct fault_bed *bed = fault_bed_start (1, 3);
  guint n_complete;

  if (load_case->proxy_faults != NULL)
    fault_bed_set_upstream_faults (bed, load_case->proxy_faults);
  if (load_case->task_faults != NULL)
    fault_bed_set_task_faults (bed, 0, load_case->task_faults);
  n_complete = run_many (bed);
  g_test_message ("%u of %d jobs complete", n_complete, MANY_JOBS);
  if (load_case->must_complete)
    g_assert_cmpuint (n_complete, ==, MANY_JOBS);
  fault_bed_stop (bed);
}

/* A process that dies in the middle of its tasks: they may have run.  */
static void
test_killed (void)
{
  struct fault_bed *bed = fault_bed_start (1, 2);
  struct fault_call *call = fault_bed_begin (bed, 0, 2 * SLOTS, 6000);

  fault_bed_wait_busy (bed, 0);
  fault_bed_wait_busy (bed, 1);
  fault_bed_kill_upstream (bed, 0);
  g_assert_cmpuint (fault_call_wait (bed, call), ==, 502);
  g_assert_cmpstr (fault_call_kind (call), ==, "unknown");
  fault_call_free (call);
  fault_bed_wait_idle (bed, 1);
  g_assert_cmpuint (fault_bed_run (bed, 0, 3 * SLOTS, 1), ==, 200);
  fault_bed_stop (bed);
}

/*
 * Connections lose track of both ends while tasks run: the outcome is not
 * known, and new connections serve the next job.
 */
static void
test_existing_connections_silent (void)
{
  struct fault_bed *bed = fault_bed_start (1, 2);
  struct fault_call *call = fault_bed_begin (bed, 0, 2 * SLOTS, 500);

  fault_bed_wait_busy (bed, 0);
  fault_bed_wait_busy (bed, 1);
  fault_bed_set_upstream_faults (bed, "{\"silence_existing\":true}");
  g_assert_cmpuint (fault_call_wait (bed, call), ==, 502);
  g_assert_cmpstr (fault_call_kind (call), ==, "unknown");
  fault_call_free (call);
  g_assert_cmpuint (fault_bed_run (bed, 0, 2 * SLOTS, 1), ==, 200);
  fault_bed_stop (bed);
}

/*
 * A connection goes silent one way for good after some bytes; what is sent
 * on it is unknown, and the entry VM gets back to full service.
 */
static void
run_one_way_silence (const char *faults)
{
  struct fault_bed *bed = fault_bed_start (1, 2);

  g_assert_cmpuint (fault_bed_run (bed, 0, 4, 1), ==, 200);
  fault_bed_set_upstream_faults (bed, faults);
  g_assert_cmpuint (fault_bed_run (bed, 0, SLOTS, 1), ==, 502);
  fault_bed_set_upstream_faults (bed, "{}");
  while (fault_bed_run (bed, 0, SLOTS, 1) != 200)
    ;
  fault_bed_stop (bed);
}

static void
test_requests_silent (void)
{
  run_one_way_silence ("{\"up\":{\"silent_after_bytes\":100}}");
}

static void
test_answers_silent (void)
{
  run_one_way_silence ("{\"down\":{\"silent_after_bytes\":100}}");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  for (gsize i = 0; i < G_N_ELEMENTS (load_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/upstream-faults/%s", load_cases[i].name);

      g_test_add_data_func (path, &load_cases[i], test_load);
    }
  g_test_add_func ("/upstream-faults/killed", test_killed);
  g_test_add_func ("/upstream-faults/existing-silent",
                   test_existing_connections_silent);
  g_test_add_func ("/upstream-faults/requests-silent", test_requests_silent);
  g_test_add_func ("/upstream-faults/answers-silent", test_answers_silent);
  return g_test_run ();
}
