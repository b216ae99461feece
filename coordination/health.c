#include "coordination/health.h"

#include "base/clock.h"
#include "base/event_log.h"

/* The concurrency window of a new upstream.  */
#define INITIAL_WINDOW 3

/* Starts that an upstream gets until a task succeeds there.  */
#define MAX_STARTS_WITHOUT_SUCCESS 5

/* Consecutive successes after which one past probation is forgotten.  */
#define SUCCESSES_PER_PROBATION 64

/* The successes needed to double the window double with each past probation,
   up to this many times.  */
#define MAX_GROWTH_DOUBLINGS 5

/* The largest window; a capacity of this size is no limit.  */
#define MAX_WINDOW 1024

/* The capacity grows by one after this many successes per task of it.  */
#define SUCCESSES_PER_SLOT 4

/* Consecutive failures that lead to probation, and consecutive refusals after
   which an upstream to which a request cannot be sent is unreachable.  */
#define MAX_CONSECUTIVE_FAILURES 3

/* Lengths of the moving averages, in samples.  */
#define UPSTREAM_SAMPLES 16
#define POOL_SAMPLES 128

/* An upstream is put on probation when its failure rate exceeds both this and
   a multiple of the pool's rate.  */
#define MAX_FAILURE_RATE 0.25
#define MAX_TIMES_POOL_RATE 3.0

/* The slowdown that leads to probation.  */
#define MAX_SLOWDOWN 4.0

/* Results needed before the averages may lead to probation.  */
#define MIN_SAMPLES 8

/* The highest slowdown assumed for an upstream that returns from probation. */
#define RETURN_SLOWDOWN 2.0

/* The largest value that one sample adds to the average slowdown.  */
#define MAX_SAMPLE_RATIO 8.0

/* Rests by exponential backoff: the first rest, and how many times it doubles
   at most.  */
#define REFUSED_REST_US (5 * USEC_PER_MSEC)
#define REFUSED_MAX_DOUBLINGS 6
#define UNREACHABLE_REST_US (50 * USEC_PER_MSEC)
#define UNREACHABLE_MAX_DOUBLINGS 6
#define PROBATION_REST_US USEC_PER_SEC
#define PROBATION_MAX_DOUBLINGS 5

struct upstream_health *
health_new (void)
{
  struct upstream_health *health = g_new0 (struct upstream_health, 1);

  health->window = INITIAL_WINDOW;
  health->capacity = MAX_WINDOW;
  health->slowdown = 1;
  return health;
}

gboolean
health_may_start (const struct upstream *upstream, gint64 now_us)
{
  const struct upstream_health *health = upstream->health;

  if (health->is_silent || health->rest_until_us > now_us
      || health->n_starts_without_success >= MAX_STARTS_WITHOUT_SUCCESS)
    return FALSE;
  return upstream->n_running < MIN (health->window, health->capacity);
}

guint
health_get_speed_class (const struct upstream *upstream)
{
  gdouble slowdown = upstream->health->slowdown;

  if (slowdown < 1.7)
    return 0;
  if (slowdown < 2.4)
    return 1;
  return slowdown < MAX_SLOWDOWN ? 2 : HEALTH_N_SPEEDS - 1;
}

/* Lets the upstream rest for FIRST_US, doubled N_BEFORE times but at most
   MAX_DOUBLINGS times.  Does not shorten a rest that lasts longer.  */
static void
set_rest (struct upstream_health *health, gint64 first_us, guint n_before,
          guint max_doublings, gint64 now_us)
{
  gint64 until_us = now_us + (first_us << MIN (n_before, max_doublings));

  health->rest_until_us = MAX (health->rest_until_us, until_us);
}

static void
rest_on_probation (struct upstream_health *health, gint64 now_us)
{
  health->window = 1;
  set_rest (health, PROBATION_REST_US, health->n_probations,
            PROBATION_MAX_DOUBLINGS, now_us);
  health->n_probations++;
}

/* Puts UPSTREAM on probation and returns TRUE, unless more than half of the
   pool would then be on probation.  */
