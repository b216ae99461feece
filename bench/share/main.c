/*
 * Weighs how entry VMs of one zone share their upstreams: several dispatchers
 * under one fake clock, with upstreams that refuse what exceeds their slots.
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
#define SLOTS 8
#define N_SLOTS (N_UPSTREAMS * SLOTS)
#define DURATION_US (120 * USEC_PER_SEC)
#define WARM_UP_US (20 * USEC_PER_SEC)
#define ASK_INTERVAL_US (50 * USEC_PER_MSEC)
#define PEER_TRAVEL_US 500
#define HEARTBEAT_US (500 * USEC_PER_MSEC)
#define LEASE_MS 5000
#define POOL_KEY "t0/s"
#define SEED 7

enum sharing
{
  SHARING_NONE,    /* each VM uses all slots on what it knows itself */
  SHARING_EVEN,    /* even parts */
  SHARING_ASKING,  /* even parts; a VM with a queue asks all others */
  SHARING_LENDING, /* the same, but only those with idle slots by their last
                      heartbeat, one at a time */
  SHARING_COUNT
};

static const char *const sharing_names[SHARING_COUNT]
    = { "all, local", "even", "lend, ask all", "lend, by load" };

/* Where jobs go.  */
enum balance
{
  BALANCE_EVEN,   /* any VM alike */
  BALANCE_SKEWED, /* the first VM gets half of the rest on top */
  BALANCE_COUNT
};

static const char *const balance_names[BALANCE_COUNT] = { "even", "skewed" };

struct world;

struct vm
{
  struct dispatcher_driver driver;
  struct share_driver share_driver;
  struct world *world;
  struct dispatcher *dispatcher;
  struct share_table *shares;
  char *name;
  guint used[N_UPSTREAMS];
  gint64 wake_us;
  guint n_free; /* idle slots by its last heartbeat, or what is left of them */
  gint64 heartbeat_us;
};

struct world_task
{
  struct vm *vm;
  const struct workload_job *spec;
  gint64 run_us;
  gboolean runs;
};

enum event_kind
{
  EVENT_ARRIVE, /* at the upstream */
  EVENT_LEAVE,  /* the upstream is done */
  EVENT_ANSWER, /* at the VM */
  EVENT_RENEWED,
  EVENT_ASK /* a VM looks for slots to borrow */
};

struct event
{
  gint64 when_us;
  guint64 sequence;
  enum event_kind kind;
  struct vm *vm;
  struct task *task;
  struct upstream *upstream;
  enum attempt_end end;
};

struct world
{
  const struct workload *workload;
  gint64 travel_us;
  enum sharing sharing;
  enum balance balance;
  guint n_vms;
  struct vm vms[MAX_VMS];
  guint running[N_UPSTREAMS];
  GSequence *events;
  guint64 next_sequence;
  gint64 now_us;
  GRand *rand;
  GBytes *output;
  GArray *ratios;
  guint n_incomplete;
  guint64 n_done;
  guint64 n_refused;
  guint64 n_share_messages;
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
push_event (struct world *world, struct event event)
{
  struct event *copy = g_memdup2 (&event, sizeof event);

  copy->sequence = world->next_sequence++;
  g_sequence_insert_sorted (world->events, copy, compare_events, NULL);
}

static guint
upstream_number (const char *name)
{
  return (guint)g_ascii_strtoull (name + 1, NULL, 10);
}

static void
start_task (struct dispatcher_driver *driver, struct task *task)
{
  struct vm *vm = (struct vm *)(void *)driver;

  vm->used[upstream_number (task->upstream->name)]++;
  push_event (vm->world, (struct event){ .when_us = vm->world->now_us
                                                    + vm->world->travel_us,
                                         .kind = EVENT_ARRIVE,
                                         .vm = vm,
                                         .task = task });
}

static void
stop_task (struct dispatcher_driver *driver, struct task *task)
{
}

static void
renew_leases (struct dispatcher_driver *driver, struct upstream *upstream)
{
  struct vm *vm = (struct vm *)(void *)driver;

  push_event (
      vm->world,
      (struct event){ .when_us = vm->world->now_us + 2 * vm->world->travel_us,
                      .kind = EVENT_RENEWED,
                      .vm = vm,
                      .upstream = upstream_ref (upstream) });
}

static void
finish_job (struct dispatcher_driver *driver, struct job *job)
{
  struct vm *vm = (struct vm *)(void *)driver;
  struct world *world = vm->world;
  const struct world_task *task = job->tasks[0].transport_data;
  const struct workload_job *spec = task->spec;
  gdouble ideal_us
      = (gdouble)(workload_job_longest_us (spec) + 2 * world->travel_us);
  gdouble ratio = (gdouble)(world->now_us - spec->arrival_us) / ideal_us;

  job_unref (job);
  if (spec->arrival_us < WARM_UP_US)
    return;
  if (job->state != JOB_COMPLETE)
    {
      world->n_incomplete++;
      return;
    }
  world->n_done += spec->n_tasks;
  g_array_append_val (world->ratios, ratio);
}

static void
wake_at (struct dispatcher_driver *driver, gint64 when_us)
{
  ((struct vm *)(void *)driver)->wake_us = when_us;
}

static const struct dispatcher_driver_ops driver_ops
    = { start_task, stop_task, renew_leases, finish_job, wake_at };

static void
set_share (struct share_driver *driver, const char *upstream, guint share,
           gint64 deadline_us)
{
  struct vm *vm = list_entry (driver, struct vm, share_driver);

  dispatcher_set_slot_share (vm->dispatcher, POOL_KEY, upstream, share,
                             deadline_us, vm->world->now_us);
}

static guint
count_used (struct share_driver *driver, const char *upstream)
{
  struct vm *vm = list_entry (driver, struct vm, share_driver);

  return vm->used[upstream_number (upstream)];
}

static const struct share_driver_ops share_ops = { set_share, count_used };

static void
apply_document (struct vm *vm)
{
  struct document *document = document_new ("t0");
  struct service *service = document_add_service (document, "s");

  document->version = 1;
  service->slots_per_upstream = SLOTS;
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
  share_table_set_vms (vm->shares, names, vm->world->n_vms, 0);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("u%u", i);

      share_table_set_upstream (vm->shares, name, SLOTS, 0);
    }
  push_event (vm->world, (struct event){ .when_us = ASK_INTERVAL_US,
                                         .kind = EVENT_ASK,
                                         .vm = vm });
}

