/*
 * Compares ways in which the entry VMs of one zone share their upstreams.
 * Simulates several dispatchers on one clock, with upstreams that refuse the
 * tasks that exceed their slots.
 *
 * usage: bench-share
 */
#include "base/clock.h"
#include "base/list.h"
#include "bench/share/share.h"
#include "bench/workload.h"
#include "coordination/dispatcher.h"

#include <stdio.h>

#define MAX_VMS 8
#define N_UPSTREAMS 16
#define SLOTS_PER_UPSTREAM 8
#define N_SLOTS (N_UPSTREAMS * SLOTS_PER_UPSTREAM)
#define DURATION_US (120 * USEC_PER_SEC)
#define WARM_UP_US (20 * USEC_PER_SEC)
#define BORROW_CHECK_INTERVAL_US (50 * USEC_PER_MSEC)
#define PEER_ONE_WAY_DELAY_US 500 /* between two entry VMs */
#define HEARTBEAT_INTERVAL_US (500 * USEC_PER_MSEC)
#define LEASE_MS 5000
#define POOL_KEY "t0/s" /* team "t0", service "s" */
#define SEED 7

/* How the VMs share the slots.  */
enum sharing
{
  SHARING_NONE, /* each VM may use all slots and knows only its own tasks */
  SHARING_EVEN, /* each VM has only its base slots */
  SHARING_LEND_ASK_ALL, /* base slots; a VM with queued tasks asks the others
                           for slots one by one until it has enough */
  SHARING_LEND_BY_LOAD, /* base slots; a VM with queued tasks asks the VM
                           with most idle slots by the last heartbeats */
  SHARING_COUNT
};

static const char *const sharing_names[SHARING_COUNT]
    = { "all, local", "even", "lend, ask all", "lend, by load" };

/* How jobs are distributed over the VMs.  */
enum balance
{
  BALANCE_EVEN,   /* to a random VM */
  BALANCE_SKEWED, /* half to the first VM, the others to a random VM */
  BALANCE_COUNT
};

static const char *const balance_names[BALANCE_COUNT] = { "even", "skewed" };

struct simulation;

struct vm
{
  struct dispatcher_driver driver;
  struct share_driver share_driver;
  struct simulation *sim;
  struct dispatcher *dispatcher;
  struct share_table *shares; /* NULL with SHARING_NONE */
  char *name;
  guint n_used_slots[N_UPSTREAMS]; /* by tasks sent and not yet answered */
  gint64 timers_due_us;            /* the time given to the last wake_at () */
  guint n_idle_slots; /* by its last heartbeat, less the slots lent since; 0
                         once it has lent fewer than asked for */
  gint64 next_heartbeat_us;
};

struct simulated_task
{
  struct vm *vm; /* the VM that has the job */
  const struct workload_job *spec;
  gint64 run_time_us;
  gboolean is_running; /* unused */
};

enum event_kind
{
  SIM_EVENT_START_RECEIVED,  /* a start arrives at the upstream */
  SIM_EVENT_TASK_END,        /* the upstream has run the task */
  SIM_EVENT_ANSWER_RECEIVED, /* the answer to a start arrives at the VM */
  SIM_EVENT_LEASES_RENEWED,  /* the answer to a renewal arrives at the VM */
  SIM_EVENT_BORROW_CHECK     /* a VM checks whether it has to borrow slots */
};

struct event
{
  gint64 when_us;
  guint64 sequence; /* order of events at the same time */
  enum event_kind kind;
  struct vm *vm;
  struct task *task;
  struct upstream *upstream; /* SIM_EVENT_LEASES_RENEWED: a reference */
  enum attempt_end end;      /* SIM_EVENT_ANSWER_RECEIVED */
};

