/*
 * One TCP connection that carries records: ONC RPC record marking, one
 * fragment a record, on the main loop.
 */
#ifndef TRANSPORT_RPC_STREAM_H
#define TRANSPORT_RPC_STREAM_H

#include <gio/gio.h>

struct rpc_stream;
struct rpc_stream_owner;

struct rpc_stream_owner_ops
{
  /* The connection was made.  May be NULL.  */
  void (*opened) (struct rpc_stream_owner *owner);

  /* A whole record came in; DATA may be changed, and lives only during the
     call.  The owner may close the stream within.  */
  void (*received) (struct rpc_stream_owner *owner, guint8 *data,
                    gsize length);

  /* The connection ended or was not made, WAS_REFUSED when the other machine
     said that nobody listens.  The owner closes the stream.  */
  void (*ended) (struct rpc_stream_owner *owner, gboolean was_refused);
};

/* Embedded in whoever owns the stream.  */
struct rpc_stream_owner
{
  const struct rpc_stream_owner_ops *ops;
};

/* Begins a connection.  Its end is told later also when it fails at once.  */
struct rpc_stream *rpc_stream_connect (GSocketAddress *address,
                                       struct rpc_stream_owner *owner);

/* Takes over an accepted connection.  */
struct rpc_stream *rpc_stream_accept (GSocket *socket,
                                      struct rpc_stream_owner *owner);

/* Closes the connection without a callback.  */
void rpc_stream_close (struct rpc_stream *stream);

/* The longest record that is taken from now on, in bytes.  */
void rpc_stream_set_limit (struct rpc_stream *stream, gsize limit);

/*
 * Queues a record with its mark.  Returns its place among all bytes ever
 * queued: none of it was written while rpc_stream_get_written () is no larger.
 */
guint64 rpc_stream_send (struct rpc_stream *stream, GBytes *record);

/* The bytes handed to the kernel so far.  */
guint64 rpc_stream_get_written (const struct rpc_stream *stream);

/* The bytes that wait to be handed to the kernel.  */
gsize rpc_stream_get_queued (const struct rpc_stream *stream);

/* When something last came in, or the connection was made; a reading of
   clock_now_us ().  0 while it is being made.  */
gint64 rpc_stream_get_received_us (const struct rpc_stream *stream);

#endif
