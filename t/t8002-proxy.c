#include "t/support/http.h"
#include "t/support/process.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define DATAGRAMS 200
#define SOCKET_TIMEOUT_SEC 30

struct fixture
{
  struct process *upstream;
  struct process *proxy;
  guint16 port; /* of the route */
  char *url;    /* a request through the route */
};

static void
set_up_with (struct fixture *f, const char *option, const char *value)
{
  g_autofree char *target = NULL;

  f->upstream = process_start_standin ("upstream", NULL);
  target = g_strdup_printf ("127.0.0.1:%u", f->upstream->ports[0]);
  f->proxy
      = process_start_standin ("proxy", "--to", target, option, value, NULL);
  f->port = f->proxy->ports[0];
  f->url = http_url (f->port, "/v1/usage");
}

static void
set_up (struct fixture *f, gconstpointer data)
{
  set_up_with (f, NULL, NULL);
}

static void
tear_down (struct fixture *f, gconstpointer data)
{
  process_free (f->proxy);
  process_free (f->upstream);
  g_free (f->url);
}

static void
set_faults (const struct process *proxy, const char *faults)
{
  g_autofree char *url
      = http_url (proxy->ports[proxy->n_ports - 1], "/test/faults");

  http_post (url, faults);
}

static guint
request_status (const struct fixture *f)
{
  struct http_answer *answer = http_request ("GET", f->url, NULL, NULL);
  guint status = answer->status;

  http_answer_free (answer);
  return status;
}

static gint64
count_requests (const struct fixture *f)
{
  g_autofree char *url = http_url (f->upstream->ports[0], "/test/requests");
  json_t *body = http_get_json (url);
  gint64 n = json_get_int (body, "usage");

  json_decref (body);
  return n;
}

static void
test_relay (struct fixture *f, gconstpointer data)
{
  g_assert_cmpuint (request_status (f), ==, 200);
  g_assert_cmpuint (http_count_on_one_connection (f->port, "/v1/usage", 4), ==,
                    4);
}

static void
test_delay (struct fixture *f, gconstpointer data)
{
  gint64 began_us = g_get_monotonic_time ();

  set_faults (f->proxy, "{\"up\":{\"delay_ms\":100}}");
  g_assert_cmpuint (request_status (f), ==, 200);
  g_assert_cmpint (g_get_monotonic_time () - began_us, >=, 100 * 1000);
}

static void
test_cut (struct fixture *f, gconstpointer data)
{
  set_faults (f->proxy, "{\"up\":{\"cut_after_bytes\":10}}");
  g_assert_cmpuint (request_status (f), ==, 0);
  g_assert_cmpint (count_requests (f), ==, 0);
  set_faults (f->proxy, "{\"down\":{\"cut_after_bytes\":10}}");
  g_assert_cmpuint (request_status (f), ==, 0);
  g_assert_cmpint (count_requests (f), >=, 1);
  set_faults (f->proxy, "{\"down\":{\"close_after_bytes\":10}}");
  g_assert_cmpuint (request_status (f), ==, 0);
  set_faults (f->proxy, "{}");
  g_assert_cmpuint (request_status (f), ==, 200);
}

static gboolean
has_requests (json_t *body, gpointer data)
{
  return json_get_int (body, "usage") >= GPOINTER_TO_INT (data);
}

/* A connection that went silent stays so when the faults are over.  */
static void
test_silence (struct fixture *f, gconstpointer data)
{
  g_autofree char *requests
      = http_url (f->upstream->ports[0], "/test/requests");
  struct http_call *call;

  set_faults (f->proxy, "{\"down\":{\"silent\":true}}");
  call = http_begin ("GET", f->url, NULL, NULL);
  json_decref (http_poll_until (requests, has_requests, GINT_TO_POINTER (1)));
  set_faults (f->proxy, "{}");
  g_assert_cmpuint (request_status (f), ==, 200);
  g_assert_false (http_call_is_finished (call));
  http_abandon (call);
}

static gboolean
has_swallowed (json_t *body, gpointer data)
{
  json_t *route = json_array_get (json_get (body, "routes"), 0);

  return json_get_int (route, "bytes_up") > 20;
}

static void
test_silence_after_bytes (struct fixture *f, gconstpointer data)
{
  g_autofree char *routes
      = http_url (f->proxy->ports[f->proxy->n_ports - 1], "/test/routes");
  struct http_call *call;

  set_faults (f->proxy, "{\"up\":{\"silent_after_bytes\":20}}");
  call = http_begin ("GET", f->url, NULL, NULL);
  json_decref (http_poll_until (routes, has_swallowed, NULL));
  set_faults (f->proxy, "{}");
  g_assert_cmpuint (request_status (f), ==, 200);
  g_assert_cmpint (count_requests (f), ==, 1);
  g_assert_false (http_call_is_finished (call));
  http_abandon (call);
}

