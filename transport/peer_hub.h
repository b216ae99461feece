/*
 * Communication with the peers of this entry VM: heartbeats, membership and
 * remote procedure calls.
 *
 * Uses one UDP socket and one TCP listener on the same port, both on the main
 * loop.  coordination/membership.h decides which peers are alive; this module
 * sends and receives its messages.
 *
 * Calls are ONC RPC over one persistent connection to each peer, with many
 * calls in flight at once.  Each call has its own deadline.  A connection that
 * has gone silent is dropped, and the next call opens a new one; see
 * peer_rpc.h.  A call is sent at most once.  If the settings have keys, every
 * message without a valid MAC is dropped before its content is used.
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

  /* The digest of PEER's documents was received.  May be NULL.  */
  void (*digest_received) (struct peer_listener *listener,
                           const struct peer *peer,
                           const heartbeat_digest *digest);

  /* A new summary of PEER's load was received; it replaces the previous one.
     May be NULL.  */
  void (*loads_received) (struct peer_listener *listener,
                          const struct peer *peer, const heartbeat_load *loads,
                          guint n_loads);

  /* The VM named VM, of any role, is leaving or is back, according to the
     platform's list or to a peer that has read it.  Called again every second
     while the VM is leaving.  May be NULL.  */
  void (*vm_leaving) (struct peer_listener *listener, const char *vm,
                      gboolean is_leaving);
};

/* The first member of an object that is notified.  */
struct peer_listener
{
  const struct peer_listener_ops *ops;
  struct list_node link; /* for the hub's use */
};

/*
 * Opens the sockets on settings->peer_listen.  INCARNATION is that of this
 * process.  SETTINGS must outlive the hub.  Returns NULL and sets ERROR on
 * failure.
 */
struct peer_hub *peer_hub_new (const struct settings *settings,
                               guint64 incarnation, GError **error);

/* Closes everything.  Calls in flight end with ERROR_UNAVAILABLE, or with
   ERROR_NOT_RUN if no byte of them was written.  */
void peer_hub_free (struct peer_hub *hub);

/* The port of both sockets.  */
guint peer_hub_get_port (const struct peer_hub *hub);

/* Notifies LISTENER of changes until it is removed or the hub is freed.  */
void peer_hub_add_listener (struct peer_hub *hub,
                            struct peer_listener *listener);
void peer_hub_remove_listener (struct peer_hub *hub,
                               struct peer_listener *listener);

/* Replaces the list of entry VMs.  Only for settings without vm_list_url, as
   the hub otherwise reads the platform's list itself.  */
void peer_hub_apply_vms (struct peer_hub *hub, const struct listed_vm *vms,
                         guint n_vms);

/* The peers and their states, for membership_find () and
   membership_foreach ().  */
const struct membership *peer_hub_get_membership (const struct peer_hub *hub);

/* Replaces the digest that heartbeats carry.  A changed digest is sent with
   the next round of heartbeats.  */
void peer_hub_set_digest (struct peer_hub *hub, guint64 versions,
                          guint64 next_offset);

/*
 * Replaces the summary of load that heartbeats to VMs of this zone carry, at
 * most HEARTBEAT_LOADS_MAX entries; further ones are ignored.  A changed
 * summary is sent with one of the next two rounds of heartbeats.  LOADS should
 * have entries only where something is queued or free.
 */
void peer_hub_set_loads (struct peer_hub *hub, const heartbeat_load *loads,
                         guint n_loads);

/* Calls VISIT with DATA for every leaving VM, of any role.  */
void peer_hub_foreach_leaving (const struct peer_hub *hub,
                               void (*visit) (const char *vm, gpointer data),
                               gpointer data);

/* Announces to the peers that this VM is leaving and accepts no new work.  */
void peer_hub_set_leaving (struct peer_hub *hub);

/* Replaces the keys, hexadecimal as in the settings.  An empty list turns
   authentication off.  */
void peer_hub_set_keys (struct peer_hub *hub, const GPtrArray *keys);

