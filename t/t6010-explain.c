/* What "radishchute explain" makes of recorded log lines.  */
#include "base/clock.h"
#include "base/event_log.h"
#include "commands/command.h"
#include "t/support/run.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

/* When the jobs of these tests begin, and the wall clock when VMs began.  */
#define START_MS 1000000
#define VM_BEGAN_MS G_GINT64_CONSTANT (1764800000000)
#define HOUR_MS 3600000

/* The home, an owner, and how far the owner's wall clock is ahead.  */
static const char *const home = "vm-a";
static const char *const owner = "vm-b";
static gint64 owner_ahead_ms;

static const struct event_info *
find_info (enum event number)
{
  const struct event_info *info = event_catalogue ();

  while (info->number != (guint)number)
    info++;
  return info;
}

/* Adds a line of VM, whose clock told WALL_MS and BOOT_MS.  */
static void
add_line_at (GString *log, const char *vm, gint64 wall_ms, gint64 boot_ms,
             enum event number, const char *fields)
{
  const struct event_info *info = find_info (number);

  g_string_append_printf (
      log,
      "{\"time_us\":%" G_GINT64_FORMAT ",\"boot_us\":%" G_GINT64_FORMAT
      ",\"vm\":\"%s\",\"level\":\"%s\",\"event\":%u,\"name\":\"%s\"%s%s}\n",
      wall_ms * USEC_PER_MSEC, boot_ms * USEC_PER_MSEC, vm,
      log_level_name (info->level), info->number, info->name,
      *fields != '\0' ? "," : "", fields);
}

/* Adds a line logged MS after the start of the job.  */
static void
add_line (GString *log, const char *vm, gint64 ms, enum event number,
          const char *fields)
{
  gint64 ahead_ms = vm == owner ? owner_ahead_ms : 0;

  add_line_at (log, vm, VM_BEGAN_MS + START_MS + ms + ahead_ms, START_MS + ms,
               number, fields);
}

static void
add_start (GString *log)
{
  add_line (log, home, 0, EVENT_JOB_ACCEPTED, "\"job\":\"j1\",\"tasks\":2");
  add_line (log, home, 1, EVENT_BATCH_SENT,
            "\"job\":\"j1\",\"batch\":7,\"owner\":\"vm-b\",\"tasks\":2");
  add_line (log, owner, 2, EVENT_BATCH_TAKEN,
            "\"job\":\"j1\",\"batch\":7,\"home\":\"vm-a\",\"tasks\":2");
}

static void
add_good_end (GString *log, gint64 ms)
{
  add_line (log, owner, ms, EVENT_BATCH_ENDED,
            "\"job\":\"j1\",\"batch\":7,\"home\":\"vm-a\",\"end\":\"done\"");
  add_line (log, home, ms + 1, EVENT_JOB_ANSWERED,
            "\"job\":\"j1\",\"status\":200,\"ms\":90,\"runs\":2");
}

static json_t *
explain (const GString *log)
{
  struct run_result *r
      = run_command (log->str, "explain", "--json", "j1", NULL);
  json_t *root;

  g_assert_cmpint (r->status, ==, EXIT_STATUS_OK);
  root = run_result_json (r);
  run_result_free (r);
  return root;
}

static const char *
get_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  g_assert_nonnull (text);
  return text;
}

/* Why the cause NAME was given; NULL when it was not.  */
static const char *
find_why (const json_t *root, const char *name)
{
  json_t *causes = json_object_get (root, "causes");

  for (size_t i = 0; i < json_array_size (causes); i++)
    if (g_str_equal (get_text (json_array_get (causes, i), "cause"), name))
      return get_text (json_array_get (causes, i), "why");
  return NULL;
}

/* The likely cause of LOG is NAME, and its reason mentions DETAIL.  */
static void
assert_cause (const GString *log, const char *name, const char *detail)
{
  json_t *root = explain (log);
  const char *why = find_why (root, name);

  g_assert_cmpstr (get_text (root, "cause"), ==, name);
  g_assert_cmpstr (get_text (root, "home"), ==, home);
  if (strstr (why, detail) == NULL)
    g_error ("'%s' is not in '%s'", detail, why);
  json_decref (root);
}

