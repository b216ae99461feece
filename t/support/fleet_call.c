#include "t/support/fleet_bed.h"

static char *
control_url (struct fleet_bed *bed, const char *name)
{
  return fleet_bed_worker_control (bed, 0, name);
}

void
fleet_bed_set_worker_faults (struct fleet_bed *bed, const char *faults)
{
  g_autofree char *url = control_url (bed, "faults");

  http_post (url, faults);
}

void
fleet_bed_set_store_faults (struct fleet_bed *bed, const char *faults)
{
  g_autofree char *url = http_url (bed->store->ports[0], "/standin/faults");

  http_post (url, faults);
}

json_t *
fleet_bed_get_record (struct fleet_bed *bed)
{
  g_autofree char *url = control_url (bed, "record");

  return http_get_json (url);
}

struct wish
{
  const char *name;
  gint64 n;
};

static gboolean
is_reached (json_t *record, gpointer data)
{
  const struct wish *wish = data;

  return json_get_int (record, wish->name) >= wish->n;
}

void
fleet_bed_wait_count (struct fleet_bed *bed, const char *name, gint64 n)
{
  g_autofree char *url = control_url (bed, "record?list=0");
  struct wish wish = { name, n };

  json_decref (http_poll_until (url, is_reached, &wish));
}

static gboolean
is_idle (json_t *record, gpointer data)
{
  return json_get_int (record, "running") == 0;
}

void
fleet_bed_wait_idle (struct fleet_bed *bed)
{
  g_autofree char *url = control_url (bed, "record?list=0");

  json_decref (http_poll_until (url, is_idle, NULL));
}

static guint
count_prefix (struct fleet_bed *bed, const char *prefix, gboolean is_whole)
{
  json_t *record = fleet_bed_get_record (bed);
  json_t *list = json_get (record, "list");
  guint n = 0;
  json_t *run;
  size_t i;

  json_array_foreach (list, i, run)
  {
    const char *task = json_string_value (json_get (run, "task"));

    n += is_whole ? g_str_equal (task, prefix)
                  : g_str_has_prefix (task, prefix);
  }
  json_decref (record);
  return n;
}

guint
fleet_bed_count_starts (struct fleet_bed *bed, const char *id)
{
  g_autofree char *prefix = g_strdup_printf ("%s.", id);

  return count_prefix (bed, prefix, FALSE);
}

guint
fleet_bed_count_task (struct fleet_bed *bed, const char *id, guint index)
{
  g_autofree char *task = g_strdup_printf ("%s.0.0.%u", id, index);

  return count_prefix (bed, task, TRUE);
}

static gboolean
set_flag (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

void
fleet_bed_pass (guint ms)
{
  gboolean is_over = FALSE;

  g_timeout_add (ms, set_flag, &is_over);
  while (!is_over)
    g_main_context_iteration (NULL, TRUE);
}

static void
send_call (struct fleet_bed *bed, struct fleet_call *call, guint vm)
{
  const char *const headers[] = { "Host", "jobs.example", NULL };
  g_autofree char *path = g_strconcat (call->route, call->id, NULL);
  g_autofree char *url = fleet_bed_url (bed, vm, path);
  g_autofree char *body = g_strdup_printf (
      "{\"bestEffort\":true,\"spec\":\"%u\",\"steps\":[{\"count\":%u,"
      "\"cpu\":1000,\"memMb\":64,\"estMs\":%u}]}",
      call->run_ms, call->n_tasks, call->run_ms);

  call->call = http_begin ("POST", url, body, headers);
}

struct fleet_call *
fleet_bed_begin (struct fleet_bed *bed, guint vm, const char *route,
                 guint n_tasks, guint run_ms)
{
  struct fleet_call *call = g_new0 (struct fleet_call, 1);

  call->id = g_strdup_printf ("%016x", ++bed->n_jobs);
  call->route = route;
  call->n_tasks = n_tasks;
  call->run_ms = run_ms;
  send_call (bed, call, vm);
  return call;
}

void
fleet_call_repeat (struct fleet_bed *bed, struct fleet_call *call, guint vm)
{
  g_assert_null (call->call);
  g_clear_pointer (&call->body, g_free);
  send_call (bed, call, vm);
}

guint
fleet_call_wait (struct fleet_call *call)
{
  struct http_answer *answer = http_finish (call->call);

  call->call = NULL;
  call->status = answer->status;
  call->body = g_steal_pointer (&answer->body);
  http_answer_free (answer);
  return call->status;
}

static json_t *
read_body (const struct fleet_call *call)
{
  return call->body == NULL ? NULL : json_loads (call->body, 0, NULL);
}

gboolean
fleet_call_is_done (const struct fleet_call *call)
{
  json_t *body = read_body (call);
  const char *state = json_string_value (json_object_get (body, "state"));
  gboolean is_done = call->status == 200 && g_strcmp0 (state, "done") == 0;

  json_decref (body);
  return is_done;
}

void
fleet_call_assert_whole (const struct fleet_call *call)
{
  json_t *body = read_body (call);
  const char *state = json_string_value (json_object_get (body, "state"));
  const char *error = json_string_value (json_object_get (body, "error"));

  if (call->status == 200)
    g_assert_true (g_strcmp0 (state, "done") == 0
                   || g_strcmp0 (state, "failed") == 0);
  else if (call->status == 503)
    g_assert_cmpstr (error, ==, "not-run");
  else
    {
      g_assert_cmpuint (call->status, ==, 502);
      g_assert_cmpstr (error, ==, "unknown");
    }
  json_decref (body);
}

void
fleet_call_free (struct fleet_call *call)
{
  if (call->call != NULL)
    http_abandon (call->call);
  g_free (call->body);
  g_free (call->id);
  g_free (call);
}

gboolean
fleet_bed_run (struct fleet_bed *bed, guint vm, guint n_tasks, guint run_ms)
{
  struct fleet_call *call
      = fleet_bed_begin (bed, vm, FLEET_BED_PATIENT, n_tasks, run_ms);
  gboolean is_done;

  fleet_call_wait (call);
  is_done = fleet_call_is_done (call);
  if (!is_done)
    g_test_message ("job %s: %u %s", call->id, call->status, call->body);
  fleet_call_free (call);
  return is_done;
}