/* The MAC object with the keys in force.  */
const struct peer_mac *peer_hub_get_mac (const struct peer_hub *hub);

/*
 * Registers HANDLER for PROCEDURE, a number from protocol/peer.x such as
 * PEER_FORWARD.  Its ARGUMENTS, of the type declared there, are valid only
 * during the call.  The handler must call peer_request_reply () or
 * peer_request_fail () once, immediately or later.
 */
void peer_hub_serve (struct peer_hub *hub, guint procedure,
                     peer_handler_func *handler, gpointer data);

/*
 * Handlers use these functions of peer_service.h:
 *
 * peer_request_get_sender () returns the name of the calling VM.
 * peer_request_get_heard () returns what the call names of this VM's beacons.
 * peer_request_is_connected () tells whether a reply could still reach it.
 * peer_request_reply () sends a result of the type declared in peer.x and
 *   frees the request.  The result is serialised before the function returns.
 * peer_request_fail () replies that the procedure cannot be served, and frees
 *   the request.
 *
 * A function of type peer_call_done_func is called when a call has ended.  On
 * success RESULT, of the type declared in peer.x, is valid only during that
 * function.  On failure RESULT is NULL and ERROR is set: ERROR_NOT_RUN if no
 * byte of the call was written, ERROR_TOO_LARGE if its arguments exceed the
 * limit of a message, ERROR_UNAVAILABLE if it may have reached the peer.
 */

/*
 * Calls PROCEDURE on the VM named VM.  ENDED is called once from the main
 * loop, at DEADLINE_US (a reading of clock_now_us ()) at the latest, and never
 * before this function has returned.
 */
void peer_hub_call (struct peer_hub *hub, const char *vm, guint procedure,
                    const void *arguments, gint64 deadline_us,
                    peer_call_done_func *ended, gpointer data);

/* The same, over another connection than that of the other calls, for a call
   that must reach VM even if that has gone silent.  It is a new one if the
   last call over it had no answer.  */
void peer_hub_call_anew (struct peer_hub *hub, const char *vm, guint procedure,
                         const void *arguments, gint64 deadline_us,
                         peer_call_done_func *ended, gpointer data);

/* Drops the connection for calls to VM, which is lost, and what the kernel
   still holds of it.  The calls end from the main loop.  */
void peer_hub_abort (struct peer_hub *hub, const char *vm);

/* The same if nothing was received over that connection since SINCE_US, a
   reading of clock_now_us ().  */
void peer_hub_abort_silent (struct peer_hub *hub, const char *vm,
                            gint64 since_us);

/* The sender of beacons that tells what calls name of them.  */
struct peer_heard_source;
struct peer_heard_source_ops
{
  /* The latest beacon of the VM named VM that was heard; see peer.x.  */
  peer_credential_heard (*get_heard) (struct peer_heard_source *source,
                                      const char *vm);
};
struct peer_heard_source
{
  const struct peer_heard_source_ops *ops;
};

/* Calls name the beacons that SOURCE tells.  Before, they name none.  SOURCE
   must outlive HUB.  */
void peer_hub_set_heard_source (struct peer_hub *hub,
                                struct peer_heard_source *source);

/* The number of calls from peers that wait for this VM's reply.  */
guint peer_hub_count_requests (const struct peer_hub *hub);

/* Traffic so far.  Bytes of datagrams include 28 bytes a datagram for IP and
   UDP.  */
struct peer_hub_counts
{
  guint64 datagrams_sent;
  guint64 datagrams_received;
  guint64 datagrams_refused; /* malformed, wrong MAC, or replayed */
  guint64 bytes_sent;
  guint64 bytes_received;
  guint64 checks_sent; /* calls that check a suspected peer */
  guint64 calls_served;
  guint64 calls_refused; /* malformed, wrong MAC, or replayed */
};

const struct peer_hub_counts *peer_hub_get_counts (const struct peer_hub *hub);

#endif
