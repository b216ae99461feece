/*
 * Requests over kept-alive connections: when connections are used again, and
 * that an end is told truly whatever the peer and the connection do.
 */
#include "transport/http_channel.h"

#include "base/clock.h"

#include <gio/gio.h>
#include <string.h>

#define MAX_CONNECTIONS 2
#define MAX_BODY_BYTES 1000
#define SOON_MS 100
#define LATE_MS 20000

#define OK "HTTP/1.1 200 OK\r\n"
#define ANSWER OK "Content-Length: 2\r\n\r\nok"

/* A connection that the peer has accepted.  */
struct accepted
{
  GSocketConnection *connection;
  GSource *source;
  GString *input;
};

/* A peer that gives one answer to everything, and what was told.  */
struct bed
{
  GSocketService *service;
  GPtrArray *accepted;
  guint n_requests;
  GString *last_request;
  guint last_connection; /* index of the one that it came over */
  const char *answer;    /* NULL for none */
  gboolean is_in_pieces; /* byte by byte */
  gboolean closes;       /* after the answer */
  gboolean is_deaf;      /* reads nothing */
  struct http_client *client;
  struct http_channel *channel;
  char *address;
  guint n_told;
  enum http_outcome end;
  guint status;
  char *body;
  struct http_request *cancelled; /* by the next end that is told */
};

static struct bed *bed;

static void
write_answer (struct accepted *accepted)
{
  GSocket *socket = g_socket_connection_get_socket (accepted->connection);
  gsize length = strlen (bed->answer);
  gsize size = bed->is_in_pieces ? 1 : length;

  for (gsize i = 0; i < length; i += size)
    {
      if (g_socket_send (socket, bed->answer + i, size, NULL, NULL) < 0)
        return;
      for (guint turn = 0; bed->is_in_pieces && turn < 3; turn++)
        g_main_context_iteration (NULL, FALSE);
    }
  if (bed->closes)
    g_socket_close (socket, NULL);
}

/* The length of the request at the start of INPUT, 0 when it is not whole.  */
static gsize
measure_request (const GString *input)
{
  const char *end = strstr (input->str, "\r\n\r\n");
  const char *length = strstr (input->str, "Content-Length: ");
  gsize total;

  if (end == NULL)
    return 0;
  g_assert_nonnull (length);
  total = (gsize)(end - input->str) + 4
          + g_ascii_strtoull (strchr (length, ' '), NULL, 10);
  return total <= input->len ? total : 0;
}

static gboolean
on_request (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct accepted *accepted = data;
  char bytes[65536];
  gssize n = g_socket_receive (socket, bytes, sizeof bytes, NULL, NULL);
  gsize length;

  if (n <= 0)
    return G_SOURCE_REMOVE;
  g_string_append_len (accepted->input, bytes, n);
  length = measure_request (accepted->input);
  if (length == 0)
    return G_SOURCE_CONTINUE;
  bed->n_requests++;
  g_ptr_array_find (bed->accepted, accepted, &bed->last_connection);
  g_string_assign (bed->last_request, accepted->input->str);
  g_string_erase (accepted->input, 0, (gssize)length);
  if (bed->answer != NULL)
    write_answer (accepted);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection,
             GObject *source, gpointer data)
{
  struct accepted *accepted = g_new0 (struct accepted, 1);
  GSocket *socket = g_socket_connection_get_socket (connection);

  accepted->connection = g_object_ref (connection);
  accepted->input = g_string_new (NULL);
  g_ptr_array_add (bed->accepted, accepted);
  g_socket_set_blocking (socket, FALSE);
  accepted->source = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (accepted->source, G_SOURCE_FUNC (on_request),
                         accepted, NULL);
  if (!bed->is_deaf)
    g_source_attach (accepted->source, NULL);
  return TRUE;
}

static void
accepted_free (gpointer data)
{
  struct accepted *accepted = data;

  g_source_destroy (accepted->source);
  g_source_unref (accepted->source);
  g_object_unref (accepted->connection);
  g_string_free (accepted->input, TRUE);
  g_free (accepted);
}

static void
open_bed (void)
{
  guint16 port;

  bed = g_new0 (struct bed, 1);
  bed->answer = ANSWER;
  bed->accepted = g_ptr_array_new_with_free_func (accepted_free);
  bed->last_request = g_string_new (NULL);
  bed->service = g_socket_service_new ();
  port = g_socket_listener_add_any_inet_port (G_SOCKET_LISTENER (bed->service),
                                              NULL, NULL);
  g_signal_connect (bed->service, "incoming", G_CALLBACK (on_incoming), NULL);
  bed->address = g_strdup_printf ("127.0.0.1:%u", port);
  bed->client = http_client_new ();
  bed->channel = http_channel_new (bed->client, bed->address, MAX_CONNECTIONS,
                                   MAX_BODY_BYTES);
}

