#include "protocol/json_read.h"

#include "base/error.h"

#include <string.h>

void
json_check_init (struct json_check *check, const char *source)
{
  check->source = source;
  check->problems = g_string_new (NULL);
  check->n_problems = 0;
}

gboolean
json_check_end (struct json_check *check, GError **error)
{
  gboolean ok = check->n_problems == 0;

  if (check->n_problems > JSON_MAX_PROBLEMS)
    g_string_append_printf (check->problems, "\n%s: %u more problems",
                            check->source,
                            check->n_problems - JSON_MAX_PROBLEMS);
  if (!ok)
    error_set (error, ERROR_INVALID, "%s", check->problems->str);
  g_string_free (check->problems, TRUE);
  return ok;
}

/* Shortens the UTF-8 text from START on to LENGTH bytes.  */
static void
shorten (GString *text, gsize start, gsize length)
{
  gsize end = start + length;

  if (text->len <= end)
    return;
  while (end > start && ((guint8)text->str[end] & 0xC0) == 0x80)
    end--;
  g_string_truncate (text, end);
  g_string_append (text, "...");
}

void
json_check_add_problem (struct json_check *check, const char *path,
                        const char *format, ...)
{
  va_list args;
  gsize start;

  if (check->n_problems++ >= JSON_MAX_PROBLEMS)
    return;
  if (check->n_problems > 1)
    g_string_append_c (check->problems, '\n');
  start = check->problems->len;
  g_string_append_printf (check->problems, "%s: %s: ", check->source, path);
  va_start (args, format);
  g_string_append_vprintf (check->problems, format, args);
  va_end (args);
  shorten (check->problems, start, JSON_MAX_PROBLEM_BYTES);
}

json_t *
json_parse (const char *text, gsize length, GError **error)
{
  json_error_t parse_error;
  const char *input = text != NULL ? text : "";
  json_t *value = json_loadb (
      input, length, JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, &parse_error);

  if (value == NULL)
    error_set (error, ERROR_INVALID,
               "line %d, column %d: %s; send one valid JSON text in UTF-8",
               parse_error.line, parse_error.column, parse_error.text);
  return value;
}

/* Returns the position of the closing quote of the string literal that starts
   at TEXT[I].  */
static gsize
skip_string (const char *text, gsize length, gsize i)
{
  for (i++; i < length && text[i] != '"'; i++)
    if (text[i] == '\\')
      i++;
  return i;
}

gboolean
json_limit_values (const char *text, gsize length, gsize max, GError **error)
{
  gsize n = 1;

  for (gsize i = 0; i < length && n <= max; i++)
    {
      if (text[i] == '"')
        i = skip_string (text, length, i);
      else if (text[i] == ',' || text[i] == '[' || text[i] == '{')
        n++;
    }
  if (n <= max)
    return TRUE;
  error_set (error, ERROR_TOO_LARGE,
             "the request has more than %" G_GSIZE_FORMAT
             " values; nothing was run; send fewer or simpler tasks",
             max);
  return FALSE;
}

/* Replaces the comment that starts at TEXT[I], if there is one, by spaces.
   Returns its last position, or I.  Line ends are kept, so that the line
   numbers in error messages are right.  */
static gsize
blank_comment (char *text, gsize length, gsize i)
{
  gboolean is_line = i + 1 < length && text[i + 1] == '/';
  gboolean is_block = i + 1 < length && text[i + 1] == '*';
  gsize start = i;

  if (!is_line && !is_block)
    return i;
  for (; i < length; i++)
    {
      if (is_line && text[i] == '\n')
        break;
      if (is_block && i > start + 2 && text[i] == '/' && text[i - 1] == '*')
        break;
    }
  for (gsize k = start; k <= i && k < length; k++)
    if (text[k] != '\n')
      text[k] = ' ';
  return i;
}

static void
blank_comments (char *text, gsize length)
{
  for (gsize i = 0; i < length; i++)
    {
      if (text[i] == '"')
        i = skip_string (text, length, i);
      else if (text[i] == '/')
        i = blank_comment (text, length, i);
    }
}

json_t *
json_parse_with_comments (const char *text, gsize length, GError **error)
{
  g_autofree char *stripped = g_strndup (text, length);

  blank_comments (stripped, length);
  return json_parse (stripped, length, error);
}

