#include "transport/upstream_client.h"

#include "base/clock.h"
#include "base/metrics.h"
#include "protocol/json_read.h"
#include "transport/session_pool.h"

#include <libsoup/soup.h>
#include <string.h>

/* The most connections of the session for renewals and stops, which all
   upstreams share.  */
#define MAX_CONNECTIONS 65536

/* A start that has not begun to be written by then is withdrawn.  */
#define SEND_TIMEOUT_US USEC_PER_SEC

/* How long to wait for the answer to a renewal or a stop before its connection
   counts as dead.  */
#define CONTROL_TIMEOUT_SEC 2

/* How often the deadlines of attempts are checked.  */
#define SWEEP_INTERVAL_MS 250

/* A stopped attempt is given up this long after its lease has expired.  */
#define STOP_GRACE_US USEC_PER_SEC

/* An attempt is given up once the answers to this many renewals have listed
   its task under "lapsed", that is, as not running on the upstream.  */
#define MAX_LAPSED_REPORTS 2

struct upstream_client
{
  struct upstream_client_owner *owner;
  struct session_pool *sessions; /* for starts */
  SoupSession *control_session;  /* for renewals and stops */
  GCancellable *shutdown;
  struct list_node attempts; /* struct attempt by link */
  struct list_node unsent; /* struct attempt by deadline_link, oldest first */
  struct list_node stopping; /* struct attempt by deadline_link */
  guint sweep_source;
  struct upstream_client_counts counts;
};

/* One request that starts a task, until its answer is read.  */
struct attempt
{
  struct list_node link;
  struct upstream_client *client; /* NULL once the client is freed */
  struct task *task;
  SoupMessage *message;
  GCancellable *cancellable;
  gsize output_limit;
  char *buffer; /* the body of the answer */
  gsize buffer_size;
  gboolean is_sending;    /* bytes of the request may have been written */
  gboolean is_sent;       /* the whole request was written */
  gboolean was_given_up;  /* before the whole answer had come */
  guint n_lapsed_reports; /* renewals whose answers listed it as lapsed */
  struct list_node deadline_link; /* in unsent or stopping, or in neither */
  gint64 deadline_us; /* when to give it up, while in one of the two */
};

/* The stops that are to be sent to one upstream in one message.  */
struct stop_batch
{
  struct upstream_client *client;
  struct upstream *upstream;
  json_t *tasks;
  guint source;
};

/* Cancels the request of ATTEMPT.  Its end is reported from the main loop.  */
static void
give_up (struct attempt *attempt)
{
  attempt->was_given_up = TRUE;
  list_remove (&attempt->deadline_link);
  g_cancellable_cancel (attempt->cancellable);
}

static void
give_up_expired (struct list_node *waiting, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, waiting)
    {
      struct attempt *attempt
          = list_entry (node, struct attempt, deadline_link);

      if (attempt->deadline_us <= now_us)
        give_up (attempt);
    }
}

static gboolean
on_sweep (gpointer data)
{
  struct upstream_client *client = data;
  gint64 now_us = clock_now_us ();

  give_up_expired (&client->unsent, now_us);
  give_up_expired (&client->stopping, now_us);
  session_pool_sweep (client->sessions, now_us);
  return G_SOURCE_CONTINUE;
}

struct upstream_client *
upstream_client_new (struct upstream_client_owner *owner)
{
  struct upstream_client *client = g_new0 (struct upstream_client, 1);

  client->owner = owner;
  client->sessions = session_pool_new ();
  client->control_session = soup_session_new_with_options (
      "proxy-resolver", NULL, "max-conns", MAX_CONNECTIONS,
      "max-conns-per-host", SESSION_MAX_CONNECTIONS, "idle-timeout",
      SESSION_IDLE_TIMEOUT_SEC, "timeout", CONTROL_TIMEOUT_SEC, NULL);
  client->shutdown = g_cancellable_new ();
  list_init (&client->attempts);
  list_init (&client->unsent);
  list_init (&client->stopping);
  client->sweep_source = g_timeout_add (SWEEP_INTERVAL_MS, on_sweep, client);
  return client;
}

void
upstream_client_free (struct upstream_client *client)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &client->attempts)
    {
      struct attempt *attempt = list_entry (node, struct attempt, link);

      attempt->client = NULL;
      list_remove (&attempt->link);
      g_cancellable_cancel (attempt->cancellable);
    }
  g_source_remove (client->sweep_source);
  g_cancellable_cancel (client->shutdown);
  g_object_unref (client->shutdown);
  session_pool_free (client->sessions);
  g_object_unref (client->control_session);
  g_free (client);
}

