/*
 * Encodes and decodes beacons: the UDP datagrams by which each entry VM of a
 * fleet announces to the others, many times a second, that it is alive and how
 * much free capacity ("room") its upstreams have.
 */
#ifndef PROTOCOL_BEACON_H
#define PROTOCOL_BEACON_H

#include "protocol/peer_xdr.h"

#include <glib.h>

/* The longest datagram, in bytes.  It fits into one network packet.  */
#define BEACON_MAX_LENGTH 1400

/* Encodes MESSAGE into OUT.  Drops entries from the end of its list of known
   VMs until it fits.  Returns the length in bytes, or 0 when it cannot be
   encoded.  */
gsize beacon_encode (const struct beacon *message,
                     guint8 out[BEACON_MAX_LENGTH]);

/* Appends a section with LIST, less entries from its end that do not fit, to
   the beacon of LENGTH bytes in OUT.  Returns the new length in bytes.  */
gsize beacon_append_confirmations (const struct beacon_confirmations *list,
                                   guint8 out[BEACON_MAX_LENGTH],
                                   gsize length);

/* Decodes the LENGTH bytes at DATA.  Returns FALSE when they are not a valid
   beacon.  CONFIRMATIONS, which may be NULL, is left empty if the sections
   have none or are malformed.  On success, free the members of MESSAGE with
   beacon_clear () and of CONFIRMATIONS with beacon_clear_confirmations ().  */
gboolean beacon_decode (const guint8 *data, gsize length,
                        struct beacon *message,
                        struct beacon_confirmations *confirmations);
void beacon_clear (struct beacon *message);
void beacon_clear_confirmations (struct beacon_confirmations *confirmations);

#endif
