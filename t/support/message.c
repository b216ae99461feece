#include "t/support/message.h"

GBytes *
message_read (const char *name)
{
  g_autofree char *path = g_strdup_printf ("t/data/messages/%s.hex", name);
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  GByteArray *bytes = g_byte_array_new ();
  const char *at;

  g_file_get_contents (path, &text, NULL, &error);
  g_assert_no_error (error);
  for (at = text; *at != '\0'; at++)
    {
      guint8 byte;

      if (!g_ascii_isxdigit (at[0]))
        continue;
      byte = (guint8)(g_ascii_xdigit_value (at[0]) << 4
                      | g_ascii_xdigit_value (at[1]));
      g_byte_array_append (bytes, &byte, 1);
      at++;
    }
  return g_byte_array_free_to_bytes (bytes);
}