static void
test_done (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_good_end (log, 90);
  assert_cause (log, "done", "90 ms");
}

static void
test_done_in_spite_of (void)
{
  g_autoptr (GString) log = g_string_new (NULL);
  json_t *root;

  add_start (log);
  add_line (log, owner, 20, EVENT_TASK_RETRIED,
            "\"job\":\"j1\",\"task\":\"j1.0.0.1\",\"run\":1,\"upstream\":"
            "\"u7\",\"reason\":\"failed\"");
  add_good_end (log, 90);
  assert_cause (log, "done", "90 ms");
  root = explain (log);
  g_assert_cmpstr (find_why (root, "failed-upstream"), ==,
                   "runs that failed, by upstream: u7 (1)");
  json_decref (root);
}

static void
test_turned_away (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_line (log, home, 0, EVENT_JOB_TURNED_AWAY,
            "\"job\":\"j1\",\"status\":503,\"reason\":\"objective\",\"room\":"
            "0,\"queued\":812,\"wait_ms\":1900.5,\"objective_ms\":600");
  assert_cause (
      log, "turned-away",
      "objective (room=0 queued=812 wait_ms=1900.5 objective_ms=600)");
}

static void
test_refused (void)
{
  g_autoptr (GString) leaving = g_string_new (NULL);
  g_autoptr (GString) invalid = g_string_new (NULL);

  add_line (leaving, home, -2300, EVENT_FLEET_DRAINING, "");
  add_line (leaving, home, 0, EVENT_JOB_TURNED_AWAY,
            "\"job\":\"j1\",\"status\":503,\"reason\":"
            "\"this VM is leaving; send the job again\"");
  assert_cause (leaving, "leaving", "it had been told to stop 2300 ms before");
  add_line (invalid, home, 0, EVENT_JOB_TURNED_AWAY,
            "\"job\":\"j1\",\"status\":400,\"reason\":"
            "\"a job must be a JSON object\"");
  assert_cause (invalid, "invalid", "a job must be a JSON object");
}

static void
test_no_route (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_line (log, home, -900, EVENT_ROUTES_IN_FORCE, "\"version\":41");
  add_line (log, home, 0, EVENT_JOB_TURNED_AWAY,
            "\"job\":\"j1\",\"status\":404,\"reason\":\"route\"");
  assert_cause (log, "no-route", "version 41 of the desired state was in");
}

static void
test_hanging (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_line (log, owner, 3, EVENT_RUN_STARTED,
            "\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"run\":1,\"upstream\":"
            "\"u7\",\"token\":99");
  add_line (log, owner, 400, EVENT_RUN_UNANSWERED,
            "\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"run\":1,\"upstream\":"
            "\"u7\",\"ms\":397");
  add_line (log, owner, 500, EVENT_UPSTREAM_MUTE, "\"upstream\":\"u7\"");
  add_line (log, owner, 510, EVENT_UPSTREAM_MUTE, "\"upstream\":\"u8\"");
  add_line (log, home, 2000, EVENT_JOB_ANSWERED,
            "\"job\":\"j1\",\"status\":504,\"ms\":2000");
  assert_cause (log, "hanging-upstream", ": u7 (1)");
}

static void
test_failed (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  for (int i = 1; i <= 3; i++)
    {
      g_autofree char *ended = g_strdup_printf (
          "\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"run\":%d,\"upstream\":"
          "\"u%d\",\"end\":\"failed\"",
          i, i % 2);
      g_autofree char *retried = g_strdup_printf (
          "\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"run\":%d,\"upstream\":"
          "\"u%d\",\"reason\":\"failed\"",
          i, i % 2);

      add_line (log, owner, 100 * i, EVENT_RUN_ENDED, ended);
      add_line (log, owner, 100 * i, EVENT_TASK_RETRIED, retried);
    }
  add_line (log, owner, 400, EVENT_BATCH_ENDED,
            "\"job\":\"j1\",\"batch\":7,\"end\":\"failed\"");
  add_line (log, home, 401, EVENT_JOB_GIVEN_UP,
            "\"job\":\"j1\",\"reason\":\"attempts\"");
  assert_cause (log, "failed-upstream",
                "u1 (2), u0 (1); the batch on vm-b used up its attempts");
}

