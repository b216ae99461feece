/*
 * Reads the body of an HTTP answer on the main loop.
 *
 * The library's own call for a whole body goes through a thread for each
 * answer; a short body, which mostly has come in together with its headers, is
 * read at once here.
 */
#ifndef TRANSPORT_HTTP_BODY_H
#define TRANSPORT_HTTP_BODY_H

#include <libsoup/soup.h>

/* The end of a request.  STATUS is that of HTTP; BODY is NULL when there was
   no whole answer within MAX_BYTES.  Both live only during the call.  */
typedef void http_body_done_func (guint status, GBytes *body, gpointer data);

/* Sends MESSAGE over SESSION.  READ is called once from the main loop, also
   after CANCELLABLE was cancelled.  */
void http_body_send (SoupSession *session, SoupMessage *message,
                     GCancellable *cancellable, gsize max_bytes,
                     http_body_done_func *read, gpointer data);

#endif
