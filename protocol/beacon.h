/*
 * The datagrams by which entry VMs of a fleet tell each other, many times a
 * second, that they live and what room they have.
 */
#ifndef PROTOCOL_BEACON_H
#define PROTOCOL_BEACON_H

#include "protocol/peer_xdr.h"

#include <glib.h>

/* The longest datagram, below what a packet of a network carries.  */
#define BEACON_MAX_LENGTH 1400

/* Encodes MESSAGE into OUT, leaving out known VMs until it fits.  Returns its
   length, 0 when it cannot be encoded.  */
gsize beacon_encode (const struct beacon *message,
                     guint8 out[BEACON_MAX_LENGTH]);

/* Decodes DATA.  Returns FALSE for anything that is no beacon; otherwise
   MESSAGE is freed with beacon_clear ().  */
gboolean beacon_decode (const guint8 *data, gsize length,
                        struct beacon *message);
void beacon_clear (struct beacon *message);

#endif
