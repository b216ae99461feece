/*
 * Judges refusals of orders that are older than what the owner knows.
 *
 * An upstream refuses an order whose token is too low, or that is meant for
 * another instance of it.  Usually this tells that the upstream has another
 * owner, or has restarted.  But the order may have been sent before this owner
 * took the upstream again with a higher token, or learned of the restart:
 * then the refusal tells only that the order had no effect.  Does no I/O.
 */
#ifndef COORDINATION_ORDER_REFUSAL_H
#define COORDINATION_ORDER_REFUSAL_H

#include "coordination/owner.h"

/* What an order carried when it was sent.  */
struct order_credentials
{
  guint64 token;
  gint64 instance_start_ms; /* of the instance that it was meant for; 0 when
                               not known */
};

/* The credentials of an order that is sent to UPSTREAM now.  */
struct order_credentials
order_credentials_get (const struct owned_upstream *upstream);

/* The outcome to report to the owner of an order, a start if IS_START, that
   was sent to UPSTREAM with SENT and ended with END.  */
enum order_end order_judge_refusal (const struct owned_upstream *upstream,
                                    const struct order_credentials *sent,
                                    gboolean is_start, enum order_end end);

#endif
