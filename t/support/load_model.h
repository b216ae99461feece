/*
 * A model of the load of a fleet: homes that spread jobs, and owners that run
 * them on simulated upstreams.  The decisions are those of the real modules
 * (owner.h, spread.h, task_offer.h, vm_room.h, waiting_jobs.h); messages take
 * time, and rooms are announced at intervals.
 */
#ifndef T_SUPPORT_LOAD_MODEL_H
#define T_SUPPORT_LOAD_MODEL_H

#include "base/clock.h"

#include <glib.h>

#define LOAD_MAX_KINDS 3
#define LOAD_MAX_SPEEDS 3

/* Jobs of one kind.  */
struct load_kind
{
  guint n_tasks;
  guint run_ms;
  guint jobs_per_s;
  guint priority;
  gdouble worth; /* of a job that is done in time */
};

struct load_config
{
  guint32 seed;
  guint n_owners; /* each VM is a home, too */
  guint n_upstreams;
  guint max_offers;     /* see struct spread_tasks */
  gboolean is_even;     /* jobs arrive at even distances */
  guint spread_percent; /* by which jobs differ from their kind, and
                           estimates from the run times */
  guint message_ms;     /* one way, between VMs */
  guint late_share;     /* one message in this many takes 40 ms more; 0 for
                           none */
  guint n_callers; /* who send the jobs, one to three jobs each in turn; 0 for
                      callers that are not told apart */
  gboolean shares_by_caller; /* refuses a caller's excess first */
  guint report_ms;     /* interval of the reports of callers; 0 for that of
                          the rooms */
  guint retry_percent; /* of refused jobs, that return once at the time that
                          they are told, in whole seconds */
  gboolean spreads_retries;
  struct load_kind kinds[LOAD_MAX_KINDS];
  gboolean placement_by_speed;     /* see struct owner_limits */
  guint attempts;                  /* of a task; 0 for 3 */
  gdouble speeds[LOAD_MAX_SPEEDS]; /* of the upstreams, dealt in turn; 0 ends
                                      the list, and none means 1 */
  gboolean is_sized;  /* tasks need 8 CPUs with a spread of 0.2, two upstreams
                         in three have 16 CPUs, the third 24; otherwise tasks
                         need 1 and upstreams have LOAD_SLOTS */
  gdouble task_cpus;  /* if sized, what all tasks need instead; 0: as above */
  guint tail_percent; /* of the tasks, which take TAIL_FACTOR times as long */
  guint tail_factor;
  gboolean waits;      /* jobs without slots wait, see waiting_jobs.h */
  guint failing_every; /* one upstream in this many fails all that it starts,
                          after LOAD_FAIL_MS; 0 for none */
};

/* A failing upstream fails a run after this time.  */
#define LOAD_FAIL_MS 20

/* What became of the jobs of one kind.  */
struct load_result
{
  guint n_jobs;
  guint n_in_time;
  guint n_late;
  guint n_refused;
  guint n_failed;
};

struct load_model;

struct load_model *load_model_new (const struct load_config *config);
void load_model_free (struct load_model *model);

/* Lets MS pass with FACTOR times the configured load.  */
void load_model_run (struct load_model *model, guint ms, gdouble factor);

/* Only jobs that arrive and messages that are sent from now on count in the
   results.  */
void load_model_count_from_now (struct load_model *model);

/* From now on jobs of KIND arrive FACTOR times as often.  */
void load_model_set_kind_factor (struct load_model *model, guint kind,
                                 gdouble factor);

/* From now on caller 0 sends JOBS_PER_S more jobs of KIND: all of them to
   HOME while it lives, or to any if HOME is negative.  */
void load_model_set_flood (struct load_model *model, guint kind,
                           guint jobs_per_s, gint home);

/* The jobs of caller 0, or of all others, that have ended so far.  */
struct load_result
load_model_get_caller_result (const struct load_model *model,
                              gboolean is_first);

/* The share of the worth of the jobs of all callers but the first that was
   served in time so far.  */
gdouble load_model_get_others_worth (const struct load_model *model);

/* The refused jobs that have returned, and those of them done in time.  */
struct load_result
load_model_get_retry_result (const struct load_model *model);

/* From now on SHARE of the orders to upstreams get no answer.  */
void load_model_set_lost_share (struct load_model *model, gdouble share);

/* The jobs of KIND that were served in time so far.  */
guint load_model_count_in_time (const struct load_model *model, guint kind);

/* Takes the upstreams from FIRST on, COUNT of them, away.  */
void load_model_remove_upstreams (struct load_model *model, guint first,
                                  guint count);

/* The operator evacuates the upstreams from FIRST on, COUNT of them, or takes
   them back, in which case they run slower for WARM_UP_MS.  */
void load_model_evacuate (struct load_model *model, guint first, guint count);
void load_model_take_back (struct load_model *model, guint first, guint count,
                           guint warm_up_ms);
/* Of the upstreams, one in EVERY takes FACTOR times as long from now on.  */
void load_model_slow_upstreams (struct load_model *model, guint every,
                                gdouble factor);

/* The VM of the owner is gone, with all that it holds.  Homes learn of it 600
   ms later, and its jobs are lost.  */
void load_model_kill_owner (struct load_model *model, guint owner);

/* Lets all jobs end, and returns the results of KIND.  Fails the test if a job
   does not end, or a task was granted twice.  */
struct load_result load_model_finish (struct load_model *model, guint kind);

/* The share of the worth of all jobs that was served in time.  */
gdouble load_model_worth (struct load_model *model);

/* Messages between VMs.  */
guint load_model_count_messages (const struct load_model *model);

#endif
