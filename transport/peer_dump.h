/*
 * The state of this VM's peers and of the traffic with them, as JSON for
 * operators.
 */
#ifndef TRANSPORT_PEER_DUMP_H
#define TRANSPORT_PEER_DUMP_H

#include "transport/peer_hub.h"

#include <jansson.h>

/* Adds to the object STATE: "peers", an array of one object for each peer;
   "leaving_vms", the names of the leaving VMs of any role; "peer_messages",
   the traffic counts so far.  */
void peer_dump_add (const struct peer_hub *hub, json_t *state);

#endif
