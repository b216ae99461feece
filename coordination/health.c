#include "coordination/health.h"

#include "base/clock.h"
#include "base/event_log.h"

/* Tasks at once on an upstream that has not completed one yet.  */
#define UNPROVEN_WINDOW 3

/* Starts without a success between them.  */
#define MAX_UNANSWERED 5

/* Successes in a row after which one former probation is forgotten.  */
#define FORGET_RUN 64

/* The window of an upstream that was on probation grows more slowly.  */
#define MAX_GROWTH_DOUBLINGS 5
#define MAX_WINDOW 1024

/* Successes for each task that there is room for until one more is tried.  */
#define ROOM_RUN 4

/* Failures in a row that lead to probation.  */
#define MAX_FAILED_RUN 3

/* Lengths of the moving averages, in results.  */
#define UPSTREAM_SAMPLES 16
#define POOL_SAMPLES 128

/* A failure rate that leads to probation when the pool's is far lower.  */
#define MAX_FAILURE_RATE 0.25
#define MAX_TIMES_POOL_RATE 3.0

/* A slowdown that leads to probation.  */
#define MAX_SLOWDOWN 4.0
#define MIN_SAMPLES 8

/* What an upstream that was slower than this is taken for on its return.  */
#define RETURN_SLOWDOWN 2.0

/* One sample counts for at most this much.  */
#define MAX_RATIO 8.0

/* The first and the longest rest; each doubles from one to the next.  */
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

  health->window = UNPROVEN_WINDOW;
  health->room = MAX_WINDOW;
  health->slowdown = 1;
  return health;
}

gboolean
health_may_start (const struct upstream *upstream, gint64 now_us)
{
  const struct upstream_health *health = upstream->health;

  if (health->is_silent || health->rest_until_us > now_us
      || health->n_unanswered >= MAX_UNANSWERED)
    return FALSE;
  return upstream->n_running < MIN (health->window, health->room);
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

static void
rest (struct upstream_health *health, gint64 first_us, guint n_before,
      guint max_doublings, gint64 now_us)
{
  gint64 until_us = now_us + (first_us << MIN (n_before, max_doublings));

  health->rest_until_us = MAX (health->rest_until_us, until_us);
}

static void
rest_on_probation (struct upstream_health *health, gint64 now_us)
{
  health->window = 1;
  rest (health, PROBATION_REST_US, health->n_probations,
        PROBATION_MAX_DOUBLINGS, now_us);
  health->n_probations++;
}

/* Puts UPSTREAM on probation unless too many are.  */
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
  health->n_seen = 0;
  pool->n_on_probation--;
  event_log (EVENT_UPSTREAM_RETURNED, "upstream '%s' at %s", upstream->name,
             upstream->address);
}

static void
note_speed (struct upstream *upstream, struct pool_health *pool, gdouble ratio,
            gint64 now_us)
{
  struct upstream_health *health = upstream->health;
  gdouble sample;

  /* Estimates may be off for all alike.  */
  pool->slowdown
      += (ratio - pool->slowdown) / (pool->slowdown > 0 ? POOL_SAMPLES : 1);
  sample = CLAMP (ratio / pool->slowdown, 0, MAX_RATIO);
  health->slowdown += (sample - health->slowdown) / UPSTREAM_SAMPLES;
  if (health->state == HEALTH_NORMAL && health->n_seen >= MIN_SAMPLES
      && health->slowdown >= MAX_SLOWDOWN)
    start_probation (upstream, pool, "far slower than the others", now_us);
}

static void
average (struct upstream_health *health, gdouble failed)
{
  if (health->n_seen < UPSTREAM_SAMPLES)
    health->n_seen++;
  health->failure_rate += (failed - health->failure_rate) / health->n_seen;
}

static void
average_pool (struct pool_health *pool, gdouble failed)
{
  pool->failure_rate += (failed - pool->failure_rate) / POOL_SAMPLES;
}

/* Doubles the window, after more successes the more often it was on
   probation.  */
static void
grow_window (struct upstream_health *health)
{
  guint n_needed = 1u << MIN (health->n_probations, MAX_GROWTH_DOUBLINGS);

  health->n_done_run++;
  if (health->n_done_run % n_needed == 0)
    health->window = MIN (health->window * 2, MAX_WINDOW);
  if (health->n_done_run % FORGET_RUN == 0 && health->n_probations > 0)
    health->n_probations--;
}