static void
test_owner_lost (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_line (log, home, 700, EVENT_VM_LOST, "\"peer\":\"vm-b\"");
  add_line (log, home, 710, EVENT_VM_LOST, "\"peer\":\"vm-c\"");
  add_line (log, home, 2000, EVENT_JOB_ANSWERED,
            "\"job\":\"j1\",\"status\":502,\"ms\":2000");
  assert_cause (log, "owner-lost",
                "vm-b, to which tasks were sent, was reported lost");
}

/* The VM starts anew, so its boot clock begins again.  */
static void
test_home_lost (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_line_at (log, home, VM_BEGAN_MS + START_MS + 60000, 20000,
               EVENT_FLEET_STARTED, "");
  assert_cause (
      log, "home-lost",
      "vm-a crashed or was killed (it restarted without a clean stop)");
}

static void
test_home_stopped (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_line (log, home, 5000, EVENT_FLEET_STOPPED, "");
  add_line (log, home, 6000, EVENT_FLEET_STARTED, "");
  assert_cause (log, "home-lost", "vm-a was stopped before it answered");
}

/* What the owner of a batch logs is joined although it names the home with the
   number of its process.  */
static void
test_no_room (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_line (log, home, 0, EVENT_JOB_ACCEPTED, "\"job\":\"j1\",\"tasks\":2");
  add_line (log, home, 1, EVENT_BATCH_SENT,
            "\"job\":\"j1\",\"batch\":7,\"owner\":\"vm-b\",\"tasks\":2,"
            "\"free_slots\":2,\"queued\":0,\"age_us\":9000");
  add_line (log, owner, 12, EVENT_TASKS_RETURNED,
            "\"job\":\"j1\",\"batch\":7,\"home\":\"vm-a#12\",\"tasks\":1");
  add_line (log, home, 13, EVENT_BATCH_SENT,
            "\"job\":\"j1\",\"batch\":8,\"owner\":\"vm-a\",\"tasks\":1,"
            "\"free_slots\":0,\"queued\":1,\"age_us\":0");
  add_line (log, home, 24, EVENT_TASKS_RETURNED,
            "\"job\":\"j1\",\"batch\":8,\"home\":\"vm-a#12\",\"tasks\":1");
  add_line (log, owner, 300, EVENT_BATCH_ENDED,
            "\"job\":\"j1\",\"batch\":7,\"home\":\"vm-a#12\",\"end\":"
            "\"stopped\",\"reason\":\"no room before its deadline\"");
  add_line (log, home, 301, EVENT_JOB_GIVEN_UP,
            "\"job\":\"j1\",\"status\":502,\"reason\":"
            "\"its owner has stopped it\"");
  assert_cause (log, "no-room",
                "vm-b: no room before its deadline, after part of the job had "
                "started; batches sent to owners: 2, returns of unstarted "
                "tasks: 2, of these from owners that had reported enough free "
                "slots: 1");
}

/* A refusal for the share of the caller is not lack of room for all.  */
static void
test_over_share (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_line (log, home, 0, EVENT_JOB_TURNED_AWAY,
            "\"job\":\"j1\",\"status\":503,\"reason\":"
            "\"its caller is over its share\",\"cause\":\"over-share\","
            "\"caller\":\"10.0.0.7\",\"demand_milli_cpus\":9000,"
            "\"limit_milli_cpus\":4000");
  assert_cause (log, "over-share",
                "vm-a refused the job before anything ran (caller=10.0.0.7 "
                "demand_milli_cpus=9000 limit_milli_cpus=4000)");
}

