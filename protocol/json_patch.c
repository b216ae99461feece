#include "protocol/json_patch.h"

#include "protocol/json_read.h"

/* The longest value in a description, in characters.  */
#define MAX_SHOWN_CHARS 60

static json_t *
patch_object (const json_t *target, const json_t *patch)
{
  json_t *result = json_is_object (target) ? json_copy ((json_t *)target)
                                           : json_object ();
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)patch, key, value)
  {
    if (json_is_null (value))
      json_object_del (result, key);
    else
      json_object_set_new (
          result, key,
          json_patch_apply (json_object_get (result, key), value));
  }
  return result;
}

json_t *
json_patch_apply (const json_t *target, const json_t *patch)
{
  if (!json_is_object (patch))
    return json_deep_copy (patch);
  return patch_object (target, patch);
}

static json_t *diff_objects (const json_t *from, const json_t *to);

/* Sets KEY of PATCH to the patch that turns BEFORE into AFTER, which is NULL
   when the member is removed.  */
static void
diff_member (json_t *patch, const char *key, json_t *before, json_t *after)
{
  if (after == NULL)
    json_object_set_new (patch, key, json_null ());
  else if (json_is_object (before) && json_is_object (after))
    json_object_set_new (patch, key, diff_objects (before, after));
  else
    json_object_set (patch, key, after);
}

static json_t *
diff_objects (const json_t *from, const json_t *to)
{
  json_t *patch = json_object ();
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)from, key, value)
  {
    json_t *after = json_object_get (to, key);

    if (!json_equal (value, after))
      diff_member (patch, key, value, after);
  }
  json_object_foreach ((json_t *)to, key, value)
  {
    if (json_object_get (from, key) == NULL)
      json_object_set (patch, key, value);
  }
  return patch;
}

json_t *
json_patch_diff (const json_t *from, const json_t *to)
{
  json_t *patch;
  json_t *result;

  if (!json_is_object (from) || !json_is_object (to))
    return NULL;
  patch = diff_objects (from, to);
  result = json_patch_apply (from, patch);
  if (!json_equal (result, to))
    g_clear_pointer (&patch, json_decref);
  json_decref (result);
  return patch;
}

/* The text of VALUE, which may be NULL, truncated to MAX_SHOWN_CHARS.  */
static char *
format_truncated (const json_t *value)
{
  char *text = value != NULL ? json_format_sorted (value) : g_strdup ("none");

  if (g_utf8_strlen (text, -1) > MAX_SHOWN_CHARS)
    {
      char *start = g_utf8_substring (text, 0, MAX_SHOWN_CHARS);

      g_free (text);
      text = g_strconcat (start, "...", NULL);
      g_free (start);
    }
  return text;
}

/* Appends a line for each change that VALUE, the part of a patch for the
   member at PATH, makes to FROM, which may be NULL.  */
static void
describe_member (const json_t *from, const json_t *value, const char *path,
                 GString *text)
{
  const char *key;
  json_t *member;

  if (json_is_object (value) && json_is_object (from))
    {
      json_object_foreach ((json_t *)value, key, member)
      {
        g_autofree char *inner = *path == '\0'
                                     ? g_strdup (key)
                                     : g_strconcat (path, ".", key, NULL);

        describe_member (json_object_get (from, key), member, inner, text);
      }
    }
  else
    {
      g_autofree char *before = format_truncated (from);
      g_autofree char *after
          = format_truncated (json_is_null (value) ? NULL : value);

      g_string_append_printf (text, "  %s: %s -> %s\n",
                              *path == '\0' ? "document" : path, before,
                              after);
    }
}

void
json_patch_describe (const json_t *from, const json_t *patch, GString *text)
{
  describe_member (from, patch, "", text);
}
