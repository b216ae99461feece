#include "coordination/owner_private.h"

#include <math.h>
#include <string.h>

/* Weights of the latest run in the smoothed slowness and failure share.  */
#define SLOWNESS_WEIGHT 0.15
#define FAILURE_WEIGHT 0.2

/* A failure share above this starts a rest.  */
#define REST_FAILURE_SHARE 0.3

/* Length of the first rest, which doubles with each further rest, and its
   limit.  */
#define FIRST_REST_US (1 * USEC_PER_SEC)
#define MAX_REST_US (8 * USEC_PER_SEC)

/* The slowness of one run counts as at most this, and as at least its
   inverse.  */
#define MAX_SLOWNESS 20.0

/* Added to times that are computed from the clock of an upstream.  */
#define CLOCK_MARGIN_US (30 * USEC_PER_MSEC)

/* An order without an answer may be carried out up to this much later.  */
#define MAX_ORDER_DELAY_US (15 * USEC_PER_SEC)

#define PPM 1000000

struct owned_upstream *
owned_new (const struct listed_upstream *spec, guint64 token)
{
  struct owned_upstream *upstream = g_new0 (struct owned_upstream, 1);

  upstream->ref_count = 1;
  upstream->id = g_strdup (spec->id);
  upstream->token = token;
  upstream->slowness = 1.0;
  upstream->start_check_us = DEADLINE_NEVER;
  upstream->reported_slowness = 1.0;
  upstream->labels = g_ptr_array_new_with_free_func (g_free);
  list_init (&upstream->runs);
  list_init (&upstream->holds);
  owned_update (upstream, spec);
  return upstream;
}

static void
replace_string (char **field, const char *value)
{
  if (g_strcmp0 (*field, value) == 0)
    return;
  g_free (*field);
  *field = g_strdup (value != NULL ? value : "");
}

void
owned_update (struct owned_upstream *upstream,
              const struct listed_upstream *spec)
{
  replace_string (&upstream->address, spec->address);
  replace_string (&upstream->service, spec->service);
  replace_string (&upstream->availability_zone, spec->availability_zone);
  replace_string (&upstream->rack, spec->rack);
  g_ptr_array_set_size (upstream->labels, 0);
  for (guint i = 0; spec->labels != NULL && spec->labels[i] != NULL; i++)
    g_ptr_array_add (upstream->labels, g_strdup (spec->labels[i]));
  upstream->shape = spec->shape;
  upstream->listed_instance_start_ms = spec->instance_start_ms;
  upstream->is_leaving = spec->is_leaving;
  upstream->warm_at_us = spec->warm_at_us;
}

struct owned_upstream *
owned_ref (struct owned_upstream *upstream)
{
  upstream->ref_count++;
  return upstream;
}

void
owned_unref (struct owned_upstream *upstream)
{
  if (--upstream->ref_count > 0)
    return;
  g_free (upstream->id);
  g_free (upstream->address);
  g_free (upstream->service);
  g_free (upstream->availability_zone);
  g_free (upstream->rack);
  g_ptr_array_unref (upstream->labels);
  g_free (upstream);
}

gint64
owned_estimate_clock_ms (const struct owned_upstream *upstream, gint64 now_us)
{
  return upstream->clock_ms
         + (now_us - upstream->clock_read_us) / USEC_PER_MSEC;
}

/* The latest time at which an order that was sent by NOW_US to UPSTREAM is
   carried out.  None is sent while its polls are not answered.  */
static gint64
latest_order_us (const struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->unanswered_since_us == 0)
    return now_us;
  return upstream->unanswered_since_us + MAX_ORDER_DELAY_US;
}

gint64
owned_latest_time_us (const struct owner *owner,
                      const struct owned_upstream *upstream, gint64 until_ms,
                      gint64 now_us)
{
  gint64 ahead_us = (until_ms - upstream->clock_ms) * USEC_PER_MSEC;

  if (upstream->clock_read_us == 0)
    return latest_order_us (upstream, now_us)
           + owner->limits.max_lease_ms * 2 * USEC_PER_MSEC;
  ahead_us += ahead_us * owner->limits.clock_drift_ppm / PPM;
  return upstream->clock_read_us + ahead_us + CLOCK_MARGIN_US;
}

