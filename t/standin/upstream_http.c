#include "t/standin/upstream.h"

#include "base/clock.h"

#include <string.h>

#define TASK_PATH "/v1/tasks/"
#define CPUS_PER_TASK 1
#define MEMORY_MB_PER_TASK 300

static const char *const request_names[REQUEST_KIND_COUNT]
    = { "start", "renew", "stop", "throttle", "checkpoint", "usage" };

static gint64
header_int (SoupServerMessage *msg, const char *name)
{
  const char *text = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), name);
  char *end = NULL;
  gint64 value;

  if (text == NULL || *text == '\0')
    return -1;
  value = g_ascii_strtoll (text, &end, 10);
  return *end == '\0' ? value : -1;
}

/* Why a start with TOKEN is refused, or NULL when it is not.  */
static const char *
find_refusal (const struct upstream *upstream,
              const struct task_record *record, gint64 token)
{
  if (upstream->fencing && token <= record->largest_token)
    return "the fencing token is not larger than one seen before";
  if (token <= record->stopped_token)
    return "the task was stopped before its start";
  if (record->running)
    return "the task is running";
  if (upstream->records->running >= upstream->slots)
    return "all slots are taken";
  return NULL;
}

static void
start_task (struct upstream *upstream, SoupServerMessage *msg, const char *id,
            gint64 token, gint64 lease_ms, json_t *input)
{
  struct task_record *record = task_records_get (upstream->records, id);
  const char *refusal = find_refusal (upstream, record, token);

  record->largest_token = MAX (record->largest_token, token);
  if (refusal != NULL)
    upstream_refuse (upstream, record, msg, refusal);
  else
    upstream_start (upstream, record, msg, token, lease_ms, input);
}

static void
on_start (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;
  gint64 token = header_int (msg, "Task-Token");
  gint64 lease_ms = header_int (msg, "Task-Lease-Ms");
  json_t *input = request_json (msg);

  upstream->requests[REQUEST_START]++;
  if (!request_has_method (msg, "POST"))
    upstream_refuse (upstream, NULL, msg, "use the method POST");
  else if (input == NULL)
    upstream_refuse (upstream, NULL, msg, "the input is not JSON");
  else if (token < 0 || lease_ms <= 0)
    upstream_refuse (upstream, NULL, msg, "Task-Token or -Lease-Ms is bad");
  else
    start_task (upstream, msg, path + strlen (TASK_PATH), token, lease_ms,
                input);
  json_decref (input);
}

/* Runs before the body of a request to start a task is read.  */
static void
on_start_headers (SoupServer *server, SoupServerMessage *msg, const char *path,
                  GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;

  if (faults_draw (upstream->random,
                   upstream->faults.close_before_read_percent))
    answer_by_closing (msg);
}

/* Parses {"tasks": [...]}; answers 400 and returns NULL when it is not one. */
static json_t *
parse_tasks (SoupServerMessage *msg, json_t **tasks)
{
  json_t *body = request_json (msg);

  *tasks = json_object_get (body, "tasks");
  if (json_is_array (*tasks))
    return body;
  json_decref (body);
  answer_text (msg, 400, NULL);
  return NULL;
}

/* Carries out one request on the named task; returns whether it applied.  */
typedef gboolean task_request (struct upstream *upstream, const char *id,
                               gint64 token, json_t *body);

static gboolean
apply_renew (struct upstream *upstream, const char *id, gint64 token,
             json_t *body)
{
  struct task *task = upstream_find_task (upstream, id, token);

  if (task != NULL)
    task_renew (task, json_int_member (body, "lease_ms", 0));
  return task != NULL;
}

static gboolean
apply_stop (struct upstream *upstream, const char *id, gint64 token,
            json_t *body)
{
  struct task *task = upstream_find_task (upstream, id, token);
  struct task_record *record = task_records_get (upstream->records, id);

  record->stopped_token = MAX (record->stopped_token, token);
  if (task != NULL)
    task_stop (task);
  return task != NULL;
}

static gboolean
apply_throttle (struct upstream *upstream, const char *id, gint64 token,
                json_t *body)
{
  struct task *task = upstream_find_task (upstream, id, token);

  if (task != NULL)
    task_throttle (task, json_int_member (body, "percent", 0));
  return task != NULL;
}

static gboolean
apply_checkpoint (struct upstream *upstream, const char *id, gint64 token,
                  json_t *body)
{
  return upstream_find_task (upstream, id, token) != NULL;
}

/*
 * Carries out REQUEST on every task that MSG names, and answers with the list
 * LIST_NAME of those for which it returned LISTED.
 */
