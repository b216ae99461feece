#include "transport/fleet_owner.h"

#include "base/event_log.h"
#include "base/hash64.h"
#include "base/loop_timer.h"
#include "base/metrics.h"

#include <string.h>

/* CPUs and factors are received from peers as integers, in thousandths.  */
#define MILLI 1000.0

/* The timeout of a call that tells a home which tasks are returned.  */
#define RETURN_TIMEOUT_US (1 * USEC_PER_SEC)

/* Queued tasks may be returned to their homes, to be placed elsewhere, when
   the first of the queue has waited for this long.  */
#define RETURN_AFTER_US (10 * USEC_PER_MSEC)

/* The timeout of a call that claims tasks.  The slots for them stand idle
   until it ends.  */
#define CLAIM_TIMEOUT_US (250 * USEC_PER_MSEC)

/* The reason for refusing a batch whose home is not live.  */
#define REASON_HOME_NOT_LIVE "no beacons of its home are received here"

struct fleet_owner
{
  struct owner_driver driver;
  struct owner *owner;
  struct fleet_platform *platform;
  struct vm_directory *directory;
  struct peer_hub *hub;
  struct fleet_owner_listener *listener;
  GHashTable *remote_batches; /* "HOME/JOB/NUMBER" -> struct remote_batch */
  struct loop_timer *timer;   /* set by wake_at () */
  struct loop_timer *notify_timer; /* sends the queued notifications from the
                                      main loop, as the driver's functions must
                                      not call back into the owner */
  GQueue claims;                   /* struct claim */
  GQueue returned;                 /* struct returned_tasks */
  GQueue ended;                    /* struct batch */
  GQueue lost;                     /* struct lost_upstream */
  guint n_batches;                 /* that have not ended */
};

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

/* A batch that a peer has sent.  */
struct remote_batch
{
  struct batch_sink sink;
  struct fleet_owner *owner;
  struct peer_request *request; /* answered when the batch has ended */
  struct batch *batch;
  char *key;           /* "HOME/JOB/NUMBER" */
  char *vm;            /* name of the home */
  guint64 incarnation; /* of the home */
};

static void
remote_batch_free (struct remote_batch *remote)
{
  batch_tally_clear (&remote->sink.tally);
  g_free (remote->key);
  g_free (remote->vm);
  g_free (remote);
}

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
driver_health_changed (struct owner_driver *driver,
                       const struct owned_upstream *upstream,
                       enum owner_health_event event)
{
  fleet_owner_log_upstream_health (upstream, event);
}

static void on_remote_ended (struct batch_sink *sink,
                             const struct batch *batch);

/* Updates metrics and writes the log line at the end of BATCH.  */
static void
record_batch_end (const struct batch *batch)
{
  struct batch_sink *sink = batch->user_data;

  if (batch->first_started_us != 0)
    metrics_record (METRIC_QUEUE_SECONDS,
                    batch->first_started_us - batch->queued_us);
  fleet_owner_log_batch_ended (batch, &sink->tally,
                               sink->batch_ended == on_remote_ended);
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
  .health_changed = driver_health_changed,
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

/* Stops the batches whose home is no longer connected.  The result cannot
   reach the home, which therefore answers the caller that it is unknown.  The
   caller may then send the job again.  */
static void
stop_unreachable (struct fleet_owner *owner, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->remote_batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct remote_batch *remote = value;

      if (!peer_request_is_connected (remote->request))
        owner_stop_batch (owner->owner, remote->batch,
                          "the connection to its home broke", now_us);
    }
}

