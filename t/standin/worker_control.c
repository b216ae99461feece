/*
 * The controls of the worker stand-ins of a process, under /standin/.
 */
#include "t/standin/worker.h"

#include "base/clock.h"

#include <string.h>

static const char *const call_names[WORKER_CALL_COUNT]
    = { "run-start", "run-stop", "hold" };

gboolean
fleet_draw (struct fleet *fleet, gint64 percent)
{
  return percent > 0 && g_rand_int_range (fleet->random, 0, 100) < percent;
}

/* Does what a control asks for to one worker.  */
typedef void apply_control (struct worker *worker, const json_t *body);

/* Applies a control to the worker that the body of MSG names, or to all.  */
static void
apply_to_workers (struct fleet *fleet, SoupServerMessage *msg,
                  apply_control *apply)
{
  json_t *body = request_json (msg);
  gint64 index = json_int_member (body, "worker", -1);

  if (!json_is_object (body) || index >= fleet->workers->len)
    {
      json_decref (body);
      answer_text (msg, 400, NULL);
      return;
    }
  for (guint i = 0; i < fleet->workers->len; i++)
    if (index < 0 || index == i)
      apply (g_ptr_array_index (fleet->workers, i), body);
  json_decref (body);
  answer_json (msg, 200, json_object ());
}

static void
set_calls (struct worker_faults *faults, json_t *names)
{
  if (names == NULL)
    return;
  for (int call = 0; call < WORKER_CALL_COUNT; call++)
    {
      faults->is_on[call] = FALSE;
      for (size_t i = 0; i < json_array_size (names); i++)
        if (g_strcmp0 (json_string_value (json_array_get (names, i)),
                       call_names[call])
            == 0)
          faults->is_on[call] = TRUE;
    }
}

static void
set_faults (struct worker *worker, const json_t *body)
{
  struct worker_faults *faults = &worker->faults;
  const struct
  {
    const char *name;
    gint64 *value;
  } members[] = {
    { "lose_percent", &faults->lose_percent },
    { "drop_percent", &faults->drop_percent },
    { "late_percent", &faults->late_percent },
    { "late_ms", &faults->late_ms },
    { "fail_percent", &faults->fail_percent },
    { "hang_percent", &faults->hang_percent },
    { "unhealthy", &faults->unhealthy },
  };
  const json_t *slow = json_object_get (body, "slow_factor");

  for (gsize i = 0; i < G_N_ELEMENTS (members); i++)
    *members[i].value
        = json_int_member (body, members[i].name, *members[i].value);
  if (json_is_number (slow))
    faults->slow_factor = json_number_value (slow);
  set_calls (faults, json_object_get (body, "on"));
}

static void
crash (struct worker *worker, const json_t *body)
{
  worker_end_life (worker, json_int_member (body, "silent", 0) != 0
                               ? WORKER_SILENT
                               : WORKER_DOWN);
}

static void
rebirth (struct worker *worker, const json_t *body)
{
  const char *id = json_text_member (body, "id");

  worker_end_life (worker, WORKER_DOWN);
  if (id != NULL)
    {
      g_free (worker->id);
      worker->id = g_strdup (id);
    }
  worker->is_unregistering = FALSE;
  worker_boot (worker);
  worker_beat (worker);
}

static gboolean
on_leave (gpointer data)
{
  struct worker *worker = data;

  worker->leave_timer = 0;
  worker_end_life (worker, WORKER_DOWN);
  worker_unregister (worker);
  return G_SOURCE_REMOVE;
}

void
worker_begin_leaving (struct worker *worker)
{
  if (worker->leave_timer != 0)
    return;
  worker->leave_us = clock_now_us () + worker->drain_ms * USEC_PER_MSEC;
  worker->leave_timer
      = g_timeout_add ((guint)worker->drain_ms, on_leave, worker);
}

static void
drain (struct worker *worker, const json_t *body)
{
  if (worker->state != WORKER_READY)
    return;
  worker->state = WORKER_DRAINING;
  worker->drain_ms = json_int_member (body, "drain_ms", 2000);
  if (worker->fleet->store_port == 0)
    worker_begin_leaving (worker);
  worker_beat (worker);
}

static void
on_faults (SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
  apply_to_workers (data, msg, set_faults);
}

static void
on_crash (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  apply_to_workers (data, msg, crash);
}

static void
on_rebirth (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  apply_to_workers (data, msg, rebirth);
}

static void
on_drain (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  apply_to_workers (data, msg, drain);
}

static void
on_record (SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
  struct fleet *fleet = data;
  const char *list
      = query == NULL ? NULL : g_hash_table_lookup (query, "list");

  for (guint i = 0; i < fleet->workers->len; i++)
    worker_advance (g_ptr_array_index (fleet->workers, i));
  answer_json (
      msg, 200,
      worker_record_to_json (fleet->record, g_strcmp0 (list, "0") != 0));
}

static void
on_reset (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  struct fleet *fleet = data;

  worker_record_reset (fleet->record);
  answer_json (msg, 200, json_object ());
}

static const struct
{
  const char *path;
  SoupServerCallback handler;
} controls[] = {
  { "/standin/faults", on_faults },   { "/standin/crash", on_crash },
  { "/standin/rebirth", on_rebirth }, { "/standin/drain", on_drain },
  { "/standin/record", on_record },   { "/standin/reset", on_reset },
};

void
fleet_add_controls (struct fleet *fleet, SoupServer *server)
{
  for (gsize i = 0; i < G_N_ELEMENTS (controls); i++)
    soup_server_add_handler (server, controls[i].path, controls[i].handler,
                             fleet, NULL);
}
