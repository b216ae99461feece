/*
 * The dispatcher's own state, for the modules that it is made of.
 *
 *   dispatcher.c   the public functions and the passing of time
 *   admission.c    whether a job is accepted
 *   serve.c        which tasks start where
 *   task_flow.c    how the end of an attempt changes its task
 *   job_flow.c     how a job ends
 *   leases.c       renewal and lapse of leases
 *   rollout.c      how a document comes into force
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
  char *availability_zone; /* own, empty when unknown */
  GHashTable *documents;   /* team -> struct document, in force */
  GHashTable *teams;       /* name -> struct team */
  GHashTable *pools;       /* "team/service" -> struct pool */
  GHashTable *hosts;       /* address -> struct host */
  GHashTable *leaving;     /* names of upstreams that leave, a set */
  struct job_table *jobs;
  GSequence *deadlines;  /* struct job by due_us */
  GSequence *resting;    /* struct upstream by health->rest_until_us */
  struct list_node busy; /* struct upstream by busy_link, those that run tasks
                            and those that this document has removed, too */
  struct quota_vms vms;
  guint64 next_token;
  guint64 next_sequence;
  guint n_active;  /* jobs not finished */
  guint n_running; /* tasks that occupy an upstream */
  gint64 tick_us;  /* from one tick to the next */
  gint64 tick_due_us;
  gint64 throttle_retry_us; /* when a team's quota allows a start again */
  gint64 wake_us;           /* asked of the driver last */
  gint64 unix_offset_us;    /* Unix time minus the dispatcher's clock */
  gboolean has_unix_offset;
  gboolean is_catching_up; /* after a pause, until the sockets were read */
  gboolean is_draining;
};

/* The pool of that service, or NULL.  */
struct pool *dispatcher_find_pool (struct dispatcher *dispatcher,
                                   const char *team, const char *service);

/* Asks the driver for the next call of dispatcher_run_timers ().  */
void dispatcher_schedule (struct dispatcher *dispatcher);

#endif
