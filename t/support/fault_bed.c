#include "t/support/fault_bed.h"

#include "t/support/peers.h"

#define JOB_DEADLINE_MS 8000

struct fault_call
{
  char *ticket;
  char *text; /* of the submission */
  struct http_call *call;
  char *kind;  /* of the error that was answered */
  char *error; /* the kind and the message */
};

static char *
local_target (guint16 port)
{
  return g_strdup_printf ("127.0.0.1:%u", port);
}

static struct process *
start_proxy (struct process *const *targets, guint n)
{
  g_autoptr (GPtrArray) arguments = g_ptr_array_new_with_free_func (g_free);
  struct process *proxy;

  g_ptr_array_add (arguments, g_strdup ("proxy"));
  g_ptr_array_add (arguments, g_strdup ("--exit-on-eof"));
  for (guint i = 0; i < n; i++)
    {
      g_ptr_array_add (arguments, g_strdup ("--to"));
      g_ptr_array_add (arguments, local_target (targets[i]->ports[0]));
    }
  g_ptr_array_add (arguments, NULL);
  proxy
      = process_start_array ("standin", (const char *const *)arguments->pdata);
  process_wait_ready (proxy);
  return proxy;
}

static void
publish (struct fault_bed *bed)
{
  json_t *document = deployment_document (bed->deployment);
  json_t *service = json_object_get (json_object_get (document, "services"),
                                     DEPLOYMENT_SERVICE);
  json_t *upstreams = json_object ();

  for (guint i = 0; i < bed->n_upstreams; i++)
    {
      g_autofree char *name = g_strdup_printf ("proxied-%u", i);
      g_autofree char *address = local_target (bed->upstream_proxy->ports[i]);

      json_object_set_new (upstreams, name,
                           json_pack ("{s:s, s:s, s:f, s:i}", "address",
                                      address, "availability_zone",
                                      "reykjavik-a", "cpus", 16.0, "memory_mb",
                                      32768));
    }
  json_object_set_new (service, "upstreams", upstreams);
  json_object_set_new (service, "lease_ms", json_integer (FAULT_BED_LEASE_MS));
  deployment_publish (bed->deployment, document);
  json_decref (document);
}

struct fault_bed *
fault_bed_start (guint n_entries, guint n_upstreams)
{
  struct fault_bed *bed = g_new0 (struct fault_bed, 1);

  bed->deployment = deployment_start (n_entries, 1);
  bed->n_upstreams = n_upstreams;
  for (guint i = 0; i < n_upstreams; i++)
    bed->upstreams[i]
        = process_start_standin ("upstream", "--no-fencing", NULL);
  bed->upstream_proxy = start_proxy (bed->upstreams, n_upstreams);
  bed->caller_proxy = start_proxy (bed->deployment->entries, n_entries);
  bed->checker = checker_new ();
  if (n_entries > 1)
    peers_connect (bed->deployment);
  publish (bed);
  return bed;
}

static json_t *
get_starts (struct fault_bed *bed, guint index)
{
  g_autofree char *url
      = http_url (bed->upstreams[index]->ports[0], "/test/starts");

  return http_get_json (url);
}

static void
record_starts (struct fault_bed *bed, guint index)
{
  g_autofree char *name = g_strdup_printf ("upstream %u", index);
  json_t *body = get_starts (bed, index);

  checker_add_starts (bed->checker, name, body);
  bed->is_recorded[index] = TRUE;
  json_decref (body);
}

static void
record_changes (struct fault_bed *bed)
{
  g_autofree char *url = http_url (bed->deployment->platform->ports[0],
                                   "/test/streams/radishchute-config");
  json_t *dump = http_get_json (url);

  checker_add_changes (bed->checker, dump);
  json_decref (dump);
}

void
fault_bed_stop (struct fault_bed *bed)
{
  for (guint i = 0; i < bed->n_upstreams; i++)
    if (!bed->is_recorded[i])
      record_starts (bed, i);
  record_changes (bed);
  checker_verify (bed->checker);
  checker_free (bed->checker);
  process_free (bed->caller_proxy);
  process_free (bed->upstream_proxy);
  for (guint i = 0; i < bed->n_upstreams; i++)
    process_free (bed->upstreams[i]);
  deployment_stop (bed->deployment);
  g_free (bed);
}

static void
set_faults (const struct process *proxy, const char *faults)
{
  g_autofree char *url
      = http_url (proxy->ports[proxy->n_ports - 1], "/test/faults");

  http_post (url, faults);
}

void
fault_bed_set_upstream_faults (struct fault_bed *bed, const char *faults)
{
  set_faults (bed->upstream_proxy, faults);
}

void
fault_bed_set_caller_faults (struct fault_bed *bed, const char *faults)
{
  set_faults (bed->caller_proxy, faults);
}

void
fault_bed_set_task_faults (struct fault_bed *bed, guint index,
                           const char *faults)
{
  set_faults (bed->upstreams[index], faults);
}

void
fault_bed_set_outage (struct fault_bed *bed, const char *mode)
{
  g_autofree char *url
      = http_url (bed->deployment->platform->ports[0], "/test/outage");
  g_autofree char *body = g_strdup_printf ("{\"mode\":\"%s\"}", mode);

  http_post (url, body);
}

static gboolean
is_busy (json_t *body, gpointer data)
{
  return (json_get_int (body, "running") > 0) == (data != NULL);
}

