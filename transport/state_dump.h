/*
 * Builds the state dump of an entry VM's process for operators and tests.
 */
#ifndef TRANSPORT_STATE_DUMP_H
#define TRANSPORT_STATE_DUMP_H

#include "protocol/settings.h"
#include "transport/config_follower.h"
#include "transport/home.h"

#include <jansson.h>

/* The state of the process, HOME and CONFIG as a new JSON object, which the
   caller owns.  */
json_t *state_dump_build (const struct settings *settings, struct home *home,
                          const struct config_follower *config);

#endif