static void
test_no_owner (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_line (log, home, -350, EVENT_FLEET_STARTED, "");
  add_line (log, home, 0, EVENT_JOB_TURNED_AWAY,
            "\"job\":\"j1\",\"status\":503,\"reason\":"
            "\"no upstream is owned by a live VM\"");
  assert_cause (log, "no-owner", "; it had started 350 ms before");
  add_line (log, home, -200, EVENT_FLEET_DRAINING, "");
  assert_cause (log, "no-owner", "; it had been told to stop 200 ms before");
}

/* VMs that were lost long before and are not back, in this process.  */
static void
test_lost_touch (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_line (log, home, -90000, EVENT_VM_LOST, "\"peer\":\"vm-x\"");
  add_line (log, home, -80000, EVENT_FLEET_STARTED, "");
  add_line (log, home, -50000, EVENT_VM_LOST, "\"peer\":\"vm-b\"");
  add_line (log, home, -50000, EVENT_VM_LOST, "\"peer\":\"vm-c\"");
  add_line (log, home, -50000, EVENT_VM_LOST, "\"peer\":\"vm-d\"");
  add_line (log, home, -40000, EVENT_VM_BACK, "\"peer\":\"vm-b\"");
  add_line (log, "vm-b", -30000, EVENT_VM_LOST, "\"peer\":\"vm-e\"");
  add_line (log, home, 0, EVENT_JOB_TURNED_AWAY,
            "\"job\":\"j1\",\"status\":503,\"reason\":\"no room in time\"");
  add_line (log, home, 100, EVENT_VM_LOST, "\"peer\":\"vm-e\"");
  assert_cause (log, "turned-away",
                "; vm-a had lost contact with 2 other VMs");
  add_line (log, home, -300, EVENT_JOB_ACCEPTED, "\"job\":\"j1\"");
  add_line (log, home, -200, EVENT_VM_BACK, "\"peer\":\"vm-c\"");
  assert_cause (log, "turned-away",
                "; vm-a had lost contact with 2 other VMs");
}

/* Adds a job whose batch began after WAITED_MS and took RAN_MS, against an
   objective of 200 ms.  */
static void
add_late (GString *log, gint64 waited_ms, gint64 ran_ms)
{
  g_autofree char *ended = g_strdup_printf (
      "\"job\":\"j1\",\"batch\":7,\"end\":\"done\",\"waited_us\":"
      "%" G_GINT64_FORMAT,
      waited_ms * USEC_PER_MSEC);
  g_autofree char *answered = g_strdup_printf (
      "\"job\":\"j1\",\"status\":200,\"objective_ms\":200,\"ms\":"
      "%" G_GINT64_FORMAT,
      1 + waited_ms + ran_ms);

  add_line (log, home, 0, EVENT_JOB_ACCEPTED,
            "\"job\":\"j1\",\"estimate_us\":100000");
  add_line (log, home, 1, EVENT_BATCH_SENT,
            "\"job\":\"j1\",\"batch\":7,\"owner\":\"vm-b\",\"tasks\":2,"
            "\"free_slots\":2");
  add_line (log, owner, 1 + waited_ms + ran_ms, EVENT_BATCH_ENDED, ended);
  add_line (log, home, 1 + waited_ms + ran_ms, EVENT_JOB_ANSWERED, answered);
}

static void
test_late (void)
{
  g_autoptr (GString) waited = g_string_new (NULL);
  g_autoptr (GString) slow = g_string_new (NULL);
  g_autoptr (GString) hanging = g_string_new (NULL);
  g_autoptr (GString) in_time = g_string_new (NULL);

  add_late (waited, 300, 100);
  assert_cause (waited, "waited",
                "after 401 ms, objective 200 ms; its last batch began after "
                "301 ms; the estimate of a task was 100 ms");
  add_late (slow, 0, 300);
  assert_cause (slow, "slow-run", "after 301 ms, objective 200 ms");
  add_late (hanging, 0, 300);
  add_line (hanging, owner, 200, EVENT_TASK_RETRIED,
            "\"job\":\"j1\",\"task\":0,\"run\":1,\"upstream\":\"u7\","
            "\"reason\":\"lost\"");
  add_line (hanging, owner, 100, EVENT_RUN_UNANSWERED,
            "\"upstream\":\"u7\",\"reason\":\"silent\"");
  assert_cause (hanging, "hanging-upstream", ": u7 (1)");
  add_late (in_time, 50, 100);
  assert_cause (in_time, "done", "151 ms");
}