struct simulation
{
  const struct workload *workload;
  gint64 one_way_delay_us;
  enum sharing sharing;
  enum balance balance;
  guint n_vms;
  struct vm vms[MAX_VMS];
  guint n_running[N_UPSTREAMS]; /* tasks of all VMs, by upstream index */
  GSequence *events;            /* struct event, owned, by time */
  guint64 next_sequence;
  gint64 now_us;
  GRand *random;
  GBytes *output;
  GArray *ratios; /* gdouble, response time of each complete job over its ideal
                     response time, as in bench/fake_cell.h */
  guint n_incomplete_jobs;  /* refused or failed */
  guint64 n_tasks_done;     /* of complete jobs */
  guint64 n_refused_starts; /* starts that an upstream refused */
  guint64 n_share_messages; /* requests for slots and their answers */
};

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;

  if (x->when_us != y->when_us)
    return x->when_us < y->when_us ? -1 : 1;
  return x->sequence < y->sequence ? -1 : 1;
}

static void
push_event (struct simulation *sim, struct event event)
{
  struct event *copy = g_memdup2 (&event, sizeof event);

  copy->sequence = sim->next_sequence++;
  g_sequence_insert_sorted (sim->events, copy, compare_events, NULL);
}

static guint
get_upstream_index (const char *name)
{
  return (guint)g_ascii_strtoull (name + 1, NULL, 10);
}

static void
start_task (struct dispatcher_driver *driver, struct task *task)
{
  struct vm *vm = (struct vm *)(void *)driver;

  vm->n_used_slots[get_upstream_index (task->upstream->name)]++;
  push_event (vm->sim, (struct event){ .when_us = vm->sim->now_us
                                                  + vm->sim->one_way_delay_us,
                                       .kind = SIM_EVENT_START_RECEIVED,
                                       .vm = vm,
                                       .task = task });
}

/* Has no effect: every started task runs to its end.  */
static void
stop_task (struct dispatcher_driver *driver, struct task *task)
{
}

static void
renew_leases (struct dispatcher_driver *driver, struct upstream *upstream)
{
  struct vm *vm = (struct vm *)(void *)driver;

  push_event (vm->sim,
              (struct event){ .when_us = vm->sim->now_us
                                         + 2 * vm->sim->one_way_delay_us,
                              .kind = SIM_EVENT_LEASES_RENEWED,
                              .vm = vm,
                              .upstream = upstream_ref (upstream) });
}

static void
finish_job (struct dispatcher_driver *driver, struct job *job)
{
  struct vm *vm = (struct vm *)(void *)driver;
  struct simulation *sim = vm->sim;
  const struct simulated_task *task = job->tasks[0].transport_data;
  const struct workload_job *spec = task->spec;
  gdouble ideal_us = (gdouble)(workload_job_get_longest_us (spec)
                               + 2 * sim->one_way_delay_us);
  gdouble ratio = (gdouble)(sim->now_us - spec->arrival_us) / ideal_us;

  job_unref (job);
  if (spec->arrival_us < WARM_UP_US)
    return;
  if (job->state != JOB_COMPLETE)
    {
      sim->n_incomplete_jobs++;
      return;
    }
  sim->n_tasks_done += spec->n_tasks;
  g_array_append_val (sim->ratios, ratio);
}

static void
wake_at (struct dispatcher_driver *driver, gint64 when_us)
{
  ((struct vm *)(void *)driver)->timers_due_us = when_us;
}

static const struct dispatcher_driver_ops driver_ops
    = { start_task, stop_task, renew_leases, finish_job, wake_at };

static void
set_share (struct share_driver *driver, const char *upstream, guint share,
           gint64 deadline_us)
{
  struct vm *vm = list_entry (driver, struct vm, share_driver);

  dispatcher_set_slot_share (vm->dispatcher, POOL_KEY, upstream, share,
                             deadline_us, vm->sim->now_us);
}

static guint
count_used_slots (struct share_driver *driver, const char *upstream)
{
  struct vm *vm = list_entry (driver, struct vm, share_driver);

  return vm->n_used_slots[get_upstream_index (upstream)];
}