static void
stop_listening (void)
{
  if (bed->service == NULL)
    return;
  g_socket_service_stop (bed->service);
  g_socket_listener_close (G_SOCKET_LISTENER (bed->service));
  g_clear_object (&bed->service);
}

static void
close_bed (void)
{
  g_clear_pointer (&bed->channel, http_channel_unref);
  http_client_free (bed->client);
  g_ptr_array_unref (bed->accepted);
  stop_listening ();
  g_string_free (bed->last_request, TRUE);
  g_free (bed->address);
  g_free (bed->body);
  g_clear_pointer (&bed, g_free);
}

static void
on_ended (enum http_outcome end, guint status, GBytes *body, gpointer data)
{
  struct http_request *cancelled = g_steal_pointer (&bed->cancelled);

  g_assert_cmpint (body != NULL, ==, end == HTTP_ANSWERED);
  bed->n_told++;
  bed->end = end;
  bed->status = status;
  g_free (bed->body);
  bed->body = NULL;
  if (body != NULL)
    bed->body = g_strdup_printf ("%.*s", (int)g_bytes_get_size (body),
                                 (const char *)g_bytes_get_data (body, NULL));
  if (cancelled == NULL)
    return;
  http_request_cancel (cancelled);
  g_clear_pointer (&bed->channel, http_channel_unref);
}

static struct http_request *
post (gint64 timeout_ms)
{
  return http_channel_post (bed->channel, "/act", "Life", "i-1", "{}", 2,
                            clock_now_us () + timeout_ms * USEC_PER_MSEC,
                            on_ended, NULL);
}

static void
wait_until (const guint *count, guint n)
{
  while (*count < n)
    g_main_context_iteration (NULL, TRUE);
}

