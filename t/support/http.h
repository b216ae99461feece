/*
 * HTTP requests of integration tests.
 *
 * Functions that cannot do their work abort the test, except that a request
 * without an answer is reported as status 0.
 */
#ifndef T_SUPPORT_HTTP_H
#define T_SUPPORT_HTTP_H

#include <jansson.h>
#include <libsoup/soup.h>

struct http_answer
{
  guint status; /* 0 when the connection gave no whole answer */
  SoupMessageHeaders *headers;
  char *body;
  gsize length;
  GError *error; /* why there was no answer, or NULL */
};

void http_answer_free (struct http_answer *answer);

/* The body as JSON, or NULL when it is not JSON.  The caller owns it.  */
json_t *http_answer_json (const struct http_answer *answer);

/* "http://127.0.0.1:PORT" and the formatted path.  The caller owns it.  */
char *http_url (guint16 port, const char *format, ...) G_GNUC_PRINTF (2, 3);

/*
 * Sends one request, on a connection of its own, and waits for the answer.
 * BODY, which may be NULL, is JSON text.  HEADERS is a list of names and
 * values that ends in NULL, or NULL.
 */
struct http_answer *http_request (const char *method, const char *url,
                                  const char *body,
                                  const char *const *headers);

/* GET; aborts unless the answer is 200 and JSON, which the caller owns.  */
json_t *http_get_json (const char *url);

/* POST of JSON text; aborts unless the answer is 200.  */
void http_post (const char *url, const char *body);

/* A request under way in the main context.  */
struct http_call;

/* Begins a request like http_request (), which goes on in the main loop.  */
struct http_call *http_begin (const char *method, const char *url,
                              const char *body, const char *const *headers);

/* The same in SESSION, whose open connections it may use.  */
struct http_call *http_begin_in (SoupSession *session, const char *method,
                                 const char *url, const char *body,
                                 const char *const *headers);

/* Whether the answer of CALL has come or its connection has ended.  */
gboolean http_call_is_finished (const struct http_call *call);

/* Runs the main loop until CALL is finished; frees CALL.  */
struct http_answer *http_finish (struct http_call *call);

/* Closes the connection of CALL, which is finished soon after.  */
void http_cancel (struct http_call *call);

/* Closes the connection of CALL without waiting; frees CALL.  */
void http_abandon (struct http_call *call);

/*
 * Writes LENGTH bytes to PORT of 127.0.0.1 and returns everything that comes
 * back until the other side closes, or up to the end of the headers when
 * STOP_AFTER_HEADERS.
 */
char *http_raw (guint16 port, const void *bytes, gsize length,
                gboolean stop_after_headers);

/*
 * Sends one GET after the other, N of them, for PATH to PORT of 127.0.0.1 over
 * a single connection.  Returns how many were answered before it was closed.
 */
guint http_count_on_one_connection (guint16 port, const char *path, guint n);

typedef gboolean http_predicate (json_t *body, gpointer data);

/*
 * Repeats a GET of URL until PREDICATE holds for its JSON, and returns that
 * JSON, which the caller owns.  Aborts after very many tries.
 */
json_t *http_poll_until (const char *url, http_predicate *predicate,
                         gpointer data);

/* A member of the JSON object OBJECT as an integer; aborts without one.  */
gint64 json_get_int (json_t *object, const char *name);

/* A member of the JSON object OBJECT; aborts without one.  Borrowed.  */
json_t *json_get (json_t *object, const char *name);

#endif
