/*
 * Writes JSON by hand, for messages that are too frequent to build a tree for.
 */
#ifndef PROTOCOL_JSON_TEXT_H
#define PROTOCOL_JSON_TEXT_H

#include <glib.h>

/* Appends VALUE, which must be UTF-8, as a quoted string.  */
void json_text_append_string (GString *text, const char *value);

#endif
