#include "transport/fleet_admission.h"

#include "base/hash64.h"
#include "base/metrics.h"
#include "coordination/queue_sum.h"
#include "coordination/retry_spread.h"
#include "transport/fleet_job.h"

/* How often the reports of other VMs are taken over.  They change with each
   beacon, every 50 to 150 ms.  */
#define UPDATE_INTERVAL_US (200 * USEC_PER_MSEC)

struct fleet_admission
{
  gboolean shares_by_caller;
  gboolean spreads_retries;
  const struct vm_directory *directory;
  struct fleet_owner *owner;
  struct caller_share *share;
  struct retry_spread *retries;
  struct route_counts *routes;
  gint64 next_update_us;
};

struct fleet_admission *
fleet_admission_new (const struct fleet_settings *settings,
                     const struct vm_directory *directory,
                     struct fleet_owner *owner)
{
  struct fleet_admission *a = g_new0 (struct fleet_admission, 1);

  a->shares_by_caller = settings->share_by_caller;
  a->spreads_retries = settings->spread_retries;
  a->directory = directory;
  a->owner = owner;
  a->share = caller_share_new ();
  a->retries = retry_spread_new ();
  a->routes = route_counts_new ();
  return a;
}

void
fleet_admission_free (struct fleet_admission *a)
{
  caller_share_free (a->share);
  retry_spread_free (a->retries);
  route_counts_free (a->routes);
  g_free (a);
}

/* The live VMs, this one included.  */
static guint
count_homes (const struct fleet_admission *a)
{
  const GPtrArray *vms = vm_directory_list (a->directory);
  guint n = 1;

  for (guint i = 0; i < vms->len; i++)
    n += ((const struct vm *)g_ptr_array_index (vms, i))->is_live ? 1 : 0;
  return n;
}

/* The identity of the caller of JOB; 0 if it is not known.  */
static guint64
get_caller (const struct fleet_job *job)
{
  return job->submission->caller != NULL
             ? hash64_string (job->submission->caller)
             : 0;
}

void
fleet_admission_note_job (struct fleet_admission *a,
                          const struct fleet_job *job)
{
  const struct fleet_submission *s = job->submission;
  gdouble work_us
      = s->n_tasks * s->need.cpus * (gdouble)MAX (s->estimate_us, 0);
  gboolean is_retry
      = a->spreads_retries
        && retry_spread_note_arrival (a->retries, hash64_string (s->job),
                                      count_homes (a), job->accepted_us);

  if (a->shares_by_caller && get_caller (job) != 0 && !is_retry)
    caller_share_count (a->share, get_caller (job), work_us, job->accepted_us);
}

static struct queue_sum
sum_queues (const GArray *owners)
{
  struct queue_sum sum = { 0 };

  for (guint i = 0; i < owners->len; i++)
    queue_sum_add (&sum, &g_array_index (owners, struct spread_owner, i).room);
  return sum;
}

/* Retry-After of JOB when the queue ahead of it needs DRAIN_MS.  */
static gint64
get_retry_ms (struct fleet_admission *a, const struct fleet_job *job,
              const struct queue_sum *queue, gint64 drain_ms)
{
  gint64 now_us = clock_now_us ();
  struct retry_request request = {
    .job = hash64_string (job->submission->job),
    .n_tasks = job->submission->n_tasks,
    .drain_ms = drain_ms,
    .starts_per_s = queue->starts_per_s,
    .n_homes = count_homes (a),
    .seed = (guint64)now_us,
  };

  /* A job of which something may run is not answered with Retry-After.  */
  if (!a->spreads_retries || job->has_started || job->done.n > 0
      || !list_is_empty (&job->parts))
    return drain_ms;
  return retry_spread_refuse (a->retries, &request, now_us);
}

/* Whether JOB, which would be queued with QUEUE, belongs to the excess of its
   caller.  */
static gboolean
is_excess (const struct fleet_admission *a, const struct fleet_job *job,
           const struct queue_sum *queue, struct caller_standing *standing)
{
  gint64 now_us = clock_now_us ();

  /* Tasks that come back from owners were admitted before.  */
  if (!a->shares_by_caller || job->n_assignments > 1 || get_caller (job) == 0
      || !queue_sum_has_queue (queue)
      || !caller_share_may_exceed (a->share, get_caller (job),
                                   queue->capacity_milli, now_us))
    return FALSE;
  *standing = caller_share_get (a->share, get_caller (job),
                                queue->capacity_milli, now_us);
  return caller_standing_is_excess (
      standing,
      hash64_pair (hash64_string (job->submission->job), (guint64)now_us));
}

