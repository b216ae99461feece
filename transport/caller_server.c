#include "transport/caller_server.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "protocol/json_read.h"
#include "transport/caller_forward.h"
#include "transport/connection_guard.h"
#include "transport/http_answer.h"
#include "transport/listener.h"
#include "transport/peer_dump.h"

#include <libsoup/soup.h>
#include <string.h>

#define JOBS_PATH "/v1/jobs"

/* How long a connection may stay idle between two requests.  */
#define IDLE_TIMEOUT_MS 75000

struct caller_server
{
  const struct settings *settings;
  struct home *home;
  SoupServer *soup;
  struct connection_guard *guard;
  struct forward *forward; /* NULL when there are no peers */
  guint n_requests;        /* requests being received or answered */
  guint port;
  GSocket *listener;
  gboolean has_stopped_accepting;
};

/* A request whose body is being received.  */
struct upload
{
  struct caller_server *server;
  GByteArray *body;
  gboolean is_rejected; /* the body is too large; the rest is discarded */
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
handle_unknown_path (SoupServer *soup, SoupServerMessage *message,
                     const char *path, GHashTable *query, gpointer data)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_NOT_FOUND,
             "this path does not exist; submit jobs to " JOBS_PATH);
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

static void
upload_free (gpointer data)
{
  struct upload *upload = data;

  g_byte_array_unref (upload->body);
  g_free (upload);
}

static GBytes *
format_too_large_error (const struct caller_server *server)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_TOO_LARGE,
             "the request body exceeds %u bytes; send fewer or smaller tasks",
             server->settings->max_body_bytes);
  return error_format_answer (error, NULL);
}

/*
 * Rejects a request whose body is too large.  Without TLS it is answered at
 * once and its connection is closed.  With TLS the rest of the body is read
 * and discarded, and submit_job () answers.
 */
static void
reject_upload (SoupServerMessage *message, struct upload *upload)
{
  g_autoptr (GBytes) body = format_too_large_error (upload->server);
  g_autofree char *response = g_strdup_printf (
      "HTTP/1.1 413 Content Too Large\r\nContent-Type: " HTTP_JSON_TYPE
      "\r\nContent-Length: %" G_GSIZE_FORMAT
      "\r\nConnection: close\r\n\r\n%.*s",
      g_bytes_get_size (body), (int)g_bytes_get_size (body),
      (const char *)g_bytes_get_data (body, NULL));

  upload->is_rejected = TRUE;
  g_byte_array_set_size (upload->body, 0);
  if (upload->server->settings->tls_certificate == NULL)
    connection_guard_reject (upload->server->guard, message, response);
}

static void
on_got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct upload *upload = data;
  gsize length = g_bytes_get_size (chunk);

  if (upload->is_rejected)
    return;
  if (upload->body->len + length > upload->server->settings->max_body_bytes)
    {
      reject_upload (message, upload);
      return;
    }
  g_byte_array_append (upload->body, g_bytes_get_data (chunk, NULL),
                       (guint)length);
}

static void
on_finished (SoupServerMessage *message, gpointer data)
{
  struct caller_server *server = data;

  server->n_requests--;
}

/* Called when the headers of a request are read: starts to collect the body
   and rejects one that exceeds the limit.  */
static void
begin_upload (SoupServer *soup, SoupServerMessage *message, const char *path,
              GHashTable *query, gpointer data)
{
  struct caller_server *server = data;
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  struct upload *upload = g_new0 (struct upload, 1);

  server->n_requests++;
  g_signal_connect (message, "finished", G_CALLBACK (on_finished), server);
  upload->server = server;
  upload->body = g_byte_array_new ();
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  g_object_set_data_full (G_OBJECT (message), "upload", upload, upload_free);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_got_chunk), upload);
  if (soup_message_headers_get_encoding (headers)
          == SOUP_ENCODING_CONTENT_LENGTH
      && soup_message_headers_get_content_length (headers)
             > server->settings->max_body_bytes)
    reject_upload (message, upload);
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
  struct upload *upload = g_object_get_data (G_OBJECT (message), "upload");
  g_autoptr (GBytes) body
      = g_bytes_new_static (upload->body->data, upload->body->len);
  g_autoptr (GError) error = NULL;
  struct submission *submission = NULL;
  struct job *job = NULL;

  if (upload->is_rejected)
    {
      g_autoptr (GBytes) answer = format_too_large_error (server);

      http_answer_bytes (message, error_kind_http_status (ERROR_TOO_LARGE),
                         HTTP_JSON_TYPE, answer);
      return;
    }
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
  soup_server_add_early_handler (server->soup, path, begin_upload, server,
                                 NULL);
  soup_server_add_handler (server->soup, path, handler, data, NULL);
}

GBytes *
caller_server_get_body (SoupServerMessage *message)
{
  const struct upload *upload
      = g_object_get_data (G_OBJECT (message), "upload");

  return g_bytes_new (upload->body->data, upload->body->len);
}

static void
add_handlers (struct caller_server *server)
{
  caller_server_add_handler (server, "/", handle_unknown_path, server);
  caller_server_add_handler (server, JOBS_PATH, handle_jobs, server);
  caller_server_add_handler (server, "/v1/tickets", handle_tickets, server);
  caller_server_add_handler (server, "/v1/health", handle_health, server);
}

struct caller_server *
caller_server_new (const struct settings *settings, struct home *home,
                   GError **error)
{
  g_autoptr (GSocket) socket = listener_open (&settings->listen, error);
  g_autoptr (GTlsCertificate) certificate = NULL;
  struct caller_server *server;
  struct connection_limits limits = {
    .max_connections = settings->max_connections,
    .request_timeout_ms = settings->request_timeout_ms,
    .idle_timeout_ms = IDLE_TIMEOUT_MS,
  };

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
  server->soup = soup_server_new ("server-header", "radishchute", NULL);
  add_handlers (server);
  soup_server_set_tls_certificate (server->soup, certificate);
  server->guard = connection_guard_new (server->soup, &limits);
  if (!soup_server_listen_socket (
          server->soup, socket,
          certificate != NULL ? SOUP_SERVER_LISTEN_HTTPS : 0, error))
    {
      caller_server_free (server);
      return NULL;
    }
  return server;
}

void
caller_server_free (struct caller_server *server)
{
  soup_server_disconnect (server->soup);
  connection_guard_free (server->guard);
  g_object_unref (server->soup);
  g_object_unref (server->listener);
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
      json_integer (connection_guard_count_open (server->guard)));
}

guint
caller_server_count_requests (const struct caller_server *server)
{
  return server->n_requests;
}

void
caller_server_stop_accepting (struct caller_server *server)
{
  if (server->has_stopped_accepting)
    return;
  server->has_stopped_accepting = listener_ignore_connects (server->listener);
}

guint
caller_server_get_port (const struct caller_server *server)
{
  return server->port;
}