static void
open_vms (struct world *world)
{
  const char *names[MAX_VMS];

  for (guint i = 0; i < world->n_vms; i++)
    {
      struct dispatcher_config config = { i + 1, (gsize)1 << 32, "a" };
      struct vm *vm = &world->vms[i];

      vm->driver.ops = &driver_ops;
      vm->share_driver.ops = &share_ops;
      vm->world = world;
      vm->name = g_strdup_printf ("entry-%u", i + 1);
      vm->wake_us = DEADLINE_NEVER;
      vm->dispatcher = dispatcher_new (&vm->driver, &config);
      names[i] = vm->name;
      apply_document (vm);
    }
  for (guint i = 0; i < world->n_vms && world->sharing != SHARING_NONE; i++)
    start_sharing (&world->vms[i], names);
}

static void
close_vms (struct world *world)
{
  for (guint i = 0; i < world->n_vms; i++)
    {
      if (world->vms[i].shares != NULL)
        share_table_free (world->vms[i].shares);
      dispatcher_free (world->vms[i].dispatcher);
      g_free (world->vms[i].name);
    }
}

static struct vm *
choose_vm (struct world *world)
{
  guint n = (guint)g_rand_int_range (world->rand, 0, (gint)world->n_vms);

  if (world->balance == BALANCE_SKEWED && g_rand_boolean (world->rand))
    n = 0;
  return &world->vms[n];
}

static void
submit (struct world *world, const struct workload_job *spec, guint number)
{
  g_autofree char *id = g_strdup_printf ("j%u", number);
  struct job *job = job_new (id, "t0", "s", spec->n_tasks);
  struct vm *vm = choose_vm (world);

  job->deadline_us = DEADLINE_NEVER;
  for (guint i = 0; i < spec->n_tasks; i++)
    {
      struct world_task *task = g_new0 (struct world_task, 1);

      task->vm = vm;
      task->spec = spec;
      task->run_us = spec->run_us[i];
      job->tasks[i].transport_data = task;
      job->tasks[i].declared_run_time_us = spec->declared_us[i];
    }
  if (!dispatcher_submit (vm->dispatcher, job, world->now_us, NULL))
    {
      world->n_incomplete++;
      job_unref (job);
    }
}

/* A start reaches its upstream, which runs it or refuses.  */
static void
arrive (struct world *world, const struct event *event)
{
  const struct world_task *task = event->task->transport_data;
  guint number = upstream_number (event->task->upstream->name);
  struct event next = *event;

  if (world->running[number] >= SLOTS)
    {
      if (task->spec->arrival_us >= WARM_UP_US)
        world->n_refused++;
      next.kind = EVENT_ANSWER;
      next.end = ATTEMPT_ANSWER_NOT_RUN;
      next.when_us = world->now_us + world->travel_us;
      push_event (world, next);
      return;
    }
  world->running[number]++;
  next.kind = EVENT_LEAVE;
  next.when_us = world->now_us + task->run_us;
  push_event (world, next);
}

