/*
 * The home of jobs: the dispatcher of this process, driven from the main
 * loop, with its upstream client and the ids that it issues.
 */
#ifndef TRANSPORT_HOME_H
#define TRANSPORT_HOME_H

#include "coordination/dispatcher.h"
#include "coordination/ticket_window.h"
#include "protocol/job_json.h"
#include "protocol/peer_mac.h"
#include "protocol/settings.h"
#include "state/job_id.h"
#include "transport/upstream_client.h"

#include <glib.h>

/* How long a ticket may be used for a first submission, in milliseconds.  */
#define TICKET_LIFETIME_MS (10 * 60 * 1000)

/* The most tickets that are drawn at once.  */
#define MAX_TICKETS 10000

struct home;

/* A home with the names and limits of SETTINGS, which must outlive it.  */
struct home *home_new (const struct settings *settings);
void home_free (struct home *home);

/* Tells that the configuration is known.  Before, every job is refused with
   ERROR_NOT_RUN.  */
void home_set_configured (struct home *home);

struct dispatcher *home_get_dispatcher (struct home *home);
struct upstream_client *home_get_upstream_client (struct home *home);

/* What the home has to do at a moment.  */
struct home_load
{
  guint64 n_active_jobs;
  guint64 n_queued_tasks;
  guint64 n_running_tasks;
  guint64 job_bytes;
};

/* Adds up the load over all jobs, which takes time in proportion.  */
struct home_load home_count_load (struct home *home);

/* Tells this process from earlier ones of the same VM.  */
guint64 home_get_incarnation (const struct home *home);

/* A new ticket, which is a job id not yet used.  Free with g_free ().  */
char *home_issue_ticket (struct home *home);

/* From now on ids carry a MAC by MAC, which must outlive the home, and ids
   without a valid one are refused while it has keys.  */
void home_set_mac (struct home *home, const struct peer_mac *mac);

/*
 * Parses the id TEXT and checks its MAC.  Returns FALSE with ERROR_INVALID.
 */
gboolean home_parse_id (const struct home *home, const char *text,
                        struct job_id *id, GError **error);

/* Whether ID was issued by an earlier process of this VM.  */
gboolean home_is_from_earlier_process (const struct home *home,
                                       const struct job_id *id);

/* Whether ID was issued by this very process.  */
gboolean home_is_own_id (const struct home *home, const struct job_id *id);

/*
 * Submits the job of SUBMISSION, under its ticket or a new id.  A ticket that
 * was used before leads to the job that it started.  Returns the job, not
 * referenced for the caller, or NULL with ERROR when it was refused.
 */
struct job *home_submit_job (struct home *home, struct submission *submission,
                             GError **error);

/*
 * The job of that id, or NULL with an error: ERROR_NOT_FOUND for an id under
 * which no job was started, ERROR_EXPIRED when its answer is no longer kept.
 */
struct job *home_find_job (struct home *home, const char *id, GError **error);

/*
 * Makes WAITER wait for JOB.  Its answer function is called at once when the
 * job has finished already.
 */
void home_add_waiter (struct home *home, struct job *job,
                      struct job_waiter *waiter);

/* Cancels JOB; FALSE when it had finished before.  */
gboolean home_cancel_job (struct home *home, struct job *job);

/* Refuses new jobs from now on; tells through DRAINED, once, that nothing is
   left to do.  */
void home_drain (struct home *home, void (*drained) (gpointer data),
                 gpointer data);

/*
 * Answers every job that still runs, at the end of the longest time for a
 * drain: with an unknown outcome, or as not run when none of its tasks was
 * started.
 */
void home_abort_jobs (struct home *home);

#endif
