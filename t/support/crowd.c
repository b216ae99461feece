#include "t/support/crowd.h"

#include "base/clock.h"

#include <dirent.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define PIECE_BYTES 997
#define LARGE_CHUNK_BYTES 4096
#define N_FIELDS 10000
#define AHEAD_BYTES (1024 * 1024)
#define OVERSIZED_FACTOR 4
#define ANNOUNCED_BYTES G_GINT64_CONSTANT (10000000000)

/* How much of a request a client of CROWD_DRIP sends.  */
#define DRIP_BYTES 60

/* Limits of one ordinary request, and of all its repetitions.  */
#define REQUEST_TIMEOUT_S 3
#define SERVED_TIMEOUT_US (15 * USEC_PER_SEC)
#define RETRY_INTERVAL_US (50 * USEC_PER_MSEC)

/* How much a client of CROWD_SIP reads at once, and what its socket holds.  */
#define SIP_BYTES 256
#define SIP_BUFFER_BYTES 4096

#define TCP_STATE_LISTEN 0x0A

struct client
{
  GIOStream *stream; /* NULL when it could not connect */
  GByteArray *text;  /* to send; shared or its own */
  gsize n_sent;
  gboolean has_ended; /* all was sent, or the server has closed */
};

struct crowd
{
  struct crowd_target target;
  enum crowd_kind kind;
  guint n_clients;
  gsize body_bytes;
  struct client *clients;
  gsize write_bytes; /* most that a client writes at once */
};

static guint64 last_id = G_GUINT64_CONSTANT (0xc0de000000000000);

static const char *const names[CROWD_N_KINDS]
    = { "whole",  "pieces",  "chunks", "oversized", "endless",
        "fields", "members", "ahead",  "drip",      "silent",
        "long",   "key",     "wide",   "hello",     "sip" };

const char *
crowd_kind_name (enum crowd_kind kind)
{
  return names[kind];
}

static void
append (GByteArray *text, const char *part)
{
  g_byte_array_append (text, (const guint8 *)part, (guint)strlen (part));
}

static void
append_repeated (GByteArray *text, const char *part, gsize n)
{
  for (gsize i = 0; i < n; i++)
    append (text, part);
}

/* Appends the header of a request up to the empty line.  */
static void
append_head (GByteArray *text, const struct crowd_target *target,
             const char *method)
{
  g_autofree char *id
      = target->has_ids
            ? g_strdup_printf ("%016" G_GINT64_MODIFIER "x", ++last_id)
            : g_strdup ("");
  g_autofree char *head
      = g_strdup_printf ("%s %s%s HTTP/1.1\r\nHost: %s\r\n", method,
                         target->path, id, target->host);

  append (text, head);
}

static void
append_length (GByteArray *text, gint64 length)
{
  g_autofree char *field = g_strdup_printf (
      "Content-Length: %" G_GINT64_FORMAT "\r\n\r\n", length);

  append (text, field);
}

static void
append_body_head (GByteArray *text, const struct crowd_target *target,
                  gint64 length)
{
  append_head (text, target, "POST");
  append (text, "Content-Type: application/json\r\n");
  append_length (text, length);
}

static void
append_chunked_head (GByteArray *text, const struct crowd_target *target)
{
  append_head (text, target, "POST");
  append (text, "Transfer-Encoding: chunked\r\n\r\n");
}

static void
append_fields (GByteArray *text, const struct crowd_target *target,
               gboolean is_complete)
{
  append_head (text, target, target->method);
  for (guint i = 0; i < N_FIELDS; i++)
    {
      g_autofree char *field = g_strdup_printf ("a%u:b\r\n", i);

      append (text, field);
    }
  if (is_complete)
    append (text, "\r\n");
}

static void
append_members (GByteArray *text, const struct crowd_target *target,
                gsize n_bytes)
{
  gsize n_members = n_bytes / strlen ("{},") - 1;

  append_body_head (text, target,
                    (gint64)(n_members * strlen ("{},") + strlen ("[0]")));
  append (text, "[");
  append_repeated (text, "{},", n_members);
  append (text, "0]");
}

static void
append_ordinary (GByteArray *text, const struct crowd_target *target)
{
  append_head (text, target, target->method);
  if (target->body != NULL)
    append_length (text, (gint64)strlen (target->body));
  else
    append (text, "\r\n");
  if (target->body != NULL)
    append (text, target->body);
}

