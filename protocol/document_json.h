/*
 * The JSON form of a team's configuration document.
 */
#ifndef PROTOCOL_DOCUMENT_JSON_H
#define PROTOCOL_DOCUMENT_JSON_H

#include "state/document.h"

#include <glib.h>
#include <jansson.h>

/* The longest canonical text of a document, in bytes.  One record of the log
   holds it whole, as does one answer of a peer.  */
#define MAX_DOCUMENT_BYTES (896 * 1024)

/*
 * Checks ROOT and builds the document, naming it SOURCE in messages.  Returns
 * a new reference, or NULL with ERROR_INVALID that lists every problem.
 */
struct document *document_from_json (json_t *root, const char *source,
                                     GError **error);

/* The same from text, in which comments are allowed.  */
struct document *document_from_text (const char *text, gsize length,
                                     const char *source, GError **error);

#endif