static void
leave (struct world *world, const struct event *event)
{
  struct event next = *event;

  world->running[upstream_number (event->task->upstream->name)]--;
  next.kind = EVENT_ANSWER;
  next.end = ATTEMPT_ANSWER_DONE;
  next.when_us = world->now_us + world->travel_us;
  push_event (world, next);
}

static void
answer (struct world *world, const struct event *event)
{
  event->vm->used[upstream_number (event->task->upstream->name)]--;
  dispatcher_report_attempt (
      event->vm->dispatcher, event->task, event->end,
      event->end == ATTEMPT_ANSWER_DONE ? world->output : NULL, world->now_us);
}

/* VM asks another for slots; the loan begins a round trip later, which is
   taken off its lease here.  */
static guint
borrow_from (struct vm *vm, struct vm *lender, guint wanted)
{
  gint64 now_us = vm->world->now_us;
  struct dispatcher_load load = { 0 };
  guint n_slots = 0;

  vm->world->n_share_messages += 2;
  dispatcher_get_load (lender->dispatcher, POOL_KEY, &load);
  if (load.n_queued > 0)
    return 0;
  g_autoptr (GArray) leases
      = share_table_lend (lender->shares, wanted, now_us + PEER_TRAVEL_US);

  for (guint i = 0; i < leases->len; i++)
    {
      struct share_lease *lease
          = &g_array_index (leases, struct share_lease, i);

      n_slots += lease->n_slots;
      share_table_borrow (vm->shares, lease, now_us, now_us);
    }
  return n_slots;
}

/* The other VM that shows most idle slots, or NULL.  */
static struct vm *
find_idlest (struct world *world, const struct vm *vm)
{
  struct vm *best = NULL;

  for (guint i = 0; i < world->n_vms; i++)
    {
      struct vm *other = &world->vms[i];

      if (other != vm && other->n_free > (best != NULL ? best->n_free : 0))
        best = other;
    }
  return best;
}

static void
ask_all (struct world *world, struct vm *vm, guint wanted)
{
  guint first = (guint)g_rand_int_range (world->rand, 0, (gint)world->n_vms);

  for (guint i = 0; i < world->n_vms && wanted > 0; i++)
    {
      struct vm *lender = &world->vms[(first + i) % world->n_vms];

      if (lender != vm)
        wanted -= borrow_from (vm, lender, wanted);
    }
}

static void
ask_idlest (struct world *world, struct vm *vm, guint wanted)
{
  struct vm *lender = find_idlest (world, vm);
  guint n_slots;

  if (lender == NULL)
    return;
  n_slots = borrow_from (vm, lender, wanted);
  lender->n_free
      = n_slots < wanted ? 0 : lender->n_free - MIN (lender->n_free, n_slots);
}

static void
send_heartbeat (struct vm *vm, const struct dispatcher_load *load)
{
  if (vm->world->now_us < vm->heartbeat_us)
    return;
  vm->heartbeat_us = vm->world->now_us + HEARTBEAT_US;
  vm->n_free = load->n_queued > 0
                   ? 0
                   : load->n_slots - MIN (load->n_slots, load->n_running);
}

static void
ask (struct world *world, struct vm *vm)
{
  struct dispatcher_load load = { 0 };

  share_table_advance (vm->shares, world->now_us);
  dispatcher_get_load (vm->dispatcher, POOL_KEY, &load);
  send_heartbeat (vm, &load);
  if (load.n_queued > 0 && world->sharing == SHARING_ASKING)
    ask_all (world, vm, load.n_queued);
  else if (load.n_queued > 0 && world->sharing == SHARING_LENDING)
    ask_idlest (world, vm, load.n_queued);
  push_event (world,
              (struct event){ .when_us = world->now_us + ASK_INTERVAL_US,
                              .kind = EVENT_ASK,
                              .vm = vm });
}

static void
handle_event (struct world *world, const struct event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVE:
      arrive (world, event);
      break;
    case EVENT_LEAVE:
      leave (world, event);
      break;
    case EVENT_ANSWER:
      answer (world, event);
      break;
    case EVENT_RENEWED:
      dispatcher_note_lease_renewed (event->vm->dispatcher, event->upstream,
                                     world->now_us + LEASE_MS * USEC_PER_MSEC
                                         - 2 * world->travel_us);
      upstream_unref (event->upstream);
      break;
    case EVENT_ASK:
      ask (world, event->vm);
      break;
    }
}

