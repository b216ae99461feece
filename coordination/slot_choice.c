#include "coordination/slot_choice.h"

#include "base/clock.h"

#include <math.h>

/* Upstreams whose slowness differs by less than this factor (in the logarithm)
   count as equally fast.  Estimates of equal ones differ by a few percent.  */
#define SPEED_STEP 0.2

/* The tasks on slow upstreams decide when their job ends, and the longest of a
   job is this much longer than its average.  Without the margin, 0.03 to 0.05
   less is served at twice the mean load.  */
#define JOB_MARGIN 0.2

/* When less than this share of the CPUs of the owned upstreams is free, tasks
   with time to spare leave fast upstreams to others.  */
#define SCARCE_SHARE 0.2

/* An upstream whose last run was a success no longer ago than this works.  An
   idle fleet starts few runs on each upstream, so it is not shorter.  */
#define RECENT_SUCCESS_US (5 * USEC_PER_SEC)

/* Costs, the one that counts most first.  Least counts the number of CPUs that
   stay free.  */
#define COST_FAILED_TASK 8e9
#define COST_PROBATION 4e9
#define COST_UNPROVEN 2e9
#define COST_LATE 1e9
#define COST_STEP 1e6 /* of speed */

void
slot_choice_init (struct slot_choice *choice, const struct slot_task *task)
{
  *choice = (struct slot_choice){ .task = *task };
}

/* Whether TASK ends within its objective on an upstream of SLOWNESS.  */
static gboolean
is_in_time (const struct slot_task *task, gdouble slowness)
{
  gdouble factor = slowness - 1;

  if (slowness > SLOT_SLOW)
    factor += JOB_MARGIN;
  return task->now_us + (gint64)(factor * (gdouble)task->run_us)
         <= task->start_by_us;
}

/* Whether CANDIDATE is good enough for a task that has failed.  */
static gboolean
is_proven (const struct slot_task *task,
           const struct slot_candidate *candidate)
{
  if (candidate->is_on_probation || candidate->has_failed_task
      || candidate->succeeded_us == 0)
    return FALSE;
  return task->now_us - candidate->succeeded_us <= RECENT_SUCCESS_US;
}

/* What CANDIDATE costs but for its speed and size.  */
static gdouble
get_base_cost (const struct slot_best *state,
               const struct slot_candidate *candidate)
{
  gdouble cost = 0;

  if (candidate->has_failed_task)
    cost += COST_FAILED_TASK;
  if (candidate->is_on_probation)
    cost += COST_PROBATION;
  if (!state->is_proven)
    cost += COST_UNPROVEN;
  if (state->is_late)
    cost += COST_LATE;
  return cost;
}

static void
keep_better (struct slot_best *best, const struct slot_best *other)
{
  if (best->upstream == NULL || other->cost < best->cost)
    *best = *other;
}

void
slot_choice_add (struct slot_choice *choice,
                 const struct slot_candidate *candidate)
{
  const struct slot_task *task = &choice->task;
  gdouble step = round (log (candidate->slowness) / SPEED_STEP) * COST_STEP;
  struct slot_best state = {
    .upstream = candidate->upstream,
    .is_late = !is_in_time (task, candidate->slowness),
    .is_proven = !(task->has_failed || task->is_last_attempt)
                 || is_proven (task, candidate),
    .is_on_probation = candidate->is_on_probation,
  };
  gdouble cost = get_base_cost (&state, candidate) + candidate->free_cpus;

  choice->has_proven |= state.is_proven;
  choice->cpus += candidate->cpus;
  choice->free_cpus += candidate->free_cpus;
  choice->has_faster |= !state.is_late && !candidate->is_on_probation;
  if (!candidate->has_room)
    return;
  state.cost = cost + step;
  keep_better (&choice->fastest, &state);
  state.cost = cost - step;
  keep_better (&choice->slowest, &state);
}

/* Whether the task, if it has failed, waits for a better upstream than
   BEST.  */
static gboolean
has_to_avoid (const struct slot_choice *choice, const struct slot_best *best)
{
  const struct slot_task *task = &choice->task;

  if (!task->has_failed || best->is_proven)
    return FALSE;
  if (choice->has_proven)
    return task->now_us < task->end_by_us;
  if (best->is_on_probation)
    return task->now_us < task->start_by_us + task->run_us;
  return task->now_us < task->start_by_us;
}

enum slot_wait
slot_choice_get (const struct slot_choice *choice, gpointer *upstream)
{
  const struct slot_task *task = &choice->task;
  gboolean is_scarce = choice->free_cpus < SCARCE_SHARE * choice->cpus;
  const struct slot_best *best = is_scarce && !choice->slowest.is_late
                                     ? &choice->slowest
                                     : &choice->fastest;

  *upstream = NULL;
  if (best->upstream == NULL)
    return SLOT_NONE_FREE;
  if (has_to_avoid (choice, best))
    return SLOT_WAIT_PROVEN;
  if (best->is_late && choice->has_faster && task->may_wait
      && task->now_us < task->start_by_us)
    return SLOT_WAIT_FASTER;
  *upstream = best->upstream;
  return SLOT_FOUND;
}
