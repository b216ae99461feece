#include "base/log_line.h"

#include <math.h>
#include <string.h>

#define ENDING "}\n"
#define CUT_ENDING ",\"cut\":true}\n"
#define MAX_FIELDS_LENGTH (LOG_LINE_MAX - sizeof (CUT_ENDING))

/* Maximum length of a 64-bit integer in decimal, sign included.  */
#define MAX_DIGITS 20

/* Appends BYTES, or sets is_full and appends nothing more to this member when
   they do not fit.  */
static void
append (struct log_line *line, const char *bytes, gsize length)
{
  if (line->length + length > MAX_FIELDS_LENGTH)
    line->is_full = TRUE;
  if (line->is_full)
    return;
  memcpy (line->text + line->length, bytes, length);
  line->length += length;
}

/* Starts a member.  Returns its position, for end_member ().  */
static gsize
begin_member (struct log_line *line, const char *key)
{
  gsize start = line->length;

  line->is_full = FALSE;
  if (start > 1)
    append (line, ",", 1);
  append (line, "\"", 1);
  append (line, key, strlen (key));
  append (line, "\":", 2);
  return start;
}

/* Removes the member that began at START unless all of it did fit.  */
static void
end_member (struct log_line *line, gsize start)
{
  if (!line->is_full)
    return;
  line->length = start;
  line->is_cut = TRUE;
}

/* Appends the first character of TEXT, which is not plain: escaped, as UTF-8
   or as a question mark.  Returns its length in TEXT, in bytes.  */
static gsize
append_special (struct log_line *line, const char *text)
{
  static const char hex[] = "0123456789abcdef";
  guchar c = (guchar)*text;

  if (c == '"' || c == '\\')
    {
      char escape[] = { '\\', *text };

      append (line, escape, sizeof (escape));
    }
  else if (c < ' ')
    {
      char escape[] = { '\\', 'u', '0', '0', hex[c >> 4], hex[c & 15] };

      append (line, escape, sizeof (escape));
    }
  else
    {
      gunichar wide = g_utf8_get_char_validated (text, -1);
      gboolean is_valid
          = wide != (gunichar)-1 && wide != (gunichar)-2 && wide != 0;
      gsize length = is_valid ? (gsize)(g_utf8_next_char (text) - text) : 1;

      append (line, is_valid ? text : "?", length);
      return length;
    }
  return 1;
}

static gboolean
is_plain (char c)
{
  return c >= ' ' && c != '"' && c != '\\' && c < 0x7f;
}

static void
append_text (struct log_line *line, const char *text)
{
  const char *end = text + LOG_LINE_MAX_TEXT;

  append (line, "\"", 1);
  while (*text != '\0' && text < end)
    {
      gsize n = 0;

      while (text + n < end && text[n] != '\0' && is_plain (text[n]))
        n++;
      if (n > 0)
        append (line, text, n);
      else
        n = append_special (line, text);
      text += n;
    }
  if (*text != '\0')
    line->is_cut = TRUE;
  append (line, "\"", 1);
}

static void
append_int (struct log_line *line, gint64 value)
{
  char digits[MAX_DIGITS];
  char *at = digits + sizeof (digits);
  guint64 rest = value < 0 ? -(guint64)value : (guint64)value;

  do
    *--at = (char)('0' + rest % 10);
  while ((rest /= 10) != 0);
  if (value < 0)
    *--at = '-';
  append (line, at, (gsize)(digits + sizeof (digits) - at));
}

void
log_line_begin (struct log_line *line)
{
  line->length = 0;
  line->is_cut = FALSE;
  line->is_full = FALSE;
  append (line, "{", 1);
}

void
log_line_add_text (struct log_line *line, const char *key, const char *value)
{
  gsize start = begin_member (line, key);

  if (value != NULL)
    append_text (line, value);
  else
    append (line, "null", strlen ("null"));
  end_member (line, start);
}

void
log_line_add_int (struct log_line *line, const char *key, gint64 value)
{
  gsize start = begin_member (line, key);

  append_int (line, value);
  end_member (line, start);
}

void
log_line_add_real (struct log_line *line, const char *key, gdouble value)
{
  gsize start = begin_member (line, key);
  char digits[G_ASCII_DTOSTR_BUF_SIZE];
  const char *text = "null";

  if (isfinite (value))
    text = g_ascii_formatd (digits, sizeof (digits), "%.6g", value);
  append (line, text, strlen (text));
  end_member (line, start);
}

void
log_line_add_bool (struct log_line *line, const char *key, gboolean value)
{
  gsize start = begin_member (line, key);
  const char *text = value ? "true" : "false";

  append (line, text, strlen (text));
  end_member (line, start);
}

void
log_line_end (struct log_line *line)
{
  const char *ending = line->is_cut ? CUT_ENDING : ENDING;
  gsize length = strlen (ending);

  memcpy (line->text + line->length, ending, length);
  line->length += length;
}