static struct vm *
find_next_wake (struct world *world)
{
  struct vm *first = &world->vms[0];

  for (guint i = 1; i < world->n_vms; i++)
    if (world->vms[i].wake_us < first->wake_us)
      first = &world->vms[i];
  return first;
}

static gboolean
is_finished (struct world *world)
{
  for (guint i = 0; i < world->n_vms; i++)
    if (dispatcher_count_unfinished (world->vms[i].dispatcher) > 0)
      return FALSE;
  return TRUE;
}

/* Performs what is next.  Returns FALSE at the end.  */
static gboolean
step (struct world *world, guint *next_job)
{
  GSequenceIter *begin = g_sequence_get_begin_iter (world->events);
  struct event *event
      = g_sequence_iter_is_end (begin) ? NULL : g_sequence_get (begin);
  gint64 event_us = event != NULL ? event->when_us : DEADLINE_NEVER;
  gint64 arrival_us = DEADLINE_NEVER;
  struct vm *waking = find_next_wake (world);

  if (*next_job < world->workload->jobs->len)
    arrival_us = ((struct workload_job *)g_ptr_array_index (
                      world->workload->jobs, *next_job))
                     ->arrival_us;
  else if (is_finished (world))
    return FALSE;
  if (waking->wake_us <= MIN (arrival_us, event_us))
    {
      world->now_us = MAX (world->now_us, waking->wake_us);
      waking->wake_us = DEADLINE_NEVER;
      dispatcher_run_timers (waking->dispatcher, world->now_us);
    }
  else if (event_us <= arrival_us)
    {
      struct event copy = *event;

      world->now_us = event_us;
      g_sequence_remove (begin);
      handle_event (world, &copy);
    }
  else
    {
      world->now_us = arrival_us;
      submit (world, g_ptr_array_index (world->workload->jobs, *next_job),
              *next_job);
      (*next_job)++;
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
get_part (const GArray *ratios, gdouble p)
{
  if (ratios->len == 0)
    return 0;
  return g_array_index (ratios, gdouble,
                        (guint)(p * (gdouble)(ratios->len - 1)));
}

static void
measure (const struct workload_shape *shape, gdouble load, guint n_vms,
         enum balance balance, enum sharing sharing)
{
  struct workload *workload
      = workload_new (shape, N_SLOTS, load, DURATION_US, SEED);
  struct world *world = g_new0 (struct world, 1);
  guint next_job = 0;

  world->workload = workload;
  world->travel_us = shape->travel_us;
  world->sharing = sharing;
  world->balance = balance;
  world->n_vms = n_vms;
  world->events = g_sequence_new (g_free);
  world->rand = g_rand_new_with_seed (SEED);
  world->output = g_bytes_new_static ("1", 1);
  world->ratios = g_array_new (FALSE, FALSE, sizeof (gdouble));
  open_vms (world);
  while (step (world, &next_job))
    ;
  g_array_sort (world->ratios, compare_ratios);
  printf (
      "%-9s %u VMs %-7s %4.2f  %-13s %7.2f %7.2f %7.2f  %9.4f %9.4f %5u %6u\n",
      shape->name, n_vms, balance_names[balance], load, sharing_names[sharing],
      get_part (world->ratios, 0.5), get_part (world->ratios, 0.99),
      get_part (world->ratios, 0.999),
      (gdouble)world->n_refused / (gdouble)MAX (world->n_done, 1),
      (gdouble)world->n_share_messages / (gdouble)MAX (world->n_done, 1),
      world->n_incomplete, world->ratios->len);
  close_vms (world);
  g_sequence_free (world->events);
  g_rand_free (world->rand);
  g_bytes_unref (world->output);
  g_array_unref (world->ratios);
  g_free (world);
  workload_free (workload);
}

int
main (void)
{
  static const guint counts[] = { 3, 8 };
  static const gdouble loads[] = { 0.5, 0.8, 0.95 };

  setvbuf (stdout, NULL, _IOLBF, 0);
  printf (
      "response time over ideal; refused starts and share messages for "
      "each task\n%-9s %-5s %-7s %4s  %-13s %7s %7s %7s  %9s %9s %5s %6s\n",
      "jobs", "", "balance", "load", "sharing", "p50", "p99", "p99.9",
      "refused", "messages", "lost", "whole");
  for (guint s = 0; s < workload_n_shapes; s++)
    for (guint n = 0; n < G_N_ELEMENTS (counts); n++)
      for (guint l = 0; l < G_N_ELEMENTS (loads); l++)
        for (int b = 0; b < BALANCE_COUNT; b++)
          for (int k = 0; k < SHARING_COUNT; k++)
            measure (&workload_shapes[s], loads[l], counts[n], (enum balance)b,
                     (enum sharing)k);
  return 0;
}
