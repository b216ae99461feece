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

gsize
beacon_append_confirmations (const struct beacon_confirmations *list,
                             guint8 out[BEACON_MAX_LENGTH], gsize length)
{
  struct beacon_confirmations copy = *list;
  char data[BEACON_SECTION_MAX];
  struct beacon_section section = { .kind = BEACON_CONFIRMATIONS };
  gboolean has_fitted = FALSE;
  gsize added = 0;
  XDR xdr;

  section.data.data_val = data;
  while (!has_fitted && copy.list.list_len > 0)
    {
      xdrmem_create (&xdr, data, sizeof data, XDR_ENCODE);
      has_fitted = xdr_beacon_confirmations (&xdr, &copy);
      section.data.data_len = xdr_getpos (&xdr);
      xdr_destroy (&xdr);
      xdrmem_create (&xdr, (char *)out + length,
                     (u_int)(BEACON_MAX_LENGTH - length), XDR_ENCODE);
      has_fitted = has_fitted && xdr_beacon_section (&xdr, &section);
      added = has_fitted ? xdr_getpos (&xdr) : 0;
      xdr_destroy (&xdr);
      copy.list.list_len--;
    }
  return length + added;
}

/* Reads CONFIRMATIONS from the data of their section.  */
static void
decode_confirmations (const struct beacon_section *section,
                      struct beacon_confirmations *confirmations)
{
  XDR xdr;

  beacon_clear_confirmations (confirmations);
  xdrmem_create (&xdr, section->data.data_val, section->data.data_len,
                 XDR_DECODE);
  if (!xdr_beacon_confirmations (&xdr, confirmations))
    beacon_clear_confirmations (confirmations);
  xdr_destroy (&xdr);
}

/* Reads the sections that follow a beacon up to the end of XDR.  */
static void
decode_sections (XDR *xdr, gsize length,
                 struct beacon_confirmations *confirmations)
{
  gboolean is_valid = TRUE;

  while (is_valid && xdr_getpos (xdr) < length)
    {
      struct beacon_section section = { 0 };

      is_valid = xdr_beacon_section (xdr, &section);
      if (is_valid && section.kind == BEACON_CONFIRMATIONS)
        decode_confirmations (&section, confirmations);
      xdr_free ((xdrproc_t)(void (*) (void))xdr_beacon_section,
                (char *)&section);
    }
}

gboolean
beacon_decode (const guint8 *data, gsize length, struct beacon *message,
               struct beacon_confirmations *confirmations)
{
  gboolean is_valid;
  XDR xdr;

  memset (message, 0, sizeof *message);
  if (confirmations != NULL)
    memset (confirmations, 0, sizeof *confirmations);
  xdrmem_create (&xdr, (char *)data, (u_int)length, XDR_DECODE);
  is_valid = xdr_beacon (&xdr, message) && message->magic == BEACON_MAGIC
             && message->sender.name != NULL
             && message->sender.name[0] != '\0';
  if (is_valid && confirmations != NULL)
    decode_sections (&xdr, length, confirmations);
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

void
beacon_clear_confirmations (struct beacon_confirmations *confirmations)
{
  xdr_free ((xdrproc_t)(void (*) (void))xdr_beacon_confirmations,
            (char *)confirmations);
  memset (confirmations, 0, sizeof *confirmations);
}
