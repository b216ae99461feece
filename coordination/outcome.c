#include "coordination/outcome.h"

static const struct attempt_verdict verdicts[ATTEMPT_END_COUNT] = {
  [ATTEMPT_NOT_SENT] = { VERDICT_NOT_RUN, "the request was not sent" },
  [ATTEMPT_DISCONNECTED_IN_REQUEST]
  = { VERDICT_UNKNOWN,
      "the connection broke while the request was being sent" },
  [ATTEMPT_DISCONNECTED_BEFORE_ANSWER]
  = { VERDICT_UNKNOWN, "the connection broke before the answer" },
  [ATTEMPT_DISCONNECTED_IN_ANSWER]
  = { VERDICT_UNKNOWN, "the connection broke during the answer" },
  [ATTEMPT_TIMED_OUT]
  = { VERDICT_UNKNOWN, "no answer came before the deadline" },
  [ATTEMPT_ANSWER_DONE] = { VERDICT_DONE, "done" },
  [ATTEMPT_ANSWER_FAILED] = { VERDICT_FAILED, "the task failed" },
  [ATTEMPT_ANSWER_NOT_RUN]
  = { VERDICT_NOT_RUN, "the upstream refused to start the task" },
  [ATTEMPT_ANSWER_STOPPED]
  = { VERDICT_FAILED, "the upstream stopped the task" },
  [ATTEMPT_ANSWER_TOO_LARGE]
  = { VERDICT_FAILED, "the output exceeds the service's limit" },
  [ATTEMPT_ANSWER_MALFORMED]
  = { VERDICT_FAILED, "the output is not valid JSON" },
  [ATTEMPT_ANSWER_NO_OUTCOME]
  = { VERDICT_UNKNOWN, "the answer does not tell the outcome" },
  [ATTEMPT_LEASE_EXPIRED]
  = { VERDICT_UNKNOWN, "the lease expired while the task was running" },
};

struct attempt_verdict
outcome_classify (enum attempt_end end)
{
  return verdicts[end];
}
