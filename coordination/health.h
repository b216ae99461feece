/*
 * The health of one upstream as seen by this VM, which limits the tasks that
 * this VM starts there.
 *
 * - Concurrency window: an upstream that is new or has just failed gets few
 *   tasks at once.  Successes double the window.
 * - Starts without success: an upstream gets at most five starts until a task
 *   succeeds there.
 * - Probation: an upstream is put on probation when several tasks in a row
 *   failed, when it fails far more tasks than its pool does, or when it has
 *   become far slower.  It rests, which means that it gets no task for some
 *   time.  Then it gets one task at a time until one succeeds without being
 *   far slower than estimated.  A failure starts another rest.  At most half
 *   of a pool is on probation, so that a fault which all upstreams share
 *   does not take all of them out of use.
 * - Refusals: an upstream that refuses a task rests for a short time.  The
 *   tasks that this VM has running there are taken as its capacity, since
 *   other VMs may use the other slots.  Successes raise the capacity again.
 *
 * Rests get longer by exponential backoff.
 */
#ifndef COORDINATION_HEALTH_H
#define COORDINATION_HEALTH_H

#include "state/upstream.h"

enum health_state
{
  HEALTH_NORMAL,
  HEALTH_PROBATION, /* rests, or runs one task as a probe */
};

struct upstream_health
{
  enum health_state state;
  guint window;   /* limit of concurrent tasks, beside the VM's slot share */
  guint capacity; /* limit of concurrent tasks, learned from refusals */
  guint n_capacity_successes;     /* successes since the capacity changed */
  guint n_consecutive_failures;   /* failures since the last success */
  guint n_consecutive_refusals;   /* refusals since the last success */
  guint n_probations;             /* not yet forgotten after successes */
  guint n_consecutive_successes;  /* successes since the last failure */
  guint n_starts_without_success; /* starts since the last success, refused
                                     ones not counted */
  guint n_samples;      /* results in the averages, up to their length */
  gdouble failure_rate; /* moving average, 0 to 1 */
  gdouble slowdown;     /* moving average of run time over estimate, divided by
                           the pool's average; 1 is ordinary speed */
  gint64 last_failure_us;
  gint64 rest_until_us;       /* no task starts before this time */
  gint64 renewal_deadline_us; /* for the answer to the first unanswered lease
                                 renewal; 0 for none */
  gboolean is_silent;         /* a lease renewal was not answered in time */
};

/* Averages over the upstreams of a pool.  */
struct pool_health
{
  guint n_upstreams;
  guint n_on_probation;
  gdouble failure_rate; /* moving average, 0 to 1 */
  gdouble slowdown; /* moving average of run time over estimate; 0 before the
                       first sample */
};

/* The health of a new upstream.  Free with g_free ().  */
struct upstream_health *health_new (void);

/* Whether the health of UPSTREAM allows a start now.  Free slots are checked
   elsewhere.  */
gboolean health_may_start (const struct upstream *upstream, gint64 now_us);

/* Number of speed classes.  */
#define HEALTH_N_SPEEDS 4

/* The speed class of UPSTREAM: 0 for ordinary speed, higher for slower ones,
   up to HEALTH_N_SPEEDS - 1.  */
guint health_get_speed_class (const struct upstream *upstream);

/* Records that a task was started on UPSTREAM.  */
void health_note_start (struct upstream *upstream);

/* Records that the last running task of UPSTREAM has ended.  If the limit of
   starts without success is reached, allows one more.  Returns TRUE when the
   upstream is put on probation.  */
gboolean health_note_idle (struct upstream *upstream, struct pool_health *pool,
                           gint64 now_us);

/* Records that a task that was started at STARTED_US succeeded.  RATIO is its
   run time over its estimate.  If it was started before the last failure, only
   the failure rates count it: it does not show that UPSTREAM has recovered. */
void health_note_done (struct upstream *upstream, struct pool_health *pool,
                       gint64 started_us, gdouble ratio, gint64 now_us);

/* Records that a task failed or ended with an unknown outcome, other than by a
   stop that this VM asked for.  Returns TRUE when the upstream is put on
   probation.  */
gboolean health_note_failure (struct upstream *upstream,
                              struct pool_health *pool, gint64 now_us);

/* Records that a task certainly did not run: refused by the upstream's answer
   if WAS_SENT, otherwise not sent.  Returns TRUE when the upstream now
   counts as unreachable: this is the third time since the last success, and
   the task was not sent.  */
gboolean health_note_refusal (struct upstream *upstream,
                              struct pool_health *pool, gboolean was_sent,
                              gint64 now_us);

/* Limits UPSTREAM to one task at a time, after failures of other upstreams of
   its rack.  */
void health_limit_to_one (struct upstream *upstream);

/* Records that a lease renewal was sent, to be answered by DEADLINE_US.  A
   later one does not extend the deadline of one that is still unanswered.  */
void health_note_renewal_sent (struct upstream *upstream, gint64 deadline_us);

/* Records that UPSTREAM has answered, which ends its silence.  */
void health_note_renewal_answered (struct upstream *upstream);

/* Marks UPSTREAM as silent when the deadline for the answer has passed.  */
void health_check_renewal_timeout (struct upstream *upstream, gint64 now_us);

/* Ends the probation of UPSTREAM, which leaves POOL, and limits it to one task
   at a time.  */
void health_leave_pool (struct upstream *upstream, struct pool_health *pool);

#endif
