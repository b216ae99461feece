/*
 * Keyed MACs (HMAC-SHA-256) for what entry VMs send to each other and for the
 * ids that they issue.
 *
 * Of several keys the first signs and all verify, so that keys are rotated
 * without a stop: add the new key at the end everywhere, then move it to the
 * front everywhere, then drop the old one.  Without keys nothing is signed and
 * everything verifies.
 */
#ifndef PROTOCOL_PEER_MAC_H
#define PROTOCOL_PEER_MAC_H

#include <glib.h>

/* The length of a MAC, of the hash's 32 bytes.  */
#define PEER_MAC_LENGTH 16

/* How far the clocks of two VMs may differ, in milliseconds, before they
   refuse each other.  */
#define PEER_MAX_SKEW_MS 30000

struct peer_mac;

/* Keys in hexadecimal, as settings_parse () has checked them.  */
struct peer_mac *peer_mac_new (const GPtrArray *keys);
void peer_mac_free (struct peer_mac *mac);

/* Replaces the keys.  */
void peer_mac_set_keys (struct peer_mac *mac, const GPtrArray *keys);

/* Whether there is a key.  */
gboolean peer_mac_has_keys (const struct peer_mac *mac);

/* Writes the MAC of LENGTH bytes at DATA, made with the first key.  Returns
   its length: 0 without keys.  */
gsize peer_mac_sign (const struct peer_mac *mac, const void *data,
                     gsize length, guint8 out[PEER_MAC_LENGTH]);

/* Whether any key gives the MAC of MAC_LENGTH bytes at GIVEN; takes the same
   time wherever it differs.  TRUE without keys.  */
gboolean peer_mac_verify (const struct peer_mac *mac, const void *data,
                          gsize length, const void *given, gsize mac_length);

#endif
