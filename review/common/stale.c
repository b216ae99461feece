/*
 * A VM is cut off from the others just before a job comes to it.  It hands
 * tasks of the job to them, which the cut holds up, hears nothing of them, and
 * answers 502.  The client sends the job again 1,300 ms later, to another VM,
 * as the pages allow.  The cut ends, TCP delivers what it has held up.  No
 * task may then run twice at the same time.
 */
#include "review/common/bed.h"

#define N_WORKERS 18
#define MORE_TASKS 6 /* than the first VM has room for */
#define BUDGET_MS 1500
#define RESEND_MS 1300
#define ID "5c0e7a21d94b36f8"

/* From the beginning of the cut.  */
#define SEND_AT_MS 50
#define HEAL_AT_MS 1700

#define END_AT_MS 7000

struct client
{
  struct bed *bed;
  char *body;
  struct http_call *call;
  guint n_sent;
  gint64 sent_ms;
  gint64 resend_at_ms; /* 0 for no attempt to come */
};

static void
send_job (struct client *client)
{
  /* Again to the one that has less room of its own, so that tasks go to both
     others.  */
  guint other = client->bed->owned[1] < client->bed->owned[2] ? 1 : 2;
  guint vm = client->n_sent++ == 0 ? 0 : other;

  client->call = bed_send (client->bed, vm, ID, client->body, BUDGET_MS);
  client->sent_ms = bed_now_ms (client->bed);
  client->resend_at_ms = 0;
}

/* What the client does by now.  */
static void
advance (struct client *client)
{
  struct bed *bed = client->bed;
  struct http_answer *answer;
  guint status = 0;

  if (client->resend_at_ms != 0 && bed_now_ms (bed) >= client->resend_at_ms)
    send_job (client);
  if (client->call == NULL)
    return;
  if (http_call_is_finished (client->call))
    {
      answer = http_finish (client->call);
      status = answer->status;
      bed_note (bed, "client is answered %u %s", status,
                answer->body != NULL ? answer->body : "");
      http_answer_free (answer);
    }
  else if (bed_now_ms (bed) - client->sent_ms < BUDGET_MS)
    return;
  else
    {
      http_abandon (client->call);
      bed_note (bed, "client has no answer, closes its channel");
    }
  client->call = NULL;
  if (status == 0 || status == 502 || status == 504)
    client->resend_at_ms = bed_now_ms (bed) + RESEND_MS;
}

static void
pass_until (struct client *client, gint64 until_ms)
{
  while (bed_now_ms (client->bed) < until_ms)
    {
      bed_pass (2);
      advance (client);
    }
}

int
main (int argc, char **argv)
{
  gboolean has_trouble = g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
  struct client client = { .bed = bed_start (argv[1], N_WORKERS) };
  json_t *record;
  gint64 n_double;
  gint64 begin_ms;

  if (client.bed == NULL)
    return 2;
  client.body = bed_format_job (client.bed, 0, MORE_TASKS, 1400, 900);
  begin_ms = bed_now_ms (client.bed);
  if (has_trouble)
    bed_cut (client.bed);
  pass_until (&client, begin_ms + SEND_AT_MS);
  send_job (&client);
  pass_until (&client, begin_ms + HEAL_AT_MS);
  if (has_trouble)
    bed_heal (client.bed);
  pass_until (&client, begin_ms + END_AT_MS);
  record = bed_get_record (client.bed);
  n_double = json_get_int (record, "double_runs");
  bed_note_runs (client.bed, json_get (record, "list"));
  bed_note (client.bed,
            "%lld runs began while another run of their task was under way",
            (long long)n_double);
  if (json_get_int (record, "starts") < MORE_TASKS)
    {
      bed_note (client.bed, "too few tasks were started: it did not run");
      n_double = -1;
    }
  json_decref (record);
  bed_free (client.bed);
  if (n_double < 0)
    return 2;
  return n_double > 0 ? 1 : 0;
}
