/*
 * The jobs of a home that wait for slots: connects coordination/waiting_jobs.h
 * and coordination/slot_outlook.h, which decide, to the home.
 */
#include "base/event_log.h"
#include "base/hash64.h"
#include "base/metrics.h"
#include "transport/fleet_home_log.h"
#include "transport/fleet_home_private.h"
#include "transport/fleet_shards.h"

#include <string.h>

/* Memory that a waiting job takes besides its text: its HTTP message, and the
   buffers of its connection.  */
#define JOB_OVERHEAD_BYTES 4096

static struct fleet_job *
job_from_waiting (struct waiting_job *waiting)
{
  return list_entry (waiting, struct fleet_job, waiting);
}

void
fleet_home_set_waiting (struct fleet_home *home,
                        const struct fleet_waiting_options *options)
{
  struct home_waiting *waiting = &home->waiting;

  waiting_jobs_init (&waiting->jobs, options->max_jobs, options->max_bytes);
  slot_outlook_init (&waiting->outlook, options->takeover_us, clock_now_us ());
  waiting->zones = options->zones;
  waiting->shards = options->shards;
}

guint
fleet_home_count_waiting (const struct fleet_home *home)
{
  return home->waiting.jobs.n;
}

static gboolean
may_wait (const struct fleet_home *home)
{
  return home->waiting.jobs.max_jobs > 0 && !home->is_leaving;
}

void
fleet_home_init_waiting (struct fleet_job *job)
{
  const struct fleet_submission *s = job->submission;
  struct waiting_job *waiting = &job->waiting;
  gint64 now_us = clock_now_us ();

  waiting_job_init (waiting);
  waiting->service_hash = hash64_string (s->service);
  waiting->n_tasks = s->n_tasks;
  waiting->run_ms = (guint)(s->estimate_us / USEC_PER_MSEC);
  waiting->priority = s->priority;
  waiting->start_by_us = job->start_by_us;
  waiting->end_by_us = job->end_by_us;
  /* The HTTP message contains the text of the job, too.  */
  waiting->n_bytes = JOB_OVERHEAD_BYTES + 2 * strlen (s->spec);
  if (may_wait (job->home) && !waiting_job_is_late (waiting, now_us))
    slot_demand_count (&job->home->waiting.demand, waiting->service_hash,
                       s->n_tasks, s->estimate_us, now_us);
}

/* Whether tasks may be started on UPSTREAM once it has answered a poll.  An
   upstream that another instance has replaced usually never does, and stays
   unconfirmed until the platform lists the new one.  */
static gboolean
is_about_to_serve (const struct owned_upstream *upstream)
{
  gboolean is_replaced
      = upstream->instance_start_ms == 0 && upstream->last_answered_poll > 0;

  return upstream->state == OWNED_UNCONFIRMED && !is_replaced
         && !upstream->is_leaving && !upstream->is_releasing;
}

static void
note_about_to_serve (struct owned_upstream *upstream, gpointer data)
{
  *(gboolean *)data |= is_about_to_serve (upstream);
}

/* Whether this VM is about to own upstreams on which it may start tasks.  */
static gboolean
is_acquiring (struct fleet_home *home)
{
  gboolean is_any_about_to_serve = FALSE;

  if (home->evacuation != NULL
      && evacuation_includes (home->evacuation, home->availability_zone))
    return FALSE;
  owner_foreach_upstream (fleet_owner_get_owner (home->owner),
                          note_about_to_serve, &is_any_about_to_serve);
  return is_any_about_to_serve
         || fleet_shards_is_acquiring (home->waiting.shards);
}

static gboolean
is_any_zone_open (const struct fleet_home *home)
{
  const GPtrArray *zones = home->waiting.zones;

  for (guint i = 0; i < zones->len && zones->pdata[i] != NULL; i++)
    if (home->evacuation == NULL
        || !evacuation_includes (home->evacuation, zones->pdata[i]))
      return TRUE;
  return FALSE;
}