static gboolean
start_probation (struct upstream *upstream, struct pool_health *pool,
                 const char *reason, gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  if (2 * (pool->n_on_probation + 1) > pool->n_upstreams)
    {
      health->window = MAX (health->window, 1);
      return FALSE;
    }
  health->state = HEALTH_PROBATION;
  pool->n_on_probation++;
  rest_on_probation (health, now_us);
  event_log (EVENT_UPSTREAM_PROBATION, "upstream '%s' at %s: %s",
             upstream->name, upstream->address, reason);
  return TRUE;
}

static void
end_probation (struct upstream *upstream, struct pool_health *pool)
{
  struct upstream_health *health = upstream->health;

  health->state = HEALTH_NORMAL;
  health->slowdown = MIN (health->slowdown, RETURN_SLOWDOWN);
  health->failure_rate = 0;
  health->n_samples = 0;
  pool->n_on_probation--;
  event_log (EVENT_UPSTREAM_RETURNED, "upstream '%s' at %s", upstream->name,
             upstream->address);
}

static void
update_slowdown (struct upstream *upstream, struct pool_health *pool,
                 gdouble ratio, gint64 now_us)
{
  struct upstream_health *health = upstream->health;
  gdouble sample;

  /* Dividing by the pool's average cancels errors that the estimates of all
     upstreams share.  */
  pool->slowdown
      += (ratio - pool->slowdown) / (pool->slowdown > 0 ? POOL_SAMPLES : 1);
  sample = CLAMP (ratio / pool->slowdown, 0, MAX_SAMPLE_RATIO);
  health->slowdown += (sample - health->slowdown) / UPSTREAM_SAMPLES;
  if (health->state == HEALTH_NORMAL && health->n_samples >= MIN_SAMPLES
      && health->slowdown >= MAX_SLOWDOWN)
    start_probation (upstream, pool, "far slower than the others", now_us);
}

/* Adds a result to the failure rate: FAILED is 1 for a failure, 0 for a
   success.  */
static void
add_result (struct upstream_health *health, gdouble failed)
{
  if (health->n_samples < UPSTREAM_SAMPLES)
    health->n_samples++;
  health->failure_rate += (failed - health->failure_rate) / health->n_samples;
}

static void
add_pool_result (struct pool_health *pool, gdouble failed)
{
  pool->failure_rate += (failed - pool->failure_rate) / POOL_SAMPLES;
}

/* Counts a success and doubles the window when enough have come.  An upstream
   needs more of them the more often it was on probation.  */
static void
grow_window (struct upstream_health *health)
{
  guint n_needed = 1u << MIN (health->n_probations, MAX_GROWTH_DOUBLINGS);

  health->n_consecutive_successes++;
  if (health->n_consecutive_successes % n_needed == 0)
    health->window = MIN (health->window * 2, MAX_WINDOW);
  if (health->n_consecutive_successes % SUCCESSES_PER_PROBATION == 0
      && health->n_probations > 0)
    health->n_probations--;
}

/* Counts a success and raises the learned capacity when enough have come.  */
static void
grow_capacity (struct upstream_health *health)
{
  if (health->capacity >= MAX_WINDOW
      || ++health->n_capacity_successes
             < SUCCESSES_PER_SLOT * health->capacity)
    return;
  health->n_capacity_successes = 0;
  health->capacity++;
}

void
health_note_start (struct upstream *upstream)
{
  upstream->health->n_starts_without_success++;
}

gboolean
health_note_idle (struct upstream *upstream, struct pool_health *pool,
                  gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  health_note_renewal_answered (upstream);
  if (health->n_starts_without_success < MAX_STARTS_WITHOUT_SUCCESS)
    return FALSE;
  /* Allow one start, as on probation; no running task can succeed any more to
     reset the count.  */
  health->n_starts_without_success = MAX_STARTS_WITHOUT_SUCCESS - 1;
  if (health->n_consecutive_failures == 0 || health->state == HEALTH_PROBATION)
    return FALSE;
  return start_probation (upstream, pool,
                          "none of its latest tasks has succeeded", now_us);
}

