/*
 * Two faults at once, brought about while jobs run.
 *
 * Callers without an answer ask again under their tickets once the faults are
 * over.  The checker holds that no task starts twice, that every answer is
 * complete or marked failed and belongs to its own request, and that a
 * refusal as not run is true.  Afterwards the deployment serves again.
 */
#include "t/support/fault_bed.h"

#include <signal.h>

#define N_ENTRIES 2
#define N_UPSTREAMS 3
#define N_JOBS 16
#define MAX_RECOVERY_JOBS 50

struct pair
{
  const char *name;
  const char *upstream_faults; /* between entry VMs and upstreams */
  const char *caller_faults;   /* between callers and entry VMs */
  const char *task_faults;     /* of upstream 0 */
  const char *outage;          /* of the platform's log */
  gboolean kills_upstream;     /* upstream 1 */
  gboolean pauses_entry;       /* entry VM 0, past its leases */
};

#define CUT_ANSWERS "{\"down\":{\"cut_after_bytes\":150}}"
#define RESET "{\"reset_existing\":true}"
#define SILENCE "{\"silence_existing\":true}"

static const struct pair pairs[] = {
  { .name = "upstream-killed-and-log-silent",
    .kills_upstream = TRUE,
    .outage = "silent" },
  { .name = "upstream-killed-and-callers-reset",
    .kills_upstream = TRUE,
    .caller_faults = RESET },
  { .name = "upstreams-reset-and-callers-cut",
    .upstream_faults = RESET,
    .caller_faults = CUT_ANSWERS },
  { .name = "upstreams-silent-and-callers-silent",
    .upstream_faults = SILENCE,
    .caller_faults = SILENCE },
  { .name = "upstreams-silent-and-log-refusing",
    .upstream_faults = SILENCE,
    .outage = "refuse" },
  { .name = "entry-paused-and-upstreams-reset",
    .pauses_entry = TRUE,
    .upstream_faults = RESET },
  { .name = "entry-paused-and-upstream-killed",
    .pauses_entry = TRUE,
    .kills_upstream = TRUE },
  { .name = "entry-paused-and-callers-reset",
    .pauses_entry = TRUE,
    .caller_faults = RESET },
  { .name = "upstream-fails-and-callers-cut",
    .task_faults = "{\"fail_percent\":50}",
    .caller_faults = CUT_ANSWERS },
  { .name = "upstream-loses-answers-and-upstream-killed",
    .task_faults = "{\"close_after_read_percent\":50}",
    .kills_upstream = TRUE },
};

static void
pause_entry (struct fault_bed *bed, gboolean upstream_is_dead)
{
  process_signal (bed->deployment->entries[0], SIGSTOP);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    if (i != 1 || !upstream_is_dead)
      fault_bed_wait_idle (bed, i);
  process_signal (bed->deployment->entries[0], SIGCONT);
}

static void
bring_about (struct fault_bed *bed, const struct pair *pair)
{
  if (pair->task_faults != NULL)
    fault_bed_set_task_faults (bed, 0, pair->task_faults);
  if (pair->outage != NULL)
    fault_bed_set_outage (bed, pair->outage);
  if (pair->upstream_faults != NULL)
    fault_bed_set_upstream_faults (bed, pair->upstream_faults);
  if (pair->kills_upstream)
    fault_bed_kill_upstream (bed, 1);
  if (pair->caller_faults != NULL)
    fault_bed_set_caller_faults (bed, pair->caller_faults);
  if (pair->pauses_entry)
    pause_entry (bed, pair->kills_upstream);
}

static void
end_faults (struct fault_bed *bed, const struct pair *pair)
{
  fault_bed_set_caller_faults (bed, "{}");
  if (pair->upstream_faults != NULL)
    fault_bed_set_upstream_faults (bed, "{}");
  if (pair->outage != NULL)
    fault_bed_set_outage (bed, "none");
}

/* Asks again, under the ticket, for the answer of CALL.  */
static void
ask_again (struct fault_bed *bed, guint entry, const struct fault_call *call)
{
  struct fault_call *repeated = fault_bed_repeat (bed, entry, call);

  g_assert_cmpuint (fault_call_wait (bed, repeated), !=, 0);
  fault_call_free (repeated);
}

/* Whether a job is served whole again before long.  */
static gboolean
recovers (struct fault_bed *bed, guint entry)
{
  for (int i = 0; i < MAX_RECOVERY_JOBS; i++)
    if (fault_bed_run (bed, entry, 6, 1) == 200)
      return TRUE;
  return FALSE;
}

static void
test_pair (gconstpointer data)
{
  const struct pair *pair = data;
  struct fault_bed *bed = fault_bed_start (N_ENTRIES, N_UPSTREAMS);
  struct fault_call *calls[N_JOBS];
  gboolean waits = pair->caller_faults == NULL;

  for (guint i = 0; i < N_JOBS; i++)
    calls[i] = fault_bed_begin (bed, i % N_ENTRIES, 3, 150);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    fault_bed_wait_busy (bed, i);
  bring_about (bed, pair);
  for (guint i = 0; i < N_JOBS && waits; i++)
    fault_call_wait (bed, calls[i]);
  end_faults (bed, pair);
  for (guint i = 0; i < N_JOBS; i++)
    {
      ask_again (bed, i % N_ENTRIES, calls[i]);
      ask_again (bed, (i + 1) % N_ENTRIES, calls[i]);
      fault_call_free (calls[i]);
    }
  for (guint i = 0; i < N_ENTRIES; i++)
    g_assert_true (recovers (bed, i));
  fault_bed_stop (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  for (gsize i = 0; i < G_N_ELEMENTS (pairs); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/paired-faults/%s", pairs[i].name);

      g_test_add_data_func (path, &pairs[i], test_pair);
    }
  return g_test_run ();
}