/* Whether slots for the service with SERVICE_HASH are expected.  HAS_OWNER:
   besides those that owners announce.  */
static gboolean
expects_slots (struct fleet_home *home, guint64 service_hash,
               gboolean has_owner, gint64 now_us)
{
  const struct slot_outlook *outlook = &home->waiting.outlook;
  struct slot_prospect prospect
      = { .is_any_zone_open = is_any_zone_open (home),
          .is_acquiring = is_acquiring (home) };

  if (has_owner)
    return slot_outlook_expects_more (outlook, &prospect, now_us);
  return slot_outlook_expects_slots (outlook, service_hash, &prospect, now_us);
}

/* Refuses WAITING for REASON, a static string.  */
static void
refuse_waiting (struct fleet_home *home, struct waiting_job *waiting,
                const char *reason)
{
  struct fleet_job *job = fleet_job_ref (job_from_waiting (waiting));

  fleet_home_refuse (job, reason);
  waiting_jobs_remove (&home->waiting.jobs, waiting);
  fleet_job_unref (job);
}

/* Adds JOB to those that wait, and refuses the last ones if a bound is
   exceeded.  */
static void
add_waiting (struct fleet_job *job, gint64 now_us)
{
  struct waiting_jobs *jobs = &job->home->waiting.jobs;
  struct waiting_job *excess;

  if (!job->has_waited)
    metrics_count (METRIC_JOBS_WAITED);
  job->has_waited = TRUE;
  job->waiting.since_us = now_us;
  waiting_jobs_add (jobs, &job->waiting);
  while ((excess = waiting_jobs_find_excess (jobs, now_us)) != NULL)
    refuse_waiting (job->home, excess, "too many jobs wait for slots");
}

gboolean
fleet_home_wait (struct fleet_job *job, gboolean has_owner)
{
  struct fleet_home *home = job->home;
  gint64 now_us = clock_now_us ();

  if (job->is_closed || job->give_up_reason != NULL || !may_wait (home)
      || now_us >= job->waiting.end_by_us
      || !expects_slots (home, job->waiting.service_hash, has_owner, now_us))
    return FALSE;
  job->wanted.n = 0;
  /* What owners announced before tells nothing of the slots to come.  */
  job->n_assignments = 0;
  if (!waiting_job_is_waiting (&job->waiting))
    add_waiting (job, now_us);
  return TRUE;
}

void
fleet_home_end_wait (struct fleet_job *job, const char *end,
                     const char *reason)
{
  gint64 waited_us = clock_now_us () - job->waiting.since_us;

  if (!waiting_job_is_waiting (&job->waiting))
    return;
  waiting_jobs_remove (&job->home->waiting.jobs, &job->waiting);
  if (reason != NULL)
    metrics_count (METRIC_JOBS_REFUSED_WAITING);
  event_log_fields (EVENT_JOB_WAITED, FIELD_TEXT ("job", job->submission->job),
                    FIELD_INT ("ms", waited_us / USEC_PER_MSEC),
                    FIELD_TEXT ("end", end),
                    FIELD_IF (reason != NULL, FIELD_TEXT ("reason", reason)));
}

static guint
count_homes (const struct fleet_home *home)
{
  const GPtrArray *vms = vm_directory_list (home->directory);
  guint n = 1;

  for (guint i = 0; i < vms->len; i++)
    n += ((const struct vm *)g_ptr_array_index (vms, i))->is_live ? 1 : 0;
  return n;
}

