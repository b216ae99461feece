#include "transport/caller_server.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "protocol/json_read.h"
#include "transport/caller_forward.h"
#include "transport/client_listener.h"
#include "transport/http_answer.h"
#include "transport/listener.h"
#include "transport/peer_dump.h"

#include <libsoup/soup.h>
#include <string.h>

#define JOBS_PATH "/v1/jobs"

/* The longest body of a request that is not a job.  */
#define OPERATOR_BODY_BYTES 16384

/* How long a connection may stay idle between two requests.  */
#define IDLE_TIMEOUT_MS 75000

struct caller_server
{
  const struct settings *settings;
  struct home *home;
  SoupServer *soup;
  struct client_budget budget;
  struct client_listener *clients;
  GTlsCertificate *certificate; /* NULL for plain HTTP */
  GPtrArray *paths;             /* that have handlers */
  struct forward *forward;      /* NULL when there are no peers */
  guint port;
  GSocket *listener;
  gboolean has_stopped_accepting;
};

/* A caller that waits for its job to finish.  */
struct caller
{
  struct job_waiter waiter;
  struct caller_server *server;
  SoupServerMessage *message;
  gulong finished_handler;
};

static void
set_unknown_path (GError **error)
{
  error_set (error, ERROR_NOT_FOUND,
             "this path does not exist; submit jobs to " JOBS_PATH);
}

static void
handle_unknown_path (SoupServer *soup, SoupServerMessage *message,
                     const char *path, GHashTable *query, gpointer data)
{
  g_autoptr (GError) error = NULL;

  set_unknown_path (&error);
  http_answer_error (message, error);
}

/* The service that JOB names, or NULL when no document in force has it.  */
static struct service *
find_service (struct caller_server *server, const struct job *job)
{
  struct dispatcher *dispatcher = home_get_dispatcher (server->home);
  struct document *document = dispatcher_find_document (dispatcher, job->team);

  return document != NULL ? document_find_service (document, job->service)
                          : NULL;
}

/* Sets Retry-After, and Sunset if the job's service has a shutdown date.  */
static void
set_job_headers (struct caller_server *server, SoupServerMessage *message,
                 const struct job *job)
{
  const struct service *service = find_service (server, job);

  http_answer_set_retry_after (message,
                               job_get_retry_after_s (job, clock_now_us ()));
  if (service != NULL)
    http_answer_set_sunset (message, service->shutdown_unix_ms);
}

static void
answer_job (struct caller_server *server, SoupServerMessage *message,
            const struct job *job)
{
  http_answer_bytes (message, job->answer_status, HTTP_JSON_TYPE, job->answer);
  set_job_headers (server, message, job);
}

static void
caller_free (struct caller *caller)
{
  list_remove (&caller->waiter.link);
  g_signal_handler_disconnect (caller->message, caller->finished_handler);
  g_object_unref (caller->message);
  g_free (caller);
}

static void
answer_waiting_caller (struct job_waiter *waiter, struct job *job)
{
  struct caller *caller = list_entry (waiter, struct caller, waiter);

  answer_job (caller->server, caller->message, job);
  soup_server_message_unpause (caller->message);
  caller_free (caller);
}

static void
on_caller_disconnected (SoupServerMessage *message, gpointer data)
{
  caller_free (data);
}

static void
wait_for_job (struct caller_server *server, SoupServerMessage *message,
              struct job *job)
{
  struct caller *caller = g_new0 (struct caller, 1);

  list_init (&caller->waiter.link);
  caller->waiter.answer = answer_waiting_caller;
  caller->server = server;
  caller->message = g_object_ref (message);
  caller->finished_handler = g_signal_connect (
      message, "finished", G_CALLBACK (on_caller_disconnected), caller);
  soup_server_message_pause (message);
  home_add_waiter (server->home, job, &caller->waiter);
}

