/*
 * Checked reading of JSON.
 *
 * Text is parsed strictly: duplicate members, invalid UTF-8, NUL characters
 * and deep nesting are errors.  A struct json_check collects every problem of
 * one input, each with the path of the member and the remedy, so that a person
 * corrects them all at once.
 */
#ifndef PROTOCOL_JSON_READ_H
#define PROTOCOL_JSON_READ_H

#include <glib.h>
#include <jansson.h>

struct json_check
{
  const char *source; /* names the input in messages; not owned */
  GString *problems;  /* one a line */
  guint n_problems;
};

/* Prepares CHECK; ended by json_check_end ().  */
void json_check_init (struct json_check *check, const char *source);

/*
 * Frees what CHECK collected.  Returns FALSE with ERROR_INVALID and all the
 * problems when there were any.
 */
gboolean json_check_end (struct json_check *check, GError **error);

/* Adds a problem of the member at PATH.  */
void json_check_add_problem (struct json_check *check, const char *path,
                             const char *format, ...) G_GNUC_PRINTF (3, 4);

/*
 * Parses a whole text.  Returns a new reference, or NULL with ERROR_INVALID
 * naming line and column.
 */
json_t *json_parse (const char *text, gsize length, GError **error);

/* The same for a text in which // and slash-star comments are allowed.  */
json_t *json_parse_with_comments (const char *text, gsize length,
                                  GError **error);

/* Complains about members of OBJECT that are not in the NULL-ended KEYS.  */
void json_check_keys (struct json_check *check, const char *path,
                      json_t *object, const char *const *keys);

/*
 * Each of these reads member KEY of OBJECT, whose path is PATH.  When it is
 * absent, *VALUE stays as it is; that is a problem only if IS_REQUIRED.
 * Returns TRUE when *VALUE was set.
 */
gboolean json_read_string (struct json_check *check, const char *path,
                           json_t *object, const char *key,
                           gboolean is_required, const char **value);
gboolean json_read_integer (struct json_check *check, const char *path,
                            json_t *object, const char *key,
                            gboolean is_required, gint64 min, gint64 max,
                            gint64 *value);
gboolean json_read_uint (struct json_check *check, const char *path,
                         json_t *object, const char *key, guint min, guint max,
                         guint *value);
gboolean json_read_number (struct json_check *check, const char *path,
                           json_t *object, const char *key, gdouble min,
                           gdouble max, gdouble *value);
gboolean json_read_boolean (struct json_check *check, const char *path,
                            json_t *object, const char *key, gboolean *value);

/* Reads an object or array; *VALUE is borrowed from OBJECT.  */
gboolean json_read_object (struct json_check *check, const char *path,
                           json_t *object, const char *key,
                           gboolean is_required, json_t **value);
gboolean json_read_array (struct json_check *check, const char *path,
                          json_t *object, const char *key,
                          gboolean is_required, json_t **value);

/* The compact text of VALUE.  Free with g_free ().  */
char *json_format (const json_t *value);

/* The same with members sorted by name, so that equal values have equal
   texts.  Free with g_free ().  */
char *json_format_sorted (const json_t *value);

#endif