static void
attempt_free (struct attempt *attempt)
{
  list_remove (&attempt->link);
  list_remove (&attempt->deadline_link);
  g_signal_handlers_disconnect_by_data (attempt->message, attempt);
  g_object_unref (attempt->message);
  g_object_unref (attempt->cancellable);
  g_free (attempt->buffer);
  g_free (attempt);
}

/* Frees ATTEMPT and reports its end, unless the client is freed.  */
static void
end_attempt (struct attempt *attempt, enum attempt_end end, GBytes *output)
{
  struct upstream_client *client = attempt->client;
  struct task *task = attempt->task;

  attempt_free (attempt);
  if (client == NULL)
    return;
  task->transport_data = NULL;
  client->owner->ops->attempt_ended (client->owner, task, end, output);
}

/* libsoup is about to write the request: the last moment to withdraw it.  */
static void
on_starting (SoupMessage *message, gpointer data)
{
  struct attempt *attempt = data;
  struct upstream_client *client = attempt->client;

  if (client != NULL
      && client->owner->ops->may_send (client->owner, attempt->task))
    {
      attempt->is_sending = TRUE;
      list_remove (&attempt->deadline_link);
    }
  else
    g_cancellable_cancel (attempt->cancellable);
}

static void
on_wrote_body (SoupMessage *message, gpointer data)
{
  struct attempt *attempt = data;

  attempt->is_sent = TRUE;
}

static enum attempt_end
classify_broken_send (const struct attempt *attempt)
{
  if (!attempt->is_sending)
    return ATTEMPT_NOT_SENT;
  if (attempt->was_given_up)
    return ATTEMPT_TIMED_OUT;
  if (!attempt->is_sent)
    return ATTEMPT_DISCONNECTED_IN_REQUEST;
  return ATTEMPT_DISCONNECTED_BEFORE_ANSWER;
}

static enum attempt_end
classify_outcome (const char *outcome)
{
  if (g_strcmp0 (outcome, "done") == 0)
    return ATTEMPT_ANSWER_DONE;
  if (g_strcmp0 (outcome, "failed") == 0)
    return ATTEMPT_ANSWER_FAILED;
  if (g_strcmp0 (outcome, "not-run") == 0)
    return ATTEMPT_ANSWER_NOT_RUN;
  if (g_strcmp0 (outcome, "stopped") == 0)
    return ATTEMPT_ANSWER_STOPPED;
  return ATTEMPT_ANSWER_NO_OUTCOME;
}

static gboolean
is_json (const char *text, gsize length)
{
  json_t *value = json_parse (text, length, NULL);

  if (value == NULL)
    return FALSE;
  json_decref (value);
  return TRUE;
}

static void
end_with_answer (struct attempt *attempt, gsize length)
{
  SoupMessageHeaders *headers
      = soup_message_get_response_headers (attempt->message);
  enum attempt_end end = classify_outcome (
      soup_message_headers_get_one (headers, "Task-Outcome"));
  g_autoptr (GBytes) output = NULL;

  if (end == ATTEMPT_ANSWER_DONE && length > attempt->output_limit)
    end = ATTEMPT_ANSWER_TOO_LARGE;
  if (end == ATTEMPT_ANSWER_DONE && !is_json (attempt->buffer, length))
    end = ATTEMPT_ANSWER_MALFORMED;
  if (end == ATTEMPT_ANSWER_DONE)
    output = g_bytes_new (attempt->buffer, length);
  end_attempt (attempt, end, output);
}

static void
on_body_read (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (GInputStream) stream = G_INPUT_STREAM (source);
  struct attempt *attempt = data;
  gsize length = 0;

  if (!g_input_stream_read_all_finish (stream, result, &length, NULL))
    {
      end_attempt (attempt,
                   attempt->was_given_up ? ATTEMPT_TIMED_OUT
                                         : ATTEMPT_DISCONNECTED_IN_ANSWER,
                   NULL);
      return;
    }
  end_with_answer (attempt, length);
}

static void
on_answer_started (GObject *source, GAsyncResult *result, gpointer data)
{
  struct attempt *attempt = data;
  SoupMessageHeaders *headers;
  GInputStream *stream;
  goffset length;

  stream = soup_session_send_finish (SOUP_SESSION (source), result, NULL);
  if (stream == NULL)
    {
      end_attempt (attempt, classify_broken_send (attempt), NULL);
      return;
    }
  headers = soup_message_get_response_headers (attempt->message);
  length = soup_message_headers_get_content_length (headers);
  /* One byte more than the limit, to detect an output that is too large.  */
  attempt->buffer_size = attempt->output_limit + 1;
  if (soup_message_headers_get_encoding (headers)
          == SOUP_ENCODING_CONTENT_LENGTH
      && length < (goffset)attempt->output_limit)
    attempt->buffer_size = (gsize)length + 1;
  attempt->buffer = g_malloc (attempt->buffer_size);
  g_input_stream_read_all_async (stream, attempt->buffer, attempt->buffer_size,
                                 G_PRIORITY_DEFAULT, attempt->cancellable,
                                 on_body_read, attempt);
}

