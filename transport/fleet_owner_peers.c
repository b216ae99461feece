#include "transport/fleet_owner_private.h"

/* CPUs and factors are received from peers as integers, in thousandths.  */
#define MILLI 1000.0

/* The timeout of a call that tells a home which tasks are returned.  */
#define RETURN_TIMEOUT_US (1 * USEC_PER_SEC)

/* The timeout of a call that claims tasks.  The slots for them stand idle
   until it ends.  */
#define CLAIM_TIMEOUT_US (250 * USEC_PER_MSEC)

/* The reason for refusing a batch whose home is not live.  */
#define REASON_HOME_NOT_LIVE "no beacons of its home are received here"

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
  guint done[PEER_TASKS_MAX];
  guint returned[PEER_TASKS_MAX];
  guint crashed[PEER_TASKS_MAX];
  guint suspects[PEER_TASKS_MAX];
  peer_batch_result result = {
    .end = batch->end,
    .has_started = batch->n_started > 0,
    .reason = (char *)(batch->reason != NULL ? batch->reason : ""),
    .done = { batch_list_tasks (batch, BATCH_TASK_DONE, done), done },
    .returned
    = { batch_list_tasks (batch, BATCH_TASK_RETURNED, returned), returned },
    .crashed = { batch_list_crashed (batch, FALSE, crashed), crashed },
    .suspects = { batch_list_crashed (batch, TRUE, suspects), suspects },
  };

  if (g_hash_table_lookup (remote->owner->remote_batches, remote->key)
      == remote)
    g_hash_table_remove (remote->owner->remote_batches, remote->key);
  vm_directory_end_work (remote->owner->directory, remote->vm);
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
  guint crashed[PEER_TASKS_MAX];
  guint suspects[PEER_TASKS_MAX];
  peer_return_args args = {
    .incarnation = remote->incarnation,
    .job = batch->job,
    .number = batch->number,
    .has_started = batch->n_started > 0,
    .indexes = { n_tasks, (guint *)indexes },
    .crashed = { batch_list_crashed (batch, FALSE, crashed), crashed },
    .suspects = { batch_list_crashed (batch, TRUE, suspects), suspects },
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
  batch_mark_crashed (batch, args->crashed.crashed_val,
                      args->crashed.crashed_len, FALSE, now_us);
  batch_mark_crashed (batch, args->suspects.suspects_val,
                      args->suspects.suspects_len, TRUE, now_us);
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
  vm_directory_begin_work (owner->directory, vm, clock_now_us ());
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

gboolean
fleet_owner_is_remote (const struct batch_sink *sink)
{
  return sink->batch_ended == on_remote_ended;
}

void
fleet_owner_stop_unreachable (struct fleet_owner *owner, gint64 now_us)
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

void
fleet_owner_free_remote (struct fleet_owner *owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->remote_batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    remote_batch_free (value);
  g_hash_table_unref (owner->remote_batches);
}

void
fleet_owner_serve (struct fleet_owner *owner, struct peer_hub *hub)
{
  owner->hub = hub;
  peer_hub_serve (hub, PEER_RUN_BATCH, on_run_batch, owner);
  peer_hub_serve (hub, PEER_STOP_BATCH, on_stop_batch, owner);
}
