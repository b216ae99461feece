/*
 * Encodes and decodes the heartbeat datagrams between entry VMs: one heartbeat
 * in XDR, followed by its MAC when the deployment has keys.
 */
#ifndef PROTOCOL_HEARTBEAT_H
#define PROTOCOL_HEARTBEAT_H

#include "protocol/peer_mac.h"
#include "protocol/peer_xdr.h"

#include <glib.h>

/* The longest datagram, in bytes.  */
#define HEARTBEAT_MAX_LENGTH 1400

/* Flags in the header.  */
#define HEARTBEAT_LEAVING_FLAG 1u      /* the sender accepts no new work */
#define HEARTBEAT_REPLY_WANTED_FLAG 2u /* the receiver answers at once */
#define HEARTBEAT_LINK_CHOSEN_FLAG 4u  /* the sender has chosen the link */

/*
 * Serialises BEAT, the flags of whose header are set, and signs it.  Returns
 * the length, or 0 when it does not fit.
 */
gsize heartbeat_encode (heartbeat *beat, const struct peer_mac *mac,
                        guint8 out[HEARTBEAT_MAX_LENGTH]);

/*
 * Parses a datagram that was received at NOW_UNIX_MS.  Returns FALSE when it
 * is not a heartbeat, its MAC is wrong, or it is older than PEER_MAX_SKEW_MS
 * by the sender's clock; the latter two only with keys.  On success the caller
 * frees BEAT's members with heartbeat_clear ().
 */
gboolean heartbeat_decode (const guint8 *data, gsize length,
                           const struct peer_mac *mac, gint64 now_unix_ms,
                           heartbeat *beat);
void heartbeat_clear (heartbeat *beat);

#endif
