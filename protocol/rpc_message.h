/*
 * ONC RPC messages between entry VMs, as records for a byte stream.
 *
 * Every call carries a struct peer_credential and, when the deployment has
 * keys, a verifier: the MAC of the whole message with the MAC's own place
 * zeroed.  Replies carry a verifier over their bytes, xid included.
 */
#ifndef PROTOCOL_RPC_MESSAGE_H
#define PROTOCOL_RPC_MESSAGE_H

#include "protocol/peer_mac.h"
#include "protocol/peer_xdr.h"

#include <glib.h>

/* The record mark before each message, in bytes.  */
#define RPC_MARK_LENGTH 4

/* The longest message, and the longest that a connection may send before one
   of its messages was found authentic.  */
#define RPC_MAX_MESSAGE (PEER_BODY_MAX + 65536)
#define RPC_MAX_FIRST_MESSAGE 4096

/* A procedure of peer.x.  */
struct rpc_procedure
{
  guint number;
  const char *name;
  xdrproc_t arguments;
  gsize arguments_size;
  xdrproc_t result;
  gsize result_size;
};

/* The procedure of that number, or NULL.  Static.  */
const struct rpc_procedure *rpc_procedure_find (guint number);

/* A record that calls PROCEDURE, or NULL when ARGUMENTS are over a bound.  */
GBytes *rpc_build_call (const struct peer_mac *mac, guint32 xid,
                        const struct rpc_procedure *procedure,
                        const peer_credential *credential,
                        const void *arguments);

/* A record that answers the call XID.  With RESULT NULL it says that the
   procedure cannot be served.  */
GBytes *rpc_build_reply (const struct peer_mac *mac, guint32 xid,
                         const struct rpc_procedure *procedure,
                         const void *result);

/* A call that came in.  */
struct rpc_call
{
  guint32 xid;
  const struct rpc_procedure *procedure;
  peer_credential credential;
  void *arguments;
};

enum rpc_call_status
{
  RPC_CALL_VALID,
  RPC_CALL_INVALID, /* authentic, but no such procedure or arguments */
  RPC_CALL_REFUSED  /* junk, or the MAC is wrong */
};

/*
 * Parses the message of LENGTH bytes at DATA, which it may change.  Unless it
 * is refused, CALL's xid is set; when it is valid, the caller frees CALL with
 * rpc_call_clear ().
 */
enum rpc_call_status rpc_parse_call (const struct peer_mac *mac, guint8 *data,
                                     gsize length, struct rpc_call *call);
void rpc_call_clear (struct rpc_call *call);

/* The xid of a message, or 0 when it is too short.  */
guint32 rpc_peek_xid (const guint8 *data, gsize length);

/*
 * Parses a reply to a call of PROCEDURE; may change DATA.  Returns the result,
 * to be freed with rpc_result_free (), or NULL with ERROR.
 */
void *rpc_parse_reply (const struct peer_mac *mac, guint8 *data, gsize length,
                       const struct rpc_procedure *procedure, GError **error);
void rpc_result_free (const struct rpc_procedure *procedure, void *result);

#endif
