/*
 * POSTs of small bodies to one address over kept-alive HTTP/1.1 connections.
 *
 * Made for few system calls: one to send a request, one to receive its answer
 * and none to set a deadline.  A connection carries one request at a time;
 * the one used last is used first, and those beyond a channel's bound make
 * requests wait.
 *
 * A request is written once at most: it goes over another connection only
 * while no byte of it was written.  When a request ends without an answer, all
 * connections of its channel are left: idle ones are closed, busy ones when
 * their request has ended, and later requests use fresh ones.
 *
 * Nothing is told from inside a call; all ends come from the default main
 * loop.
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
  HTTP_NO_ANSWER, /* no whole, readable answer; the peer may have acted */
};

/* The end of a request.  BODY is NULL and STATUS 0 unless END is
   HTTP_ANSWERED; BODY lives only during the call, in which any function here
   may be called.  */
typedef void http_ended (enum http_outcome end, guint status, GBytes *body,
                         gpointer data);

/* What channels share: the deadlines of their requests.  */
struct http_client *http_client_new (void);

/* Its channels and requests must be gone.  */
void http_client_free (struct http_client *client);

/*
 * A channel to ADDRESS, "IP:PORT".  It has at most MAX_CONNECTIONS, those that
 * were left not counted, and takes bodies of at most MAX_BODY_BYTES.  Requests
 * to what is no address end as not sent.
 */
struct http_channel *http_channel_new (struct http_client *client,
                                       const char *address,
                                       guint max_connections,
                                       gsize max_body_bytes);

/* Requests keep a reference, so that they end as they would have.  */
void http_channel_unref (struct http_channel *channel);

/*
 * Posts LENGTH bytes of JSON, BODY, to PATH with one more header, NAME and
 * VALUE.  ENDED is called with DATA once, at DEADLINE_US of clock_now_us () at
 * the latest, unless the request is cancelled before.  A VALUE with control
 * characters makes it end as not sent.  The request is the channel's.
 */
struct http_request *http_channel_post (struct http_channel *channel,
                                        const char *path, const char *name,
                                        const char *value, const char *body,
                                        gsize length, gint64 deadline_us,
                                        http_ended *ended, gpointer data);

/* Closes the connection of REQUEST, whose end was not told yet; it never will
   be.  */
void http_request_cancel (struct http_request *request);

#endif
