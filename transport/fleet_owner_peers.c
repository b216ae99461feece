#include "transport/fleet_owner_private.h"

#include "base/metrics.h"

/* CPUs and factors are received from peers as integers, in thousandths.  */
#define MILLI 1000.0

/* The timeout of a call that tells a home which tasks are returned.  */
#define RETURN_TIMEOUT_US (1 * USEC_PER_SEC)

/* The timeout of a call that claims tasks.  The slots for them stand idle
   until it ends.  */
#define CLAIM_TIMEOUT_US (250 * USEC_PER_MSEC)

/* The timeout of a call that asks a home whether it wants a batch.  */
#define CHECK_TIMEOUT_US (250 * USEC_PER_MSEC)

/* A batch whose home is known to have wanted it within this share of the
   resend time is started without a check.  */
#define FRESH_SHARE 0.23

/* A batch that was not confirmed for this share of the resend time is checked
   with its home.  */
#define CHECK_SHARE 0.35

/* Reasons for refusing or stopping a batch.  */
#define REASON_HOME_NOT_LIVE "no beacons of its home are received here"
#define REASON_NOT_WANTED "its home no longer wants it"

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
  gboolean is_running; /* the owner has it */
  gboolean is_stopped; /* the home has stopped it before that */
  gboolean is_checking;
  gint64 check_due_us; /* when the home may be asked next */
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

/* Ends REMOTE, which does not run.  */
static void
forget_remote (struct remote_batch *remote)
{
  if (g_hash_table_lookup (remote->owner->remote_batches, remote->key)
      == remote)
    g_hash_table_remove (remote->owner->remote_batches, remote->key);
  vm_directory_end_work (remote->owner->directory, remote->vm);
  remote_batch_free (remote);
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

  peer_request_reply (remote->request, &result);
  forget_remote (remote);
}

/* A call to the home of a batch.  */
struct home_call
{
  struct fleet_owner *owner;
  char *key; /* of the remote batch, which may have ended since */
  gint64 sent_us;
};

static struct home_call *
home_call_new (const struct remote_batch *remote)
{
  struct home_call *call = g_new0 (struct home_call, 1);

  call->owner = remote->owner;
  call->key = g_strdup (remote->key);
  call->sent_us = clock_now_us ();
  return call;
}

static void
home_call_free (struct home_call *call)
{
  g_free (call->key);
  g_free (call);
}

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
  struct home_call *claim = data;
  const struct remote_batch *remote
      = g_hash_table_lookup (claim->owner->remote_batches, claim->key);
  gint64 now_us = clock_now_us ();

  if (remote != NULL && reply != NULL)
    {
      vm_directory_note_message (claim->owner->directory, remote->vm, now_us);
      set_spec (remote->batch, reply->spec);
      if (reply->granted.granted_len > 0)
        owner_confirm_batch (claim->owner->owner, remote->batch,
                             claim->sent_us, now_us);
    }
  if (remote != NULL && remote->batch->is_claiming && reply != NULL)
    owner_claim_ended (claim->owner->owner, remote->batch,
                       reply->granted.granted_val, reply->granted.granted_len,
                       reply->is_exhausted, now_us);
  else if (remote != NULL && remote->batch->is_claiming)
    owner_claim_failed (claim->owner->owner, remote->batch, now_us);
  home_call_free (claim);
}