/* The names of the events in the order of the story.  */
static char *
list_events (const json_t *root)
{
  json_t *events = json_object_get (root, "events");
  GString *names = g_string_new (NULL);

  for (size_t i = 0; i < json_array_size (events); i++)
    g_string_append_printf (
        names, "%s ",
        get_text (json_object_get (json_array_get (events, i), "line"),
                  "name"));
  return g_string_free (names, FALSE);
}

/* A job whose runs went as expected and whose batches are told of by the lines
   of its home.  */
static void
add_trail (GString *log)
{
  add_line (log, home, 0, EVENT_JOB_ACCEPTED,
            "\"job\":\"j1\",\"tasks\":3,\"estimate_us\":100000,"
            "\"trail\":\"0+0:vm-b:2:2:0:9 0+1:vm-a:1:1:0:0\"");
}

static void
test_trail (void)
{
  g_autoptr (GString) log = g_string_new (NULL);
  g_autofree char *names = NULL;
  json_t *root;

  owner_ahead_ms = -3000;
  add_trail (log);
  add_line (log, owner, 340, EVENT_BATCH_ENDED,
            "\"job\":\"j1\",\"batch\":0,\"home\":\"vm-a\",\"end\":\"done\","
            "\"waited_us\":0,\"runs\":\"u7:1:90 u:8:1:320\"");
  add_line (log, home, 150, EVENT_BATCH_ENDED,
            "\"job\":\"j1\",\"batch\":2,\"end\":\"done\",\"waited_us\":0,"
            "\"runs\":\"u1:1:100\"");
  add_line (log, home, 350, EVENT_JOB_ANSWERED,
            "\"job\":\"j1\",\"status\":200,\"ms\":350,\"objective_ms\":200,"
            "\"trail\":\"12-1:vm-a:1 12+2:vm-a:1:1:0:0 junk 1+2 x-1:vm-a:1\"");
  owner_ahead_ms = 0;
  assert_cause (log, "slow-run", "100 ms; its longest run took 320 ms on u:8");
  root = explain (log);
  names = list_events (root);
  g_assert_cmpstr (names, ==,
                   "job-accepted batch-sent batch-sent tasks-returned "
                   "batch-sent batch-ended batch-ended job-answered ");
  g_assert_null (find_why (root, "owner-silent"));
  json_decref (root);
}

static void
test_trail_no_room (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_trail (log);
  add_line (log, home, 13, EVENT_TASKS_RETURNED,
            "\"job\":\"j1\",\"batch\":0,\"owner\":\"vm-b\",\"tasks\":2");
  add_line (log, home, 300, EVENT_JOB_TURNED_AWAY,
            "\"job\":\"j1\",\"status\":503,\"reason\":\"no room in time\","
            "\"ms\":300,\"trail\":\"12-1:vm-a:1 14+2:vm-b:3:1:4:0 "
            "40-2:vm-b:3\"");
  assert_cause (log, "turned-away",
                "(ms=300); batches sent to owners: 3, returns of unstarted "
                "tasks: 3, of these from owners that had reported enough free "
                "slots: 2");
}

static void
test_trail_owner_lost (void)
{
  g_autoptr (GString) lost = g_string_new (NULL);
  g_autoptr (GString) silent = g_string_new (NULL);
  g_autoptr (GString) alive = g_string_new (NULL);
  g_autoptr (GString) own = g_string_new (NULL);

  add_trail (lost);
  add_line (lost, home, 700, EVENT_VM_LOST, "\"peer\":\"vm-b\"");
  add_line (lost, home, 710, EVENT_JOB_GIVEN_UP,
            "\"job\":\"j1\",\"status\":502,\"ms\":710,\"reason\":"
            "\"the owner of its upstreams is lost\"");
  assert_cause (lost, "owner-lost",
                "vm-b, to which tasks were sent, was reported lost");
  add_trail (silent);
  assert_cause (silent, "owner-silent", "sent to vm-b");
  add_line (own, home, 0, EVENT_JOB_ACCEPTED,
            "\"job\":\"j1\",\"trail\":\"0+0:vm-a:2:2:0:0\"");
  assert_cause (own, "unknown", "'batch-sent' on vm-a");
  add_trail (alive);
  add_line (alive, owner, 90, EVENT_TASK_RETRIED,
            "\"job\":\"j1\",\"task\":0,\"run\":1,\"upstream\":\"u7\","
            "\"reason\":\"refused\"");
  assert_cause (alive, "failed-upstream", ": u7 (1)");
}

