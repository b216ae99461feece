#include "t/support/http.h"

#include <string.h>

#define POLL_INTERVAL_MS 5
#define MAX_POLLS 4000

struct http_call
{
  SoupSession *session;
  SoupMessage *msg;
  GCancellable *cancellable;
  struct http_answer *answer; /* NULL until it is finished */
};

void
http_answer_free (struct http_answer *answer)
{
  g_clear_pointer (&answer->headers, soup_message_headers_unref);
  g_clear_error (&answer->error);
  g_free (answer->body);
  g_free (answer);
}

json_t *
http_answer_json (const struct http_answer *answer)
{
  if (answer->body == NULL)
    return NULL;
  return json_loadb (answer->body, answer->length, JSON_DECODE_ANY, NULL);
}

char *
http_url (guint16 port, const char *format, ...)
{
  g_autofree char *path = NULL;
  va_list list;

  va_start (list, format);
  path = g_strdup_vprintf (format, list);
  va_end (list);
  return g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
}

static SoupMessage *
make_message (const char *method, const char *url, const char *body,
              const char *const *headers)
{
  SoupMessage *msg = soup_message_new (method, url);
  SoupMessageHeaders *request_headers;

  g_assert_nonnull (msg);
  request_headers = soup_message_get_request_headers (msg);
  for (; headers != NULL && *headers != NULL; headers += 2)
    soup_message_headers_append (request_headers, headers[0], headers[1]);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (msg, "application/json",
                                                bytes);
    }
  return msg;
}

static struct http_answer *
make_answer (SoupMessage *msg, GBytes *bytes, GError *error)
{
  struct http_answer *answer = g_new0 (struct http_answer, 1);

  answer->error = error;
  if (error != NULL)
    return answer;
  answer->status = soup_message_get_status (msg);
  answer->headers
      = soup_message_headers_ref (soup_message_get_response_headers (msg));
  answer->length = g_bytes_get_size (bytes);
  answer->body = g_malloc0 (answer->length + 1);
  if (answer->length > 0)
    memcpy (answer->body, g_bytes_get_data (bytes, NULL), answer->length);
  return answer;
}

struct http_answer *
http_request (const char *method, const char *url, const char *body,
              const char *const *headers)
{
  g_autoptr (SoupSession) session = soup_session_new ();
  g_autoptr (SoupMessage) msg = make_message (method, url, body, headers);
  g_autoptr (GBytes) bytes = NULL;
  GError *error = NULL;

  bytes = soup_session_send_and_read (session, msg, NULL, &error);
  return make_answer (msg, bytes, error);
}

json_t *
http_get_json (const char *url)
{
  struct http_answer *answer = http_request ("GET", url, NULL, NULL);
  json_t *body = http_answer_json (answer);

  g_assert_no_error (answer->error);
  g_assert_cmpuint (answer->status, ==, 200);
  g_assert_nonnull (body);
  http_answer_free (answer);
  return body;
}

void
http_post (const char *url, const char *body)
{
  struct http_answer *answer = http_request ("POST", url, body, NULL);

  g_assert_no_error (answer->error);
  g_assert_cmpuint (answer->status, ==, 200);
  http_answer_free (answer);
}

static void
on_answer (GObject *session, GAsyncResult *result, gpointer data)
{
  struct http_call *call = data;
  GError *error = NULL;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (
      SOUP_SESSION (session), result, &error);

  call->answer = make_answer (call->msg, bytes, error);
}

struct http_call *
http_begin (const char *method, const char *url, const char *body,
            const char *const *headers)
{
  g_autoptr (SoupSession) session = soup_session_new ();

  return http_begin_in (session, method, url, body, headers);
}

struct http_call *
http_begin_in (SoupSession *session, const char *method, const char *url,
               const char *body, const char *const *headers)
{
  struct http_call *call = g_new0 (struct http_call, 1);

  call->session = g_object_ref (session);
  call->msg = make_message (method, url, body, headers);
  call->cancellable = g_cancellable_new ();
  soup_session_send_and_read_async (call->session, call->msg,
                                    G_PRIORITY_DEFAULT, call->cancellable,
                                    on_answer, call);
  return call;
}