static gboolean
prefers_async (SoupServerMessage *message)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);

  return soup_message_headers_header_contains (headers, "Prefer",
                                               "respond-async");
}

static void
answer_accepted (SoupServerMessage *message, const struct job *job)
{
  g_autoptr (GBytes) body = job_format_running (job);
  g_autofree char *location = g_strconcat (JOBS_PATH "/", job->id, NULL);

  http_answer_bytes (message, SOUP_STATUS_ACCEPTED, HTTP_JSON_TYPE, body);
  http_answer_set_header (message, "Location", location);
}

static void
submit_job (struct caller_server *server, SoupServerMessage *message)
{
  g_autoptr (GBytes) body = client_message_take_body (message);
  g_autoptr (GError) error = NULL;
  struct submission *submission = NULL;
  struct job *job = NULL;

  if (json_limit_values (
          g_bytes_get_data (body, NULL), g_bytes_get_size (body),
          client_budget_get_max_values (&server->budget), &error))
    submission = submission_parse (body, clock_now_us (), &error);
  if (submission != NULL && submission->ticket != NULL
      && caller_forward (server->forward, message, PEER_FORWARD_SUBMIT,
                         submission->ticket, prefers_async (message), body))
    {
      submission_free (submission);
      return;
    }
  if (submission != NULL)
    {
      job = home_submit_job (server->home, submission, &error);
      if (job == NULL)
        event_log (EVENT_JOB_REFUSED, "%s", error->message);
    }
  if (job == NULL)
    http_answer_error (message, error);
  if (job == NULL && submission != NULL)
    set_job_headers (server, message, submission->job);
  if (job != NULL && prefers_async (message) && job->state == JOB_ACTIVE)
    answer_accepted (message, job);
  else if (job != NULL)
    wait_for_job (server, message, job);
  if (submission != NULL)
    submission_free (submission);
}

static void
answer_job_state (struct caller_server *server, SoupServerMessage *message,
                  const char *id)
{
  g_autoptr (GError) error = NULL;
  struct job *job;

  if (caller_forward (server->forward, message, PEER_FORWARD_SHOW, id, FALSE,
                      NULL))
    return;
  job = home_find_job (server->home, id, &error);
  if (job == NULL)
    http_answer_error (message, error);
  else if (job->state == JOB_ACTIVE)
    answer_accepted (message, job);
  else
    answer_job (server, message, job);
}

static void
cancel_job (struct caller_server *server, SoupServerMessage *message,
            const char *id)
{
  g_autoptr (GError) error = NULL;
  struct job *job;

  if (caller_forward (server->forward, message, PEER_FORWARD_CANCEL, id, FALSE,
                      NULL))
    return;
  job = home_find_job (server->home, id, &error);
  if (job == NULL)
    {
      http_answer_error (message, error);
      return;
    }
  home_cancel_job (server->home, job);
  answer_job (server, message, job);
}

static void
handle_jobs (SoupServer *soup, SoupServerMessage *message, const char *path,
             GHashTable *query, gpointer data)
{
  struct caller_server *server = data;
  const char *method = soup_server_message_get_method (message);
  const char *id = path + strlen (JOBS_PATH);

  if (*id == '/')
    id++;
  if (*id == '\0' && g_str_equal (method, SOUP_METHOD_POST))
    submit_job (server, message);
  else if (*id == '\0')
    http_answer_refuse_method (message, "POST");
  else if (g_str_equal (method, SOUP_METHOD_GET))
    answer_job_state (server, message, id);
  else if (g_str_equal (method, SOUP_METHOD_DELETE))
    cancel_job (server, message, id);
  else
    http_answer_refuse_method (message, "GET, DELETE");
}

static gboolean
parse_count (GHashTable *query, guint64 *count, GError **error)
{
  const char *text
      = query != NULL ? g_hash_table_lookup (query, "count") : NULL;

  *count = 1;
  if (text == NULL
      || g_ascii_string_to_unsigned (text, 10, 1, MAX_TICKETS, count, NULL))
    return TRUE;
  error_set (error, ERROR_INVALID, "'count' must be from 1 to %d",
             MAX_TICKETS);
  return FALSE;
}

