/*
 * The inside of the peer hub, for its own files only.
 */
#ifndef TRANSPORT_PEER_HUB_PRIVATE_H
#define TRANSPORT_PEER_HUB_PRIVATE_H

#include "base/list.h"
#include "transport/beat_sections.h"
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
  const struct settings *settings;
  guint64 incarnation;
  guint64 name_hash;
  guint port;
  struct membership *membership;
  struct peer_mac *mac;
  struct peer_socket *socket;
  struct peer_service *service;
  struct vm_list *vm_list;
  struct leaving_vms *leaving;
  struct beat_sections *sections;
  struct list_node listeners; /* struct peer_listener by link */
  struct list_node checks;    /* struct check by link */
  guint32 sequence;
  gboolean is_leaving;
  gboolean is_closing;
  guint tick_source;
  gint64 housekeeping_us;
  guint n_housekeepings;
  gint64 refused_report_us;
  guint64 refused_reported;
  struct peer_hub_counts counts;
};

/* What the hub keeps for a peer.  */
struct link
{
  char *address_text;
  GSocketAddress *address;
  struct beat_progress progress;
  struct peer_rpc *rpc;
  guint64 call_sequence;
  guint64 incarnation; /* as of the last change */
  enum peer_state state;
  gboolean is_leaving;
};

/* What the hub keeps for PEER, its address up to date.  */
struct link *peer_hub_link (struct peer *peer);

/* Heartbeats out and in: peer_hub_beats.c.  */
extern const struct peer_socket_owner_ops peer_hub_socket_ops;
void peer_hub_send_beat (struct membership_driver *driver, struct peer *peer,
                         const struct membership_heartbeat *beat);

/* Introduces this VM to the seeds that no live peer stands for.  */
void peer_hub_greet_seeds (struct peer_hub *hub);

/* Looking after suspects: peer_hub_checks.c.  */
void peer_hub_check_peer (struct membership_driver *driver, struct peer *peer,
                          struct peer *via, guint check_id,
                          gint64 deadline_us);
void peer_hub_serve_ping (struct peer_request *request, const void *arguments,
                          gpointer data);
void peer_hub_free_checks (struct peer_hub *hub);

#endif
