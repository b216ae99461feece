/*
 * Message authentication codes (HMAC-SHA-256) of the messages between entry
 * VMs and of the ids that entry VMs issue.
 *
 * The first key signs and every key verifies.  Keys can therefore be rotated
 * without downtime: add the new key at the end on all VMs, then move it to the
 * front on all VMs, then remove the old key.  Without keys nothing is signed
 * and everything verifies.
 */
#ifndef PROTOCOL_PEER_MAC_H
#define PROTOCOL_PEER_MAC_H

#include <glib.h>

/* The length of a MAC in bytes.  It is truncated from the hash's 32 bytes.  */
#define PEER_MAC_LENGTH 16

/* The largest difference between the clocks of two VMs, in milliseconds, at
   which they still accept each other's messages.  */
#define PEER_MAX_SKEW_MS 30000

struct peer_mac;

/* KEYS are strings of hexadecimal digits, as settings_parse () validates
   them.  Free with peer_mac_free ().  */
struct peer_mac *peer_mac_new (const GPtrArray *keys);
void peer_mac_free (struct peer_mac *mac);

/* Replaces the keys of MAC.  */
void peer_mac_set_keys (struct peer_mac *mac, const GPtrArray *keys);

gboolean peer_mac_has_keys (const struct peer_mac *mac);

/* Writes the MAC of the LENGTH bytes at DATA under the first key to OUT.
   Returns the length of the MAC in bytes: 0 without keys.  */
gsize peer_mac_sign (const struct peer_mac *mac, const void *data,
                     gsize length, guint8 out[PEER_MAC_LENGTH]);

/* Whether the MAC_LENGTH bytes at GIVEN are the MAC of the LENGTH bytes at
   DATA under any key.  TRUE without keys.  MACs are compared in constant
   time.  */
gboolean peer_mac_verify (const struct peer_mac *mac, const void *data,
                          gsize length, const void *given, gsize mac_length);

#endif
