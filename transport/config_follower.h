/*
 * Keeps the configuration up to date from the platform's log, from snapshots
 * in that log, and from peers.
 *
 * coordination/config_log.h decides which documents are in force.  This module
 * reads the log, passes the documents to the dispatcher, and writes the
 * snapshots for which this VM is chosen.
 */
#ifndef TRANSPORT_CONFIG_FOLLOWER_H
#define TRANSPORT_CONFIG_FOLLOWER_H

#include "base/list.h"
#include "coordination/config_log.h"
#include "protocol/settings.h"
#include "transport/home.h"
#include "transport/peer_hub.h"

#include <jansson.h>

struct config_follower;

/*
 * Follows the streams named in SETTINGS and passes documents to the dispatcher
 * of HOME.  HOME accepts jobs once a configuration is known.  HUB gives access
 * to the peers; NULL means that there are none.  All three must outlive the
 * follower.
 */
struct config_follower *config_follower_new (const struct settings *settings,
                                             struct home *home,
                                             struct peer_hub *hub);
void config_follower_free (struct config_follower *follower);

/* The documents in force and how far the log is read.  Owned by FOLLOWER.  */
const struct config_log *
config_follower_get_log (const struct config_follower *follower);

/* Whether the last read of the platform's log was answered.  */
gboolean
config_follower_is_log_available (const struct config_follower *follower);

/* The members "documents", with a key for each team, and "log" of the state
   dump.  The caller owns the references.  */
json_t *
config_follower_dump_documents (const struct config_follower *follower);
json_t *config_follower_dump_log (const struct config_follower *follower);

#endif
