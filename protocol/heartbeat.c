#include "protocol/heartbeat.h"

#include <string.h>

/* The upper 24 bits of the header: "RC" in ASCII and the version.  */
#define HEADER_MAGIC 0x52430100u
#define HEADER_MASK 0xffffff00u

/* Header, sender, incarnation, sequence, time and no sections, in bytes.  */
#define MIN_LENGTH 32

/* Casts FUNCTION to the one of xdrproc_t's two forms that libtirpc calls.  */
#define AS_XDRPROC(function) ((xdrproc_t)(void (*) (void)) (function))

gsize
heartbeat_encode (heartbeat *beat, const struct peer_mac *mac,
                  guint8 out[HEARTBEAT_MAX_LENGTH])
{
  gsize max_length = HEARTBEAT_MAX_LENGTH;
  gsize length;
  XDR xdr;

  if (peer_mac_has_keys (mac))
    max_length -= PEER_MAC_LENGTH;
  beat->header |= HEADER_MAGIC;
  xdrmem_create (&xdr, (char *)out, (u_int)max_length, XDR_ENCODE);
  length = xdr_heartbeat (&xdr, beat) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  if (length == 0)
    return 0;
  return length + peer_mac_sign (mac, out, length, out + length);
}

/* Whether SENT_MS is within PEER_MAX_SKEW_MS of now, modulo 2^32 ms.  */
static gboolean
is_fresh (guint32 sent_ms, gint64 now_unix_ms)
{
  gint32 age_ms = (gint32)((guint32)now_unix_ms - sent_ms);

  return age_ms <= PEER_MAX_SKEW_MS && age_ms >= -PEER_MAX_SKEW_MS;
}

gboolean
heartbeat_decode (const guint8 *data, gsize length, const struct peer_mac *mac,
                  gint64 now_unix_ms, heartbeat *beat)
{
  gboolean is_signed = peer_mac_has_keys (mac);
  gsize mac_length = is_signed ? PEER_MAC_LENGTH : 0;
  guint32 header;
  gboolean is_valid;
  XDR xdr;

  if (length < MIN_LENGTH + mac_length || length > HEARTBEAT_MAX_LENGTH)
    return FALSE;
  memcpy (&header, data, sizeof header);
  if ((GUINT32_FROM_BE (header) & HEADER_MASK) != HEADER_MAGIC)
    return FALSE;
  length -= mac_length;
  if (!peer_mac_verify (mac, data, length, data + length, mac_length))
    return FALSE;
  memset (beat, 0, sizeof *beat);
  xdrmem_create (&xdr, (char *)data, (u_int)length, XDR_DECODE);
  is_valid = xdr_heartbeat (&xdr, beat) && xdr_getpos (&xdr) == length;
  xdr_destroy (&xdr);
  if (is_valid && is_signed)
    is_valid = is_fresh (beat->sent_ms, now_unix_ms);
  if (!is_valid)
    heartbeat_clear (beat);
  return is_valid;
}

void
heartbeat_clear (heartbeat *beat)
{
  xdr_free (AS_XDRPROC (xdr_heartbeat), beat);
  memset (beat, 0, sizeof *beat);
}
