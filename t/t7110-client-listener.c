/*
 * What a client that exceeds a limit is answered, and that its request is
 * never handled.
 */
#include "base/error.h"
#include "base/metrics.h"
#include "protocol/job_json.h"
#include "transport/client_listener.h"
#include "transport/listener.h"

#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define BODY_LIMIT 1000
#define MACHINE_BYTES (4 * 1024 * 1024)
#define DESCRIPTORS 64
#define MAX_ANSWER 4096
#define LONG_ANSWER (8 * 1024 * 1024)

/* Half of the clients' memory.  */
#define HALF_ANSWER (MACHINE_BYTES / 4)
#define SLOW_READ_INTERVAL_US 20000
struct bed
{
  struct client_budget budget;
  SoupServer *soup;
  struct client_listener *listener;
  guint16 port;
  guint n_handled;
  gsize n_received;           /* bytes of the last body */
  SoupServerMessage *waiting; /* the last request of /wait */
};

static void
set_answer (SoupServerMessage *message, gsize length)
{
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_TAKE,
                                    g_strnfill (length, 'x'), length);
}

static void
on_request (SoupServer *soup, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct bed *bed = data;
  g_autoptr (GBytes) body = client_message_take_body (message);

  bed->n_handled++;
  bed->n_received = g_bytes_get_size (body);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  if (g_str_equal (path, "/wait"))
    {
      soup_server_message_pause (message);
      g_clear_object (&bed->waiting);
      bed->waiting = g_object_ref (message);
    }
  if (g_str_equal (path, "/long"))
    set_answer (message, LONG_ANSWER);
  if (g_str_equal (path, "/half"))
    set_answer (message, HALF_ANSWER);
}

static gsize
get_body_limit (gpointer data, SoupServerMessage *message, GError **error)
{
  const char *path = g_uri_get_path (soup_server_message_get_uri (message));

  if (g_str_equal (path, "/none"))
    error_set (error, ERROR_NOT_FOUND, "no such path");
  if (g_str_equal (path, "/large"))
    return MACHINE_BYTES;
  return g_str_equal (path, "/job") || g_str_equal (path, "/wait") ? BODY_LIMIT
                                                                   : 0;
}

static GBytes *
format_error (gpointer data, const GError *error)
{
  return error_format_answer (error, NULL);
}

static const struct client_listener_ops ops = { get_body_limit, format_error };

static struct bed *
start (guint max_callers)
{
  const struct machine_limits limits = { MACHINE_BYTES, DESCRIPTORS };
  const struct endpoint endpoint = { .ip = (char[]){ "127.0.0.1" } };
  struct bed *bed = g_new0 (struct bed, 1);
  struct client_listener_options options = {
    .ops = &ops,
    .budget = &bed->budget,
    .class = CLIENT_CALLERS,
    .request_timeout_ms = 300,
    .answer_timeout_ms = 300,
    .idle_timeout_ms = 60000,
  };
  g_autoptr (GSocket) socket = listener_open (&endpoint, NULL);

  client_budget_init (&bed->budget, &limits, max_callers);
  bed->soup = soup_server_new (NULL, NULL);
  soup_server_add_handler (bed->soup, NULL, on_request, bed, NULL);
  bed->port = (guint16)listener_get_port (socket);
  bed->listener = client_listener_new (bed->soup, socket, &options);
  return bed;
}

static void
wait_until_open (struct bed *bed, guint n)
{
  while (client_listener_count_open (bed->listener) != n)
    g_main_context_iteration (NULL, TRUE);
}

static void
stop (struct bed *bed)
{
  wait_until_open (bed, 0);
  g_assert_cmpuint (bed->budget.n_bytes, ==, 0);
  g_assert_cmpuint (client_listener_count_requests (bed->listener), ==, 0);
  client_listener_free (bed->listener);
  g_object_unref (bed->soup);
  g_free (bed);
}

