/*
 * Keeps the configuration in force: from the platform's log, from snapshots
 * in the log, and from peers.
 *
 * coordination/config_log.h decides; this module reads the log, hands the
 * documents to the dispatcher, and writes the snapshots that fall to this VM.
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
 * Follows the streams that SETTINGS name and hands documents to the dispatcher
 * of HOME, which accepts jobs from the moment at which a configuration is
 * known.  HUB, which may be NULL, leads to the peers.  All three must outlive
 * the follower.
 */
struct config_follower *config_follower_new (const struct settings *settings,
                                             struct home *home,
                                             struct peer_hub *hub);
void config_follower_free (struct config_follower *follower);

/* What was decided so far.  Owned by FOLLOWER.  */
const struct config_log *
config_follower_get_log (const struct config_follower *follower);

/* Whether the platform's log answers.  */
gboolean
config_follower_is_log_available (const struct config_follower *follower);

/* Members of the state dump: "documents", by team, and "log".  The caller owns
   both.  */
json_t *
config_follower_dump_documents (const struct config_follower *follower);
json_t *config_follower_dump_log (const struct config_follower *follower);

#endif
