#include "transport/fleet_home.h"

#include "base/error.h"
#include "base/hash64.h"
#include "base/metrics.h"
#include "coordination/retry_spread.h"
#include "transport/fleet_home_log.h"
#include "transport/fleet_home_private.h"

#include <string.h>

/* The most times that tasks of a job are assigned to owners, the first time
   included.  Further assignments follow when owners return tasks.  */
#define MAX_ASSIGNMENTS 24

/* How long the tasks of a job that was given up may take to stop, before the
   job is answered without waiting for them.  */
#define STOP_GRACE_US (1 * USEC_PER_SEC)

/* Bounds of the retry delay that a refused caller is told.  */
#define MIN_RETRY_MS RETRY_SPREAD_MIN_MS
#define MAX_RETRY_MS RETRY_SPREAD_MAX_MS

/* The time after which callers may send a job again, if it is not set.  */
#define DEFAULT_RESEND_MS 1300

static void on_return_tasks (struct peer_request *request,
                             const void *arguments, gpointer data);
static void on_claim_tasks (struct peer_request *request,
                            const void *arguments, gpointer data);

struct fleet_home *
fleet_home_new (const char *vm, guint64 incarnation,
                const char *availability_zone, gdouble far_factor,
                struct vm_directory *directory, struct peer_hub *hub,
                struct fleet_owner *owner, struct fleet_admission *admission)
{
  struct fleet_home *home = g_new0 (struct fleet_home, 1);

  home->vm = g_strdup (vm);
  home->name = fleet_format_home (vm, incarnation);
  home->availability_zone = g_strdup (availability_zone);
  home->incarnation = incarnation;
  home->far_factor = far_factor;
  home->directory = directory;
  home->hub = hub;
  home->owner = owner;
  home->admission = admission;
  home->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  home->peers = fleet_home_new_peers ();
  home->ending = fleet_home_new_ending ();
  home->resend_ms = DEFAULT_RESEND_MS;
  waiting_jobs_init (&home->waiting.jobs, 0, 0);
  peer_hub_serve (hub, PEER_RETURN_TASKS, on_return_tasks, home);
  peer_hub_serve (hub, PEER_CLAIM_TASKS, on_claim_tasks, home);
  return home;
}

void
fleet_home_set_resend_ms (struct fleet_home *home, guint resend_ms)
{
  home->resend_ms = resend_ms;
}

void
fleet_home_free (struct fleet_home *home)
{
  g_hash_table_unref (home->jobs);
  g_hash_table_unref (home->peers);
  g_hash_table_unref (home->ending);
  g_free (home->vm);
  g_free (home->name);
  g_free (home->availability_zone);
  g_free (home);
}

/* The open parts of JOB; if ONLY_UNCLAIMED, those offers of which no task was
   granted.  */
static GPtrArray *
list_parts (const struct fleet_job *job, gboolean only_unclaimed)
{
  GPtrArray *parts = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &job->parts)
    {
      struct fleet_part *part = list_entry (node, struct fleet_part, link);

      if (!only_unclaimed || part->n_tasks == 0)
        g_ptr_array_add (parts, part);
    }
  return parts;
}

static void
stop_parts (struct fleet_job *job)
{
  g_autoptr (GPtrArray) parts = list_parts (job, FALSE);

  for (guint i = 0; i < parts->len; i++)
    {
      struct fleet_part *part = g_ptr_array_index (parts, i);

      list_remove (&part->link);
      fleet_part_stop (part);
    }
}

/* Closes PART, an offer of which no task was granted: nothing of it can have
   been started, and no later claim is granted.  */
static void
close_offer (struct fleet_part *part)
{
  part->is_open = FALSE;
  list_remove (&part->link);
  fleet_part_stop (part);
}

/* Withdraws the offers of JOB of which no task was granted, but for KEPT.  */
static void
withdraw_offers (struct fleet_job *job, const struct fleet_part *kept)
{
  g_autoptr (GPtrArray) parts = list_parts (job, TRUE);

  for (guint i = 0; i < parts->len; i++)
    if (g_ptr_array_index (parts, i) != kept)
      close_offer (g_ptr_array_index (parts, i));
}

/* Removes JOB from the table, stops its open parts and drops the home's
   reference.  */
