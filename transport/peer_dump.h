/*
 * What a VM sees of its peers, as JSON for operators.
 */
#ifndef TRANSPORT_PEER_DUMP_H
#define TRANSPORT_PEER_DUMP_H

#include "transport/peer_hub.h"

#include <jansson.h>

/* Adds "peers", one object each, "leaving_vms", the names of VMs of any role,
   and "peer_messages", the traffic so far, to the object STATE.  */
void peer_dump_add (const struct peer_hub *hub, json_t *state);

#endif
