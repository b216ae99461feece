/* What owners and homes of jobs tell in the log.  */
#include "base/event_log.h"
#include "transport/fleet_home_log.h"
#include "transport/fleet_owner_log.h"

#include <glib/gstdio.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

static int log_fd;
static char *log_path;

static void
begin_log (void)
{
  log_fd = g_file_open_tmp (NULL, &log_path, NULL);
  g_assert_cmpint (log_fd, >=, 0);
  event_log_set_output (log_fd, "vm-a");
}

/* The lines since begin_log (), an array of what they hold.  */
static json_t *
end_log (void)
{
  json_t *lines = json_array ();
  g_autofree char *text = NULL;
  g_auto (GStrv) parts = NULL;

  g_assert_true (event_log_flush ());
  event_log_set_output (-1, NULL);
  close (log_fd);
  g_assert_true (g_file_get_contents (log_path, &text, NULL, NULL));
  g_unlink (log_path);
  g_clear_pointer (&log_path, g_free);
  parts = g_strsplit (text, "\n", -1);
  for (guint i = 0; parts[i] != NULL; i++)
    if (*parts[i] != '\0')
      json_array_append_new (lines, json_loads (parts[i], 0, NULL));
  return lines;
}

static void
assert_text (const json_t *lines, guint i, const char *key, const char *text)
{
  const json_t *line = json_array_get (lines, i);

  g_assert_cmpstr (json_string_value (json_object_get (line, key)), ==, text);
}

static gint64
get_int (const json_t *lines, guint i, const char *key)
{
  const json_t *value = json_object_get (json_array_get (lines, i), key);

  return json_is_integer (value) ? json_integer_value (value) : -1;
}

/* A batch with runs on two upstreams, all of one task.  */
struct runs
{
  struct batch *batch;
  struct owned_upstream upstreams[2];
  struct run run;
  struct batch_tally tally;
};

static void
begin_runs (struct runs *runs, guint n_tasks)
{
  memset (runs, 0, sizeof *runs);
  runs->batch = batch_new ("j1", "vm-b#17", n_tasks);
  runs->upstreams[0].id = "u7";
  runs->upstreams[1].id = "u8";
  runs->run.task = runs->batch->tasks;
  runs->run.number = 1;
}

static void
end_run (struct runs *runs, guint upstream, enum run_end end, gint64 ms)
{
  runs->run.upstream = &runs->upstreams[upstream];
  fleet_owner_log_run_ended (&runs->run, end, ms * USEC_PER_MSEC,
                             &runs->tally);
}

static void
free_runs (struct runs *runs)
{
  batch_tally_clear (&runs->tally);
  batch_free (runs->batch);
}

/* Runs that go as expected are in the line of their batch only.  */
static void
test_batch_done (void)
{
  struct runs runs;
  json_t *lines;

  begin_runs (&runs, 3);
  begin_log ();
  fleet_owner_log_batch_accepted (runs.batch);
  end_run (&runs, 0, RUN_DONE, 90);
  end_run (&runs, 0, RUN_DONE, 100);
  end_run (&runs, 1, RUN_DONE, 80);
  runs.batch->n_done = 3;
  runs.batch->first_started_us = 500;
  fleet_owner_log_batch_ended (runs.batch, &runs.tally, TRUE);
  fleet_owner_log_batch_ended (runs.batch, &runs.tally, FALSE);
  lines = end_log ();
  g_assert_cmpuint (json_array_size (lines), ==, 2);
  assert_text (lines, 0, "name", "batch-ended");
  assert_text (lines, 0, "runs", "u7:2:100 u8:1:80");
  assert_text (lines, 0, "home", "vm-b");
  assert_text (lines, 1, "home", NULL);
  g_assert_cmpint (get_int (lines, 0, "waited_us"), ==, 500);
  json_decref (lines);
  free_runs (&runs);
}

/* A run that fails, and those that a batch takes with it when it ends.  */
static void
test_batch_stopped (void)
{
  struct runs runs;
  json_t *lines;

  begin_runs (&runs, 3);
  begin_log ();
  end_run (&runs, 0, RUN_FAILED, 10);
  runs.run.state = RUN_STARTING;
  end_run (&runs, 0, RUN_STOPPED, 2);
  runs.batch->is_ending = TRUE;
  runs.batch->end = BATCH_STOPPED;
  runs.batch->reason = "its home has stopped it";
  end_run (&runs, 1, RUN_STOPPED, 40);
  fleet_owner_log_batch_ended (runs.batch, &runs.tally, TRUE);
  lines = end_log ();
  g_assert_cmpuint (json_array_size (lines), ==, 4);
  assert_text (lines, 0, "name", "task-retried");
  assert_text (lines, 0, "reason", "failed");
  assert_text (lines, 1, "reason", "refused");
  assert_text (lines, 2, "name", "run-cut-short");
  assert_text (lines, 2, "upstream", "u8");
  assert_text (lines, 3, "cut_short", "u8:1:40");
  assert_text (lines, 3, "reason", "its home has stopped it");
  assert_text (lines, 3, "runs", NULL);
  json_decref (lines);
  free_runs (&runs);
}

