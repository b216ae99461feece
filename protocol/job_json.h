/*
 * The JSON that callers send and get: submissions, answers and errors.
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
  char *ticket;    /* NULL when the caller drew none */
  struct job *job; /* its id is empty until the home sets it */
};

/*
 * Parses a submission; relative times count from NOW_US.  Returns NULL with
 * ERROR_INVALID, listing all problems.  Free with submission_free ().
 */
struct submission *submission_parse (GBytes *body, gint64 now_us,
                                     GError **error);
void submission_free (struct submission *submission);

/*
 * Serialises the answer of JOB, which has finished, into job->answer and sets
 * job->answer_status.
 */
void job_build_answer (struct job *job);

/* The answer for a job that still runs.  */
GBytes *job_format_running (const struct job *job);

/* The body that reports ERROR to a caller.  JOB_ID may be NULL.  */
GBytes *error_format_answer (const GError *error, const char *job_id);

#endif