/* Adds up what OWNERS announce for the service with SERVICE_HASH.  */
static struct waiting_slots
sum_slots (struct fleet_home *home, guint64 service_hash, const GArray *owners,
           gint64 now_us)
{
  struct waiting_slots slots
      = { .n_homes = count_homes (home),
          .seed
          = hash64_pair (hash64_string (home->vm), ++home->waiting.n_rounds) };

  for (guint i = 0; i < owners->len; i++)
    {
      const struct spread_owner *owner
          = &g_array_index (owners, struct spread_owner, i);

      slots.n_free += owner->free_slots;
      slots.pool.n_slots += owner->room.n_slots;
      slots.pool.ends_per_s += owner->room.ends_per_s;
      for (guint k = 0; k < ROOM_PRIORITIES; k++)
        {
          slots.pool.n_queued[k] += owner->room.n_queued[k];
          slots.pool.starts_per_s[k] += owner->room.starts_per_s[k];
        }
    }
  waiting_slots_set_demand (
      &slots, &home->waiting.demand, service_hash, owners->len,
      !expects_slots (home, service_hash, TRUE, now_us), now_us);
  return slots;
}

static void
hold_reference (gpointer data, gpointer unused)
{
  fleet_job_ref (job_from_waiting (data));
}

/* Assigns the jobs of LIST, struct waiting_job, that still wait and whose
   callers do.  */
static void
assign_listed (GPtrArray *list)
{
  g_ptr_array_foreach (list, hold_reference, NULL);
  for (guint i = 0; i < list->len; i++)
    {
      struct waiting_job *waiting = g_ptr_array_index (list, i);

      if (waiting_job_is_waiting (waiting)
          && fleet_job_is_awaited (job_from_waiting (waiting)))
        fleet_home_assign_all (job_from_waiting (waiting));
      fleet_job_unref (job_from_waiting (waiting));
    }
}

/* Refuses the jobs of LIST, struct waiting_job, for REASON, a static
   string.  */
static void
refuse_listed (struct fleet_home *home, GPtrArray *list, const char *reason)
{
  g_ptr_array_foreach (list, hold_reference, NULL);
  for (guint i = 0; i < list->len; i++)
    {
      struct waiting_job *waiting = g_ptr_array_index (list, i);

      if (waiting_job_is_waiting (waiting))
        refuse_waiting (home, waiting, reason);
      fleet_job_unref (job_from_waiting (waiting));
    }
}

/* Assigns waiting jobs for the service of EXAMPLE, which is one of them, as
   many as the announced slots can serve in time.  When no more slots are
   expected, assigns or refuses all that can be in time, and if no owner has
   any, all others, too.  */
static void
assign_service (struct fleet_home *home, const struct fleet_job *example,
                gint64 now_us)
{
  const struct fleet_submission *s = example->submission;
  guint64 service_hash = example->waiting.service_hash;
  const struct waiting_jobs *jobs = &home->waiting.jobs;
  g_autoptr (GArray) owners
      = fleet_home_list_owners (home, s->service, s->need.cpus);
  struct waiting_slots slots = sum_slots (home, service_hash, owners, now_us);
  g_autoptr (GPtrArray) hopeless
      = waiting_jobs_list_hopeless (jobs, service_hash, &slots, now_us);
  g_autoptr (GPtrArray) list = NULL;

  refuse_listed (home, hopeless, "jobs in time need the slots");
  if (owners->len > 0 || expects_slots (home, service_hash, FALSE, now_us))
    list = waiting_jobs_select (jobs, service_hash, &slots, now_us);
  else
    list = waiting_jobs_list (jobs, service_hash, now_us);
  assign_listed (list);
}

/* The first waiting job of each service, each with a reference.  */
static GPtrArray *
list_examples (const struct fleet_home *home)
{
  GPtrArray *examples
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fleet_job_unref);
  g_autoptr (GHashTable) services
      = g_hash_table_new (g_int64_hash, g_int64_equal);
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &home->waiting.jobs.jobs)
    {
      struct waiting_job *waiting
          = list_entry (node, struct waiting_job, link);

      if (g_hash_table_add (services, &waiting->service_hash))
        g_ptr_array_add (examples, fleet_job_ref (job_from_waiting (waiting)));
    }
  return examples;
}

