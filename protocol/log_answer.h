/*
 * The answers of the platform's log, checked.
 */
#ifndef PROTOCOL_LOG_ANSWER_H
#define PROTOCOL_LOG_ANSWER_H

#include <glib.h>
#include <jansson.h>

/* The answer to a read.  */
struct log_answer
{
  guint64 first;   /* oldest offset that is kept */
  guint64 next;    /* offset of the next record */
  json_t *records; /* array, borrowed; NULL in the answer of a gap */
};

/* One record of an answer.  */
struct log_answer_record
{
  guint64 offset;
  gint64 unix_ms; /* when it was appended; 0 when the log does not say */
  json_t *data;   /* borrowed */
};

/* Reads ROOT, the answer with HTTP status STATUS to a read.  Returns FALSE
   with ERROR_UNAVAILABLE when it is not one that docs/PROTOCOLS.md allows.  */
gboolean log_answer_read (guint status, json_t *root,
                          struct log_answer *answer, GError **error);

/* Reads the record at INDEX.  Returns FALSE when it is malformed.  */
gboolean log_answer_get_record (const struct log_answer *answer, gsize index,
                                struct log_answer_record *record);

/* Reads the offset from the answer to an append.  */
gboolean log_answer_read_offset (guint status, json_t *root, guint64 *offset,
                                 GError **error);

#endif