/* The home loses an owner that lives on and is started anew later.  */
static void
test_owner_cut_off (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_line (log, home, 1000, EVENT_JOB_GIVEN_UP,
            "\"job\":\"j1\",\"status\":502,\"reason\":"
            "\"the connection to its owner broke\"");
  add_line (log, owner, 1200, EVENT_ROUTES_IN_FORCE, "\"version\":41");
  add_line (log, owner, 4000, EVENT_FLEET_STARTED, "");
  assert_cause (log, "owner-lost",
                "vm-a gave the job up: the connection to its owner broke; it "
                "had sent tasks to vm-b");
}

/* The answer's line is cut by another VM's, so the home was not lost.  */
static void
test_cut_line (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_line (log, home, 90, EVENT_JOB_ANSWERED,
            "\"job\":\"j1\",\"status\":200");
  g_string_truncate (log, log->len - 4);
  add_line (log, home, 5000, EVENT_FLEET_STARTED, "");
  add_line (log, home, 5010, EVENT_FLEET_STARTED, "");
  assert_cause (log, "log-gap", "1 lines that name the job are incomplete");
}

/* The VM is another machine that has been up for longer than the former.  */
static void
test_other_machine (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_line_at (log, home, VM_BEGAN_MS + START_MS + 2000, START_MS + HOUR_MS,
               EVENT_FLEET_STARTED, "");
  add_line_at (log, home, VM_BEGAN_MS + START_MS + 2100,
               START_MS + HOUR_MS + 100, EVENT_LOOP_LATE, "\"ms\":300");
  assert_cause (log, "home-lost", "vm-a crashed or was killed");
}

static void
test_caller_gone (void)
{
  g_autoptr (GString) log = g_string_new (NULL);

  add_start (log);
  add_line (log, home, 300, EVENT_CALLER_GONE, "\"job\":\"j1\",\"ms\":300");
  add_line (log, owner, 320, EVENT_BATCH_ENDED,
            "\"job\":\"j1\",\"batch\":7,\"end\":\"stopped\"");
  assert_cause (log, "caller-gone", "after 300 ms");
}

static void
test_others (void)
{
  g_autoptr (GString) paused = g_string_new (NULL);
  g_autoptr (GString) silent = g_string_new (NULL);
  g_autoptr (GString) open = g_string_new (NULL);

  add_start (paused);
  add_line (paused, owner, 900, EVENT_LOOP_LATE, "\"ms\":850");
  assert_cause (paused, "paused", "the main loop of vm-b paused for 850 ms");
  add_line (silent, home, 0, EVENT_BATCH_SENT,
            "\"job\":\"j1\",\"batch\":7,\"owner\":\"vm-b\"");
  assert_cause (silent, "owner-silent", "sent to vm-b");
  add_start (open);
  assert_cause (open, "unknown", "'batch-taken' on vm-b");
}