static SoupMessage *
build_message (const struct upstream *upstream, const char *path, GBytes *body)
{
  g_autofree char *uri
      = g_strconcat ("http://", upstream->address, path, NULL);
  SoupMessage *message = soup_message_new (SOUP_METHOD_POST, uri);

  soup_message_add_flags (message, SOUP_MESSAGE_IDEMPOTENT);
  soup_message_set_request_body_from_bytes (message, "application/json", body);
  return message;
}

static SoupMessage *
build_start_message (const struct task *task, const struct service *service)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/tasks/%s/%u", task->job->id, task->index);
  SoupMessage *message = build_message (task->upstream, path, task->input);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  char number[32];

  soup_message_headers_append (headers, "Task-Service", task->job->service);
  g_snprintf (number, sizeof number, "%" G_GUINT64_FORMAT, task->token);
  soup_message_headers_append (headers, "Task-Token", number);
  g_snprintf (number, sizeof number, "%u", service->lease_ms);
  soup_message_headers_append (headers, "Task-Lease-Ms", number);
  soup_message_headers_append (headers, "Task-Idempotent",
                               task->is_idempotent ? "true" : "false");
  return message;
}

void
upstream_client_start (struct upstream_client *client, struct task *task,
                       const struct service *service)
{
  struct attempt *attempt = g_new0 (struct attempt, 1);
  gint64 now_us = clock_now_us ();
  SoupSession *session
      = session_pool_get (client->sessions, task->upstream->address, now_us);

  attempt->client = client;
  attempt->task = task;
  attempt->output_limit = service->max_output_bytes;
  attempt->cancellable = g_cancellable_new ();
  attempt->message = build_start_message (task, service);
  list_append (&client->attempts, &attempt->link);
  attempt->deadline_us = now_us + SEND_TIMEOUT_US;
  list_append (&client->unsent, &attempt->deadline_link);
  task->transport_data = attempt;
  client->counts.starts++;
  metrics_count_label (METRIC_UPSTREAM_MESSAGES, UPSTREAM_MESSAGE_START);
  g_signal_connect (attempt->message, "starting", G_CALLBACK (on_starting),
                    attempt);
  g_signal_connect (attempt->message, "wrote-body", G_CALLBACK (on_wrote_body),
                    attempt);
  soup_session_send_async (session, attempt->message, G_PRIORITY_DEFAULT,
                           attempt->cancellable, on_answer_started, attempt);
}

/* Sets the deadline of ATTEMPT, for which a stop is requested: it is given up
   soon after its lease has expired, unless it has ended before.  */
static void
set_stop_deadline (struct upstream_client *client, struct attempt *attempt)
{
  gint64 now_us = clock_now_us ();

  if (!list_is_empty (&attempt->deadline_link))
    return;
  attempt->deadline_us
      = MAX (attempt->task->lease_deadline_us, now_us) + STOP_GRACE_US;
  list_append (&client->stopping, &attempt->deadline_link);
}

static char *
format_task_id (const struct task *task)
{
  return g_strdup_printf ("%s/%u", task->job->id, task->index);
}

static json_t *
describe_task (const struct task *task)
{
  g_autofree char *id = g_strdup_printf ("%s/%u", task->job->id, task->index);

  return json_pack ("{s:s, s:I}", "task", id, "token",
                    (json_int_t)task->token);
}

static SoupMessage *
build_control_message (const struct upstream *upstream, const char *path,
                       json_t *root)
{
  char *text = json_format (root);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  return build_message (upstream, path, body);
}

/* One renewal in flight, and until when the leases hold if it is answered.  */
struct renewal
{
  struct upstream_client *client;
  struct upstream *upstream;
  gint64 deadline_us;
};

static gboolean
array_has_text (json_t *array, const char *text)
{
  json_t *entry;
  size_t i;

  json_array_foreach (array, i, entry)
  {
    if (g_strcmp0 (json_string_value (entry), text) == 0)
      return TRUE;
  }
  return FALSE;
}

/*
 * Counts for each task how often the upstream has reported that it does not
 * run it.  After one such report the answer of the task may still be on its
 * way.  After MAX_LAPSED_REPORTS of them the connection for that answer counts
 * as dead, and the attempt is given up.
 */