static void
on_remote_claimed (struct batch_sink *sink, struct batch *batch, guint n_tasks)
{
  struct remote_batch *remote = list_entry (sink, struct remote_batch, sink);
  peer_claim_args args = { .incarnation = remote->incarnation,
                           .job = batch->job,
                           .number = batch->number,
                           .n_tasks = n_tasks };

  peer_hub_call (remote->owner->hub, remote->vm, PEER_CLAIM_TASKS, &args,
                 clock_now_us () + CLAIM_TIMEOUT_US, on_claim_answered,
                 home_call_new (remote));
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

/* Runs REMOTE, whose home wanted it at CONFIRMED_US or later.  */
static void
run_remote (struct remote_batch *remote, gint64 confirmed_us)
{
  remote->is_running = TRUE;
  remote->batch->confirmed_us = confirmed_us;
  fleet_owner_run (remote->owner, remote->batch, &remote->sink);
}

/* Refuses REMOTE, which does not run.  */
static void
refuse_remote (struct remote_batch *remote, const char *reason)
{
  metrics_count (METRIC_BATCHES_LATE);
  fleet_owner_log_batch_refused (remote->batch->job, remote->batch->number,
                                 remote->vm, reason);
  refuse_batch (remote->request, reason);
  batch_free (remote->batch);
  forget_remote (remote);
}

/* The home of REMOTE, asked at SENT_US, wants it if IS_WANTED.  */
static void
apply_check (struct remote_batch *remote, gboolean is_wanted, gint64 sent_us)
{
  struct owner *owner = remote->owner->owner;

  if (remote->is_running && is_wanted)
    owner_confirm_batch (owner, remote->batch, sent_us, clock_now_us ());
  else if (remote->is_running)
    owner_stop_batch (owner, remote->batch, REASON_NOT_WANTED,
                      clock_now_us ());
  else if (!is_wanted || remote->is_stopped)
    refuse_remote (remote, REASON_NOT_WANTED);
  else if (!is_home_live (remote->owner, remote->vm, remote->incarnation)
           || !peer_request_is_connected (remote->request))
    refuse_remote (remote, REASON_HOME_NOT_LIVE);
  else
    run_remote (remote, sent_us);
}

static void
on_check_answered (const void *result, const GError *error, gpointer data)
{
  const peer_return_result *reply = result;
  struct home_call *check = data;
  struct remote_batch *remote
      = g_hash_table_lookup (check->owner->remote_batches, check->key);

  if (remote != NULL)
    {
      remote->is_checking = FALSE;
      remote->check_due_us = check->sent_us + CHECK_TIMEOUT_US;
    }
  if (remote != NULL && reply != NULL)
    {
      vm_directory_note_message (check->owner->directory, remote->vm,
                                 clock_now_us ());
      apply_check (remote, reply->is_known, check->sent_us);
    }
  else if (remote != NULL && !remote->is_running)
    refuse_remote (remote, owner_reason_unconfirmed);
  home_call_free (check);
}

/* Asks the home of REMOTE whether it wants the batch: a return of no task,
   which the home answers with whether the batch is open.  */
static void
check_remote (struct remote_batch *remote)
{
  peer_return_args args = { .incarnation = remote->incarnation,
                            .job = remote->batch->job,
                            .number = remote->batch->number,
                            .has_started = remote->batch->n_started > 0 };

  metrics_count (METRIC_BATCH_CHECKS);
  remote->is_checking = TRUE;
  peer_hub_call (remote->owner->hub, remote->vm, PEER_RETURN_TASKS, &args,
                 clock_now_us () + CHECK_TIMEOUT_US, on_check_answered,
                 home_call_new (remote));
}

/* The time after which, without a confirmation, SHARE of the resend time is
   over.  */
static gint64
get_share_us (const struct fleet_owner *owner, gdouble share)
{
  return (gint64)(owner->resend_ms * share) * USEC_PER_MSEC;
}

void
fleet_owner_check_unconfirmed (struct fleet_owner *owner, gint64 now_us)
{
  gint64 before_us = now_us - get_share_us (owner, CHECK_SHARE);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->remote_batches);
  while (owner->resend_ms != 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct remote_batch *remote = value;

      if (remote->is_running && !remote->batch->is_ending
          && !remote->batch->is_finished && !remote->is_checking
          && remote->check_due_us <= now_us
          && owner_get_confirmed_us (owner->owner, remote->batch) < before_us)
        check_remote (remote);
    }
}

static gboolean
is_revoked (const struct remote_batch *remote, const guint *revoked,
            guint n_revoked)
{
  for (guint i = 0; i < n_revoked; i++)
    if (remote->batch->number == revoked[i])
      return TRUE;
  return FALSE;
}

void
fleet_owner_confirm_home (struct fleet_owner *owner, const struct vm *vm,
                          gint64 confirmed_us, const guint *revoked,
                          guint n_revoked)
{
  gint64 now_us = clock_now_us ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->remote_batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct remote_batch *remote = value;

      if (remote->incarnation != vm->incarnation
          || !g_str_equal (remote->vm, vm->name))
        continue;
      if (!remote->is_running)
        remote->is_stopped |= is_revoked (remote, revoked, n_revoked);
      else if (is_revoked (remote, revoked, n_revoked))
        owner_stop_batch (owner->owner, remote->batch,
                          "its home has revoked it", now_us);
      else
        owner_confirm_batch (owner->owner, remote->batch, confirmed_us,
                             now_us);
    }
}

static void
on_run_batch (struct peer_request *request, const void *arguments,
              gpointer data)
{
  struct fleet_owner *owner = data;
  const peer_batch_args *args = arguments;
  const char *vm = peer_request_get_sender (request);
  g_autofree char *home = fleet_format_home (vm, args->incarnation);
  gint64 sent_after_us = 0; /* by the beacon that the home had heard */
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
  if (owner->beacon != NULL)
    sent_after_us = fleet_beacon_get_sent_us (
        owner->beacon, peer_request_get_heard (request));
  if (owner->resend_ms == 0
      || sent_after_us >= clock_now_us () - get_share_us (owner, FRESH_SHARE))
    run_remote (remote, sent_after_us);
  else
    check_remote (remote);
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
  if (remote != NULL && remote->is_running)
    owner_stop_batch (owner->owner, remote->batch, "its home has stopped it",
                      clock_now_us ());
  else if (remote != NULL)
    remote->is_stopped = TRUE;
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

      if (remote->is_running && !peer_request_is_connected (remote->request))
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
    {
      struct remote_batch *remote = value;

      /* The others are freed with the owner that has them.  */
      if (!remote->is_running)
        batch_free (remote->batch);
      remote_batch_free (remote);
    }
  g_hash_table_unref (owner->remote_batches);
}

void
fleet_owner_serve (struct fleet_owner *owner, struct peer_hub *hub)
{
  owner->hub = hub;
  peer_hub_serve (hub, PEER_RUN_BATCH, on_run_batch, owner);
  peer_hub_serve (hub, PEER_STOP_BATCH, on_stop_batch, owner);
}
