/*
 * Validated reading of JSON.
 *
 * Texts are parsed strictly: duplicate members, invalid UTF-8, NUL characters
 * and deep nesting are errors.  A struct json_check collects every problem of
 * one input, each with the path of the member and the remedy, so that the
 * author can correct all of them at once.
 */
#ifndef PROTOCOL_JSON_READ_H
#define PROTOCOL_JSON_READ_H

#include <glib.h>
#include <jansson.h>

/* How many problems of one input are listed; the others are counted.  */
#define JSON_MAX_PROBLEMS 100

/* The length of one problem; the names in it may be as long as the input.  */
#define JSON_MAX_PROBLEM_BYTES 2048

struct json_check
{
  const char *source; /* names the input in messages; not owned */
  GString *problems;  /* one a line, JSON_MAX_PROBLEMS at most */
  guint n_problems;
};

/* Initialises CHECK, which has no problems yet.  Free it with
   json_check_end ().  */
void json_check_init (struct json_check *check, const char *source);

/*
 * Frees the problems in CHECK.  Returns TRUE when there were none, else FALSE
 * with ERROR_INVALID that lists all of them.
 */
gboolean json_check_end (struct json_check *check, GError **error);

/* Adds a problem with the member at PATH, formatted as by printf ().  */
void json_check_add_problem (struct json_check *check, const char *path,
                             const char *format, ...) G_GNUC_PRINTF (3, 4);

/*
 * Parses LENGTH bytes of JSON text.  TEXT may be NULL when LENGTH is 0.
 * Returns a new reference, or NULL with ERROR_INVALID that names the line and
 * the column.
 */
json_t *json_parse (const char *text, gsize length, GError **error);

/* Whether the JSON text of LENGTH bytes has at most MAX values and members,
   which take far more memory once they are parsed.  Returns FALSE with
   ERROR_TOO_LARGE.  */
gboolean json_limit_values (const char *text, gsize length, gsize max,
                            GError **error);

/* Like json_parse () for a text in which // and slash-star comments are
   allowed.  TEXT must not be NULL.  */
json_t *json_parse_with_comments (const char *text, gsize length,
                                  GError **error);

/* Adds a problem for each member of OBJECT that is not in the NULL-ended
   KEYS.  PATH is the path of OBJECT.  */
void json_check_keys (struct json_check *check, const char *path,
                      json_t *object, const char *const *keys);

/*
 * Each of these functions reads the member KEY of OBJECT, whose path is PATH,
 * and returns TRUE when it has set *VALUE.  When the member is absent, *VALUE
 * is unchanged, and a problem is added only with IS_REQUIRED.  When the member
 * has the wrong type or is not between MIN and MAX, *VALUE is unchanged and a
 * problem is added.  Strings are borrowed from OBJECT.
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

/* The same for an object or an array.  *VALUE is borrowed from OBJECT.  */
gboolean json_read_object (struct json_check *check, const char *path,
                           json_t *object, const char *key,
                           gboolean is_required, json_t **value);
gboolean json_read_array (struct json_check *check, const char *path,
                          json_t *object, const char *key,
                          gboolean is_required, json_t **value);

/* VALUE as compact JSON text.  Free with g_free ().  */
char *json_format (const json_t *value);

/* The same with sorted members, so that equal values have equal texts.  Free
   with g_free ().  */
char *json_format_sorted (const json_t *value);

#endif