static void
close_job (struct fleet_job *job)
{
  struct fleet_home *home = job->home;

  job->is_closed = TRUE;
  if (g_hash_table_lookup (home->jobs, job->submission->job) == job)
    g_hash_table_remove (home->jobs, job->submission->job);
  fleet_home_keep_ending (job);
  stop_parts (job);
  fleet_job_unref (job);
}

/* For each outcome its name in the log, its HTTP status and its metric label.
   Indexed by enum fleet_outcome.  */
static const struct
{
  const char *name;
  guint status;
  enum job_outcome metric_label;
} outcomes[] = {
  { "done", 200, JOB_OUTCOME_DONE },
  { "failed", 200, JOB_OUTCOME_FAILED },
  { "not-run", 503, JOB_OUTCOME_REJECTED },
  { "unknown", 502, JOB_OUTCOME_LOST },
};

static void
log_answer (const struct fleet_job *job, const struct fleet_answer *answer)
{
  gint64 took_us = clock_now_us () - job->accepted_us;

  metrics_record (METRIC_ANSWER_SECONDS, took_us);
  metrics_count_label (METRIC_FLEET_JOBS,
                       outcomes[answer->outcome].metric_label);
  fleet_admission_note_answer (job->home->admission, job, answer, took_us);
  fleet_home_log_job_answered (job, answer, outcomes[answer->outcome].name,
                               outcomes[answer->outcome].status, took_us);
}

/* Answers JOB with OUTCOME and REASON, a static string, and closes it; does
   nothing if it is closed already.  RETRY_AFTER_MS is used with FLEET_NOT_RUN
   only.  */
static void
answer_job (struct fleet_job *job, enum fleet_outcome outcome,
            const char *reason, gint64 retry_after_ms)
{
  struct fleet_answer answer = { .outcome = outcome, .reason = reason };
  struct fleet_answer_handler *handler = job->handler;

  if (job->is_closed)
    return;
  if (outcome == FLEET_NOT_RUN)
    answer.retry_after_ms
        = (guint)CLAMP (retry_after_ms, MIN_RETRY_MS, MAX_RETRY_MS);
  log_answer (job, &answer);
  fleet_home_end_wait (job, outcomes[outcome].name,
                       outcome == FLEET_NOT_RUN ? reason : NULL);
  job->handler = NULL;
  close_job (job);
  handler->answer (handler, &answer);
}

static void assign_tasks (struct fleet_job *job, const guint *indexes,
                          guint n_tasks);

/* Answers JOB if it was given up and all its parts have ended, so that it is
   known whether any task was started.  */
static void
answer_if_given_up (struct fleet_job *job)
{
  if (job->give_up_reason == NULL || !list_is_empty (&job->parts))
    return;
  answer_job (job, job->has_started ? FLEET_UNKNOWN : FLEET_NOT_RUN,
              job->give_up_reason, job->retry_after_ms);
}

/* Stops all parts of JOB.  It is answered with REASON, a static string, as
   soon as all of them have ended, or at the latest after STOP_GRACE_US.  */
static void
give_up_job (struct fleet_job *job, const char *reason, gint64 retry_after_ms)
{
  struct list_node *node;
  struct list_node *after;

  if (job->is_closed || job->give_up_reason != NULL)
    return;
  job->give_up_reason = reason;
  job->retry_after_ms = retry_after_ms;
  job->deadline_us = clock_now_us () + STOP_GRACE_US;
  withdraw_offers (job, NULL);
  list_for_each (node, after, &job->parts)
    fleet_part_stop (list_entry (node, struct fleet_part, link));
  answer_if_given_up (job);
}

/* Whether a task of JOB may have been started, as far as the home knows.  An
   open part counts as started, because tasks that were sent to free slots
   usually have been.  */
static gboolean
may_have_started (const struct fleet_job *job)
{
  struct list_node *node;
  struct list_node *after;

  if (job->done.n > 0 || job->has_started)
    return TRUE;
  list_for_each (node, after, &job->parts)
    {
      if (list_entry (node, struct fleet_part, link)->n_tasks > 0)
        return TRUE;
    }
  return FALSE;
}

/* How often tasks of JOB are assigned.  A job that has not begun is given up
   sooner, so that its caller can come back.  */
