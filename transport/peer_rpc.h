/*
 * Remote procedure calls to one peer over one persistent connection.
 *
 * Many calls are in flight at once; replies are matched by xid.  Each call has
 * a deadline.  A connection on which calls wait but nothing has been received
 * for a while is checked with a PING.  If the PING is not answered, the
 * connection is dropped: its calls end, and the next call opens a new
 * connection.  A call is written at most once.
 */
#ifndef TRANSPORT_PEER_RPC_H
#define TRANSPORT_PEER_RPC_H

#include "protocol/rpc_message.h"

#include <glib.h>

struct peer_rpc;
struct peer_rpc_owner;

struct peer_rpc_owner_ops
{
  /* Builds the record of a call, with a credential and MAC of this VM. Returns
     NULL if the arguments exceed a limit.  The caller owns the reference.  */
  GBytes *(*build_call) (struct peer_rpc_owner *owner, struct peer_rpc *rpc,
                         guint32 xid, const struct rpc_procedure *procedure,
                         const void *arguments);

  /* The other side has closed an established connection, or it failed.  */
  void (*connection_broken) (struct peer_rpc_owner *owner,
                             struct peer_rpc *rpc);
};

/* Embedded in the object that owns the calls.  */
struct peer_rpc_owner
{
  const struct peer_rpc_owner_ops *ops;
  const struct peer_mac *mac;
};

/* See peer_hub.h.  */
typedef void peer_call_done_func (const void *result, const GError *error,
                                  gpointer data);

/* Calls to the VM named VM at ADDRESS, "IP:PORT".  Both are copied; OWNER must
   outlive the result.  No connection is opened before the first call.  */
struct peer_rpc *peer_rpc_new (struct peer_rpc_owner *owner, const char *vm,
                               const char *address);

/* Closes the connection and ends every call, within this function, with
   ERROR_UNAVAILABLE or ERROR_NOT_RUN.  */
void peer_rpc_free (struct peer_rpc *rpc);

/* Replaces the address, which is copied.  If it differs, the current
   connection is dropped and its calls end.  */
void peer_rpc_set_address (struct peer_rpc *rpc, const char *address);

const char *peer_rpc_get_vm (const struct peer_rpc *rpc);

/* Drops the connection.  Its calls end, from the main loop.  */
void peer_rpc_reset (struct peer_rpc *rpc);

/* The same, and discards what the kernel has not delivered yet.  */
void peer_rpc_abort (struct peer_rpc *rpc);

/* When something was last received over the present connection; 0 if there is
   none.  */
gint64 peer_rpc_get_received_us (const struct peer_rpc *rpc);

/* Whether the latest call that has ended, if any, was answered.  */
gboolean peer_rpc_is_answering (const struct peer_rpc *rpc);

/* See peer_hub_call ().  */
void peer_rpc_call (struct peer_rpc *rpc,
                    const struct rpc_procedure *procedure,
                    const void *arguments, gint64 deadline_us,
                    peer_call_done_func *ended, gpointer data);

/* Whether the other machine refused the last attempt to connect, which means
   that no process listens there.  */
gboolean peer_rpc_was_refused (const struct peer_rpc *rpc);

#endif
