/*
 * Chooses the VMs of other zones to exchange heartbeats with.
 */
#ifndef COORDINATION_MEMBERSHIP_LINKS_H
#define COORDINATION_MEMBERSHIP_LINKS_H

#include "coordination/membership.h"

/*
 * Sets is_chosen of the N_REMOTE_LINKS peers (struct peer) of other zones that
 * have the highest rendezvous weight with this VM, and clears it of all other
 * peers.  Skips dead peers and those whose zone is not known.
 */
void membership_choose_links (GPtrArray *peers, guint64 own_hash);

#endif