static void
append_endless (GByteArray *text, const struct crowd_target *target,
                gsize n_bytes)
{
  g_autofree char *chunk = g_strnfill (LARGE_CHUNK_BYTES, 'x');
  g_autofree char *head = g_strdup_printf ("%x\r\n", LARGE_CHUNK_BYTES);

  append_chunked_head (text, target);
  for (gsize n = 0; n < n_bytes; n += LARGE_CHUNK_BYTES)
    {
      append (text, head);
      append (text, chunk);
      append (text, "\r\n");
    }
}

static void
append_complete (GByteArray *text, const struct crowd_target *target,
                 const char *body)
{
  append_body_head (text, target, (gint64)strlen (body));
  append (text, body);
}

/* Appends a request with a body of N_BYTES that begins with BEGIN and ends
   with END.  */
static void
append_filled (GByteArray *text, const struct crowd_target *target,
               const char *begin, const char *end, gsize n_bytes)
{
  g_autofree char *filler
      = g_strnfill (n_bytes - strlen (begin) - strlen (end), 'x');
  g_autofree char *body = g_strconcat (begin, filler, end, NULL);

  append_complete (text, target, body);
}

/* Appends what a TLS client sends before it needs an answer.  */
static void
append_hello (GByteArray *text)
{
  g_autoptr (GInputStream) input = g_memory_input_stream_new ();
  g_autoptr (GOutputStream) output = g_memory_output_stream_new_resizable ();
  g_autoptr (GIOStream) plain = g_simple_io_stream_new (input, output);
  g_autoptr (GIOStream) tls = g_tls_client_connection_new (plain, NULL, NULL);
  GMemoryOutputStream *memory = G_MEMORY_OUTPUT_STREAM (output);

  g_tls_connection_handshake (G_TLS_CONNECTION (tls), NULL, NULL);
  g_byte_array_append (text, g_memory_output_stream_get_data (memory),
                       (guint)g_memory_output_stream_get_data_size (memory));
}

static GByteArray *
make_text (const struct crowd *crowd, guint index)
{
  const struct crowd_target *target = &crowd->target;
  GByteArray *text = g_byte_array_new ();
  gsize body_bytes = crowd->body_bytes;

  switch (crowd->kind)
    {
    case CROWD_WHOLE:
    case CROWD_PIECES:
      append_body_head (text, target, (gint64)body_bytes);
      append_repeated (text, " ", body_bytes - 1);
      break;
    case CROWD_CHUNKS:
      append_chunked_head (text, target);
      append_repeated (text, "2\r\n  \r\n", body_bytes / 2 - 1);
      break;
    case CROWD_OVERSIZED:
      append_body_head (text, target, ANNOUNCED_BYTES);
      append_repeated (text, " ", body_bytes * OVERSIZED_FACTOR);
      break;
    case CROWD_ENDLESS:
      append_endless (text, target, body_bytes * OVERSIZED_FACTOR);
      break;
    case CROWD_FIELDS:
      append_fields (text, target, index % 2 == 0);
      break;
    case CROWD_MEMBERS:
      append_members (text, target, body_bytes);
      break;
    case CROWD_AHEAD:
    case CROWD_SIP:
      while (text->len < AHEAD_BYTES)
        append_ordinary (text, target);
      break;
    case CROWD_DRIP:
      append_body_head (text, target, (gint64)body_bytes);
      g_byte_array_set_size (text, MIN (text->len, DRIP_BYTES));
      break;
    case CROWD_LONG:
      append_filled (text, target,
                     target->long_begin != NULL ? target->long_begin : "[\"",
                     target->long_begin != NULL ? target->long_end : "\"]",
                     body_bytes);
      break;
    case CROWD_KEY:
      append_filled (text, target, "{\"", "\":0}", body_bytes);
      break;
    case CROWD_WIDE:
      append_complete (text, target,
                       target->wide_body != NULL ? target->wide_body : "");
      break;
    case CROWD_HELLO:
      append_hello (text);
      break;
    default:
      if (index % 2 == 0)
        append_ordinary (text, target);
      g_byte_array_set_size (text, text->len / 2);
      break;
    }
  return text;
}

static gsize
get_write_bytes (enum crowd_kind kind)
{
  switch (kind)
    {
    case CROWD_PIECES:
      return PIECE_BYTES;
    case CROWD_DRIP:
      return 1;
    default:
      return 65536;
    }
}

static gboolean
accept_any (gpointer connection, GTlsCertificate *certificate,
            GTlsCertificateFlags errors, gpointer data)
{
  return TRUE;
}

