/* What a home refuses because of the queues, and how that is counted, without
   a network.  */
#include "base/hash64.h"
#include "transport/fleet_job.h"

#include <string.h>

#define N_CALLERS 50

struct bed
{
  struct fleet_settings settings;
  struct vm_directory *directory;
  struct fleet_admission *admission;
  GArray *owners;
  struct fleet_submission submission;
  struct fleet_job job;
  char id[32];
  char caller[32];
};

/* One owner with 100 slots of one CPU, 300 starts a second and N_QUEUED
   tasks in its queue.  */
static struct bed *
bed_new (gboolean shares, gboolean spreads, guint n_queued)
{
  struct bed *bed = g_new0 (struct bed, 1);
  struct spread_owner owner
      = { .name = "vm-a",
          .room = { .n_slots = 100, .n_queued = { 0, n_queued } } };

  owner.room.starts_per_s[1] = 300;
  free_slots_init (&owner.room.free_slots, 1);
  bed->settings.share_by_caller = shares;
  bed->settings.spread_retries = spreads;
  bed->directory = vm_directory_new (NULL, "vm-a");
  bed->admission = fleet_admission_new (&bed->settings, bed->directory, NULL);
  bed->owners = g_array_new (FALSE, FALSE, sizeof owner);
  g_array_append_val (bed->owners, owner);
  bed->submission = (struct fleet_submission){ .route = (char *)"r\"1",
                                               .n_tasks = 10,
                                               .need = { .cpus = 1 },
                                               .estimate_us = USEC_PER_SEC };
  bed->job.submission = &bed->submission;
  bed->job.n_assignments = 1;
  list_init (&bed->job.parts);
  return bed;
}

static void
bed_free (struct bed *bed)
{
  g_array_unref (bed->owners);
  fleet_admission_free (bed->admission);
  vm_directory_free (bed->directory);
  g_free (bed);
}

/* The job ID of caller NUMBER arrives.  */
static void
arrive (struct bed *bed, const char *id, guint number)
{
  g_strlcpy (bed->id, id, sizeof bed->id);
  g_snprintf (bed->caller, sizeof bed->caller, "10.0.0.%u", number);
  bed->submission.job = bed->id;
  bed->submission.caller = bed->caller;
  bed->job.accepted_us = clock_now_us ();
  fleet_admission_note_job (bed->admission, &bed->job);
}

/* Jobs of many callers arrive, and 200 of the last one.  */
static void
arrive_flood (struct bed *bed)
{
  for (guint i = 1; i <= N_CALLERS; i++)
    arrive (bed, "j", i);
  for (guint i = 0; i < 200; i++)
    arrive (bed, "j", N_CALLERS);
}

static struct fleet_refusal
judge (struct bed *bed, gint64 wait_ms)
{
  const struct spread_offer offer = { .n_tasks = 10, .wait_ms = wait_ms };

  struct fleet_refusal refusal = fleet_admission_judge (
      bed->admission, &bed->job, bed->owners, &offer, 500);

  fleet_admission_plan_retry (bed->admission, &bed->job, bed->owners,
                              &refusal);
  return refusal;
}

/* How many of a hundred jobs of caller NUMBER are over its share.  */
static guint
count_over_share (struct bed *bed, guint number)
{
  guint n = 0;

  for (guint i = 0; i < 100; i++)
    {
      g_autofree char *id = g_strdup_printf ("%u-%u", number, i);
      struct fleet_refusal refusal;

      arrive (bed, id, number);
      refusal = judge (bed, 100);
      if (refusal.reason == NULL)
        continue;
      g_assert_cmpint (refusal.cause, ==, REFUSAL_OVER_SHARE);
      g_assert_cmpfloat (refusal.standing.demand_milli, >,
                         refusal.standing.limit_milli);
      g_assert_cmpint (refusal.retry_after_ms, >, 1000);
      n++;
    }
  return n;
}

/* The excess of a flood is refused while there is a queue, and only then; a
   job of another caller never is.  */
static void
test_over_share (void)
{
  struct bed *bed = bed_new (TRUE, FALSE, 60);

  arrive_flood (bed);
  g_assert_cmpuint (count_over_share (bed, N_CALLERS), >, 50);
  arrive (bed, "j", 1);
  for (guint i = 0; i < 100; i++)
    g_assert_null (judge (bed, 100).reason);
  bed_free (bed);
  bed = bed_new (TRUE, FALSE, 5);
  arrive_flood (bed);
  g_assert_cmpuint (count_over_share (bed, N_CALLERS), ==, 0);
  bed_free (bed);
}

/* Without the settings a job is refused for its wait only, and its caller is
   told that.  */
static void
test_off (void)
{
  struct bed *bed = bed_new (FALSE, FALSE, 60);
  struct caller_list callers;
  struct fleet_refusal refusal;

  arrive_flood (bed);
  g_assert_cmpuint (count_over_share (bed, N_CALLERS), ==, 0);
  refusal = judge (bed, 501);
  g_assert_cmpint (refusal.cause, ==, REFUSAL_WAIT_TOO_LONG);
  g_assert_cmpint (refusal.retry_after_ms, ==, 501);
  g_assert_cmpint (judge (bed, -1).cause, ==, REFUSAL_NO_OWNER);
  g_assert_cmpint (fleet_admission_get_retry_ms (bed->admission, &bed->job,
                                                 bed->owners, 200),
                   ==, 200);
  fleet_admission_list_callers (bed->admission, &callers);
  g_assert_cmpuint (callers.n, ==, 0);
  bed_free (bed);
}