static void
grow_room (struct upstream_health *health)
{
  if (health->room >= MAX_WINDOW
      || ++health->n_room_run < ROOM_RUN * health->room)
    return;
  health->n_room_run = 0;
  health->room++;
}

void
health_note_start (struct upstream *upstream)
{
  upstream->health->n_unanswered++;
}

gboolean
health_note_idle (struct upstream *upstream, struct pool_health *pool,
                  gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  health_note_renewed (upstream);
  if (health->n_unanswered < MAX_UNANSWERED)
    return FALSE;
  /* One start is left to it, as on probation.  */
  health->n_unanswered = MAX_UNANSWERED - 1;
  if (health->n_failed_run == 0 || health->state == HEALTH_PROBATION)
    return FALSE;
  return start_probation (upstream, pool, "none of its tasks is done", now_us);
}

void
health_note_done (struct upstream *upstream, struct pool_health *pool,
                  gint64 started_us, gdouble ratio, gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  average (health, 0);
  average_pool (pool, 0);
  if (started_us <= health->last_failure_us)
    return;

  health->n_failed_run = 0;
  health->n_refused_run = 0;
  health->n_unanswered = 0;
  if (health->state == HEALTH_PROBATION && ratio >= MAX_SLOWDOWN)
    {
      rest_on_probation (health, now_us);
      return;
    }
  if (health->state == HEALTH_PROBATION)
    end_probation (upstream, pool);
  grow_window (health);
  grow_room (health);
  note_speed (upstream, pool, ratio, now_us);
}

static gboolean
is_failing (const struct upstream_health *health,
            const struct pool_health *pool)
{
  if (health->n_failed_run >= MAX_FAILED_RUN)
    return TRUE;
  return health->n_seen >= MIN_SAMPLES
         && health->failure_rate > MAX_FAILURE_RATE
         && health->failure_rate > pool->failure_rate * MAX_TIMES_POOL_RATE;
}

gboolean
health_note_failure (struct upstream *upstream, struct pool_health *pool,
                     gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  health->last_failure_us = now_us;
  health->n_failed_run++;
  health->n_done_run = 0;
  average (health, 1);
  average_pool (pool, 1);
  if (health->state == HEALTH_PROBATION)
    {
      if (health->rest_until_us <= now_us)
        rest_on_probation (health, now_us);
      return FALSE;
    }
  health->window = 1;
  if (!is_failing (health, pool))
    return FALSE;
  return start_probation (upstream, pool, "fails what it gets", now_us);
}

gboolean
health_note_refusal (struct upstream *upstream, struct pool_health *pool,
                     gboolean was_sent, gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  if (was_sent)
    {
      health->room = MAX (upstream->n_running, 2) - 1;
      health->n_room_run = 0;
    }
  if (was_sent)
    rest (health, REFUSED_REST_US, health->n_refused_run,
          REFUSED_MAX_DOUBLINGS, now_us);
  else
    rest (health, UNREACHABLE_REST_US, health->n_refused_run,
          UNREACHABLE_MAX_DOUBLINGS, now_us);
  health->n_refused_run++;
  if (health->n_unanswered > 0)
    health->n_unanswered--;
  if (was_sent || health->n_refused_run != MAX_FAILED_RUN)
    return FALSE;
  health->window = 1;
  event_log (EVENT_UPSTREAM_UNREACHABLE, "upstream '%s' at %s", upstream->name,
             upstream->address);
  return TRUE;
}

void
health_suspect (struct upstream *upstream)
{
  upstream->health->window = 1;
}

void
health_note_renewal (struct upstream *upstream, gint64 deadline_us)
{
  if (upstream->health->renew_by_us == 0)
    upstream->health->renew_by_us = deadline_us;
}

void
health_note_renewed (struct upstream *upstream)
{
  upstream->health->renew_by_us = 0;
  if (!upstream->health->is_silent)
    return;
  upstream->health->is_silent = FALSE;
  upstream->health->window = 1;
}

void
health_check_renewal (struct upstream *upstream, gint64 now_us)
{
  struct upstream_health *health = upstream->health;

  if (health->renew_by_us == 0 || health->renew_by_us > now_us
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
