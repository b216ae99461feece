/*
 * Jobs that wait for slots, by real processes: jobs that come while no owner
 * has slots are done rather than refused, and none waits in vain.
 */
#include "t/support/fleet_bed.h"

#include <signal.h>
#include <string.h>

#define N_VMS 3
#define N_JOBS 12

static struct fleet_bed *
start_bare (void)
{
  struct fleet_bed_plan plan = {
    .n_vms = N_VMS,
    .n_workers = FLEET_BED_WORKERS,
    .n_worker_processes = 1,
    .max_waiting_jobs = 100,
  };

  return fleet_bed_start_plan (&plan);
}

static struct fleet_bed *
start (void)
{
  struct fleet_bed *bed = start_bare ();

  fleet_bed_put_state (bed);
  fleet_bed_wait_settled (bed);
  return bed;
}

static void
wait_listening (struct fleet_bed *bed)
{
  for (guint vm = 0; vm < bed->n_vms; vm++)
    while (!fleet_bed_is_listening (bed, vm))
      fleet_bed_pass (5);
}

static void
kill_all (struct fleet_bed *bed)
{
  for (guint vm = 0; vm < bed->n_vms; vm++)
    fleet_bed_kill_vm (bed, vm);
}

/* Waits until the member NAME of what VM says of itself is N.  */
static void
wait_dump (struct fleet_bed *bed, guint vm, const char *name, gint64 n)
{
  gint64 n_now = -1;

  while (n_now != n)
    {
      json_t *dump = fleet_bed_dump (bed, vm);

      n_now = json_get_int (dump, name);
      json_decref (dump);
      fleet_bed_pass (10);
    }
}

/* Starts VM alone and waits until it knows the desired state.  */
static void
start_one (struct fleet_bed *bed, guint vm)
{
  fleet_bed_start_vm (bed, vm);
  while (!fleet_bed_is_listening (bed, vm))
    fleet_bed_pass (5);
  wait_dump (bed, vm, "routes_version", 1);
}

/* All VMs are killed under load and started again.  Jobs that are sent as soon
   as they listen, before they know the desired state or any owner, are done;
   without waiting they were refused.  */
static void
test_all_restart (void)
{
  struct fleet_bed *bed = start ();
  struct fleet_call *before[N_VMS];
  struct fleet_call *calls[N_JOBS];

  for (guint i = 0; i < N_VMS; i++)
    before[i] = fleet_bed_begin (bed, i, FLEET_BED_PATIENT, 4, 500);
  fleet_bed_wait_count (bed, "starts", N_VMS);
  kill_all (bed);
  for (guint vm = 0; vm < N_VMS; vm++)
    fleet_bed_start_vm (bed, vm);
  wait_listening (bed);
  for (guint i = 0; i < N_JOBS; i++)
    calls[i] = fleet_bed_begin (bed, i % N_VMS, FLEET_BED_PATIENT, 3, 50);
  for (guint i = 0; i < N_JOBS; i++)
    {
      fleet_call_wait (calls[i]);
      g_assert_true (fleet_call_is_done (calls[i]));
      fleet_call_free (calls[i]);
    }
  for (guint i = 0; i < N_VMS; i++)
    fleet_call_free (before[i]);
  fleet_bed_stop (bed);
}

/* A request that comes before the desired state is served once that is known,
   unless its caller has closed its connection: then nothing of it is run.  */
static void
test_before_state (void)
{
  struct fleet_bed *bed = start_bare ();
  struct fleet_call *call;
  struct fleet_call *closed;
  g_autofree char *id = NULL;

  wait_listening (bed);
  call = fleet_bed_begin (bed, 0, FLEET_BED_PATIENT, 2, 50);
  closed = fleet_bed_begin (bed, 0, FLEET_BED_PATIENT, 2, 50);
  id = g_strdup (closed->id);
  wait_dump (bed, 0, "waiting", 2);
  fleet_call_free (closed);
  fleet_bed_put_state (bed);
  g_assert_cmpuint (fleet_call_wait (call), ==, 200);
  g_assert_true (fleet_call_is_done (call));
  g_assert_cmpuint (fleet_bed_count_starts (bed, id), ==, 0);
  fleet_call_free (call);
  fleet_bed_stop (bed);
}