/* An owner whose clock is off is put back between the home's lines.  */
static void
test_clocks (void)
{
  static const gint64 ahead_ms[] = { -3000, 3000, -HOUR_MS, HOUR_MS };

  for (gsize i = 0; i < G_N_ELEMENTS (ahead_ms); i++)
    {
      g_autoptr (GString) log = g_string_new (NULL);
      g_autofree char *names = NULL;
      json_t *root;
      gint64 shift_ms;

      owner_ahead_ms = ahead_ms[i];
      add_start (log);
      add_good_end (log, 90);
      owner_ahead_ms = 0;
      root = explain (log);
      names = list_events (root);
      g_assert_cmpstr (
          names, ==,
          "job-accepted batch-sent batch-taken batch-ended job-answered ");
      shift_ms = json_integer_value (json_object_get (
                     json_object_get (root, "clock_shifts_us"), owner))
                 / USEC_PER_MSEC;
      g_assert_cmpint (ABS (shift_ms + ahead_ms[i]), <=, 1);
      json_decref (root);
    }
}

/* A wall clock that is set back in between changes nothing.  */
static void
test_clock_set_back (void)
{
  g_autoptr (GString) log = g_string_new (NULL);
  g_autofree char *names = NULL;
  json_t *root;

  add_start (log);
  add_line_at (log, home, VM_BEGAN_MS + START_MS + 80 - HOUR_MS, START_MS + 80,
               EVENT_JOB_ANSWERED, "\"job\":\"j1\",\"status\":200");
  root = explain (log);
  names = list_events (root);
  g_assert_cmpstr (names, ==,
                   "job-accepted batch-sent batch-taken job-answered ");
  json_decref (root);
}

/* Lines of other jobs, of other programs and copies don't matter, nor does
   what stands before the brace.  */
static void
test_other_lines (void)
{
  g_autoptr (GString) log = g_string_new ("Dec  3 host app[12]: {x} ");
  g_autoptr (GString) again = g_string_new (NULL);
  g_autofree char *names = NULL;
  json_t *root;

  add_start (log);
  add_line (log, home, 3, EVENT_JOB_ACCEPTED, "\"job\":\"j11\"");
  add_line (log, home, 4, EVENT_JOB_ACCEPTED, "\"job\":\"j\"");
  add_line (log, "vm-x", 5, EVENT_FLEET_STOPPED, "");
  add_line (log, home, -6000, EVENT_STORE_LOST, "");
  g_string_append (log, "{\"job\":\"j1\"}\nj1 {\n\n[]\n{\"event\":\"j1\"}\n");
  add_good_end (log, 90);
  g_string_append (again, log->str);
  g_string_append (again, log->str);
  root = explain (again);
  names = list_events (root);
  g_assert_cmpstr (
      names, ==,
      "job-accepted batch-sent batch-taken batch-ended job-answered ");
  g_assert_cmpint (
      json_integer_value (json_object_get (root, "foreign_lines")), ==, 10);
  json_decref (root);
}

static guint
count_lines (const char *text)
{
  guint n = 0;

  for (; *text != '\0'; text++)
    n += *text == '\n';
  return n;
}

/* A job of 130 tasks, each run told, still fits on a screen.  */
static void
test_one_screen (void)
{
  g_autoptr (GString) log = g_string_new (NULL);
  struct run_result *r;

  add_start (log);
  for (int i = 0; i < 130; i++)
    {
      g_autofree char *run = g_strdup_printf (
          "\"job\":\"j1\",\"task\":\"j1.0.0.%d\",\"run\":1,\"upstream\":\"u7\""
          ",\"end\":\"done\"",
          i);

      add_line (log, owner, 3 + i, EVENT_RUN_STARTED, run);
      add_line (log, owner, 40 + i,
                i == 9 ? EVENT_TASK_RETRIED : EVENT_RUN_ENDED, run);
    }
  add_good_end (log, 300);
  r = run_command (log->str, "explain", "j1", NULL);
  g_assert_cmpint (r->status, ==, EXIT_STATUS_OK);
  g_assert_cmpuint (count_lines (r->out), <=, 40);
  g_assert_nonnull (strstr (r->out, "task-retried"));
  g_assert_nonnull (strstr (r->out, "likely cause: nothing"));
  g_assert_nonnull (strstr (r->out, "--all shows them"));
  run_result_free (r);
  r = run_command (log->str, "explain", "--all", "j1", NULL);
  g_assert_cmpuint (count_lines (r->out), >=, 2 * 130 + 5);
  run_result_free (r);
}

