/*
 * Calls to one peer over one kept connection.
 *
 * Many calls are in flight at once, matched by xid.  Each has a deadline.  A
 * connection on which calls wait but nothing has come in for a while is
 * checked by a PING of its own and, unanswered, given up: its calls end, and
 * the next one makes a fresh connection.  A call is written at most once.
 */
#ifndef TRANSPORT_PEER_RPC_H
#define TRANSPORT_PEER_RPC_H

#include "protocol/rpc_message.h"

#include <glib.h>

struct peer_rpc;
struct peer_rpc_owner;

struct peer_rpc_owner_ops
{
  /* Builds the record of a call with the owner's credential; NULL when the
     arguments are over a bound.  */
  GBytes *(*build_call) (struct peer_rpc_owner *owner, struct peer_rpc *rpc,
                         guint32 xid, const struct rpc_procedure *procedure,
                         const void *arguments);

  /* A connection that had been made was ended by the other side.  */
  void (*broke) (struct peer_rpc_owner *owner, struct peer_rpc *rpc);
};

/* Embedded in whoever owns the calls.  */
struct peer_rpc_owner
{
  const struct peer_rpc_owner_ops *ops;
  const struct peer_mac *mac;
};

/* See peer_hub.h.  */
typedef void peer_answer (const void *result, const GError *error,
                          gpointer data);

/* Calls to the VM of that name, at ADDRESS, "IP:PORT".  */
struct peer_rpc *peer_rpc_new (struct peer_rpc_owner *owner, const char *vm,
                               const char *address);

/* Ends every call at once with ERROR_UNAVAILABLE or ERROR_NOT_RUN.  */
void peer_rpc_free (struct peer_rpc *rpc);

/* The next connection goes there.  */
void peer_rpc_set_address (struct peer_rpc *rpc, const char *address);

const char *peer_rpc_get_vm (const struct peer_rpc *rpc);

/* Gives up the connection and ends the calls on it.  */
void peer_rpc_reset (struct peer_rpc *rpc);

/* As peer_hub_call ().  */
void peer_rpc_call (struct peer_rpc *rpc,
                    const struct rpc_procedure *procedure,
                    const void *arguments, gint64 deadline_us,
                    peer_answer *answer, gpointer data);

/* Whether the last attempt to connect was refused by the other machine.  */
gboolean peer_rpc_was_refused (const struct peer_rpc *rpc);

#endif
