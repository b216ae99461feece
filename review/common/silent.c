/*
 * The open channels between the entry VMs go silent while a job runs at
 * several VMs.  Its client has no answer within its time budget, leaves, and
 * sends the job again 1,300 ms later, as the pages allow.  No task may then
 * run twice at the same time.
 */
#include "review/common/bed.h"

#define N_WORKERS 18
#define MORE_TASKS 6 /* than its VM has room for */
#define BUDGET_MS 1500
#define RESEND_MS 1300
#define SILENCE_AFTER_MS 300
#define ID "5c0e7a21d94b36f8"

/* Another client's job, short and of the same kind, whose answers come from
   the other VMs just before the channels go silent, as in use.  */
#define OTHER_ID "00000000000000ff"
#define OTHER_AFTER_MS 100

static const char other_body[]
    = "{\"bestEffort\":true,\"spec\":\"100 cpu=6800 memMb=64\",\"steps\":"
      "[{\"count\":6,\"cpu\":6800,\"memMb\":64,\"estMs\":100}]}";

static void
end_attempt (struct bed *bed, struct http_call *call)
{
  struct http_answer *answer;

  if (!http_call_is_finished (call))
    {
      http_abandon (call);
      bed_note (bed, "client has no answer, closes its channel");
      return;
    }
  answer = http_finish (call);
  bed_note (bed, "client is answered %u %s", answer->status,
            answer->body != NULL ? answer->body : "");
  http_answer_free (answer);
}

/* The VM that owns the most minions, or the fewest.  */
static guint
find_vm (struct bed *bed, gboolean is_most)
{
  guint found = 0;

  for (guint vm = 1; vm < BED_VMS; vm++)
    if (is_most ? bed->owned[vm] > bed->owned[found]
                : bed->owned[vm] < bed->owned[found])
      found = vm;
  return found;
}

int
main (int argc, char **argv)
{
  gboolean has_trouble = g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
  struct bed *bed = bed_start (argv[1], N_WORKERS);
  struct http_call *call;
  struct http_call *other;
  g_autofree char *body = NULL;
  json_t *record;
  gint64 n_double;
  guint first;

  if (bed == NULL)
    return 2;
  first = find_vm (bed, FALSE);
  body = bed_format_job (bed, first, MORE_TASKS, 3600, 900);
  call = bed_send (bed, first, ID, body, BUDGET_MS);
  bed_pass (OTHER_AFTER_MS);
  other = bed_send (bed, first, OTHER_ID, other_body, BUDGET_MS);
  bed_pass (SILENCE_AFTER_MS - OTHER_AFTER_MS);
  if (has_trouble)
    bed_silence_peers (bed);
  bed_pass (BUDGET_MS - SILENCE_AFTER_MS);
  end_attempt (bed, other);
  end_attempt (bed, call);
  bed_pass (RESEND_MS);
  call = bed_send (bed, find_vm (bed, TRUE), ID, body, BUDGET_MS);
  bed_pass (BUDGET_MS);
  end_attempt (bed, call);
  bed_pass (2000);
  record = bed_get_record (bed);
  n_double = json_get_int (record, "double_runs");
  bed_note_runs (bed, json_get (record, "list"));
  bed_note (bed,
            "%lld runs began while another run of their task was under "
            "way",
            (long long)n_double);
  if (json_get_int (record, "starts") < MORE_TASKS)
    {
      bed_note (bed, "too few tasks were started: the case did not run");
      n_double = -1;
    }
  json_decref (record);
  bed_free (bed);
  if (n_double < 0)
    return 2;
  return n_double > 0 ? 1 : 0;
}
