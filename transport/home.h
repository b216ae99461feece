/*
 * The home of a job is the process that issued the job's id.  It runs the job
 * and keeps the answer.  This module makes the process a home: it drives the
 * dispatcher and the upstream client from the main loop, and issues job ids.
 *
 * A ticket is a job id that was issued before its job was submitted.  Under
 * one ticket a job starts at most once, so a submission can be retried.
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

/* How long after its issue a ticket may start a job, in milliseconds.  */
#define TICKET_LIFETIME_MS (10 * 60 * 1000)

/* The most tickets that one request may ask for.  */
#define MAX_TICKETS 10000

struct home;

/* Creates a home with the VM name, zone and limits in SETTINGS, which must
   outlive it.  */
struct home *home_new (const struct settings *settings);
void home_free (struct home *home);

/* Tells that the configuration is known.  Until then every job is refused with
   ERROR_NOT_RUN.  */
void home_set_configured (struct home *home);

struct dispatcher *home_get_dispatcher (struct home *home);
struct upstream_client *home_get_upstream_client (struct home *home);

/* The current load of the home.  */
struct home_load
{
  guint64 n_active_jobs;
  guint64 n_queued_tasks;
  guint64 n_running_tasks;
  guint64 job_bytes; /* memory of all jobs, finished ones included */
};

/* Adds up the load.  Takes time in proportion to the number of jobs.  */
struct home_load home_count_load (struct home *home);

/* Identifies this process among all processes of its VM.  Grows with the time
   of the start.  */
guint64 home_get_incarnation (const struct home *home);

/* Issues a new ticket.  Free with g_free ().  */
char *home_issue_ticket (struct home *home);

/* Makes the ids issued from now on carry a MAC made with the keys of MAC.
   While MAC has keys, ids without a valid MAC are refused.  MAC must outlive
   the home.  */
void home_set_mac (struct home *home, const struct peer_mac *mac);

/*
 * Parses the job id TEXT into ID and checks its MAC.  Returns FALSE with
 * ERROR_INVALID when either fails.
 */
gboolean home_parse_id (const struct home *home, const char *text,
                        struct job_id *id, GError **error);

/* Whether ID was issued by an earlier process of this VM.  */
gboolean home_is_earlier_id (const struct home *home, const struct job_id *id);

/* Whether ID was issued by this process.  */
gboolean home_is_own_id (const struct home *home, const struct job_id *id);

/*
 * Submits the job of SUBMISSION under its ticket or a new id.  If the ticket
 * has started a job before, returns that job and starts nothing.  The caller
 * does not own the result.  Returns NULL with ERROR when the job was refused.
 */
struct job *home_submit_job (struct home *home, struct submission *submission,
                             GError **error);

/*
 * The job ID, which the caller does not own.  Returns NULL with
 * ERROR_NOT_FOUND if no job was started under ID, or with ERROR_EXPIRED if its
 * answer is no longer kept.
 */
struct job *home_find_job (struct home *home, const char *id, GError **error);

/*
 * Makes WAITER wait for the end of JOB.  If JOB has finished, the waiter's
 * answer function is called at once.
 */
void home_add_waiter (struct home *home, struct job *job,
                      struct job_waiter *waiter);

/* Cancels JOB.  Returns FALSE if it had finished before.  */
gboolean home_cancel_job (struct home *home, struct job *job);

/* Refuses new jobs from now on.  DRAINED is called once with DATA from the
   main loop, when no job is active and no task occupies an upstream, or after
   home_abort_jobs ().  */
void home_drain (struct home *home, void (*drained) (gpointer data),
                 gpointer data);

/*
 * Ends every active job at the deadline of a drain.  A job is answered with an
 * unknown outcome, or as not run if none of its tasks was started.
 */
void home_abort_jobs (struct home *home);

#endif
