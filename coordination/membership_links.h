/*
 * Which VMs of other zones to exchange heartbeats with.
 */
#ifndef COORDINATION_MEMBERSHIP_LINKS_H
#define COORDINATION_MEMBERSHIP_LINKS_H

#include "coordination/membership.h"

/*
 * Sets is_chosen of the N_REMOTE_LINKS peers (struct peer) of other zones
 * whose rendezvous weight with this VM is highest; peers that are known to be
 * gone are passed over.
 */
void choose_links (GPtrArray *peers, guint64 own_hash);

#endif
