/*
 * How a document comes into force: teams, pools and upstreams follow it.
 */
#ifndef COORDINATION_ROLLOUT_H
#define COORDINATION_ROLLOUT_H

#include "coordination/dispatcher_private.h"

/* Applies DOCUMENT, which is newer than the one in force.  */
void rollout_apply (struct dispatcher *dispatcher, struct document *document,
                    gint64 now_us);

/* Works out all shutdown dates on the dispatcher's clock.  */
void rollout_update_shutdowns (struct dispatcher *dispatcher);

#endif