gint64
owned_latest_lease_end_ms (const struct owner *owner,
                           const struct owned_upstream *upstream,
                           gint64 until_us)
{
  gint64 ahead_us = until_us - CLOCK_MARGIN_US - upstream->clock_read_us;

  if (ahead_us > 0)
    ahead_us -= ahead_us * owner->limits.clock_drift_ppm / PPM;
  return upstream->clock_ms + ahead_us / USEC_PER_MSEC;
}

void
owned_set_clock (struct owned_upstream *upstream, gint64 clock_ms,
                 gint64 now_us)
{
  if (clock_ms == 0)
    return;
  upstream->clock_ms = clock_ms;
  upstream->clock_read_us = now_us;
}

void
owned_clear_unanswered (struct owned_upstream *upstream)
{
  upstream->unanswered_since_us = 0;
  upstream->n_unanswered_polls = 0;
}

void
owned_mark_stale (struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->state == OWNED_HELD)
    upstream->state = OWNED_UNCONFIRMED;
  upstream->last_stale_poll = upstream->n_polls;
  upstream->poll_due_us = MIN (upstream->poll_due_us, now_us);
}

gboolean
owned_is_stale (const struct owned_upstream *upstream)
{
  return upstream->last_stale_poll != 0
         && upstream->last_answered_poll <= upstream->last_stale_poll;
}

/* A new instance may have another shape, which is not known before the
   platform lists it.  */
static gboolean
is_shape_known (const struct owned_upstream *upstream)
{
  return upstream->listed_instance_start_ms == 0
         || upstream->instance_start_ms == 0
         || upstream->listed_instance_start_ms == upstream->instance_start_ms;
}

gboolean
owned_is_warming_up (const struct owned_upstream *upstream, gint64 now_us)
{
  return upstream->warm_at_us > now_us;
}

gboolean
owned_is_usable (const struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->state != OWNED_HELD || upstream->is_leaving
      || upstream->is_removed || upstream->is_releasing)
    return FALSE;
  return is_shape_known (upstream) && upstream->n_foreign == 0
         && upstream->rest_until_us <= now_us;
}

gboolean
owned_is_large_enough (const struct owned_upstream *upstream,
                       const struct shape *need)
{
  const struct shape *shape = &upstream->shape;

  return need->cpus <= shape->cpus + CPU_EPSILON
         && need->memory_mb <= shape->memory_mb
         && need->accelerators <= shape->accelerators;
}

gdouble
owned_get_free_cpus (const struct owned_upstream *upstream)
{
  const struct shape *used = &upstream->used;
  const struct shape *shape = &upstream->shape;

  if (upstream->is_isolated || used->memory_mb > shape->memory_mb
      || used->accelerators > shape->accelerators)
    return 0;
  return MAX (shape->cpus - used->cpus, 0);
}

gboolean
owned_can_start (const struct owned_upstream *upstream,
                 const struct shape *need, gint64 now_us)
{
  const struct shape *used = &upstream->used;
  const struct shape *shape = &upstream->shape;

  if (!owned_is_usable (upstream, now_us) || upstream->is_isolated)
    return FALSE;
  if ((upstream->is_on_probation || owned_is_warming_up (upstream, now_us))
      && (!list_is_empty (&upstream->runs)
          || !list_is_empty (&upstream->holds)))
    return FALSE;
  return used->cpus + need->cpus <= shape->cpus + CPU_EPSILON
         && used->memory_mb + need->memory_mb <= shape->memory_mb
         && used->accelerators + need->accelerators <= shape->accelerators;
}

static void
end_probation (struct owned_upstream *upstream)
{
  upstream->is_on_probation = FALSE;
  upstream->n_rests = 0;
  upstream->failure_share = 0;
}

void
owned_record_speed (struct owned_upstream *upstream, gdouble slowness)
{
  gdouble bounded = CLAMP (slowness, 1 / MAX_SLOWNESS, MAX_SLOWNESS);

  upstream->slowness += SLOWNESS_WEIGHT * (bounded - upstream->slowness);
  owned_record_success (upstream);
}

void
owned_record_success (struct owned_upstream *upstream)
{
  upstream->failure_share *= 1 - FAILURE_WEIGHT;
  if (upstream->is_on_probation)
    end_probation (upstream);
}

