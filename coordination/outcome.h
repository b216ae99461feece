/*
 * What is known about a task when an attempt to run it on an upstream has
 * ended.
 *
 * One table maps the way in which the attempt ended to a verdict.  A task is
 * moved to another upstream only when it certainly did not run.
 */
#ifndef COORDINATION_OUTCOME_H
#define COORDINATION_OUTCOME_H

#include <glib.h>

/* How an attempt to run a task ended, as the transport saw it.  */
enum attempt_end
{
  ATTEMPT_NOT_SENT,                   /* no byte written */
  ATTEMPT_DISCONNECTED_IN_REQUEST,    /* some bytes written, maybe not all */
  ATTEMPT_DISCONNECTED_BEFORE_ANSWER, /* all bytes written, no answer */
  ATTEMPT_DISCONNECTED_IN_ANSWER,     /* the answer was incomplete */
  ATTEMPT_TIMED_OUT,                  /* no answer before the deadline */
  ATTEMPT_ANSWER_DONE,                /* outcome "done" with a valid output */
  ATTEMPT_ANSWER_FAILED,              /* outcome "failed" */
  ATTEMPT_ANSWER_NOT_RUN,             /* outcome "not-run" */
  ATTEMPT_ANSWER_STOPPED,             /* outcome "stopped" */
  ATTEMPT_ANSWER_TOO_LARGE,           /* the output is over its limit */
  ATTEMPT_ANSWER_MALFORMED,  /* outcome "done" with an invalid output */
  ATTEMPT_ANSWER_NO_OUTCOME, /* an answer without a known outcome */
  ATTEMPT_LEASE_EXPIRED,     /* not renewed while the task ran */
  ATTEMPT_END_COUNT
};

enum verdict
{
  VERDICT_DONE,    /* it ran and succeeded */
  VERDICT_FAILED,  /* it ran and did not succeed */
  VERDICT_NOT_RUN, /* it certainly did not run and may be moved to another
                      upstream */
  VERDICT_UNKNOWN, /* it may have run */
};

struct attempt_verdict
{
  enum verdict verdict;
  const char *reason; /* a clause for the error message; static */
};

/* The verdict on an attempt that ended with END.  */
struct attempt_verdict outcome_classify (enum attempt_end end);

#endif
