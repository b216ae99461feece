/*
 * The JSON bodies of requests and responses of callers: submissions, answers
 * and errors.
 */
#ifndef PROTOCOL_JOB_JSON_H
#define PROTOCOL_JOB_JSON_H

#include "state/job.h"

#include <glib.h>

/* The longest time until a job's deadline, in milliseconds.  */
#define JOB_MAX_DEADLINE_MS (10 * 60 * 1000)

/* A parsed submission.  */
struct submission
{
  char *ticket;    /* NULL when the submission has none */
  struct job *job; /* its id is empty until the job's home sets it */
};

/*
 * Parses a submission.  Relative times count from NOW_US of clock_now_us ().
 * Returns NULL with ERROR_INVALID that lists every problem.  Free with
 * submission_free ().
 */
struct submission *submission_parse (GBytes *body, gint64 now_us,
                                     GError **error);
void submission_free (struct submission *submission);

/*
 * Serialises the answer of JOB, which has finished, into job->answer and sets
 * job->answer_status to its HTTP status.  Frees the inputs and outputs of the
 * tasks.
 */
void job_build_answer (struct job *job);

/* The response body for a job that is still running.  A new reference.  */
GBytes *job_format_running (const struct job *job);

/* The response body that reports ERROR to a caller.  JOB_ID may be NULL.  A
   new reference.  */
GBytes *error_format_answer (const GError *error, const char *job_id);

#endif
