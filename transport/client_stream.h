/*
 * The stream of one client's connection, as the HTTP server sees it.
 *
 * It passes bytes on, and tells its owner about them.  The owner can detach
 * it from the connection: the server then reads its end, and what the server
 * writes is discarded.  The connection itself stays open until the owner
 * closes it, also when the server closes this stream.
 */
#ifndef TRANSPORT_CLIENT_STREAM_H
#define TRANSPORT_CLIENT_STREAM_H

#include <gio/gio.h>

#define CLIENT_TYPE_STREAM (client_stream_get_type ())
G_DECLARE_FINAL_TYPE (ClientStream, client_stream, CLIENT, STREAM, GIOStream)

struct client_stream_owner_ops;

/* A member of the object that owns the connection.  */
struct client_stream_owner
{
  const struct client_stream_owner_ops *ops;
};

struct client_stream_owner_ops
{
  /* How many of COUNT bytes may be read now; with 0 the server tries again in
     the next turn of the main loop.  */
  gsize (*limit_read) (struct client_stream_owner *owner, gsize count);

  /* N bytes were read.  May detach the stream.  */
  void (*received) (struct client_stream_owner *owner, gsize n);

  /* A write has made progress, or it waits for the client to read.  */
  void (*sent) (struct client_stream_owner *owner, gboolean is_blocked);

  /* The server has closed the stream.  The owner is not used any more.  */
  void (*closed) (struct client_stream_owner *owner);
};

/* A stream over BASE, whose streams are pollable.  OWNER must exist until its
   function closed was called.  */
ClientStream *client_stream_new (GIOStream *base,
                                 struct client_stream_owner *owner);

/* Detaches STREAM from its connection, and wakes the server if it reads or
   writes.  */
void client_stream_detach (ClientStream *stream);

/* The server waits for a new request from now on.  */
void client_stream_begin_request (ClientStream *stream);

#endif