static void
handle_tickets (SoupServer *soup, SoupServerMessage *message, const char *path,
                GHashTable *query, gpointer data)
{
  struct caller_server *server = data;
  g_autoptr (GString) text = g_string_new ("{\"tickets\":[");
  g_autoptr (GBytes) body = NULL;
  g_autoptr (GError) error = NULL;
  guint64 count = 0;

  if (!g_str_equal (soup_server_message_get_method (message),
                    SOUP_METHOD_POST))
    {
      http_answer_refuse_method (message, "POST");
      return;
    }
  if (dispatcher_is_draining (home_get_dispatcher (server->home)))
    error_set (&error, ERROR_DRAINING,
               "this VM is leaving; request tickets from another VM");
  if (error != NULL || !parse_count (query, &count, &error))
    {
      http_answer_error (message, error);
      return;
    }
  for (guint64 i = 0; i < count; i++)
    {
      g_autofree char *ticket = home_issue_ticket (server->home);

      g_string_append_printf (text, "%s\"%s\"", i > 0 ? "," : "", ticket);
    }
  g_string_append (text, "]}\n");
  body = g_bytes_new (text->str, text->len);
  http_answer_bytes (message, SOUP_STATUS_OK, HTTP_JSON_TYPE, body);
}

static void
handle_health (SoupServer *soup, SoupServerMessage *message, const char *path,
               GHashTable *query, gpointer data)
{
  struct caller_server *server = data;
  gboolean is_draining
      = dispatcher_is_draining (home_get_dispatcher (server->home));
  g_autoptr (GBytes) body = NULL;
  const char *text = is_draining ? "{\"status\":\"draining\"}\n"
                                 : "{\"status\":\"serving\"}\n";

  body = g_bytes_new_static (text, strlen (text));
  http_answer_bytes (
      message, is_draining ? SOUP_STATUS_SERVICE_UNAVAILABLE : SOUP_STATUS_OK,
      HTTP_JSON_TYPE, body);
}

static GTlsCertificate *
load_certificate (const struct settings *settings, GError **error)
{
  GTlsCertificate *certificate = g_tls_certificate_new_from_files (
      settings->tls_certificate, settings->tls_key, error);

  if (certificate == NULL)
    g_prefix_error (
        error, "tls: cannot load the certificate %s; correct the settings: ",
        settings->tls_certificate);
  return certificate;
}

void
caller_server_add_handler (struct caller_server *server, const char *path,
                           SoupServerCallback handler, gpointer data)
{
  g_ptr_array_add (server->paths, g_strdup (path));
  soup_server_add_handler (server->soup, path, handler, data, NULL);
}

static void
add_handlers (struct caller_server *server)
{
  soup_server_add_handler (server->soup, NULL, handle_unknown_path, server,
                           NULL);
  caller_server_add_handler (server, JOBS_PATH, handle_jobs, server);
  caller_server_add_handler (server, "/v1/tickets", handle_tickets, server);
  caller_server_add_handler (server, "/v1/health", handle_health, server);
}

/* Whether PATH is PARENT or below it.  */
static gboolean
is_below (const char *path, const char *parent)
{
  gsize length = strlen (parent);

  return strncmp (path, parent, length) == 0
         && (path[length] == '\0' || path[length] == '/');
}

static gboolean
is_served (const struct caller_server *server, const char *path)
{
  for (guint i = 0; i < server->paths->len; i++)
    if (is_below (path, g_ptr_array_index (server->paths, i)))
      return TRUE;
  return FALSE;
}

