/*
 * Renewal and expiry of the leases of running tasks.
 */
#ifndef COORDINATION_LEASES_H
#define COORDINATION_LEASES_H

#include "coordination/dispatcher_private.h"

/*
 * Renews the leases that are due for renewal, and fails the jobs that have a
 * task with an expired lease.  When the process WAS_PAUSED, renews all leases
 * and expires none: the answers to earlier renewals may still be unread.
 */
void leases_update (struct dispatcher *dispatcher, gboolean was_paused,
                    gint64 now_us);

#endif
