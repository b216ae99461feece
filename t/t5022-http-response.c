/*
 * The reader of HTTP responses: what it takes, what it refuses, and that both
 * do not depend on the pieces in which bytes come in.
 */
#include "protocol/http_response.h"

#include <string.h>

#define MAX_BODY_BYTES 8

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

struct whole
{
  const char *text;
  guint status;
  const char *body;
  gboolean keeps_open;
};

static const struct whole wholes[] = {
  { OK "Content-Length: 2\r\n\r\nab", 200, "ab", TRUE },
  { OK "content-length:\t2 \r\nX-Other: a: b\r\n\r\nab", 200, "ab", TRUE },
  { OK "Content-Length: 8\r\n\r\n12345678", 200, "12345678", TRUE },
  { OK "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 200, "a", TRUE },
  { "HTTP/1.1 421 \r\nContent-Length: 0\r\n\r\n", 421, "", TRUE },
  { "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", 503, "", TRUE },
  { "HTTP/1.1 204 No Content\r\n\r\n", 204, "", TRUE },
  { "HTTP/1.1 304 x\r\nContent-Length: 5\r\n\r\n", 304, "", TRUE },
  { OK "Connection: Close\r\nContent-Length: 1\r\n\r\na", 200, "a", FALSE },
  { OK "Connection: x, close\r\nContent-Length: 1\r\n\r\na", 200, "a", FALSE },
  { "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", 200, "a", FALSE },
  { CHUNKED "2\r\nab\r\n1;x=\"y\"\r\nc\r\n0\r\n\r\n", 200, "abc", TRUE },
  { CHUNKED "8 \r\n12345678\r\n00\r\nX-Sum: 1\r\n\r\n", 200, "12345678",
    TRUE },
  { CHUNKED "0\r\n\r\n", 200, "", TRUE },
  { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 x\r\nA: b\r\n\r\n" OK
    "Content-Length: 1\r\n\r\na",
    200, "a", TRUE },
};

/* These end with the connection, or go on behind their end.  */
static const struct whole closed[] = {
  { OK "\r\n", 200, "", FALSE },
  { OK "\r\nabc", 200, "abc", FALSE },
  { OK "Connection: close\r\n\r\n12345678", 200, "12345678", FALSE },
  { OK "Content-Length: 1\r\n\r\nab", 200, "a", FALSE },
};

static const char *const unreadable[] = {
  "\r\n",
  "ICY 200 OK\r\n",
  "HTTP/2.0 200 OK\r\n",
  "HTTP/1.x 200 OK\r\n",
  "HTTP/1.1  200 OK\r\n",
  "HTTP/1.1 20 OK\r\n",
  "HTTP/1.1 2000 OK\r\n",
  "HTTP/1.1 099 OK\r\n",
  "HTTP/1.1 200 OK\n",
  "HTTP/1.1 200 O\rK\r\n",
  "HTTP/1.1 101 Switching Protocols\r\n\r\n",
  OK "Content-Length : 1\r\n",
  OK " folded\r\n",
  OK ": none\r\n",
  OK "none\r\n",
  OK "A: \001\r\n",
  OK "Content-Length: 9\r\n",
  OK "Content-Length: -1\r\n",
  OK "Content-Length: +1\r\n",
  OK "Content-Length: 1, 1\r\n",
  OK "Content-Length: \r\n",
  OK "Content-Length: 18446744073709551617\r\n",
  OK "Content-Length: 1\r\nContent-Length: 2\r\n",
  OK "Transfer-Encoding: gzip\r\n",
  OK "Transfer-Encoding: gzip, chunked\r\n",
  OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
  OK "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
  OK "\r\n123456789",
  CHUNKED "\r\n",
  CHUNKED "g\r\n",
  CHUNKED "0x1\r\n",
  CHUNKED "-1\r\n",
  CHUNKED "9\r\n",
  CHUNKED "5\r\n12345\r\n4\r\n",
  CHUNKED "1\r\nab\r\n",
  CHUNKED "1\r\na\r\n0\r\nnone\r\n",
  CHUNKED "ffffffffffffffffff\r\n",
};

/* Feeds TEXT in pieces of SIZE bytes, until one is refused.  */
static void
feed (struct http_response *response, const char *text, gsize size)
{
  gsize length = strlen (text);

  http_response_init (response, MAX_BODY_BYTES);
  for (gsize i = 0; i < length && response->state != HTTP_MALFORMED; i += size)
    http_response_feed (response, text + i, MIN (size, length - i));
}

static void
expect_whole (struct http_response *response, const struct whole *whole)
{
  g_autofree char *body = g_strdup_printf ("%.*s", (int)response->body->len,
                                           (const char *)response->body->data);

  if (response->state != HTTP_COMPLETE || response->status != whole->status
      || !g_str_equal (body, whole->body)
      || response->keeps_open != whole->keeps_open)
    g_error ("%s: state %d, %u, %s", whole->text, (int)response->state,
             response->status, body);
  http_response_clear (response);
}

static void
test_whole (void)
{
  struct http_response response;

  for (gsize size = 1; size < 100; size++)
    {
      for (gsize i = 0; i < G_N_ELEMENTS (wholes); i++)
        {
          feed (&response, wholes[i].text, size);
          expect_whole (&response, &wholes[i]);
        }
      for (gsize i = 0; i < G_N_ELEMENTS (closed); i++)
        {
          feed (&response, closed[i].text, size);
          http_response_feed_end (&response);
          expect_whole (&response, &closed[i]);
        }
    }
}

/* Whatever is cut off is not taken for an answer.  */
static void
test_cut (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (wholes); i++)
    for (gsize length = 0; length < strlen (wholes[i].text); length++)
      {
        g_autofree char *part = g_strndup (wholes[i].text, length);
        struct http_response response;

        feed (&response, part, 100);
        g_assert_cmpint (response.state, !=, HTTP_COMPLETE);
        g_assert_cmpint (http_response_feed_end (&response), ==,
                         HTTP_MALFORMED);
        http_response_clear (&response);
      }
}

