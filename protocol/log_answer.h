/*
 * Parser of the HTTP responses of the platform's log.
 */
#ifndef PROTOCOL_LOG_ANSWER_H
#define PROTOCOL_LOG_ANSWER_H

#include <glib.h>
#include <jansson.h>

/* The response to a read.  */
struct log_answer
{
  guint64 first;   /* oldest offset that the log still has */
  guint64 next;    /* offset of the next record to be appended */
  json_t *records; /* array, borrowed; NULL when the records asked for were
                      deleted (410) */
};

/* One record of a response.  */
struct log_answer_record
{
  guint64 offset;
  gint64 unix_ms; /* when it was appended; 0 when the log does not say */
  json_t *data;   /* borrowed from the response */
};

/* Reads ROOT, the response with the HTTP status STATUS to a read, into ANSWER.
   Returns FALSE with ERROR_UNAVAILABLE when it is not valid according to
   docs/PROTOCOLS.md.  */
gboolean log_answer_read (guint status, json_t *root,
                          struct log_answer *answer, GError **error);

/* Reads the record at INDEX of ANSWER into RECORD.  Returns FALSE when it is
   malformed.  */
gboolean log_answer_get_record (const struct log_answer *answer, gsize index,
                                struct log_answer_record *record);

/* Reads the offset of the new record from ROOT, the response with the HTTP
   status STATUS to an append.  Returns FALSE with ERROR_UNAVAILABLE when there
   is none.  */
gboolean log_answer_read_offset (guint status, json_t *root, guint64 *offset,
                                 GError **error);

#endif
