/*
 * The home of a fleet's jobs: takes a job from its caller, spreads its tasks
 * over owners of upstreams, and answers the caller once.
 *
 * A job is in memory only.  When what became of a task is not known, the
 * answer says so at once; its caller sends the job again after the resend
 * time, by which all that was started has been stopped or has lapsed.
 */
#ifndef TRANSPORT_FLEET_HOME_H
#define TRANSPORT_FLEET_HOME_H

#include "coordination/vm_directory.h"
#include "state/document.h"
#include "transport/fleet_owner.h"
#include "transport/peer_hub.h"

#include <glib.h>

struct fleet_home;
struct fleet_job;

/* A job as its caller has sent it.  Strings are owned.  */
struct fleet_submission
{
  char *job; /* id, chosen by the caller */
  char *spec;
  char *service;
  char *affinity;       /* rack, or NULL */
  char *required_label; /* or NULL */
  struct shape need;    /* of one task */
  guint n_tasks;
  guint per_upstream; /* 0 for no limit */
  gint64 estimate_us; /* of one task */
  guint priority;
  guint attempts;
  gint64 objective_us;      /* time to the answer that is aimed at */
  gint64 caller_timeout_us; /* the caller waits no longer; 0 for not known */
};

void fleet_submission_free (struct fleet_submission *submission);

enum fleet_outcome
{
  FLEET_DONE,    /* every task has ended well */
  FLEET_FAILED,  /* a task used up its attempts */
  FLEET_NOT_RUN, /* nothing was started; come back later */
  FLEET_UNKNOWN, /* something may have been started, and is being stopped */
};

struct fleet_answer
{
  enum fleet_outcome outcome;
  const char *reason;   /* static */
  guint retry_after_ms; /* with FLEET_NOT_RUN */
};

struct fleet_answer_handler;

/* Whoever waits for the answer; answer () is called once.  */
struct fleet_answer_handler
{
  void (*answer) (struct fleet_answer_handler *waiter,
                  const struct fleet_answer *answer);
};

/* VM, NAME and its INCARNATION, is this process.  DIRECTORY, HUB and OWNER
   must outlive the home.  */
struct fleet_home *fleet_home_new (const char *vm, guint64 incarnation,
                                   const char *availability_zone,
                                   gdouble far_factor,
                                   struct vm_directory *directory,
                                   struct peer_hub *hub,
                                   struct fleet_owner *owner);
void fleet_home_free (struct fleet_home *home);

/*
 * Submits a job; takes SUBMISSION.  WAITER may be answered before the function
 * returns; it then returns NULL.
 */
struct fleet_job *fleet_home_submit (struct fleet_home *home,
                                     struct fleet_submission *submission,
                                     struct fleet_answer_handler *waiter);

/* The caller of JOB has gone: what runs of it is stopped, and nothing is
   answered.  */
void fleet_home_cancel_job (struct fleet_home *home, struct fleet_job *job);

/* The owner VM, or that incarnation of it, is lost.  */
void fleet_home_lose_vm (struct fleet_home *home, const char *vm,
                         guint64 incarnation);

/* Passes the time: jobs whose callers wait no longer are given up.  */
void fleet_home_advance (struct fleet_home *home, gint64 now_us);

/* Jobs that are not answered yet, and those of which no task has started.  */
guint fleet_home_count_jobs (const struct fleet_home *home);

/* Whether any live owner has a slot for SERVICE.  */
gboolean fleet_home_has_room (struct fleet_home *home, const char *service);

/* Answers every job that is left, at the end of a drain.  */
void fleet_home_end_jobs (struct fleet_home *home, const char *reason);

#endif
