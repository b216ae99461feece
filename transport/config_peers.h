/*
 * Exchanges documents between the entry VMs.
 *
 * Heartbeats carry a digest of the documents in force.  A peer whose digest
 * differs and that has read further in the log is asked for its newer
 * documents, a page at a time.
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
   * A page of documents has come from a peer: those that were newer there than
   * here when it was asked.  DOCUMENTS, an array of struct document, is
   * borrowed.  NEXT is the log offset up to which the peer had decided every
   * change.  It is 0 when the peer misses records before it, when another page
   * follows, or when a document of this page was invalid.  Returns whether
   * anything changed here.
   */
  gboolean (*documents_received) (struct config_peers_owner *owner,
                                  const GPtrArray *documents, guint64 next);
};

/* Embedded in the struct of the owner.  */
struct config_peers_owner
{
  const struct config_peers_owner_ops *ops;
};

/* Exchanges the documents of LOG with the peers of HUB.  HUB, LOG and OWNER
   must outlive it.  */
struct config_peers *config_peers_new (struct peer_hub *hub,
                                       const struct config_log *log,
                                       struct config_peers_owner *owner);
void config_peers_free (struct config_peers *peers);

/* Sets the digest of STATE for the next heartbeats and starts a fetch if one
   is due.  To be called several times a second.  */
void config_peers_advance (struct config_peers *peers,
                           const struct config_sync_state *state);

#endif
