/*
 * Sends an HTTP request and reads the body of its response on the main loop.
 *
 * libsoup's own call that reads a whole body uses a thread for each response.
 * Here a body that has arrived together with its headers, as most short ones
 * have, is read at once without a thread.
 */
#ifndef TRANSPORT_HTTP_BODY_H
#define TRANSPORT_HTTP_BODY_H

#include <libsoup/soup.h>

/* Receives the end of a request: the HTTP status, and the body or NULL if no
   whole response of at most MAX_BYTES has come.  BODY is borrowed.  */
typedef void http_body_done_func (guint status, GBytes *body, gpointer data);

/* Sends MESSAGE over SESSION.  DONE is called once from the main loop with
   DATA, also after CANCELLABLE was cancelled.  MAX_BYTES limits the body.  */
void http_body_send (SoupSession *session, SoupMessage *message,
                     GCancellable *cancellable, gsize max_bytes,
                     http_body_done_func *done, gpointer data);

#endif
