#include "bench/fake_cell.h"

#include "base/clock.h"
#include "coordination/dispatcher.h"
#include "coordination/health.h"

#include <math.h>
#include <time.h>

#define LEASE_MS 5000

/* Effects of the faults.  */
#define FAST_FAILURE_DELAY_US (1 * USEC_PER_MSEC)
#define SLOWDOWN_FACTOR 10
#define PARTIAL_FAILURE_RATE 0.3

enum event_kind
{
  SIM_EVENT_ATTEMPT_END,    /* the answer to a start or a stop arrives */
  SIM_EVENT_LEASES_RENEWED, /* the answer to a lease renewal arrives */
  SIM_EVENT_OTHER_VM_START, /* another VM starts a task */
  SIM_EVENT_OTHER_VM_END,   /* a task of another VM ends */
};

struct simulated_job;

struct simulated_task
{
  struct simulated_job *job;
  gint64 run_time_us;
  guint attempt;       /* incremented by each start and stop; an event with
                          another value is outdated and ignored */
  gboolean is_counted; /* whether n_own_running counts the attempt */
};

struct simulated_job
{
  const struct workload_job *spec;
  struct job *job;              /* referenced until it finishes */
  struct simulated_task *tasks; /* owned, one for each task of SPEC */
};

struct event
{
  gint64 when_us;
  guint64 sequence; /* order of events at the same time */
  enum event_kind kind;
  struct task *task;         /* SIM_EVENT_ATTEMPT_END */
  guint attempt;             /* SIM_EVENT_ATTEMPT_END: the task's attempt */
  enum attempt_end end;      /* SIM_EVENT_ATTEMPT_END */
  struct upstream *upstream; /* SIM_EVENT_LEASES_RENEWED: a reference */
  guint upstream_index;      /* SIM_EVENT_OTHER_VM_END */
};

struct simulation
{
  struct dispatcher_driver driver;
  const struct simulation_options *options;
  const struct workload *workload;
  struct dispatcher *dispatcher;
  struct simulation_result *result;
  GRand *random;
  GPtrArray *events;      /* struct event, owned, a min-heap by time */
  GPtrArray *jobs;        /* struct simulated_job, owned */
  GPtrArray *active_jobs; /* struct simulated_job, the unfinished ones */
  GBytes *output;         /* of every task */
  guint64 next_sequence;
  gint64 now_us;
  gint64 timers_due_us;    /* the time given to the last wake_at () */
  guint *n_own_running;    /* running tasks of this VM, by upstream index */
  guint *n_others_running; /* running tasks of other VMs, by upstream index */
};

static gboolean
event_precedes (const struct event *a, const struct event *b)
{
  if (a->when_us != b->when_us)
    return a->when_us < b->when_us;
  return a->sequence < b->sequence;
}

static void
swap_events (GPtrArray *events, guint i, guint j)
{
  gpointer previous = events->pdata[i];

  events->pdata[i] = events->pdata[j];
  events->pdata[j] = previous;
}