static void
count_lapsed_reports (struct upstream *upstream, json_t *lapsed)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &upstream->running)
    {
      struct task *task = list_entry (node, struct task, upstream_link);
      struct attempt *attempt = task->transport_data;
      g_autofree char *id = format_task_id (task);

      if (attempt == NULL || !array_has_text (lapsed, id))
        continue;
      attempt->n_lapsed_reports++;
      if (attempt->n_lapsed_reports >= MAX_LAPSED_REPORTS)
        give_up (attempt);
    }
}

static void
handle_renewed (struct renewal *renewal, GBytes *body)
{
  struct upstream_client *client = renewal->client;
  json_t *root = json_parse (g_bytes_get_data (body, NULL),
                             g_bytes_get_size (body), NULL);
  json_t *lapsed = json_object_get (root, "lapsed");

  if (json_is_array (lapsed))
    {
      client->owner->ops->leases_renewed (client->owner, renewal->upstream,
                                          renewal->deadline_us);
      if (json_array_size (lapsed) > 0)
        count_lapsed_reports (renewal->upstream, lapsed);
    }
  json_decref (root);
}

static void
on_renewed (GObject *source, GAsyncResult *result, gpointer data)
{
  struct renewal *renewal = data;
  SoupMessage *message
      = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, &error);

  if (body != NULL && soup_message_get_status (message) == SOUP_STATUS_OK)
    handle_renewed (renewal, body);
  upstream_unref (renewal->upstream);
  g_free (renewal);
}

void
upstream_client_renew (struct upstream_client *client,
                       struct upstream *upstream, guint lease_ms)
{
  json_t *tasks = json_array ();
  struct list_node *node;
  struct list_node *after;
  struct renewal *renewal;
  json_t *root;

  list_for_each (node, after, &upstream->running)
    {
      struct task *task = list_entry (node, struct task, upstream_link);

      if (task->job->state == JOB_ACTIVE)
        json_array_append_new (tasks, describe_task (task));
    }
  root = json_pack ("{s:i, s:o}", "lease_ms", (int)lease_ms, "tasks", tasks);
  renewal = g_new0 (struct renewal, 1);
  renewal->client = client;
  renewal->upstream = upstream_ref (upstream);
  renewal->deadline_us = clock_now_us () + lease_ms * USEC_PER_MSEC;
  client->counts.renewals++;
  metrics_count_label (METRIC_UPSTREAM_MESSAGES, UPSTREAM_MESSAGE_RENEW);
  g_autoptr (SoupMessage) message
      = build_control_message (upstream, "/v1/leases", root);
  json_decref (root);
  soup_session_send_and_read_async (client->control_session, message,
                                    G_PRIORITY_DEFAULT, client->shutdown,
                                    on_renewed, renewal);
}

static void
on_stopped (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, NULL);

  /* Nothing to do: the outcome is in the answer to the start.  */
}

static gboolean
send_stops (gpointer data)
{
  struct stop_batch *batch = data;
  struct upstream_client *client = batch->client;
  json_t *root = json_pack ("{s:o}", "tasks", batch->tasks);
  g_autoptr (SoupMessage) message
      = build_control_message (batch->upstream, "/v1/stop", root);

  json_decref (root);
  client->counts.stops++;
  metrics_count_label (METRIC_UPSTREAM_MESSAGES, UPSTREAM_MESSAGE_STOP);
  soup_session_send_and_read_async (client->control_session, message,
                                    G_PRIORITY_DEFAULT, client->shutdown,
                                    on_stopped, NULL);
  batch->upstream->transport_data = NULL;
  upstream_unref (batch->upstream);
  g_free (batch);
  return G_SOURCE_REMOVE;
}

void
upstream_client_stop (struct upstream_client *client, struct task *task)
{
  struct upstream *upstream = task->upstream;
  struct attempt *attempt = task->transport_data;
  struct stop_batch *batch = upstream->transport_data;

  if (attempt == NULL)
    return;
  if (!attempt->is_sending)
    {
      /* The end is reported as ATTEMPT_NOT_SENT from the main loop.  */
      g_cancellable_cancel (attempt->cancellable);
      return;
    }
  set_stop_deadline (client, attempt);
  if (batch == NULL)
    {
      batch = g_new0 (struct stop_batch, 1);
      batch->client = client;
      batch->upstream = upstream_ref (upstream);
      batch->tasks = json_array ();
      batch->source = g_idle_add (send_stops, batch);
      upstream->transport_data = batch;
    }
  json_array_append_new (batch->tasks, describe_task (task));
}

const struct upstream_client_counts *
upstream_client_get_counts (const struct upstream_client *client)
{
  return &client->counts;
}