static gboolean
set_flag (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

static void
pass (guint ms)
{
  gboolean is_over = FALSE;

  g_timeout_add (ms, set_flag, &is_over);
  while (!is_over)
    g_main_context_iteration (NULL, TRUE);
}

/* Posts, waits, and checks how it ends.  */
static void
expect (gint64 timeout_ms, enum http_outcome end)
{
  guint n = bed->n_told;

  post (timeout_ms);
  g_assert_cmpuint (bed->n_told, ==, n);
  wait_until (&bed->n_told, n + 1);
  g_assert_cmpint (bed->end, ==, end);
}

static struct accepted *
get_accepted (guint index)
{
  return g_ptr_array_index (bed->accepted, index);
}

static void
hang_up (guint index)
{
  g_io_stream_close (G_IO_STREAM (get_accepted (index)->connection), NULL,
                     NULL);
}

static void
test_reuse (void)
{
  g_autofree char *wanted = NULL;

  open_bed ();
  for (guint i = 0; i < 20; i++)
    {
      expect (LATE_MS, HTTP_ANSWERED);
      g_assert_cmpuint (bed->status, ==, 200);
      g_assert_cmpstr (bed->body, ==, "ok");
    }
  wanted = g_strdup_printf ("POST /act HTTP/1.1\r\nHost: %s\r\n"
                            "Content-Type: application/json\r\n"
                            "Content-Length: 2\r\nLife: i-1\r\n\r\n{}",
                            bed->address);
  g_assert_cmpstr (bed->last_request->str, ==, wanted);
  g_assert_cmpuint (bed->accepted->len, ==, 1);
  close_bed ();
}

/* Beyond the bound requests wait; the last used connection is used first.  */
static void
test_bound (void)
{
  open_bed ();
  for (guint i = 0; i < 7; i++)
    post (LATE_MS);
  wait_until (&bed->n_told, 7);
  g_assert_cmpuint (bed->accepted->len, ==, MAX_CONNECTIONS);
  for (guint i = 0; i < 5; i++)
    {
      guint last = bed->last_connection;

      expect (LATE_MS, HTTP_ANSWERED);
      g_assert_cmpuint (bed->last_connection, ==, last);
    }
  close_bed ();
}

/* What waits for a connection until its deadline was not sent, and neither was
   what is late already.  */
static void
test_late (void)
{
  open_bed ();
  bed->answer = NULL;
  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    post (LATE_MS);
  wait_until (&bed->n_requests, MAX_CONNECTIONS);
  expect (SOON_MS, HTTP_NOT_SENT);
  expect (0, HTTP_NOT_SENT);
  g_assert_cmpuint (bed->n_requests, ==, MAX_CONNECTIONS);
  /* Those that hang were left, and stand in the way of nothing.  */
  bed->answer = ANSWER;
  expect (LATE_MS, HTTP_ANSWERED);
  g_assert_cmpuint (bed->accepted->len, ==, MAX_CONNECTIONS + 1);
  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    hang_up (i);
  wait_until (&bed->n_told, 3 + MAX_CONNECTIONS);
  g_assert_cmpint (bed->end, ==, HTTP_NO_ANSWER);
  /* The fresh one is kept when those that were left break.  */
  expect (LATE_MS, HTTP_ANSWERED);
  g_assert_cmpuint (bed->accepted->len, ==, MAX_CONNECTIONS + 1);
  close_bed ();
}

static void
test_closed_while_idle (void)
{
  open_bed ();
  expect (LATE_MS, HTTP_ANSWERED);
  hang_up (0);
  pass (20);
  expect (LATE_MS, HTTP_ANSWERED);
  g_assert_cmpuint (bed->accepted->len, ==, 2);
  /* The loop has had no turn since.  */
  hang_up (1);
  g_usleep (600 * 1000);
  expect (LATE_MS, HTTP_ANSWERED);
  g_assert_cmpuint (bed->accepted->len, ==, 3);
  /* Nor was there time to look: it may have been read, and is not repeated. */
  hang_up (2);
  expect (LATE_MS, HTTP_NO_ANSWER);
  g_assert_cmpuint (bed->n_requests, ==, 3);
  close_bed ();
}

static void
test_refused (void)
{
  open_bed ();
  stop_listening ();
  expect (LATE_MS, HTTP_NOT_SENT);
  g_clear_pointer (&bed->channel, http_channel_unref);
  bed->channel = http_channel_new (bed->client, "nowhere", 1, 1);
  expect (LATE_MS, HTTP_NOT_SENT);
  close_bed ();
}

/* Nothing of a value can become a header or a request of its own.  */
static void
test_header_value (void)
{
  open_bed ();
  http_channel_post (bed->channel, "/act", "Life", "i-1\r\nA: b", "{}", 2,
                     DEADLINE_NEVER, on_ended, NULL);
  wait_until (&bed->n_told, 1);
  g_assert_cmpint (bed->end, ==, HTTP_NOT_SENT);
  g_assert_cmpuint (bed->accepted->len, ==, 0);
  close_bed ();
}

/* After a deadline has passed, nothing that its connection brings is taken. */
static void
test_timeout (void)
{
  open_bed ();
  bed->answer = NULL;
  expect (SOON_MS, HTTP_NO_ANSWER);
  bed->answer = ANSWER;
  write_answer (get_accepted (0));
  bed->answer = OK "Content-Length: 5\r\n\r\nother";
  expect (LATE_MS, HTTP_ANSWERED);
  g_assert_cmpstr (bed->body, ==, "other");
  g_assert_cmpuint (bed->accepted->len, ==, 2);
  close_bed ();
}

/* One that is answered after another was silent ends as it would have, but its
   connection is not used again.  */
static void
test_others_in_flight (void)
{
  open_bed ();
  bed->answer = NULL;
  post (LATE_MS);
  wait_until (&bed->n_requests, 1);
  expect (SOON_MS, HTTP_NO_ANSWER);
  bed->answer = ANSWER;
  write_answer (get_accepted (0));
  wait_until (&bed->n_told, 2);
  g_assert_cmpint (bed->end, ==, HTTP_ANSWERED);
  expect (LATE_MS, HTTP_ANSWERED);
  g_assert_cmpuint (bed->accepted->len, ==, 3);
  close_bed ();
}

struct reply
{
  const char *text;
  gboolean closes;
  const char *body; /* NULL when it is told as silent */
  gboolean is_kept;
};

static const struct reply replies[] = {
  { ANSWER, FALSE, "ok", TRUE },
  { OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    FALSE, "abc", TRUE },
  { "HTTP/1.1 100 Continue\r\n\r\n" ANSWER, FALSE, "ok", TRUE },
  { "HTTP/1.1 204 No Content\r\n\r\n", FALSE, "", TRUE },
  { OK "\r\nuntil the end", TRUE, "until the end", FALSE },
  { OK "Connection: close\r\nContent-Length: 1\r\n\r\na", FALSE, "a", FALSE },
  { ANSWER, TRUE, "ok", FALSE },
  { "", TRUE, NULL, FALSE },
  { OK "Content-Length: 3\r\n\r\nab", TRUE, NULL, FALSE },
  { OK "Content-Length: 3\r\n\r\nab", FALSE, NULL, FALSE },
  { OK "Content-Le", TRUE, NULL, FALSE },
  { OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", TRUE, NULL, FALSE },
  { "SSH-2.0-x\r\n", FALSE, NULL, FALSE },
  { OK "Content-Length: 1001\r\n\r\n", FALSE, NULL, FALSE },
};

static void
test_replies (void)
{
  for (gsize i = 0; i < 2 * G_N_ELEMENTS (replies); i++)
    {
      const struct reply *reply = &replies[i / 2];

      open_bed ();
      bed->answer = reply->text;
      bed->closes = reply->closes;
      bed->is_in_pieces = i % 2 == 1;
      expect (3 * SOON_MS,
              reply->body != NULL ? HTTP_ANSWERED : HTTP_NO_ANSWER);
      g_assert_cmpstr (bed->body, ==, reply->body);
      pass (20);
      bed->answer = ANSWER;
      bed->is_in_pieces = FALSE;
      expect (LATE_MS, HTTP_ANSWERED);
      g_assert_cmpuint (bed->accepted->len, ==, reply->is_kept ? 1 : 2);
      close_bed ();
    }
}

/* Header lines without an end.  */
static void
test_oversized (void)
{
  g_autofree char *filler = g_strnfill (20000, 'a');
  g_autofree char *head = g_strconcat (OK "A: ", filler, NULL);
  g_autofree char *body = g_strconcat (OK "\r\n", filler, NULL);

  open_bed ();
  bed->answer = head;
  expect (LATE_MS, HTTP_NO_ANSWER);
  bed->answer = body;
  expect (LATE_MS, HTTP_NO_ANSWER);
  bed->answer = ANSWER "more";
  expect (LATE_MS, HTTP_ANSWERED);
  bed->answer = ANSWER;
  expect (LATE_MS, HTTP_ANSWERED);
  g_assert_cmpuint (bed->accepted->len, ==, 4);
  close_bed ();
}

#define LARGE_BYTES (16 * 1024 * 1024)

static void
post_large (gint64 timeout_ms)
{
  g_autofree char *body = g_strnfill (LARGE_BYTES, 'x');

  http_channel_post (bed->channel, "/act", "Life", "i-1", body, LARGE_BYTES,
                     clock_now_us () + timeout_ms * USEC_PER_MSEC, on_ended,
                     NULL);
}

/* More than the kernel takes at once; half of it may be enough to act on.  */
static void
test_large (void)
{
  open_bed ();
  post_large (LATE_MS);
  wait_until (&bed->n_told, 1);
  g_assert_cmpint (bed->end, ==, HTTP_ANSWERED);
  expect (LATE_MS, HTTP_ANSWERED);
  g_assert_cmpuint (bed->accepted->len, ==, 1);
  bed->is_deaf = TRUE;
  bed->answer = NULL;
  post (LATE_MS);
  post_large (5 * SOON_MS);
  wait_until (&bed->n_told, 3);
  g_assert_cmpint (bed->end, ==, HTTP_NO_ANSWER);
  hang_up (0);
  wait_until (&bed->n_told, 4);
  close_bed ();
}

/* From inside a callback another request is cancelled, which hangs, and the
   channel given up.  */
static void
test_cancel_when_answered (void)
{
  open_bed ();
  bed->answer = NULL;
  bed->cancelled = post (2 * SOON_MS);
  wait_until (&bed->n_requests, 1);
  bed->answer = ANSWER;
  expect (LATE_MS, HTTP_ANSWERED);
  pass (3 * SOON_MS);
  g_assert_cmpuint (bed->n_told, ==, 1);
  close_bed ();
}

/* The same with one whose deadline has passed as well.  */
static void
test_cancel_when_late (void)
{
  open_bed ();
  bed->answer = NULL;
  post (SOON_MS);
  bed->cancelled = post (SOON_MS);
  wait_until (&bed->n_requests, 2);
  g_usleep (2 * SOON_MS * 1000);
  wait_until (&bed->n_told, 1);
  pass (SOON_MS);
  g_assert_cmpuint (bed->n_told, ==, 1);
  close_bed ();
}

/* Requests end as they would have when their channel is given up.  */
static void
test_unref (void)
{
  open_bed ();
  for (guint i = 0; i < 5; i++)
    post (LATE_MS);
  g_clear_pointer (&bed->channel, http_channel_unref);
  wait_until (&bed->n_told, 5);
  g_assert_cmpint (bed->end, ==, HTTP_ANSWERED);
  close_bed ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-channel/reuse", test_reuse);
  g_test_add_func ("/http-channel/bound", test_bound);
  g_test_add_func ("/http-channel/late", test_late);
  g_test_add_func ("/http-channel/closed-while-idle", test_closed_while_idle);
  g_test_add_func ("/http-channel/refused", test_refused);
  g_test_add_func ("/http-channel/header-value", test_header_value);
  g_test_add_func ("/http-channel/timeout", test_timeout);
  g_test_add_func ("/http-channel/others-in-flight", test_others_in_flight);
  g_test_add_func ("/http-channel/replies", test_replies);
  g_test_add_func ("/http-channel/oversized", test_oversized);
  g_test_add_func ("/http-channel/large", test_large);
  g_test_add_func ("/http-channel/cancel-when-answered",
                   test_cancel_when_answered);
  g_test_add_func ("/http-channel/cancel-when-late", test_cancel_when_late);
  g_test_add_func ("/http-channel/unref", test_unref);
  return g_test_run ();
}