void
health_note_done (struct upstream *upstream, struct pool_health *pool,
                  gint64 started_us, gdouble ratio, gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  add_result (health, 0);
  add_pool_result (pool, 0);
  if (started_us <= health->last_failure_us)
    return;

  health->n_consecutive_failures = 0;
  health->n_consecutive_refusals = 0;
  health->n_starts_without_success = 0;
  if (health->state == HEALTH_PROBATION && ratio >= MAX_SLOWDOWN)
    {
      rest_on_probation (health, now_us);
      return;
    }
  if (health->state == HEALTH_PROBATION)
    end_probation (upstream, pool);
  grow_window (health);
  grow_capacity (health);
  update_slowdown (upstream, pool, ratio, now_us);
}

static gboolean
is_failing (const struct upstream_health *health,
            const struct pool_health *pool)
{
  if (health->n_consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
    return TRUE;
  return health->n_samples >= MIN_SAMPLES
         && health->failure_rate > MAX_FAILURE_RATE
         && health->failure_rate > pool->failure_rate * MAX_TIMES_POOL_RATE;
}

gboolean
health_note_failure (struct upstream *upstream, struct pool_health *pool,
                     gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  health->last_failure_us = now_us;
  health->n_consecutive_failures++;
  health->n_consecutive_successes = 0;
  add_result (health, 1);
  add_pool_result (pool, 1);
  if (health->state == HEALTH_PROBATION)
    {
      if (health->rest_until_us <= now_us)
        rest_on_probation (health, now_us);
      return FALSE;
    }
  health->window = 1;
  if (!is_failing (health, pool))
    return FALSE;
  return start_probation (upstream, pool, "too many of its tasks fail",
                          now_us);
}

gboolean
health_note_refusal (struct upstream *upstream, struct pool_health *pool,
                     gboolean was_sent, gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  if (was_sent)
    {
      health->capacity = MAX (upstream->n_running, 2) - 1;
      health->n_capacity_successes = 0;
    }
  if (was_sent)
    set_rest (health, REFUSED_REST_US, health->n_consecutive_refusals,
              REFUSED_MAX_DOUBLINGS, now_us);
  else
    set_rest (health, UNREACHABLE_REST_US, health->n_consecutive_refusals,
              UNREACHABLE_MAX_DOUBLINGS, now_us);
  health->n_consecutive_refusals++;
  if (health->n_starts_without_success > 0)
    health->n_starts_without_success--;
  if (was_sent || health->n_consecutive_refusals != MAX_CONSECUTIVE_FAILURES)
    return FALSE;
  health->window = 1;
  event_log (EVENT_UPSTREAM_UNREACHABLE, "upstream '%s' at %s", upstream->name,
             upstream->address);
  return TRUE;
}

void
health_limit_to_one (struct upstream *upstream)
{
  upstream->health->window = 1;
}

void
health_note_renewal_sent (struct upstream *upstream, gint64 deadline_us)
{
  if (upstream->health->renewal_deadline_us == 0)
    upstream->health->renewal_deadline_us = deadline_us;
}

void
health_note_renewal_answered (struct upstream *upstream)
{
  upstream->health->renewal_deadline_us = 0;
  if (!upstream->health->is_silent)
    return;
  upstream->health->is_silent = FALSE;
  upstream->health->window = 1;
}

void
health_check_renewal_timeout (struct upstream *upstream, gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  if (health->renewal_deadline_us == 0 || health->renewal_deadline_us > now_us
      || health->is_silent)
    return;
  health->is_silent = TRUE;
  event_log (EVENT_UPSTREAM_SILENT, "upstream '%s' at %s", upstream->name,
             upstream->address);
}

void
health_leave_pool (struct upstream *upstream, struct pool_health *pool)
{
  if (upstream->health->state == HEALTH_PROBATION)
    pool->n_on_probation--;
  upstream->health->state = HEALTH_NORMAL;
  upstream->health->window = 1;
}
