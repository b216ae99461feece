/*
 * One TCP connection that carries records in ONC RPC record marking, one
 * fragment per record.  Runs on the main loop.
 */
#ifndef TRANSPORT_RPC_STREAM_H
#define TRANSPORT_RPC_STREAM_H

#include <gio/gio.h>

struct rpc_stream;
struct rpc_stream_owner;

struct rpc_stream_owner_ops
{
  /* The connection was established.  May be NULL.  */
  void (*opened) (struct rpc_stream_owner *owner);

  /* A whole record was received.  DATA may be modified, and is valid only
     during the call.  The owner may close the stream within the call.  */
  void (*received) (struct rpc_stream_owner *owner, guint8 *data,
                    gsize length);

  /* The connection was closed, failed, or could not be established.
     WAS_REFUSED: the other machine refused it, as no process listens there.
     The owner must close the stream.  */
  void (*ended) (struct rpc_stream_owner *owner, gboolean was_refused);
};

/* Embedded in the object that owns the stream.  */
struct rpc_stream_owner
{
  const struct rpc_stream_owner_ops *ops;
};

/* Starts to connect.  Even if that fails at once, ended () is called later,
   from the main loop.  OWNER must outlive the stream.  */
struct rpc_stream *rpc_stream_connect (GSocketAddress *address,
                                       struct rpc_stream_owner *owner);

/* A stream on an accepted connection.  Takes a reference to SOCKET.  */
struct rpc_stream *rpc_stream_accept (GSocket *socket,
                                      struct rpc_stream_owner *owner);

/* STREAM resets its connection when it is closed: what was sent and not
   delivered by then is lost, in place of being delivered later.  */
void rpc_stream_discard_on_close (struct rpc_stream *stream);

/* Closes the connection and frees the stream, without a callback.  */
void rpc_stream_close (struct rpc_stream *stream);

/* Sets the length, in bytes, above which received records are refused.  A
   longer one ends the connection.  */
void rpc_stream_set_limit (struct rpc_stream *stream, gsize max_record_bytes);

/*
 * Queues RECORD, which starts with its record mark, and takes a reference to
 * it.  Returns its offset in the output, counted from the start of the
 * connection.  No byte of RECORD is written before rpc_stream_get_written ()
 * exceeds that offset.
 */
guint64 rpc_stream_send (struct rpc_stream *stream, GBytes *record);

/* The number of bytes written to the kernel so far.  */
guint64 rpc_stream_get_written (const struct rpc_stream *stream);

/* The number of queued bytes that were not written to the kernel yet.  */
gsize rpc_stream_get_unwritten (const struct rpc_stream *stream);

/* When data was last received, or the connection was established if none was;
   a reading of clock_now_us ().  0 while it is connecting.  */
gint64 rpc_stream_get_received_us (const struct rpc_stream *stream);

#endif
