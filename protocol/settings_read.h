/*
 * What the kinds of settings have in common: the way in from a file, and
 * members that several of them have.
 */
#ifndef PROTOCOL_SETTINGS_READ_H
#define PROTOCOL_SETTINGS_READ_H

#include "base/log_level.h"
#include "protocol/json_read.h"

#include <glib.h>

/* An address of this process or of another one.  */
struct endpoint
{
  char *ip;
  guint port; /* 0 lets the kernel choose when listening */
};

/* A kind of settings.  */
struct settings_kind
{
  gpointer (*create) (void); /* with the defaults */
  void (*read) (struct json_check *check, json_t *root, gpointer settings);
  void (*free) (gpointer settings);
};

/*
 * Parses TEXT, JSON with comments, named SOURCE in messages.  Returns NULL
 * with ERROR_INVALID that lists every problem.
 */
gpointer settings_read_text (const struct settings_kind *kind,
                             const char *text, gsize length,
                             const char *source, GError **error);

/* The same of the file at PATH.  */
gpointer settings_read_file (const struct settings_kind *kind,
                             const char *path, GError **error);

/* Reads "IP:PORT", an IPv6 number in brackets.  Returns FALSE when TEXT is
   something else; ENDPOINT->ip is to be freed in both cases.  */
gboolean settings_parse_endpoint (const char *text, struct endpoint *endpoint);

/*
 * Each of these reads member KEY of OBJECT, whose path is PATH, and leaves
 * the value as it is when the member is absent.
 */
void settings_read_endpoint (struct json_check *check, const char *path,
                             json_t *object, const char *key,
                             gboolean is_required, struct endpoint *endpoint);
void settings_read_string (struct json_check *check, const char *path,
                           json_t *object, const char *key,
                           gboolean is_required, char **value);
void settings_read_log_level (struct json_check *check, const char *path,
                              json_t *object, const char *key,
                              enum log_level *level);

#endif
