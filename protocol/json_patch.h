/*
 * JSON merge patches, RFC 7396.
 */
#ifndef PROTOCOL_JSON_PATCH_H
#define PROTOCOL_JSON_PATCH_H

#include <glib.h>
#include <jansson.h>

/* TARGET, which may be NULL, with PATCH applied; a new reference.  TARGET and
   PATCH stay as they are.  */
json_t *json_patch_apply (const json_t *target, const json_t *patch);

/*
 * The patch that makes TO out of FROM; a new reference.  Returns NULL when no
 * merge patch does, which is so when TO contains null.
 */
json_t *json_patch_diff (const json_t *from, const json_t *to);

/*
 * Appends to TEXT one line for each member that PATCH changes: its path, the
 * value in FROM and the new one.  Each line is indented by two spaces.
 */
void json_patch_describe (const json_t *from, const json_t *patch,
                          GString *text);

#endif
