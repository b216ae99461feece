/*
 * The calls of a worker stand-in, and what its faults do to them.
 */
#include "t/standin/worker.h"

#include "base/clock.h"

#include <string.h>

#define MAX_WAIT_MS 2000

static const char *const paths[WORKER_CALL_COUNT]
    = { "/radishchute/run-start", "/radishchute/run-stop",
        "/radishchute/hold" };

/* A hold that waits for an end.  */
struct hold
{
  struct list_node node; /* on the worker's holds */
  struct worker *worker;
  SoupServerMessage *msg;
  gulong finished_handler;
  guint timer;
  guint64 last_seen;
};

/* An order that is carried out later, without an answer.  */
struct late_order
{
  struct worker *worker;
  gint64 born_ms;
  enum worker_call call;
  json_t *body;
};

static guint64
get_number (const json_t *body, const char *name)
{
  return (guint64)json_integer_value (json_object_get (body, name));
}

/* Whether the member is a whole number, not below LEAST.  */
static gboolean
is_whole (const json_t *body, const char *name, gint64 least)
{
  const json_t *member = json_object_get (body, name);

  return json_is_integer (member) && json_integer_value (member) >= least;
}

static gboolean
is_whole_or_absent (const json_t *body, const char *name)
{
  return json_object_get (body, name) == NULL || is_whole (body, name, 0);
}

/* Whether the order BODY of CALL has all that it needs.  */
static gboolean
is_valid (enum worker_call call, const json_t *body)
{
  const char *spec = json_text_member (body, "spec");

  if (!json_is_object (body) || !is_whole_or_absent (body, "fencingToken"))
    return FALSE;
  if (call == CALL_HOLD)
    return is_whole (body, "lastSeen", 0)
           && is_whole_or_absent (body, "untilMs")
           && is_whole_or_absent (body, "waitMs")
           && get_number (body, "waitMs") <= MAX_WAIT_MS;
  if (json_text_member (body, "task") == NULL || !is_whole (body, "run", 1))
    return FALSE;
  return call == CALL_STOP
         || (is_whole (body, "untilMs", 0) && spec != NULL
             && worker_is_spec_valid (spec));
}

/* Returns NULL, or the reason why the start is refused.  */
static const char *
start (struct worker *worker, const json_t *body)
{
  const char *task = json_text_member (body, "task");
  guint64 run = get_number (body, "run");
  gint64 until_ms = (gint64)get_number (body, "untilMs");

  if (until_ms <= worker_clock_ms (worker, clock_now_us ()))
    return "late";
  worker_prolong (worker, until_ms);
  if (worker_find_run (worker, task, run) != NULL)
    return NULL;
  if (run <= worker_get_closed (worker, task))
    return "old";
  if (!worker_start_run (worker, task, run, json_text_member (body, "spec")))
    return "room";
  worker_advance (worker);
  return NULL;
}

/* Carries out the order BODY of CALL.  Returns NULL, or the reason why it was
   refused.  */
static const char *
carry_out (struct worker *worker, enum worker_call call, const json_t *body)
{
  guint64 token = get_number (body, "fencingToken");
  const char *reason = NULL;

  worker_advance (worker);
  if (token < worker->largest_token)
    reason = "fence";
  else
    {
      worker->largest_token = token;
      if (call == CALL_START)
        reason = start (worker, body);
      else if (call == CALL_STOP)
        worker_stop_run (worker, json_text_member (body, "task"),
                         get_number (body, "run"));
      else
        {
          worker_forget_ends (worker, get_number (body, "lastSeen"));
          if (json_object_get (body, "untilMs") != NULL)
            worker_prolong (worker, (gint64)get_number (body, "untilMs"));
        }
    }
  if (reason != NULL)
    worker_record_refuse (worker->fleet->record, reason);
  return reason;
}

static void
answer (struct worker *worker, SoupServerMessage *msg, guint status,
        json_t *body)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                "Radishchute-Instance-Id", worker->id);
  answer_json (msg, status, body);
}

static void
answer_clock (struct worker *worker, SoupServerMessage *msg, guint status,
              const char *reason)
{
  json_t *body = json_object ();

  json_add_int (body, "clockMs", worker_clock_ms (worker, clock_now_us ()));
  if (reason != NULL)
    json_object_set_new (body, "reason", json_string (reason));
  answer (worker, msg, status, body);
}

static void
free_hold (struct hold *hold)
{
  list_remove (&hold->node);
  g_clear_handle_id (&hold->timer, g_source_remove);
  g_signal_handler_disconnect (hold->msg, hold->finished_handler);
  g_object_unref (hold->msg);
  g_free (hold);
}

static void
finish_hold (struct hold *hold)
{
  answer (hold->worker, hold->msg, 200,
          worker_list_runs (hold->worker, hold->last_seen));
  soup_server_message_unpause (hold->msg);
  free_hold (hold);
}

static gboolean
on_hold_timeout (gpointer data)
{
  struct hold *hold = data;

  hold->timer = 0;
  finish_hold (hold);
  return G_SOURCE_REMOVE;
}

static void
on_hold_gone (SoupServerMessage *msg, gpointer data)
{
  free_hold (data);
}

