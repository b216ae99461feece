/* The operators' paths of the daemon: metrics, log level, token, notices.  */
#include "t/support/deployment.h"
#include "t/support/http.h"

#include <gio/gunixsocketaddress.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#define TOKEN "opensesame-opensesame"

static gint64
read_metric (struct deployment *d, const char *name)
{
  g_autofree char *url = deployment_url (d, 0, "/v1/metrics");
  struct http_answer *answer = http_request ("GET", url, NULL, NULL);
  g_autofree char *start = g_strdup_printf ("\n%s ", name);
  const char *line;
  gint64 value;

  g_assert_cmpuint (answer->status, ==, 200);
  line = strstr (answer->body, start);
  g_assert_nonnull (line);
  value = g_ascii_strtoll (line + strlen (start), NULL, 10);
  http_answer_free (answer);
  return value;
}

static guint
request_status (struct deployment *d, const char *method, const char *path,
                const char *body, const char *authorization)
{
  g_autofree char *url = deployment_url (d, 0, path);
  const char *headers[] = { "Authorization", authorization, NULL };
  struct http_answer *answer = http_request (
      method, url, body, authorization != NULL ? headers : NULL);
  guint status = answer->status;

  http_answer_free (answer);
  return status;
}

static void
test_metrics (void)
{
  struct deployment *d = deployment_start (1, 2);
  g_autofree char *job = deployment_job (20, 1, 0);
  g_autofree char *wrong
      = g_strdup ("{\"team\":\"nobody\",\"service\":\"none\",\"tasks\":[{}]}");

  g_assert_cmpuint (request_status (d, "POST", "/v1/jobs", job, NULL), ==,
                    200);
  g_assert_cmpuint (request_status (d, "POST", "/v1/jobs", wrong, NULL), ==,
                    404);
  g_assert_cmpint (read_metric (d, "radishchute_jobs_accepted_total"), ==, 1);
  g_assert_cmpint (read_metric (d, "radishchute_jobs_complete_total"), ==, 1);
  g_assert_cmpint (
      read_metric (d, "radishchute_jobs_refused_total{kind=\"not-found\"}"),
      ==, 1);
  g_assert_cmpint (read_metric (d, "radishchute_task_seconds_count"), ==, 20);
  g_assert_cmpint (read_metric (d, "radishchute_job_seconds_count"), ==, 1);
  g_assert_cmpint (read_metric (d, "radishchute_task_starts_total"), ==,
                   20 + read_metric (d, "radishchute_task_moves_total"));
  g_assert_cmpint (read_metric (d, "radishchute_jobs_active"), ==, 0);
  deployment_stop (d);
}

static void
test_methods (void)
{
  struct deployment *d = deployment_start (1, 1);

  g_assert_cmpuint (request_status (d, "POST", "/v1/metrics", NULL, NULL), ==,
                    405);
  g_assert_cmpuint (request_status (d, "GET", "/v1/drain", NULL, NULL), ==,
                    405);
  g_assert_cmpuint (request_status (d, "GET", "/v1/metrics/x", NULL, NULL), ==,
                    404);
  g_assert_cmpuint (
      request_status (d, "PUT", "/v1/log-level", "{\"level\":\"loud\"}", NULL),
      ==, 400);
  g_assert_cmpuint (request_status (d, "PUT", "/v1/log-level", "{", NULL), ==,
                    400);
  g_assert_cmpuint (request_status (d, "PUT", "/v1/log-level", "", NULL), ==,
                    400);
  g_assert_cmpuint (request_status (d, "PUT", "/v1/log-level",
                                    "{\"level\":\"debug\"}", NULL),
                    ==, 200);
  deployment_stop (d);
}

static void
test_token (void)
{
  static const char *const paths[] = { "/v1/metrics", "/v1/state" };
  struct deployment *d = deployment_start (1, 1);
  json_t *settings = deployment_settings (d, 0);

  json_object_set_new (settings, "operator_token", json_string (TOKEN));
  deployment_start_entry (d, 0, settings);
  json_decref (settings);
  for (gsize i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      g_assert_cmpuint (request_status (d, "GET", paths[i], NULL, NULL), ==,
                        401);
      g_assert_cmpuint (
          request_status (d, "GET", paths[i], NULL, "Bearer " TOKEN "x"), ==,
          401);
      g_assert_cmpuint (request_status (d, "GET", paths[i], NULL, "Bearer "),
                        ==, 401);
      g_assert_cmpuint (request_status (d, "GET", paths[i], NULL, TOKEN), ==,
                        401);
      g_assert_cmpuint (
          request_status (d, "GET", paths[i], NULL, "Bearer " TOKEN), ==, 200);
    }
  g_assert_cmpuint (request_status (d, "POST", "/v1/drain", NULL, NULL), ==,
                    401);
  g_assert_cmpuint (request_status (d, "PUT", "/v1/log-level",
                                    "{\"level\":\"debug\"}", NULL),
                    ==, 401);
  g_assert_cmpuint (request_status (d, "GET", "/v1/health", NULL, NULL), ==,
                    200);
  deployment_stop (d);
}

/* Waits for the next notice on SOCKET.  */
static char *
receive_notice (GSocket *socket)
{
  char buf[256];
  g_autoptr (GError) error = NULL;
  gssize n = g_socket_receive (socket, buf, sizeof buf, NULL, &error);

  g_assert_no_error (error);
  return g_strndup (buf, (gsize)n);
}

static void
test_notices (void)
{
  struct deployment *d = deployment_start (0, 1);
  g_autofree char *path = g_build_filename (d->directory, "notify", NULL);
  g_autoptr (GSocketAddress) address = g_unix_socket_address_new (path);
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_DATAGRAM,
                      G_SOCKET_PROTOCOL_DEFAULT, NULL);
  json_t *settings = deployment_settings (d, 0);
  char *notice;

  g_assert_true (g_socket_bind (socket, address, FALSE, NULL));
  g_setenv ("NOTIFY_SOCKET", path, TRUE);
  d->n_entries = 1;
  deployment_start_entry (d, 0, settings);
  g_unsetenv ("NOTIFY_SOCKET");
  json_decref (settings);
  notice = receive_notice (socket);
  g_assert_cmpstr (notice, ==, "READY=1");
  g_free (notice);
  process_signal (d->entries[0], SIGTERM);
  notice = receive_notice (socket);
  g_assert_cmpstr (notice, ==, "STOPPING=1");
  g_free (notice);
  g_assert_cmpint (process_wait_exit (d->entries[0]), ==, 0);
  g_unlink (path);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/operator-server/metrics", test_metrics);
  g_test_add_func ("/operator-server/methods", test_methods);
  g_test_add_func ("/operator-server/token", test_token);
  g_test_add_func ("/operator-server/notices", test_notices);
  return g_test_run ();
}
