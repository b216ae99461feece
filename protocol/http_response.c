#include "protocol/http_response.h"

#include <string.h>

/* The longest line with the size of a chunk, extensions and CRLF included.  */
#define MAX_CHUNK_LINE_BYTES 256

#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

#define VERSION_PREFIX "HTTP/1."
#define VERSION_LENGTH (sizeof VERSION_PREFIX) /* minor version included */
#define STATUS_LENGTH 3

/* The bytes that are still to be parsed.  */
struct input
{
  const char *data;
  gsize length;
};

void
http_response_init (struct http_response *response, gsize max_body_bytes)
{
  memset (response, 0, sizeof *response);
  response->state = HTTP_STATUS_LINE;
  response->head_bytes_left = HTTP_MAX_HEAD_BYTES;
  response->max_body_bytes = max_body_bytes;
  response->line = g_string_new (NULL);
  response->body = g_byte_array_new ();
}

void
http_response_clear (struct http_response *response)
{
  g_string_free (response->line, TRUE);
  g_clear_pointer (&response->body, g_byte_array_unref);
}

static gboolean
is_head_state (enum http_response_state state)
{
  return state == HTTP_STATUS_LINE || state == HTTP_HEADERS
         || state == HTTP_TRAILERS;
}

/* Whether LINE, without its CRLF, contains no control characters but tabs.  */
static gboolean
has_no_controls (const GString *line)
{
  for (gsize i = 0; i < line->len; i++)
    if (g_ascii_iscntrl (line->str[i]) && line->str[i] != '\t')
      return FALSE;
  return TRUE;
}

/* Moves the rest of a line from INPUT to response->line, without its CRLF.
   Returns FALSE when the line is incomplete, or malformed: the state is then
   HTTP_MALFORMED.  */
static gboolean
collect_line (struct http_response *response, struct input *input)
{
  GString *line = response->line;
  const char *end = memchr (input->data, '\n', input->length);
  gsize n = end != NULL ? (gsize)(end - input->data) + 1 : input->length;
  gboolean is_head = is_head_state (response->state);
  gsize limit = is_head ? response->head_bytes_left : MAX_CHUNK_LINE_BYTES;

  if (line->len + n > limit)
    {
      response->state = HTTP_MALFORMED;
      return FALSE;
    }
  g_string_append_len (line, input->data, (gssize)n);
  input->data += n;
  input->length -= n;
  if (end == NULL)
    return FALSE;
  if (is_head)
    response->head_bytes_left -= line->len;
  if (line->len < 2 || line->str[line->len - 2] != '\r')
    {
      response->state = HTTP_MALFORMED;
      return FALSE;
    }
  g_string_truncate (line, line->len - 2);
  if (!has_no_controls (line))
    response->state = HTTP_MALFORMED;
  return response->state != HTTP_MALFORMED;
}

static gboolean
parse_status_line (struct http_response *response, const char *line)
{
  const char *status = line + VERSION_LENGTH + 1;

  if (!g_str_has_prefix (line, VERSION_PREFIX)
      || strlen (line) < VERSION_LENGTH + 1 + STATUS_LENGTH
      || !g_ascii_isdigit (line[VERSION_LENGTH - 1])
      || line[VERSION_LENGTH] != ' ')
    return FALSE;
  response->status = 0;
  for (guint i = 0; i < STATUS_LENGTH; i++)
    {
      if (!g_ascii_isdigit (status[i]))
        return FALSE;
      response->status
          = response->status * 10 + (guint)g_ascii_digit_value (status[i]);
    }
  response->keeps_open = line[VERSION_LENGTH - 1] != '0';
  response->state = HTTP_HEADERS;
  return response->status >= 100
         && (status[STATUS_LENGTH] == ' ' || status[STATUS_LENGTH] == '\0');
}

/* The value of the header line LINE if its name is NAME, else NULL.  Free with
   g_free ().  */
static char *
dup_header_value (const char *line, const char *name)
{
  gsize length = strlen (name);

  if (g_ascii_strncasecmp (line, name, length) != 0 || line[length] != ':')
    return NULL;
  return g_strstrip (g_strdup (line + length + 1));
}

static gboolean
read_content_length (struct http_response *response, const char *value)
{
  guint64 length;

  if (!g_ascii_string_to_unsigned (value, 10, 0, response->max_body_bytes,
                                   &length, NULL))
    return FALSE;
  if (response->has_length && length != response->bytes_left)
    return FALSE;
  response->has_length = TRUE;
  response->bytes_left = length;
  return TRUE;
}

static gboolean
read_transfer_coding (struct http_response *response, const char *value)
{
  if (response->is_chunked || g_ascii_strcasecmp (value, "chunked") != 0)
    return FALSE;
  response->is_chunked = TRUE;
  return TRUE;
}

static void
read_connection (struct http_response *response, const char *value)
{
  g_auto (GStrv) options = g_strsplit (value, ",", -1);

  for (guint i = 0; options[i] != NULL; i++)
    if (g_ascii_strcasecmp (g_strstrip (options[i]), "close") == 0)
      response->keeps_open = FALSE;
}