static void
push_event (struct simulation *sim, struct event event)
{
  struct event *copy = g_memdup2 (&event, sizeof event);
  guint i = sim->events->len;

  copy->sequence = sim->next_sequence++;
  g_ptr_array_add (sim->events, copy);
  while (i > 0
         && event_precedes (sim->events->pdata[i],
                            sim->events->pdata[(i - 1) / 2]))
    {
      swap_events (sim->events, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static struct event *
pop_event (struct simulation *sim)
{
  GPtrArray *events = sim->events;
  struct event *first = events->pdata[0];
  guint i = 0;

  swap_events (events, 0, events->len - 1);
  g_ptr_array_set_size (events, (gint)events->len - 1);
  for (;;)
    {
      guint child = 2 * i + 1;

      if (child >= events->len)
        break;
      if (child + 1 < events->len
          && event_precedes (events->pdata[child + 1], events->pdata[child]))
        child++;
      if (!event_precedes (events->pdata[child], events->pdata[i]))
        break;
      swap_events (events, i, child);
      i = child;
    }
  return first;
}

/* Upstreams are called u0, u1 and so on.  */
static guint
get_upstream_index (const struct upstream *upstream)
{
  return (guint)g_ascii_strtoull (upstream->name + 1, NULL, 10);
}

/* The fault that UPSTREAM has now.  */
static enum upstream_fault
get_fault (const struct simulation *sim, const struct upstream *upstream)
{
  if (get_upstream_index (upstream) >= sim->options->n_faulty
      || sim->now_us < sim->options->fault_start_us
      || sim->now_us >= sim->options->fault_end_us)
    return FAULT_NONE;
  return sim->options->fault;
}

/* Counts a start on UPSTREAM if it is faulty now, by whether its health has a
   probation on record.  */
static void
count_faulty_start (struct simulation *sim, const struct upstream *upstream)
{
  if (get_fault (sim, upstream) == FAULT_NONE)
    return;
  if (upstream->health->n_probations == 0)
    sim->result->n_faulty_starts_before++;
  else
    sim->result->n_faulty_starts_after++;
  sim->result->n_probations = upstream->health->n_probations;
}

/* Whether tasks of this VM and of other VMs occupy all slots of UPSTREAM,
   which then refuses further tasks.  */
static gboolean
is_upstream_full (const struct simulation *sim,
                  const struct upstream *upstream)
{
  guint upstream_index = get_upstream_index (upstream);

  return sim->n_others_running[upstream_index]
             + sim->n_own_running[upstream_index]
         >= sim->options->slots_per_upstream;
}

/* Sets END to how an attempt to run TASK ends, and AFTER_US to the time in
   microseconds until this VM gets the answer.  Returns FALSE, with both to be
   ignored, if the attempt is never answered.  */
static gboolean
choose_attempt_end (struct simulation *sim, const struct task *task,
                    gint64 *after_us, enum attempt_end *end)
{
  const struct simulated_task *sim_task = task->transport_data;
  gint64 round_trip_us = 2 * sim->options->one_way_delay_us;

  *end = ATTEMPT_ANSWER_DONE;
  *after_us = round_trip_us + sim_task->run_time_us;
  if (is_upstream_full (sim, task->upstream))
    {
      *end = ATTEMPT_ANSWER_NOT_RUN;
      *after_us = round_trip_us;
      return TRUE;
    }
  switch (get_fault (sim, task->upstream))
    {
    case FAULT_FAIL_FAST:
      *end = ATTEMPT_ANSWER_FAILED;
      *after_us = round_trip_us + FAST_FAILURE_DELAY_US;
      break;
    case FAULT_FAIL_PARTLY:
      if (g_rand_double (sim->random) < PARTIAL_FAILURE_RATE)
        *end = ATTEMPT_ANSWER_FAILED;
      break;
    case FAULT_SLOW:
      *after_us = round_trip_us + SLOWDOWN_FACTOR * sim_task->run_time_us;
      break;
    case FAULT_UNREACHABLE:
      *end = ATTEMPT_NOT_SENT;
      *after_us = round_trip_us;
      break;
    case FAULT_HANG:
      return FALSE;
    case FAULT_NONE:
      break;
    }
  return TRUE;
}

static void
sim_start_task (struct dispatcher_driver *driver, struct task *task)
{
  struct simulation *sim = (struct simulation *)driver;
  struct simulated_task *sim_task = task->transport_data;
  enum attempt_end end;
  gint64 after_us;
  gboolean is_answered;

  sim->result->n_starts++;
  count_faulty_start (sim, task->upstream);
  sim_task->attempt++;
  is_answered = choose_attempt_end (sim, task, &after_us, &end);
  sim_task->is_counted = end != ATTEMPT_ANSWER_NOT_RUN;
  if (sim_task->is_counted)
    sim->n_own_running[get_upstream_index (task->upstream)]++;
  if (!is_answered)
    return;
  push_event (sim, (struct event){ .when_us = sim->now_us + after_us,
                                   .kind = SIM_EVENT_ATTEMPT_END,
                                   .task = task,
                                   .attempt = sim_task->attempt,
                                   .end = end });
}

static void
sim_stop_task (struct dispatcher_driver *driver, struct task *task)
{
  struct simulation *sim = (struct simulation *)driver;
  struct simulated_task *sim_task = task->transport_data;

  sim->result->n_stops++;
  sim_task->attempt++;
  push_event (sim,
              (struct event){ .when_us = sim->now_us
                                         + 2 * sim->options->one_way_delay_us,
                              .kind = SIM_EVENT_ATTEMPT_END,
                              .task = task,
                              .attempt = sim_task->attempt,
                              .end = ATTEMPT_ANSWER_STOPPED });
}

static void
sim_renew_leases (struct dispatcher_driver *driver, struct upstream *upstream)
{
  struct simulation *sim = (struct simulation *)driver;
  enum upstream_fault fault = get_fault (sim, upstream);

  if (fault == FAULT_HANG || fault == FAULT_UNREACHABLE)
    return;
  push_event (sim,
              (struct event){ .when_us = sim->now_us
                                         + 2 * sim->options->one_way_delay_us,
                              .kind = SIM_EVENT_LEASES_RENEWED,
                              .upstream = upstream_ref (upstream) });
}

/* Adds a complete job to the goodput, which counts only the jobs that complete
   between the warm-up and the end of the arrivals.  */
static void
add_goodput (struct simulation *sim, const struct workload_job *spec)
{
  if (sim->now_us < sim->options->warm_up_us
      || sim->now_us > sim->workload->end_us)
    return;
  for (guint i = 0; i < spec->n_tasks; i++)
    sim->result->goodput_us += spec->run_times_us[i];
}

static void
record_complete_job (struct simulation *sim,
                     const struct simulated_job *sim_job)
{
  const struct workload_job *spec = sim_job->spec;
  struct team_result *team_result = &sim->result->teams[spec->team];
  gdouble ideal_us = (gdouble)(workload_job_get_longest_us (spec)
                               + 2 * sim->options->one_way_delay_us);
  gdouble ratio = (gdouble)(sim->now_us - spec->arrival_us) / ideal_us;

  sim->result->n_tasks_done += spec->n_tasks;
  team_result->n_complete++;
  g_array_append_val (team_result->ratios, ratio);
}

static void
sim_finish_job (struct dispatcher_driver *driver, struct job *job)
{
  struct simulation *sim = (struct simulation *)driver;
  struct simulated_task *first_task = job->tasks[0].transport_data;
  struct simulated_job *sim_job = first_task->job;
  struct team_result *team_result = &sim->result->teams[sim_job->spec->team];

  g_ptr_array_remove_fast (sim->active_jobs, sim_job);
  /* The job table and the running tasks hold other references.  */
  job_unref (job);
  if (job->state == JOB_COMPLETE)
    add_goodput (sim, sim_job->spec);
  if (sim_job->spec->arrival_us < sim->options->warm_up_us)
    return;
  if (job->state == JOB_COMPLETE)
    record_complete_job (sim, sim_job);
  else if (error_get_kind (job->failure) == ERROR_NOT_RUN
           || job->deadline_us <= sim->now_us)
    team_result->n_late++;
  else
    team_result->n_failed++;
}

static void
sim_wake_at (struct dispatcher_driver *driver, gint64 when_us)
{
  struct simulation *sim = (struct simulation *)driver;

  sim->timers_due_us = when_us;
}

static const struct dispatcher_driver_ops sim_driver_ops
    = { sim_start_task, sim_stop_task, sim_renew_leases, sim_finish_job,
        sim_wake_at };

static void
add_upstreams (const struct simulation_options *options,
               struct service *service)
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

/* Applies a document for team TEAM_INDEX with one service on all upstreams. */
static void
apply_team_document (struct simulation *sim, guint team_index)
{
  const struct simulation_options *options = sim->options;
  g_autofree char *name = g_strdup_printf ("t%u", team_index);
  struct document *document = document_new (name);
  struct service *service = document_add_service (document, "s");

  document->version = 1;
  service->slots_per_upstream = options->slots_per_upstream;
  service->lease_ms = LEASE_MS;
  if (options->max_queued_tasks > 0)
    service->max_queued_tasks = options->max_queued_tasks;
  g_free (service->placement);
  g_free (service->order);
  service->placement = g_strdup (options->placement);
  service->order = g_strdup (options->order);
  add_upstreams (options, service);
  dispatcher_apply_document (sim->dispatcher, document, sim->now_us);
  document_unref (document);
}

/* Limits the slots that this VM may use.  Covers team 0 only.  */
static void
apply_slot_shares (struct simulation *sim)
{
  for (guint i = 0;
       sim->options->slot_share > 0 && i < sim->options->n_upstreams; i++)
    {
      g_autofree char *name = g_strdup_printf ("u%u", i);

      dispatcher_set_slot_share (sim->dispatcher, "t0/s", name,
                                 sim->options->slot_share, DEADLINE_NEVER,
                                 sim->now_us);
    }
}

static struct simulation_result *
result_new (guint n_teams)
{
  struct simulation_result *result = g_new0 (struct simulation_result, 1);

  result->n_teams = n_teams;
  result->teams = g_new0 (struct team_result, n_teams);
  for (guint i = 0; i < n_teams; i++)
    result->teams[i].ratios = g_array_new (FALSE, FALSE, sizeof (gdouble));
  return result;
}

void
simulation_result_free (struct simulation_result *result)
{
  for (guint i = 0; i < result->n_teams; i++)
    g_array_unref (result->teams[i].ratios);
  g_free (result->teams);
  g_free (result);
}

static void
submit_job (struct simulation *sim, const struct workload_job *spec,
            guint job_index)
{
  g_autofree char *id = g_strdup_printf ("j%u", job_index);
  g_autofree char *team = g_strdup_printf ("t%u", spec->team);
  struct simulated_job *sim_job = g_new0 (struct simulated_job, 1);
  struct team_result *team_result = &sim->result->teams[spec->team];
  gboolean is_measured = spec->arrival_us >= sim->options->warm_up_us;

  sim_job->spec = spec;
  sim_job->job = job_new (id, team, "s", spec->n_tasks);
  sim_job->job->deadline_us = spec->deadline_us;
  sim_job->tasks = g_new0 (struct simulated_task, spec->n_tasks);
  g_ptr_array_add (sim->jobs, sim_job);
  for (guint i = 0; i < spec->n_tasks; i++)
    {
      struct simulated_task *sim_task = &sim_job->tasks[i];

      sim_task->job = sim_job;
      sim_task->run_time_us = spec->run_times_us[i];
      sim_job->job->tasks[i].transport_data = sim_task;
      sim_job->job->tasks[i].declared_run_time_us
          = spec->declared_run_times_us[i];
    }
  team_result->n_offered += is_measured ? 1 : 0;
  g_ptr_array_add (sim->active_jobs, sim_job);
  if (dispatcher_submit (sim->dispatcher, sim_job->job, sim->now_us, NULL))
    return;
  g_ptr_array_remove_fast (sim->active_jobs, sim_job);
  job_unref (sim_job->job);
  team_result->n_refused += is_measured ? 1 : 0;
}

static void
simulated_job_free (gpointer data)
{
  struct simulated_job *sim_job = data;

  g_free (sim_job->tasks);
  g_free (sim_job);
}

static gdouble
get_process_cpu_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (gdouble)ts.tv_sec * USEC_PER_SEC + (gdouble)ts.tv_nsec / 1000;
}

/* Cancels up to n_jobs_to_cancel unfinished jobs at once, which drops their
   queued tasks.  */
static void
cancel_jobs (struct simulation *sim)
{
  guint n = MIN (sim->options->n_jobs_to_cancel, sim->active_jobs->len);

  for (guint i = 0; i < n; i++)
    {
      struct simulated_job *sim_job
          = g_ptr_array_index (sim->active_jobs, sim->active_jobs->len - 1);
      gdouble start_cpu_us = get_process_cpu_us ();
      gdouble elapsed_cpu_us;

      dispatcher_cancel (sim->dispatcher, sim_job->job, sim->now_us);
      elapsed_cpu_us = get_process_cpu_us () - start_cpu_us;
      sim->result->n_cancelled++;
      sim->result->cancel_cpu_us += elapsed_cpu_us;
      sim->result->max_cancel_cpu_us
          = MAX (sim->result->max_cancel_cpu_us, elapsed_cpu_us);
    }
}

/* Tasks of other VMs arrive as a Poisson process and run on an upstream with a
   free slot.  Their run times are exponential with this mean.  */
#define OTHER_VM_MEAN_RUN_US (400 * USEC_PER_MSEC)

static gint64
draw_exponential (struct simulation *sim, gdouble mean_us)
{
  return 1 + (gint64)(-log (1 - g_rand_double (sim->random)) * mean_us);
}

/* Schedules the next start so that other VMs use a fraction of other_vms_load
   of all slots on average.  */
static void
schedule_other_vm_start (struct simulation *sim)
{
  const struct simulation_options *options = sim->options;
  gdouble n_busy_slots = options->other_vms_load * options->n_upstreams
                         * (gdouble)options->slots_per_upstream;

  if (n_busy_slots <= 0 || sim->now_us >= sim->workload->end_us)
    return;
  push_event (sim, (struct event){
                       .when_us = sim->now_us
                                  + draw_exponential (sim, OTHER_VM_MEAN_RUN_US
                                                               / n_busy_slots),
                       .kind = SIM_EVENT_OTHER_VM_START });
}

/* Starts another VM's task on a random upstream with a free slot.  Drops the
   task when no slot is free.  */
static void
start_other_vm_task (struct simulation *sim)
{
  const struct simulation_options *options = sim->options;
  guint n = options->n_upstreams;
  guint first = (guint)g_rand_int_range (sim->random, 0, (gint)n);

  for (guint i = 0; i < n; i++)
    {
      guint upstream_index = (first + i) % n;
      guint limit = options->slots_per_upstream - options->slot_share;

      /* With a share, other VMs leave it free.  Without, they may use every
         slot that this VM's tasks do not occupy.  */
      if (options->slot_share == 0)
        limit -= MIN (limit, sim->n_own_running[upstream_index]);
      if (sim->n_others_running[upstream_index] >= limit)
        continue;
      sim->n_others_running[upstream_index]++;
      push_event (
          sim, (struct event){
                   .when_us = sim->now_us
                              + draw_exponential (sim, OTHER_VM_MEAN_RUN_US),
                   .kind = SIM_EVENT_OTHER_VM_END,
                   .upstream_index = upstream_index });
      return;
    }
}

static void
handle_event (struct simulation *sim, struct event *event)
{
  struct simulated_task *sim_task;

  if (event->kind == SIM_EVENT_OTHER_VM_START)
    {
      start_other_vm_task (sim);
      schedule_other_vm_start (sim);
      return;
    }
  if (event->kind == SIM_EVENT_OTHER_VM_END)
    {
      sim->n_others_running[event->upstream_index]--;
      return;
    }
  if (event->kind == SIM_EVENT_LEASES_RENEWED)
    {
      /* The lease counts from the request, a round trip ago.  */
      dispatcher_note_lease_renewed (sim->dispatcher, event->upstream,
                                     sim->now_us + LEASE_MS * USEC_PER_MSEC
                                         - 2 * sim->options->one_way_delay_us);
      upstream_unref (event->upstream);
      return;
    }
  sim_task = event->task->transport_data;
  if (sim_task->attempt != event->attempt)
    return;
  if (sim_task->is_counted)
    sim->n_own_running[get_upstream_index (event->task->upstream)]--;
  sim_task->is_counted = FALSE;
  if (event->end == ATTEMPT_NOT_SENT || event->end == ATTEMPT_ANSWER_NOT_RUN)
    sim->result->n_refusals++;
  dispatcher_report_attempt (
      sim->dispatcher, event->task, event->end,
      event->end == ATTEMPT_ANSWER_DONE ? sim->output : NULL, sim->now_us);
}

/* Advances the clock to the next timer, event or job arrival and handles it.
   Returns FALSE when all jobs have arrived and finished.  */
static gboolean
run_next_event (struct simulation *sim, guint *next_job_index)
{
  const struct workload *workload = sim->workload;
  gint64 arrival_us = DEADLINE_NEVER;
  gint64 event_us = DEADLINE_NEVER;

  if (*next_job_index < workload->jobs->len)
    {
      struct workload_job *job
          = g_ptr_array_index (workload->jobs, *next_job_index);

      arrival_us = job->arrival_us;
    }
  if (sim->events->len > 0)
    event_us = ((struct event *)sim->events->pdata[0])->when_us;
  if (arrival_us == DEADLINE_NEVER
      && dispatcher_count_unfinished (sim->dispatcher) == 0)
    return FALSE;
  if (sim->timers_due_us <= MIN (arrival_us, event_us))
    {
      sim->now_us = MAX (sim->now_us, sim->timers_due_us);
      dispatcher_run_timers (sim->dispatcher, sim->now_us);
    }
  else if (event_us <= arrival_us)
    {
      struct event *event = pop_event (sim);

      sim->now_us = event_us;
      handle_event (sim, event);
      g_free (event);
    }
  else
    {
      sim->now_us = arrival_us;
      submit_job (sim, g_ptr_array_index (workload->jobs, *next_job_index),
                  *next_job_index);
      (*next_job_index)++;
    }
  return TRUE;
}

struct simulation_result *
simulation_run (const struct workload *workload,
                const struct simulation_options *options)
{
  struct dispatcher_config config
      = { .seed = 1, .max_bytes = (gsize)1 << 32, .availability_zone = "a" };
  struct simulation *sim = g_new0 (struct simulation, 1);
  struct simulation_result *result = result_new (MAX (options->n_teams, 1));
  gdouble start_cpu_us = get_process_cpu_us ();
  gboolean has_cancelled = options->n_jobs_to_cancel == 0;
  guint next_job_index = 0;

  sim->driver.ops = &sim_driver_ops;
  sim->options = options;
  sim->workload = workload;
  sim->result = result;
  sim->random = g_rand_new_with_seed (1);
  sim->events = g_ptr_array_new ();
  sim->jobs = g_ptr_array_new_with_free_func (simulated_job_free);
  sim->active_jobs = g_ptr_array_new ();
  sim->output = g_bytes_new_static ("{}", 2);
  sim->dispatcher = dispatcher_new (&sim->driver, &config);
  sim->n_own_running = g_new0 (guint, options->n_upstreams);
  sim->n_others_running = g_new0 (guint, options->n_upstreams);
  for (guint i = 0; i < result->n_teams; i++)
    apply_team_document (sim, i);
  apply_slot_shares (sim);
  schedule_other_vm_start (sim);
  while (run_next_event (sim, &next_job_index))
    {
      if (!has_cancelled && sim->now_us >= options->cancel_at_us)
        {
          cancel_jobs (sim);
          has_cancelled = TRUE;
        }
      /* Goodput is measured until the arrivals end.  */
      if (sim->now_us <= workload->end_us)
        result->goodput_window_us = sim->now_us - options->warm_up_us;
    }
  result->cpu_us = get_process_cpu_us () - start_cpu_us;
  dispatcher_free (sim->dispatcher);
  g_bytes_unref (sim->output);
  g_ptr_array_unref (sim->active_jobs);
  g_ptr_array_unref (sim->jobs);
  g_ptr_array_unref (sim->events);
  g_free (sim->n_own_running);
  g_free (sim->n_others_running);
  g_rand_free (sim->random);
  g_free (sim);
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
simulation_result_merge_ratios (struct simulation_result *result)
{
  GArray *merged = g_array_new (FALSE, FALSE, sizeof (gdouble));

  for (guint i = 0; i < result->n_teams; i++)
    {
      GArray *ratios = result->teams[i].ratios;

      g_array_sort (ratios, compare_doubles);
      if (ratios->len > 0)
        g_array_append_vals (merged, ratios->data, ratios->len);
    }
  g_array_sort (merged, compare_doubles);
  return merged;
}

gdouble
ratios_get_quantile (const GArray *ratios, gdouble p)
{
  if (ratios->len == 0)
    return 0;
  return g_array_index (ratios, gdouble, (guint)(p * (ratios->len - 1)));
}
