/*
 * Functions that the parsers of all settings files share: reading a file, and
 * reading members that several kinds of settings have.
 */
#ifndef PROTOCOL_SETTINGS_READ_H
#define PROTOCOL_SETTINGS_READ_H

#include "base/log_level.h"
#include "protocol/json_read.h"

#include <glib.h>

/* An address to listen on or to connect to.  */
struct endpoint
{
  char *ip;   /* NULL when it was not set */
  guint port; /* 0 lets the kernel choose when listening */
};

/* The operations of one kind of settings.  */
struct settings_kind
{
  gpointer (*create) (void); /* returns new settings with the defaults */
  void (*read) (struct json_check *check, json_t *root, gpointer settings);
  void (*free) (gpointer settings);
};

/*
 * Parses LENGTH bytes of TEXT, JSON with comments.  SOURCE names it in error
 * messages.  Returns the settings, to be freed with kind->free (), or NULL
 * with ERROR_INVALID that lists every problem.
 */
gpointer settings_read_text (const struct settings_kind *kind,
                             const char *text, gsize length,
                             const char *source, GError **error);

/* The same for the file at PATH.  */
gpointer settings_read_file (const struct settings_kind *kind,
                             const char *path, GError **error);

/* Parses "IP:PORT", in which an IPv6 address is in brackets.  Returns FALSE
   when TEXT is not valid.  May replace ENDPOINT->ip in both cases, which the
   caller must free.  */
gboolean settings_parse_endpoint (const char *text, struct endpoint *endpoint);

/*
 * Each of these functions reads the member KEY of OBJECT, whose path is PATH.
 * The value is unchanged when the member is absent, which adds a problem only
 * with IS_REQUIRED.
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
