/*
 * What is known about a task when its attempt at an upstream has ended.
 *
 * The one table that turns the way an attempt ended into a verdict.  A task
 * is moved to another upstream only when it is certain that it did not run.
 */
#ifndef COORDINATION_OUTCOME_H
#define COORDINATION_OUTCOME_H

#include <glib.h>

/* How an attempt to run a task ended, as the transport saw it.  */
enum attempt_end
{
  ATTEMPT_NOT_SENT,                /* no byte of the request was written */
  ATTEMPT_DISCONNECTED_IN_REQUEST, /* some bytes were written, maybe not all */
  ATTEMPT_DISCONNECTED_BEFORE_ANSWER, /* all was written, no answer came */
  ATTEMPT_DISCONNECTED_IN_ANSWER, /* the answer ended before it was whole */
  ATTEMPT_TIMED_OUT,              /* nothing came until the deadline */
  ATTEMPT_ANSWER_DONE,            /* outcome "done" with a valid output */
  ATTEMPT_ANSWER_FAILED,          /* outcome "failed" */
  ATTEMPT_ANSWER_NOT_RUN,         /* outcome "not-run" */
  ATTEMPT_ANSWER_STOPPED,         /* outcome "stopped" */
  ATTEMPT_ANSWER_TOO_LARGE,       /* the output is over its limit */
  ATTEMPT_ANSWER_MALFORMED,       /* outcome "done" with an invalid output */
  ATTEMPT_ANSWER_NO_OUTCOME,      /* an answer without a known outcome */
  ATTEMPT_LEASE_EXPIRED,          /* the lease passed while it ran */
  ATTEMPT_END_COUNT
};

enum verdict
{
  VERDICT_DONE,    /* the task is complete */
  VERDICT_FAILED,  /* it ran, and did not succeed */
  VERDICT_NOT_RUN, /* it certainly did not run; another upstream may */
  VERDICT_UNKNOWN, /* it may have run */
};

struct attempt_verdict
{
  enum verdict verdict;
  const char *reason; /* for the caller; static */
};

/* The verdict on an attempt that ended in END.  */
struct attempt_verdict outcome_classify (enum attempt_end end);

#endif