static void
wait_running (struct fault_bed *bed, guint index, gpointer busy)
{
  g_autofree char *url
      = http_url (bed->upstreams[index]->ports[0], "/test/starts");

  json_decref (http_poll_until (url, is_busy, busy));
}

void
fault_bed_wait_busy (struct fault_bed *bed, guint index)
{
  wait_running (bed, index, bed);
}

void
fault_bed_wait_idle (struct fault_bed *bed, guint index)
{
  wait_running (bed, index, NULL);
}

gint64
fault_bed_count_starts (struct fault_bed *bed)
{
  gint64 n = 0;

  for (guint i = 0; i < bed->n_upstreams; i++)
    if (!bed->is_recorded[i])
      {
        json_t *body = get_starts (bed, i);

        n += json_get_int (body, "total");
        json_decref (body);
      }
  return n;
}

void
fault_bed_kill_upstream (struct fault_bed *bed, guint index)
{
  g_autofree char *faults = g_strdup_printf (
      "{\"route\":%u,\"closed\":true,\"up\":{\"silent\":true}}", index);

  set_faults (bed->upstream_proxy, faults);
  record_starts (bed, index);
  process_kill (bed->upstreams[index]);
}

void
fault_bed_record_version (struct fault_bed *bed, guint index)
{
  g_autofree char *url = deployment_url (bed->deployment, index, "/v1/state");
  g_autofree char *vm = g_strdup_printf ("entry-%u", index + 1);
  json_t *state = http_get_json (url);
  json_t *document = json_get (json_get (state, "documents"), DEPLOYMENT_TEAM);

  checker_add_in_force (bed->checker, vm, DEPLOYMENT_TEAM,
                        json_get_int (document, "version"));
  json_decref (state);
}

static char *
job_text (const char *ticket, guint n_tasks, guint run_ms, guint first_value)
{
  json_t *tasks = json_array ();
  json_t *job;
  char *text;

  for (guint i = 0; i < n_tasks; i++)
    json_array_append_new (tasks, json_pack ("{s:{s:i, s:i}}", "input",
                                             "run_ms", (int)run_ms, "value",
                                             (int)(first_value + i)));
  job = json_pack ("{s:s, s:s, s:s, s:i, s:b, s:o}", "ticket", ticket, "team",
                   DEPLOYMENT_TEAM, "service", DEPLOYMENT_SERVICE,
                   "deadline_ms", JOB_DEADLINE_MS, "idempotent", 0, "tasks",
                   tasks);
  text = json_dumps (job, JSON_COMPACT);
  json_decref (job);
  return text;
}

struct fault_call *
fault_bed_begin (struct fault_bed *bed, guint entry, guint n_tasks,
                 guint run_ms)
{
  g_autofree char *url
      = http_url (bed->caller_proxy->ports[entry], "/v1/jobs");
  struct fault_call *call = g_new0 (struct fault_call, 1);

  call->ticket = peers_draw_ticket (bed->deployment, entry);
  call->text = job_text (call->ticket, n_tasks, run_ms, bed->next_value);
  checker_add_job (bed->checker, call->ticket, n_tasks, bed->next_value);
  bed->next_value += n_tasks;
  call->call = http_begin ("POST", url, call->text, NULL);
  return call;
}

struct fault_call *
fault_bed_repeat (struct fault_bed *bed, guint entry,
                  const struct fault_call *call)
{
  g_autofree char *url = deployment_url (bed->deployment, entry, "/v1/jobs");
  struct fault_call *repeated = g_new0 (struct fault_call, 1);

  repeated->ticket = g_strdup (call->ticket);
  repeated->text = g_strdup (call->text);
  repeated->call = http_begin ("POST", url, call->text, NULL);
  return repeated;
}

static void
keep_kind (struct fault_call *call, const struct http_answer *answer)
{
  json_t *body = http_answer_json (answer);
  json_t *error = json_object_get (body, "error");

  call->kind = g_strdup (json_string_value (json_object_get (error, "kind")));
  if (call->kind != NULL)
    call->error = g_strdup_printf (
        "%s: %s", call->kind,
        json_string_value (json_object_get (error, "message")));
  json_decref (body);
}

guint
fault_call_wait (struct fault_bed *bed, struct fault_call *call)
{
  struct http_answer *answer = http_finish (call->call);
  guint status = answer->status;

  call->call = NULL;
  checker_add_answer (bed->checker, call->ticket, status, answer->body);
  keep_kind (call, answer);
  http_answer_free (answer);
  return status;
}

const char *
fault_call_kind (const struct fault_call *call)
{
  return call->kind;
}

const char *
fault_call_error (const struct fault_call *call)
{
  return call->error == NULL ? "no answer" : call->error;
}

void
fault_call_free (struct fault_call *call)
{
  if (call->call != NULL)
    http_abandon (call->call);
  g_free (call->ticket);
  g_free (call->text);
  g_free (call->kind);
  g_free (call->error);
  g_free (call);
}

guint
fault_bed_run (struct fault_bed *bed, guint entry, guint n_tasks, guint run_ms)
{
  struct fault_call *call = fault_bed_begin (bed, entry, n_tasks, run_ms);
  guint status = fault_call_wait (bed, call);

  fault_call_free (call);
  return status;
}
