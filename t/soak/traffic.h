/*
 * The callers of a soak: jobs at a steady rate to every VM, and what each of
 * their requests came to.
 *
 * Callers keep using open connections, open one a request, leave early, and
 * send a job again, to any VM, after a request that got no answer or one that
 * says nothing of what has run.  All draws follow from the seed.  Times are in
 * ms of CLOCK_BOOTTIME, as in the record of the worker stand-ins.
 */
#ifndef T_SOAK_TRAFFIC_H
#define T_SOAK_TRAFFIC_H

#include "t/support/fleet_bed.h"

/* Runs of a task that may fail before its job has; the bed's routes say so. */
#define TRAFFIC_ATTEMPTS 4

enum request_end
{
  REQUEST_WAITING,
  REQUEST_ANSWERED,
  REQUEST_BROKEN,     /* the connection ended without a whole answer */
  REQUEST_LEFT,       /* the caller left early */
  REQUEST_UNANSWERED, /* the caller left when its time was over */
  REQUEST_TIMED_OUT   /* the caller left long after that */
};

/* One time that a job was sent.  */
struct request
{
  guint vm;
  enum request_end end;
  gint64 sent_ms;
  gint64 end_ms;
  guint status;   /* of the answer */
  char state[16]; /* what the answer calls the job, "" for nothing */
};

struct soak_job
{
  char *id;
  guint n_tasks;
  guint run_ms;
  guint cpu; /* of a task, in thousandths of a core */
  gboolean is_patient;
  gboolean is_failing;  /* every run of it ends as failed */
  gboolean has_own;     /* a connection for each request */
  guint leave_ms;       /* after which the caller leaves; 0 for never */
  guint timeout_ms;     /* as told to the VM */
  gboolean waits_on;    /* for some time more than it told */
  guint n_sends;        /* requests at the most */
  gboolean is_repeated; /* sent again although it was answered */
  GArray *requests;     /* struct request */
  struct http_call *call;
  gint64 resend_ms; /* 0 while a request waits, or after the last */
};

struct traffic;

struct traffic *traffic_new (struct fleet_bed *bed, guint32 seed);
void traffic_free (struct traffic *traffic);

/* How many jobs a second begin from now on.  */
void traffic_set_rate (struct traffic *traffic, guint per_s);

/* N callers come at once; each leaves after LEAVE_MS, unless that is 0.  */
void traffic_burst (struct traffic *traffic, guint n, guint leave_ms);

/* Begins a small job at every VM, that may wait long; adds them to JOBS.  */
void traffic_probe (struct traffic *traffic, GPtrArray *jobs);

/* Callers of VM open connections anew from now on.  */
void traffic_renew_connections (struct traffic *traffic, guint vm);

/* Does what is due; to be called every few ms.  */
void traffic_advance (struct traffic *traffic);

/* Whether no request waits and no job is to be sent again.  */
gboolean traffic_is_over (const struct traffic *traffic);

/* All jobs, struct soak_job, in the order in which they began.  */
const GPtrArray *traffic_get_jobs (const struct traffic *traffic);

/* Whether the last request of JOB was answered by that it is done.  */
gboolean soak_job_is_done (const struct soak_job *job);

gint64 soak_now_ms (void);

#endif
