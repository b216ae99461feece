/*
 * The home of jobs: the VM that accepts a job from its caller, assigns the
 * job's tasks to owners of upstreams, and answers the caller once.
 *
 * A job is kept in memory only.  When the result of a task is not known, the
 * answer says so at once.  The caller may send the job again after a delay,
 * the resend time, by which every task that was started has been stopped or
 * its lease has expired.
 */
#ifndef TRANSPORT_FLEET_HOME_H
#define TRANSPORT_FLEET_HOME_H

#include "coordination/vm_directory.h"
#include "state/document.h"
#include "transport/fleet_beacon.h"
#include "transport/fleet_owner.h"
#include "transport/peer_hub.h"

#include <glib.h>

/* A job that misses its objective is still useful until this many times the
   objective.  */
#define FLEET_LATE_FACTOR 3

struct fleet_admission;
struct fleet_home;
struct fleet_job;
struct fleet_shards;

/* A job as its caller sent it.  The strings are freed with it.  */
struct fleet_submission
{
  char *job;  /* id, chosen by the caller */
  char *spec; /* passed to the upstream unchanged */
  char *service;
  char *route;          /* its name, or NULL */
  char *caller;         /* identity of the caller, or NULL */
  char *affinity;       /* rack, or NULL */
  char *required_label; /* or NULL */
  struct shape need;    /* of one task */
  guint n_tasks;
  guint per_upstream;       /* most tasks on one upstream; 0 for no limit */
  gint64 estimate_us;       /* run time of one task */
  guint priority;           /* 0 is the most urgent */
  guint attempts;           /* most runs of one task that may fail */
  gint64 objective_us;      /* target time from acceptance to the answer */
  gint64 caller_timeout_us; /* how long the caller waits; 0 if not known */
  gint64 received_us;       /* when the request arrived, from which its times
                               count; 0: now */
};

void fleet_submission_free (struct fleet_submission *submission);

enum fleet_outcome
{
  FLEET_DONE,    /* every task has succeeded */
  FLEET_FAILED,  /* a task used up its attempts */
  FLEET_NOT_RUN, /* no task was started; the caller may retry later */
  FLEET_UNKNOWN, /* tasks may have been started; they are being stopped */
};

struct fleet_answer
{
  enum fleet_outcome outcome;
  const char *reason;   /* static string */
  guint retry_after_ms; /* set with FLEET_NOT_RUN, otherwise 0 */
};

struct fleet_answer_handler;

/* Embedded in the object that waits for the answer to a job.  answer () is
   called once, unless the job is cancelled before.  */
struct fleet_answer_handler
{
  void (*answer) (struct fleet_answer_handler *handler,
                  const struct fleet_answer *answer);

  /* Whether the caller has not disconnected yet.  Called before a job that has
     waited is assigned: a job whose caller has gone, and will be cancelled as
     soon as that is noticed, is not.  May be NULL.  */
  gboolean (*is_connected) (struct fleet_answer_handler *handler);
};

/* VM and INCARNATION identify this process.  FAR_FACTOR is the expected run
   time of a task outside its rack relative to that on its rack.  DIRECTORY,
   HUB, OWNER and ADMISSION must outlive the home.  */
struct fleet_home *
fleet_home_new (const char *vm, guint64 incarnation,
                const char *availability_zone, gdouble far_factor,
                struct vm_directory *directory, struct peer_hub *hub,
                struct fleet_owner *owner, struct fleet_admission *admission);

/* Sets the state of evacuations, which must outlive HOME: no task is sent to
   VMs of evacuated zones.  */
void fleet_home_set_evacuation (struct fleet_home *home,
                                const struct evacuation *evacuation);

/* Which jobs may wait for slots.  */
struct fleet_waiting_options
{
  guint max_jobs;              /* 0: none may wait */
  gsize max_bytes;             /* memory of the jobs that wait */
  gint64 takeover_us;          /* from the last news of an owner that is lost
                                  until another has its upstreams */
  const GPtrArray *zones;      /* names of all, NULL-ended */
  struct fleet_shards *shards; /* of this VM */
};

/* Sets OPTIONS, whose pointers must outlive HOME.  No job waits before.  */
void fleet_home_set_waiting (struct fleet_home *home,
                             const struct fleet_waiting_options *options);

/* A beacon of VM was received: jobs that wait for slots may be assigned.  */
void fleet_home_handle_beacon (struct fleet_home *home, const struct vm *vm);

/* The operator has evacuated ZONE.  */
void fleet_home_handle_evacuated (struct fleet_home *home, const char *zone);

/* This VM is leaving: refuses the jobs that wait for slots, and lets no more
   wait.  */
void fleet_home_leave (struct fleet_home *home);

/* The number of jobs that wait for slots.  */
guint fleet_home_count_waiting (const struct fleet_home *home);

void fleet_home_free (struct fleet_home *home);

/*
 * Submits a job; takes ownership of SUBMISSION.  HANDLER may be called before
 * this function returns, which then returns NULL.  Otherwise the returned job
 * is valid until HANDLER is called or fleet_home_cancel_job ().
 */
struct fleet_job *fleet_home_submit (struct fleet_home *home,
                                     struct fleet_submission *submission,
                                     struct fleet_answer_handler *handler);

/* Cancels JOB because its caller has disconnected: stops its tasks and gives
   no answer.  */
void fleet_home_cancel_job (struct fleet_home *home, struct fleet_job *job);

/* Answers every job that has tasks on VM, which is lost in that INCARNATION,
   with FLEET_UNKNOWN.  */
void fleet_home_handle_vm_lost (struct fleet_home *home, const char *vm,
                                guint64 incarnation);

/* A caller that has no answer sends its job again after RESEND_MS at the
   earliest; 1,300 unless it is set.  */
void fleet_home_set_resend_ms (struct fleet_home *home, guint resend_ms);

/* Fills LIST with up to MAX owners that have batches of HOME.  Returns their
   number.  The names are valid until the next call.  */
guint fleet_home_list_confirmed (struct fleet_home *home,
                                 struct owner_confirmation *list, guint max);

/* Gives up jobs whose deadline has passed at NOW_US; to be called several
   times a second.  */
void fleet_home_advance (struct fleet_home *home, gint64 now_us);

/* The number of jobs that are not answered yet.  */
guint fleet_home_count_jobs (const struct fleet_home *home);

/* The jobs that are not answered yet, struct fleet_job by ID.  */
GHashTable *fleet_home_get_jobs (const struct fleet_home *home);

/* Whether any live owner has a slot, free or not, for SERVICE.  */
gboolean fleet_home_has_slots (struct fleet_home *home, const char *service);

/* Answers every remaining job with FLEET_UNKNOWN and REASON, a static string,
   at the end of a drain.  */
void fleet_home_answer_all (struct fleet_home *home, const char *reason);

#endif
