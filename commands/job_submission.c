#include "commands/job_submission.h"

#include "base/clock.h"
#include "protocol/json_read.h"

#include <string.h>

/* The pause between two rounds over the entry VMs, doubled each time.  */
#define FIRST_PAUSE_US (50 * USEC_PER_MSEC)
#define MAX_PAUSE_US (2 * USEC_PER_SEC)

/* How often a job that runs is asked for.  */
#define POLL_INTERVAL_US (100 * USEC_PER_MSEC)

/* How a try ended.  */
enum try_end
{
  TRY_ANSWERED, /* with the job's answer, or with its failure */
  TRY_AGAIN,    /* later, under the same ticket */
  TRY_FRESH,    /* later, under a fresh ticket */
};

static struct client_response *
call (struct job_submission *plan, const char *entry, const char *method,
      const char *path, const char *body, GError **error)
{
  struct client_request request = {
    .method = method,
    .base = entry,
    .path = path,
    .body = body,
    .prefer = plan->is_async && body != NULL ? "respond-async" : NULL,
    .deadline_us = plan->deadline_us,
  };

  return client_call (plan->client, &request, error);
}

static gboolean
draw_ticket (struct job_submission *plan, guint index, GError **error)
{
  const char *entry = plan->options->entries[index];
  struct client_response *answer
      = call (plan, entry, "POST", "/v1/tickets?count=1", NULL, error);
  json_t *tickets;

  if (answer == NULL)
    return FALSE;
  tickets = json_object_get (answer->json, "tickets");
  if (client_response_check (answer, error))
    {
      g_free (plan->issued_ticket);
      plan->issued_ticket
          = g_strdup (json_string_value (json_array_get (tickets, 0)));
      plan->issuer = index;
      plan->is_sent = FALSE;
    }
  client_response_free (answer);
  return plan->issued_ticket != NULL;
}

static char *
format_job (const struct job_submission *plan)
{
  const char *ticket
      = plan->ticket != NULL ? plan->ticket : plan->issued_ticket;

  if (ticket != NULL)
    json_object_set_new (plan->job, "ticket", json_string (ticket));
  return json_format (plan->job);
}

static enum try_end
judge_refusal (const struct job_submission *plan, guint index,
               enum error_kind kind)
{
  gboolean is_own_ticket = plan->ticket == NULL;

  switch (kind)
    {
    case ERROR_DRAINING:
      return is_own_ticket && index == plan->issuer ? TRY_FRESH : TRY_AGAIN;
    case ERROR_NOT_RUN:
    case ERROR_OVER_QUOTA:
    case ERROR_UNAVAILABLE:
      return TRY_AGAIN;
    default:
      return TRY_ANSWERED;
    }
}

/* One submission to the entry VM of that INDEX.  */
static enum try_end
try_entry (struct job_submission *plan, guint index, json_t **result,
           GError **error)
{
  const char *entry = plan->options->entries[index];
  g_autofree char *body = format_job (plan);
  struct client_response *answer
      = call (plan, entry, "POST", "/v1/jobs", body, error);
  enum try_end end = TRY_ANSWERED;

  if (answer == NULL)
    {
      plan->is_sent |= error_get_kind (*error) != ERROR_NOT_RUN;
      return TRY_AGAIN;
    }
  plan->is_sent = TRUE;
  if (client_response_check (answer, error))
    *result = json_incref (answer->json);
  else if (json_object_get (answer->json, "job") == NULL)
    end = judge_refusal (plan, index, error_get_kind (*error));
  client_response_free (answer);
  return end;
}

/* Makes sure that there is a ticket, drawn at the VM of that INDEX.  */
static gboolean
ensure_ticket (struct job_submission *plan, guint index, GError **error)
{
  if (plan->ticket != NULL)
    return TRUE;
  if (plan->issued_ticket != NULL && (plan->is_sent || plan->issuer == index))
    return TRUE;
  g_clear_pointer (&plan->issued_ticket, g_free);
  return draw_ticket (plan, index, error);
}

/* Tries every entry VM once.  Returns whether the job was answered.  */
static gboolean
run_round (struct job_submission *plan, json_t **result, GError **error)
{
  guint n_entries = g_strv_length (plan->options->entries);

  for (guint i = 0; i < n_entries; i++)
    {
      enum try_end end;

      g_clear_error (error);
      if (clock_now_us () >= plan->deadline_us)
        break;
      if (!ensure_ticket (plan, i, error))
        continue;
      end = try_entry (plan, i, result, error);
      if (end == TRY_ANSWERED)
        return TRUE;
      if (end == TRY_FRESH)
        g_clear_pointer (&plan->issued_ticket, g_free);
    }
  return FALSE;
}

static void
set_timeout_error (const struct job_submission *plan, GError **error)
{
  g_autofree char *reason
      = g_strdup (*error != NULL ? (*error)->message : "no time was left");

  g_clear_error (error);
  if (plan->is_sent && plan->issued_ticket != NULL)
    error_set (error, ERROR_UNKNOWN,
               "no answer in time (%s); ask again with --ticket %s", reason,
               plan->issued_ticket);
  else
    error_set (error, ERROR_UNAVAILABLE,
               "no entry VM took the job in time (%s); nothing was started",
               reason);
}

static json_t *
run_retrying (struct job_submission *plan, GError **error)
{
  gint64 pause_us = FIRST_PAUSE_US;
  GError *reason = NULL;
  json_t *result = NULL;

  while (!run_round (plan, &result, &reason))
    {
      gint64 left_us = plan->deadline_us - clock_now_us ();

      if (left_us <= 0)
        {
          set_timeout_error (plan, &reason);
          break;
        }
      cli_show_progress ("no answer yet, trying again");
      g_usleep ((gulong)MIN (pause_us, left_us));
      pause_us = MIN (pause_us * 2, MAX_PAUSE_US);
    }
  cli_show_progress (NULL);
  if (reason != NULL)
    g_propagate_error (error, reason);
  return result;
}

json_t *
job_submission_run (struct job_submission *plan, GError **error)
{
  json_t *result = NULL;

  if (plan->is_retrying)
    return run_retrying (plan, error);
  try_entry (plan, 0, &result, error);
  return result;
}

static gboolean
is_running (const json_t *answer)
{
  const char *status = json_string_value (json_object_get (answer, "status"));

  return g_strcmp0 (status, "running") == 0;
}

/* The job's present answer from the first entry VM that knows it.  */
static json_t *
ask_for_job (struct job_submission *plan, const char *path, GError **error)
{
  struct client_request request = { .method = "GET", .path = path };

  return cli_fetch_any (plan->client, plan->options, request, error);
}

json_t *
job_submission_wait (struct job_submission *plan, json_t *accepted,
                     GError **error)
{
  const char *id = json_string_value (json_object_get (accepted, "job"));
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, NULL);
  json_t *answer = accepted;

  while (answer != NULL && is_running (answer))
    {
      cli_show_progress (
          "%lld of %lld tasks done",
          (long long)json_integer_value (json_object_get (answer, "done")),
          (long long)json_integer_value (json_object_get (answer, "tasks")));
      json_decref (answer);
      answer = NULL;
      if (clock_now_us () >= plan->deadline_us)
        {
          error_set (error, ERROR_UNAVAILABLE,
                     "the job still runs; ask with 'radishchute job'");
          break;
        }
      g_usleep (POLL_INTERVAL_US);
      answer = ask_for_job (plan, path, error);
    }
  cli_show_progress (NULL);
  return answer;
}
