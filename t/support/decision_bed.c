#include "t/support/decision_bed.h"

#include "base/clock.h"
#include "base/event_log.h"

#define BED_START_US (1000 * USEC_PER_SEC)

static void
bed_start_task (struct dispatcher_driver *driver, struct task *task)
{
  struct bed *bed = (struct bed *)driver;

  bed->n_starts++;
  g_ptr_array_add (bed->started, task);
}

static void
bed_stop_task (struct dispatcher_driver *driver, struct task *task)
{
  struct bed *bed = (struct bed *)driver;

  g_ptr_array_add (bed->stopped, task);
}

static void
bed_renew_leases (struct dispatcher_driver *driver, struct upstream *upstream)
{
  struct bed *bed = (struct bed *)driver;

  g_ptr_array_add (bed->renewed, upstream_ref (upstream));
}

static void
bed_finish_job (struct dispatcher_driver *driver, struct job *job)
{
  struct bed *bed = (struct bed *)driver;

  g_ptr_array_add (bed->finished, job);
}

static void
bed_wake_at (struct dispatcher_driver *driver, gint64 when_us)
{
  struct bed *bed = (struct bed *)driver;

  bed->wake_us = when_us;
}

static const struct dispatcher_driver_ops bed_ops
    = { bed_start_task, bed_stop_task, bed_renew_leases, bed_finish_job,
        bed_wake_at };

struct bed *
bed_new (void)
{
  struct bed *bed = g_new0 (struct bed, 1);
  struct dispatcher_config config = { 1, BED_MAX_BYTES, "a" };

  event_log_set_level (LOG_LEVEL_ERROR);
  bed->driver.ops = &bed_ops;
  bed->now_us = BED_START_US;
  bed->started = g_ptr_array_new ();
  bed->stopped = g_ptr_array_new ();
  bed->renewed
      = g_ptr_array_new_with_free_func ((GDestroyNotify)upstream_unref);
  bed->finished = g_ptr_array_new ();
  bed->jobs = g_ptr_array_new_with_free_func ((GDestroyNotify)job_unref);
  bed->output = g_bytes_new_static ("1", 1);
  bed->dispatcher = dispatcher_new (&bed->driver, &config);
  return bed;
}

struct bed *
bed_new_with (guint n_upstreams, guint slots)
{
  struct bed *bed = bed_new ();

  bed_apply (bed, bed_make_document ("t", 1, n_upstreams, slots));
  return bed;
}

void
bed_free (struct bed *bed)
{
  for (guint i = 0; i < bed->jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (bed->jobs, i);

      if (job->pool != NULL)
        dispatcher_cancel (bed->dispatcher, job, bed->now_us);
    }
  while (bed->started->len > 0)
    bed_end (bed, g_ptr_array_index (bed->started, 0), ATTEMPT_ANSWER_STOPPED);
  dispatcher_free (bed->dispatcher);
  g_ptr_array_unref (bed->renewed);
  g_ptr_array_unref (bed->jobs);
  g_ptr_array_unref (bed->finished);
  g_ptr_array_unref (bed->stopped);
  g_ptr_array_unref (bed->started);
  g_bytes_unref (bed->output);
  g_free (bed);
}

struct document *
bed_make_document (const char *team, guint64 version, guint n_upstreams,
                   guint slots)
{
  struct document *document = document_new (team);
  struct service *service = document_add_service (document, "s");

  document->version = version;
  service->slots_per_upstream = slots;
  service->lease_ms = BED_LEASE_MS;
  service->max_input_bytes = BED_MAX_BYTES;
  for (guint i = 0; i < n_upstreams; i++)
    {
      g_autofree char *name = g_strdup_printf ("u%u", i);
      g_autofree char *address = g_strdup_printf ("127.0.0.%u:9000", i + 1);

      service_add_upstream (service, name, address);
    }
  return document;
}

struct service *
bed_service (struct document *document)
{
  return g_ptr_array_index (document->services, 0);
}

struct upstream_spec *
bed_upstream_spec (struct document *document, guint number)
{
  return g_ptr_array_index (bed_service (document)->upstreams, number);
}

void
bed_apply (struct bed *bed, struct document *document)
{
  dispatcher_apply_document (bed->dispatcher, document, bed->now_us);
  document_unref (document);
}

struct job *
bed_make_job (struct bed *bed, guint n_tasks)
{
  g_autofree char *id = g_strdup_printf ("j%u", bed->jobs->len);
  struct job *job = job_new (id, "t", "s", n_tasks);

  g_ptr_array_add (bed->jobs, job);
  return job;
}

struct job *
bed_submit (struct bed *bed, guint n_tasks)
{
  struct job *job = bed_make_job (bed, n_tasks);
  g_autoptr (GError) error = NULL;

  dispatcher_submit (bed->dispatcher, job, bed->now_us, &error);
  g_assert_no_error (error);
  return job;
}

void
bed_expect_refusal (struct bed *bed, struct job *job, enum error_kind kind)
{
  guint n_starts = bed->n_starts;
  g_autoptr (GError) error = NULL;

  g_assert_false (
      dispatcher_submit (bed->dispatcher, job, bed->now_us, &error));
  g_assert_error (error, RADISHCHUTE_ERROR, (int)kind);
  g_assert_cmpuint (bed->n_starts, ==, n_starts);
}

void
bed_end (struct bed *bed, struct task *task, enum attempt_end end)
{
  g_assert_true (g_ptr_array_remove (bed->started, task));
  dispatcher_report_attempt (bed->dispatcher, task, end,
                             end == ATTEMPT_ANSWER_DONE ? bed->output : NULL,
                             bed->now_us);
}

void
bed_end_all (struct bed *bed, guint n)
{
  for (guint i = 0; i < n && bed->started->len > 0; i++)
    bed_end (bed, g_ptr_array_index (bed->started, 0), ATTEMPT_ANSWER_DONE);
}

struct task *
bed_find_running (struct bed *bed, const char *upstream)
{
  for (guint i = 0; i < bed->started->len; i++)
    {
      struct task *task = g_ptr_array_index (bed->started, i);

      if (g_str_equal (task->upstream->name, upstream))
        return task;
    }
  return NULL;
}

void
bed_answer_renewals (struct bed *bed)
{
  for (guint i = 0; i < bed->renewed->len; i++)
    dispatcher_note_lease_renewed (bed->dispatcher,
                                   g_ptr_array_index (bed->renewed, i),
                                   bed->now_us + BED_LEASE_MS * USEC_PER_MSEC);
  g_ptr_array_set_size (bed->renewed, 0);
}

void
bed_pass (struct bed *bed, gint64 us)
{
  gint64 until_us = bed->now_us + us;

  while (bed->wake_us <= until_us)
    {
      bed->now_us = MAX (bed->now_us, bed->wake_us);
      dispatcher_run_timers (bed->dispatcher, bed->now_us);
    }
  bed->now_us = until_us;
}

void
bed_pause (struct bed *bed, gint64 us)
{
  bed->now_us += us;
  dispatcher_run_timers (bed->dispatcher, bed->now_us);
}

struct upstream *
bed_find_upstream (struct bed *bed, const char *name)
{
  struct task *task = bed_find_running (bed, name);

  g_assert_nonnull (task);
  return task->upstream;
}