static GIOStream *
open_tls (GIOStream *plain)
{
  GIOStream *stream = g_tls_client_connection_new (plain, NULL, NULL);

  if (stream != NULL)
    g_signal_connect (stream, "accept-certificate", G_CALLBACK (accept_any),
                      NULL);
  return stream;
}

static GIOStream *
open_stream (const struct crowd_target *target, int receive_bytes)
{
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string (target->ip, target->port);
  g_autoptr (GSocket) socket = g_socket_new (
      G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GIOStream) plain = NULL;

  if (socket == NULL)
    return NULL;
  g_socket_set_timeout (socket, REQUEST_TIMEOUT_S);
  if (receive_bytes > 0)
    g_socket_set_option (socket, SOL_SOCKET, SO_RCVBUF, receive_bytes, NULL);
  if (!g_socket_connect (socket, address, NULL, NULL))
    return NULL;
  plain = G_IO_STREAM (g_socket_connection_factory_create_connection (socket));
  return target->is_tls ? open_tls (plain) : g_steal_pointer (&plain);
}

struct crowd *
crowd_new (const struct crowd_target *target, enum crowd_kind kind,
           guint n_clients, gsize body_bytes)
{
  struct crowd *crowd = g_new0 (struct crowd, 1);
  gboolean has_own_jobs = kind == CROWD_AHEAD || kind == CROWD_SIP
                          || kind == CROWD_LONG || kind == CROWD_KEY
                          || kind == CROWD_WIDE;
  gboolean is_shared = !has_own_jobs || !target->has_ids;

  crowd->target = *target;
  if (kind == CROWD_HELLO)
    crowd->target.is_tls = FALSE;
  crowd->kind = kind;
  crowd->n_clients = n_clients;
  crowd->body_bytes = body_bytes;
  crowd->write_bytes = get_write_bytes (kind);
  crowd->clients = g_new0 (struct client, n_clients);
  for (guint i = 0; i < n_clients; i++)
    {
      struct client *client = &crowd->clients[i];

      if (is_shared && i >= 2)
        client->text = g_byte_array_ref (crowd->clients[i % 2].text);
      else
        client->text = make_text (crowd, i);
      client->stream = open_stream (&crowd->target,
                                    kind == CROWD_SIP ? SIP_BUFFER_BYTES : 0);
      client->has_ended = client->stream == NULL;
    }
  return crowd;
}

void
crowd_free (struct crowd *crowd)
{
  for (guint i = 0; i < crowd->n_clients; i++)
    {
      struct client *client = &crowd->clients[i];

      g_byte_array_unref (client->text);
      g_clear_object (&client->stream);
    }
  g_free (crowd->clients);
  g_free (crowd);
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

/* Sends what the server takes at once.  Returns whether that was anything.  */
static gboolean
send_some (const struct crowd *crowd, struct client *client)
{
  g_autoptr (GError) error = NULL;
  gsize left = client->text->len - client->n_sent;
  gssize n;

  if (left == 0)
    client->has_ended = TRUE;
  if (client->has_ended)
    return FALSE;
  n = g_pollable_output_stream_write_nonblocking (
      G_POLLABLE_OUTPUT_STREAM (
          g_io_stream_get_output_stream (client->stream)),
      client->text->data + client->n_sent, MIN (left, crowd->write_bytes),
      NULL, &error);
  if (n > 0)
    client->n_sent += (gsize)n;
  else if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    client->has_ended = TRUE;
  return n > 0;
}

gboolean
crowd_send (struct crowd *crowd)
{
  gboolean has_sent = FALSE;

  for (guint i = 0; i < crowd->n_clients; i++)
    has_sent |= send_some (crowd, &crowd->clients[i]);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  return has_sent;
}

void
crowd_sip (struct crowd *crowd)
{
  char bytes[SIP_BYTES];

  for (guint i = 0; i < crowd->n_clients && crowd->kind == CROWD_SIP; i++)
    if (crowd->clients[i].stream != NULL)
      g_pollable_input_stream_read_nonblocking (
          G_POLLABLE_INPUT_STREAM (
              g_io_stream_get_input_stream (crowd->clients[i].stream)),
          bytes, sizeof bytes, NULL, NULL);
  crowd_send (crowd);
}

/* A value in kB of /proc/PID/status, in bytes; 0 without one.  */
static gsize
read_status (pid_t pid, const char *key)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", pid);
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  line = strstr (text, key);
  return line != NULL ? g_ascii_strtoull (line + strlen (key), NULL, 10) * 1024
                      : 0;
}

static gboolean
has_port (const struct crowd_usage *usage, guint port)
{
  for (const guint16 *p = usage->ports; *p != 0; p++)
    if (*p == port)
      return TRUE;
  return FALSE;
}