static gboolean
has_news (const struct worker *worker, guint64 last_seen)
{
  const struct run_end_entry *entry
      = g_queue_peek_tail ((GQueue *)&worker->ends);

  return entry != NULL && entry->number > last_seen;
}

void
worker_wake_holds (struct worker *worker)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &worker->holds)
    {
      struct hold *hold = list_entry (node, struct hold, node);

      if (has_news (worker, hold->last_seen))
        finish_hold (hold);
    }
}

void
worker_break_holds (struct worker *worker)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &worker->holds)
    {
      struct hold *hold = list_entry (node, struct hold, node);
      g_autoptr (SoupServerMessage) msg = g_object_ref (hold->msg);

      free_hold (hold);
      if (worker->state == WORKER_DOWN)
        answer_by_closing (msg);
    }
}

static void
answer_hold (struct worker *worker, SoupServerMessage *msg, const json_t *body)
{
  guint64 last_seen = get_number (body, "lastSeen");
  guint wait_ms = (guint)get_number (body, "waitMs");
  struct hold *hold;

  if (wait_ms == 0 || has_news (worker, last_seen))
    {
      answer (worker, msg, 200, worker_list_runs (worker, last_seen));
      return;
    }
  hold = g_new0 (struct hold, 1);
  hold->worker = worker;
  hold->msg = g_object_ref (msg);
  hold->last_seen = last_seen;
  hold->finished_handler
      = g_signal_connect (msg, "finished", G_CALLBACK (on_hold_gone), hold);
  hold->timer = g_timeout_add (wait_ms, on_hold_timeout, hold);
  list_append (&worker->holds, &hold->node);
  soup_server_message_pause (msg);
}

static gboolean
on_late_order (gpointer data)
{
  struct late_order *order = data;
  struct worker *worker = order->worker;

  if (worker->born_ms == order->born_ms && worker->runs != NULL)
    carry_out (worker, order->call, order->body);
  json_decref (order->body);
  g_free (order);
  return G_SOURCE_REMOVE;
}

/* Whether a fault takes care of the valid order BODY.  */
static gboolean
apply_faults (struct worker *worker, SoupServerMessage *msg,
              enum worker_call call, json_t *body)
{
  const struct worker_faults *faults = &worker->faults;
  struct fleet *fleet = worker->fleet;

  if (!faults->is_on[call])
    return FALSE;
  if (fleet_draw (fleet, faults->late_percent))
    {
      struct late_order *order = g_new (struct late_order, 1);

      *order = (struct late_order){ worker, worker->born_ms, call,
                                    json_incref (body) };
      g_timeout_add ((guint)faults->late_ms, on_late_order, order);
    }
  else if (fleet_draw (fleet, faults->lose_percent))
    carry_out (worker, call, body);
  else if (!fleet_draw (fleet, faults->drop_percent))
    return FALSE;
  answer_by_silence (msg);
  return TRUE;
}

static gboolean
is_other_life (const struct worker *worker, SoupServerMessage *msg)
{
  const char *expected = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg),
      "Radishchute-Expect-Instance");

  return expected != NULL && strcmp (expected, worker->id) != 0;
}

static void
handle_order (struct worker *worker, SoupServerMessage *msg,
              enum worker_call call, json_t *body)
{
  const char *reason;

  if (is_other_life (worker, msg))
    answer_clock (worker, msg, 421, NULL);
  else if (!is_valid (call, body))
    {
      worker_record_refuse (worker->fleet->record, "invalid");
      answer_clock (worker, msg, 400, "invalid");
    }
  else if (call == CALL_START && worker->faults.unhealthy != 0)
    answer_clock (worker, msg, (guint)worker->faults.unhealthy, NULL);
  else if (!apply_faults (worker, msg, call, body))
    {
      reason = carry_out (worker, call, body);
      if (reason != NULL)
        answer_clock (worker, msg, 409, reason);
      else if (call == CALL_HOLD)
        answer_hold (worker, msg, body);
      else
        answer_clock (worker, msg, 200, NULL);
    }
}

/* Whether WORKER is there to answer MSG.  */
static gboolean
is_up (struct worker *worker, SoupServerMessage *msg)
{
  if (worker->state == WORKER_DOWN)
    answer_by_closing (msg);
  else if (worker->state == WORKER_SILENT)
    answer_by_silence (msg);
  return worker->state != WORKER_DOWN && worker->state != WORKER_SILENT;
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  struct worker *worker = data;
  json_t *body;

  if (!is_up (worker, msg))
    return;
  body = request_json (msg);
  for (int call = 0; call < WORKER_CALL_COUNT; call++)
    if (strcmp (path, paths[call]) == 0 && request_has_method (msg, "POST"))
      {
        handle_order (worker, msg, (enum worker_call)call, body);
        json_decref (body);
        return;
      }
  json_decref (body);
  answer_text (msg, 404, NULL);
}

static void
on_health (SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
  struct worker *worker = data;

  if (is_up (worker, msg))
    answer (worker, msg,
            worker->state == WORKER_READY && worker->faults.unhealthy == 0
                ? 200
                : 503,
            json_object ());
}

void
worker_add_calls (struct worker *worker, SoupServer *server)
{
  soup_server_add_handler (server, "/radishchute/", on_request, worker, NULL);
  soup_server_add_handler (server, "/healthz", on_health, worker, NULL);
}
