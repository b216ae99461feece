/*
 * Internal declarations of the peer hub, for peer_hub*.c and their tests only.
 */
#ifndef TRANSPORT_PEER_HUB_PRIVATE_H
#define TRANSPORT_PEER_HUB_PRIVATE_H

#include "base/list.h"
#include "transport/heartbeat_sections.h"
#include "transport/leaving_vms.h"
#include "transport/peer_hub.h"
#include "transport/peer_socket.h"
#include "transport/vm_list.h"

struct peer_hub
{
  struct membership_driver driver;
  struct peer_socket_owner socket_owner;
  struct peer_rpc_owner rpc_owner;
  struct vm_list_owner list_owner;
  struct peer_heard_source *heard_source; /* NULL for none */
  const struct settings *settings;
  guint64 incarnation;
  guint64 name_hash; /* of this VM's name, as heartbeats carry it */
  guint port;        /* of both sockets */
  struct membership *membership;
  struct peer_mac *mac;
  struct peer_socket *socket;
  struct peer_service *service;
  struct vm_list *vm_list;     /* NULL if the settings name none */
  struct leaving_vms *leaving; /* VMs of any role */
  struct heartbeat_sections *sections;
  struct list_node listeners; /* struct peer_listener by link */
  struct list_node checks;    /* struct peer_check by link */
  guint32 sequence;           /* of the last heartbeat sent to any peer */
  gboolean is_leaving;
  gboolean is_closing; /* peer_hub_free () is running */
  guint tick_source;
  gint64 next_housekeeping_us;
  guint n_housekeepings; /* calls of peer_hub_contact_seeds () */
  gint64 next_refused_report_us;
  guint64 n_refused_reported;
  struct peer_hub_counts counts;
};

/* The hub's data for a peer, in peer->transport_data.  */
struct peer_link
{
  char *address_text;
  GSocketAddress *address;
  struct heartbeat_progress progress;
  struct peer_rpc *rpc;       /* NULL before the first call */
  struct peer_rpc *spare_rpc; /* for peer_hub_call_anew (); NULL before */
  guint64 call_sequence; /* of the last call to the peer, on any connection */
  guint64 incarnation;   /* this, state and is_leaving: as last passed to
                            the listeners */
  enum peer_state state;
  gboolean is_leaving;
};

/* The hub's data for PEER, created at the first use, with its address brought
   up to date.  */
struct peer_link *peer_hub_get_link (struct peer *peer);

/* Sending and receiving heartbeats: peer_hub_heartbeats.c.  */
extern const struct peer_socket_owner_ops peer_hub_socket_ops;
void peer_hub_send_heartbeat (struct membership_driver *driver,
                              struct peer *peer,
                              const struct membership_heartbeat *options);

/* Sends a heartbeat that introduces this VM to those seeds whose address does
   not belong to a live or known peer.  To be called once per housekeeping.  */
void peer_hub_contact_seeds (struct peer_hub *hub);

/* Checks of suspected peers: peer_hub_checks.c.  */
void peer_hub_check_peer (struct membership_driver *driver, struct peer *peer,
                          struct peer *via, guint check_id,
                          gint64 deadline_us);
void peer_hub_serve_ping (struct peer_request *request, const void *arguments,
                          gpointer data);
void peer_hub_free_checks (struct peer_hub *hub);

#endif