/* Jobs may have large bodies, operators' requests short ones.  */
static gsize
get_body_limit (gpointer data, SoupServerMessage *message, GError **error)
{
  struct caller_server *server = data;
  const char *path = g_uri_get_path (soup_server_message_get_uri (message));
  const char *method = soup_server_message_get_method (message);

  if (!is_served (server, path))
    {
      set_unknown_path (error);
      return 0;
    }
  if (is_below (path, JOBS_PATH))
    return g_str_equal (method, SOUP_METHOD_POST)
               ? server->settings->max_body_bytes
               : 0;
  return g_str_equal (method, SOUP_METHOD_PUT) ? OPERATOR_BODY_BYTES : 0;
}

static GBytes *
format_error (gpointer data, const GError *error)
{
  return error_format_answer (error, NULL);
}

static const struct client_listener_ops listener_ops = {
  .get_body_limit = get_body_limit,
  .format_error = format_error,
};

/* Sets what clients may use of the machine.  */
static void
divide_machine (struct caller_server *server)
{
  const struct settings *settings = server->settings;
  struct machine_limits limits;

  machine_limits_read (&limits, settings->memory_mb,
                       settings->max_descriptors);
  client_budget_init (&server->budget, &limits, settings->max_connections);
}

struct caller_server *
caller_server_new (const struct settings *settings, struct home *home,
                   GError **error)
{
  g_autoptr (GSocket) socket = listener_open (&settings->listen, error);
  g_autoptr (GTlsCertificate) certificate = NULL;
  struct client_listener_options options = {
    .ops = &listener_ops,
    .class = CLIENT_CALLERS,
    .request_timeout_ms = settings->request_timeout_ms,
    .answer_timeout_ms = CLIENT_ANSWER_TIMEOUT_MS,
    .idle_timeout_ms = IDLE_TIMEOUT_MS,
  };
  struct caller_server *server;

  if (socket == NULL)
    return NULL;
  if (settings->tls_certificate != NULL)
    {
      certificate = load_certificate (settings, error);
      if (certificate == NULL)
        return NULL;
    }
  server = g_new0 (struct caller_server, 1);
  server->settings = settings;
  server->home = home;
  server->listener = g_object_ref (socket);
  server->port = listener_get_port (socket);
  server->paths = g_ptr_array_new_with_free_func (g_free);
  server->certificate = g_steal_pointer (&certificate);
  server->soup = soup_server_new ("server-header", "radishchute", NULL);
  add_handlers (server);
  divide_machine (server);
  options.data = server;
  options.budget = &server->budget;
  options.certificate = server->certificate;
  server->clients = client_listener_new (server->soup, socket, &options);
  return server;
}

void
caller_server_free (struct caller_server *server)
{
  client_listener_free (server->clients);
  g_object_unref (server->soup);
  g_clear_object (&server->certificate);
  g_object_unref (server->listener);
  g_ptr_array_unref (server->paths);
  g_free (server);
}

void
caller_server_set_forward (struct caller_server *server,
                           struct forward *forward)
{
  server->forward = forward;
}

void
caller_server_add_state (struct caller_server *server, json_t *state)
{
  if (server->forward != NULL)
    peer_dump_add (forward_get_hub (server->forward), state);
  json_object_set_new (
      state, "connections",
      json_integer (client_listener_count_open (server->clients)));
}

guint
caller_server_count_requests (const struct caller_server *server)
{
  return client_listener_count_requests (server->clients);
}

void
caller_server_stop_accepting (struct caller_server *server)
{
  if (server->has_stopped_accepting)
    return;
  server->has_stopped_accepting = listener_ignore_connects (server->listener);
}

void
caller_server_set_gauges (const struct caller_server *server)
{
  metrics_set (METRIC_CLIENT_CONNECTIONS,
               client_budget_count (&server->budget));
  metrics_set (METRIC_CLIENT_BYTES, server->budget.n_bytes);
}

guint
caller_server_get_port (const struct caller_server *server)
{
  return server->port;
}
