/*
 * Leases of running tasks: their renewal and their lapse.
 */
#ifndef COORDINATION_LEASES_H
#define COORDINATION_LEASES_H

#include "coordination/dispatcher_private.h"

/*
 * Renews what is due and fails the jobs of which a lease has lapsed.  After a
 * pause of the process, IS_LATE, nothing is judged: renewals that have been
 * answered meanwhile are still to be read.
 */
void leases_tend (struct dispatcher *dispatcher, gboolean is_late,
                  gint64 now_us);

#endif
