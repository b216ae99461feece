#include "protocol/job_json.h"

#include "base/clock.h"
#include "protocol/json_read.h"

#include <string.h>

#define MAX_DECLARED_RUN_TIME_MS (24 * 60 * 60 * 1000)
#define MAX_CPUS 1024
#define MAX_MEMORY_MB (16 * 1024 * 1024)
#define MAX_ACCELERATORS 64
#define DEFAULT_DEADLINE_MS 60000

/* Names of teams and of services; error messages quote them.  */
#define MAX_NAME_BYTES 255

static const char *const job_keys[]
    = { "ticket",           "team",       "service", "deadline_ms",
        "deadline_unix_ms", "idempotent", "tasks",   NULL };
static const char *const task_keys[]
    = { "input",        "run_time_ms", "cpus", "memory_mb",
        "accelerators", "idempotent",  NULL };

static void
parse_task (struct json_check *check, json_t *object, struct task *task)
{
  g_autofree char *path = g_strdup_printf ("tasks[%u]", task->index);
  json_t *input = NULL;
  char *text = NULL;
  gint64 run_time_ms = 0;

  if (!json_is_object (object))
    {
      json_check_add_problem (check, path,
                              "must be an object with an 'input'");
      return;
    }
  json_check_keys (check, path, object, task_keys);
  json_read_integer (check, path, object, "run_time_ms", FALSE, 0,
                     MAX_DECLARED_RUN_TIME_MS, &run_time_ms);
  task->declared_run_time_us = run_time_ms * USEC_PER_MSEC;
  json_read_number (check, path, object, "cpus", 0, MAX_CPUS,
                    &task->need.cpus);
  json_read_uint (check, path, object, "memory_mb", 0, MAX_MEMORY_MB,
                  &task->need.memory_mb);
  json_read_uint (check, path, object, "accelerators", 0, MAX_ACCELERATORS,
                  &task->need.accelerators);
  json_read_boolean (check, path, object, "idempotent", &task->is_idempotent);
  input = json_object_get (object, "input");
  text = input != NULL ? json_format (input) : g_strdup ("null");
  task->input = g_bytes_new_take (text, strlen (text));
}

static void
read_name (struct json_check *check, json_t *root, const char *key,
           const char **name)
{
  const char *value = NULL;

  if (!json_read_string (check, "job", root, key, TRUE, &value))
    return;
  if (strlen (value) <= MAX_NAME_BYTES)
    *name = value;
  else
    json_check_add_problem (check, "job", "'%s' must have at most %d bytes",
                            key, MAX_NAME_BYTES);
}

static void
parse_deadline (struct json_check *check, json_t *root, struct job *job,
                gint64 now_us)
{
  gint64 value = DEFAULT_DEADLINE_MS;

  if (json_read_integer (check, "job", root, "deadline_unix_ms", FALSE, 0,
                         G_MAXINT64, &value))
    {
      job->deadline_us = clock_deadline_from_unix_ms (value, now_us);
      job->deadline_us = MIN (job->deadline_us,
                              now_us + JOB_MAX_DEADLINE_MS * USEC_PER_MSEC);
      return;
    }
  json_read_integer (check, "job", root, "deadline_ms", FALSE, 1,
                     JOB_MAX_DEADLINE_MS, &value);
  job->deadline_us = now_us + value * USEC_PER_MSEC;
}

static struct job *
parse_job (struct json_check *check, json_t *root, gint64 now_us)
{
  const char *team = "";
  const char *service = "";
  gboolean is_idempotent = TRUE;
  json_t *tasks = NULL;
  struct job *job;

  json_check_keys (check, "job", root, job_keys);
  read_name (check, root, "team", &team);
  read_name (check, root, "service", &service);
  json_read_boolean (check, "job", root, "idempotent", &is_idempotent);
  if (!json_read_array (check, "job", root, "tasks", TRUE, &tasks))
    return NULL;
  if (json_array_size (tasks) < 1 || json_array_size (tasks) > JOB_MAX_TASKS)
    {
      json_check_add_problem (
          check, "job", "'tasks' must have 1 to %d entries", JOB_MAX_TASKS);
      return NULL;
    }
  job = job_new ("", team, service, (guint)json_array_size (tasks));
  parse_deadline (check, root, job, now_us);
  for (guint i = 0; i < job->n_tasks; i++)
    {
      job->tasks[i].is_idempotent = is_idempotent;
      parse_task (check, json_array_get (tasks, i), &job->tasks[i]);
    }
  return job;
}

