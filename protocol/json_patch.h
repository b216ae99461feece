/*
 * JSON merge patches (RFC 7396).
 */
#ifndef PROTOCOL_JSON_PATCH_H
#define PROTOCOL_JSON_PATCH_H

#include <glib.h>
#include <jansson.h>

/* Applies PATCH to a copy of TARGET, which may be NULL.  Returns a new
   reference.  */
json_t *json_patch_apply (const json_t *target, const json_t *patch);

/*
 * The patch that turns FROM into TO; a new reference.  Returns NULL when FROM
 * or TO is not an object, and when no merge patch can express the change,
 * which is the case when TO contains null.
 */
json_t *json_patch_diff (const json_t *from, const json_t *to);

/*
 * Appends to TEXT one line for each member that PATCH changes: its path, its
 * value in FROM and its new value.  Each line is indented by two spaces.  Long
 * values are truncated.
 */
void json_patch_describe (const json_t *from, const json_t *patch,
                          GString *text);

#endif
