/*
 * Writes JSON text directly, for messages that are sent too often to build a
 * tree of values first.
 */
#ifndef PROTOCOL_JSON_TEXT_H
#define PROTOCOL_JSON_TEXT_H

#include <glib.h>

/* Appends VALUE, which must be valid UTF-8, as a quoted and escaped JSON
   string.  */
void json_text_append_string (GString *text, const char *value);

#endif
