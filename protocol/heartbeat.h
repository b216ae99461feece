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
#define HEARTBEAT_REPLY_WANTED_FLAG 2u /* the receiver replies at once */

/* The sender has chosen to exchange heartbeats with the receiver.  */
#define HEARTBEAT_LINK_CHOSEN_FLAG 4u

/*
 * Serialises and signs BEAT.  The caller sets only the flags in its header;
 * the magic number is added here.  Returns the length in bytes, or 0 when the
 * datagram would be too long.
 */
gsize heartbeat_encode (heartbeat *beat, const struct peer_mac *mac,
                        guint8 out[HEARTBEAT_MAX_LENGTH]);

/*
 * Parses a datagram of LENGTH bytes that was received at NOW_UNIX_MS.  Returns
 * FALSE when it is not a heartbeat.  When MAC has keys, also returns FALSE
 * when the MAC is wrong, or when the time at which it was sent differs from
 * NOW_UNIX_MS by more than PEER_MAX_SKEW_MS in either direction.  On success,
 * free the members of BEAT with heartbeat_clear ().
 */
gboolean heartbeat_decode (const guint8 *data, gsize length,
                           const struct peer_mac *mac, gint64 now_unix_ms,
                           heartbeat *beat);
void heartbeat_clear (heartbeat *beat);

#endif
