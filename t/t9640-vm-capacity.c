/*
 * Shards divided by capacity, by real processes: guards against capacities
 * that do not arrive, shards that are lost on their way, and tasks that are
 * run twice or cut when a shard moves.
 */
#include "t/support/fleet_bed.h"

#include <signal.h>

#define N_VMS 4
#define PAUSE_MS 700
#define SHARE 500 /* of the first VM */

/* The shares of 16 shards are 8.2, 4.9 and twice 1.5.  */
static const gdouble cpu_shares[N_VMS] = { 0.5, 0.3, 0.09, 0.09 };

static gint64
get_number (struct fleet_bed *bed, guint vm, const char *name)
{
  json_t *dump = fleet_bed_dump (bed, vm);
  gint64 number = json_get_int (dump, name);

  json_decref (dump);
  return number;
}

static guint
count_held (struct fleet_bed *bed, guint vm)
{
  return (guint)__builtin_popcountll ((guint64)get_number (bed, vm, "held"));
}

/* Lets jobs run until the shards are divided by the shares.  */
static void
run_until_divided (struct fleet_bed *bed)
{
  do
    for (guint vm = 0; vm < N_VMS; vm++)
      g_assert_true (fleet_bed_run (bed, vm, 5, 150));
  while (count_held (bed, 0) < 7 || count_held (bed, 1) < 4
         || count_held (bed, 2) > 2 || count_held (bed, 3) > 2);
}

static void
test_divided (void)
{
  struct fleet_bed_plan plan = {
    .n_vms = N_VMS,
    .n_workers = FLEET_BED_WORKERS,
    .n_worker_processes = 1,
    .cpu_shares = cpu_shares,
  };
  struct fleet_bed *bed = fleet_bed_start_plan (&plan);

  fleet_bed_put_state (bed);
  fleet_bed_wait_settled (bed);
  run_until_divided (bed);
  while (get_number (bed, 0, "capacity") < SHARE)
    fleet_bed_pass (20);
  process_signal (bed->vms[0], SIGSTOP);
  fleet_bed_pass (PAUSE_MS);
  process_signal (bed->vms[0], SIGCONT);
  while (get_number (bed, 0, "capacity") == SHARE || count_held (bed, 0) >= 7)
    fleet_bed_pass (20);
  while (get_number (bed, 0, "capacity") < SHARE)
    fleet_bed_pass (20);
  run_until_divided (bed);
  fleet_bed_stop (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/vm-capacity/divided", test_divided);
  return g_test_run ();
}
