#include "transport/operator_server.h"

#include "base/event_log.h"
#include "base/metrics.h"
#include "protocol/json_read.h"
#include "transport/client_listener.h"
#include "transport/http_answer.h"
#include "transport/state_dump.h"

#include <string.h>

#define METRICS_TYPE "text/plain; version=0.0.4; charset=utf-8"
#define BEARER "Bearer "

struct operator_server
{
  const struct settings *settings;
  struct home *home;
  struct caller_server *callers;
  const struct config_follower *config;
  void (*request_drain) (gpointer data);
  gpointer drain_data;
};

/* A path of the operators' interface and the only method that it accepts.  */
struct operator_path
{
  const char *path;
  const char *method;
  void (*handle) (struct operator_server *server, SoupServerMessage *message);
};

/* Compares two tokens.  The time depends only on the length of GIVEN, so that
   it tells nothing about EXPECTED.  */
static gboolean
tokens_match (const char *given, const char *expected)
{
  size_t n_given = strlen (given);
  size_t n_expected = strlen (expected);
  size_t difference = n_given ^ n_expected;

  for (size_t i = 0; i < n_given; i++)
    difference |= (size_t)(given[i] ^ expected[i % MAX (n_expected, 1)]);
  return difference == 0;
}

static gboolean
is_authorized (const struct operator_server *server,
               SoupServerMessage *message)
{
  const char *expected = server->settings->operator_token;
  const char *given = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "Authorization");

  if (expected == NULL)
    return TRUE;
  if (given == NULL || !g_str_has_prefix (given, BEARER))
    return FALSE;
  return tokens_match (given + strlen (BEARER), expected);
}

static void
handle_state (struct operator_server *server, SoupServerMessage *message)
{
  json_t *state
      = state_dump_build (server->settings, server->home, server->config);

  caller_server_add_state (server->callers, state);
  http_answer_json (message, SOUP_STATUS_OK, state);
}

static void
set_gauges (struct operator_server *server)
{
  struct dispatcher *dispatcher = home_get_dispatcher (server->home);
  struct home_load load = home_count_load (server->home);

  metrics_set (METRIC_JOBS_ACTIVE, load.n_active_jobs);
  metrics_set (METRIC_TASKS_QUEUED, load.n_queued_tasks);
  metrics_set (METRIC_TASKS_RUNNING, load.n_running_tasks);
  metrics_set (METRIC_JOB_BYTES, load.job_bytes);
  caller_server_set_gauges (server->callers);
  metrics_set (METRIC_DRAINING, dispatcher_is_draining (dispatcher) ? 1 : 0);
}

static void
handle_metrics (struct operator_server *server, SoupServerMessage *message)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GBytes) body = NULL;

  set_gauges (server);
  metrics_format (text);
  body = g_bytes_new (text->str, text->len);
  http_answer_bytes (message, SOUP_STATUS_OK, METRICS_TYPE, body);
}

static gboolean
parse_level (SoupServerMessage *message, enum log_level *level, GError **error)
{
  g_autoptr (GBytes) bytes = client_message_take_body (message);
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);
  json_t *root = json_parse (text != NULL ? text : "", length, error);
  gboolean found;

  if (root == NULL)
    return FALSE;
  found = log_level_from_name (
      json_string_value (json_object_get (root, "level")), level);
  json_decref (root);
  if (!found)
    error_set (error, ERROR_INVALID,
               "'level' must be one of: error, warning, info, debug");
  return found;
}

static void
handle_log_level (struct operator_server *server, SoupServerMessage *message)
{
  enum log_level former = event_log_get_level ();
  enum log_level level = former;
  g_autoptr (GError) error = NULL;

  if (!parse_level (message, &level, &error))
    {
      http_answer_error (message, error);
      return;
    }
  event_log_set_level (level);
  event_log (EVENT_LOG_LEVEL_CHANGED, "from %s to %s", log_level_name (former),
             log_level_name (level));
  http_answer_json (message, SOUP_STATUS_OK,
                    json_pack ("{s:s, s:s}", "level", log_level_name (level),
                               "former", log_level_name (former)));
}

static void
handle_drain (struct operator_server *server, SoupServerMessage *message)
{
  struct dispatcher *dispatcher = home_get_dispatcher (server->home);

  http_answer_json (
      message, SOUP_STATUS_ACCEPTED,
      json_pack ("{s:s, s:s, s:I}", "vm", server->settings->vm, "status",
                 "draining", "unfinished",
                 (json_int_t)dispatcher_count_unfinished (dispatcher)));
  server->request_drain (server->drain_data);
}

static const struct operator_path operator_paths[] = {
  { "/v1/metrics", "GET", handle_metrics },
  { "/v1/state", "GET", handle_state },
  { "/v1/log-level", "PUT", handle_log_level },
  { "/v1/drain", "POST", handle_drain },
};

static const struct operator_path *
find_operator_path (const char *path)
{
  for (gsize i = 0; i < G_N_ELEMENTS (operator_paths); i++)
    if (g_str_equal (operator_paths[i].path, path))
      return &operator_paths[i];
  return NULL;
}

static void
answer_denied (SoupServerMessage *message)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_DENIED,
             "this path needs the operators' token in the header "
             "Authorization; pass it with --token-file");
  http_answer_error (message, error);
  http_answer_set_header (message, "WWW-Authenticate", "Bearer");
}

static void
on_request (SoupServer *soup, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct operator_server *server = data;
  const struct operator_path *found = find_operator_path (path);

  if (found == NULL)
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
  else if (!is_authorized (server, message))
    answer_denied (message);
  else if (!g_str_equal (soup_server_message_get_method (message),
                         found->method))
    http_answer_refuse_method (message, found->method);
  else
    found->handle (server, message);
}

struct operator_server *
operator_server_attach (struct caller_server *callers,
                        const struct settings *settings, struct home *home,
                        void (*request_drain) (gpointer data), gpointer data)
{
  struct operator_server *server = g_new0 (struct operator_server, 1);

  server->settings = settings;
  server->home = home;
  server->callers = callers;
  server->request_drain = request_drain;
  server->drain_data = data;
  for (gsize i = 0; i < G_N_ELEMENTS (operator_paths); i++)
    caller_server_add_handler (callers, operator_paths[i].path, on_request,
                               server);
  return server;
}

void
operator_server_set_config (struct operator_server *server,
                            const struct config_follower *config)
{
  server->config = config;
}

void
operator_server_free (struct operator_server *server)
{
  g_free (server);
}
