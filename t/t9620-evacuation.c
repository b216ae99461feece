/*
 * A zone is evacuated under load, by real processes: nothing more is started
 * there, nothing that runs there is cut, and neither a restart nor a VM that
 * does not reach the store brings the zone back into use.
 */
#include "commands/command.h"
#include "t/support/fleet_bed.h"
#include "t/support/run.h"

#include <string.h>

#define OTHER_ZONE 1 /* evacuated; its VMs are 1 and 3 */
#define N_JOBS 12

static struct fleet_bed *
start (void)
{
  struct fleet_bed_plan plan = {
    .n_vms = 4,
    .n_workers = FLEET_BED_WORKERS,
    .n_worker_processes = 2,
    .n_zones = 2,
    .has_proxy = TRUE,
  };
  struct fleet_bed *bed = fleet_bed_start_plan (&plan);

  fleet_bed_put_state (bed);
  fleet_bed_wait_settled (bed);
  return bed;
}

/* The runs that were started in ZONE so far.  */
static gint64
count_starts (struct fleet_bed *bed, guint zone)
{
  g_autofree char *url = fleet_bed_worker_control (bed, zone, "record?list=0");
  json_t *record = http_get_json (url);
  gint64 n = json_get_int (record, "starts");

  json_decref (record);
  return n;
}

static guint
count_evacuated (struct fleet_bed *bed, guint vm)
{
  json_t *dump = fleet_bed_dump (bed, vm);
  guint n = (guint)json_array_size (json_get (dump, "evacuated_zones"));

  json_decref (dump);
  return n;
}

/* Waits until every VM that runs knows that N zones are evacuated.  */
static void
wait_evacuated (struct fleet_bed *bed, guint n)
{
  for (guint vm = 0; vm < bed->n_vms; vm++)
    while (bed->vms[vm] != NULL
           && (!fleet_bed_is_listening (bed, vm)
               || count_evacuated (bed, vm) != n))
      fleet_bed_pass (20);
}

/* Runs jobs at all VMs that run, all of which must be done.  */
static void
run_jobs (struct fleet_bed *bed)
{
  for (guint i = 0; i < N_JOBS; i++)
    if (bed->vms[i % bed->n_vms] != NULL)
      g_assert_true (fleet_bed_run (bed, i % bed->n_vms, 3, 30));
}

/* Evacuates the other zone, and waits until that is in force.  */
static void
evacuate (struct fleet_bed *bed)
{
  fleet_bed_evacuate (bed, OTHER_ZONE);
  wait_evacuated (bed, 1);
}

/* What runs is not cut, queued tasks move, callers of the zone are served
   elsewhere, and the zone serves again when it is taken back.  */
static void
test_evacuated (void)
{
  struct fleet_bed *bed = start ();
  struct fleet_call *calls[4];
  gint64 n;

  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    calls[i] = fleet_bed_begin (bed, i, FLEET_BED_PATIENT, 10, 700);
  fleet_bed_wait_count (bed, "starts", 4);
  evacuate (bed);
  n = count_starts (bed, OTHER_ZONE);
  g_assert_cmpint (n, >, 0);
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_assert_cmpuint (fleet_call_wait (calls[i]), ==, 200);
      g_assert_true (fleet_call_is_done (calls[i]));
      fleet_call_free (calls[i]);
    }
  run_jobs (bed);
  g_assert_cmpint (count_starts (bed, OTHER_ZONE), ==, n);
  fleet_bed_take_back (bed, OTHER_ZONE);
  wait_evacuated (bed, 0);
  while (count_starts (bed, OTHER_ZONE) == n)
    run_jobs (bed);
  fleet_bed_stop (bed);
}

/* VMs that restart within an evacuation start nothing in the zone.  */
static void
test_restart (void)
{
  struct fleet_bed *bed = start ();
  gint64 n;

  evacuate (bed);
  n = count_starts (bed, OTHER_ZONE);
  for (guint vm = 0; vm < bed->n_vms; vm++)
    fleet_bed_kill_vm (bed, vm);
  for (guint vm = 0; vm < bed->n_vms; vm++)
    fleet_bed_start_vm (bed, vm);
  wait_evacuated (bed, 1);
  while (!fleet_bed_run (bed, 0, 1, 30))
    fleet_bed_pass (50);
  run_jobs (bed);
  g_assert_cmpint (count_starts (bed, OTHER_ZONE), ==, n);
  fleet_bed_stop (bed);
}

