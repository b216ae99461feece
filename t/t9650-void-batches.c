/*
 * Messages between VMs that come late or not at all, while beacons are heard.
 * A caller without an answer sends its job again after 1,300 ms, to another
 * VM: by then nothing of the former attempt may run, and nothing of it may
 * start later.  Also beside the build that serves while VMs are replaced.
 *
 * The workers' record is judged at the end of each test: nothing ran twice at
 * once.
 */
#include "t/support/fleet_bed.h"

#include <string.h>

#define N_VMS 3
#define HOME 0
#define OTHER 1

#define N_WORKERS 12
#define N_TASKS 4 /* of the job */

#define PATIENCE_MS 1500 /* of the caller */
#define FAULT_AFTER_MS 300
#define LONG_MS 3000
#define DELAY_MS 3200 /* the late batch finds the job running again */

/* Which VMs run the former build, as bits.  */
#define BUILD_NEW 0u
#define BUILD_FORMER_HOME (1u << HOME)
#define BUILD_FORMER_OWNERS (((1u << N_VMS) - 1) & ~(1u << HOME))

static struct fleet_bed *
start_bed (guint former_vms)
{
  const struct fleet_bed_plan plan = { .n_vms = N_VMS,
                                       .n_workers = N_WORKERS,
                                       .n_worker_processes = 1,
                                       .has_proxy = TRUE,
                                       .former_vms = former_vms };
  struct fleet_bed *bed = fleet_bed_start_plan (&plan);

  fleet_bed_put_state (bed);
  fleet_bed_wait_settled (bed);
  /* A job through each VM opens the connections between them.  */
  for (guint vm = 0; vm < N_VMS; vm++)
    g_assert_true (
        fleet_bed_run (bed, vm, N_WORKERS * FLEET_BED_SLOTS * 3 / 4, 50));
  return bed;
}

/* Fills the room of HOME itself, so that it gives the tasks of further jobs to
   the other VMs.  */
static struct fleet_call *
fill_home (struct fleet_bed *bed)
{
  json_t *dump = fleet_bed_dump (bed, HOME);
  guint n_own = (guint)json_get_int (dump, "upstreams") * FLEET_BED_SLOTS;
  struct fleet_call *call
      = fleet_bed_begin (bed, HOME, FLEET_BED_PATIENT, n_own, 12000);

  json_decref (dump);
  fleet_bed_wait_count (bed, "running", n_own);
  return call;
}

static void
set_faults (struct fleet_bed *bed, guint route, const char *faults)
{
  g_autofree char *url
      = http_url (bed->proxy->ports[bed->proxy->n_ports - 1], "/test/faults");
  g_autofree char *body = g_strdup_printf ("{\"route\":%u,%s}", route, faults);

  http_post (url, body);
}

/* Sets the faults of the connections to all VMs' ports for peers.  */
static void
set_peer_faults (struct fleet_bed *bed, const char *faults)
{
  for (guint vm = 0; vm < N_VMS; vm++)
    set_faults (bed, fleet_bed_peer_route (bed, vm), faults);
}

/* The caller waits until it has waited for PATIENCE_MS in all, and leaves if
   there is no answer.  */
static void
wait_and_leave (struct fleet_call *call, gint64 began_us)
{
  while (!http_call_is_finished (call->call)
         && g_get_monotonic_time () - began_us < PATIENCE_MS * 1000)
    fleet_bed_pass (5);
  if (http_call_is_finished (call->call))
    {
      fleet_call_wait (call);
      return;
    }
  http_abandon (call->call);
  call->call = NULL;
}

/* Sends the job of CALL again to VM, as its caller may, and lets it run.  */
static void
send_again (struct fleet_bed *bed, struct fleet_call *call, guint vm)
{
  gint64 began_us;

  fleet_bed_pass (FLEET_BED_RESEND_MS);
  fleet_call_repeat (bed, call, vm);
  began_us = g_get_monotonic_time ();
  wait_and_leave (call, began_us);
}

/* The connections go silent while a job runs.  Its home has given it up, and
   can't say so over them.  */
