/*
 * A pool: the upstreams of one service and the tasks that are queued for them.
 *
 * Upstreams that may get a task now are indexed by shape kind and by level.
 * The lowest level is preferred; see coordination/placement.h.  Queued tasks
 * are in lanes; see coordination/lane.h.
 *
 * The dispatcher creates and updates pools when it applies a document.
 */
#ifndef COORDINATION_POOL_H
#define COORDINATION_POOL_H

#include "base/list.h"
#include "coordination/backlog.h"
#include "coordination/estimate.h"
#include "coordination/health.h"
#include "coordination/lane.h"
#include "coordination/team.h"
#include "state/document.h"
#include "state/job.h"
#include "state/upstream.h"

#define POOL_N_LEVELS 64

struct placement_ops;

/* The upstreams of one shape kind that may get a task now, by level.  */
struct pool_index
{
  struct list_node levels[POOL_N_LEVELS]; /* struct upstream by level_link */
  guint64 nonempty_levels; /* bit set of the levels with upstreams */
};

struct pool
{
  char *key; /* "team/service" */
  char *service_name;
  struct team *team; /* not owned */
  struct service
      *service; /* owned by the team's document; NULL once removed from it */
  const struct placement_ops *placement;
  const struct order_ops *order;
  GPtrArray *upstreams;  /* struct upstream, referenced */
  GArray *kinds;         /* struct shape, see coordination/shape_check.h */
  GPtrArray *indexes;    /* struct pool_index, owned, by kind */
  GPtrArray *lanes;      /* struct lane, owned */
  guint n_queued;        /* tasks */
  guint n_running;       /* tasks */
  gint64 queued_work_us; /* sum of the queued tasks' estimates */
  struct backlog backlog_by_key; /* queued work by the key of its job */
  struct backlog backlog_by_end; /* queued work of jobs with a deadline, by
                                    end_by_us of its job */
  gint64 running_work_us;        /* sum of the running tasks' estimates */
  gint64 last_start_us;          /* the last start of one of its tasks */
  gint64 shutdown_us;            /* the service's shutdown on the dispatcher's
                                    clock; DEADLINE_NEVER for none */
  guint n_slots; /* that this VM may fill, without those of upstreams that are
                    leaving or on probation */
  struct host *reserved_host; /* reserved for one of its jobs, or NULL */
  struct pool_health health;
  struct estimate_table estimates;
};

/* A new pool without upstreams, owned by the caller.  Adds it to TEAM's
   pools.  */
struct pool *pool_new (struct team *team, const char *service_name);

/* Frees POOL, whose lanes must be empty.  */
void pool_free (struct pool *pool);

/*
 * Updates the pool to its service in the team's document.  Upstreams that keep
 * their name and address keep their state and running tasks.  The others are
 * marked as removed and live on until their tasks have ended.  The caller has
 * dequeued all tasks before.
 */
void pool_apply_document (struct pool *pool, GHashTable *hosts);

/* Adds TASK to the lane of the upstreams that it fits, before or after the
   other tasks of its job.  Returns FALSE without queueing it when it fits no
   upstream.  RANDOM is for the placement policy.  */
gboolean pool_enqueue (struct pool *pool, struct task *task, gboolean at_front,
                       GRand *random);

/* Removes TASK, which is queued, from its lane.  */
void pool_dequeue (struct pool *pool, struct task *task);

/* Adds JOB's queued work to the backlogs, or removes it.  To change
   job->queued_work_us, remove it first and add it again afterwards.  */
void pool_add_queued_work (struct pool *pool, struct job *job, gint64 now_us);
void pool_remove_queued_work (struct pool *pool, struct job *job);

/* Whether any task may start on UPSTREAM now.  */
gboolean pool_may_start_on (const struct upstream *upstream, gint64 now_us);

/* The same without regard to a reservation of its host.  */
gboolean pool_has_room_on (const struct upstream *upstream, gint64 now_us);

/* Adds UPSTREAM to its pool's index, moves it or removes it, after a change of
   whether it may get a task or of its level.  */
void pool_update_index (struct upstream *upstream, gint64 now_us);

/* Recomputes POOL's n_slots.  */
void pool_update_slots (struct pool *pool);

/* The estimated time that a task queued now waits for a slot.  */
gint64 pool_estimate_wait_us (const struct pool *pool);

#endif
