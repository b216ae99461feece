#include "protocol/peer_mac.h"

#include <string.h>

#define HASH_LENGTH 32 /* of SHA-256, in bytes */

struct peer_mac
{
  GPtrArray *keys; /* GBytes; the first one signs */
};

static GBytes *
parse_key (const char *text)
{
  gsize length = strlen (text) / 2;
  guint8 *key = g_malloc (length);

  for (gsize i = 0; i < length; i++)
    key[i] = (guint8)(g_ascii_xdigit_value (text[2 * i]) * 16
                      + g_ascii_xdigit_value (text[2 * i + 1]));
  return g_bytes_new_take (key, length);
}

struct peer_mac *
peer_mac_new (const GPtrArray *keys)
{
  struct peer_mac *mac = g_new0 (struct peer_mac, 1);

  mac->keys = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  peer_mac_set_keys (mac, keys);
  return mac;
}

void
peer_mac_free (struct peer_mac *mac)
{
  g_ptr_array_unref (mac->keys);
  g_free (mac);
}

void
peer_mac_set_keys (struct peer_mac *mac, const GPtrArray *keys)
{
  g_ptr_array_set_size (mac->keys, 0);
  for (guint i = 0; i < keys->len; i++)
    g_ptr_array_add (mac->keys, parse_key (keys->pdata[i]));
}

gboolean
peer_mac_has_keys (const struct peer_mac *mac)
{
  return mac->keys->len > 0;
}

static void
compute_mac (GBytes *key, const void *data, gsize length,
             guint8 out[PEER_MAC_LENGTH])
{
  gsize key_length;
  const guint8 *key_data = g_bytes_get_data (key, &key_length);
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, key_data, key_length);
  guint8 digest[HASH_LENGTH];
  gsize digest_length = sizeof digest;

  g_hmac_update (hmac, data, (gssize)length);
  g_hmac_get_digest (hmac, digest, &digest_length);
  g_hmac_unref (hmac);
  memcpy (out, digest, PEER_MAC_LENGTH);
}

gsize
peer_mac_sign (const struct peer_mac *mac, const void *data, gsize length,
               guint8 out[PEER_MAC_LENGTH])
{
  if (!peer_mac_has_keys (mac))
    return 0;
  compute_mac (mac->keys->pdata[0], data, length, out);
  return PEER_MAC_LENGTH;
}

/* Compares in constant time, so that a forger learns nothing from the time of
   a refusal.  */
static gboolean
is_equal_mac (const guint8 *a, const guint8 *b)
{
  guint8 difference = 0;

  for (guint i = 0; i < PEER_MAC_LENGTH; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}

gboolean
peer_mac_verify (const struct peer_mac *mac, const void *data, gsize length,
                 const void *given, gsize mac_length)
{
  guint8 expected[PEER_MAC_LENGTH];

  if (!peer_mac_has_keys (mac))
    return TRUE;
  if (mac_length != PEER_MAC_LENGTH)
    return FALSE;
  for (guint i = 0; i < mac->keys->len; i++)
    {
      compute_mac (mac->keys->pdata[i], data, length, expected);
      if (is_equal_mac (expected, given))
        return TRUE;
    }
  return FALSE;
}
