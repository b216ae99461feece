#include "t/standin/upstream.h"

#include "base/clock.h"

#include <string.h>

#define FULL_SPEED_PERCENT 100

static const char *const outcome_names[]
    = { "done", "failed", "not-run", "stopped" };

static void
answer_outcome (SoupServerMessage *msg, enum task_outcome outcome, char *body)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (msg);

  soup_message_headers_append (headers, "Task-Outcome",
                               outcome_names[outcome]);
  answer_text (msg, outcome == OUTCOME_NOT_RUN ? 503 : 200, body);
}

void
upstream_refuse (struct upstream *upstream, struct task_record *record,
                 SoupServerMessage *msg, const char *reason)
{
  if (record != NULL)
    task_records_add_refusal (upstream->records, record);
  answer_outcome (msg, OUTCOME_NOT_RUN,
                  g_strdup_printf ("{\"message\":\"%s\"}", reason));
}

static char *
output_text (const struct task *task)
{
  return g_strdup_printf ("{\"upstream\":\"%s\",\"task\":\"%s\",\"echo\":%s}",
                          task->upstream->name, task->record->task,
                          task->echo);
}

static void
answer_task (struct task *task, enum task_outcome outcome)
{
  SoupServerMessage *msg = task->msg;

  if (task->faults.close_after_read)
    answer_by_closing (msg);
  else if (task->faults.junk)
    answer_outcome (msg, outcome, g_strdup ("{\"echo\": junk"));
  else if (task->faults.omit_outcome)
    answer_text (msg, 200, output_text (task));
  else if (outcome == OUTCOME_DONE)
    answer_outcome (msg, outcome, output_text (task));
  else
    answer_outcome (msg, outcome,
                    g_strdup_printf ("{\"message\":\"the task %s\"}",
                                     outcome == OUTCOME_STOPPED
                                         ? "was stopped"
                                         : "failed as asked"));
}

static void
free_task (struct task *task)
{
  if (task->msg != NULL)
    {
      g_signal_handler_disconnect (task->msg, task->finished_handler);
      g_object_unref (task->msg);
    }
  g_clear_handle_id (&task->timer, g_source_remove);
  g_free (task->echo);
  g_free (task);
}

static void
end_task (struct task *task, enum task_outcome outcome)
{
  g_hash_table_remove (task->upstream->running, task->record->task);
  task_records_add_end (task->upstream->records, task->record);
  if (task->msg != NULL)
    {
      gboolean closed = task->faults.close_after_read;

      answer_task (task, outcome);
      if (!closed)
        soup_server_message_unpause (task->msg);
    }
  free_task (task);
}

static void set_timer (struct task *task, gint64 now_us);

static gboolean
on_task_timer (gpointer data)
{
  struct task *task = data;
  gint64 now_us = clock_now_us ();

  task->timer = 0;
  if (now_us >= task->lease_deadline_us
      && task->lease_deadline_us <= task->run_deadline_us)
    end_task (task, OUTCOME_STOPPED);
  else if (now_us >= task->run_deadline_us)
    end_task (task, task->faults.fail ? OUTCOME_FAILED : OUTCOME_DONE);
  else
    set_timer (task, now_us);
  return G_SOURCE_REMOVE;
}

static void
set_timer (struct task *task, gint64 now_us)
{
  gint64 deadline_us = MIN (task->run_deadline_us, task->lease_deadline_us);
  gint64 wait_ms = (deadline_us - now_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC;

  g_clear_handle_id (&task->timer, g_source_remove);
  wait_ms = CLAMP (wait_ms, 0, G_MAXINT);
  task->timer = g_timeout_add ((guint)wait_ms, on_task_timer, task);
}

static void
set_run_deadline (struct task *task, gint64 now_us)
{
  if (task->faults.hang || task->percent <= 0)
    task->run_deadline_us = DEADLINE_NEVER;
  else
    task->run_deadline_us
        = now_us + task->work_left_us * FULL_SPEED_PERCENT / task->percent;
}

static void
on_message_finished (SoupServerMessage *msg, gpointer data)
{
  struct task *task = data;

  g_signal_handler_disconnect (msg, task->finished_handler);
  g_clear_object (&task->msg);
}

static char *
echo_text (const json_t *input)
{
  const json_t *value = json_object_get (input, "value");

  if (value == NULL)
    return g_strdup ("null");
  return json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
}

static void
run_for (struct task *task, gint64 run_us)
{
  gint64 now_us = clock_now_us ();

  task->msg = g_object_ref (task->msg);
  task->finished_handler = g_signal_connect (
      task->msg, "finished", G_CALLBACK (on_message_finished), task);
  g_hash_table_insert (task->upstream->running, task->record->task, task);
  soup_server_message_pause (task->msg);
  task->percent = FULL_SPEED_PERCENT;
  task->work_left_us = run_us;
  task->work_read_us = now_us;
  set_run_deadline (task, now_us);
  set_timer (task, now_us);
}

static void
run_at_once (struct task *task)
{
  task_records_add_end (task->upstream->records, task->record);
  answer_task (task, task->faults.fail ? OUTCOME_FAILED : OUTCOME_DONE);
  task->msg = NULL;
  free_task (task);
}

void
upstream_start (struct upstream *upstream, struct task_record *record,
                SoupServerMessage *msg, gint64 token, gint64 lease_ms,
                json_t *input)
{
  double run_ms = (double)json_int_member (input, "run_ms", 0);
  struct task *task;
  struct task_faults faults;

  faults_draw_task (&upstream->faults, upstream->random, input, &faults);
  if (faults.refuse)
    {
      upstream_refuse (upstream, record, msg, "refused as asked");
      return;
    }
  task_records_add_start (upstream->records, record, token);
  task = g_new0 (struct task, 1);
  task->upstream = upstream;
  task->record = record;
  task->msg = msg;
  task->token = token;
  task->lease_deadline_us = clock_now_us () + lease_ms * USEC_PER_MSEC;
  task->echo = echo_text (input);
  task->faults = faults;
  run_ms *= upstream->faults.slow_factor;
  if (run_ms <= 0 && !faults.hang)
    run_at_once (task);
  else
    run_for (task, (gint64)(run_ms * USEC_PER_MSEC));
}

struct task *
upstream_find_task (struct upstream *upstream, const char *id, gint64 token)
{
  struct task *task = g_hash_table_lookup (upstream->running, id);

  return task != NULL && task->token == token ? task : NULL;
}

void
task_renew (struct task *task, gint64 lease_ms)
{
  gint64 now_us = clock_now_us ();

  task->lease_deadline_us = now_us + lease_ms * USEC_PER_MSEC;
  set_timer (task, now_us);
}

void
task_stop (struct task *task)
{
  end_task (task, OUTCOME_STOPPED);
}

void
task_throttle (struct task *task, gint64 percent)
{
  gint64 now_us = clock_now_us ();
  gint64 worked_us
      = (now_us - task->work_read_us) * task->percent / FULL_SPEED_PERCENT;

  task->work_left_us = MAX (0, task->work_left_us - worked_us);
  task->work_read_us = now_us;
  task->percent = percent;
  set_run_deadline (task, now_us);
  set_timer (task, now_us);
}
