/*
 * Parser of the JSON form of a team's configuration document.
 */
#ifndef PROTOCOL_DOCUMENT_JSON_H
#define PROTOCOL_DOCUMENT_JSON_H

#include "state/document.h"

#include <glib.h>
#include <jansson.h>

/* The longest canonical JSON text of a document (sorted members, no spaces),
   in bytes.  It must fit into one record of the log and into one reply of a
   peer.  */
#define MAX_DOCUMENT_BYTES (896 * 1024)

/*
 * Validates ROOT and builds a document from it.  SOURCE names the input in
 * error messages.  Returns a new reference, or NULL with ERROR_INVALID that
 * lists every problem.
 */
struct document *document_from_json (json_t *root, const char *source,
                                     GError **error);

/* The same for a JSON text, in which comments are allowed.  */
struct document *document_from_text (const char *text, gsize length,
                                     const char *source, GError **error);

#endif
