#include "protocol/job_id_mac.h"

#include <string.h>

#define HEX_BASE 16

static gboolean
has_keys (const struct peer_mac *mac)
{
  return mac != NULL && peer_mac_has_keys (mac);
}

static char *
format_mac (const guint8 bytes[PEER_MAC_LENGTH])
{
  char *text = g_malloc (2 * PEER_MAC_LENGTH + 1);

  for (guint i = 0; i < PEER_MAC_LENGTH; i++)
    g_snprintf (text + 2 * i, 3, "%02x", bytes[i]);
  return text;
}

char *
job_id_sign (const struct peer_mac *mac, char *text)
{
  guint8 bytes[PEER_MAC_LENGTH];
  g_autofree char *unsigned_text = text;
  g_autofree char *mac_text = NULL;

  if (!has_keys (mac))
    return g_steal_pointer (&unsigned_text);
  peer_mac_sign (mac, text, strlen (text), bytes);
  mac_text = format_mac (bytes);
  return g_strconcat (text, ".", mac_text, NULL);
}

static gboolean
parse_mac (const char *text, guint8 bytes[PEER_MAC_LENGTH])
{
  if (text == NULL || strlen (text) != 2 * PEER_MAC_LENGTH)
    return FALSE;
  for (guint i = 0; i < PEER_MAC_LENGTH; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return FALSE;
      bytes[i] = (guint8)(high * HEX_BASE + low);
    }
  return TRUE;
}

gboolean
job_id_check_mac (const struct peer_mac *mac, const char *text,
                  const char *mac_text)
{
  guint8 bytes[PEER_MAC_LENGTH];

  if (!has_keys (mac))
    return TRUE;
  return parse_mac (mac_text, bytes)
         && peer_mac_verify (mac, text, (gsize)(mac_text - text) - 1, bytes,
                             sizeof bytes);
}
