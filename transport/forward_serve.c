#include "transport/forward_serve.h"

#include "base/clock.h"
#include "base/error.h"
#include "protocol/peer_xdr.h"
#include "transport/home.h"

/* A forwarded request that waits for the end of its job.  */
struct remote_waiter
{
  struct job_waiter waiter;
  struct peer_request *request;
};

static void
reply_bytes (struct peer_request *request, guint status, guint retry_after_s,
             GBytes *body)
{
  peer_forward_result result
      = { .status = status, .retry_after_s = retry_after_s };
  gsize length;

  result.body.body_val = (char *)g_bytes_get_data (body, &length);
  result.body.body_len = (u_int)length;
  peer_request_reply (request, &result);
}

static void
reply_error (struct peer_request *request, const char *id, guint retry_after_s,
             const GError *error)
{
  g_autoptr (GBytes) body = error_format_answer (error, id);

  reply_bytes (request, error_kind_http_status (error_get_kind (error)),
               retry_after_s, body);
}

static void
reply_job (struct peer_request *request, const struct job *job)
{
  g_autoptr (GBytes) running = NULL;

  if (job->state != JOB_ACTIVE)
    {
      reply_bytes (request, job->answer_status,
                   job_get_retry_after_s (job, clock_now_us ()), job->answer);
      return;
    }
  running = job_format_running (job);
  reply_bytes (request, 202, 0, running);
}

static void
reply_to_waiter (struct job_waiter *waiter, struct job *job)
{
  struct remote_waiter *remote
      = list_entry (waiter, struct remote_waiter, waiter);

  reply_job (remote->request, job);
  g_free (remote);
}

static void
wait_for_job (struct home *home, struct peer_request *request, struct job *job)
{
  struct remote_waiter *remote = g_new0 (struct remote_waiter, 1);

  list_init (&remote->waiter.link);
  remote->waiter.answer = reply_to_waiter;
  remote->request = request;
  home_add_waiter (home, job, &remote->waiter);
}

/* Parses the submission in ARGS.  Its ticket must be the forwarded job id.  */
static struct submission *
parse_body (const peer_forward_args *args, GError **error)
{
  g_autoptr (GBytes) body
      = g_bytes_new_static (args->body.body_val, args->body.body_len);
  struct submission *submission
      = submission_parse (body, clock_now_us (), error);

  if (submission == NULL || g_strcmp0 (submission->ticket, args->job_id) == 0)
    return submission;
  submission_free (submission);
  error_set (error, ERROR_INVALID,
             "the ticket in the submission differs from the job id that the "
             "request was forwarded for; send both with the same id");
  return NULL;
}

static guint
count_retry_after (const struct submission *submission)
{
  if (submission == NULL)
    return 0;
  return job_get_retry_after_s (submission->job, clock_now_us ());
}

static void
serve_submit (struct home *home, struct peer_request *request,
              const peer_forward_args *args)
{
  g_autoptr (GError) error = NULL;
  struct submission *submission = parse_body (args, &error);
  struct job *job = NULL;

  if (submission != NULL)
    job = home_submit_job (home, submission, &error);
  if (job == NULL)
    reply_error (request, args->job_id, count_retry_after (submission), error);
  else if (args->is_async)
    reply_job (request, job);
  else
    wait_for_job (home, request, job);
  if (submission != NULL)
    submission_free (submission);
}

static void
serve_show_or_cancel (struct home *home, struct peer_request *request,
                      const peer_forward_args *args)
{
  g_autoptr (GError) error = NULL;
  struct job *job = home_find_job (home, args->job_id, &error);

  if (job == NULL)
    {
      reply_error (request, args->job_id, 0, error);
      return;
    }
  if (args->method == PEER_FORWARD_CANCEL)
    home_cancel_job (home, job);
  reply_job (request, job);
}

void
forward_serve (struct peer_request *request, const void *arguments,
               gpointer data)
{
  const peer_forward_args *args = arguments;
  struct home *home = data;
  g_autoptr (GError) error = NULL;
  struct job_id id;

  if (!home_parse_id (home, args->job_id, &id, &error))
    reply_error (request, NULL, 0, error);
  else if (!home_is_own_id (home, &id))
    {
      error = forward_make_lost_error (&id);
      reply_error (request, args->job_id, 0, error);
    }
  else if (args->method == PEER_FORWARD_SUBMIT)
    serve_submit (home, request, args);
  else
    serve_show_or_cancel (home, request, args);
}

GError *
forward_make_lost_error (const struct job_id *id)
{
  GError *error = NULL;

  error_set (&error, ERROR_UNKNOWN,
             "the home of this job, a process on VM '%s', is gone, so the "
             "outcome is unknown; check the job's effects, and submit it as a "
             "new job if it must run again",
             id->vm);
  return error;
}
