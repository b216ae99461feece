#include "transport/fleet_owner_private.h"

#include "base/event_log.h"
#include "base/hash64.h"
#include "base/loop_timer.h"
#include "base/loop_turn.h"
#include "base/metrics.h"

#include <string.h>

/* Queued tasks may be returned to their homes, to be placed elsewhere, when
   the first of the queue has waited for this long.  */
#define RETURN_AFTER_US (10 * USEC_PER_MSEC)

/* A claim of which the sink was not notified yet.  */
struct claim
{
  struct batch *batch;
  guint n_tasks;
};

/* Returned tasks of which the sink was not notified yet.  */
struct returned_tasks
{
  struct batch *batch;
  guint n_tasks;
  guint indexes[];
};

/* A lost upstream of which the listener was not notified yet.  */
struct lost_upstream
{
  char *id;
  gboolean is_fenced;
};

static struct fleet_owner *
owner_from_driver (struct owner_driver *driver)
{
  return list_entry (driver, struct fleet_owner, driver);
}

static void
driver_start_run (struct owner_driver *driver, struct run *run,
                  gint64 until_ms)
{
  struct fleet_owner *owner = owner_from_driver (driver);

  metrics_count_label (METRIC_UPSTREAM_ORDERS, UPSTREAM_ORDER_START);
  fleet_owner_log_run_starting (run);
  owner->platform->ops->start_run (owner->platform, owner->owner, run,
                                   until_ms);
}

static void
driver_stop_run (struct owner_driver *driver, struct run *run)
{
  struct fleet_owner *owner = owner_from_driver (driver);

  metrics_count_label (METRIC_UPSTREAM_ORDERS, UPSTREAM_ORDER_STOP);
  fleet_owner_log_run_stopping (run);
  owner->platform->ops->stop_run (owner->platform, owner->owner, run);
}

static void
driver_poll (struct owner_driver *driver, struct owned_upstream *upstream,
             gint64 until_ms, guint wait_ms)
{
  struct fleet_owner *owner = owner_from_driver (driver);

  metrics_count_label (METRIC_UPSTREAM_ORDERS, UPSTREAM_ORDER_POLL);
  owner->platform->ops->poll_upstream (owner->platform, owner->owner, upstream,
                                       until_ms, wait_ms);
}

static void
driver_run_ended (struct owner_driver *driver, const struct run *run,
                  enum run_end end)
{
  gint64 took_us = clock_now_us () - run->started_us;
  struct batch_sink *sink;

  if (run->task == NULL)
    return;
  sink = run->task->batch->user_data;
  metrics_record (METRIC_TASK_SECONDS, took_us);
  if (end != RUN_DONE && !run->task->batch->is_ending)
    metrics_count (METRIC_TASKS_RETRIED);
  fleet_owner_log_run_ended (run, end, took_us, &sink->tally);
}

static void
driver_start_unanswered (struct owner_driver *driver, const struct run *run)
{
  fleet_owner_log_run_unanswered (run);
}

static void
driver_upstream_crashed (struct owner_driver *driver, const struct run *run)
{
  if (run->task->is_suspect)
    metrics_count (METRIC_TASKS_SUSPECTED);
  fleet_owner_log_upstream_crashed (run);
}

static void
driver_slot_declined (struct owner_driver *driver, enum slot_wait wait)
{
  metrics_count (wait == SLOT_WAIT_FASTER ? METRIC_WAITS_FASTER
                                          : METRIC_WAITS_PROVEN);
}

static void
driver_health_changed (struct owner_driver *driver,
                       const struct owned_upstream *upstream,
                       enum owner_health_event event)
{
  fleet_owner_log_upstream_health (upstream, event);
}

/* Updates metrics and writes the log line at the end of BATCH.  */
static void
record_batch_end (const struct batch *batch)
{
  struct batch_sink *sink = batch->user_data;

  if (batch->reason == owner_reason_unconfirmed)
    metrics_count (METRIC_BATCHES_UNCONFIRMED);
  if (batch->first_started_us != 0)
    metrics_record (METRIC_QUEUE_SECONDS,
                    batch->first_started_us - batch->queued_us);
  fleet_owner_log_batch_ended (batch, &sink->tally,
                               fleet_owner_is_remote (sink));
  batch_tally_clear (&sink->tally);
}

static void
driver_claim_tasks (struct owner_driver *driver, struct batch *batch,
                    guint n_tasks)
{
  struct fleet_owner *owner = owner_from_driver (driver);
  struct claim *claim = g_new0 (struct claim, 1);

  metrics_count (METRIC_CLAIMS);
  claim->batch = batch;
  claim->n_tasks = n_tasks;
  g_queue_push_tail (&owner->claims, claim);
  loop_timer_set (owner->notify_timer, 0);
}

