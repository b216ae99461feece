#include "transport/peer_dump.h"

static void
add_peer (struct peer *peer, gpointer data)
{
  json_t *peers = data;

  json_array_append_new (
      peers,
      json_pack ("{s:s, s:s, s:s?, s:s, s:I, s:b, s:b}", "vm", peer->name,
                 "availability_zone", peer->availability_zone, "address",
                 peer->address, "state", peer_state_name (peer->state),
                 "incarnation", (json_int_t)peer->incarnation, "leaving",
                 peer->is_leaving, "linked", peer->is_linked));
}

static void
add_leaving (const char *vm, gpointer data)
{
  json_t *leaving = data;

  json_array_append_new (leaving, json_string (vm));
}

void
peer_dump_add (const struct peer_hub *hub, json_t *state)
{
  const struct peer_hub_counts *counts = peer_hub_get_counts (hub);
  json_t *leaving = json_array ();
  json_t *peers = json_array ();
  json_t *messages = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "datagrams_sent",
      (json_int_t)counts->datagrams_sent, "datagrams_received",
      (json_int_t)counts->datagrams_received, "datagrams_refused",
      (json_int_t)counts->datagrams_refused, "bytes_sent",
      (json_int_t)counts->bytes_sent, "bytes_received",
      (json_int_t)counts->bytes_received, "checks_sent",
      (json_int_t)counts->checks_sent, "calls_served",
      (json_int_t)counts->calls_served, "calls_refused",
      (json_int_t)counts->calls_refused);

  membership_foreach (peer_hub_get_membership (hub), add_peer, peers);
  peer_hub_foreach_leaving (hub, add_leaving, leaving);
  json_object_set_new (state, "leaving_vms", leaving);
  json_object_set_new (state, "peers", peers);
  json_object_set_new (state, "peer_messages", messages);
}