static const struct share_driver_ops share_ops
    = { set_share, count_used_slots };

static void
apply_document (struct vm *vm)
{
  struct document *document = document_new ("t0");
  struct service *service = document_add_service (document, "s");

  document->version = 1;
  service->slots_per_upstream = SLOTS_PER_UPSTREAM;
  service->lease_ms = LEASE_MS;
  service->max_queued_tasks = 1000000;
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("u%u", i);
      g_autofree char *address = g_strdup_printf ("127.0.0.%u:9000", i + 1);

      service_add_upstream (service, name, address);
    }
  dispatcher_apply_document (vm->dispatcher, document, 0);
  document_unref (document);
}

static void
start_sharing (struct vm *vm, const char *const *names)
{
  vm->shares = share_table_new (&vm->share_driver, vm->name);
  share_table_set_vms (vm->shares, names, vm->sim->n_vms, 0);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("u%u", i);

      share_table_set_upstream (vm->shares, name, SLOTS_PER_UPSTREAM, 0);
    }
  push_event (vm->sim, (struct event){ .when_us = BORROW_CHECK_INTERVAL_US,
                                       .kind = SIM_EVENT_BORROW_CHECK,
                                       .vm = vm });
}

static void
create_vms (struct simulation *sim)
{
  const char *names[MAX_VMS];

  for (guint i = 0; i < sim->n_vms; i++)
    {
      struct dispatcher_config config = { .seed = i + 1,
                                          .max_bytes = (gsize)1 << 32,
                                          .availability_zone = "a" };
      struct vm *vm = &sim->vms[i];

      vm->driver.ops = &driver_ops;
      vm->share_driver.ops = &share_ops;
      vm->sim = sim;
      vm->name = g_strdup_printf ("entry-%u", i + 1);
      vm->timers_due_us = DEADLINE_NEVER;
      vm->dispatcher = dispatcher_new (&vm->driver, &config);
      names[i] = vm->name;
      apply_document (vm);
    }
  for (guint i = 0; i < sim->n_vms && sim->sharing != SHARING_NONE; i++)
    start_sharing (&sim->vms[i], names);
}

static void
free_vms (struct simulation *sim)
{
  for (guint i = 0; i < sim->n_vms; i++)
    {
      if (sim->vms[i].shares != NULL)
        share_table_free (sim->vms[i].shares);
      dispatcher_free (sim->vms[i].dispatcher);
      g_free (sim->vms[i].name);
    }
}

static struct vm *
choose_vm (struct simulation *sim)
{
  guint index = (guint)g_rand_int_range (sim->random, 0, (gint)sim->n_vms);

  if (sim->balance == BALANCE_SKEWED && g_rand_boolean (sim->random))
    index = 0;
  return &sim->vms[index];
}

static void
submit_job (struct simulation *sim, const struct workload_job *spec,
            guint index)
{
  g_autofree char *id = g_strdup_printf ("j%u", index);
  struct job *job = job_new (id, "t0", "s", spec->n_tasks);
  struct vm *vm = choose_vm (sim);

  job->deadline_us = DEADLINE_NEVER;
  for (guint i = 0; i < spec->n_tasks; i++)
    {
      struct simulated_task *task = g_new0 (struct simulated_task, 1);

      task->vm = vm;
      task->spec = spec;
      task->run_time_us = spec->run_times_us[i];
      job->tasks[i].transport_data = task;
      job->tasks[i].declared_run_time_us = spec->declared_run_times_us[i];
    }
  if (!dispatcher_submit (vm->dispatcher, job, sim->now_us, NULL))
    {
      sim->n_incomplete_jobs++;
      job_unref (job);
    }
}