static void
handle_tasks (struct upstream *upstream, SoupServerMessage *msg,
              task_request *request, const char *list_name, gboolean listed)
{
  json_t *tasks;
  json_t *body = parse_tasks (msg, &tasks);
  json_t *list;
  json_t *answer;

  if (body == NULL)
    return;
  list = json_array ();
  for (size_t i = 0; i < json_array_size (tasks); i++)
    {
      json_t *named = json_array_get (tasks, i);
      const char *id = json_text_member (named, "task");
      gint64 token = json_int_member (named, "token", -1);

      if (id != NULL && request (upstream, id, token, body) == listed)
        json_array_append_new (list, json_string (id));
    }
  answer = json_object ();
  json_object_set_new (answer, list_name, list);
  answer_json (msg, 200, answer);
  json_decref (body);
}

static void
on_renew (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;

  upstream->requests[REQUEST_RENEW]++;
  handle_tasks (upstream, msg, apply_renew, "lapsed", FALSE);
}

static void
on_stop (SoupServer *server, SoupServerMessage *msg, const char *path,
         GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;

  upstream->requests[REQUEST_STOP]++;
  handle_tasks (upstream, msg, apply_stop, "applied", TRUE);
}

static void
on_throttle (SoupServer *server, SoupServerMessage *msg, const char *path,
             GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;

  upstream->requests[REQUEST_THROTTLE]++;
  handle_tasks (upstream, msg, apply_throttle, "applied", TRUE);
}

static void
on_checkpoint (SoupServer *server, SoupServerMessage *msg, const char *path,
               GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;

  upstream->requests[REQUEST_CHECKPOINT]++;
  handle_tasks (upstream, msg, apply_checkpoint, "applied", TRUE);
}

static gboolean
measure_usage (gpointer data)
{
  struct upstream *upstream = data;

  upstream->usage.measured_unix_ms = clock_unix_ms ();
  upstream->usage.running = upstream->records->running;
  return G_SOURCE_CONTINUE;
}

static void
on_usage (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;
  json_t *body = json_object ();

  upstream->requests[REQUEST_USAGE]++;
  if (upstream->usage_lag_ms == 0)
    measure_usage (upstream);
  json_add_int (body, "measured_unix_ms", upstream->usage.measured_unix_ms);
  json_add_int (body, "running", upstream->usage.running);
  json_add_int (body, "slots", upstream->slots);
  json_add_int (body, "cpus_used",
                (gint64)upstream->usage.running * CPUS_PER_TASK);
  json_add_int (body, "memory_mb_used",
                (gint64)upstream->usage.running * MEMORY_MB_PER_TASK);
  answer_json (msg, 200, body);
}

static void
on_test_faults (SoupServer *server, SoupServerMessage *msg, const char *path,
                GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;
  json_t *body = request_json (msg);

  faults_update (&upstream->faults, body);
  json_decref (body);
  answer_json (msg, 200, json_object ());
}

static void
on_test_starts (SoupServer *server, SoupServerMessage *msg, const char *path,
                GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;

  answer_json (msg, 200, task_records_to_json (upstream->records));
}

static void
on_test_requests (SoupServer *server, SoupServerMessage *msg, const char *path,
                  GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;
  json_t *body = json_object ();
  struct connection_guard *guard = upstream->listener->guard;

  for (int i = 0; i < REQUEST_KIND_COUNT; i++)
    json_add_int (body, request_names[i], (gint64)upstream->requests[i]);
  json_add_int (body, "refused", (gint64)upstream->records->refusals);
  json_add_int (body, "connections", connection_guard_count_open (guard));
  json_add_int (body, "max_connections", connection_guard_get_peak (guard));
  json_add_int (body, "closed_connections",
                (gint64)connection_guard_count_closed (guard));
  answer_json (msg, 200, body);
}

static void
on_test_reset (SoupServer *server, SoupServerMessage *msg, const char *path,
               GHashTable *query, gpointer data)
{
  struct upstream *upstream = data;

  task_records_reset (upstream->records);
  memset (upstream->requests, 0, sizeof upstream->requests);
  answer_json (msg, 200, json_object ());
}

static const struct
{
  const char *path;
  SoupServerCallback handler;
} handlers[] = {
  { TASK_PATH, on_start },
  { "/v1/leases", on_renew },
  { "/v1/stop", on_stop },
  { "/v1/throttle", on_throttle },
  { "/v1/checkpoint", on_checkpoint },
  { "/v1/usage", on_usage },
  { "/test/faults", on_test_faults },
  { "/test/starts", on_test_starts },
  { "/test/requests", on_test_requests },
  { "/test/reset", on_test_reset },
};

void
upstream_add_handlers (struct upstream *upstream, SoupServer *server)
{
  for (gsize i = 0; i < G_N_ELEMENTS (handlers); i++)
    soup_server_add_handler (server, handlers[i].path, handlers[i].handler,
                             upstream, NULL);
  soup_server_add_early_handler (server, TASK_PATH, on_start_headers, upstream,
                                 NULL);
  if (upstream->usage_lag_ms > 0)
    g_timeout_add (upstream->usage_lag_ms, measure_usage, upstream);
  measure_usage (upstream);
}
