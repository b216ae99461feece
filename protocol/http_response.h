/*
 * Incremental parser of one HTTP/1.1 response, which is fed with bytes as they
 * are received.
 *
 * The parser is strict and its memory is bounded.  Lines must end in CRLF.
 * Status lines, header lines and trailers, those of interim responses (1xx)
 * included, may have HTTP_MAX_HEAD_BYTES together, and the body has a limit of
 * its own.  A response is malformed when it has different Content-Length
 * values, both a Content-Length and a Transfer-Encoding, or a transfer coding
 * other than "chunked".  Interim responses are skipped.
 *
 * Responses to HEAD and CONNECT requests are not supported.
 */
#ifndef PROTOCOL_HTTP_RESPONSE_H
#define PROTOCOL_HTTP_RESPONSE_H

#include <glib.h>

/* Limit of all status, header and trailer lines of one response, in bytes.  */
#define HTTP_MAX_HEAD_BYTES 16384

enum http_response_state
{
  HTTP_STATUS_LINE,
  HTTP_HEADERS,
  HTTP_BODY,             /* of a known length */
  HTTP_BODY_UNTIL_CLOSE, /* of unknown length; ends with the connection */
  HTTP_CHUNK_SIZE,
  HTTP_CHUNK,     /* the data of a chunk */
  HTTP_CHUNK_END, /* the CRLF after the data of a chunk */
  HTTP_TRAILERS,
  HTTP_COMPLETE,
  HTTP_MALFORMED,
};

struct http_response
{
  enum http_response_state state;
  guint status;
  gboolean keeps_open;   /* the connection may be reused for another request */
  gboolean is_chunked;   /* has "Transfer-Encoding: chunked" */
  gboolean has_length;   /* has a Content-Length */
  guint64 bytes_left;    /* of the body or the chunk, still to be received */
  gsize head_bytes_left; /* of HTTP_MAX_HEAD_BYTES, still allowed */
  gsize max_body_bytes;
  GString *line; /* the current line, as far as it was received */
  GByteArray *body;
};

/* Prepares RESPONSE for a body of at most MAX_BODY_BYTES.  Free its members
   with http_response_clear ().  */
void http_response_init (struct http_response *response, gsize max_body_bytes);
void http_response_clear (struct http_response *response);

/*
 * Parses the next LENGTH bytes at DATA.  Returns HTTP_COMPLETE once status and
 * body were received, HTTP_MALFORMED once the response is invalid, else the
 * state that it waits in.  Bytes after the end of the response are discarded,
 * and keeps_open is then FALSE.
 */
enum http_response_state http_response_feed (struct http_response *response,
                                             const char *data, gsize length);

/* To be called when the peer has closed the connection without an error.
   Returns HTTP_COMPLETE or HTTP_MALFORMED.  */
enum http_response_state
http_response_feed_end (struct http_response *response);

#endif