/* The upstream runs the task, or refuses it if all slots are in use.  */
static void
receive_start (struct simulation *sim, const struct event *event)
{
  const struct simulated_task *task = event->task->transport_data;
  guint index = get_upstream_index (event->task->upstream->name);
  struct event next = *event;

  if (sim->n_running[index] >= SLOTS_PER_UPSTREAM)
    {
      if (task->spec->arrival_us >= WARM_UP_US)
        sim->n_refused_starts++;
      next.kind = SIM_EVENT_ANSWER_RECEIVED;
      next.end = ATTEMPT_ANSWER_NOT_RUN;
      next.when_us = sim->now_us + sim->one_way_delay_us;
      push_event (sim, next);
      return;
    }
  sim->n_running[index]++;
  next.kind = SIM_EVENT_TASK_END;
  next.when_us = sim->now_us + task->run_time_us;
  push_event (sim, next);
}

static void
end_task (struct simulation *sim, const struct event *event)
{
  struct event next = *event;

  sim->n_running[get_upstream_index (event->task->upstream->name)]--;
  next.kind = SIM_EVENT_ANSWER_RECEIVED;
  next.end = ATTEMPT_ANSWER_DONE;
  next.when_us = sim->now_us + sim->one_way_delay_us;
  push_event (sim, next);
}

static void
receive_answer (struct simulation *sim, const struct event *event)
{
  event->vm->n_used_slots[get_upstream_index (event->task->upstream->name)]--;
  dispatcher_report_attempt (
      event->vm->dispatcher, event->task, event->end,
      event->end == ATTEMPT_ANSWER_DONE ? sim->output : NULL, sim->now_us);
}

/* VM asks LENDER for slots; returns how many it gets.  The simulation skips
   the round trip: VM may use the slots at once.  Its lease starts with the
   request, the lender's lease when the request arrives.  */
static guint
borrow_from (struct vm *vm, struct vm *lender, guint n_wanted)
{
  gint64 now_us = vm->sim->now_us;
  struct dispatcher_load load = { 0 };
  guint n_slots = 0;

  vm->sim->n_share_messages += 2;
  dispatcher_get_load (lender->dispatcher, POOL_KEY, &load);
  if (load.n_queued > 0)
    return 0;
  g_autoptr (GArray) leases = share_table_lend (
      lender->shares, n_wanted, now_us + PEER_ONE_WAY_DELAY_US);

  for (guint i = 0; i < leases->len; i++)
    {
      struct share_lease *lease
          = &g_array_index (leases, struct share_lease, i);

      n_slots += lease->n_slots;
      share_table_borrow (vm->shares, lease, now_us, now_us);
    }
  return n_slots;
}

/* The VM with most idle slots, VM itself left out, or NULL if none has any. */
static struct vm *
find_most_idle_vm (struct simulation *sim, const struct vm *vm)
{
  struct vm *best = NULL;

  for (guint i = 0; i < sim->n_vms; i++)
    {
      struct vm *other = &sim->vms[i];

      if (other != vm
          && other->n_idle_slots > (best != NULL ? best->n_idle_slots : 0))
        best = other;
    }
  return best;
}

/* Asks all other VMs in turn, from a random one on, until VM has N_WANTED
   slots.  */
static void
borrow_from_all (struct simulation *sim, struct vm *vm, guint n_wanted)
{
  guint first = (guint)g_rand_int_range (sim->random, 0, (gint)sim->n_vms);

  for (guint i = 0; i < sim->n_vms && n_wanted > 0; i++)
    {
      struct vm *lender = &sim->vms[(first + i) % sim->n_vms];

      if (lender != vm)
        n_wanted -= borrow_from (vm, lender, n_wanted);
    }
}

static void
borrow_from_most_idle_vm (struct simulation *sim, struct vm *vm,
                          guint n_wanted)
{
  struct vm *lender = find_most_idle_vm (sim, vm);
  guint n_slots;

  if (lender == NULL)
    return;
  n_slots = borrow_from (vm, lender, n_wanted);
  lender->n_idle_slots
      = n_slots < n_wanted
            ? 0
            : lender->n_idle_slots - MIN (lender->n_idle_slots, n_slots);
}