static guint
get_max_assignments (const struct fleet_job *job)
{
  return may_have_started (job) ? MAX_ASSIGNMENTS
                                : FLEET_MAX_MOVABLE_ASSIGNMENTS;
}

/* Lets JOB wait, if nothing of it was started and more slots are expected.
   Returns whether it does.  Owners may return its tasks within milliseconds,
   as often as they are assigned, when they have not heard of this home
   yet.  */
static gboolean
wait_for_more (struct fleet_job *job)
{
  if (may_have_started (job))
    return FALSE;
  withdraw_offers (job, NULL);
  return fleet_home_wait (job, TRUE);
}

/* Assigns N_TASKS of JOB, which an owner has returned unstarted, to owners
   again, or gives the job up if that is no longer possible.  */
static void
reassign_tasks (struct fleet_job *job, const guint *indexes, guint n_tasks)
{
  if ((n_tasks == 0 && job->wanted.n == 0) || job->is_closed
      || job->give_up_reason != NULL)
    return;
  /* If tasks of the job may have started, giving it up would waste their work,
     so the others may start until the deadline.  */
  if (may_have_started (job))
    job->end_by_us = MAX (job->end_by_us, job->deadline_us);
  if (job->n_assignments < get_max_assignments (job)
      && clock_now_us () < job->end_by_us)
    assign_tasks (job, indexes, n_tasks);
  else if (!wait_for_more (job))
    give_up_job (job, "no room in time",
                 fleet_home_get_retry_ms (job, MIN_RETRY_MS));
}

/* Assigns the tasks that JOB still offers again if no owner is left that could
   claim them.  */
static void
renew_offers (struct fleet_job *job)
{
  if (!job->is_closed && job->give_up_reason == NULL && job->wanted.n > 0
      && !fleet_job_has_offers (job))
    reassign_tasks (job, NULL, 0);
}

/* PART has ended with BATCH_DONE or BATCH_NOT_STARTED.  Whatever its owner has
   not named as done is assigned again.  */
static void
handle_tasks_left (struct fleet_part *part)
{
  if (fleet_job_is_done (part->job))
    answer_job (part->job, FLEET_DONE, "done", 0);
  else if (part->n_tasks > 0)
    reassign_tasks (part->job, part->indexes, part->n_tasks);
}

/* PART has ended with END, and its owner names the N_DONE tasks DONE.  REASON,
   a static string, explains BATCH_STOPPED.  */
static void
handle_part_end (struct fleet_part *part, enum batch_end end,
                 const guint *done, guint n_done, const char *reason)
{
  struct fleet_job *job = part->job;

  part->is_open = FALSE;
  list_remove (&part->link);
  if (job->is_closed)
    return;
  if (job->give_up_reason != NULL)
    {
      job->has_started |= end != BATCH_DONE && end != BATCH_NOT_STARTED;
      answer_if_given_up (job);
      return;
    }
  fleet_part_take_done (part, done, n_done);
  switch (end)
    {
    case BATCH_DONE:
      if (part->n_tasks > 0)
        fleet_home_log_tasks_ignored (part, job->home->vm);
      handle_tasks_left (part);
      break;
    case BATCH_FAILED:
      job->has_started = TRUE;
      answer_job (job, FLEET_FAILED, "a task used up its attempts", 0);
      break;
    case BATCH_CRASHED:
      job->has_started = TRUE;
      answer_job (job, FLEET_FAILED, "upstreams crash under a task", 0);
      break;
    case BATCH_NOT_STARTED:
      handle_tasks_left (part);
      break;
    case BATCH_STOPPED:
      job->has_started = TRUE;
      answer_job (job, FLEET_UNKNOWN, reason, 0);
      break;
    }
  renew_offers (job);
}

