#include "protocol/settings_read.h"

#include "base/error.h"

#include <gio/gio.h>
#include <string.h>

#define MAX_PORT 65535

gpointer
settings_read_text (const struct settings_kind *kind, const char *text,
                    gsize length, const char *source, GError **error)
{
  json_t *root = json_parse_with_comments (text, length, error);
  struct json_check check;
  gpointer settings;

  if (root == NULL)
    {
      g_prefix_error (error, "%s: ", source);
      return NULL;
    }
  settings = kind->create ();
  json_check_init (&check, source);
  kind->read (&check, root, settings);
  json_decref (root);
  if (json_check_end (&check, error))
    return settings;
  kind->free (settings);
  return NULL;
}

gpointer
settings_read_file (const struct settings_kind *kind, const char *path,
                    GError **error)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) cause = NULL;
  gsize length = 0;

  if (g_file_get_contents (path, &text, &length, &cause))
    return settings_read_text (kind, text, length, path, error);
  error_set (error, ERROR_INVALID,
             "settings cannot be read; check the path: %s", cause->message);
  return NULL;
}

gboolean
settings_parse_endpoint (const char *text, struct endpoint *endpoint)
{
  const char *colon = strrchr (text, ':');
  guint64 port = 0;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, MAX_PORT, &port, NULL))
    return FALSE;
  g_free (endpoint->ip);
  endpoint->ip = g_strndup (text, (gsize)(colon - text));
  if (endpoint->ip[0] == '[' && g_str_has_suffix (endpoint->ip, "]"))
    {
      char *inner = g_strndup (endpoint->ip + 1, strlen (endpoint->ip) - 2);

      g_free (endpoint->ip);
      endpoint->ip = inner;
    }
  endpoint->port = (guint)port;
  return g_hostname_is_ip_address (endpoint->ip);
}

void
settings_read_endpoint (struct json_check *check, const char *path,
                        json_t *object, const char *key, gboolean is_required,
                        struct endpoint *endpoint)
{
  const char *text = NULL;

  if (!json_read_string (check, path, object, key, is_required, &text)
      || (text[0] == '\0' && !is_required))
    return;
  if (!settings_parse_endpoint (text, endpoint))
    json_check_add_problem (check, key,
                            "must be IP:PORT, as in 10.0.1.5:8080");
}

void
settings_read_string (struct json_check *check, const char *path,
                      json_t *object, const char *key, gboolean is_required,
                      char **value)
{
  const char *text = NULL;

  if (!json_read_string (check, path, object, key, is_required, &text))
    return;
  g_free (*value);
  *value = g_strdup (text);
}

void
settings_read_log_level (struct json_check *check, const char *path,
                         json_t *object, const char *key,
                         enum log_level *level)
{
  const char *text = NULL;

  if (json_read_string (check, path, object, key, FALSE, &text)
      && !log_level_from_name (text, level))
    json_check_add_problem (
        check, path, "'%s' must be one of: error, warning, info, debug", key);
}
