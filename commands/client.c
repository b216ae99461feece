#include "commands/client.h"

#include "base/clock.h"

#include <libsoup/soup.h>
#include <string.h>

/* A larger response is rejected after it has been received.  */
#define MAX_RESPONSE_BYTES (256 * 1024 * 1024)

struct client
{
  SoupSession *session;
  char *authorization; /* NULL without a token */
};

/* A call in progress.  */
struct call
{
  GMainContext *context; /* not owned */
  GCancellable *cancellable;
  SoupMessage *message;
  GBytes *body;
  GError *error;
  gboolean is_connected; /* the request may have been sent */
  gboolean is_timed_out; /* the deadline has passed */
  gboolean is_finished;
};

struct client *
client_new (const char *token)
{
  struct client *client = g_new0 (struct client, 1);

  client->session
      = soup_session_new_with_options ("user-agent", "radishchute", NULL);
  if (token != NULL)
    client->authorization = g_strconcat ("Bearer ", token, NULL);
  return client;
}

void
client_free (struct client *client)
{
  g_object_unref (client->session);
  g_free (client->authorization);
  g_free (client);
}

static char *
build_uri (const struct client_request *request)
{
  if (g_str_has_prefix (request->address, "http://")
      || g_str_has_prefix (request->address, "https://"))
    return g_strconcat (request->address, request->path, NULL);
  return g_strconcat ("http://", request->address, request->path, NULL);
}

static SoupMessage *
build_message (struct client *client, const struct client_request *request,
               GError **error)
{
  g_autofree char *uri = build_uri (request);
  SoupMessage *message = soup_message_new (request->method, uri);
  SoupMessageHeaders *headers;

  if (message == NULL)
    {
      error_set (error, ERROR_INVALID,
                 "'%s' is not a valid address; use IP:PORT, such as "
                 "127.0.0.1:8080",
                 request->address);
      return NULL;
    }
  headers = soup_message_get_request_headers (message);
  if (client->authorization != NULL)
    soup_message_headers_append (headers, "Authorization",
                                 client->authorization);
  if (request->prefer != NULL)
    soup_message_headers_append (headers, "Prefer", request->prefer);
  if (request->body != NULL)
    {
      g_autoptr (GBytes) body
          = g_bytes_new (request->body, strlen (request->body));

      soup_message_set_request_body_from_bytes (message, "application/json",
                                                body);
    }
  if (request->bytes != NULL)
    soup_message_set_request_body_from_bytes (
        message, "application/octet-stream", request->bytes);
  return message;
}

/* Handles the signal "starting", which libsoup emits when it has a connection
   and is about to send the request.  */
static void
on_starting (SoupMessage *message, gpointer data)
{
  struct call *call = data;

  call->is_connected = TRUE;
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;

  call->body = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                  result, &call->error);
  call->is_finished = TRUE;
}

static gboolean
on_deadline (gpointer data)
{
  struct call *call = data;

  call->is_timed_out = TRUE;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

static GSource *
start_deadline_timer (struct call *call, gint64 deadline_us)
{
  gint64 remaining_us = MAX (deadline_us - clock_now_us (), 0);
  gint64 remaining_ms
      = MIN (remaining_us / USEC_PER_MSEC + 1, (gint64)G_MAXINT);
  GSource *source = g_timeout_source_new ((guint)remaining_ms);

  g_source_set_callback (source, on_deadline, call, NULL);
  g_source_attach (source, call->context);
  return source;
}

static void
set_call_error (const struct call *call, const struct client_request *request,
                GError **error)
{
  const char *reason = call->is_timed_out ? "no response before the deadline"
                                          : call->error->message;

  if (!call->is_connected)
    error_set (error, ERROR_NOT_RUN,
               "cannot connect to %s (%s); check the address and that the "
               "process is running",
               request->address, reason);
  else
    error_set (error, ERROR_UNAVAILABLE,
               "%s sent no complete response to %s %s (%s); the request may "
               "have taken effect",
               request->address, request->method, request->path, reason);
}

/* Returns the header Retry-After in milliseconds, or 0 when it is absent or is
   not a number of seconds.  */
static guint
read_retry_after (SoupMessage *message)
{
  const char *text = soup_message_headers_get_one (
      soup_message_get_response_headers (message), "Retry-After");
  guint64 seconds = 0;

  if (text == NULL
      || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT / 1000, &seconds,
                                      NULL))
    return 0;
  return (guint)seconds * 1000;
}