static GSocket *
connect_client (const struct bed *bed)
{
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string ("127.0.0.1", bed->port);
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);

  g_assert_true (g_socket_connect (socket, address, NULL, NULL));
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static void
send_text (GSocket *socket, const char *text)
{
  gsize length = strlen (text);

  while (length > 0)
    {
      gssize n = g_socket_send (socket, text, length, NULL, NULL);

      if (n > 0)
        {
          text += n;
          length -= (gsize)n;
        }
      g_main_context_iteration (NULL, FALSE);
    }
}

/* Whether the connection has ended.  Adds what was received to ANSWER.  */
static gboolean
receive (GSocket *socket, GString *answer)
{
  char buffer[MAX_ANSWER];
  g_autoptr (GError) error = NULL;
  gssize n = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);

  if (n > 0)
    g_string_append_len (answer, buffer, n);
  return n == 0
         || (n < 0
             && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK));
}

/* Runs the server until it has closed the connection.  */
static char *
read_to_end (GSocket *socket)
{
  GString *answer = g_string_new (NULL);

  while (!receive (socket, answer))
    g_main_context_iteration (NULL, FALSE);
  return g_string_free (answer, FALSE);
}

/* Sends TEXT and returns all that comes back until the connection ends.  */
static char *
exchange (struct bed *bed, const char *text)
{
  g_autoptr (GSocket) socket = connect_client (bed);

  send_text (socket, text);
  return read_to_end (socket);
}

static void
assert_refused (struct bed *bed, const char *text, const char *status,
                enum client_limit limit)
{
  guint64 before = metrics_get (METRIC_CLIENTS_LIMITED, limit);
  g_autofree char *answer = exchange (bed, text);

  g_assert_true (g_str_has_prefix (answer, status));
  g_assert_cmpuint (bed->n_handled, ==, 0);
  if (limit != CLIENT_LIMIT_COUNT)
    g_assert_cmpuint (metrics_get (METRIC_CLIENTS_LIMITED, limit), ==,
                      before + 1);
}

/* The body is complete when the refusal is decided: it must not be handled
   after the client was told that nothing was run.  */
static void
test_refused_is_never_handled (void)
{
  struct bed *bed = start (10);
  g_autofree char *body = g_strnfill (BODY_LIMIT + 1, ' ');
  g_autofree char *whole = g_strdup_printf ("POST /job HTTP/1.1\r\nHost: a\r\n"
                                            "Content-Length: %d\r\n\r\n%s",
                                            BODY_LIMIT + 1, body);
  g_autofree char *chunked
      = g_strdup_printf ("POST /job HTTP/1.1\r\nHost: a\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n"
                         "0\r\n\r\n",
                         BODY_LIMIT + 1, body);

  assert_refused (bed, whole, "HTTP/1.1 413 ", CLIENT_LIMIT_BODY);
  assert_refused (bed, chunked, "HTTP/1.1 413 ", CLIENT_LIMIT_BODY);
  stop (bed);
}

/* Refused from the header: the client sends no body at all.  */
static void
test_refused_from_header (void)
{
  struct bed *bed = start (10);

  assert_refused (bed,
                  "POST /job HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 1001\r\n\r\n",
                  "HTTP/1.1 413 ", CLIENT_LIMIT_BODY);
  assert_refused (bed,
                  "POST /none HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 1\r\n\r\n",
                  "HTTP/1.1 404 ", CLIENT_LIMIT_COUNT);
  assert_refused (bed,
                  "GET /other HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 100000\r\n\r\n",
                  "HTTP/1.1 413 ", CLIENT_LIMIT_BODY);
  stop (bed);
}