/* What the server's side of its clients' connections holds.  */
static gsize
sum_queues (const struct crowd_usage *usage)
{
  g_autofree char *text = NULL;
  gsize n_bytes = 0;

  g_file_get_contents ("/proc/net/tcp", &text, NULL, NULL);
  for (const char *line = text; line != NULL; line = strchr (line + 1, '\n'))
    {
      guint port;
      guint state;
      guint tx;
      guint rx;

      if (sscanf (line, " %*u: %*x:%x %*x:%*x %x %x:%x", &port, &state, &tx,
                  &rx)
              == 4
          && state != TCP_STATE_LISTEN && has_port (usage, port))
        n_bytes += tx + rx;
    }
  return n_bytes;
}

static guint
count_descriptors (pid_t pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", pid);
  g_autoptr (GDir) directory = g_dir_open (path, 0, NULL);
  guint n = 0;

  while (directory != NULL && g_dir_read_name (directory) != NULL)
    n++;
  return n;
}

void
crowd_usage_begin (struct crowd_usage *usage, pid_t pid, const guint16 *ports)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/clear_refs", pid);
  FILE *file = fopen (path, "w");

  memset (usage, 0, sizeof *usage);
  usage->pid = pid;
  usage->ports = ports;
  /* Sets the peak of the resident memory to its current value.  */
  if (file != NULL)
    {
      fputs ("5", file);
      fclose (file);
    }
  crowd_usage_sample (usage);
}

void
crowd_usage_sample (struct crowd_usage *usage)
{
  gsize now = read_status (usage->pid, "VmRSS:");

  usage->is_running = now > 0;
  usage->peak_bytes = MAX (usage->peak_bytes, now + sum_queues (usage));
  usage->peak_bytes
      = MAX (usage->peak_bytes, read_status (usage->pid, "VmHWM:"));
  usage->peak_descriptors
      = MAX (usage->peak_descriptors, count_descriptors (usage->pid));
}

static void
append_body (GByteArray *text, const struct crowd_target *target,
             gsize padding, gsize chunk_bytes)
{
  g_autofree char *spaces = g_strnfill (padding, ' ');
  g_autofree char *body = g_strconcat (target->body, spaces, NULL);
  gsize length = strlen (body);

  append (text, "Content-Type: application/json\r\n");
  if (chunk_bytes == 0)
    {
      append_length (text, (gint64)length);
      append (text, body);
      return;
    }
  append (text, "Transfer-Encoding: chunked\r\n\r\n");
  for (gsize i = 0; i < length; i += chunk_bytes)
    {
      gsize n = MIN (chunk_bytes, length - i);
      g_autofree char *head
          = g_strdup_printf ("%" G_GSIZE_MODIFIER "x\r\n", n);

      append (text, head);
      g_byte_array_append (text, (const guint8 *)body + i, (guint)n);
      append (text, "\r\n");
    }
  append (text, "0\r\n\r\n");
}

static guint
read_answer_status (GIOStream *stream)
{
  char head[16] = "";
  gsize n = 0;
  guint status = 0;

  g_input_stream_read_all (g_io_stream_get_input_stream (stream), head,
                           strlen ("HTTP/1.1 200"), &n, NULL, NULL);
  return sscanf (head, "HTTP/1.1 %3u", &status) == 1 ? status : 0;
}

guint
crowd_request (const struct crowd_target *target, gsize padding,
               gsize chunk_bytes)
{
  g_autoptr (GIOStream) stream = open_stream (target, 0);
  g_autoptr (GByteArray) text = g_byte_array_new ();

  if (stream == NULL)
    return 0;
  append_head (text, target, target->method);
  append (text, "Connection: close\r\n");
  if (target->body != NULL)
    append_body (text, target, padding, chunk_bytes);
  else
    append (text, "\r\n");
  if (!g_output_stream_write_all (g_io_stream_get_output_stream (stream),
                                  text->data, text->len, NULL, NULL, NULL))
    return 0;
  return read_answer_status (stream);
}

gboolean
crowd_request_until_served (const struct crowd_target *target,
                            struct crowd *crowd)
{
  gint64 end_us = clock_now_us () + SERVED_TIMEOUT_US;

  while (clock_now_us () < end_us)
    {
      if (crowd_request (target, 0, 0) == 200)
        return TRUE;
      if (crowd != NULL)
        crowd_sip (crowd);
      g_usleep ((gulong)RETRY_INTERVAL_US);
    }
  return FALSE;
}