static void
test_silent (gconstpointer data)
{
  struct fleet_bed *bed = start_bed (GPOINTER_TO_UINT (data));
  struct fleet_call *filler = fill_home (bed);
  gint64 began_us = g_get_monotonic_time ();
  struct fleet_call *call
      = fleet_bed_begin (bed, HOME, FLEET_BED_PATIENT, N_TASKS, 4000);

  fleet_bed_pass (FAULT_AFTER_MS);
  g_assert_cmpuint (fleet_bed_count_starts (bed, call->id), ==, N_TASKS);
  /* The connections are in use just before.  */
  g_assert_true (fleet_bed_run (bed, HOME, N_TASKS, 50));
  set_peer_faults (bed, "\"silence_existing\":true");
  wait_and_leave (call, began_us);
  send_again (bed, call, OTHER);
  fleet_call_free (call);
  fleet_call_free (filler);
  fleet_bed_stop (bed);
}

/* What a VM sends comes late: batches reach their owners when the home has
   long given the job up, and the job runs again.  */
static void
test_late (gconstpointer data)
{
  struct fleet_bed *bed = start_bed (GPOINTER_TO_UINT (data));
  struct fleet_call *filler = fill_home (bed);
  g_autofree char *delay
      = g_strdup_printf ("\"up\":{\"delay_ms\":%d}", DELAY_MS);
  gint64 began_us;
  struct fleet_call *call;

  set_peer_faults (bed, delay);
  began_us = g_get_monotonic_time ();
  call = fleet_bed_begin (bed, HOME, FLEET_BED_PATIENT, N_TASKS, 2000);
  wait_and_leave (call, began_us);
  send_again (bed, call, OTHER);
  fleet_bed_pass (DELAY_MS);
  fleet_call_free (call);
  fleet_call_free (filler);
  fleet_bed_stop (bed);
}

/* Long tasks of a home that is well, and can't be confirmed by beacons if one
   of the two runs the former build, are not stopped.  */
static void
test_long (gconstpointer data)
{
  struct fleet_bed *bed = start_bed (GPOINTER_TO_UINT (data));
  struct fleet_call *filler = fill_home (bed);

  g_assert_true (fleet_bed_run (bed, HOME, N_TASKS, LONG_MS));
  fleet_call_free (filler);
  fleet_bed_stop (bed);
}

/* The caller's connection goes silent, and the job comes again to the VM that
   still runs it for the caller that has left.  Nothing is started before what
   runs has ended.  */
static void
test_same_home (void)
{
  struct fleet_bed *bed = start_bed (BUILD_NEW);
  gint64 began_us = g_get_monotonic_time ();
  struct fleet_call *call
      = fleet_bed_begin (bed, HOME, FLEET_BED_PATIENT, 4 * N_TASKS, 4000);

  fleet_bed_pass (FAULT_AFTER_MS);
  g_assert_cmpuint (fleet_bed_count_starts (bed, call->id), ==, 4 * N_TASKS);
  set_faults (bed, fleet_bed_caller_route (bed, HOME),
              "\"silence_existing\":true");
  wait_and_leave (call, began_us);
  send_again (bed, call, HOME);
  g_assert_cmpuint (fleet_bed_count_starts (bed, call->id), ==, 8 * N_TASKS);
  fleet_call_free (call);
  fleet_bed_stop (bed);
}

static void
add (const char *name, guint former_vms, GTestDataFunc function)
{
  g_autofree char *path = g_strdup_printf ("/void-batches/%s", name);

  g_test_add_data_func (path, GUINT_TO_POINTER (former_vms), function);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add ("silent", BUILD_NEW, test_silent);
  add ("silent-former-home", BUILD_FORMER_HOME, test_silent);
  add ("silent-former-owners", BUILD_FORMER_OWNERS, test_silent);
  add ("late", BUILD_NEW, test_late);
  add ("late-former-home", BUILD_FORMER_HOME, test_late);
  add ("late-former-owners", BUILD_FORMER_OWNERS, test_late);
  add ("long", BUILD_NEW, test_long);
  add ("long-former-home", BUILD_FORMER_HOME, test_long);
  add ("long-former-owners", BUILD_FORMER_OWNERS, test_long);
  g_test_add_func ("/void-batches/same-home", test_same_home);
  return g_test_run ();
}
