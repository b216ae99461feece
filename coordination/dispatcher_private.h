/*
 * The dispatcher's state, shared by the modules that implement it.
 *
 *   dispatcher.c   the public functions and the timers
 *   admission.c    accepts or refuses a job
 *   serve.c        chooses which tasks start on which upstream
 *   task_flow.c    updates a task when its attempt has ended
 *   job_flow.c     ends jobs
 *   leases.c       renews and expires leases
 *   reservation.c  keeps a host free for a task that needs much of it
 *   rollout.c      applies documents
 *   shares.c       applies this VM's shares of quotas and slots
 */
#ifndef COORDINATION_DISPATCHER_PRIVATE_H
#define COORDINATION_DISPATCHER_PRIVATE_H

#include "coordination/dispatcher.h"
#include "coordination/pool.h"
#include "coordination/team.h"

struct dispatcher
{
  struct dispatcher_driver *driver;
  GRand *random;
  char *availability_zone;   /* of this VM; empty when unknown */
  GHashTable *documents;     /* team name -> struct document in force */
  GHashTable *teams;         /* name -> struct team */
  GHashTable *pools;         /* "team/service" -> struct pool */
  GHashTable *hosts;         /* address -> struct host */
  GHashTable *leaving_names; /* set of the names of leaving upstreams */
  struct job_table *jobs;
  GSequence *deadlines;         /* struct job by due_us */
  GSequence *resting_upstreams; /* struct upstream by health->rest_until_us */
  struct list_node busy_upstreams; /* struct upstream by busy_link: those with
                                      running tasks, also removed ones */
  struct quota_vms vms;
  guint64 next_token;       /* fencing token of the next start */
  guint64 next_sequence;    /* of the next job accepted */
  guint n_active;           /* unfinished jobs */
  guint n_running;          /* tasks that occupy an upstream */
  gint64 tick_us;           /* period of run_tick () */
  gint64 tick_due_us;       /* the next tick; 0 before the first event */
  gint64 throttle_retry_us; /* the first time at which the quota of a throttled
                               team may allow a start */
  gint64 wake_us;        /* last passed to the driver's wake_at; 0 for none */
  gint64 unix_offset_us; /* Unix time minus the dispatcher's clock */
  gboolean has_unix_offset;
  gboolean is_resuming; /* after a pause, until the sockets have been read */
  gboolean is_draining; /* refuses new jobs */
};

/* The pool of SERVICE of TEAM, or NULL.  Owned by DISPATCHER.  */
struct pool *dispatcher_find_pool (struct dispatcher *dispatcher,
                                   const char *team, const char *service);

/* Has the driver call dispatcher_run_timers () when the next timer is due.  */
void dispatcher_update_wakeup (struct dispatcher *dispatcher);

#endif