static void
on_timer (gpointer data)
{
  struct fleet_owner *owner = data;
  gint64 now_us = clock_now_us ();

  stop_unreachable (owner, now_us);
  owner_advance (owner->owner, now_us);
  rebalance (owner, now_us);
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
  GHashTableIter iter;
  gpointer value;

  loop_timer_free (owner->timer);
  loop_timer_free (owner->notify_timer);
  g_queue_clear_full (&owner->claims, g_free);
  g_queue_clear_full (&owner->returned, g_free);
  g_queue_clear_full (&owner->ended, (GDestroyNotify)batch_free);
  owner_free (owner->owner);
  g_hash_table_iter_init (&iter, owner->remote_batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    remote_batch_free (value);
  g_hash_table_unref (owner->remote_batches);
  g_free (owner);
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
  owner_submit_batch (owner->owner, batch, clock_now_us ());
}

static char *
format_key (const char *home, const char *job, guint number)
{
  return g_strdup_printf ("%s/%s/%u", home, job, number);
}

static void
refuse_batch (struct peer_request *request, const char *reason)
{
  peer_batch_result result
      = { .end = BATCH_NOT_STARTED, .reason = (char *)reason };

  peer_request_reply (request, &result);
}

static void
on_remote_ended (struct batch_sink *sink, const struct batch *batch)
{
  struct remote_batch *remote = list_entry (sink, struct remote_batch, sink);
  guint indexes[PEER_TASKS_MAX];
  peer_batch_result result = {
    .end = batch->end,
    .has_started = batch->n_started > 0,
    .reason = (char *)(batch->reason != NULL ? batch->reason : ""),
    .returned = { 0, indexes },
  };

  for (guint i = 0; i < batch->n_tasks; i++)
    if (batch->tasks[i].state == BATCH_TASK_RETURNED)
      indexes[result.returned.returned_len++] = batch->tasks[i].index;
  if (g_hash_table_lookup (remote->owner->remote_batches, remote->key)
      == remote)
    g_hash_table_remove (remote->owner->remote_batches, remote->key);
  peer_request_reply (remote->request, &result);
  remote_batch_free (remote);
}

/* A PEER_CLAIM_TASKS call to a home.  */
struct remote_claim
{
  struct fleet_owner *owner;
  char *key; /* of the remote batch, which may have ended since */
};

/* An offer is sent without the spec, which comes with what is granted.  */
static void
set_spec (struct batch *batch, const char *spec)
{
  if (spec[0] == '\0')
    return;
  g_free (batch->spec);
  batch->spec = g_strdup (spec);
}

static void
on_claim_answered (const void *result, const GError *error, gpointer data)
{
  const peer_claim_result *reply = result;
  struct remote_claim *claim = data;
  const struct remote_batch *remote
      = g_hash_table_lookup (claim->owner->remote_batches, claim->key);
  gint64 now_us = clock_now_us ();

  if (remote != NULL && reply != NULL)
    {
      vm_directory_note_message (claim->owner->directory, remote->vm, now_us);
      set_spec (remote->batch, reply->spec);
    }
  if (remote != NULL && remote->batch->is_claiming && reply != NULL)
    owner_claim_ended (claim->owner->owner, remote->batch,
                       reply->granted.granted_val, reply->granted.granted_len,
                       reply->is_exhausted, now_us);
  else if (remote != NULL && remote->batch->is_claiming)
    owner_claim_failed (claim->owner->owner, remote->batch, now_us);
  g_free (claim->key);
  g_free (claim);
}

static void
on_remote_claimed (struct batch_sink *sink, struct batch *batch, guint n_tasks)
{
  struct remote_batch *remote = list_entry (sink, struct remote_batch, sink);
  struct remote_claim *claim = g_new0 (struct remote_claim, 1);
  peer_claim_args args = { .incarnation = remote->incarnation,
                           .job = batch->job,
                           .number = batch->number,
                           .n_tasks = n_tasks };

  claim->owner = remote->owner;
  claim->key = g_strdup (remote->key);
  peer_hub_call (remote->owner->hub, remote->vm, PEER_CLAIM_TASKS, &args,
                 clock_now_us () + CLAIM_TIMEOUT_US, on_claim_answered, claim);
}

/* The reply to PEER_RETURN_TASKS is not used.  */
static void
on_return_answered (const void *result, const GError *error, gpointer data)
{
}

/* Tells the home which tasks are returned.  The reply to the home's call names
   them again, in case that this call is lost.  If all tasks were returned,
   that reply follows at once, and this call is not needed.  */
static void
on_remote_returned (struct batch_sink *sink, const struct batch *batch,
                    const guint *indexes, guint n_tasks)
{
  struct remote_batch *remote = list_entry (sink, struct remote_batch, sink);
  peer_return_args args = {
    .incarnation = remote->incarnation,
    .job = batch->job,
    .number = batch->number,
    .has_started = batch->n_started > 0,
    .indexes = { n_tasks, (guint *)indexes },
  };

  if (batch_is_returned (batch))
    return;
  peer_hub_call (remote->owner->hub, remote->vm, PEER_RETURN_TASKS, &args,
                 clock_now_us () + RETURN_TIMEOUT_US, on_return_answered,
                 NULL);
}

static struct batch *
build_batch (const peer_batch_args *args, const char *home)
{
  struct batch *batch = batch_new (args->job, home, args->indexes.indexes_len);
  gint64 now_us = clock_now_us ();

  for (guint i = 0; i < batch->n_tasks; i++)
    batch->tasks[i].index = args->indexes.indexes_val[i];
  batch->number = args->number;
  batch->service = g_strdup (args->service);
  batch->spec = g_strdup (args->spec);
  batch->affinity = g_strdup (args->affinity);
  batch->required_label = g_strdup (args->required_label);
  batch->step = args->step;
  batch->need.cpus = args->milli_cpus / MILLI;
  batch->need.memory_mb = args->memory_mb;
  batch->need.accelerators = args->accelerators;
  batch->estimate_us = args->estimate_us;
  batch->far_factor = MAX (args->far_permille / MILLI, 1.0);
  batch->per_upstream = args->per_upstream;
  batch->priority = args->priority;
  batch->attempts = MAX (args->attempts, 1u);
  batch->is_settled = args->is_settled;
  batch->is_part = args->is_part;
  batch->needs_free_slots = args->needs_free_slots;
  if (args->n_offers > 0)
    batch_set_offered (batch, args->n_offers);
  batch->start_by_us = now_us + args->start_in_us;
  batch->end_by_us = now_us + args->end_in_us;
  return batch;
}

/* Whether the incarnation of the home VM is live, that is, its beacons are
   received.  Only such a home's batches are accepted: their runs must be
   stopped when it is lost.  */
static gboolean
is_home_live (const struct fleet_owner *owner, const char *vm,
              guint64 incarnation)
{
  const struct vm *home = vm_directory_find (owner->directory, vm);

  return home != NULL && home->is_live && home->incarnation == incarnation;
}

static void
on_run_batch (struct peer_request *request, const void *arguments,
              gpointer data)
{
  struct fleet_owner *owner = data;
  const peer_batch_args *args = arguments;
  const char *vm = peer_request_get_sender (request);
  g_autofree char *home = fleet_format_home (vm, args->incarnation);
  struct remote_batch *remote;

  vm_directory_note_message (owner->directory, vm, clock_now_us ());
  if (!is_home_live (owner, vm, args->incarnation)
      || args->indexes.indexes_len == 0)
    {
      fleet_owner_log_batch_refused (args->job, args->number, vm,
                                     REASON_HOME_NOT_LIVE);
      refuse_batch (request, REASON_HOME_NOT_LIVE);
      return;
    }
  remote = g_new0 (struct remote_batch, 1);
  remote->sink.tasks_claimed = on_remote_claimed;
  remote->sink.tasks_returned = on_remote_returned;
  remote->sink.batch_ended = on_remote_ended;
  remote->vm = g_strdup (vm);
  remote->incarnation = args->incarnation;
  remote->owner = owner;
  remote->request = request;
  remote->key = format_key (home, args->job, args->number);
  remote->batch = build_batch (args, home);
  g_hash_table_replace (owner->remote_batches, remote->key, remote);
  fleet_owner_run (owner, remote->batch, &remote->sink);
}

static void
on_stop_batch (struct peer_request *request, const void *arguments,
               gpointer data)
{
  struct fleet_owner *owner = data;
  const peer_stop_args *args = arguments;
  g_autofree char *home = fleet_format_home (peer_request_get_sender (request),
                                             args->incarnation);
  g_autofree char *key = format_key (home, args->job, args->number);
  struct remote_batch *remote
      = g_hash_table_lookup (owner->remote_batches, key);
  peer_stop_result result = { .is_known = remote != NULL };

  vm_directory_note_message (
      owner->directory, peer_request_get_sender (request), clock_now_us ());
  if (remote != NULL)
    owner_stop_batch (owner->owner, remote->batch, "its home has stopped it",
                      clock_now_us ());
  peer_request_reply (request, &result);
}

void
fleet_owner_serve (struct fleet_owner *owner, struct peer_hub *hub)
{
  owner->hub = hub;
  peer_hub_serve (hub, PEER_RUN_BATCH, on_run_batch, owner);
  peer_hub_serve (hub, PEER_STOP_BATCH, on_stop_batch, owner);
}