static void
test_nothing_found (void)
{
  g_autoptr (GString) log = g_string_new (NULL);
  struct run_result *r;

  add_start (log);
  r = run_command (log->str, "explain", "j2", NULL);
  g_assert_cmpint (r->status, ==, EXIT_STATUS_FAILED);
  g_assert_nonnull (strstr (r->out, "no line names the job j2"));
  run_result_free (r);
  r = run_command ("", "explain", "--json", "j2", NULL);
  g_assert_cmpint (r->status, ==, EXIT_STATUS_FAILED);
  run_result_free (r);
  r = run_command ("", "explain", "j1", "t/no-such-file", NULL);
  g_assert_cmpint (r->status, ==, EXIT_STATUS_USAGE);
  g_assert_nonnull (strstr (r->err, "t/no-such-file"));
  run_result_free (r);
  r = run_command ("", "explain", NULL);
  g_assert_cmpint (r->status, ==, EXIT_STATUS_USAGE);
  run_result_free (r);
}

/* What the logger writes is what the command reads, from files.  */
static void
test_logger (void)
{
  g_autofree char *path = NULL;
  g_autoptr (GError) error = NULL;
  int fd = g_file_open_tmp (NULL, &path, &error);
  struct run_result *r;
  json_t *root;

  g_assert_no_error (error);
  event_log_set_output (fd, home);
  event_log_fields (EVENT_JOB_ACCEPTED, FIELD_TEXT ("job", "j1"));
  event_log_fields (EVENT_JOB_TURNED_AWAY, FIELD_TEXT ("job", "j1"),
                    FIELD_TEXT ("reason", "room"), FIELD_REAL ("room", 2.5));
  g_assert_true (event_log_flush ());
  event_log_set_output (-1, NULL);
  close (fd);
  r = run_command (NULL, "explain", "--json", "j1", path, path, NULL);
  root = run_result_json (r);
  g_assert_cmpstr (get_text (root, "cause"), ==, "turned-away");
  g_assert_nonnull (strstr (find_why (root, "turned-away"), "(room=2.5)"));
  json_decref (root);
  run_result_free (r);
  g_unlink (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/explain/done", test_done);
  g_test_add_func ("/explain/done-in-spite-of", test_done_in_spite_of);
  g_test_add_func ("/explain/turned-away", test_turned_away);
  g_test_add_func ("/explain/refused", test_refused);
  g_test_add_func ("/explain/no-route", test_no_route);
  g_test_add_func ("/explain/hanging", test_hanging);
  g_test_add_func ("/explain/failed", test_failed);
  g_test_add_func ("/explain/owner-lost", test_owner_lost);
  g_test_add_func ("/explain/home-lost", test_home_lost);
  g_test_add_func ("/explain/home-stopped", test_home_stopped);
  g_test_add_func ("/explain/no-room", test_no_room);
  g_test_add_func ("/explain/over-share", test_over_share);
  g_test_add_func ("/explain/no-owner", test_no_owner);
  g_test_add_func ("/explain/lost-touch", test_lost_touch);
  g_test_add_func ("/explain/late", test_late);
  g_test_add_func ("/explain/trail", test_trail);
  g_test_add_func ("/explain/trail-no-room", test_trail_no_room);
  g_test_add_func ("/explain/trail-owner-lost", test_trail_owner_lost);
  g_test_add_func ("/explain/owner-cut-off", test_owner_cut_off);
  g_test_add_func ("/explain/other-machine", test_other_machine);
  g_test_add_func ("/explain/cut-line", test_cut_line);
  g_test_add_func ("/explain/caller-gone", test_caller_gone);
  g_test_add_func ("/explain/others", test_others);
  g_test_add_func ("/explain/clocks", test_clocks);
  g_test_add_func ("/explain/clock-set-back", test_clock_set_back);
  g_test_add_func ("/explain/other-lines", test_other_lines);
  g_test_add_func ("/explain/one-screen", test_one_screen);
  g_test_add_func ("/explain/nothing-found", test_nothing_found);
  g_test_add_func ("/explain/logger", test_logger);
  return g_test_run ();
}
