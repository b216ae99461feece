/*
 * Sends POST requests with small bodies to one address over kept-alive
 * HTTP/1.1 connections.
 *
 * Designed for few system calls: one to send a request, one to receive its
 * answer and none to set a deadline.  A connection carries one request at a
 * time.  The connection used last is reused first.  When a channel has as many
 * busy connections as it may have, further requests wait.
 *
 * A request is sent at most once: it is moved to another connection only if no
 * byte of it was written.  When a request ends without an answer, all
 * connections of its channel are retired: idle ones are closed at once, busy
 * ones when their request has ended, and later requests use new connections.
 *
 * Callbacks are never called from inside a function of this file, only from
 * the default main loop.
 */
#ifndef TRANSPORT_HTTP_CHANNEL_H
#define TRANSPORT_HTTP_CHANNEL_H

#include <glib.h>

struct http_client;
struct http_channel;
struct http_request;

enum http_outcome
{
  HTTP_ANSWERED,
  HTTP_NOT_SENT,  /* no byte was written */
  HTTP_NO_ANSWER, /* no valid answer; the peer may have acted on it */
};

/* Called when a request has ended.  BODY is NULL and STATUS 0 unless OUTCOME
   is HTTP_ANSWERED.  BODY is valid only during the call.  The callback may
   call any function of this file.  */
typedef void http_request_done_func (enum http_outcome outcome, guint status,
                                     GBytes *body, gpointer data);

/* A client keeps the deadlines of the requests of all its channels with one
   timer.  */
struct http_client *http_client_new (void);

/* The client's channels and requests must have been freed before.  */
void http_client_free (struct http_client *client);

/*
 * A channel to ADDRESS, "IP:PORT".  It has at most MAX_CONNECTIONS, not
 * counting retired ones, and accepts answers with bodies of at most
 * MAX_BODY_BYTES.  If ADDRESS is invalid, its requests end with HTTP_NOT_SENT.
 */
struct http_channel *http_channel_new (struct http_client *client,
                                       const char *address,
                                       guint max_connections,
                                       gsize max_body_bytes);

/* Drops the caller's reference.  Each request holds a reference too, so
   requests in progress continue.  */
void http_channel_unref (struct http_channel *channel);

/*
 * Posts BODY, LENGTH bytes of JSON, to PATH with one additional header, NAME
 * and VALUE.  ENDED is called with DATA once, at DEADLINE_US (a reading of
 * clock_now_us ()) at the latest, unless the request is cancelled before.  If
 * VALUE has control characters, the request ends with HTTP_NOT_SENT.  The
 * channel frees the request when it ends.
 */
struct http_request *http_channel_post (struct http_channel *channel,
                                        const char *path, const char *name,
                                        const char *value, const char *body,
                                        gsize length, gint64 deadline_us,
                                        http_request_done_func *ended,
                                        gpointer data);

/* As http_channel_post (), but over a connection that is open and idle, which
   has carried a request before.  Without one, the request ends with
   HTTP_NOT_SENT.  */
struct http_request *
http_channel_post_on_open (struct http_channel *channel, const char *path,
                           const char *name, const char *value,
                           const char *body, gsize length, gint64 deadline_us,
                           http_request_done_func *ended, gpointer data);

/* Cancels and frees REQUEST, which has not ended yet, and closes its
   connection.  Its callback is not called.  */
void http_request_cancel (struct http_request *request);

#endif