static GSocketConnection *
connect_to (guint16 port)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();

  g_socket_client_set_timeout (client, SOCKET_TIMEOUT_SEC);
  return g_socket_client_connect_to_host (client, "127.0.0.1", port, NULL,
                                          NULL);
}

static gboolean
one_is_open (json_t *body, gpointer data)
{
  return json_get_int (json_array_get (json_get (body, "routes"), 0), "open")
         == 1;
}

static void
test_reset (struct fixture *f, gconstpointer data)
{
  g_autofree char *routes = http_url (f->proxy->ports[1], "/test/routes");
  g_autoptr (GSocketConnection) connection = connect_to (f->port);
  g_autoptr (GError) error = NULL;
  char byte;

  json_decref (http_poll_until (routes, one_is_open, NULL));
  set_faults (f->proxy, "{\"reset_existing\":true}");
  g_input_stream_read (g_io_stream_get_input_stream (G_IO_STREAM (connection)),
                       &byte, 1, NULL, &error);
  g_assert_error (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED);
}

static void
test_drip (struct fixture *f, gconstpointer data)
{
  set_faults (f->proxy, "{\"down\":{\"bytes_per_second\":2000}}");
  g_assert_cmpuint (request_status (f), ==, 200);
}

static void
test_script (void)
{
  struct fixture f;
  g_autofree char *path = NULL;
  int fd = g_file_open_tmp ("proxy-XXXXXX", &path, NULL);

  g_assert_cmpint (fd, >=, 0);
  close (fd);
  g_assert_true (g_file_set_contents (
      path, "[{\"after_connections\":1,\"faults\":{\"refuse\":true}}]", -1,
      NULL));
  set_up_with (&f, "--script", path);
  g_assert_cmpuint (request_status (&f), ==, 200);
  while (request_status (&f) != 0)
    ;
  tear_down (&f, NULL);
  g_unlink (path);
}

static GSocket *
make_datagram_socket (guint16 port)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                                  G_SOCKET_PROTOCOL_UDP, NULL);
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string ("127.0.0.1", port);

  if (port == 0)
    g_socket_bind (socket, address, TRUE, NULL);
  else
    g_socket_connect (socket, address, NULL, NULL);
  g_socket_set_timeout (socket, SOCKET_TIMEOUT_SEC);
  return socket;
}

static guint16
local_port (GSocket *socket)
{
  g_autoptr (GSocketAddress) address
      = g_socket_get_local_address (socket, NULL);

  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
}

static gboolean
all_arrived (json_t *body, gpointer data)
{
  json_t *route = json_array_get (json_get (body, "routes"), 0);

  return json_get_int (route, "bytes_up") == DATAGRAMS;
}

/* The number of datagrams that come before one that says "end".  */
static int
count_until_end (GSocket *socket)
{
  char buf[16] = "";
  int n = -1;

  while (strcmp (buf, "end") != 0)
    {
      gssize length
          = g_socket_receive (socket, buf, sizeof buf - 1, NULL, NULL);

      g_assert_cmpint (length, >, 0);
      buf[length] = '\0';
      n++;
    }
  return n;
}

static void
test_datagram_loss (void)
{
  g_autoptr (GSocket) target = make_datagram_socket (0);
  g_autofree char *to = g_strdup_printf ("127.0.0.1:%u", local_port (target));
  struct process *proxy = process_start_standin ("proxy", "--udp", "--seed",
                                                 "7", "--to", to, NULL);
  g_autoptr (GSocket) sender = make_datagram_socket (proxy->ports[0]);
  g_autofree char *routes = http_url (proxy->ports[1], "/test/routes");
  int n;

  set_faults (proxy, "{\"up\":{\"loss_percent\":50}}");
  for (int i = 0; i < DATAGRAMS; i++)
    g_socket_send (sender, "x", 1, NULL, NULL);
  json_decref (http_poll_until (routes, all_arrived, NULL));
  set_faults (proxy, "{}");
  g_socket_send (sender, "end", 3, NULL, NULL);
  n = count_until_end (target);
  g_assert_cmpint (n, >, DATAGRAMS / 4);
  g_assert_cmpint (n, <, DATAGRAMS * 3 / 4);
  process_free (proxy);
}

#define ADD(name, function)                                                   \
  g_test_add ("/proxy/" name, struct fixture, NULL, set_up, (function),       \
              tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("relay", test_relay);
  ADD ("delay", test_delay);
  ADD ("cut", test_cut);
  ADD ("silence", test_silence);
  ADD ("silence-after-bytes", test_silence_after_bytes);
  ADD ("reset", test_reset);
  ADD ("drip", test_drip);
  g_test_add_func ("/proxy/script", test_script);
  g_test_add_func ("/proxy/datagram-loss", test_datagram_loss);
  return g_test_run ();
}
