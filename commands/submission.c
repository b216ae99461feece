#include "commands/submission.h"

#include "base/clock.h"
#include "protocol/json_read.h"

#include <string.h>

/* The delay before all entry VMs are tried again.  It doubles each time, from
   the first value up to the second.  */
#define FIRST_RETRY_DELAY_US (50 * USEC_PER_MSEC)
#define MAX_RETRY_DELAY_US (2 * USEC_PER_SEC)

/* Time between two requests for the state of a running job.  */
#define POLL_INTERVAL_US (100 * USEC_PER_MSEC)

/* The result of one attempt to submit the job.  */
enum submit_result
{
  SUBMIT_FINAL,            /* the job was answered or failed; do not retry */
  SUBMIT_RETRY,            /* retry later under the same ticket */
  SUBMIT_RETRY_NEW_TICKET, /* retry later under a new ticket */
};

static struct client_response *
send_request (struct job_submission *submission, const char *entry,
              const char *method, const char *path, const char *body,
              GError **error)
{
  struct client_request request = {
    .method = method,
    .address = entry,
    .path = path,
    .body = body,
    .prefer = submission->is_async && body != NULL ? "respond-async" : NULL,
    .deadline_us = submission->deadline_us,
  };

  return client_call (submission->client, &request, error);
}

static gboolean
request_ticket (struct job_submission *submission, guint index, GError **error)
{
  const char *entry = submission->options->entries[index];
  struct client_response *response = send_request (
      submission, entry, "POST", "/v1/tickets?count=1", NULL, error);
  json_t *tickets;

  if (response == NULL)
    return FALSE;
  tickets = json_object_get (response->json, "tickets");
  if (client_response_check (response, error))
    {
      g_free (submission->issued_ticket);
      submission->issued_ticket
          = g_strdup (json_string_value (json_array_get (tickets, 0)));
      submission->issuer_index = index;
      submission->is_possibly_sent = FALSE;
    }
  client_response_free (response);
  return submission->issued_ticket != NULL;
}

static char *
format_job (const struct job_submission *submission)
{
  const char *ticket = submission->ticket != NULL ? submission->ticket
                                                  : submission->issued_ticket;

  if (ticket != NULL)
    json_object_set_new (submission->job, "ticket", json_string (ticket));
  return json_format (submission->job);
}

/* Returns whether to retry after the entry VM of that INDEX refused the job
   with KIND.  Only the VM that issued the ticket knows whether it was used.  A
   ticket that the user gave is never replaced.  */
static enum submit_result
classify_refusal (const struct job_submission *submission, guint index,
                  enum error_kind kind)
{
  gboolean is_own_ticket = submission->ticket == NULL;

  switch (kind)
    {
    case ERROR_DRAINING:
      return is_own_ticket && index == submission->issuer_index
                 ? SUBMIT_RETRY_NEW_TICKET
                 : SUBMIT_RETRY;
    case ERROR_NOT_RUN:
    case ERROR_OVER_QUOTA:
    case ERROR_UNAVAILABLE:
      return SUBMIT_RETRY;
    default:
      return SUBMIT_FINAL;
    }
}

/* Submits the job once, to the entry VM of that INDEX.  On success RESULT
   receives the JSON of the response, which the caller owns.  */
static enum submit_result
submit_to_entry (struct job_submission *submission, guint index,
                 json_t **result, GError **error)
{
  const char *entry = submission->options->entries[index];
  g_autofree char *body = format_job (submission);
  struct client_response *response
      = send_request (submission, entry, "POST", "/v1/jobs", body, error);
  enum submit_result outcome = SUBMIT_FINAL;

  if (response == NULL)
    {
      submission->is_possibly_sent |= error_get_kind (*error) != ERROR_NOT_RUN;
      return SUBMIT_RETRY;
    }
  submission->is_possibly_sent = TRUE;
  if (client_response_check (response, error))
    *result = json_incref (response->json);
  else if (json_object_get (response->json, "job") == NULL)
    outcome = classify_refusal (submission, index, error_get_kind (*error));
  client_response_free (response);
  return outcome;
}

/* Requests a ticket from the entry VM of that INDEX unless the user gave one
   or an earlier one must or can be used again.  Returns FALSE with ERROR when
   there is no ticket.  */