static gboolean
is_listed (const char *key, const char *const *keys)
{
  for (; *keys != NULL; keys++)
    if (g_str_equal (key, *keys))
      return TRUE;
  return FALSE;
}

void
json_check_keys (struct json_check *check, const char *path, json_t *object,
                 const char *const *keys)
{
  const char *key;
  json_t *value;

  json_object_foreach (object, key, value)
  {
    if (!is_listed (key, keys))
      {
        g_autofree char *known = g_strjoinv (", ", (char **)keys);

        json_check_add_problem (
            check, path, "unknown member '%s'; remove it, or use one of: %s",
            key, known);
      }
  }
}

/* The member KEY, or NULL.  Adds a problem when it is required and absent.  */
static json_t *
find_member (struct json_check *check, const char *path, json_t *object,
             const char *key, gboolean is_required)
{
  json_t *member = json_object_get (object, key);

  if (member == NULL && is_required)
    json_check_add_problem (check, path, "'%s' is missing; add it", key);
  return member;
}

gboolean
json_read_string (struct json_check *check, const char *path, json_t *object,
                  const char *key, gboolean is_required, const char **value)
{
  json_t *member = find_member (check, path, object, key, is_required);

  if (member == NULL)
    return FALSE;
  if (!json_is_string (member))
    {
      json_check_add_problem (check, path, "'%s' must be a string", key);
      return FALSE;
    }
  *value = json_string_value (member);
  return TRUE;
}

gboolean
json_read_integer (struct json_check *check, const char *path, json_t *object,
                   const char *key, gboolean is_required, gint64 min,
                   gint64 max, gint64 *value)
{
  json_t *member = find_member (check, path, object, key, is_required);

  if (member == NULL)
    return FALSE;
  if (!json_is_integer (member) || json_integer_value (member) < min
      || json_integer_value (member) > max)
    {
      json_check_add_problem (
          check, path,
          "'%s' must be a whole number from %" G_GINT64_FORMAT
          " to %" G_GINT64_FORMAT,
          key, min, max);
      return FALSE;
    }
  *value = json_integer_value (member);
  return TRUE;
}

gboolean
json_read_uint (struct json_check *check, const char *path, json_t *object,
                const char *key, guint min, guint max, guint *value)
{
  gint64 number = 0;

  if (!json_read_integer (check, path, object, key, FALSE, min, max, &number))
    return FALSE;
  *value = (guint)number;
  return TRUE;
}

gboolean
json_read_number (struct json_check *check, const char *path, json_t *object,
                  const char *key, gdouble min, gdouble max, gdouble *value)
{
  json_t *member = json_object_get (object, key);

  if (member == NULL)
    return FALSE;
  if (!json_is_number (member) || json_number_value (member) < min
      || json_number_value (member) > max)
    {
      json_check_add_problem (
          check, path, "'%s' must be a number from %g to %g", key, min, max);
      return FALSE;
    }
  *value = json_number_value (member);
  return TRUE;
}

gboolean
json_read_boolean (struct json_check *check, const char *path, json_t *object,
                   const char *key, gboolean *value)
{
  json_t *member = json_object_get (object, key);

  if (member == NULL)
    return FALSE;
  if (!json_is_boolean (member))
    {
      json_check_add_problem (check, path, "'%s' must be true or false", key);
      return FALSE;
    }
  *value = json_is_true (member);
  return TRUE;
}

gboolean
json_read_object (struct json_check *check, const char *path, json_t *object,
                  const char *key, gboolean is_required, json_t **value)
{
  json_t *member = find_member (check, path, object, key, is_required);

  if (member == NULL)
    return FALSE;
  if (!json_is_object (member))
    {
      json_check_add_problem (check, path, "'%s' must be an object", key);
      return FALSE;
    }
  *value = member;
  return TRUE;
}

gboolean
json_read_array (struct json_check *check, const char *path, json_t *object,
                 const char *key, gboolean is_required, json_t **value)
{
  json_t *member = find_member (check, path, object, key, is_required);

  if (member == NULL)
    return FALSE;
  if (!json_is_array (member))
    {
      json_check_add_problem (check, path, "'%s' must be an array", key);
      return FALSE;
    }
  *value = member;
  return TRUE;
}

char *
json_format (const json_t *value)
{
  return json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
}

char *
json_format_sorted (const json_t *value)
{
  return json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
}