static void
driver_return_tasks (struct owner_driver *driver, struct batch *batch,
                     const guint *indexes, guint n_tasks)
{
  struct fleet_owner *owner = owner_from_driver (driver);
  struct returned_tasks *returned
      = g_malloc (sizeof *returned + n_tasks * sizeof *indexes);

  fleet_owner_log_tasks_returned (batch, n_tasks);
  returned->batch = batch;
  returned->n_tasks = n_tasks;
  memcpy (returned->indexes, indexes, n_tasks * sizeof *indexes);
  g_queue_push_tail (&owner->returned, returned);
  loop_timer_set (owner->notify_timer, 0);
}

static void
driver_finish_batch (struct owner_driver *driver, struct batch *batch)
{
  struct fleet_owner *owner = owner_from_driver (driver);

  record_batch_end (batch);
  g_queue_push_tail (&owner->ended, batch);
  loop_timer_set (owner->notify_timer, 0);
}

static void
driver_ownership_ended (struct owner_driver *driver,
                        struct owned_upstream *upstream, gboolean is_fenced)
{
  struct fleet_owner *owner = owner_from_driver (driver);
  struct lost_upstream *lost = g_new0 (struct lost_upstream, 1);

  if (is_fenced)
    metrics_count (METRIC_FENCED);
  event_log_fields (is_fenced ? EVENT_UPSTREAM_FENCED
                              : EVENT_UPSTREAM_RELEASED,
                    FIELD_TEXT ("upstream", upstream->id),
                    FIELD_INT ("token", upstream->token),
                    FIELD_INT ("state", upstream->state));
  owner->platform->ops->free_transport_data (owner->platform, upstream);
  lost->id = g_strdup (upstream->id);
  lost->is_fenced = is_fenced;
  g_queue_push_tail (&owner->lost, lost);
  loop_timer_set (owner->notify_timer, 0);
}

/* Batches are freed by notify_ended (), so those of the claims still exist. */
static void
notify_claims (struct fleet_owner *owner)
{
  struct claim *claim;

  while ((claim = g_queue_pop_head (&owner->claims)) != NULL)
    {
      struct batch_sink *sink = claim->batch->user_data;

      if (!claim->batch->is_ending && !claim->batch->is_finished)
        sink->tasks_claimed (sink, claim->batch, claim->n_tasks);
      g_free (claim);
    }
}

static void
notify_returned (struct fleet_owner *owner)
{
  struct returned_tasks *returned;

  while ((returned = g_queue_pop_head (&owner->returned)) != NULL)
    {
      struct batch_sink *sink = returned->batch->user_data;

      sink->tasks_returned (sink, returned->batch, returned->indexes,
                            returned->n_tasks);
      g_free (returned);
    }
}

static void
notify_ended (struct fleet_owner *owner)
{
  struct batch *batch;

  while ((batch = g_queue_pop_head (&owner->ended)) != NULL)
    {
      struct batch_sink *sink = batch->user_data;

      owner->n_batches--;
      sink->batch_ended (sink, batch);
      batch_free (batch);
    }
}

static void
notify_lost (struct fleet_owner *owner)
{
  struct lost_upstream *lost;

  while ((lost = g_queue_pop_head (&owner->lost)) != NULL)
    {
      owner->listener->ops->upstream_lost (owner->listener, lost->id,
                                           lost->is_fenced);
      g_free (lost->id);
      g_free (lost);
    }
}

static void
on_notify_timer (gpointer data)
{
  struct fleet_owner *owner = data;

  notify_claims (owner);
  notify_returned (owner);
  notify_ended (owner);
  notify_lost (owner);
}

static void
driver_wake_at (struct owner_driver *driver, gint64 when_us)
{
  struct fleet_owner *owner = owner_from_driver (driver);

  loop_timer_set (owner->timer, when_us);
}

static const struct owner_driver_ops driver_ops = {
  .start_run = driver_start_run,
  .stop_run = driver_stop_run,
  .poll = driver_poll,
  .run_ended = driver_run_ended,
  .start_unanswered = driver_start_unanswered,
  .upstream_crashed = driver_upstream_crashed,
  .health_changed = driver_health_changed,
  .slot_declined = driver_slot_declined,
  .claim_tasks = driver_claim_tasks,
  .return_tasks = driver_return_tasks,
  .finish_batch = driver_finish_batch,
  .ownership_ended = driver_ownership_ended,
  .wake_at = driver_wake_at,
};

/* How many queued tasks like those of FIRST may move to free slots of other
   VMs.  This is only a share of these slots, rounded up, since homes and the
   other owners that have queues compete for them.  */
