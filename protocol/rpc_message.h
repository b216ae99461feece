/*
 * Encodes and decodes the ONC RPC messages between entry VMs, as records of a
 * byte stream (RFC 5531).
 *
 * Every call carries a struct peer_credential, followed by a struct
 * peer_credential_heard.  When the deployment has keys,
 * calls and replies also carry a verifier: the MAC of the whole message, xid
 * included, in which the bytes of the MAC itself are zero.
 */
#ifndef PROTOCOL_RPC_MESSAGE_H
#define PROTOCOL_RPC_MESSAGE_H

#include "protocol/peer_mac.h"
#include "protocol/peer_xdr.h"

#include <glib.h>

/* The record mark before each message, in bytes.  */
#define RPC_MARK_LENGTH 4

/* The longest message in bytes, and the longest one on a connection whose peer
   has not sent an authentic message yet.  */
#define RPC_MAX_MESSAGE (PEER_BODY_MAX + 65536)
#define RPC_MAX_FIRST_MESSAGE 4096

/* A procedure of the RPC program in peer.x.  */
struct rpc_procedure
{
  guint number;
  const char *name;
  xdrproc_t arguments;  /* encodes, decodes and frees the arguments */
  gsize arguments_size; /* of the arguments' struct, in bytes */
  xdrproc_t result;     /* the same for the result */
  gsize result_size;
};

/* The procedure with that number, or NULL.  Static.  */
const struct rpc_procedure *rpc_procedure_find (guint number);

/* A record with a call of PROCEDURE, or NULL when ARGUMENTS exceed a limit of
   peer.x.  HEARD may be NULL for none.  A new reference.  */
GBytes *rpc_build_call (const struct peer_mac *mac, guint32 xid,
                        const struct rpc_procedure *procedure,
                        const peer_credential *credential,
                        const peer_credential_heard *heard,
                        const void *arguments);

/* A record with the reply to the call XID of PROCEDURE.  When RESULT is NULL,
   the reply says that the procedure is unavailable.  A new reference.  */
GBytes *rpc_build_reply (const struct peer_mac *mac, guint32 xid,
                         const struct rpc_procedure *procedure,
                         const void *result);

/* A call that was received.  */
struct rpc_call
{
  guint32 xid;
  const struct rpc_procedure *procedure;
  peer_credential credential;
  peer_credential_heard heard; /* zeros if the call carries none */
  void *arguments;             /* owned; of the type that PROCEDURE has */
};

enum rpc_call_status
{
  RPC_CALL_VALID,
  RPC_CALL_INVALID, /* authentic; unknown procedure or malformed arguments */
  RPC_CALL_REFUSED  /* not a call, or not authentic */
};

/*
 * Parses the message of LENGTH bytes at DATA, which it may modify.  Sets the
 * xid of CALL unless it returns RPC_CALL_REFUSED.  With RPC_CALL_VALID, free
 * the members of CALL with rpc_call_clear ().
 */
enum rpc_call_status rpc_parse_call (const struct peer_mac *mac, guint8 *data,
                                     gsize length, struct rpc_call *call);
void rpc_call_clear (struct rpc_call *call);

/* The xid of the message at DATA, or 0 when it is too short.  */
guint32 rpc_peek_xid (const guint8 *data, gsize length);

/*
 * Parses the reply to a call of PROCEDURE.  May modify DATA.  Returns the
 * result, to be freed with rpc_result_free (), or NULL with ERROR_UNAVAILABLE.
 */
void *rpc_parse_reply (const struct peer_mac *mac, guint8 *data, gsize length,
                       const struct rpc_procedure *procedure, GError **error);
void rpc_result_free (const struct rpc_procedure *procedure, void *result);

#endif