static gboolean
ensure_ticket (struct job_submission *submission, guint index, GError **error)
{
  if (submission->ticket != NULL)
    return TRUE;
  if (submission->issued_ticket != NULL
      && (submission->is_possibly_sent || submission->issuer_index == index))
    return TRUE;
  g_clear_pointer (&submission->issued_ticket, g_free);
  return request_ticket (submission, index, error);
}

/* Tries every entry VM once, until the job is answered or fails.  Returns
   FALSE when the submission is to be retried.  */
static gboolean
submit_to_each_entry (struct job_submission *submission, json_t **result,
                      GError **error)
{
  guint n_entries = g_strv_length (submission->options->entries);

  for (guint i = 0; i < n_entries; i++)
    {
      enum submit_result outcome;

      g_clear_error (error);
      if (clock_now_us () >= submission->deadline_us)
        break;
      if (!ensure_ticket (submission, i, error))
        continue;
      outcome = submit_to_entry (submission, i, result, error);
      if (outcome == SUBMIT_FINAL)
        return TRUE;
      if (outcome == SUBMIT_RETRY_NEW_TICKET)
        g_clear_pointer (&submission->issued_ticket, g_free);
    }
  return FALSE;
}

static void
set_timeout_error (const struct job_submission *submission, GError **error)
{
  g_autofree char *reason
      = g_strdup (*error != NULL ? (*error)->message : "no time was left");

  g_clear_error (error);
  if (submission->is_possibly_sent && submission->issued_ticket != NULL)
    error_set (error, ERROR_UNKNOWN,
               "no answer before the timeout (%s); retry with --ticket %s",
               reason, submission->issued_ticket);
  else
    error_set (error, ERROR_UNAVAILABLE,
               "no entry VM accepted the job before the timeout (%s); nothing "
               "was started",
               reason);
}

static json_t *
submit_with_retries (struct job_submission *submission, GError **error)
{
  gint64 delay_us = FIRST_RETRY_DELAY_US;
  GError *reason = NULL;
  json_t *result = NULL;

  while (!submit_to_each_entry (submission, &result, &reason))
    {
      gint64 remaining_us = submission->deadline_us - clock_now_us ();

      if (remaining_us <= 0)
        {
          set_timeout_error (submission, &reason);
          break;
        }
      cli_show_progress ("no answer yet, retrying");
      g_usleep ((gulong)MIN (delay_us, remaining_us));
      delay_us = MIN (delay_us * 2, MAX_RETRY_DELAY_US);
    }
  cli_show_progress (NULL);
  if (reason != NULL)
    g_propagate_error (error, reason);
  return result;
}

json_t *
job_submission_run (struct job_submission *submission, GError **error)
{
  json_t *result = NULL;

  if (submission->is_retrying)
    return submit_with_retries (submission, error);
  submit_to_entry (submission, 0, &result, error);
  return result;
}

static gboolean
is_running (const json_t *response)
{
  const char *status
      = json_string_value (json_object_get (response, "status"));

  return g_strcmp0 (status, "running") == 0;
}

/* Returns the state or the answer of the job from the first entry VM that
   knows it, or NULL with ERROR.  */
static json_t *
fetch_job (struct job_submission *submission, const char *path, GError **error)
{
  struct client_request request = { .method = "GET", .path = path };

  return cli_fetch_any (submission->client, submission->options, request,
                        error);
}

json_t *
job_submission_wait (struct job_submission *submission, json_t *accepted,
                     GError **error)
{
  const char *id = json_string_value (json_object_get (accepted, "job"));
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, NULL);
  json_t *response = accepted;

  while (response != NULL && is_running (response))
    {
      cli_show_progress (
          "%lld of %lld tasks done",
          (long long)json_integer_value (json_object_get (response, "done")),
          (long long)json_integer_value (json_object_get (response, "tasks")));
      json_decref (response);
      response = NULL;
      if (clock_now_us () >= submission->deadline_us)
        {
          error_set (error, ERROR_UNAVAILABLE,
                     "the job is still running; use 'radishchute job' to "
                     "check it");
          break;
        }
      g_usleep (POLL_INTERVAL_US);
      response = fetch_job (submission, path, error);
    }
  cli_show_progress (NULL);
  return response;
}