/* An unanswered start order is logged with its job.  A restart of an upstream
   is logged only when it had runs or was on probation.  */
static void
test_doubts (void)
{
  struct runs runs;
  json_t *lines;

  begin_runs (&runs, 1);
  begin_log ();
  runs.run.upstream = &runs.upstreams[0];
  fleet_owner_log_run_unanswered (&runs.run);
  fleet_owner_log_upstream_health (&runs.upstreams[0], HEALTH_EVENT_RESTARTED);
  runs.upstreams[0].n_runs = 1;
  fleet_owner_log_upstream_health (&runs.upstreams[0], HEALTH_EVENT_RESTARTED);
  runs.upstreams[1].is_on_probation = TRUE;
  fleet_owner_log_upstream_health (&runs.upstreams[1], HEALTH_EVENT_RESTARTED);
  lines = end_log ();
  g_assert_cmpuint (json_array_size (lines), ==, 3);
  assert_text (lines, 0, "name", "start-unanswered");
  assert_text (lines, 0, "job", "j1");
  assert_text (lines, 1, "upstream", "u7");
  assert_text (lines, 2, "upstream", "u8");
  assert_text (lines, 2, "reason", "reborn");
  json_decref (lines);
  free_runs (&runs);
}

/* A job whose trail fills up: what has no room gets lines of its own.  */
static void
test_job (void)
{
  struct vm_directory *directory = vm_directory_new (NULL, "vm-a");
  struct spread_owner owners[] = {
    { .name = "vm-a", .is_self = TRUE, .n_given = 1, .free_slots = 4 },
    { .name = "vm-b" },
    { .name = "vm-c", .n_given = 2, .room.n_queued = { 0, 5 } },
  };
  struct fleet_submission submission = {
    .job = "j1",
    .service = "s1",
    .n_tasks = 3,
    .need = { .cpus = 1.5, .memory_mb = 512 },
    .estimate_us = 1000,
    .objective_us = 2000,
  };
  struct fleet_job job
      = { .submission = &submission, .trail = g_string_new (NULL) };
  struct fleet_part part = { .job = &job, .owner = "vm-c", .number = 1 };
  const struct fleet_answer answer
      = { .outcome = FLEET_NOT_RUN, .reason = "no room in time" };
  json_t *lines;

  job.accepted_us = clock_now_us ();
  begin_log ();
  g_assert_cmpuint (fleet_home_log_job_accepted (&job, owners, 3, directory),
                    ==, 2);
  for (guint i = 0; i < 120; i++)
    fleet_home_log_tasks_returned (&part, 1, "vm-a");
  fleet_home_log_job_answered (&job, &answer, "not-run", 503, 7000);
  lines = end_log ();
  g_assert_cmpuint (json_array_size (lines), >, 2);
  assert_text (lines, 0, "name", "job-accepted");
  assert_text (lines, 0, "trail", "0+0:vm-a:1:4:0:0 0+1:vm-c:2:0:5:0");
  g_assert_cmpint (get_int (lines, 0, "memory_mb"), ==, 512);
  assert_text (lines, 1, "name", "tasks-returned");
  assert_text (lines, 1, "owner", "vm-c");
  assert_text (lines, (guint)json_array_size (lines) - 1, "reason",
               "no room in time");
  g_assert_true (g_str_has_prefix (
      json_string_value (json_object_get (
          json_array_get (lines, json_array_size (lines) - 1), "trail")),
      "0-1:vm-c:1 "));
  for (guint i = 0; i < json_array_size (lines); i++)
    g_assert_null (json_object_get (json_array_get (lines, i), "cut"));
  json_decref (lines);
  g_string_free (job.trail, TRUE);
  vm_directory_free (directory);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet-log/batch-done", test_batch_done);
  g_test_add_func ("/fleet-log/batch-stopped", test_batch_stopped);
  g_test_add_func ("/fleet-log/doubts", test_doubts);
  g_test_add_func ("/fleet-log/job", test_job);
  return g_test_run ();
}
