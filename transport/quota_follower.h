/*
 * Tells the dispatcher which part of every quota is this VM's.
 */
#ifndef TRANSPORT_QUOTA_FOLLOWER_H
#define TRANSPORT_QUOTA_FOLLOWER_H

#include "coordination/dispatcher.h"
#include "protocol/settings.h"
#include "transport/peer_hub.h"

struct quota_follower;

/* Follows the settings and the list of VMs that HUB reads.  All three must
   outlive the follower.  */
struct quota_follower *quota_follower_new (const struct settings *settings,
                                           struct dispatcher *dispatcher,
                                           const struct peer_hub *hub);
void quota_follower_free (struct quota_follower *follower);

#endif