/* The owner of PART has returned the tasks in ARGS unstarted.  */
static void
handle_returned (struct fleet_part *part, const peer_return_args *args)
{
  guint n_indexes = args->indexes.indexes_len;
  guint out[PEER_TASKS_MAX];
  guint n_out;

  if (!part->is_open)
    return;
  part->job->has_started |= args->has_started;
  if (part->owner != NULL && part->n_offers == 0 && n_indexes > 0)
    vm_directory_mark_full (part->job->home->directory, part->owner,
                            hash64_string (part->job->submission->service),
                            part->job->submission->need.cpus);
  n_out = fleet_part_remove_tasks (part, args->indexes.indexes_val,
                                   MIN (n_indexes, PEER_TASKS_MAX), out);
  fleet_job_note_crashed (part->job, out, n_out, args->crashed.crashed_val,
                          args->crashed.crashed_len, FALSE);
  fleet_job_note_crashed (part->job, out, n_out, args->suspects.suspects_val,
                          args->suspects.suspects_len, TRUE);
  fleet_home_log_tasks_returned (part, n_out, part->job->home->vm);
  if (n_out > 0)
    reassign_tasks (part->job, out, n_out);
  else if (n_indexes > 0)
    renew_offers (part->job);
}

/* The owner of PART, an open offer, has slots for N_TASKS.  Writes the indexes
   of the tasks that it gets to GRANTED.  Returns their number.  */
static guint
grant_tasks (struct fleet_part *part, guint n_tasks, guint *granted)
{
  struct fleet_job *job = part->job;
  guint n;

  if (!part->is_open || job->give_up_reason != NULL)
    return 0;
  n = fleet_part_grant (part, MIN (n_tasks, PEER_TASKS_MAX), granted);
  if (job->wanted.n == 0)
    withdraw_offers (job, part);
  return n;
}

/* Whether PART can claim nothing more, after a claim that was granted N
   tasks.  Its owner then forgets the rest of the offer, so that nothing of it
   may be granted to PART later.  */
static gboolean
end_offer_if_exhausted (struct fleet_part *part, guint n)
{
  if (n > 0 && task_set_intersects (&part->job->wanted, &part->offered))
    return FALSE;
  part->offered.n = 0;
  return TRUE;
}

/* How the batch with RESULT ended.  An end that this version does not know
   counts as stopped.  */
static enum batch_end
get_batch_end (const peer_batch_result *result)
{
  return result->end <= BATCH_CRASHED ? (enum batch_end)result->end
                                      : BATCH_STOPPED;
}

/* The batch of PART has ended with RESULT.  REASON, a static string, explains
   BATCH_STOPPED.  */
static void
handle_result (struct fleet_part *part, const peer_batch_result *result,
               const char *reason)
{
  const peer_return_args returned = {
    .has_started = result->has_started,
    .indexes
    = { result->returned.returned_len, result->returned.returned_val },
    .crashed = { result->crashed.crashed_len, result->crashed.crashed_val },
    .suspects
    = { result->suspects.suspects_len, result->suspects.suspects_val },
  };

  if (result->has_started)
    part->job->has_started = TRUE;
  if (part->is_open)
    handle_returned (part, &returned);
  if (part->is_open)
    handle_part_end (part, get_batch_end (result), result->done.done_val,
                     result->done.done_len, reason);
}

static void
on_local_claimed (struct batch_sink *sink, struct batch *batch, guint n_tasks)
{
  struct fleet_part *part = list_entry (sink, struct fleet_part, sink);
  guint granted[PEER_TASKS_MAX];
  guint n = grant_tasks (part, n_tasks, granted);

  owner_claim_ended (fleet_owner_get_owner (part->job->home->owner), batch,
                     granted, n, end_offer_if_exhausted (part, n),
                     clock_now_us ());
}

static void
on_local_returned (struct batch_sink *sink, const struct batch *batch,
                   const guint *indexes, guint n_tasks)
{
  guint crashed[PEER_TASKS_MAX];
  guint suspects[PEER_TASKS_MAX];
  const peer_return_args args = {
    .has_started = batch->n_started > 0,
    .indexes = { n_tasks, (guint *)indexes },
    .crashed = { batch_list_crashed (batch, FALSE, crashed), crashed },
    .suspects = { batch_list_crashed (batch, TRUE, suspects), suspects },
  };

  handle_returned (list_entry (sink, struct fleet_part, sink), &args);
}