static void
parse_root (struct json_check *check, json_t *root, gint64 now_us,
            struct submission *submission)
{
  const char *ticket = NULL;

  if (!json_is_object (root))
    {
      json_check_add_problem (check, "job", "must be an object");
      return;
    }
  if (json_read_string (check, "job", root, "ticket", FALSE, &ticket))
    submission->ticket = g_strdup (ticket);
  submission->job = parse_job (check, root, now_us);
}

struct submission *
submission_parse (GBytes *body, gint64 now_us, GError **error)
{
  struct submission *submission;
  struct json_check check;
  gsize length;
  const char *text = g_bytes_get_data (body, &length);
  json_t *root = json_parse (text, length, error);

  if (root == NULL)
    return NULL;
  submission = g_new0 (struct submission, 1);
  json_check_init (&check, "submission");
  parse_root (&check, root, now_us, submission);
  json_decref (root);
  if (!json_check_end (&check, error))
    g_clear_pointer (&submission, submission_free);
  return submission;
}

void
submission_free (struct submission *submission)
{
  g_free (submission->ticket);
  if (submission->job != NULL)
    job_unref (submission->job);
  g_free (submission);
}

static GBytes *
string_to_bytes (GString *text)
{
  gsize length = text->len;

  return g_bytes_new_take (g_string_free (text, FALSE), length);
}

static void
build_complete_answer (struct job *job)
{
  GString *text = g_string_new ("{\"job\":\"");

  g_string_append (text, job->id);
  g_string_append (text, "\",\"status\":\"complete\",\"outputs\":[");
  for (guint i = 0; i < job->n_tasks; i++)
    {
      gsize length;
      const char *output = g_bytes_get_data (job->tasks[i].output, &length);

      if (i > 0)
        g_string_append_c (text, ',');
      g_string_append_len (text, output, (gssize)length);
      g_clear_pointer (&job->tasks[i].output, g_bytes_unref);
    }
  g_string_append (text, "]}\n");
  job->answer = string_to_bytes (text);
  job->answer_status = 200;
}

void
job_build_answer (struct job *job)
{
  if (job->state == JOB_COMPLETE)
    build_complete_answer (job);
  else
    {
      job->answer = error_format_answer (job->failure, job->id);
      job->answer_status
          = error_kind_http_status (error_get_kind (job->failure));
      for (guint i = 0; i < job->n_tasks; i++)
        g_clear_pointer (&job->tasks[i].output, g_bytes_unref);
    }
  job_drop_inputs (job);
}

GBytes *
job_format_running (const struct job *job)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"job\":\"%s\",\"status\":\"running\","
                          "\"tasks\":%u,\"done\":%u,\"running\":%u}\n",
                          job->id, job->n_tasks, job->n_done, job->n_running);
  return string_to_bytes (text);
}

/* The value of "status" in an answer that reports an error of KIND.  */
static const char *
get_error_status (enum error_kind kind)
{
  if (error_kind_is_not_run (kind) || kind == ERROR_NOT_FOUND)
    return "refused";
  return "failed";
}

GBytes *
error_format_answer (const GError *error, const char *job_id)
{
  enum error_kind kind = error_get_kind (error);
  json_t *root = json_object ();
  json_t *detail = json_object ();
  char *text;

  if (job_id != NULL)
    json_object_set_new (root, "job", json_string (job_id));
  json_object_set_new (root, "status", json_string (get_error_status (kind)));
  json_object_set_new (detail, "kind", json_string (error_kind_name (kind)));
  json_object_set_new (detail, "message", json_string (error->message));
  json_object_set_new (root, "error", detail);
  text = json_format (root);
  json_decref (root);
  return g_bytes_new_take (text, strlen (text));
}