static gboolean
is_header_line (const char *line)
{
  gsize length = strcspn (line, ": \t\"(),/;<=>?@[\\]{}");

  return length > 0 && line[length] == ':';
}

static gboolean
read_header (struct http_response *response, const char *line)
{
  g_autofree char *length = dup_header_value (line, "Content-Length");
  g_autofree char *coding = dup_header_value (line, "Transfer-Encoding");
  g_autofree char *connection = dup_header_value (line, "Connection");

  if (!is_header_line (line))
    return FALSE;
  if (length != NULL)
    return read_content_length (response, length);
  if (coding != NULL)
    return read_transfer_coding (response, coding);
  if (connection != NULL)
    read_connection (response, connection);
  return TRUE;
}

static gboolean
begin_body (struct http_response *response)
{
  guint status = response->status;

  if (response->is_chunked && response->has_length)
    return FALSE;
  if (status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED)
    response->state = HTTP_COMPLETE;
  else if (response->is_chunked)
    response->state = HTTP_CHUNK_SIZE;
  else if (!response->has_length)
    {
      response->keeps_open = FALSE;
      response->state = HTTP_BODY_UNTIL_CLOSE;
    }
  else
    response->state = response->bytes_left > 0 ? HTTP_BODY : HTTP_COMPLETE;
  return TRUE;
}

/* Called at the empty line after the headers.  Returns FALSE when the response
   is malformed or switches protocols.  */
static gboolean
end_head (struct http_response *response)
{
  if (response->status >= 200)
    return begin_body (response);
  response->state = HTTP_STATUS_LINE;
  response->is_chunked = FALSE;
  response->has_length = FALSE;
  return response->status != STATUS_SWITCHING_PROTOCOLS;
}

static gboolean
read_chunk_size (struct http_response *response, char *line)
{
  gsize max_size = response->max_body_bytes - response->body->len;

  line[strcspn (line, "; \t")] = '\0';
  if (!g_ascii_string_to_unsigned (line, 16, 0, max_size,
                                   &response->bytes_left, NULL))
    return FALSE;
  response->state = response->bytes_left > 0 ? HTTP_CHUNK : HTTP_TRAILERS;
  return TRUE;
}

/* Parses the line that was collected and sets the next state.  Returns FALSE
   when it is malformed.  */
static gboolean
parse_line (struct http_response *response)
{
  char *line = response->line->str;
  gboolean is_empty = line[0] == '\0';

  switch (response->state)
    {
    case HTTP_STATUS_LINE:
      return parse_status_line (response, line);
    case HTTP_HEADERS:
      return is_empty ? end_head (response) : read_header (response, line);
    case HTTP_CHUNK_SIZE:
      return read_chunk_size (response, line);
    case HTTP_CHUNK_END:
      response->state = HTTP_CHUNK_SIZE;
      return is_empty;
    case HTTP_TRAILERS:
      if (is_empty)
        response->state = HTTP_COMPLETE;
      return is_empty || is_header_line (line);
    default:
      return FALSE;
    }
}

/* Moves body bytes from INPUT to response->body.  */
static void
append_body (struct http_response *response, struct input *input)
{
  gsize n = input->length;

  if (response->state == HTTP_BODY_UNTIL_CLOSE)
    {
      if (n > response->max_body_bytes - response->body->len)
        response->state = HTTP_MALFORMED;
    }
  else
    {
      n = MIN (n, response->bytes_left);
      response->bytes_left -= n;
      if (response->bytes_left == 0)
        response->state
            = response->state == HTTP_CHUNK ? HTTP_CHUNK_END : HTTP_COMPLETE;
    }
  if (response->state == HTTP_MALFORMED)
    return;
  g_byte_array_append (response->body, (const guint8 *)input->data, (guint)n);
  input->data += n;
  input->length -= n;
}

static gboolean
is_body_state (enum http_response_state state)
{
  return state == HTTP_BODY || state == HTTP_BODY_UNTIL_CLOSE
         || state == HTTP_CHUNK;
}

enum http_response_state
http_response_feed (struct http_response *response, const char *data,
                    gsize length)
{
  struct input input = { data, length };

  while (input.length > 0 && response->state != HTTP_COMPLETE
         && response->state != HTTP_MALFORMED)
    {
      if (is_body_state (response->state))
        {
          append_body (response, &input);
          continue;
        }
      if (!collect_line (response, &input))
        continue;
      if (!parse_line (response))
        response->state = HTTP_MALFORMED;
      g_string_truncate (response->line, 0);
    }
  if (input.length > 0)
    response->keeps_open = FALSE;
  return response->state;
}

enum http_response_state
http_response_feed_end (struct http_response *response)
{
  if (response->state != HTTP_COMPLETE)
    response->state = response->state == HTTP_BODY_UNTIL_CLOSE
                          ? HTTP_COMPLETE
                          : HTTP_MALFORMED;
  return response->state;
}
