/* The fleet's metrics and state over HTTP, and how late the loop runs.  */
#include "base/clock.h"
#include "base/metrics.h"
#include "t/support/http.h"
#include "transport/loop_delay.h"
#include "transport/metrics_server.h"

#include <string.h>

#define N_ROOMS 42

static void
set_rooms (struct metrics_source *source)
{
  metrics_set (METRIC_ROOMS_OWNED, N_ROOMS);
}

static json_t *
dump_rooms (struct metrics_source *source)
{
  return json_pack ("{s:i}", "rooms", N_ROOMS);
}

static const struct metrics_source_ops source_ops = { set_rooms, dump_rooms };
static const struct metrics_source_ops mute_ops = { NULL, NULL };

static struct client_budget *
get_budget (void)
{
  static struct client_budget budget;
  const struct machine_limits limits = { G_MAXUINT32, 1024 };

  if (budget.max_bytes == 0)
    client_budget_init (&budget, &limits, 1);
  return &budget;
}

static struct metrics_server *
start_server (struct metrics_source *source)
{
  struct endpoint endpoint = { .ip = (char[]){ "127.0.0.1" } };
  g_autoptr (GError) error = NULL;
  struct metrics_server *server
      = metrics_server_new (&endpoint, source, get_budget (), &error);

  g_assert_no_error (error);
  return server;
}

static struct http_answer *
ask (const struct metrics_server *server, const char *method, const char *path)
{
  g_autofree char *url
      = http_url ((guint16)metrics_server_get_port (server), "%s", path);

  return http_finish (http_begin (method, url, NULL, NULL));
}

static guint
ask_status (const struct metrics_server *server, const char *method,
            const char *path)
{
  struct http_answer *answer = ask (server, method, path);
  guint status = answer->status;

  http_answer_free (answer);
  return status;
}

static void
test_paths (void)
{
  struct metrics_source source = { &source_ops };
  struct metrics_server *server = start_server (&source);
  struct http_answer *answer = ask (server, "GET", "/metrics");
  json_t *dump;

  g_assert_cmpuint (answer->status, ==, 200);
  g_assert_nonnull (strstr (answer->body, "\nradishchute_rooms_owned 42\n"));
  http_answer_free (answer);
  answer = ask (server, "GET", "/dump");
  g_assert_cmpuint (answer->status, ==, 200);
  dump = http_answer_json (answer);
  g_assert_cmpint (json_integer_value (json_object_get (dump, "rooms")), ==,
                   N_ROOMS);
  json_decref (dump);
  http_answer_free (answer);
  g_assert_cmpuint (ask_status (server, "POST", "/metrics"), ==, 405);
  g_assert_cmpuint (ask_status (server, "GET", "/"), ==, 404);
  g_assert_cmpuint (ask_status (server, "GET", "/metrics/x"), ==, 404);
  metrics_server_free (server);
}

static void
test_nothing_to_tell (void)
{
  struct metrics_source source = { &mute_ops };
  struct metrics_server *server = start_server (&source);

  g_assert_cmpuint (ask_status (server, "GET", "/metrics"), ==, 200);
  g_assert_cmpuint (ask_status (server, "GET", "/dump"), ==, 404);
  metrics_server_free (server);
}

static void
test_address_in_use (void)
{
  struct metrics_source source = { &source_ops };
  struct metrics_server *server = start_server (&source);
  struct endpoint endpoint
      = { (char[]){ "127.0.0.1" }, metrics_server_get_port (server) };
  g_autoptr (GError) error = NULL;

  g_assert_null (
      metrics_server_new (&endpoint, &source, get_budget (), &error));
  g_assert_nonnull (error);
  metrics_server_free (server);
}

/* A loop that was held up for a while is seen to have been late.  */
static void
test_loop_delay (void)
{
  const struct histogram *h
      = metrics_get_histogram (METRIC_LOOP_DELAY_SECONDS);
  struct loop_delay *delay = loop_delay_new ();
  guint64 before = h->count;

  while (h->count == before)
    g_main_context_iteration (NULL, TRUE);
  loop_delay_take_max_us (delay);
  before = h->count;
  g_usleep (150 * USEC_PER_MSEC);
  while (h->count == before)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpint (loop_delay_take_max_us (delay), >=, 49 * USEC_PER_MSEC);
  g_assert_cmpint (loop_delay_take_max_us (delay), ==, 0);
  loop_delay_free (delay);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/metrics-server/paths", test_paths);
  g_test_add_func ("/metrics-server/nothing-to-tell", test_nothing_to_tell);
  g_test_add_func ("/metrics-server/address-in-use", test_address_in_use);
  g_test_add_func ("/metrics-server/loop-delay", test_loop_delay);
  return g_test_run ();
}