static void
test_header (void)
{
  struct bed *bed = start (10);
  g_autoptr (GString) fields = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\n");
  g_autofree char *value = g_strnfill (CLIENT_HEADER_BYTES * 2, 'x');
  g_autofree char *endless
      = g_strdup_printf ("GET / HTTP/1.1\r\nHost: %s", value);

  for (guint i = 0; i < CLIENT_MAX_FIELDS; i++)
    g_string_append_printf (fields, "a%u: b\r\n", i);
  g_string_append (fields, "\r\n");
  assert_refused (bed, fields->str, "HTTP/1.1 431 ", CLIENT_LIMIT_HEADER);
  assert_refused (bed, endless, "HTTP/1.1 431 ", CLIENT_LIMIT_HEADER);
  stop (bed);
}

/* The limits hold for the second request of a connection too: the server
   learns of it only when its header is complete.  */
static void
test_second_header (void)
{
  static const char first[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  struct bed *bed = start (10);
  g_autofree char *value = g_strnfill (CLIENT_HEADER_BYTES, 'x');
  g_autofree char *second
      = g_strdup_printf ("GET / HTTP/1.1\r\nHost: %s\r\n\r\n", value);
  g_autoptr (GSocket) client = connect_client (bed);
  g_autofree char *answers = NULL;

  send_text (client, first);
  while (bed->n_handled < 1)
    g_main_context_iteration (NULL, TRUE);
  send_text (client, second);
  answers = read_to_end (client);
  g_assert_nonnull (strstr (answers, "HTTP/1.1 431 "));
  g_assert_cmpuint (bed->n_handled, ==, 1);
  stop (bed);
}

/* Half a request is not waited for forever.  */
static void
test_time (void)
{
  struct bed *bed = start (10);

  assert_refused (bed, "POST /job HTTP/1.1\r\nHo", "", CLIENT_LIMIT_TIME);
  stop (bed);
}

/* A client that leaves its answer unread is disconnected; one that reads it
   gets all of it.  */
static void
test_unread_answer (void)
{
  struct bed *bed = start (10);
  guint64 before = metrics_get (METRIC_CLIENTS_LIMITED, CLIENT_LIMIT_TIME);
  g_autoptr (GSocket) client = connect_client (bed);
  g_autofree char *answer = NULL;

  send_text (client, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
  while (metrics_get (METRIC_CLIENTS_LIMITED, CLIENT_LIMIT_TIME) == before)
    g_main_context_iteration (NULL, TRUE);
  wait_until_open (bed, 0);
  answer = read_to_end (client);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 200 "));
  g_assert_cmpuint (strlen (answer), <, LONG_ANSWER);
  g_clear_pointer (&answer, g_free);
  answer = exchange (bed, "GET /long HTTP/1.1\r\nHost: a\r\n"
                          "Connection: close\r\n\r\n");
  g_assert_cmpuint (strlen (answer), >, LONG_ANSWER);
  stop (bed);
}

/* Answers that are left unread together must not take more than the clients'
   memory: all but the first are given up.  */
static void
test_unread_answers (void)
{
  struct bed *bed = start (10);
  guint64 before = metrics_get (METRIC_CLIENTS_LIMITED, CLIENT_LIMIT_MEMORY);
  GSocket *sockets[4];
  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    sockets[i] = connect_client (bed);
  wait_until_open (bed, G_N_ELEMENTS (sockets));
  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    send_text (sockets[i], "GET /half HTTP/1.1\r\nHost: a\r\n\r\n");
  while (bed->n_handled < G_N_ELEMENTS (sockets))
    g_main_context_iteration (NULL, TRUE);
  wait_until_open (bed, 1);
  g_assert_cmpuint (metrics_get (METRIC_CLIENTS_LIMITED, CLIENT_LIMIT_MEMORY),
                    ==, before + G_N_ELEMENTS (sockets) - 1);
  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    g_object_unref (sockets[i]);
  stop (bed);
}

/* Whether an ordinary request is answered; a connection without room is closed
   at once.  */
static gboolean
is_served (struct bed *bed)
{
  g_autofree char *answer = exchange (
      bed, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");

  return g_str_has_prefix (answer, "HTTP/1.1 200 ");
}

/* A client that reads its answer a few bytes at a time is never late, and must
   not keep its connection from others.  */
static void
test_slow_reader_gives_way (void)
{
  struct bed *bed = start (1);
  g_autoptr (GSocket) slow = connect_client (bed);
  g_autoptr (GString) answer = g_string_new (NULL);

  send_text (slow, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
  while (bed->n_handled == 0)
    g_main_context_iteration (NULL, TRUE);
  while (!is_served (bed))
    {
      g_usleep (SLOW_READ_INTERVAL_US);
      receive (slow, answer);
    }
  while (!receive (slow, answer))
    g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (answer->len, <, LONG_ANSWER);
  stop (bed);
}

/* The server keeps the body of a request that it answers later.  */
static void
test_kept_body_is_charged (void)
{
  struct bed *bed = start (10);
  g_autofree char *body = g_strnfill (BODY_LIMIT, ' ');
  g_autofree char *text = g_strdup_printf ("POST /wait HTTP/1.1\r\nHost: a\r\n"
                                           "Connection: close\r\n"
                                           "Content-Length: %d\r\n\r\n%s",
                                           BODY_LIMIT, body);
  g_autoptr (GSocket) client = connect_client (bed);
  g_autofree char *answer = NULL;
  gsize before;

  wait_until_open (bed, 1);
  before = bed->budget.n_bytes;
  send_text (client, text);
  while (bed->waiting == NULL)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (bed->budget.n_bytes, ==, before + BODY_LIMIT);
  soup_server_message_unpause (bed->waiting);
  g_clear_object (&bed->waiting);
  answer = read_to_end (client);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 200 "));
  stop (bed);
}

/* Bodies within the limits arrive whole, in any form.  */
static void
test_bodies (void)
{
  struct bed *bed = start (10);
  g_autofree char *body = g_strnfill (BODY_LIMIT, ' ');
  g_autofree char *whole = g_strdup_printf ("POST /job HTTP/1.1\r\nHost: a\r\n"
                                            "Connection: close\r\n"
                                            "Content-Length: %d\r\n\r\n%s",
                                            BODY_LIMIT, body);
  g_autoptr (GString) chunked
      = g_string_new ("POST /job HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
  g_autofree char *first = exchange (bed, whole);
  g_autofree char *second = NULL;

  g_assert_true (g_str_has_prefix (first, "HTTP/1.1 200 "));
  g_assert_cmpuint (bed->n_received, ==, BODY_LIMIT);
  for (guint i = 0; i < BODY_LIMIT; i++)
    g_string_append (chunked, "1\r\n \r\n");
  g_string_append (chunked, "0\r\n\r\n");
  second = exchange (bed, chunked->str);
  g_assert_true (g_str_has_prefix (second, "HTTP/1.1 200 "));
  g_assert_cmpuint (bed->n_received, ==, BODY_LIMIT);
  g_assert_cmpuint (bed->n_handled, ==, 2);
  stop (bed);
}

/* The limit of a path holds for its escaped form.  */
static void
test_escaped_path (void)
{
  struct bed *bed = start (10);
  g_autofree char *answer
      = exchange (bed, "POST /%6aob HTTP/1.1\r\nHost: a\r\n"
                       "Connection: close\r\nContent-Length: 2\r\n\r\n{}");

  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 200 "));
  g_assert_cmpuint (bed->n_received, ==, 2);
  stop (bed);
}

static void
set_max_descriptors (rlim_t n)
{
  struct rlimit limit;

  g_assert_cmpint (getrlimit (RLIMIT_NOFILE, &limit), ==, 0);
  limit.rlim_cur = n;
  g_assert_cmpint (setrlimit (RLIMIT_NOFILE, &limit), ==, 0);
}

/* Once descriptors are free again, a server whose accept has failed accepts
   those that wait.  */
static void
test_accept_fails (void)
{
  struct bed *bed = start (10);
  g_autoptr (GSocket) client = connect_client (bed);
  g_autofree char *answer = NULL;
  struct rlimit before;
  int lowest = dup (0);

  close (lowest);
  getrlimit (RLIMIT_NOFILE, &before);
  set_max_descriptors ((rlim_t)lowest);
  while (metrics_get (METRIC_CLIENTS_LIMITED, CLIENT_LIMIT_DESCRIPTORS) == 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (client_listener_count_open (bed->listener), ==, 0);
  set_max_descriptors (before.rlim_cur);
  send_text (client, "GET / HTTP/1.1\r\nHost: a\r\n"
                     "Connection: close\r\n\r\n");
  answer = read_to_end (client);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 200 "));
  stop (bed);
}

/* When all connections are taken, the one that has been idle the longest is
   closed for a new one.  */
static void
test_idle_gives_way (void)
{
  static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  struct bed *bed = start (2);
  g_autoptr (GSocket) idle = connect_client (bed);
  g_autoptr (GSocket) second = NULL;
  g_autoptr (GSocket) third = NULL;
  g_autoptr (GString) answer = g_string_new (NULL);

  send_text (idle, request);
  while (bed->n_handled < 1)
    g_main_context_iteration (NULL, TRUE);
  second = connect_client (bed);
  wait_until_open (bed, 2);
  third = connect_client (bed);
  send_text (third, request);
  while (bed->n_handled < 2)
    g_main_context_iteration (NULL, FALSE);
  while (!receive (idle, answer))
    g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (client_listener_count_open (bed->listener), ==, 2);
  g_clear_object (&second);
  g_clear_object (&third);
  stop (bed);
}

/* Bodies that do not fit together: the client whose request holds the most is
   told that nothing was run, and the others go on.  */
static void
test_largest_gives_way (void)
{
  struct bed *bed = start (20);
  gsize length = client_budget_get_max_body (&bed->budget, MACHINE_BYTES);
  g_autofree char *body = g_strnfill (length - 1, ' ');
  g_autofree char *text
      = g_strdup_printf ("POST /large HTTP/1.1\r\nHost: a\r\n"
                         "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
                         length, body);
  GSocket *sockets[6];
  guint n_refused = 0;

  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    {
      sockets[i] = connect_client (bed);
      send_text (sockets[i], text);
    }
  for (guint i = 0; i < G_N_ELEMENTS (sockets); i++)
    {
      g_autofree char *answer = read_to_end (sockets[i]);

      n_refused += g_str_has_prefix (answer, "HTTP/1.1 503 ") ? 1 : 0;
      if (answer[0] != '\0')
        g_assert_nonnull (strstr (answer, "\r\nRetry-After: 1\r\n"));
      g_object_unref (sockets[i]);
    }
  g_assert_cmpuint (n_refused, >, 0);
  g_assert_cmpuint (bed->n_handled, ==, 0);
  stop (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/client-listener/refused-is-never-handled",
                   test_refused_is_never_handled);
  g_test_add_func ("/client-listener/refused-from-header",
                   test_refused_from_header);
  g_test_add_func ("/client-listener/header", test_header);
  g_test_add_func ("/client-listener/second-header", test_second_header);
  g_test_add_func ("/client-listener/time", test_time);
  g_test_add_func ("/client-listener/unread-answer", test_unread_answer);
  g_test_add_func ("/client-listener/unread-answers", test_unread_answers);
  g_test_add_func ("/client-listener/slow-reader-gives-way",
                   test_slow_reader_gives_way);
  g_test_add_func ("/client-listener/kept-body-is-charged",
                   test_kept_body_is_charged);
  g_test_add_func ("/client-listener/bodies", test_bodies);
  g_test_add_func ("/client-listener/escaped-path", test_escaped_path);
  g_test_add_func ("/client-listener/accept-fails", test_accept_fails);
  g_test_add_func ("/client-listener/idle-gives-way", test_idle_gives_way);
  g_test_add_func ("/client-listener/largest-gives-way",
                   test_largest_gives_way);
  return g_test_run ();
}
