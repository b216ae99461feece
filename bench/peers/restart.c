/*
 * Measures the effects of killing a third of the entry VMs at once under load.
 *
 * Runs real processes on loopback.  Each client sends one job after the other;
 * about a third of the jobs have tickets, most of which were issued by another
 * VM.  Prints the answers that the clients got, the time until all surviving
 * VMs considered the killed ones dead, and the time until the rate of jobs
 * recovered.
 */
#include "base/clock.h"
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/peers.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define N_ENTRIES 6
#define N_KILLED 2
#define N_UPSTREAMS 8
#define N_CLIENTS 24 /* each has one job in flight */
#define N_TASKS 4    /* of a job */
#define TASK_RUN_MS 20
#define TICKETS_PER_ENTRY 2000

#define LOAD_BEFORE_KILL_US (3 * USEC_PER_SEC)
#define LOAD_AFTER_KILL_US (10 * USEC_PER_SEC)
#define BUCKET_US (250 * USEC_PER_MSEC)
#define N_BUCKETS 64

/* The rate has recovered when it reaches RECOVERED_PERCENT of the rate before
   the kill in RECOVERED_BUCKETS consecutive buckets, which is one second.  */
#define RECOVERED_PERCENT 90
#define RECOVERED_BUCKETS 4

struct load
{
  struct deployment *deployment;
  struct http_call *calls[N_CLIENTS]; /* in flight, or NULL */
  guint sequence;     /* selects the VM of the next job and whether it has a
                         ticket; advances by 1 and by 2 in alternate rounds over
                         the VMs */
  GPtrArray *tickets; /* char *, not yet used, issued by all VMs */
  gint64 start_us;
  gint64 killed_us;
  gboolean is_ending; /* no more jobs are sent */
  guint n_complete;
  guint n_unknown;     /* error "unknown": the job's home VM was lost */
  guint n_unavailable; /* error "unavailable" */
  guint n_refused; /* connection refused; the client's next job goes to another
                      VM */
  guint n_disconnected; /* the connection broke, since the VM that was asked
                           died */
  guint n_other;        /* any other answer */
  guint n_complete_by_bucket[N_BUCKETS]; /* by time since start_us */
};

static void
create_tickets (struct load *load, guint index)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/tickets?count=%d", TICKETS_PER_ENTRY);
  g_autofree char *url = deployment_url (load->deployment, index, path);
  struct http_answer *answer = http_request ("POST", url, NULL, NULL);
  json_t *body = http_answer_json (answer);
  json_t *ticket;
  size_t i;

  json_array_foreach (json_get (body, "tickets"), i, ticket)
      g_ptr_array_add (load->tickets, g_strdup (json_string_value (ticket)));
  json_decref (body);
  http_answer_free (answer);
}

static char *
make_next_job (struct load *load)
{
  g_autofree char *ticket = NULL;

  if (load->sequence % 2 == 0 || load->tickets->len == 0)
    return deployment_job (N_TASKS, TASK_RUN_MS, 0);
  /* A prime factor spreads the choice over the tickets of all VMs.  */
  ticket = g_ptr_array_steal_index_fast (
      load->tickets, load->sequence * 7919 % load->tickets->len);
  return peers_job (ticket, N_TASKS, TASK_RUN_MS, 0);
}

static void
send_job (struct load *load, guint client)
{
  g_autofree char *url = deployment_url (
      load->deployment, load->sequence % N_ENTRIES, "/v1/jobs");
  g_autofree char *job = make_next_job (load);

  load->sequence += 1 + load->sequence / N_ENTRIES % 2;
  load->calls[client] = http_begin ("POST", url, job, NULL);
}

static void
count_answer (struct load *load, const struct http_answer *answer)
{
  gint64 bucket = (clock_now_us () - load->start_us) / BUCKET_US;

  if (answer->status == 200)
    {
      load->n_complete++;
      if (bucket < N_BUCKETS)
        load->n_complete_by_bucket[bucket]++;
    }
  else if (answer->status == 0)
    {
      if (g_error_matches (answer->error, G_IO_ERROR,
                           G_IO_ERROR_CONNECTION_REFUSED))
        load->n_refused++;
      else
        load->n_disconnected++;
    }
  else if (strstr (answer->body, "\"unknown\"") != NULL)
    load->n_unknown++;
  else if (strstr (answer->body, "\"unavailable\"") != NULL)
    load->n_unavailable++;
  else
    {
      load->n_other++;
      printf ("other answer: %s", answer->body);
    }
}

/* Runs one iteration of the main loop, counts the answers that arrived and
   sends the next job of each idle client.  Returns FALSE when no client waits
   for an answer.  */
static gboolean
poll_clients (struct load *load)
{
  gboolean is_waiting = FALSE;

  g_main_context_iteration (NULL, FALSE);
  for (guint i = 0; i < N_CLIENTS; i++)
    {
      struct http_answer *answer;

      if (load->calls[i] == NULL && !load->is_ending)
        send_job (load, i);
      is_waiting |= load->calls[i] != NULL;
      if (load->calls[i] == NULL || !http_call_is_finished (load->calls[i]))
        continue;
      answer = http_finish (load->calls[i]);
      load->calls[i] = NULL;
      count_answer (load, answer);
      http_answer_free (answer);
    }
  return is_waiting;
}