gboolean
http_call_is_finished (const struct http_call *call)
{
  return call->answer != NULL;
}

struct http_answer *
http_finish (struct http_call *call)
{
  struct http_answer *answer;

  while (call->answer == NULL)
    g_main_context_iteration (NULL, TRUE);
  answer = call->answer;
  g_object_unref (call->msg);
  g_object_unref (call->cancellable);
  g_object_unref (call->session);
  g_free (call);
  return answer;
}

void
http_cancel (struct http_call *call)
{
  g_cancellable_cancel (call->cancellable);
}

void
http_abandon (struct http_call *call)
{
  http_cancel (call);
  http_answer_free (http_finish (call));
}

char *
http_raw (guint16 port, const void *bytes, gsize length,
          gboolean stop_after_headers)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketConnection) connection = NULL;
  g_autoptr (GError) error = NULL;
  GString *answer = g_string_new (NULL);
  char buf[4096];
  gssize n;

  connection = g_socket_client_connect_to_host (client, "127.0.0.1", port,
                                                NULL, &error);
  g_assert_no_error (error);
  /* The other side may refuse the bytes before it has read them all.  */
  g_output_stream_write_all (
      g_io_stream_get_output_stream (G_IO_STREAM (connection)), bytes, length,
      NULL, NULL, NULL);
  while ((n = g_input_stream_read (
              g_io_stream_get_input_stream (G_IO_STREAM (connection)), buf,
              sizeof buf, NULL, NULL))
         > 0)
    {
      g_string_append_len (answer, buf, n);
      if (stop_after_headers && strstr (answer->str, "\r\n\r\n") != NULL)
        break;
    }
  return g_string_free (answer, FALSE);
}

/* Reads up to the end of one answer, whose body is JSON.  */
static gboolean
read_one_answer (GInputStream *input)
{
  g_autoptr (GString) answer = g_string_new (NULL);
  char buf[4096];
  gssize n;

  for (;;)
    {
      const char *body = strstr (answer->str, "\r\n\r\n");

      if (body != NULL)
        {
          json_t *value = json_loads (body, JSON_DISABLE_EOF_CHECK, NULL);

          json_decref (value);
          if (value != NULL)
            return TRUE;
        }
      n = g_input_stream_read (input, buf, sizeof buf, NULL, NULL);
      if (n <= 0)
        return FALSE;
      g_string_append_len (answer, buf, n);
    }
}

guint
http_count_on_one_connection (guint16 port, const char *path, guint n)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketConnection) connection = g_socket_client_connect_to_host (
      client, "127.0.0.1", port, NULL, NULL);
  GIOStream *stream = G_IO_STREAM (connection);
  g_autofree char *request
      = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: localhost\r\n\r\n", path);

  for (guint i = 0; i < n; i++)
    {
      g_output_stream_write_all (g_io_stream_get_output_stream (stream),
                                 request, strlen (request), NULL, NULL, NULL);
      if (!read_one_answer (g_io_stream_get_input_stream (stream)))
        return i;
    }
  return n;
}

static gboolean
set_flag (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

static void
run_main_loop_for (guint ms)
{
  gboolean over = FALSE;

  g_timeout_add (ms, set_flag, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

json_t *
http_poll_until (const char *url, http_predicate *predicate, gpointer data)
{
  char *last = NULL;

  for (int i = 0; i < MAX_POLLS; i++)
    {
      struct http_answer *answer = http_request ("GET", url, NULL, NULL);
      json_t *body = http_answer_json (answer);

      http_answer_free (answer);
      if (body != NULL && predicate (body, data))
        {
          free (last);
          return body;
        }
      g_clear_pointer (&last, free);
      last = body == NULL ? NULL : json_dumps (body, JSON_COMPACT);
      json_decref (body);
      run_main_loop_for (POLL_INTERVAL_MS);
    }
  g_error ("%s never showed what the test waits for: %s", url, last);
}

json_t *
json_get (json_t *object, const char *name)
{
  json_t *member = json_object_get (object, name);

  if (member == NULL)
    g_error ("no member %s in %s", name, json_dumps (object, 0));
  return member;
}

gint64
json_get_int (json_t *object, const char *name)
{
  return json_integer_value (json_get (object, name));
}
