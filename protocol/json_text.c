#include "protocol/json_text.h"

/* Bytes that must be escaped, and the NUL at the end of a string.  */
static const gboolean is_special[G_MAXUINT8 + 1] = {
  [0 ... 0x1f] = TRUE,
  ['"'] = TRUE,
  ['\\'] = TRUE,
};

/* The number of bytes at the start of VALUE that need no escaping.  */
static gsize
count_unescaped (const char *value)
{
  gsize n = 0;

  while (!is_special[(guchar)value[n]])
    n++;
  return n;
}

void
json_text_append_string (GString *text, const char *value)
{
  g_string_append_c (text, '"');
  for (;;)
    {
      gsize n = count_unescaped (value);

      g_string_append_len (text, value, (gssize)n);
      value += n;
      if (*value == '\0')
        break;
      if (*value == '"' || *value == '\\')
        g_string_append_printf (text, "\\%c", *value);
      else
        g_string_append_printf (text, "\\u%04x", (guint)(guchar)*value);
      value++;
    }
  g_string_append_c (text, '"');
}
