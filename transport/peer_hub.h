/*
 * The peers of this entry VM: who is alive, heartbeats, and calls to them.
 *
 * One UDP socket and one TCP listener on the same port, both on the main loop.
 * Membership decides who is alive; this module carries its messages.
 *
 * Calls are ONC RPC over one kept connection a peer, many in flight at once.
 * Each call has its own deadline; a connection on which a call went unanswered
 * is given up, and the next call tries a fresh one.  A call is sent at most
 * once.  When the settings have keys, everything that comes in without a valid
 * MAC is dropped before it is looked at.
 */
#ifndef TRANSPORT_PEER_HUB_H
#define TRANSPORT_PEER_HUB_H

#include "base/list.h"
#include "coordination/membership.h"
#include "protocol/peer_mac.h"
#include "protocol/peer_xdr.h"
#include "protocol/settings.h"
#include "transport/peer_rpc.h"
#include "transport/peer_service.h"

#include <glib.h>

struct peer_hub;
struct peer_listener;

struct peer_listener_ops
{
  /* PEER has changed: its state, its incarnation or its leaving flag; see
     coordination/membership.h.  May be NULL.  */
  void (*peer_changed) (struct peer_listener *listener,
                        const struct peer *peer);

  /* The digest of PEER's documents came in.  May be NULL.  */
  void (*digest_received) (struct peer_listener *listener,
                           const struct peer *peer,
                           const heartbeat_digest *digest);

  /* A new summary of PEER's load came in; it replaces the one before.  May be
     NULL.  */
  void (*loads_received) (struct peer_listener *listener,
                          const struct peer *peer, const heartbeat_load *loads,
                          guint n_loads);

  /* The VM of that name, of any role, is leaving or is back: from the
     platform's list or from a peer that has read it.  Told again every second
     while it is leaving.  May be NULL.  */
  void (*vm_leaving) (struct peer_listener *listener, const char *vm,
                      gboolean is_leaving);
};

/* The first member of whoever wants to be told.  */
struct peer_listener
{
  const struct peer_listener_ops *ops;
  struct list_node link; /* for the hub's use */
};

/*
 * Opens the sockets on settings->peer_listen; INCARNATION is that of this
 * process.  SETTINGS must outlive the hub.  Returns NULL with ERROR.
 */
struct peer_hub *peer_hub_new (const struct settings *settings,
                               guint64 incarnation, GError **error);

/* Closes everything; calls in flight are answered with ERROR_UNAVAILABLE.  */
void peer_hub_free (struct peer_hub *hub);

/* The port of both sockets.  */
guint peer_hub_get_port (const struct peer_hub *hub);

/* Tells LISTENER of changes until it is removed or the hub is freed.  */
void peer_hub_add_listener (struct peer_hub *hub,
                            struct peer_listener *listener);
void peer_hub_remove_listener (struct peer_hub *hub,
                               struct peer_listener *listener);

/* Replaces the list of entry VMs, for settings that name no list of the
   platform's.  */
void peer_hub_apply_vms (struct peer_hub *hub, const struct listed_vm *vms,
                         guint n_vms);

/* Who is there: membership_find (), membership_foreach ().  */
const struct membership *peer_hub_get_membership (const struct peer_hub *hub);

/* Replaces the digest that heartbeats carry; a changed one goes out with the
   next round.  */
void peer_hub_set_digest (struct peer_hub *hub, guint64 versions,
                          guint64 next_offset);

/*
 * Replaces the summary of load that heartbeats to this zone's VMs carry; at
 * most HEARTBEAT_LOADS_MAX entries.  A changed one goes out with the next
 * round; set entries only where something is queued or free.
 */
void peer_hub_set_loads (struct peer_hub *hub, const heartbeat_load *loads,
                         guint n_loads);

/* Calls VISIT for every VM, of any role, that is leaving.  */
void peer_hub_foreach_leaving (const struct peer_hub *hub,
                               void (*visit) (const char *vm, gpointer data),
                               gpointer data);

/* Tells the peers that this VM takes no new work.  */
void peer_hub_set_leaving (struct peer_hub *hub);

/* Replaces the keys, hexadecimal as in the settings.  An empty list turns
   authentication off.  */
void peer_hub_set_keys (struct peer_hub *hub, const GPtrArray *keys);

/* The keys in force.  */
const struct peer_mac *peer_hub_get_mac (const struct peer_hub *hub);

/*
 * Makes HANDLER serve PROCEDURE, as in PEER_FORWARD.  Its ARGUMENTS, of the
 * type that protocol/peer.x gives, live only during the call.  The handler
 * calls peer_request_reply () or peer_request_fail () once, then or later.
 */
void peer_hub_serve (struct peer_hub *hub, guint procedure,
                     peer_handler *handler, gpointer data);

/*
 * peer_service.h has, for handlers:
 *
 * peer_request_get_sender () - the name of the VM that calls;
 * peer_request_is_connected () - whether a reply could still reach that VM.
 * peer_request_reply () - answers with a result of the type that peer.x gives,
 *   serialised before it returns, and frees the request;
 * peer_request_fail () - answers that the procedure cannot be served.
 *
 * A peer_answer () is the end of a call.  Its RESULT, of the type that peer.x
 * gives, lives only during the call; it is NULL with ERROR set otherwise:
 * ERROR_NOT_RUN when no byte of the call was written, ERROR_UNAVAILABLE when
 * it may have reached the peer.
 */

/*
 * Calls PROCEDURE on the VM of that name.  ANSWER is called once from the main
 * loop, at DEADLINE_US (of clock_now_us ()) at the latest, and never before
 * this function has returned.
 */
void peer_hub_call (struct peer_hub *hub, const char *vm, guint procedure,
                    const void *arguments, gint64 deadline_us,
                    peer_answer *answer, gpointer data);

/* Calls of peers that wait for this VM's reply.  */
guint peer_hub_count_requests (const struct peer_hub *hub);

/* Traffic so far.  Bytes of datagrams include 28 bytes a datagram for IP and
   UDP.  */
struct peer_hub_counts
{
  guint64 datagrams_sent;
  guint64 datagrams_received;
  guint64 datagrams_refused; /* junk, wrong MAC, replayed */
  guint64 bytes_sent;
  guint64 bytes_received;
  guint64 checks_sent; /* calls that look after a suspect */
  guint64 calls_served;
  guint64 calls_refused; /* junk, wrong MAC, replayed */
};

const struct peer_hub_counts *peer_hub_get_counts (const struct peer_hub *hub);

#endif
