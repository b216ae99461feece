/*
 * Submitting a job to one of several entry VMs, once or repeatedly.
 *
 * A repeated submission always carries a ticket.  The ticket is replaced by a
 * fresh one only while it is certain that no submission under it can start
 * anything any more: none was sent, or the VM that issued it has said that it
 * is leaving and does not know the job.
 */
#ifndef COMMANDS_JOB_SUBMISSION_H
#define COMMANDS_JOB_SUBMISSION_H

#include "commands/cli.h"

struct job_submission
{
  const struct cli_client_options *options;
  struct client *client;
  json_t *job;
  const char *ticket; /* given by the user, or NULL */
  gint64 deadline_us; /* for everything together */
  gboolean is_async;
  gboolean is_retrying;
  char *issued_ticket; /* set by job_submission_run (); owned */
  guint issuer;        /* index of the entry VM that issued it */
  gboolean is_sent;    /* a submission under the ticket left this process */
};

/* The answer, which the caller owns, or NULL with ERROR.  */
json_t *job_submission_run (struct job_submission *plan, GError **error);

/*
 * Asks for the job that ACCEPTED names until it has finished.  Frees ACCEPTED
 * and returns the last answer, or NULL with ERROR.
 */
json_t *job_submission_wait (struct job_submission *plan, json_t *accepted,
                             GError **error);

#endif
