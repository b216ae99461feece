/*
 * Puts documents in force as they are published in the platform's log.
 */
#ifndef TRANSPORT_CONFIG_FOLLOWER_H
#define TRANSPORT_CONFIG_FOLLOWER_H

#include "coordination/dispatcher.h"
#include "protocol/settings.h"

struct config_follower;

/* Follows the stream that SETTINGS name and hands documents to DISPATCHER;
   both must outlive the follower.  */
struct config_follower *config_follower_new (const struct settings *settings,
                                             struct dispatcher *dispatcher);
void config_follower_free (struct config_follower *follower);

#endif