/* A VM that is stopped refuses its waiting jobs at once.  */
static void
test_leave (void)
{
  struct fleet_bed *bed = start ();
  struct fleet_call *call;

  kill_all (bed);
  start_one (bed, 0);
  call = fleet_bed_begin (bed, 0, FLEET_BED_PATIENT, 2, 50);
  wait_dump (bed, 0, "waiting", 1);
  process_signal (bed->vms[0], SIGTERM);
  g_assert_cmpuint (fleet_call_wait (call), ==, 503);
  g_assert_nonnull (strstr (call->body, "this VM is leaving"));
  fleet_call_assert_whole (call);
  g_assert_cmpuint (fleet_bed_count_starts (bed, call->id), ==, 0);
  fleet_call_free (call);
  fleet_bed_stop (bed);
}

/* A caller that closes its connection while its job waits may send the job to
   another VM: nothing of it is run here later.  With DATA, the VM stands still
   meanwhile, and then hears at once of another VM's slots and of the end of
   the connection.  */
static void
test_caller_leaves (gconstpointer data)
{
  struct fleet_bed *bed = start ();
  struct fleet_call *call;
  g_autofree char *id = NULL;

  kill_all (bed);
  start_one (bed, 0);
  call = fleet_bed_begin (bed, 0, FLEET_BED_PATIENT, 2, 50);
  id = g_strdup (call->id);
  wait_dump (bed, 0, "waiting", 1);
  if (data != NULL)
    {
      process_signal (bed->vms[0], SIGSTOP);
      start_one (bed, 1);
      while (!fleet_bed_run (bed, 1, 1, 30))
        fleet_bed_pass (50);
    }
  fleet_call_free (call);
  process_signal (bed->vms[0], SIGCONT);
  wait_dump (bed, 0, "waiting", 0);
  while (!fleet_bed_run (bed, 0, 1, 30))
    fleet_bed_pass (50);
  g_assert_cmpuint (fleet_bed_count_starts (bed, id), ==, 0);
  fleet_bed_stop (bed);
}

/* No slot returns, since the workers hang: each job is refused as not run, one
   that must start soon before one that could wait longer.  */
static void
test_no_owner (void)
{
  struct fleet_bed *bed = start ();
  struct fleet_call *hasty;
  struct fleet_call *patient;

  kill_all (bed);
  process_signal (bed->workers[0], SIGSTOP);
  start_one (bed, 0);
  hasty = fleet_bed_begin (bed, 0, FLEET_BED_HASTY, 2, 50);
  patient = fleet_bed_begin (bed, 0, FLEET_BED_PATIENT, 2, 50);
  g_assert_cmpuint (fleet_call_wait (hasty), ==, 503);
  fleet_call_assert_whole (hasty);
  g_assert_nonnull (patient->call);
  g_assert_cmpuint (fleet_call_wait (patient), ==, 503);
  fleet_call_assert_whole (patient);
  process_signal (bed->workers[0], SIGCONT);
  g_assert_cmpuint (fleet_bed_count_starts (bed, patient->id), ==, 0);
  fleet_call_free (hasty);
  fleet_call_free (patient);
  fleet_bed_stop (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/waiting-jobs/all-restart", test_all_restart);
  g_test_add_func ("/waiting-jobs/before-state", test_before_state);
  g_test_add_func ("/waiting-jobs/leave", test_leave);
  g_test_add_data_func ("/waiting-jobs/caller-leaves", NULL,
                        test_caller_leaves);
  g_test_add_data_func ("/waiting-jobs/caller-leaves-unnoticed", "",
                        test_caller_leaves);
  g_test_add_func ("/waiting-jobs/no-owner", test_no_owner);
  return g_test_run ();
}
