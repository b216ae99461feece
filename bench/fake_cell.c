#include "bench/fake_cell.h"

#include "base/clock.h"
#include "coordination/dispatcher.h"
#include "coordination/health.h"

#include <math.h>
#include <time.h>

#define LEASE_MS 5000
#define FAST_FAILURE_US (1 * USEC_PER_MSEC)
#define SLOW_FACTOR 10
#define PART_FAILING 0.3

enum event_kind
{
  FAKE_END,
  FAKE_RENEWED,
  FAKE_OTHER_START, /* a task of another VM */
  FAKE_OTHER_END,
};

struct fake_job;

struct fake_task
{
  struct fake_job *job;
  gint64 run_us;
  guint attempt;       /* tells events of former attempts */
  gboolean is_counted; /* in n_own */
};

struct fake_job
{
  const struct workload_job *spec;
  struct job *job;
  struct fake_task *tasks; /* owned */
};

struct event
{
  gint64 when_us;
  guint64 sequence;
  enum event_kind kind;
  struct task *task;
  guint attempt;
  enum attempt_end end;
  struct upstream *upstream;
  guint number; /* of the upstream that another VM's task runs on */
};

struct fake_cell
{
  struct dispatcher_driver driver;
  const struct fake_options *options;
  const struct workload *workload;
  struct dispatcher *dispatcher;
  struct fake_result *result;
  GRand *random;
  GPtrArray *heap;   /* struct event */
  GPtrArray *all;    /* struct fake_job, owned */
  GPtrArray *active; /* struct fake_job */
  GBytes *output;
  guint64 next_sequence;
  gint64 now_us;
  gint64 wake_us;
  guint *n_own;    /* tasks of this VM that run, by upstream */
  guint *n_others; /* tasks of other VMs, by upstream */
};

static gboolean
event_precedes (const struct event *a, const struct event *b)
{
  if (a->when_us != b->when_us)
    return a->when_us < b->when_us;
  return a->sequence < b->sequence;
}

static void
swap_events (GPtrArray *heap, guint i, guint j)
{
  gpointer former = heap->pdata[i];

  heap->pdata[i] = heap->pdata[j];
  heap->pdata[j] = former;
}