/* A retry of a job that was refused here is not more demand: otherwise a
   caller that retries would rank behind one that does not.  */
static void
test_retry (void)
{
  struct bed *bed = bed_new (TRUE, TRUE, 60);
  struct caller_list before;
  struct caller_list after;

  arrive (bed, "j1", 1);
  g_assert_cmpint (judge (bed, 600).retry_after_ms, >=, 600);
  fleet_admission_list_callers (bed->admission, &before);
  arrive (bed, "j1", 1);
  fleet_admission_list_callers (bed->admission, &after);
  g_assert_cmpuint (after.n, ==, 1);
  g_assert_cmpuint (after.callers[0].caller, ==, hash64_string ("10.0.0.1"));
  g_assert_cmpuint (after.callers[0].demand_milli, <=,
                    before.callers[0].demand_milli);
  bed_free (bed);
}

/* A job that is held because it was not admitted has not been refused:
   otherwise each round in which it finds no room would put off the return of
   the refused ones, and a second job of that ID would not count as demand.  */
static void
test_held (void)
{
  const struct spread_offer offer = { .n_tasks = 10, .wait_ms = 600 };
  struct bed *bed = bed_new (TRUE, TRUE, 60);
  struct caller_list before;
  struct caller_list after;

  arrive (bed, "j1", 1);
  for (guint i = 0; i < 100; i++)
    g_assert_cmpint (fleet_admission_judge (bed->admission, &bed->job,
                                            bed->owners, &offer, 500)
                         .cause,
                     ==, REFUSAL_WAIT_TOO_LONG);
  fleet_admission_list_callers (bed->admission, &before);
  arrive (bed, "j1", 1);
  fleet_admission_list_callers (bed->admission, &after);
  g_assert_cmpuint (after.callers[0].demand_milli, >,
                    before.callers[0].demand_milli);
  /* An eighth of 300 starts a second takes 267 ms for its ten tasks.  */
  g_assert_cmpint (judge (bed, 600).retry_after_ms, <=, 600 + 267);
  bed_free (bed);
}

/* Refusals by cause, late and waiting jobs, by route; the names of routes are
   escaped, and those beyond the bound count together.  */
static void
test_counts (void)
{
  struct bed *bed = bed_new (FALSE, FALSE, 60);
  const struct fleet_answer refused = { .outcome = FLEET_NOT_RUN };
  const struct fleet_answer done = { .outcome = FLEET_DONE };
  g_autoptr (GHashTable) jobs = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GString) text = g_string_new (NULL);
  const struct route_counts *counts;
  char name[16];
  json_t *state;

  arrive (bed, "j", 1);
  bed->job.refusal = judge (bed, 501);
  fleet_admission_note_answer (bed->admission, &bed->job, &refused, 0);
  bed->submission.objective_us = 1000;
  fleet_admission_note_answer (bed->admission, &bed->job, &done, 1000);
  fleet_admission_note_answer (bed->admission, &bed->job, &done, 1001);
  bed->job.wanted.n = 1;
  g_hash_table_insert (jobs, (char *)"j", &bed->job);
  counts = fleet_admission_count_routes (bed->admission, jobs);
  route_counts_format (counts, text);
  g_assert_nonnull (strstr (
      text->str, "\nradishchute_route_jobs_refused_total{route=\"r\\\"1\","
                 "cause=\"wait-too-long\"} 1\n"));
  g_assert_nonnull (strstr (
      text->str, "\nradishchute_route_jobs_late_total{route=\"r\\\"1\"} 1\n"));
  state = route_counts_describe (counts);
  g_assert_cmpint (json_integer_value (
                       json_object_get (json_array_get (state, 0), "waiting")),
                   ==, 1);
  json_decref (state);
  for (guint i = 1; i < ROUTE_COUNTS_MAX + 2; i++)
    {
      g_snprintf (name, sizeof name, "r%u", i);
      bed->submission.route = name;
      fleet_admission_note_answer (bed->admission, &bed->job, &refused, 0);
    }
  state = route_counts_describe (counts);
  g_assert_cmpuint (json_array_size (state), ==, ROUTE_COUNTS_MAX + 1);
  g_assert_cmpstr (json_string_value (json_object_get (
                       json_array_get (state, ROUTE_COUNTS_MAX), "route")),
                   ==, "other");
  g_assert_cmpint (
      json_integer_value (json_object_get (
          json_object_get (json_array_get (state, ROUTE_COUNTS_MAX),
                           "refused"),
          "wait-too-long")),
      ==, 2);
  for (guint i = 1; i < ROUTE_COUNTS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "r%u", i);
      g_assert_cmpstr (json_string_value (json_object_get (
                           json_array_get (state, i), "route")),
                       ==, name);
    }
  json_decref (state);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet-admission/over-share", test_over_share);
  g_test_add_func ("/fleet-admission/off", test_off);
  g_test_add_func ("/fleet-admission/retry", test_retry);
  g_test_add_func ("/fleet-admission/held", test_held);
  g_test_add_func ("/fleet-admission/counts", test_counts);
  return g_test_run ();
}
