/*
 * The parts of a decision world that its steps share with its model.
 */
#ifndef T_SUPPORT_DECISION_WORLD_PRIVATE_H
#define T_SUPPORT_DECISION_WORLD_PRIVATE_H

#include "base/clock.h"
#include "coordination/dispatcher.h"
#include "coordination/host.h"
#include "coordination/pool.h"
#include "t/support/decision_world.h"

#define N_TEAMS 3
#define N_UPSTREAMS 6
#define MAX_LIVE_JOBS 40
#define SLOTS 3
#define LEASE_MS 2000
#define QUOTA_SLOTS 9
#define QUOTA_STARTS 40
#define START_RING 64

enum attempt_state
{
  ATTEMPT_NONE,
  ATTEMPT_WAITING, /* started by the dispatcher, not written */
  ATTEMPT_WRITTEN, /* may run */
};

struct model_job;

struct model_task
{
  struct model_job *model;
  struct task *task;
  enum attempt_state attempt;
  gboolean may_have_run;
  GBytes *output; /* what was reported */
};

struct model_job
{
  struct job *job; /* referenced */
  gboolean is_cancelled;
  guint n_answers;
  guint n_in_flight;
  guint n_tasks;
  struct model_task *tasks;
};

struct world
{
  struct dispatcher_driver driver;
  struct dispatcher *dispatcher;
  GRand *details; /* reseeded by each step */
  GPtrArray *jobs;
  GPtrArray *in_flight; /* struct model_task */
  GPtrArray *renewals;  /* struct upstream, referenced */
  guint64 version[N_TEAMS];
  gint64 starts[N_TEAMS][START_RING]; /* times of the last starts */
  guint n_starts[N_TEAMS];
  guint n_running[N_TEAMS];
  gboolean is_leaving[N_UPSTREAMS];
  gint64 now_us;
  gint64 wake_us;
  guint64 last_token;
  guint n_submitted;
  gboolean is_draining;
  gboolean is_paused; /* within the first call after a pause */
  const char *broken;
};

/* Notes that WHAT is broken unless HOLDS; the first one is kept.  */
void world_expect (struct world *world, gboolean holds, const char *what);

/* A number below N that follows from the current step's code.  */
guint world_draw (struct world *world, guint n);

guint world_team_index (const struct job *job);

/* Publishes a document that names a set of UPSTREAMS, one bit for each.  */
void world_apply_document (struct world *world, guint team, guint64 version,
                           guint32 upstreams);

/* Checks the dispatcher's counts against the model.  */
void world_check_counts (struct world *world);

#endif