static guint
count_movable (const struct fleet_owner *owner, const struct batch *first)
{
  const GPtrArray *vms = vm_directory_list (owner->directory);
  guint n_free = 0;
  guint n_competitors = 1; /* one for the homes, which place new tasks */

  for (guint i = 0; i < vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (vms, i);

      for (guint k = 0; vm->is_live && !vm->is_leaving && k < vm->n_rooms; k++)
        {
          const struct vm_room *room = &vm->rooms[k];
          guint n_queued;
          guint free_slots;

          if (room->service_hash != hash64_string (first->service))
            continue;
          n_queued = vm_room_count_ahead (room, ROOM_PRIORITIES);
          free_slots = free_slots_count (&room->free_slots, first->need.cpus);
          if (free_slots > n_queued)
            n_free += free_slots - n_queued;
          n_competitors += n_queued > 0 ? 1 : 0;
        }
    }
  return (n_free + n_competitors) / (n_competitors + 1);
}

/* Returns queued tasks for the service of FIRST to their homes: all if no
   upstream here takes them any longer, otherwise as many as other VMs have
   room for.  */
static void
return_queued (struct fleet_owner *owner, const struct batch *first,
               gint64 now_us)
{
  g_autofree char *service = g_strdup (first->service);
  struct owner_room room;
  guint n_movable;

  owner_get_room (owner->owner, service, &room, now_us);
  if (owner_room_count_queued (&room) == 0)
    return;
  n_movable = count_movable (owner, first);
  if (room.n_slots == 0)
    owner_return_all_queued (owner->owner, service, now_us);
  else if (n_movable > 0)
    owner_return_queued (owner->owner, service, n_movable, now_us);
}

/* Returns the queued tasks of a service that has suspects here and no upstream
   any longer.  */
static void
return_stranded (struct fleet_owner *owner, gint64 now_us)
{
  const struct batch *stranded = owner_get_stranded_suspects (owner->owner);
  g_autofree char *service = NULL;

  if (stranded == NULL)
    return;
  service = g_strdup (stranded->service);
  owner_return_all_queued (owner->owner, service, now_us);
}

/* Returns queued tasks of the service whose batch is first in the queue, if
   that batch has waited long enough.  */
static void
rebalance (struct fleet_owner *owner, gint64 now_us)
{
  const struct batch *first = owner_get_first_queued (owner->owner);

  if (first == NULL || now_us - first->queued_us < RETURN_AFTER_US)
    return;
  return_queued (owner, first, now_us);
}

static void
on_timer (gpointer data)
{
  struct fleet_owner *owner = data;
  gint64 now_us = clock_now_us ();

  owner_confirm_local (owner->owner, loop_turn_get_settled_us ());
  fleet_owner_stop_unreachable (owner, now_us);
  fleet_owner_check_unconfirmed (owner, now_us);
  owner_advance (owner->owner, now_us);
  rebalance (owner, now_us);
  return_stranded (owner, now_us);
}

struct fleet_owner *
fleet_owner_new (const struct owner_limits *limits,
                 struct fleet_platform *platform,
                 struct vm_directory *directory,
                 struct fleet_owner_listener *listener)
{
  struct fleet_owner *owner = g_new0 (struct fleet_owner, 1);

  owner->driver.ops = &driver_ops;
  owner->platform = platform;
  owner->directory = directory;
  owner->resend_ms = limits->resend_ms;
  owner->listener = listener;
  owner->remote_batches = g_hash_table_new (g_str_hash, g_str_equal);
  owner->timer = loop_timer_new (on_timer, owner);
  owner->notify_timer = loop_timer_new (on_notify_timer, owner);
  g_queue_init (&owner->claims);
  g_queue_init (&owner->returned);
  g_queue_init (&owner->ended);
  g_queue_init (&owner->lost);
  owner->owner = owner_new (&owner->driver, limits);
  owner_advance (owner->owner, clock_now_us ());
  return owner;
}

void
fleet_owner_free (struct fleet_owner *owner)
{
  loop_timer_free (owner->timer);
  loop_timer_free (owner->notify_timer);
  g_queue_clear_full (&owner->claims, g_free);
  g_queue_clear_full (&owner->returned, g_free);
  g_queue_clear_full (&owner->ended, (GDestroyNotify)batch_free);
  owner_free (owner->owner);
  fleet_owner_free_remote (owner);
  g_free (owner);
}

void
fleet_owner_set_beacon (struct fleet_owner *owner,
                        const struct fleet_beacon *source)
{
  owner->beacon = source;
}

struct owner *
fleet_owner_get_owner (struct fleet_owner *owner)
{
  return owner->owner;
}

char *
fleet_format_home (const char *vm, guint64 incarnation)
{
  return g_strdup_printf ("%s#%" G_GUINT64_FORMAT, vm, incarnation);
}

guint
fleet_owner_count_batches (const struct fleet_owner *owner)
{
  return owner->n_batches;
}

void
fleet_owner_run (struct fleet_owner *owner, struct batch *batch,
                 struct batch_sink *sink)
{
  batch->user_data = sink;
  owner->n_batches++;
  fleet_owner_log_batch_accepted (batch);
  owner_confirm_local (owner->owner, loop_turn_get_settled_us ());
  owner_submit_batch (owner->owner, batch, clock_now_us ());
}