static void
run_load (struct load *load, gint64 duration_us)
{
  gint64 until_us = clock_now_us () + duration_us;

  while (clock_now_us () < until_us)
    poll_clients (load);
}

/* The time from the kill until the rate has recovered, in microseconds, or -1
   if it has not.  Prints the rate before the kill, without the first second of
   the load.  */
static gint64
find_recovery (const struct load *load)
{
  guint kill_bucket = (guint)((load->killed_us - load->start_us) / BUCKET_US);
  guint last
      = (guint)((LOAD_BEFORE_KILL_US + LOAD_AFTER_KILL_US) / BUCKET_US) - 1;
  guint jobs_per_bucket_before = 0;
  guint n_consecutive = 0;

  for (guint i = 4; i < kill_bucket; i++)
    jobs_per_bucket_before += load->n_complete_by_bucket[i];
  jobs_per_bucket_before /= MAX (kill_bucket - 4, 1);
  printf ("rate before: %u jobs/s\n",
          (guint)(jobs_per_bucket_before * USEC_PER_SEC / BUCKET_US));
  for (guint i = kill_bucket + 1; i < last; i++)
    {
      n_consecutive = load->n_complete_by_bucket[i] * 100
                              >= jobs_per_bucket_before * RECOVERED_PERCENT
                          ? n_consecutive + 1
                          : 0;
      if (n_consecutive == RECOVERED_BUCKETS)
        return (i + 1 - RECOVERED_BUCKETS) * BUCKET_US - load->killed_us
               + load->start_us;
    }
  return -1;
}

static void
print_buckets (const struct load *load)
{
  printf ("complete jobs per %d ms:", (int)(BUCKET_US / USEC_PER_MSEC));
  for (guint i = 0; i < (LOAD_BEFORE_KILL_US + LOAD_AFTER_KILL_US) / BUCKET_US;
       i++)
    printf (" %u", load->n_complete_by_bucket[i]);
  printf ("\n");
}

/* Whether the VM whose state is ANSWER lists all killed VMs as dead.  */
static gboolean
sees_killed_as_dead (struct http_answer *answer)
{
  json_t *body = http_answer_json (answer);
  json_t *peer;
  size_t i;
  guint n = 0;

  json_array_foreach (
      json_get (body, "peers"), i,
      peer) if (strcmp (json_string_value (json_get (peer, "state")), "dead")
                == 0) n++;
  json_decref (body);
  return n == N_KILLED;
}

/* Keeps up the load and polls the state of the surviving VMs until all of them
   list the killed VMs as dead.  */
static void
wait_until_deaths_known (struct load *load)
{
  struct http_call *calls[N_ENTRIES] = { NULL };
  gboolean is_known[N_ENTRIES] = { FALSE };
  guint n_known = 0;

  while (n_known < N_ENTRIES - N_KILLED)
    {
      poll_clients (load);
      for (guint i = N_KILLED; i < N_ENTRIES; i++)
        {
          g_autofree char *url
              = deployment_url (load->deployment, i, "/v1/state");
          struct http_answer *answer;

          if (is_known[i])
            continue;
          if (calls[i] == NULL)
            calls[i] = http_begin ("GET", url, NULL, NULL);
          if (!http_call_is_finished (calls[i]))
            continue;
          answer = http_finish (calls[i]);
          calls[i] = NULL;
          is_known[i] = sees_killed_as_dead (answer);
          n_known += is_known[i] ? 1 : 0;
          http_answer_free (answer);
        }
    }
  printf ("all %d surviving VMs list the %d killed VMs as dead after %d ms\n",
          N_ENTRIES - N_KILLED, N_KILLED,
          (int)((clock_now_us () - load->killed_us) / USEC_PER_MSEC));
}

int
main (void)
{
  struct load *load = g_new0 (struct load, 1);
  gint64 recovery_us;

  load->deployment = deployment_start (N_ENTRIES, N_UPSTREAMS);
  load->tickets = g_ptr_array_new_with_free_func (g_free);
  peers_connect (load->deployment);
  for (guint i = 0; i < N_ENTRIES; i++)
    create_tickets (load, i);
  load->start_us = clock_now_us ();
  run_load (load, LOAD_BEFORE_KILL_US);
  load->killed_us = clock_now_us ();
  for (guint i = 0; i < N_KILLED; i++)
    process_signal (load->deployment->entries[i], SIGKILL);
  wait_until_deaths_known (load);
  run_load (load, load->killed_us + LOAD_AFTER_KILL_US - clock_now_us ());
  load->is_ending = TRUE;
  while (poll_clients (load))
    ;
  print_buckets (load);
  recovery_us = find_recovery (load);
  if (recovery_us < 0)
    printf ("the rate did not recover to %d%%\n", RECOVERED_PERCENT);
  else
    printf ("the rate recovered to %d%% after %d ms\n", RECOVERED_PERCENT,
            (int)(recovery_us / USEC_PER_MSEC));
  printf (
      "complete %u, unknown since their home VM was lost %u, unavailable %u, "
      "connection broken %u, connection refused %u, other %u\n",
      load->n_complete, load->n_unknown, load->n_unavailable,
      load->n_disconnected, load->n_refused, load->n_other);
  printf ("tasks started, none of them twice: %u\n",
          deployment_assert_starts (load->deployment));
  deployment_stop (load->deployment);
  return 0;
}
