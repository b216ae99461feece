/*
 * Tells the dispatcher which part of every team's quota this VM may use; see
 * coordination/quota_part.h.
 */
#ifndef TRANSPORT_QUOTA_FOLLOWER_H
#define TRANSPORT_QUOTA_FOLLOWER_H

#include "coordination/dispatcher.h"
#include "protocol/settings.h"
#include "transport/peer_hub.h"

struct quota_follower;

/* Computes the part from SETTINGS and the entry VMs that HUB knows, and passes
   it to DISPATCHER.  All three must outlive the follower.  */
struct quota_follower *quota_follower_new (const struct settings *settings,
                                           struct dispatcher *dispatcher,
                                           const struct peer_hub *hub);
void quota_follower_free (struct quota_follower *follower);

#endif