/* Publishes the number of idle slots of VM when its next heartbeat is due.  */
static void
update_heartbeat (struct vm *vm, const struct dispatcher_load *load)
{
  if (vm->sim->now_us < vm->next_heartbeat_us)
    return;
  vm->next_heartbeat_us = vm->sim->now_us + HEARTBEAT_INTERVAL_US;
  vm->n_idle_slots
      = load->n_queued > 0
            ? 0
            : load->n_slots - MIN (load->n_slots, load->n_running);
}

static void
check_borrowing (struct simulation *sim, struct vm *vm)
{
  struct dispatcher_load load = { 0 };

  share_table_advance (vm->shares, sim->now_us);
  dispatcher_get_load (vm->dispatcher, POOL_KEY, &load);
  update_heartbeat (vm, &load);
  if (load.n_queued > 0 && sim->sharing == SHARING_LEND_ASK_ALL)
    borrow_from_all (sim, vm, load.n_queued);
  else if (load.n_queued > 0 && sim->sharing == SHARING_LEND_BY_LOAD)
    borrow_from_most_idle_vm (sim, vm, load.n_queued);
  push_event (
      sim, (struct event){ .when_us = sim->now_us + BORROW_CHECK_INTERVAL_US,
                           .kind = SIM_EVENT_BORROW_CHECK,
                           .vm = vm });
}

static void
handle_event (struct simulation *sim, const struct event *event)
{
  switch (event->kind)
    {
    case SIM_EVENT_START_RECEIVED:
      receive_start (sim, event);
      break;
    case SIM_EVENT_TASK_END:
      end_task (sim, event);
      break;
    case SIM_EVENT_ANSWER_RECEIVED:
      receive_answer (sim, event);
      break;
    case SIM_EVENT_LEASES_RENEWED:
      /* The lease counts from the request, a round trip ago.  */
      dispatcher_note_lease_renewed (event->vm->dispatcher, event->upstream,
                                     sim->now_us + LEASE_MS * USEC_PER_MSEC
                                         - 2 * sim->one_way_delay_us);
      upstream_unref (event->upstream);
      break;
    case SIM_EVENT_BORROW_CHECK:
      check_borrowing (sim, event->vm);
      break;
    }
}

static struct vm *
find_vm_with_next_timer (struct simulation *sim)
{
  struct vm *first = &sim->vms[0];

  for (guint i = 1; i < sim->n_vms; i++)
    if (sim->vms[i].timers_due_us < first->timers_due_us)
      first = &sim->vms[i];
  return first;
}

static gboolean
is_finished (struct simulation *sim)
{
  for (guint i = 0; i < sim->n_vms; i++)
    if (dispatcher_count_unfinished (sim->vms[i].dispatcher) > 0)
      return FALSE;
  return TRUE;
}

/* Advances the clock to the next timer, event or job arrival and handles it.
   Returns FALSE when all jobs have arrived and finished.  */
static gboolean
run_next_event (struct simulation *sim, guint *next_job_index)
{
  GSequenceIter *begin = g_sequence_get_begin_iter (sim->events);
  struct event *event
      = g_sequence_iter_is_end (begin) ? NULL : g_sequence_get (begin);
  gint64 event_us = event != NULL ? event->when_us : DEADLINE_NEVER;
  gint64 arrival_us = DEADLINE_NEVER;
  struct vm *waking = find_vm_with_next_timer (sim);

  if (*next_job_index < sim->workload->jobs->len)
    arrival_us = ((struct workload_job *)g_ptr_array_index (
                      sim->workload->jobs, *next_job_index))
                     ->arrival_us;
  else if (is_finished (sim))
    return FALSE;
  if (waking->timers_due_us <= MIN (arrival_us, event_us))
    {
      sim->now_us = MAX (sim->now_us, waking->timers_due_us);
      waking->timers_due_us = DEADLINE_NEVER;
      dispatcher_run_timers (waking->dispatcher, sim->now_us);
    }
  else if (event_us <= arrival_us)
    {
      struct event copy = *event;

      sim->now_us = event_us;
      g_sequence_remove (begin);
      handle_event (sim, &copy);
    }
  else
    {
      sim->now_us = arrival_us;
      submit_job (sim,
                  g_ptr_array_index (sim->workload->jobs, *next_job_index),
                  *next_job_index);
      (*next_job_index)++;
    }
  return TRUE;
}