/* Owners in the zone that do not reach the store hear of the evacuation, and
   of its end, from their peers.  */
static void
test_store_unreachable (void)
{
  struct fleet_bed *bed = start ();
  gint64 n;

  for (guint vm = 1; vm < bed->n_vms; vm += 2)
    {
      g_autofree char *faults
          = g_strdup_printf ("{\"mode\":\"refuses\",\"door\":%u}", vm);

      fleet_bed_set_store_faults (bed, faults);
    }
  evacuate (bed);
  n = count_starts (bed, OTHER_ZONE);
  run_jobs (bed);
  g_assert_cmpint (count_starts (bed, OTHER_ZONE), ==, n);
  fleet_bed_take_back (bed, OTHER_ZONE);
  wait_evacuated (bed, 0);
  fleet_bed_stop (bed);
}

/* With all zones evacuated nothing runs, and callers are told so at once.  */
static void
test_all_zones (void)
{
  struct fleet_bed *bed = start ();
  struct fleet_call *call;

  fleet_bed_evacuate (bed, 0);
  fleet_bed_evacuate (bed, OTHER_ZONE);
  wait_evacuated (bed, 2);
  fleet_bed_pass (300);
  call = fleet_bed_begin (bed, 0, FLEET_BED_PATIENT, 2, 30);
  g_assert_cmpuint (fleet_call_wait (call), ==, 503);
  fleet_call_assert_whole (call);
  fleet_call_free (call);
  fleet_bed_take_back (bed, 0);
  wait_evacuated (bed, 1);
  while (!fleet_bed_run (bed, 1, 2, 30))
    fleet_bed_pass (50);
  fleet_bed_stop (bed);
}

/* Runs the command with ARGUMENT and ZONE; its end must be STATUS, and its
   output name PART.  */
static void
run_evacuate (struct fleet_bed *bed, const char *argument, const char *zone,
              int status, const char *part)
{
  g_autofree char *store
      = g_strdup_printf ("127.0.0.1:%u", bed->store->ports[0]);
  struct run_result *r
      = run_command (NULL, "evacuate", "--store", store, argument, zone, NULL);

  if (r->status != status
      || (strstr (r->out, part) == NULL && strstr (r->err, part) == NULL))
    g_error ("status %d, '%s', '%s'", r->status, r->out, r->err);
  run_result_free (r);
}

/* The operator's command: a request that would do harm or nothing is refused
   with the reason, and an accepted one is in force.  */
static void
test_command (void)
{
  struct fleet_bed *bed = start ();

  run_evacuate (bed, "--timeout=9000", "hafnarfj-b", EXIT_STATUS_USAGE,
                "where the operator may write");
  fleet_bed_set_store_faults (bed, "{\"door\":0,\"operator\":1}");
  run_evacuate (bed, "--timeout=9000", "nowhere", EXIT_STATUS_USAGE,
                "hafnarfj-b, reykjavik-a");
  run_evacuate (bed, "--timeout=9000", "hafnarfj-b", EXIT_STATUS_OK,
                "evacuated, accepted at offset");
  wait_evacuated (bed, 1);
  run_evacuate (bed, "--timeout=9000", "hafnarfj-b", EXIT_STATUS_OK,
                "evacuated already");
  run_evacuate (bed, "--timeout=9000", "reykjavik-a", EXIT_STATUS_USAGE,
                "last zone in use");
  run_evacuate (bed, "--timeout=9000", NULL, EXIT_STATUS_OK,
                "evacuated: hafnarfj-b");
  run_evacuate (bed, "--json", NULL, EXIT_STATUS_OK, "\"hafnarfj-b\"");
  run_evacuate (bed, "--take-back", "hafnarfj-b", EXIT_STATUS_OK, "in use");
  wait_evacuated (bed, 0);
  fleet_bed_set_store_faults (bed, "{\"door\":0,\"mode\":\"refuses\"}");
  run_evacuate (bed, "--timeout=700", "hafnarfj-b", EXIT_STATUS_UNAVAILABLE,
                "does not accept the request");
  fleet_bed_stop (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/evacuation/evacuated", test_evacuated);
  g_test_add_func ("/evacuation/restart", test_restart);
  g_test_add_func ("/evacuation/store-unreachable", test_store_unreachable);
  g_test_add_func ("/evacuation/all-zones", test_all_zones);
  g_test_add_func ("/evacuation/command", test_command);
  return g_test_run ();
}
