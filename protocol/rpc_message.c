#include "protocol/rpc_message.h"

#include "base/error.h"

#include <string.h>

#define AUTH_FLAVOUR 0x20526301   /* of the credential and of the verifier */
#define LAST_FRAGMENT 0x80000000u /* flag in the record mark */
#define ACCEPT_STAT_LENGTH 4 /* bytes of status after a reply's verifier */

/* Casts FUNCTION to the one of xdrproc_t's two forms that libtirpc calls.  */
#define AS_XDRPROC(function) ((xdrproc_t)(void (*) (void)) (function))

/* The entry of the procedure whose types in peer.x begin with peer_BASE_.  */
#define PROCEDURE(number, base)                                               \
  {                                                                           \
    number, #base, AS_XDRPROC (xdr_peer_##base##_args),                       \
        sizeof (peer_##base##_args), AS_XDRPROC (xdr_peer_##base##_result),   \
        sizeof (peer_##base##_result)                                         \
  }

static const struct rpc_procedure procedures[] = {
  PROCEDURE (PEER_PING, ping),
  PROCEDURE (PEER_FORWARD, forward),
  PROCEDURE (PEER_FETCH_DOCUMENTS, fetch),
  PROCEDURE (PEER_RUN_BATCH, batch),
  PROCEDURE (PEER_STOP_BATCH, stop),
  PROCEDURE (PEER_YIELD, yield),
  PROCEDURE (PEER_FETCH_ROUTES, routes),
  PROCEDURE (PEER_FETCH_LISTING, listing),
  PROCEDURE (PEER_RETURN_TASKS, return ),
  PROCEDURE (PEER_CLAIM_TASKS, claim),
};

const struct rpc_procedure *
rpc_procedure_find (guint number)
{
  for (guint i = 0; i < G_N_ELEMENTS (procedures); i++)
    if (procedures[i].number == number)
      return &procedures[i];
  return NULL;
}

/* The verifier of a message that is not signed yet.  With keys it is a MAC of
   zeros, which is kept in BYTES.  */
static struct opaque_auth
make_verifier (const struct peer_mac *mac, guint8 *bytes)
{
  struct opaque_auth auth = { .oa_flavor = AUTH_NONE };

  if (!peer_mac_has_keys (mac))
    return auth;
  memset (bytes, 0, PEER_MAC_LENGTH);
  auth.oa_flavor = AUTH_FLAVOUR;
  auth.oa_base = (char *)bytes;
  auth.oa_length = PEER_MAC_LENGTH;
  return auth;
}

static gsize
encode_credential (const peer_credential *credential,
                   const peer_credential_heard *heard, char *bytes)
{
  gsize length = 0;
  XDR xdr;

  xdrmem_create (&xdr, bytes, MAX_AUTH_BYTES, XDR_ENCODE);
  if (xdr_peer_credential (&xdr, (peer_credential *)credential)
      && (heard == NULL
          || xdr_peer_credential_heard (&xdr, (peer_credential_heard *)heard)))
    length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return length;
}

/* Allocates a record with a message of LENGTH bytes, which XDR will encode. */
static guint8 *
allocate_record (gsize length, XDR *xdr)
{
  guint8 *record = g_malloc (RPC_MARK_LENGTH + length);

  xdrmem_create (xdr, (char *)record + RPC_MARK_LENGTH, (u_int)length,
                 XDR_ENCODE);
  return record;
}

/* Writes the record mark and, ending at MAC_END of the message, the MAC.  */
static GBytes *
sign_record (const struct peer_mac *mac, guint8 *record, gsize length,
             gsize mac_end)
{
  guint8 *message = record + RPC_MARK_LENGTH;
  guint32 mark = GUINT32_TO_BE ((guint32)length | LAST_FRAGMENT);
  guint8 bytes[PEER_MAC_LENGTH];
  gsize mac_length = peer_mac_sign (mac, message, length, bytes);

  memcpy (record, &mark, sizeof mark);
  memcpy (message + mac_end - mac_length, bytes, mac_length);
  return g_bytes_new_take (record, RPC_MARK_LENGTH + length);
}

GBytes *
rpc_build_call (const struct peer_mac *mac, guint32 xid,
                const struct rpc_procedure *procedure,
                const peer_credential *credential,
                const peer_credential_heard *heard, const void *arguments)
{
  char credential_bytes[MAX_AUTH_BYTES];
  guint8 mac_bytes[PEER_MAC_LENGTH];
  gsize size = xdr_sizeof (procedure->arguments, (void *)arguments);
  struct rpc_msg header = { .rm_xid = xid, .rm_direction = CALL };
  struct call_body *body = &header.rm_call;
  guint8 *record;
  gsize mac_end;
  XDR xdr;

  if (size == 0 || size > PEER_BODY_MAX)
    return NULL;
  body->cb_rpcvers = RPC_MSG_VERSION;
  body->cb_prog = RADISHCHUTE_PEER;
  body->cb_vers = RADISHCHUTE_PEER_V1;
  body->cb_proc = procedure->number;
  body->cb_cred.oa_flavor = AUTH_FLAVOUR;
  body->cb_cred.oa_base = credential_bytes;
  body->cb_cred.oa_length
      = (u_int)encode_credential (credential, heard, credential_bytes);
  body->cb_verf = make_verifier (mac, mac_bytes);
  record = allocate_record (
      xdr_sizeof (AS_XDRPROC (xdr_callmsg), &header) + size, &xdr);
  xdr_callmsg (&xdr, &header);
  mac_end = xdr_getpos (&xdr);
  procedure->arguments (&xdr, (void *)arguments);
  return sign_record (mac, record, xdr_getpos (&xdr), mac_end);
}

static xdrproc_t
get_result_proc (const struct rpc_procedure *procedure, const void *result)
{
  return result != NULL ? procedure->result : AS_XDRPROC (xdr_void);
}

GBytes *
rpc_build_reply (const struct peer_mac *mac, guint32 xid,
                 const struct rpc_procedure *procedure, const void *result)
{
  guint8 mac_bytes[PEER_MAC_LENGTH];
  struct rpc_msg header = { .rm_xid = xid, .rm_direction = REPLY };
  struct accepted_reply *accepted = &header.acpted_rply;
  gsize header_length;
  gsize length;
  guint8 *record;
  XDR xdr;

  header.rm_reply.rp_stat = MSG_ACCEPTED;
  accepted->ar_verf = make_verifier (mac, mac_bytes);
  accepted->ar_stat = result != NULL ? SUCCESS : PROC_UNAVAIL;
  accepted->ar_results.proc = AS_XDRPROC (xdr_void);
  header_length = xdr_sizeof (AS_XDRPROC (xdr_replymsg), &header);
  accepted->ar_results.where = (caddr_t)result;
  accepted->ar_results.proc = get_result_proc (procedure, result);
  length = xdr_sizeof (AS_XDRPROC (xdr_replymsg), &header);
  record = allocate_record (length, &xdr);
  xdr_replymsg (&xdr, &header);
  return sign_record (mac, record, length, header_length - ACCEPT_STAT_LENGTH);
}

/* Checks the MAC that ends MAC_END bytes into the message at DATA, and zeroes
   it, as it was when the MAC was computed.  TRUE without keys.  */
static gboolean
check_mac (const struct peer_mac *mac, guint8 *data, gsize length,
           const struct opaque_auth *verifier, gsize mac_end)
{
  guint8 given[PEER_MAC_LENGTH];

  if (!peer_mac_has_keys (mac))
    return TRUE;
  if (verifier->oa_flavor != AUTH_FLAVOUR
      || verifier->oa_length != PEER_MAC_LENGTH || mac_end < PEER_MAC_LENGTH)
    return FALSE;
  memcpy (given, data + mac_end - PEER_MAC_LENGTH, sizeof given);
  memset (data + mac_end - PEER_MAC_LENGTH, 0, sizeof given);
  return peer_mac_verify (mac, data, length, given, sizeof given);
}

/* An earlier build sends the credential alone.  What a later one adds behind
   HEARD is skipped.  */
static gboolean
decode_credential (const struct opaque_auth *auth, peer_credential *credential,
                   peer_credential_heard *heard)
{
  gboolean is_valid;
  XDR xdr;

  if (auth->oa_flavor != AUTH_FLAVOUR)
    return FALSE;
  xdrmem_create (&xdr, auth->oa_base, auth->oa_length, XDR_DECODE);
  is_valid = xdr_peer_credential (&xdr, credential);
  if (!is_valid || !xdr_peer_credential_heard (&xdr, heard))
    *heard = (peer_credential_heard){ 0 };
  xdr_destroy (&xdr);
  return is_valid;
}

static gboolean
decode_arguments (XDR *xdr, gsize length, const struct rpc_msg *header,
                  struct rpc_call *call)
{
  const struct call_body *body = &header->rm_call;

  call->procedure = rpc_procedure_find (body->cb_proc);
  if (body->cb_prog != RADISHCHUTE_PEER || body->cb_vers != RADISHCHUTE_PEER_V1
      || call->procedure == NULL)
    return FALSE;
  call->arguments = g_malloc0 (call->procedure->arguments_size);
  return call->procedure->arguments (xdr, call->arguments)
         && xdr_getpos (xdr) == length;
}

enum rpc_call_status
rpc_parse_call (const struct peer_mac *mac, guint8 *data, gsize length,
                struct rpc_call *call)
{
  char credential_bytes[MAX_AUTH_BYTES];
  char verifier_bytes[MAX_AUTH_BYTES];
  struct rpc_msg header = { 0 };
  enum rpc_call_status status = RPC_CALL_REFUSED;
  XDR xdr;

  memset (call, 0, sizeof *call);
  header.rm_call.cb_cred.oa_base = credential_bytes;
  header.rm_call.cb_verf.oa_base = verifier_bytes;
  xdrmem_create (&xdr, (char *)data, (u_int)length, XDR_DECODE);
  if (xdr_callmsg (&xdr, &header)
      && check_mac (mac, data, length, &header.rm_call.cb_verf,
                    xdr_getpos (&xdr))
      && decode_credential (&header.rm_call.cb_cred, &call->credential,
                            &call->heard))
    {
      call->xid = header.rm_xid;
      status = decode_arguments (&xdr, length, &header, call)
                   ? RPC_CALL_VALID
                   : RPC_CALL_INVALID;
    }
  xdr_destroy (&xdr);
  if (status != RPC_CALL_VALID)
    rpc_call_clear (call);
  return status;
}

void
rpc_call_clear (struct rpc_call *call)
{
  if (call->arguments != NULL)
    {
      xdr_free (call->procedure->arguments, call->arguments);
      g_clear_pointer (&call->arguments, g_free);
    }
  xdr_free (AS_XDRPROC (xdr_peer_credential), &call->credential);
  memset (&call->credential, 0, sizeof call->credential);
}

guint32
rpc_peek_xid (const guint8 *data, gsize length)
{
  guint32 xid = 0;

  if (length >= sizeof xid)
    memcpy (&xid, data, sizeof xid);
  return GUINT32_FROM_BE (xid);
}

/* Parses the header and checks the MAC.  The result behind the header is not
   decoded: its XDR function is set to xdr_void ().  */
static gboolean
parse_reply_header (const struct peer_mac *mac, guint8 *data, gsize length,
                    struct rpc_msg *header, gsize *header_length)
{
  char verifier_bytes[MAX_AUTH_BYTES];
  gboolean is_valid;
  XDR xdr;

  header->acpted_rply.ar_verf.oa_base = verifier_bytes;
  header->acpted_rply.ar_results.proc = AS_XDRPROC (xdr_void);
  xdrmem_create (&xdr, (char *)data, (u_int)length, XDR_DECODE);
  is_valid = xdr_replymsg (&xdr, header)
             && header->rm_reply.rp_stat == MSG_ACCEPTED;
  *header_length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (is_valid)
    is_valid = check_mac (mac, data, length, &header->acpted_rply.ar_verf,
                          *header_length - ACCEPT_STAT_LENGTH);
  header->acpted_rply.ar_verf.oa_base = NULL;
  return is_valid;
}

static void *
parse_result (const guint8 *data, gsize length,
              const struct rpc_procedure *procedure)
{
  void *result = g_malloc0 (procedure->result_size);
  gboolean is_valid;
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)length, XDR_DECODE);
  is_valid = procedure->result (&xdr, result) && xdr_getpos (&xdr) == length;
  xdr_destroy (&xdr);
  if (is_valid)
    return result;
  rpc_result_free (procedure, result);
  return NULL;
}

void *
rpc_parse_reply (const struct peer_mac *mac, guint8 *data, gsize length,
                 const struct rpc_procedure *procedure, GError **error)
{
  struct rpc_msg header = { 0 };
  gsize header_length = 0;
  void *result = NULL;

  if (!parse_reply_header (mac, data, length, &header, &header_length))
    error_set (error, ERROR_UNAVAILABLE,
               "a peer's reply is not authentic; give both VMs the same keys");
  else if (header.acpted_rply.ar_stat != SUCCESS)
    error_set (error, ERROR_UNAVAILABLE,
               "the peer does not support '%s'; run the same version on all "
               "VMs",
               procedure->name);
  else
    {
      result = parse_result (data + header_length, length - header_length,
                             procedure);
      if (result == NULL)
        error_set (error, ERROR_UNAVAILABLE,
                   "a peer's reply to '%s' is malformed; run the same version "
                   "on all VMs",
                   procedure->name);
    }
  return result;
}

void
rpc_result_free (const struct rpc_procedure *procedure, void *result)
{
  if (result == NULL)
    return;
  xdr_free (procedure->result, result);
  g_free (result);
}