static void
push_event (struct fake_cell *cell, struct event event)
{
  struct event *copy = g_memdup2 (&event, sizeof event);
  guint i = cell->heap->len;

  copy->sequence = cell->next_sequence++;
  g_ptr_array_add (cell->heap, copy);
  while (
      i > 0
      && event_precedes (cell->heap->pdata[i], cell->heap->pdata[(i - 1) / 2]))
    {
      swap_events (cell->heap, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static struct event *
pop_event (struct fake_cell *cell)
{
  GPtrArray *heap = cell->heap;
  struct event *first = heap->pdata[0];
  guint i = 0;

  swap_events (heap, 0, heap->len - 1);
  g_ptr_array_set_size (heap, (gint)heap->len - 1);
  for (;;)
    {
      guint child = 2 * i + 1;

      if (child >= heap->len)
        break;
      if (child + 1 < heap->len
          && event_precedes (heap->pdata[child + 1], heap->pdata[child]))
        child++;
      if (!event_precedes (heap->pdata[child], heap->pdata[i]))
        break;
      swap_events (heap, i, child);
      i = child;
    }
  return first;
}

static guint
get_number (const struct upstream *upstream)
{
  return (guint)g_ascii_strtoull (upstream->name + 1, NULL, 10);
}

static enum fake_fault
get_fault (const struct fake_cell *cell, const struct upstream *upstream)
{
  if (get_number (upstream) >= cell->options->n_faulty
      || cell->now_us < cell->options->fault_at_us
      || cell->now_us >= cell->options->fault_until_us)
    return FAKE_SOUND;
  return cell->options->fault;
}

static void
count_faulty_start (struct fake_cell *cell, const struct upstream *upstream)
{
  if (get_fault (cell, upstream) == FAKE_SOUND)
    return;
  if (upstream->health->n_probations == 0)
    cell->result->n_to_faulty++;
  else
    cell->result->n_after++;
  cell->result->n_periods = upstream->health->n_probations;
}

/* Whether tasks of other VMs have taken the slot that this VM takes for
   free.  */
static gboolean
is_taken (const struct fake_cell *cell, const struct upstream *upstream)
{
  guint number = get_number (upstream);

  return cell->n_others[number] + cell->n_own[number] >= cell->options->slots;
}

/* Decides how an attempt ends and how long it takes.  Returns FALSE when it
   never does.  */
static gboolean
decide_end (struct fake_cell *cell, const struct task *task, gint64 *after_us,
            enum attempt_end *end)
{
  const struct fake_task *fake = task->transport_data;
  gint64 travel_us = 2 * cell->options->travel_us;

  *end = ATTEMPT_ANSWER_DONE;
  *after_us = travel_us + fake->run_us;
  if (is_taken (cell, task->upstream))
    {
      *end = ATTEMPT_ANSWER_NOT_RUN;
      *after_us = travel_us;
      return TRUE;
    }
  switch (get_fault (cell, task->upstream))
    {
    case FAKE_FAILS_FAST:
      *end = ATTEMPT_ANSWER_FAILED;
      *after_us = travel_us + FAST_FAILURE_US;
      break;
    case FAKE_FAILS_PART:
      if (g_rand_double (cell->random) < PART_FAILING)
        *end = ATTEMPT_ANSWER_FAILED;
      break;
    case FAKE_SLOW:
      *after_us = travel_us + SLOW_FACTOR * fake->run_us;
      break;
    case FAKE_DEAD:
      *end = ATTEMPT_NOT_SENT;
      *after_us = travel_us;
      break;
    case FAKE_HANGS:
      return FALSE;
    case FAKE_SOUND:
      break;
    }
  return TRUE;
}

static void
cell_start_task (struct dispatcher_driver *driver, struct task *task)
{
  struct fake_cell *cell = (struct fake_cell *)driver;
  struct fake_task *fake = task->transport_data;
  enum attempt_end end;
  gint64 after_us;
  gboolean has_end;

  cell->result->n_starts++;
  count_faulty_start (cell, task->upstream);
  fake->attempt++;
  has_end = decide_end (cell, task, &after_us, &end);
  fake->is_counted = end != ATTEMPT_ANSWER_NOT_RUN;
  if (fake->is_counted)
    cell->n_own[get_number (task->upstream)]++;
  if (!has_end)
    return;
  push_event (cell, (struct event){ .when_us = cell->now_us + after_us,
                                    .kind = FAKE_END,
                                    .task = task,
                                    .attempt = fake->attempt,
                                    .end = end });
}

static void
cell_stop_task (struct dispatcher_driver *driver, struct task *task)
{
  struct fake_cell *cell = (struct fake_cell *)driver;
  struct fake_task *fake = task->transport_data;

  cell->result->n_stops++;
  fake->attempt++;
  push_event (cell, (struct event){ .when_us = cell->now_us
                                               + 2 * cell->options->travel_us,
                                    .kind = FAKE_END,
                                    .task = task,
                                    .attempt = fake->attempt,
                                    .end = ATTEMPT_ANSWER_STOPPED });
}

static void
cell_renew_leases (struct dispatcher_driver *driver, struct upstream *upstream)
{
  struct fake_cell *cell = (struct fake_cell *)driver;
  enum fake_fault fault = get_fault (cell, upstream);

  if (fault == FAKE_HANGS || fault == FAKE_DEAD)
    return;
  push_event (cell, (struct event){ .when_us = cell->now_us
                                               + 2 * cell->options->travel_us,
                                    .kind = FAKE_RENEWED,
                                    .upstream = upstream_ref (upstream) });
}

/* Goodput counts the jobs that end while load is offered.  */
static void
count_useful (struct fake_cell *cell, const struct workload_job *spec)
{
  if (cell->now_us < cell->options->warm_up_us
      || cell->now_us > cell->workload->end_us)
    return;
  for (guint i = 0; i < spec->n_tasks; i++)
    cell->result->useful_us += spec->run_us[i];
}

static void
count_complete (struct fake_cell *cell, const struct fake_job *fake)
{
  const struct workload_job *spec = fake->spec;
  struct fake_team_result *team = &cell->result->teams[spec->team];
  gdouble ideal_us = (gdouble)(workload_job_longest_us (spec)
                               + 2 * cell->options->travel_us);
  gdouble ratio = (gdouble)(cell->now_us - spec->arrival_us) / ideal_us;

  cell->result->n_tasks_done += spec->n_tasks;
  team->n_complete++;
  g_array_append_val (team->ratios, ratio);
}

static void
cell_finish_job (struct dispatcher_driver *driver, struct job *job)
{
  struct fake_cell *cell = (struct fake_cell *)driver;
  struct fake_task *first = job->tasks[0].transport_data;
  struct fake_job *fake = first->job;
  struct fake_team_result *team = &cell->result->teams[fake->spec->team];

  g_ptr_array_remove_fast (cell->active, fake);
  /* The job table and the running tasks keep it.  */
  job_unref (job);
  if (job->state == JOB_COMPLETE)
    count_useful (cell, fake->spec);
  if (fake->spec->arrival_us < cell->options->warm_up_us)
    return;
  if (job->state == JOB_COMPLETE)
    count_complete (cell, fake);
  else if (error_get_kind (job->failure) == ERROR_NOT_RUN
           || job->deadline_us <= cell->now_us)
    team->n_late++;
  else
    team->n_failed++;
}

static void
cell_wake_at (struct dispatcher_driver *driver, gint64 when_us)
{
  struct fake_cell *cell = (struct fake_cell *)driver;

  cell->wake_us = when_us;
}

static const struct dispatcher_driver_ops cell_ops
    = { cell_start_task, cell_stop_task, cell_renew_leases, cell_finish_job,
        cell_wake_at };

static void
add_upstreams (const struct fake_options *options, struct service *service)
{
  for (guint i = 0; i < options->n_upstreams; i++)
    {
      g_autofree char *name = g_strdup_printf ("u%u", i);
      g_autofree char *address
          = g_strdup_printf ("127.0.%u.%u:9000", i / 250, i % 250 + 1);
      struct upstream_spec *spec
          = service_add_upstream (service, name, address);

      g_free (spec->rack);
      spec->rack
          = g_strdup_printf ("r%u", i / MAX (options->upstreams_per_rack, 1));
    }
}

static void
apply_team (struct fake_cell *cell, guint number)
{
  const struct fake_options *options = cell->options;
  g_autofree char *name = g_strdup_printf ("t%u", number);
  struct document *document = document_new (name);
  struct service *service = document_add_service (document, "s");

  document->version = 1;
  service->slots_per_upstream = options->slots;
  service->lease_ms = LEASE_MS;
  if (options->max_queued_tasks > 0)
    service->max_queued_tasks = options->max_queued_tasks;
  g_free (service->placement);
  g_free (service->order);
  service->placement = g_strdup (options->placement);
  service->order = g_strdup (options->order);
  add_upstreams (options, service);
  dispatcher_apply_document (cell->dispatcher, document, cell->now_us);
  document_unref (document);
}

static void
apply_shares (struct fake_cell *cell)
{
  for (guint i = 0; cell->options->share > 0 && i < cell->options->n_upstreams;
       i++)
    {
      g_autofree char *name = g_strdup_printf ("u%u", i);

      dispatcher_set_slot_share (cell->dispatcher, "t0/s", name,
                                 cell->options->share, DEADLINE_NEVER,
                                 cell->now_us);
    }
}

static struct fake_result *
result_new (guint n_teams)
{
  struct fake_result *result = g_new0 (struct fake_result, 1);

  result->n_teams = n_teams;
  result->teams = g_new0 (struct fake_team_result, n_teams);
  for (guint i = 0; i < n_teams; i++)
    result->teams[i].ratios = g_array_new (FALSE, FALSE, sizeof (gdouble));
  return result;
}

void
fake_result_free (struct fake_result *result)
{
  for (guint i = 0; i < result->n_teams; i++)
    g_array_unref (result->teams[i].ratios);
  g_free (result->teams);
  g_free (result);
}

static void
submit (struct fake_cell *cell, const struct workload_job *spec, guint number)
{
  g_autofree char *id = g_strdup_printf ("j%u", number);
  g_autofree char *team = g_strdup_printf ("t%u", spec->team);
  struct fake_job *fake = g_new0 (struct fake_job, 1);
  struct fake_team_result *result = &cell->result->teams[spec->team];
  gboolean counts = spec->arrival_us >= cell->options->warm_up_us;

  fake->spec = spec;
  fake->job = job_new (id, team, "s", spec->n_tasks);
  fake->job->deadline_us = spec->deadline_us;
  fake->tasks = g_new0 (struct fake_task, spec->n_tasks);
  g_ptr_array_add (cell->all, fake);
  for (guint i = 0; i < spec->n_tasks; i++)
    {
      struct fake_task *task = &fake->tasks[i];

      task->job = fake;
      task->run_us = spec->run_us[i];
      fake->job->tasks[i].transport_data = task;
      fake->job->tasks[i].declared_run_time_us = spec->declared_us[i];
    }
  result->n_offered += counts ? 1 : 0;
  g_ptr_array_add (cell->active, fake);
  if (dispatcher_submit (cell->dispatcher, fake->job, cell->now_us, NULL))
    return;
  g_ptr_array_remove_fast (cell->active, fake);
  job_unref (fake->job);
  result->n_refused += counts ? 1 : 0;
}

static void
fake_job_free (gpointer data)
{
  struct fake_job *fake = data;

  g_free (fake->tasks);
  g_free (fake);
}

static gdouble
read_processor_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (gdouble)ts.tv_sec * USEC_PER_SEC + (gdouble)ts.tv_nsec / 1000;
}

/* Cancels jobs in one go; their waiting tasks are dropped.  */
static void
cancel_jobs (struct fake_cell *cell)
{
  guint n = MIN (cell->options->cancel_count, cell->active->len);

  for (guint i = 0; i < n; i++)
    {
      struct fake_job *fake
          = g_ptr_array_index (cell->active, cell->active->len - 1);
      gdouble began_us = read_processor_us ();
      gdouble took_us;

      dispatcher_cancel (cell->dispatcher, fake->job, cell->now_us);
      took_us = read_processor_us () - began_us;
      cell->result->n_cancelled++;
      cell->result->cancel_us += took_us;
      cell->result->slowest_cancel_us
          = MAX (cell->result->slowest_cancel_us, took_us);
    }
}

/* Other VMs' tasks come at random and go where a slot is free; their runs are
   exponential with this mean.  */
#define OTHER_MEAN_US (400 * USEC_PER_MSEC)

static gint64
draw_exponential (struct fake_cell *cell, gdouble mean_us)
{
  return 1 + (gint64)(-log (1 - g_rand_double (cell->random)) * mean_us);
}

static void
schedule_other (struct fake_cell *cell)
{
  const struct fake_options *options = cell->options;
  gdouble n_busy
      = options->others_load * options->n_upstreams * (gdouble)options->slots;

  if (n_busy <= 0 || cell->now_us >= cell->workload->end_us)
    return;
  push_event (cell,
              (struct event){
                  .when_us = cell->now_us
                             + draw_exponential (cell, OTHER_MEAN_US / n_busy),
                  .kind = FAKE_OTHER_START });
}

/* Puts another VM's task on some upstream with a free slot, if any.  */
static void
start_other (struct fake_cell *cell)
{
  const struct fake_options *options = cell->options;
  guint n = options->n_upstreams;
  guint first = (guint)g_rand_int_range (cell->random, 0, (gint)n);

  for (guint i = 0; i < n; i++)
    {
      guint number = (first + i) % n;
      guint limit = options->slots - options->share;

      if (options->share == 0)
        limit -= MIN (limit, cell->n_own[number]);
      if (cell->n_others[number] >= limit)
        continue;
      cell->n_others[number]++;
      push_event (cell, (struct event){ .when_us = cell->now_us
                                                   + draw_exponential (
                                                       cell, OTHER_MEAN_US),
                                        .kind = FAKE_OTHER_END,
                                        .number = number });
      return;
    }
}

static void
handle_event (struct fake_cell *cell, struct event *event)
{
  struct fake_task *fake;

  if (event->kind == FAKE_OTHER_START)
    {
      start_other (cell);
      schedule_other (cell);
      return;
    }
  if (event->kind == FAKE_OTHER_END)
    {
      cell->n_others[event->number]--;
      return;
    }
  if (event->kind == FAKE_RENEWED)
    {
      dispatcher_note_lease_renewed (cell->dispatcher, event->upstream,
                                     cell->now_us + LEASE_MS * USEC_PER_MSEC
                                         - 2 * cell->options->travel_us);
      upstream_unref (event->upstream);
      return;
    }
  fake = event->task->transport_data;
  if (fake->attempt != event->attempt)
    return;
  if (fake->is_counted)
    cell->n_own[get_number (event->task->upstream)]--;
  fake->is_counted = FALSE;
  if (event->end == ATTEMPT_NOT_SENT || event->end == ATTEMPT_ANSWER_NOT_RUN)
    cell->result->n_refusals++;
  dispatcher_report_attempt (
      cell->dispatcher, event->task, event->end,
      event->end == ATTEMPT_ANSWER_DONE ? cell->output : NULL, cell->now_us);
}

/* Performs what is next.  Returns FALSE at the end.  */
static gboolean
step (struct fake_cell *cell, guint *next_job)
{
  const struct workload *workload = cell->workload;
  gint64 arrival_us = DEADLINE_NEVER;
  gint64 event_us = DEADLINE_NEVER;

  if (*next_job < workload->jobs->len)
    {
      struct workload_job *job = g_ptr_array_index (workload->jobs, *next_job);

      arrival_us = job->arrival_us;
    }
  if (cell->heap->len > 0)
    event_us = ((struct event *)cell->heap->pdata[0])->when_us;
  if (arrival_us == DEADLINE_NEVER
      && dispatcher_count_unfinished (cell->dispatcher) == 0)
    return FALSE;
  if (cell->wake_us <= MIN (arrival_us, event_us))
    {
      cell->now_us = MAX (cell->now_us, cell->wake_us);
      dispatcher_run_timers (cell->dispatcher, cell->now_us);
    }
  else if (event_us <= arrival_us)
    {
      struct event *event = pop_event (cell);

      cell->now_us = event_us;
      handle_event (cell, event);
      g_free (event);
    }
  else
    {
      cell->now_us = arrival_us;
      submit (cell, g_ptr_array_index (workload->jobs, *next_job), *next_job);
      (*next_job)++;
    }
  return TRUE;
}

struct fake_result *
fake_cell_run (const struct workload *workload,
               const struct fake_options *options)
{
  struct dispatcher_config config = { 1, (gsize)1 << 32, "a" };
  struct fake_cell *cell = g_new0 (struct fake_cell, 1);
  struct fake_result *result = result_new (MAX (options->n_teams, 1));
  gdouble began_us = read_processor_us ();
  gboolean has_cancelled = options->cancel_count == 0;
  guint next_job = 0;

  cell->driver.ops = &cell_ops;
  cell->options = options;
  cell->workload = workload;
  cell->result = result;
  cell->random = g_rand_new_with_seed (1);
  cell->heap = g_ptr_array_new ();
  cell->all = g_ptr_array_new_with_free_func (fake_job_free);
  cell->active = g_ptr_array_new ();
  cell->output = g_bytes_new_static ("{}", 2);
  cell->dispatcher = dispatcher_new (&cell->driver, &config);
  cell->n_own = g_new0 (guint, options->n_upstreams);
  cell->n_others = g_new0 (guint, options->n_upstreams);
  for (guint i = 0; i < result->n_teams; i++)
    apply_team (cell, i);
  apply_shares (cell);
  schedule_other (cell);
  while (step (cell, &next_job))
    {
      if (!has_cancelled && cell->now_us >= options->cancel_at_us)
        {
          cancel_jobs (cell);
          has_cancelled = TRUE;
        }
      /* Goodput is measured while load is offered.  */
      if (cell->now_us <= workload->end_us)
        result->span_us = cell->now_us - options->warm_up_us;
    }
  result->cpu_us = read_processor_us () - began_us;
  dispatcher_free (cell->dispatcher);
  g_bytes_unref (cell->output);
  g_ptr_array_unref (cell->active);
  g_ptr_array_unref (cell->all);
  g_ptr_array_unref (cell->heap);
  g_free (cell->n_own);
  g_free (cell->n_others);
  g_rand_free (cell->random);
  g_free (cell);
  return result;
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  gdouble x = *(const gdouble *)a;
  gdouble y = *(const gdouble *)b;

  return (x > y) - (x < y);
}

GArray *
fake_result_sort_ratios (struct fake_result *result)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (gdouble));

  for (guint i = 0; i < result->n_teams; i++)
    {
      GArray *ratios = result->teams[i].ratios;

      g_array_sort (ratios, compare_doubles);
      if (ratios->len > 0)
        g_array_append_vals (all, ratios->data, ratios->len);
    }
  g_array_sort (all, compare_doubles);
  return all;
}

gdouble
percentile (const GArray *ratios, gdouble p)
{
  if (ratios->len == 0)
    return 0;
  return g_array_index (ratios, gdouble, (guint)(p * (ratios->len - 1)));
}
