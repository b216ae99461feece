/*
 * Formats and parses the records of the configuration stream and of the
 * snapshot stream.
 *
 * docs/CONFIGURATION.md describes both.  A change contains a whole document or
 * a merge patch against the document of its base version.
 */
#ifndef PROTOCOL_LOG_RECORD_H
#define PROTOCOL_LOG_RECORD_H

#include "coordination/config_log.h"

#include <glib.h>
#include <jansson.h>

/* The largest record that the platform's log accepts, in bytes.  */
#define MAX_RECORD_BYTES (1024 * 1024)

enum log_record_kind
{
  LOG_RECORD_CHANGE,
  LOG_RECORD_OTHER,   /* of an unknown kind */
  LOG_RECORD_INVALID, /* a change with a missing or malformed member */
};

/*
 * Reads DATA, the record at OFFSET of the configuration stream, into CHANGE.
 * The fields of CHANGE borrow from DATA, and its content is DATA itself.  With
 * LOG_RECORD_INVALID, ERROR lists the problems.  With LOG_RECORD_OTHER, CHANGE
 * is not set.
 */
enum log_record_kind log_record_read_change (json_t *data, guint64 offset,
                                             struct config_change *change,
                                             GError **error);

/* Builds the document that CHANGE makes of BASE, the document in force, which
   may be NULL.  Returns a new reference, or NULL with ERROR_INVALID.  Meant
   for the build () operation of a struct config_log_driver.  */
struct document *log_record_build_document (const struct config_change *change,
                                            const struct document *base,
                                            GError **error);

/*
 * The record that publishes DOCUMENT under the edit id EDIT.  It contains a
 * patch against BASE when that is shorter than the document and IS_FORCED is
 * FALSE, else the whole document.  BASE is NULL for a new team.  A new
 * reference.
 */
json_t *log_record_format_change (json_t *document,
                                  const struct document *base,
                                  const char *edit, const char *author,
                                  gboolean is_forced);

/* The JSON value of DOCUMENT's text; a new reference.  */
json_t *log_record_document_to_json (const struct document *document);

/*
 * The records of a snapshot of the documents of LOG: an array of JSON texts,
 * each below MAX_RECORD_BYTES, which it owns.  ID must be unique to the
 * snapshot.  AUTHOR is the VM that writes it.  Documents whose entry is not
 * certain, because a record after their version is missing, are omitted.
 */
GPtrArray *log_record_format_snapshot (const struct config_log *log,
                                       const char *id, const char *author);

/* Assembles snapshots from their records.  */
struct snapshot_reader;

/* A snapshot of which every part has been read.  */
struct snapshot
{
  GPtrArray *documents; /* struct document, owned */
  guint64 upto;         /* it includes every change before this offset */
  gboolean is_whole;    /* no team is omitted */
};

/* Free with snapshot_reader_free ().  */
struct snapshot_reader *snapshot_reader_new (void);
void snapshot_reader_free (struct snapshot_reader *reader);

/* Adds DATA, a record of the snapshot stream.  A malformed record is ignored,
   so its snapshot stays incomplete.  A snapshot with an invalid document is
   ignored as a whole.  */
void snapshot_reader_add (struct snapshot_reader *reader, json_t *data);

/* The complete snapshot with the highest upto, or NULL when none is complete.
   Owned by READER, and valid until the next record is added.  */
const struct snapshot *
snapshot_reader_get_newest (const struct snapshot_reader *reader);

/* The JSON of DOCUMENT with its version, edit and author, as snapshots contain
   it and `config show` prints it; a new reference.  */
json_t *log_record_format_document (const struct document *document);

/* Reads DATA as log_record_format_document () formats it.  SOURCE names it in
   error messages.  Returns a new reference, or NULL with ERROR_INVALID.  */
struct document *log_record_read_document (json_t *data, const char *source,
                                           GError **error);

#endif
