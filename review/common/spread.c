/*
 * Jobs whose tasks must run on different minions (antiAffinity 1), as many
 * tasks as their VM owns minions.  One of these minions crashes; the other VMs
 * own enough minions with room.  No minion may then run two tasks of one job.
 */
#include "review/common/bed.h"

#include <stdlib.h>
#include <string.h>

#define N_WORKERS 12
#define N_JOBS 5
#define BUDGET_MS 1500
#define RUN_MS 300

/* After the crash, so that no VM counts on the minion any more.  */
#define NOTICED_MS 3000

static void
run_job (struct bed *bed, guint vm, guint number, guint n_tasks)
{
  g_autofree char *id = g_strdup_printf ("a%015x", number);
  g_autofree char *body = g_strdup_printf (
      "{\"bestEffort\":true,\"spec\":\"%u cpu=6800 memMb=64\",\"steps\":"
      "[{\"count\":%u,\"cpu\":6800,\"memMb\":64,\"estMs\":%u,"
      "\"antiAffinity\":1}]}",
      RUN_MS, n_tasks, RUN_MS);
  struct http_answer *answer
      = http_finish (bed_send (bed, vm, id, body, BUDGET_MS));

  bed_note (bed, "client is answered %u %s", answer->status,
            answer->body != NULL ? answer->body : "");
  http_answer_free (answer);
}

static gboolean
is_checked (json_t *run)
{
  return json_string_value (json_get (run, "task"))[0] == 'a';
}

static gboolean
is_beside (json_t *a, json_t *b)
{
  return strncmp (json_string_value (json_get (a, "task")),
                  json_string_value (json_get (b, "task")), 16)
             == 0
         && strcmp (json_string_value (json_get (a, "worker")),
                    json_string_value (json_get (b, "worker")))
                == 0
         && json_get_int (a, "start_ms") < json_get_int (b, "end_ms")
         && json_get_int (b, "start_ms") < json_get_int (a, "end_ms");
}

/* Counts the pairs of tasks of one job that a minion ran at once.  */
static guint
count_pairs (struct bed *bed, json_t *list)
{
  guint n = 0;

  for (gsize i = 0; i < json_array_size (list); i++)
    for (gsize k = 0; k < i; k++)
      {
        json_t *a = json_array_get (list, k);
        json_t *b = json_array_get (list, i);

        if (!is_checked (a) || !is_beside (a, b))
          continue;
        n++;
        bed_note (bed, "%s ran %s and %s at the same time",
                  json_string_value (json_get (b, "worker")),
                  json_string_value (json_get (a, "task")),
                  json_string_value (json_get (b, "task")));
      }
  return n;
}

/* Crashes a minion that has run a task of the first job.  */
static void
crash_minion (struct bed *bed)
{
  json_t *record = bed_get_record (bed);
  json_t *list = json_get (record, "list");
  g_autofree char *url = http_url (
      bed->workers->ports[bed->workers->n_ports - 1], "/standin/crash");

  for (gsize i = 0; i < json_array_size (list); i++)
    {
      json_t *run = json_array_get (list, i);
      const char *worker = json_string_value (json_get (run, "worker"));
      g_autofree char *body
          = g_strdup_printf ("{\"worker\":%d}", atoi (worker + strlen ("m-")));

      if (!is_checked (run))
        continue;
      http_post (url, body);
      bed_note (bed, "minion %s crashes", worker);
      break;
    }
  json_decref (record);
}

int
main (int argc, char **argv)
{
  gboolean has_trouble = g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
  struct bed *bed = bed_start (argv[1], N_WORKERS);
  json_t *record;
  guint vm = 0;
  guint n_pairs;

  if (bed == NULL)
    return 2;
  for (guint i = 1; i < BED_VMS; i++)
    if (bed->owned[i] > bed->owned[vm])
      vm = i;
  run_job (bed, vm, 0, bed->owned[vm]);
  if (has_trouble)
    crash_minion (bed);
  bed_pass (NOTICED_MS);
  for (guint i = 1; i <= N_JOBS; i++)
    run_job (bed, vm, i, bed->owned[vm]);
  bed_pass (500);
  record = bed_get_record (bed);
  bed_note_runs (bed, json_get (record, "list"));
  n_pairs = count_pairs (bed, json_get (record, "list"));
  bed_note (bed, "%u pairs of tasks of one job ran on one minion at once",
            n_pairs);
  json_decref (record);
  bed_free (bed);
  return n_pairs > 0 ? 1 : 0;
}