static void
test_unreadable (void)
{
  struct http_response response;

  for (gsize size = 1; size < 100; size++)
    for (gsize i = 0; i < G_N_ELEMENTS (unreadable); i++)
      {
        feed (&response, unreadable[i], size);
        if (response.state != HTTP_MALFORMED)
          g_error ("%s: state %d", unreadable[i], (int)response.state);
        http_response_clear (&response);
      }
}

/* Header lines are bounded, also those without an end, and so are interim
   responses, trailers and the lines of chunks.  */
static void
test_bounds (void)
{
  static const char *const begins[] = { "",
                                        OK,
                                        OK "A: ",
                                        CHUNKED,
                                        CHUNKED "1;",
                                        CHUNKED "0\r\n",
                                        CHUNKED "0\r\nA: " };
  static const char *const repeats[] = {
    "HTTP/1.1 100 x\r\n\r\n", "A: b\r\n", "a", "a", "a", "A: b\r\n", "a"
  };

  for (gsize i = 0; i < G_N_ELEMENTS (begins); i++)
    {
      struct http_response response;
      gsize length = 0;

      feed (&response, begins[i], 100);
      for (; response.state != HTTP_MALFORMED; length += strlen (repeats[i]))
        http_response_feed (&response, repeats[i], strlen (repeats[i]));
      g_assert_cmpuint (length, <=, HTTP_MAX_HEAD_BYTES + strlen (repeats[i]));
      http_response_clear (&response);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-response/whole", test_whole);
  g_test_add_func ("/http-response/cut", test_cut);
  g_test_add_func ("/http-response/unreadable", test_unreadable);
  g_test_add_func ("/http-response/bounds", test_bounds);
  return g_test_run ();
}
