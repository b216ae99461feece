#include "coordination/order_refusal.h"

struct order_credentials
order_credentials_get (const struct owned_upstream *upstream)
{
  struct order_credentials credentials
      = { .token = upstream->token,
          .instance_start_ms = upstream->instance_start_ms };

  return credentials;
}

/* Whether END tells only of what the owner knows already.  */
static gboolean
is_outdated (const struct owned_upstream *upstream,
             const struct order_credentials *sent, enum order_end end)
{
  if (end == ORDER_FENCED)
    return sent->token < upstream->token;
  return end == ORDER_OTHER_INSTANCE
         && sent->instance_start_ms != upstream->instance_start_ms;
}

enum order_end
order_judge_refusal (const struct owned_upstream *upstream,
                     const struct order_credentials *sent, gboolean is_start,
                     enum order_end end)
{
  if (!is_outdated (upstream, sent, end))
    return end;
  /* A stop that counted as rejected would be taken for acknowledged.  */
  return is_start ? ORDER_REJECTED : ORDER_UNANSWERED;
}