static void
on_local_ended (struct batch_sink *sink, const struct batch *batch)
{
  struct fleet_part *part = list_entry (sink, struct fleet_part, sink);
  guint done[PEER_TASKS_MAX];
  guint returned[PEER_TASKS_MAX];
  guint crashed[PEER_TASKS_MAX];
  guint suspects[PEER_TASKS_MAX];
  const peer_batch_result result = {
    .end = batch->end,
    .has_started = batch->n_started > 0,
    .done = { batch_list_tasks (batch, BATCH_TASK_DONE, done), done },
    .returned
    = { batch_list_tasks (batch, BATCH_TASK_RETURNED, returned), returned },
    .crashed = { batch_list_crashed (batch, FALSE, crashed), crashed },
    .suspects = { batch_list_crashed (batch, TRUE, suspects), suspects },
  };

  part->batch = NULL;
  fleet_home_end_part (part->job);
  handle_result (part, &result, batch->reason != NULL ? batch->reason : "");
  fleet_part_free (part);
}

static void
on_remote_ended (const void *result, const GError *error, gpointer data)
{
  const peer_batch_result *reply = result;
  struct fleet_part *part = data;
  gboolean has_ended
      = reply != NULL || error_get_kind (error) == ERROR_NOT_RUN;

  fleet_home_end_call (part->job->home, part->owner, part->number, has_ended);
  if (has_ended)
    fleet_home_end_part (part->job);
  if (reply != NULL)
    vm_directory_note_message (part->job->home->directory, part->owner,
                               clock_now_us ());
  if (reply != NULL)
    handle_result (part, reply, "its owner has stopped it");
  else if (part->is_open
           && (error_get_kind (error) == ERROR_NOT_RUN || part->n_tasks == 0))
    handle_part_end (part, BATCH_NOT_STARTED, NULL, 0, NULL);
  else if (part->is_open)
    {
      /* Only the connection may have failed: the owner may still run the
         part, so it is told to stop.  */
      fleet_part_stop (part);
      handle_part_end (part, BATCH_STOPPED, NULL, 0,
                       "the connection to its owner broke");
    }
  fleet_part_free (part);
}

/* The longest wait in a queue with which tasks of JOB are still assigned.  */
static gint64
get_longest_wait_ms (const struct fleet_job *job)
{
  gint64 now_us = clock_now_us ();

  if (may_have_started (job) || job->start_by_us <= now_us)
    return (job->end_by_us - now_us) / USEC_PER_MSEC;
  return (job->start_by_us - now_us) / USEC_PER_MSEC;
}

/* A new part of JOB at OWNER, without tasks.  */
static struct fleet_part *
part_new (struct fleet_job *job, const struct spread_owner *owner)
{
  struct fleet_part *part = g_new0 (struct fleet_part, 1);
  const struct vm *vm = vm_directory_find (job->home->directory, owner->name);

  list_init (&part->link);
  part->sink.tasks_claimed = on_local_claimed;
  part->sink.tasks_returned = on_local_returned;
  part->sink.batch_ended = on_local_ended;
  part->job = fleet_job_ref (job);
  part->number = job->home->n_parts++;
  job->n_parts++;
  part->owner = owner->is_self ? NULL : g_strdup (owner->name);
  part->incarnation = vm != NULL ? vm->incarnation : 0;
  part->is_open = TRUE;
  list_append (&job->parts, &part->link);
  return part;
}

/* Whether JOB can only be late, and nothing of it has begun.  */
static gboolean
is_late (const struct fleet_job *job)
{
  return clock_now_us () > job->start_by_us && !may_have_started (job);
}

/* Subtracts N_TASKS of JOB from the room of OWNER that this home knows.  */
static void
reserve_room (const struct fleet_job *job, const struct spread_owner *owner,
              guint n_tasks, gboolean is_job_late)
{
  const struct fleet_submission *s = job->submission;
  const struct room_tasks tasks = { .n = n_tasks,
                                    .cpus = s->need.cpus,
                                    .priority = s->priority,
                                    .is_late = is_job_late };

  /* Its own is read from the owner.  */
  if (!owner->is_self)
    vm_directory_reserve_room (job->home->directory, owner->name,
                               hash64_string (s->service), &tasks);
}

/* Hands PART to OWNER, to which it belongs.  */
static void
send_part (struct fleet_part *part, const struct spread_owner *owner)
{
  const struct fleet_job *job = part->job;

  if (part->number - job->first_number >= job->n_logged_parts)
    fleet_home_log_batch_sent (part, owner, job->home->directory);
  fleet_part_send (part, on_remote_ended);
}

/* Gives the first tasks of INDEXES to OWNERS, as many to each as its
   n_given.  */
