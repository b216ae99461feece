/*
 * Passes documents between the entry VMs.
 *
 * Heartbeats carry the digest of what is in force here; a peer that differs
 * and has read further is asked for its newer documents, a page at a time.
 */
#ifndef TRANSPORT_CONFIG_PEERS_H
#define TRANSPORT_CONFIG_PEERS_H

#include "base/list.h"
#include "coordination/config_log.h"
#include "coordination/config_sync.h"
#include "transport/peer_hub.h"

struct config_peers;
struct config_peers_owner;

struct config_peers_owner_ops
{
  /*
   * DOCUMENTS came from a peer, newer ones than were here.  NEXT is the
   * offset up to which the peer had decided every change, or 0 when it does
   * not know or more documents follow.  Returns whether anything changed.
   */
  gboolean (*documents_received) (struct config_peers_owner *owner,
                                  const GPtrArray *documents, guint64 next);
};

/* The first member of whoever owns a struct config_peers.  */
struct config_peers_owner
{
  const struct config_peers_owner_ops *ops;
};

/* HUB, LOG and OWNER must outlive it.  */
struct config_peers *config_peers_new (struct peer_hub *hub,
                                       const struct config_log *log,
                                       struct config_peers_owner *owner);
void config_peers_free (struct config_peers *peers);

/* Publishes the digest of STATE and begins a fetch that is due.  */
void config_peers_advance (struct config_peers *peers,
                           const struct config_sync_state *state);

#endif
