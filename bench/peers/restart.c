/*
 * A third of the entry VMs killed at once under load.
 *
 * Real processes on loopback.  Callers send jobs one after the other, half of
 * them under tickets whose home is another VM.  Prints what the callers were
 * told, how fast the rest knew, and when the rate was back.
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
#define N_CLIENTS 24
#define N_TASKS 4
#define RUN_MS 20
#define TICKETS_EACH 2000

#define BEFORE_US (3 * USEC_PER_SEC)
#define AFTER_US (10 * USEC_PER_SEC)
#define BUCKET_US (250 * USEC_PER_MSEC)
#define N_BUCKETS 64

/* The rate counts as back at this share of the one before, for a second.  */
#define BACK_PERCENT 90
#define BACK_BUCKETS 4

struct load
{
  struct deployment *d;
  struct http_call *calls[N_CLIENTS];
  guint next;
  GPtrArray *tickets;
  gint64 start_us;
  gint64 killed_us;
  gboolean is_ending;
  guint whole;
  guint lost;    /* answered as unknown */
  guint later;   /* answered as unavailable */
  guint refused; /* nobody listened: sent to another VM */
  guint cut;     /* the VM that was asked died */
  guint other;
  guint buckets[N_BUCKETS]; /* whole jobs */
};

static void
draw_tickets (struct load *load, guint index)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/tickets?count=%d", TICKETS_EACH);
  g_autofree char *url = deployment_url (load->d, index, path);
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
next_job (struct load *load)
{
  g_autofree char *ticket = NULL;

  if (load->next % 2 == 0 || load->tickets->len == 0)
    return deployment_job (N_TASKS, RUN_MS, 0);
  ticket = g_ptr_array_steal_index_fast (
      load->tickets, load->next * 7919 % load->tickets->len);
  return peers_job (ticket, N_TASKS, RUN_MS, 0);
}

static void
send_job (struct load *load, guint client)
{
  g_autofree char *url
      = deployment_url (load->d, load->next % N_ENTRIES, "/v1/jobs");
  g_autofree char *job = next_job (load);

  load->next += 1 + load->next / N_ENTRIES % 2;
  load->calls[client] = http_begin ("POST", url, job, NULL);
}

static void
count_answer (struct load *load, const struct http_answer *answer)
{
  gint64 bucket = (clock_now_us () - load->start_us) / BUCKET_US;

  if (answer->status == 200)
    {
      load->whole++;
      if (bucket < N_BUCKETS)
        load->buckets[bucket]++;
    }
  else if (answer->status == 0)
    {
      if (g_error_matches (answer->error, G_IO_ERROR,
                           G_IO_ERROR_CONNECTION_REFUSED))
        load->refused++;
      else
        load->cut++;
    }
  else if (strstr (answer->body, "\"unknown\"") != NULL)
    load->lost++;
  else if (strstr (answer->body, "\"unavailable\"") != NULL)
    load->later++;
  else
    {
      load->other++;
      printf ("other answer: %s", answer->body);
    }
}

/* Returns FALSE when nobody waits any more.  */
static gboolean
pump (struct load *load)
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
run (struct load *load, gint64 duration_us)
{
  gint64 until_us = clock_now_us () + duration_us;

  while (clock_now_us () < until_us)
    pump (load);
}

/* The time after the kill at which the rate is back, or -1.  */
static gint64
find_recovery (const struct load *load)
{
  guint kill_bucket = (guint)((load->killed_us - load->start_us) / BUCKET_US);
  guint last = (guint)((BEFORE_US + AFTER_US) / BUCKET_US) - 1;
  guint before = 0;
  guint in_row = 0;

  for (guint i = 4; i < kill_bucket; i++)
    before += load->buckets[i];
  before /= MAX (kill_bucket - 4, 1);
  printf ("rate before: %u jobs/s\n",
          (guint)(before * USEC_PER_SEC / BUCKET_US));
  for (guint i = kill_bucket + 1; i < last; i++)
    {
      in_row
          = load->buckets[i] * 100 >= before * BACK_PERCENT ? in_row + 1 : 0;
      if (in_row == BACK_BUCKETS)
        return (i + 1 - BACK_BUCKETS) * BUCKET_US - load->killed_us
               + load->start_us;
    }
  return -1;
}

static void
print_buckets (const struct load *load)
{
  printf ("whole jobs per %d ms:", (int)(BUCKET_US / USEC_PER_MSEC));
  for (guint i = 0; i < (BEFORE_US + AFTER_US) / BUCKET_US; i++)
    printf (" %u", load->buckets[i]);
  printf ("\n");
}

static gboolean
knows_dead (struct http_answer *answer)
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

/* Asks the survivors, while the load goes on, until all know.  */
static void
wait_until_known (struct load *load)
{
  struct http_call *calls[N_ENTRIES] = { NULL };
  gboolean known[N_ENTRIES] = { FALSE };
  guint n_known = 0;

  while (n_known < N_ENTRIES - N_KILLED)
    {
      pump (load);
      for (guint i = N_KILLED; i < N_ENTRIES; i++)
        {
          g_autofree char *url = deployment_url (load->d, i, "/v1/state");
          struct http_answer *answer;

          if (known[i])
            continue;
          if (calls[i] == NULL)
            calls[i] = http_begin ("GET", url, NULL, NULL);
          if (!http_call_is_finished (calls[i]))
            continue;
          answer = http_finish (calls[i]);
          calls[i] = NULL;
          known[i] = knows_dead (answer);
          n_known += known[i] ? 1 : 0;
          http_answer_free (answer);
        }
    }
  printf ("all %d survivors know of the %d killed VMs after %d ms\n",
          N_ENTRIES - N_KILLED, N_KILLED,
          (int)((clock_now_us () - load->killed_us) / USEC_PER_MSEC));
}

int
main (void)
{
  struct load *load = g_new0 (struct load, 1);
  gint64 recovery_us;

  load->d = deployment_start (N_ENTRIES, N_UPSTREAMS);
  load->tickets = g_ptr_array_new_with_free_func (g_free);
  peers_connect (load->d);
  for (guint i = 0; i < N_ENTRIES; i++)
    draw_tickets (load, i);
  load->start_us = clock_now_us ();
  run (load, BEFORE_US);
  load->killed_us = clock_now_us ();
  for (guint i = 0; i < N_KILLED; i++)
    process_signal (load->d->entries[i], SIGKILL);
  wait_until_known (load);
  run (load, load->killed_us + AFTER_US - clock_now_us ());
  load->is_ending = TRUE;
  while (pump (load))
    ;
  print_buckets (load);
  recovery_us = find_recovery (load);
  if (recovery_us < 0)
    printf ("the rate was not back at %d%%\n", BACK_PERCENT);
  else
    printf ("the rate was back at %d%% after %d ms\n", BACK_PERCENT,
            (int)(recovery_us / USEC_PER_MSEC));
  printf ("whole %u, lost with their home %u, unavailable %u, cut with the VM "
          "asked %u, refused connections %u, other %u\n",
          load->whole, load->lost, load->later, load->cut, load->refused,
          load->other);
  printf ("tasks started, none twice: %u\n",
          deployment_assert_starts (load->d));
  deployment_stop (load->d);
  return 0;
}