/* Assigns waiting jobs of all services, unless that was done a moment ago.  */
static void
assign_if_due (struct fleet_home *home, gint64 now_us)
{
  g_autoptr (GPtrArray) examples = NULL;

  if (home->waiting.jobs.n == 0
      || now_us - home->waiting.assigned_us < WAITING_ROUND_US)
    return;
  home->waiting.assigned_us = now_us;
  examples = list_examples (home);
  for (guint i = 0; i < examples->len; i++)
    assign_service (home, g_ptr_array_index (examples, i), now_us);
}

/* Whether JOB, a new one, can only be late while slots are expected: jobs in
   time may need those that are known.  At other times it is assigned like any
   job, since its objective may be shorter than its run time.  */
static gboolean
must_wait_late (struct fleet_job *job, gint64 now_us)
{
  return waiting_job_is_late (&job->waiting, now_us)
         && expects_slots (job->home, job->waiting.service_hash, TRUE, now_us);
}

gboolean
fleet_home_wait_behind (struct fleet_job *job)
{
  struct fleet_home *home = job->home;
  gint64 now_us = clock_now_us ();

  if (!may_wait (home) || now_us >= job->end_by_us
      || !(must_wait_late (job, now_us)
           || waiting_jobs_precede (&home->waiting.jobs, &job->waiting,
                                    now_us)))
    return FALSE;
  fleet_home_log_job_accepted (job, NULL, 0, home->directory);
  add_waiting (job, now_us);
  assign_service (home, job, now_us);
  return TRUE;
}

void
fleet_home_handle_beacon (struct fleet_home *home, const struct vm *vm)
{
  gint64 now_us = clock_now_us ();

  if (!may_wait (home)
      || (home->evacuation != NULL
          && evacuation_includes (home->evacuation, vm->availability_zone)))
    return;
  for (guint i = 0; i < vm->n_rooms; i++)
    if (vm->rooms[i].n_slots > 0)
      slot_outlook_note_slots (&home->waiting.outlook,
                               vm->rooms[i].service_hash,
                               vm->availability_zone, now_us);
  assign_if_due (home, now_us);
}

void
fleet_home_handle_evacuated (struct fleet_home *home, const char *zone)
{
  slot_outlook_forget_zone (&home->waiting.outlook, zone);
}

void
fleet_home_note_loss (struct fleet_home *home, const char *vm)
{
  const struct vm *lost = vm_directory_find (home->directory, vm);

  if (lost == NULL || !may_wait (home)
      || (home->evacuation != NULL
          && evacuation_includes (home->evacuation, lost->availability_zone)))
    return;
  slot_outlook_note_loss (&home->waiting.outlook, lost->availability_zone,
                          clock_now_us ());
}

void
fleet_home_leave (struct fleet_home *home)
{
  struct waiting_jobs *jobs = &home->waiting.jobs;

  home->is_leaving = TRUE;
  while (!list_is_empty (&jobs->jobs))
    refuse_waiting (home,
                    list_entry (jobs->jobs.next, struct waiting_job, link),
                    "this VM is leaving; send the job again");
}

/* Refuses WAITING, whose time is over, with the reason that it had without
   waiting.  */
static void
refuse_expired (struct fleet_home *home, struct waiting_job *waiting)
{
  const char *service = job_from_waiting (waiting)->submission->service;

  refuse_waiting (home, waiting,
                  fleet_home_has_slots (home, service)
                      ? "the queues are longer than its time"
                      : "no upstream is owned by a live VM");
}

void
fleet_home_advance_waiting (struct fleet_home *home, gint64 now_us)
{
  struct waiting_jobs *jobs = &home->waiting.jobs;
  struct waiting_job *expired;

  while ((expired = waiting_jobs_find_expired (jobs, now_us)) != NULL)
    refuse_expired (home, expired);
  assign_if_due (home, now_us);
}