struct fleet_refusal
fleet_admission_judge (struct fleet_admission *a, const struct fleet_job *job,
                       const GArray *owners, const struct spread_offer *offer,
                       gint64 longest_ms)
{
  const struct queue_sum queue = sum_queues (owners);
  /* The cause if the job is admitted, and then finds no slot in time.  */
  struct fleet_refusal refusal = { .cause = REFUSAL_WAIT_TOO_LONG };
  gint64 drain_ms = offer->wait_ms;

  if (offer->wait_ms < 0)
    {
      refusal.cause = REFUSAL_NO_OWNER;
      return refusal;
    }
  if (offer->wait_ms > longest_ms)
    refusal.reason = "the queues are longer than its time";
  else if (is_excess (a, job, &queue, &refusal.standing))
    {
      refusal.cause = REFUSAL_OVER_SHARE;
      refusal.reason = "its caller is over its share";
      drain_ms = MAX (queue_sum_get_drain_ms (&queue),
                      caller_standing_get_excess_ms (&refusal.standing));
    }
  refusal.retry_after_ms = drain_ms;
  return refusal;
}

void
fleet_admission_plan_retry (struct fleet_admission *a,
                            const struct fleet_job *job, const GArray *owners,
                            struct fleet_refusal *refusal)
{
  const struct queue_sum queue = sum_queues (owners);

  if (refusal->reason != NULL)
    refusal->retry_after_ms
        = get_retry_ms (a, job, &queue, refusal->retry_after_ms);
}

gint64
fleet_admission_get_retry_ms (struct fleet_admission *a,
                              const struct fleet_job *job,
                              const GArray *owners, gint64 fallback_ms)
{
  const struct queue_sum queue = sum_queues (owners);

  if (!a->spreads_retries)
    return fallback_ms;
  return get_retry_ms (a, job, &queue, queue_sum_get_drain_ms (&queue));
}

void
fleet_admission_note_answer (struct fleet_admission *a,
                             const struct fleet_job *job,
                             const struct fleet_answer *answer, gint64 took_us)
{
  const struct fleet_submission *s = job->submission;
  struct route_count *route
      = route_counts_get (a->routes, s->route != NULL ? s->route : "");

  if (answer->outcome == FLEET_NOT_RUN)
    {
      route->n_refused[job->refusal.cause]++;
      metrics_count_label (METRIC_FLEET_REFUSALS, job->refusal.cause);
    }
  if (answer->outcome == FLEET_DONE && took_us > s->objective_us)
    route->n_late++;
}

/* The queue of the tasks for all services at all owners.  */
static struct queue_sum
sum_all_queues (const struct fleet_admission *a, gint64 now_us)
{
  const GPtrArray *vms = vm_directory_list (a->directory);
  struct queue_sum sum = { 0 };
  struct owner_room own;
  struct vm_room room;

  owner_get_room (fleet_owner_get_owner (a->owner), NULL, &own, now_us);
  vm_room_init (&room, "", &own);
  queue_sum_add (&sum, &room);
  for (guint i = 0; i < vms->len; i++)
    {
      const struct vm *vm = g_ptr_array_index (vms, i);

      for (guint k = 0; k < vm->n_rooms; k++)
        queue_sum_add (&sum, &vm->rooms[k]);
    }
  return sum;
}

void
fleet_admission_advance (struct fleet_admission *a, gint64 now_us)
{
  const GPtrArray *vms = vm_directory_list (a->directory);
  g_autoptr (GPtrArray) lists = NULL;
  struct queue_sum queue;

  if (!a->shares_by_caller || now_us < a->next_update_us)
    return;
  a->next_update_us = now_us + UPDATE_INTERVAL_US;
  lists = g_ptr_array_sized_new (vms->len);
  for (guint i = 0; i < vms->len; i++)
    {
      struct vm *vm = g_ptr_array_index (vms, i);

      if (vm->is_live)
        g_ptr_array_add (lists, &vm->callers);
    }
  queue = sum_all_queues (a, now_us);
  caller_share_update (
      a->share, (const struct caller_list *const *)(gpointer)lists->pdata,
      lists->len, queue_sum_has_queue (&queue), now_us);
}

void
fleet_admission_list_callers (const struct fleet_admission *a,
                              struct caller_list *list)
{
  list->n = 0;
  if (a->shares_by_caller)
    caller_share_list_largest (a->share, list, clock_now_us ());
}

const struct route_counts *
fleet_admission_count_routes (struct fleet_admission *a, GHashTable *jobs)
{
  GHashTableIter iter;
  gpointer value;

  route_counts_reset_waiting (a->routes);
  g_hash_table_iter_init (&iter, jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_job *job = value;
      const char *name = job->submission->route;

      if (job->wanted.n > 0)
        route_counts_get (a->routes, name != NULL ? name : "")->n_waiting++;
    }
  return a->routes;
}