static void
give_tasks (struct fleet_job *job, const GArray *owners, const guint *indexes)
{
  gboolean is_job_late = is_late (job);
  guint offset = 0;

  for (guint i = 0; i < owners->len && !job->is_closed; i++)
    {
      const struct spread_owner *owner
          = &g_array_index (owners, struct spread_owner, i);
      struct fleet_part *part;

      if (owner->n_given == 0)
        continue;
      reserve_room (job, owner, owner->n_given, is_job_late);
      part = part_new (job, owner);
      part->n_tasks = owner->n_given;
      memcpy (part->indexes, indexes + offset,
              owner->n_given * sizeof *indexes);
      send_part (part, owner);
      offset += owner->n_given;
    }
}

/* Offers the wanted tasks of JOB to OWNERS, as OFFER says.  */
static void
offer_tasks (struct fleet_job *job, const GArray *owners,
             const struct spread_offer *offer)
{
  gboolean is_job_late = is_late (job);
  const struct task_set offered = job->wanted;
  guint n_share = (offered.n + offer->n_offers - 1) / offer->n_offers;

  for (guint i = 0; i < owners->len && !job->is_closed; i++)
    {
      const struct spread_owner *owner
          = &g_array_index (owners, struct spread_owner, i);
      struct fleet_part *part;

      if (!owner->is_offered)
        continue;
      reserve_room (job, owner, n_share, is_job_late);
      part = part_new (job, owner);
      part->n_offers = offer->n_offers;
      part->offered = offered;
      send_part (part, owner);
    }
}

/* Logs that JOB was accepted, with its first batches if IS_SENT.  */
static void
log_accepted (struct fleet_job *job, const GArray *owners, gboolean is_sent)
{
  job->n_logged_parts = fleet_home_log_job_accepted (
      job, (const struct spread_owner *)(const void *)owners->data,
      is_sent ? owners->len : 0, job->home->directory);
}

/* Lets JOB wait for slots, if nothing of it was started and they are expected,
   or gives it up.  HAS_OWNER: OWNERS have slots for it, but too few in time.
   The excess of a caller over its share does not wait.  */
static void
wait_or_give_up (struct fleet_job *job, const GArray *owners,
                 gboolean has_owner)
{
  struct fleet_refusal *refusal = &job->refusal;

  if (!may_have_started (job) && refusal->cause != REFUSAL_OVER_SHARE
      && fleet_home_wait (job, has_owner))
    return;
  /* Only now: a job that waits is not refused, and has no time of return.  */
  fleet_admission_plan_retry (job->home->admission, job, owners, refusal);
  if (has_owner)
    give_up_job (job, refusal->reason, refusal->retry_after_ms);
  else
    give_up_job (job, "no upstream is owned by a live VM", MIN_RETRY_MS);
}

/* Assigns N_TASKS of JOB to owners, and those that are wanted already.  If
   there is no owner with slots, or the expected wait is too long, the job
   waits or is given up.  One that can only be late waits, if slots are
   expected, until all of it can start.  */
static void
assign_tasks (struct fleet_job *job, const guint *indexes, guint n_tasks)
{
  const struct fleet_submission *s = job->submission;
  g_autoptr (GArray) owners
      = fleet_home_list_owners (job->home, s->service, s->need.cpus);
  struct spread_tasks tasks = {
    .n = n_tasks + job->wanted.n,
    .run_ms = (guint)(s->estimate_us / USEC_PER_MSEC),
    .priority = s->priority,
    .is_late = is_late (job),
    .is_offer_only = job->n_assignments > 0,
    .max_offers = SPREAD_OFFERS_MAX,
  };
  gint64 longest_ms = get_longest_wait_ms (job);
  struct spread_offer offer;

  fleet_job_ref (job);
  withdraw_offers (job, NULL);
  job->n_assignments++;
  offer = spread_assign (
      (struct spread_owner *)(void *)owners->data, owners->len, &tasks,
      hash64_pair (hash64_string (s->job), job->n_assignments));
  job->refusal = fleet_admission_judge (job->home->admission, job, owners,
                                        &offer, longest_ms);
  if (job->n_assignments == 1 && !job->has_waited)
    log_accepted (job, owners,
                  offer.wait_ms >= 0 && job->refusal.reason == NULL);
  task_set_add (&job->wanted, indexes + (tasks.n - offer.n_tasks),
                n_tasks - (tasks.n - offer.n_tasks));
  if (offer.wait_ms < 0 || job->refusal.reason != NULL)
    wait_or_give_up (job, owners, offer.wait_ms >= 0);
  else if (!tasks.is_late || offer.n_tasks == 0
           || !fleet_home_wait (job, TRUE))
    {
      fleet_home_end_wait (job, "assigned", NULL);
      give_tasks (job, owners, indexes);
      if (offer.n_tasks > 0)
        offer_tasks (job, owners, &offer);
    }
  fleet_job_unref (job);
}

