/*
 * One dispatcher whose actions are recorded, for tests of single decisions.
 *
 * The clock stands still until bed_pass () moves it.  Team "t" has the service
 * "s".
 */
#ifndef T_SUPPORT_DECISION_BED_H
#define T_SUPPORT_DECISION_BED_H

#include "coordination/dispatcher.h"
#include "coordination/health.h"

#define BED_MAX_BYTES (32 * 1024 * 1024)
#define BED_LEASE_MS 3000

struct bed
{
  struct dispatcher_driver driver;
  struct dispatcher *dispatcher;
  gint64 now_us;
  gint64 wake_us;
  GPtrArray *started;  /* struct task, those that run, in order of start */
  GPtrArray *stopped;  /* struct task, all that were asked to stop */
  GPtrArray *renewed;  /* struct upstream, all renewals that were asked for */
  GPtrArray *finished; /* struct job, in order */
  GPtrArray *jobs;     /* struct job, referenced, all that were made */
  guint n_starts;
  GBytes *output;
};

struct bed *bed_new (void);

/* The same with a document of team "t", N_UPSTREAMS of SLOTS slots.  */
struct bed *bed_new_with (guint n_upstreams, guint slots);

/* Ends what still runs and frees all.  */
void bed_free (struct bed *bed);

/* A document of TEAM with N_UPSTREAMS of SLOTS slots, named u0, u1, ...; to be
   changed and then given to bed_apply ().  */
struct document *bed_make_document (const char *team, guint64 version,
                                    guint n_upstreams, guint slots);

/* The only service of DOCUMENT, and its upstream NUMBER.  */
struct service *bed_service (struct document *document);
struct upstream_spec *bed_upstream_spec (struct document *document,
                                         guint number);

/* Puts DOCUMENT in force and drops the reference.  */
void bed_apply (struct bed *bed, struct document *document);

/* A job of team "t" that is not submitted yet.  Owned by BED.  */
struct job *bed_make_job (struct bed *bed, guint n_tasks);

/* Makes and submits a job, which must be accepted.  */
struct job *bed_submit (struct bed *bed, guint n_tasks);

/* Submits JOB, which must be refused with KIND.  */
void bed_expect_refusal (struct bed *bed, struct job *job,
                         enum error_kind kind);

/* Ends an attempt.  */
void bed_end (struct bed *bed, struct task *task, enum attempt_end end);

/* Ends all running tasks as done, also those that start meanwhile, N at the
   most.  */
void bed_end_all (struct bed *bed, guint n);

/* The oldest running task on the upstream of that name, or NULL.  */
struct task *bed_find_running (struct bed *bed, const char *upstream);

/* Answers the renewals that were asked for.  */
void bed_answer_renewals (struct bed *bed);

/* Moves the clock on in steps, and calls the dispatcher when it asked to.  */
void bed_pass (struct bed *bed, gint64 us);

/* Moves the clock on at once, as when the process was stopped.  */
void bed_pause (struct bed *bed, gint64 us);

/* The state of that upstream; any task runs on it.  */
struct upstream *bed_find_upstream (struct bed *bed, const char *name);

#endif
