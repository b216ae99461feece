/*
 * Records of the configuration stream and of the snapshot stream.
 *
 * docs/CONFIGURATION.md describes both.  A change carries a whole document or
 * a merge patch against the document of its base version.
 */
#ifndef PROTOCOL_LOG_RECORD_H
#define PROTOCOL_LOG_RECORD_H

#include "coordination/config_log.h"

#include <glib.h>
#include <jansson.h>

/* The most bytes of a record that the platform's log takes.  */
#define MAX_RECORD_BYTES (1024 * 1024)

enum log_record_kind
{
  LOG_RECORD_CHANGE,
  LOG_RECORD_OTHER,   /* of a kind that this program does not know */
  LOG_RECORD_INVALID, /* a change without a sound team or base */
};

/*
 * Reads DATA, the record at OFFSET of the configuration stream.  The fields
 * of CHANGE borrow from DATA; its content is DATA itself.  On
 * LOG_RECORD_INVALID, ERROR lists the problems.
 */
enum log_record_kind log_record_read_change (json_t *data, guint64 offset,
                                             struct config_change *change,
                                             GError **error);

/* Builds the document of CHANGE; fits the build function of the driver of a
   struct config_log.  */
struct document *log_record_build_document (const struct config_change *change,
                                            const struct document *base,
                                            GError **error);

/*
 * The record that publishes DOCUMENT under the id EDIT: as a patch against
 * BASE if that is shorter, else whole.  BASE is NULL for a new team.  A new
 * reference.
 */
json_t *log_record_format_change (json_t *document,
                                  const struct document *base,
                                  const char *edit, const char *author,
                                  gboolean is_forced);

/* The JSON of a document; a new reference.  */
json_t *log_record_parse_document (const struct document *document);

/*
 * The records of a snapshot of the documents of LOG, as an array of JSON
 * texts, each below MAX_RECORD_BYTES.  ID is unique to the snapshot; AUTHOR is
 * the VM that writes it.  Uncertain documents are left out.
 */
GPtrArray *log_record_format_snapshot (const struct config_log *log,
                                       const char *id, const char *author);

/* Puts the parts of snapshots together.  */
struct snapshot_reader;

/* A snapshot of which every part was read.  */
struct snapshot
{
  GPtrArray *documents; /* struct document, owned */
  guint64 upto;         /* every change before this offset is in it */
  gboolean is_whole;    /* no team is left out */
};

struct snapshot_reader *snapshot_reader_new (void);
void snapshot_reader_free (struct snapshot_reader *reader);

/* Adds a record of the snapshot stream; one that is malformed, or holds a
   document that is invalid, is ignored with its whole snapshot.  */
void snapshot_reader_add (struct snapshot_reader *reader, json_t *data);

/* The complete snapshot with the highest UPTO, or NULL.  Owned by READER,
   until the next record is added.  */
const struct snapshot *
snapshot_reader_get_newest (const struct snapshot_reader *reader);

/* The JSON of DOCUMENT with its version, edit and author, as in a snapshot
   and between peers; a new reference.  */
json_t *log_record_format_document (const struct document *document);

/* The reverse.  Returns a new reference, or NULL with ERROR_INVALID.  */
struct document *log_record_read_document (json_t *data, const char *source,
                                           GError **error);

#endif