static gint
compare_ratios (gconstpointer a, gconstpointer b)
{
  gdouble x = *(const gdouble *)a;
  gdouble y = *(const gdouble *)b;

  return x < y ? -1 : x > y;
}

static gdouble
get_quantile (const GArray *ratios, gdouble p)
{
  if (ratios->len == 0)
    return 0;
  return g_array_index (ratios, gdouble,
                        (guint)(p * (gdouble)(ratios->len - 1)));
}

static void
run_measurement (const struct workload_shape *shape, gdouble load, guint n_vms,
                 enum balance balance, enum sharing sharing)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, load, DURATION_US, SEED);
  struct simulation *sim = g_new0 (struct simulation, 1);
  guint next_job_index = 0;

  sim->workload = workload;
  sim->one_way_delay_us = shape->one_way_delay_us;
  sim->sharing = sharing;
  sim->balance = balance;
  sim->n_vms = n_vms;
  sim->events = g_sequence_new (g_free);
  sim->random = g_rand_new_with_seed (SEED);
  sim->output = g_bytes_new_static ("1", 1);
  sim->ratios = g_array_new (FALSE, FALSE, sizeof (gdouble));
  create_vms (sim);
  while (run_next_event (sim, &next_job_index))
    ;
  g_array_sort (sim->ratios, compare_ratios);
  printf (
      "%-9s %u VMs %-7s %4.2f  %-13s %7.2f %7.2f %7.2f  %9.4f %9.4f %5u %6u\n",
      shape->name, n_vms, balance_names[balance], load, sharing_names[sharing],
      get_quantile (sim->ratios, 0.5), get_quantile (sim->ratios, 0.99),
      get_quantile (sim->ratios, 0.999),
      (gdouble)sim->n_refused_starts / (gdouble)MAX (sim->n_tasks_done, 1),
      (gdouble)sim->n_share_messages / (gdouble)MAX (sim->n_tasks_done, 1),
      sim->n_incomplete_jobs, sim->ratios->len);
  free_vms (sim);
  g_sequence_free (sim->events);
  g_rand_free (sim->random);
  g_bytes_unref (sim->output);
  g_array_unref (sim->ratios);
  g_free (sim);
  workload_free (workload);
}

int
main (void)
{
  static const guint counts[] = { 3, 8 };
  static const gdouble loads[] = { 0.5, 0.8, 0.95 };

  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("response time over ideal; refused starts and share messages for "
          "each task; jobs incomplete and complete\n%-9s %-5s %-7s %4s  %-13s "
          "%7s %7s %7s  %9s %9s %5s %6s\n",
          "jobs", "", "balance", "load", "sharing", "p50", "p99", "p99.9",
          "refused", "messages", "inc.", "compl.");
  for (guint s = 0; s < workload_n_shapes; s++)
    for (guint n = 0; n < G_N_ELEMENTS (counts); n++)
      for (guint l = 0; l < G_N_ELEMENTS (loads); l++)
        for (int b = 0; b < BALANCE_COUNT; b++)
          for (int k = 0; k < SHARING_COUNT; k++)
            run_measurement (&workload_shapes[s], loads[l], counts[n],
                             (enum balance)b, (enum sharing)k);
  return 0;
}
