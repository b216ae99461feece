/*
 * Applies a document: updates the team, its pools and their upstreams.
 */
#ifndef COORDINATION_ROLLOUT_H
#define COORDINATION_ROLLOUT_H

#include "coordination/dispatcher_private.h"

/* Applies DOCUMENT, which is newer than the one in force.  */
void rollout_apply (struct dispatcher *dispatcher, struct document *document,
                    gint64 now_us);

/* Recomputes the shutdown deadlines of all services, after a change of the
   offset of Unix time.  */
void rollout_update_shutdowns (struct dispatcher *dispatcher);

#endif
