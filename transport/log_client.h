/*
 * Follows one stream of the platform's log.
 *
 * Records are read by long polling, each once, in the order of their offsets.
 * A poll that is not answered in time is cancelled and retried on a new
 * connection.  After an error the client retries with exponential backoff and
 * jitter.  A malformed record is not skipped: the client requests it again.
 */
#ifndef TRANSPORT_LOG_CLIENT_H
#define TRANSPORT_LOG_CLIENT_H

#include <glib.h>
#include <jansson.h>

struct log_client;
struct log_reader;

struct log_reader_ops
{
  /* The record at OFFSET was read.  DATA is borrowed.  */
  void (*record_read) (struct log_reader *reader, guint64 offset,
                       json_t *data);

  /* The records before FIRST that were not read yet are not in the log any
     more.  Reading goes on at FIRST.  */
  void (*gap_found) (struct log_reader *reader, guint64 first);

  /* Every record that the log had at its last answer was delivered.  NEXT is
     the offset of the record to be read next.  */
  void (*caught_up) (struct log_reader *reader, guint64 next);
};

/* The first member of the struct that reads a stream.  */
struct log_reader
{
  const struct log_reader_ops *ops;
};

/* Follows STREAM of the log at URL from offset FROM on.  READER must outlive
   the client.  SEED is for the jitter of retries.  */
struct log_client *log_client_new (const char *url, const char *stream,
                                   guint64 from, guint32 seed,
                                   struct log_reader *reader);
void log_client_free (struct log_client *client);

/* Continues to read at offset FROM.  May be called from the functions of the
   reader.  */
void log_client_seek (struct log_client *client, guint64 from);

/* Whether the last request got a valid answer.  */
gboolean log_client_is_available (const struct log_client *client);

#endif
