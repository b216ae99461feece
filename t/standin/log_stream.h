/*
 * One stream of the stand-in log: records with offsets, kept in memory up to
 * a number, and readers that wait for the next record.
 */
#ifndef T_STANDIN_LOG_STREAM_H
#define T_STANDIN_LOG_STREAM_H

#include <libsoup/soup.h>

struct log_stream;

/* Keeps at most RETENTION records, or all of them when it is 0.  */
struct log_stream *log_stream_new (gint64 retention);

/* Appends a record with the JSON text DATA and returns its offset.  */
gint64 log_stream_append (struct log_stream *stream, const char *data);

/* Drops the records below the offset BEFORE.  */
void log_stream_expire (struct log_stream *stream, gint64 before);

/*
 * Answers MSG with at most LIMIT records at or after FROM; holds the answer
 * back for up to WAIT_MS milliseconds while there are none.
 */
void log_stream_read (struct log_stream *stream, SoupServerMessage *msg,
                      gint64 from, gint64 limit, gint64 wait_ms);

/* Leaves the waiting readers without an answer for good.  */
void log_stream_abandon_readers (struct log_stream *stream);

/* Answers MSG with every record that is still kept.  */
void log_stream_dump (struct log_stream *stream, SoupServerMessage *msg);

#endif
