/*
 * Follows one stream of the platform's log.
 *
 * Records are read in the order of their offsets, each once, by long polls.
 * A poll that is not answered in time is given up and tried again on a fresh
 * connection; after an error the client pauses, a little longer each time,
 * with jitter.  A record that cannot be read is not passed over: the client
 * asks for it again.
 */
#ifndef TRANSPORT_LOG_CLIENT_H
#define TRANSPORT_LOG_CLIENT_H

#include <glib.h>
#include <jansson.h>

struct log_client;
struct log_reader;

struct log_reader_ops
{
  /* The record at OFFSET.  DATA is borrowed.  */
  void (*record) (struct log_reader *reader, guint64 offset, json_t *data);

  /* Records before FIRST are gone; reading goes on at FIRST.  */
  void (*gap) (struct log_reader *reader, guint64 first);

  /* Every record that the log had at the time was delivered.  */
  void (*caught_up) (struct log_reader *reader, guint64 next);
};

/* The first member of whoever reads a stream.  */
struct log_reader
{
  const struct log_reader_ops *ops;
};

/* Follows STREAM of the log at URL from offset FROM on.  READER must outlive
   the client.  SEED is for the jitter of pauses.  */
struct log_client *log_client_new (const char *url, const char *stream,
                                   guint64 from, guint32 seed,
                                   struct log_reader *reader);
void log_client_free (struct log_client *client);

/* Goes on reading at offset FROM; may be called by the reader.  */
void log_client_seek (struct log_client *client, guint64 from);

/* Whether the last request was answered.  */
gboolean log_client_is_available (const struct log_client *client);

#endif