void
owned_add_run_speed (struct run *run, gint64 took_us)
{
  struct owned_upstream *upstream = run->upstream;
  struct run_work *work = &run->task->batch->work;
  struct run_speed former = upstream->speed;

  if (run->is_speed_counted)
    return;
  run->is_speed_counted = TRUE;
  run_speed_add (&upstream->speed, work, took_us, run->declared_us);
  run_work_add (work, &former, took_us, run->declared_us);
  upstream->slowness = run_speed_get_slowness (&upstream->speed);
}

void
owned_reset_speed (struct owned_upstream *upstream)
{
  upstream->speed = (struct run_speed){ 0 };
  upstream->slowness = 1;
  upstream->reported_slowness = 1;
  upstream->succeeded_us = 0;
}

void
owned_start_rest (struct owned_upstream *upstream, gint64 now_us)
{
  gint64 rest_us
      = MIN (FIRST_REST_US << MIN (upstream->n_rests, 4u), MAX_REST_US);

  if (upstream->rest_until_us > now_us)
    return;
  upstream->n_rests++;
  upstream->is_on_probation = TRUE;
  upstream->rest_until_us = now_us + rest_us;
}

void
owned_record_failure (struct owned_upstream *upstream, gint64 now_us)
{
  upstream->succeeded_us = 0;
  upstream->failure_share += FAILURE_WEIGHT * (1 - upstream->failure_share);
  if (upstream->failure_share > REST_FAILURE_SHARE
      || upstream->is_on_probation)
    owned_start_rest (upstream, now_us);
}

struct run *
owned_find_run (const struct owned_upstream *upstream, const char *name,
                guint number)
{
  const struct list_node *node;

  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    {
      struct run *run = list_entry (node, struct run, link);

      if (run->number == number && g_str_equal (run->name, name))
        return run;
    }
  return NULL;
}

/* Computes the resources in use anew from all runs and holds: adding and
   subtracting would pile up rounding errors.  */
static void
recompute_usage (struct owned_upstream *upstream)
{
  const struct list_node *node;

  memset (&upstream->used, 0, sizeof upstream->used);
  upstream->n_foreign = 0;
  upstream->n_runs = 0;
  upstream->is_isolated = FALSE;
  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    {
      const struct run *run = list_entry (node, struct run, link);

      upstream->used.cpus += run->need.cpus;
      upstream->used.memory_mb += run->need.memory_mb;
      upstream->used.accelerators += run->need.accelerators;
      upstream->n_foreign += run->is_foreign ? 1 : 0;
      upstream->is_isolated |= run->is_isolated;
      upstream->n_runs++;
    }
  for (node = upstream->holds.next; node != &upstream->holds;
       node = node->next)
    {
      const struct slot_hold *hold = list_entry (node, struct slot_hold, link);

      upstream->used.cpus += hold->need.cpus;
      upstream->used.memory_mb += hold->need.memory_mb;
      upstream->used.accelerators += hold->need.accelerators;
    }
}

void
slot_hold_new (struct owned_upstream *upstream, struct batch *batch)
{
  struct slot_hold *hold = g_new0 (struct slot_hold, 1);

  hold->upstream = owned_ref (upstream);
  hold->batch = batch;
  hold->need = batch->need;
  list_append (&upstream->holds, &hold->link);
  list_append (&batch->holds, &hold->batch_link);
  recompute_usage (upstream);
}

void
slot_hold_free (struct slot_hold *hold)
{
  struct owned_upstream *upstream = hold->upstream;

  list_remove (&hold->link);
  list_remove (&hold->batch_link);
  g_free (hold);
  recompute_usage (upstream);
  owned_unref (upstream);
}

struct run *
run_new (struct owned_upstream *upstream, struct batch_task *task,
         const char *name, guint number)
{
  struct run *run = g_new0 (struct run, 1);

  run->upstream = upstream;
  run->task = task;
  run->name = g_strdup (name);
  run->number = number;
  run->is_foreign = task == NULL;
  if (task != NULL)
    {
      run->need = task->batch->need;
      run->is_isolated = batch_task_is_suspect (task);
    }
  list_append (&upstream->runs, &run->link);
  recompute_usage (upstream);
  return run;
}

void
run_free (struct run *run)
{
  list_remove (&run->link);
  recompute_usage (run->upstream);
  g_free (run->name);
  g_free (run);
}