/* A caller that did not receive the answer sends the job again with the same
   ID.  The previous job is answered and stopped first.  */
static void
close_previous_job (struct fleet_home *home, const char *id)
{
  struct fleet_job *previous = g_hash_table_lookup (home->jobs, id);

  if (previous != NULL)
    answer_job (previous, FLEET_UNKNOWN, "the job was sent again", 0);
}

void
fleet_home_assign_all (struct fleet_job *job)
{
  guint indexes[PEER_TASKS_MAX];

  for (guint i = 0; i < job->submission->n_tasks; i++)
    indexes[i] = i;
  job->wanted.n = 0;
  assign_tasks (job, indexes, job->submission->n_tasks);
}

void
fleet_home_refuse (struct fleet_job *job, const char *reason)
{
  struct fleet_home *home = job->home;
  gint64 retry_ms = MIN_RETRY_MS;

  /* Without slots there is no queue to wait for; a VM that is leaving sends
     its callers to the others at once.  */
  if (!home->is_leaving
      && fleet_home_has_slots (home, job->submission->service))
    retry_ms = fleet_home_get_retry_ms (job, MIN_RETRY_MS);
  give_up_job (job, reason, retry_ms);
}

struct fleet_job *
fleet_home_submit (struct fleet_home *home,
                   struct fleet_submission *submission,
                   struct fleet_answer_handler *handler)
{
  struct fleet_job *job = g_new0 (struct fleet_job, 1);
  gboolean is_closed;

  close_previous_job (home, submission->job);
  job->ref_count = 2;
  job->home = home;
  job->submission = submission;
  job->handler = handler;
  job->trail = g_string_new (NULL);
  list_init (&job->parts);
  job->first_number = home->n_parts;
  job->accepted_us = submission->received_us > 0 ? submission->received_us
                                                 : clock_now_us ();
  fleet_job_set_times (job);
  fleet_home_init_waiting (job);
  fleet_admission_note_job (home->admission, job);
  g_hash_table_insert (home->jobs, submission->job, job);
  if (!fleet_home_wait_for_former (job) && !fleet_home_wait_behind (job))
    fleet_home_assign_all (job);
  is_closed = job->is_closed;
  fleet_job_unref (job);
  return is_closed ? NULL : job;
}

void
fleet_home_cancel_job (struct fleet_home *home, struct fleet_job *job)
{
  if (job->is_closed)
    return;
  fleet_home_log_caller_gone (job);
  metrics_count_label (METRIC_FLEET_JOBS, JOB_OUTCOME_CALLER_GONE);
  fleet_home_end_wait (job, "caller-gone", NULL);
  job->handler = NULL;
  close_job (job);
}

static GPtrArray *
list_jobs (struct fleet_home *home)
{
  GPtrArray *jobs
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fleet_job_unref);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, home->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (jobs, fleet_job_ref (value));
  return jobs;
}

void
fleet_home_advance (struct fleet_home *home, gint64 now_us)
{
  g_autoptr (GPtrArray) jobs = list_jobs (home);

  fleet_home_advance_waiting (home, now_us);
  fleet_home_advance_revocations (home, now_us);
  fleet_home_advance_ending (home, now_us);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct fleet_job *job = g_ptr_array_index (jobs, i);

      if (job->is_closed || job->deadline_us > now_us)
        continue;
      if (job->give_up_reason == NULL)
        give_up_job (job, "its caller's timeout has passed", MIN_RETRY_MS);
      else
        answer_job (job, FLEET_UNKNOWN, job->give_up_reason, 0);
    }
}

