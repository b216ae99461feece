/*
 * Submission of a job to one of several entry VMs, with or without retries.
 *
 * With retries, every submission carries a ticket, under which the job starts
 * at most once.  The ticket is replaced by a new one only if no submission
 * under it can still start a task: either none was sent, or the VM that issued
 * the ticket has replied that it is draining and does not know the job.
 */
#ifndef COMMANDS_SUBMISSION_H
#define COMMANDS_SUBMISSION_H

#include "commands/cli.h"

/* The parameters and the state of one submission.  The caller sets the fields
   up to IS_RETRYING, zeroes the others, and frees ISSUED_TICKET.  */
struct job_submission
{
  const struct cli_client_options *options;
  struct client *client;
  json_t *job;          /* borrowed; gets the member "ticket" */
  const char *ticket;   /* given by the user, or NULL */
  gint64 deadline_us;   /* of the whole submission, on clock_now_us () */
  gboolean is_async;    /* do not wait for the job to finish */
  gboolean is_retrying; /* request a ticket and try all entry VMs in turn */
  char *issued_ticket;  /* requested by job_submission_run (), or NULL */
  guint issuer_index;   /* of the entry VM that issued ISSUED_TICKET */
  gboolean is_possibly_sent; /* a VM may have received the job under the
                                ticket */
};

/* Submits the job.  Returns the JSON of the response, which the caller owns,
   or NULL with ERROR.  Without retries it sends one request, to the first
   entry VM.  */
json_t *job_submission_run (struct job_submission *submission, GError **error);

/*
 * Polls the job in ACCEPTED, the JSON that job_submission_run () returned,
 * until it has finished.  Takes ownership of ACCEPTED.  Returns the JSON of
 * the last response, which the caller owns, or NULL with ERROR.
 */
json_t *job_submission_wait (struct job_submission *submission,
                             json_t *accepted, GError **error);

#endif
