/*
 * What this VM has learned about one upstream, and what it does with it.
 *
 * An upstream that is not proven yet, or that has just failed, gets few tasks
 * at once; successes double that.  No upstream gets more than five starts
 * without a success between them.  One that fails several tasks in a
 * row, fails far more of them than its pool does, or has become far slower is
 * put on probation: it rests, then gets one task at a time.  A refusal makes
 * it rest for a moment, and is taken for the number of tasks that it has room
 * for beside those of other VMs, to be tried again after some successes.  At
 * most half of a pool is on probation, so that a fault which all upstreams
 * share takes none of them away.
 */
#ifndef COORDINATION_HEALTH_H
#define COORDINATION_HEALTH_H

#include "state/upstream.h"

enum health_state
{
  HEALTH_NORMAL,
  HEALTH_PROBATION, /* rests, or runs its one canary */
};

struct upstream_health
{
  enum health_state state;
  guint window;        /* tasks at once, beside the share */
  guint room;          /* tasks at once that it has not refused lately */
  guint n_room_run;    /* successes since the room has changed */
  guint n_failed_run;  /* failures since the last success */
  guint n_refused_run; /* refusals since the last success */
  guint n_probations;  /* since it was last fully back */
  guint n_done_run;    /* successes since the last failure */
  guint n_unanswered;  /* starts since the last success */
  guint n_seen;        /* results in the averages, up to their length */
  gdouble failure_rate;
  gdouble slowdown; /* run time over the estimate, against the pool\'s */
  gint64 last_failure_us;
  gint64 rest_until_us; /* no start before */
  gint64 renew_by_us;   /* an answer to the renewal is due; 0 for none */
  gboolean is_silent;   /* the renewal was not answered */
};

/* How the upstreams of a pool do together.  */
struct pool_health
{
  guint n_upstreams;
  guint n_on_probation;
  gdouble failure_rate;
  gdouble slowdown; /* 0 before the first sample */
};

struct upstream_health *health_new (void);

/* Whether UPSTREAM, which has a free slot, may get a task now.  */
gboolean health_may_start (const struct upstream *upstream, gint64 now_us);

/* 0 for an upstream of ordinary speed, more for slower ones, up to
   HEALTH_N_SPEEDS - 1.  */
#define HEALTH_N_SPEEDS 4
guint health_get_speed_class (const struct upstream *upstream);

/* A task was started.  */
void health_note_start (struct upstream *upstream);

/* The last running task has ended.  Returns as health_note_failure.  */
gboolean health_note_idle (struct upstream *upstream, struct pool_health *pool,
                           gint64 now_us);

/* A task that was started at STARTED_US is done and took RATIO of its
   estimate.  One that was started before the last failure proves nothing.  */
void health_note_done (struct upstream *upstream, struct pool_health *pool,
                       gint64 started_us, gdouble ratio, gint64 now_us);

/* A task failed, or its outcome is unknown, through no request of ours.
   Returns TRUE when that puts the upstream on probation.  */
gboolean health_note_failure (struct upstream *upstream,
                              struct pool_health *pool, gint64 now_us);

/* A task was definitely refused; WAS_SENT tells that the upstream itself
   answered so.  Returns as health_note_failure.  */
gboolean health_note_refusal (struct upstream *upstream,
                              struct pool_health *pool, gboolean was_sent,
                              gint64 now_us);

/* Lets UPSTREAM show itself with one task, after a failure near it.  */
void health_suspect (struct upstream *upstream);

/* A renewal was sent, of which the answer is due by DEADLINE_US; or it was
   answered; or its deadline may have passed.  */
void health_note_renewal (struct upstream *upstream, gint64 deadline_us);
void health_note_renewed (struct upstream *upstream);
void health_check_renewal (struct upstream *upstream, gint64 now_us);

/* UPSTREAM, counted in POOL, leaves it.  */
void health_leave_pool (struct upstream *upstream, struct pool_health *pool);

#endif
