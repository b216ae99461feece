#include "protocol/beacon.h"

#include <string.h>

/* Identifies a beacon and its version: "RcB5" in ASCII.  */
#define BEACON_MAGIC 0x52634235u

/* Encodes MESSAGE with only the first N_KNOWN of its known VMs.  Returns the
   length in bytes, or 0 when it does not fit.  */
static gsize
try_encode (const struct beacon *message, guint n_known,
            guint8 out[BEACON_MAX_LENGTH])
{
  struct beacon copy = *message;
  gsize length = 0;
  XDR xdr;

  copy.magic = BEACON_MAGIC;
  copy.known.known_len = n_known;
  xdrmem_create (&xdr, (char *)out, BEACON_MAX_LENGTH, XDR_ENCODE);
  if (xdr_beacon (&xdr, &copy))
    length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return length;
}

gsize
beacon_encode (const struct beacon *message, guint8 out[BEACON_MAX_LENGTH])
{
  guint n_known = message->known.known_len;
  gsize length = try_encode (message, n_known, out);

  while (length == 0 && n_known > 0)
    length = try_encode (message, --n_known, out);
  return length;
}

gboolean
beacon_decode (const guint8 *data, gsize length, struct beacon *message)
{
  gboolean is_valid;
  XDR xdr;

  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, (char *)data, (u_int)length, XDR_DECODE);
  is_valid = xdr_beacon (&xdr, message) && message->magic == BEACON_MAGIC
             && message->sender.name != NULL
             && message->sender.name[0] != '\0';
  xdr_destroy (&xdr);
  if (!is_valid)
    beacon_clear (message);
  return is_valid;
}

void
beacon_clear (struct beacon *message)
{
  xdr_free ((xdrproc_t)(void (*) (void))xdr_beacon, (char *)message);
  memset (message, 0, sizeof *message);
}