static struct client_response *
new_response (SoupMessage *message, GBytes *body)
{
  struct client_response *response = g_new0 (struct client_response, 1);
  const char *bytes = g_bytes_get_data (body, &response->length);

  response->status = soup_message_get_status (message);
  response->text = g_malloc (response->length + 1);
  if (response->length > 0)
    memcpy (response->text, bytes, response->length);
  response->text[response->length] = '\0';
  response->json
      = json_loadb (response->text, response->length, JSON_DECODE_ANY, NULL);
  response->retry_after_ms = read_retry_after (message);
  return response;
}

static void
run_call (struct client *client, struct call *call, gint64 deadline_us)
{
  GSource *deadline = start_deadline_timer (call, deadline_us);

  g_signal_connect (call->message, "starting", G_CALLBACK (on_starting), call);
  soup_session_send_and_read_async (client->session, call->message,
                                    G_PRIORITY_DEFAULT, call->cancellable,
                                    on_response, call);
  while (!call->is_finished)
    g_main_context_iteration (call->context, TRUE);
  g_source_destroy (deadline);
  g_source_unref (deadline);
}

struct client_response *
client_call (struct client *client, const struct client_request *request,
             GError **error)
{
  struct call call = { .context = g_main_context_default () };
  struct client_response *response = NULL;

  call.message = build_message (client, request, error);
  if (call.message == NULL)
    return NULL;
  call.cancellable = g_cancellable_new ();
  run_call (client, &call, request->deadline_us);
  if (call.body == NULL)
    set_call_error (&call, request, error);
  else if (g_bytes_get_size (call.body) > MAX_RESPONSE_BYTES)
    error_set (error, ERROR_TOO_LARGE, "the response is larger than %d bytes",
               MAX_RESPONSE_BYTES);
  else
    response = new_response (call.message, call.body);
  g_clear_pointer (&call.body, g_bytes_unref);
  g_clear_error (&call.error);
  g_object_unref (call.cancellable);
  g_object_unref (call.message);
  return response;
}

void
client_response_free (struct client_response *response)
{
  json_decref (response->json);
  g_free (response->text);
  g_free (response);
}

gboolean
client_response_check (const struct client_response *response, GError **error)
{
  json_t *detail = json_object_get (response->json, "error");
  const char *kind_name = json_string_value (json_object_get (detail, "kind"));
  const char *message
      = json_string_value (json_object_get (detail, "message"));
  int kind = error_kind_from_name (kind_name);

  if (response->status >= 200 && response->status < 300)
    return TRUE;
  if (kind < 0)
    error_set (error, ERROR_UNAVAILABLE,
               "HTTP status %u without a known error kind; check that the "
               "address is that of an entry VM",
               response->status);
  else
    error_set (error, (enum error_kind)kind, "%s",
               message != NULL ? message : kind_name);
  return FALSE;
}

json_t *
client_fetch_json (struct client *client, const struct client_request *request,
                   GError **error)
{
  struct client_response *response = client_call (client, request, error);
  json_t *json = NULL;

  if (response == NULL)
    return NULL;
  if (client_response_check (response, error))
    {
      json = json_incref (response->json);
      if (json == NULL)
        error_set (error, ERROR_UNAVAILABLE,
                   "the response of %s to %s is not JSON; check that the "
                   "address is that of an entry VM",
                   request->address, request->path);
    }
  client_response_free (response);
  return json;
}
