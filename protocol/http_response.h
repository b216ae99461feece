/*
 * Reader of one HTTP/1.1 response, fed with bytes as they come in.
 *
 * Strict and bounded: lines end in CRLF; header lines, interim responses and
 * trailers share HTTP_MAX_HEAD_BYTES; a body has at most the bytes that were
 * allowed.  A length that is told twice differently, or beside chunks, makes a
 * response unreadable, and so does any coding but "chunked".  Interim
 * responses (1xx) are skipped.  For requests other than HEAD and CONNECT.
 */
#ifndef PROTOCOL_HTTP_RESPONSE_H
#define PROTOCOL_HTTP_RESPONSE_H

#include <glib.h>

/* All header lines of one response, in bytes.  */
#define HTTP_MAX_HEAD_BYTES 16384

enum http_response_state
{
  HTTP_STATUS_LINE,
  HTTP_HEADERS,
  HTTP_BODY,             /* of a known length */
  HTTP_BODY_UNTIL_CLOSE, /* until the connection is closed */
  HTTP_CHUNK_SIZE,
  HTTP_CHUNK,
  HTTP_CHUNK_END, /* the line end after a chunk */
  HTTP_TRAILERS,
  HTTP_COMPLETE,
  HTTP_MALFORMED,
};

struct http_response
{
  enum http_response_state state;
  guint status;
  gboolean keeps_open; /* the connection may carry another request */
  gboolean is_chunked;
  gboolean has_length;
  guint64 left; /* bytes of the body or of the chunk that are still to come */
  gsize head_left; /* bytes that header lines may still take */
  gsize max_body_bytes;
  GString *line; /* the part of a line that has come in */
  GByteArray *body;
};

/* Begins to read a response with a body of at most MAX_BODY_BYTES.  Clear it
   afterwards.  */
void http_response_init (struct http_response *response, gsize max_body_bytes);
void http_response_clear (struct http_response *response);

/*
 * Takes LENGTH bytes.  Returns HTTP_COMPLETE when status and body are there,
 * HTTP_MALFORMED when they never will be, else another state.  Bytes behind
 * the end are dropped, and the connection is then not kept open.
 */
enum http_response_state http_response_feed (struct http_response *response,
                                             const char *data, gsize length);

/* The peer has closed the connection in good order; returns HTTP_COMPLETE or
   HTTP_MALFORMED.  */
enum http_response_state
http_response_feed_end (struct http_response *response);

#endif
