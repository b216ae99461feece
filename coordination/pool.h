/*
 * A pool: the upstreams of one service and the tasks that wait for them.
 *
 * Upstreams that may get a task now are indexed by kind of shape and by
 * level, the lowest being the one to take first; see coordination/placement.h.
 * Waiting tasks are in lanes; see coordination/lane.h.
 *
 * Pools are made and changed by the dispatcher when a document comes into
 * force.
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

/* The upstreams of one kind that may get a task now, by level.  */
struct pool_index
{
  struct list_node levels[POOL_N_LEVELS]; /* struct upstream by level_link */
  guint64 used_levels;                    /* bit set */
};

struct pool
{
  char *key; /* "team/service" */
  char *service_name;
  struct team *team; /* not owned */
  struct service
      *service; /* owned by the team's document; NULL once dropped */
  const struct placement_ops *placement;
  const struct order_ops *order;
  GPtrArray *upstreams; /* struct upstream, referenced */
  GArray *kinds;        /* struct shape */
  GPtrArray *indexes;   /* struct pool_index, owned, by kind */
  GPtrArray *lanes;     /* struct lane, owned */
  guint n_queued;
  guint n_running;
  gint64 queued_work_us;         /* estimates, added up */
  struct backlog backlog_by_key; /* queued work by its jobs' keys */
  struct backlog backlog_by_due; /* by end_by_us, of jobs with a deadline */
  gint64 running_work_us;        /* the same of running tasks */
  gint64 last_start_us;          /* of any of its tasks */
  gint64 shutdown_us;         /* the service's shutdown on the local clock */
  guint n_slots;              /* this VM may fill, not counting upstreams that
                                 leave, rest or are on probation */
  struct host *reserved_host; /* for one of its jobs; NULL for none */
  struct pool_health health;
  struct estimate_table estimates;
};

/* A new pool without upstreams.  Adds itself to TEAM.  */
struct pool *pool_new (struct team *team, const char *service_name);

/* Frees POOL, whose lanes must be empty.  */
void pool_free (struct pool *pool);

/*
 * Takes over the service of the pool's name from the team's document.
 * Upstreams whose name and address stay keep their running tasks; the others
 * are marked removed and live on until their tasks have ended.  Waiting tasks
 * must have been taken out before.
 */
void pool_apply_document (struct pool *pool, GHashTable *hosts);

/* Puts TASK into the lane that suits it.  Returns FALSE when it fits no
   upstream; it is queued nowhere then.  */
gboolean pool_enqueue (struct pool *pool, struct task *task, gboolean at_front,
                       GRand *random);
void pool_dequeue (struct pool *pool, struct task *task);

/* Counts JOB's queued work, for the first time or after it has changed; or
   takes it out.  */
void pool_count_work (struct pool *pool, struct job *job, gint64 now_us);
void pool_uncount_work (struct pool *pool, struct job *job);

/* Whether UPSTREAM may get a task now; and whether it might but for the
   reservation of its host.  */
gboolean pool_may_start_on (const struct upstream *upstream, gint64 now_us);
gboolean pool_has_room_on (const struct upstream *upstream, gint64 now_us);

/* Puts UPSTREAM where it belongs in its pool's index after any change.  */
void pool_update_index (struct upstream *upstream, gint64 now_us);

/* Counts POOL's n_slots anew.  */
void pool_count_slots (struct pool *pool);

/* How long a task that comes now waits for a slot, by estimates.  */
gint64 pool_estimate_wait_us (const struct pool *pool);

#endif