static gboolean
is_on (const struct fleet_part *part, const char *vm, guint64 incarnation)
{
  return g_strcmp0 (part->owner, vm) == 0 && part->incarnation <= incarnation;
}

/* Whether VM, in INCARNATION or an earlier one, has tasks of JOB that may have
   been started.  */
static gboolean
has_tasks_on (const struct fleet_job *job, const char *vm, guint64 incarnation)
{
  g_autoptr (GPtrArray) parts = list_parts (job, FALSE);

  for (guint i = 0; i < parts->len; i++)
    {
      const struct fleet_part *part = g_ptr_array_index (parts, i);

      if (part->n_tasks > 0 && is_on (part, vm, incarnation))
        return TRUE;
    }
  return FALSE;
}

/* Withdraws the offers of JOB to VM, in INCARNATION or an earlier one, of
   which no task was granted.  */
static void
withdraw_offers_on (struct fleet_job *job, const char *vm, guint64 incarnation)
{
  g_autoptr (GPtrArray) parts = list_parts (job, TRUE);

  for (guint i = 0; i < parts->len; i++)
    if (is_on (g_ptr_array_index (parts, i), vm, incarnation))
      close_offer (g_ptr_array_index (parts, i));
  renew_offers (job);
}

void
fleet_home_handle_vm_lost (struct fleet_home *home, const char *vm,
                           guint64 incarnation)
{
  g_autoptr (GPtrArray) jobs = list_jobs (home);

  fleet_home_note_loss (home, vm);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct fleet_job *job = g_ptr_array_index (jobs, i);

      if (job->is_closed)
        continue;
      if (has_tasks_on (job, vm, incarnation))
        answer_job (job, FLEET_UNKNOWN, "the owner of its upstreams is lost",
                    0);
      else
        withdraw_offers_on (job, vm, incarnation);
    }
}

void
fleet_home_answer_all (struct fleet_home *home, const char *reason)
{
  g_autoptr (GPtrArray) jobs = list_jobs (home);

  for (guint i = 0; i < jobs->len; i++)
    answer_job (g_ptr_array_index (jobs, i), FLEET_UNKNOWN, reason, 0);
}

/* The open part NUMBER of JOB that INCARNATION of HOME sent to the sender of
   REQUEST, or NULL.  */
static struct fleet_part *
find_sent_part (const struct fleet_home *home,
                const struct peer_request *request, const char *job_id,
                guint64 incarnation, guint number)
{
  const struct fleet_job *job = g_hash_table_lookup (home->jobs, job_id);
  struct fleet_part *part;

  if (job == NULL || incarnation != home->incarnation)
    return NULL;
  part = fleet_job_find_part (job, number);
  if (part == NULL
      || g_strcmp0 (part->owner, peer_request_get_sender (request)) != 0)
    return NULL;
  return part;
}

static void
on_return_tasks (struct peer_request *request, const void *arguments,
                 gpointer data)
{
  struct fleet_home *home = data;
  const peer_return_args *args = arguments;
  struct fleet_part *part = find_sent_part (home, request, args->job,
                                            args->incarnation, args->number);
  peer_return_result result
      = { .is_known = part != NULL && fleet_job_is_awaited (part->job) };

  vm_directory_note_message (
      home->directory, peer_request_get_sender (request), clock_now_us ());
  if (part != NULL)
    handle_returned (part, args);
  peer_request_reply (request, &result);
}

static void
on_claim_tasks (struct peer_request *request, const void *arguments,
                gpointer data)
{
  struct fleet_home *home = data;
  const peer_claim_args *args = arguments;
  struct fleet_part *part = find_sent_part (home, request, args->job,
                                            args->incarnation, args->number);
  guint granted[PEER_TASKS_MAX];
  peer_claim_result result = { .granted = { 0, granted },
                               .is_exhausted = TRUE,
                               .spec = (char *)"" };

  vm_directory_note_message (
      home->directory, peer_request_get_sender (request), clock_now_us ());
  if (part != NULL && fleet_job_is_awaited (part->job))
    {
      result.granted.granted_len = grant_tasks (part, args->n_tasks, granted);
      result.is_exhausted
          = end_offer_if_exhausted (part, result.granted.granted_len);
      if (result.granted.granted_len > 0)
        result.spec = part->job->submission->spec;
    }
  peer_request_reply (request, &result);
}
