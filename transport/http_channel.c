#include "transport/http_channel.h"

#include "base/clock.h"
#include "base/list.h"
#include "base/loop_timer.h"
#include "transport/http_connection.h"
#include "transport/peer_socket.h"

/* Initial space for the header of a request.  */
#define TYPICAL_HEADER_BYTES 256

/* A deadline in the past: the request ends in the next iteration of the
   main loop.  */
#define DEADLINE_AT_ONCE 0

struct http_client
{
  struct loop_timer *timer;
  struct list_node requests; /* struct http_request by link */
};

struct http_channel
{
  struct http_connection_owner owner;
  guint ref_count;
  struct http_client *client;
  GSocketAddress *address; /* NULL if it is invalid */
  char *host;
  guint max_connections;
  gsize max_body_bytes;
  guint n_connections;      /* without the retired ones */
  struct list_node idle;    /* connections, the last used first */
  struct list_node busy;    /* connections */
  struct list_node waiting; /* struct http_request without a connection */
};

struct http_request
{
  struct list_node link;              /* in client->requests */
  struct list_node waiting_link;      /* in channel->waiting */
  struct http_channel *channel;       /* holds a reference */
  struct http_connection *connection; /* NULL while it waits for one */
  GString *text;                      /* header and body */
  gint64 deadline_us;
  gboolean is_for_open; /* no connection is opened for it */
  http_request_done_func *ended;
  gpointer data;
};

/* Sets the timer to the earliest deadline.  */
static void
set_timer (struct http_client *client)
{
  gint64 when_us = DEADLINE_NEVER;
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &client->requests)
    {
      when_us = MIN (
          when_us, list_entry (node, struct http_request, link)->deadline_us);
    }
  loop_timer_set (client->timer, when_us);
}

static struct http_channel *
get_channel (const struct http_connection *connection)
{
  return list_entry (connection->owner, struct http_channel, owner);
}

static void
close_connection (struct http_connection *connection)
{
  if (!connection->is_retired)
    get_channel (connection)->n_connections--;
  http_connection_close (connection);
}

/* Makes later requests use new connections: closes the idle ones, and marks
   the busy ones to be closed when their request has ended.  */
static void
retire_connections (struct http_channel *channel)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &channel->idle)
    {
      close_connection (list_entry (node, struct http_connection, link));
    }
  list_for_each (node, after, &channel->busy)
    {
      list_entry (node, struct http_connection, link)->is_retired = TRUE;
    }
  channel->n_connections = 0;
}

void
http_channel_unref (struct http_channel *channel)
{
  if (--channel->ref_count > 0)
    return;
  retire_connections (channel);
  g_clear_object (&channel->address);
  g_free (channel->host);
  g_free (channel);
}

static void
request_free (struct http_request *request)
{
  struct http_channel *channel = request->channel;

  list_remove (&request->link);
  list_remove (&request->waiting_link);
  set_timer (channel->client);
  g_string_free (request->text, TRUE);
  g_free (request);
  http_channel_unref (channel);
}

/* Frees REQUEST and calls its callback, which may free the channel and the
   client: the caller must not use them afterwards.  */
static void
end_request (struct http_request *request, enum http_outcome outcome,
             guint status, GBytes *body)
{
  http_request_done_func *ended = request->ended;
  gpointer data = request->data;

  request_free (request);
  ended (outcome, status, body, data);
}

static void send_waiting_requests (struct http_channel *channel);

/* Ends REQUEST without an answer.  As for end_request (), the caller must not
   use the channel afterwards.  */
static void
fail_request (struct http_request *request)
{
  struct http_connection *connection = request->connection;
  struct http_channel *channel = request->channel;
  enum http_outcome outcome = HTTP_NOT_SENT;
  gboolean was_retired = FALSE;

  list_remove (&request->waiting_link);
  if (connection != NULL)
    {
      outcome = connection->written > 0 ? HTTP_NO_ANSWER : HTTP_NOT_SENT;
      was_retired = connection->is_retired;
      close_connection (connection);
    }
  if (!was_retired && (connection != NULL || !request->is_for_open))
    retire_connections (channel);
  send_waiting_requests (channel);
  end_request (request, outcome, 0, NULL);
}

/* Checked before a request is sent: the process may have been paused until
   after the deadline.  */
static gboolean
has_expired (const struct http_request *request)
{
  return request->deadline_us <= clock_now_us ();
}

/* Sends REQUEST over CONNECTION.  Returns FALSE if CONNECTION is broken; no
   byte was written then.  */
static gboolean
send_over (struct http_connection *connection, struct http_request *request)
{
  struct http_channel *channel = request->channel;

  if (!http_connection_send (connection, request, request->text,
                             request->deadline_us, channel->max_body_bytes))
    return FALSE;
  request->connection = connection;
  list_remove (&connection->link);
  list_append (&channel->busy, &connection->link);
  return TRUE;
}

/* Sends REQUEST over an idle connection, and closes those that turn out to be
   broken.  Returns FALSE if none is left.  */
static gboolean
send_over_idle (struct http_channel *channel, struct http_request *request)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &channel->idle)
    {
      struct http_connection *connection
          = list_entry (node, struct http_connection, link);

      if (http_connection_is_open (connection)
          && send_over (connection, request))
        return TRUE;
      close_connection (connection);
    }
  return FALSE;
}

/* Lets the timer end REQUEST in the next iteration of the main loop.  */
static void
end_at_once (struct http_request *request)
{
  request->deadline_us = DEADLINE_AT_ONCE;
  set_timer (request->channel->client);
}

/* Opens a connection for REQUEST, or ends it if that fails.  */
static void
send_over_new (struct http_channel *channel, struct http_request *request)
{
  struct http_connection *connection = NULL;

  if (channel->address != NULL)
    connection = http_connection_open (channel->address, &channel->owner);
  if (connection != NULL)
    {
      channel->n_connections++;
      send_over (connection, request);
      return;
    }
  end_at_once (request);
}

/* Finds a connection for REQUEST.  Returns FALSE if all are busy and no more
   may be opened.  Leaves an expired request to the timer.  */
static gboolean
send_request (struct http_channel *channel, struct http_request *request)
{
  if (has_expired (request) || send_over_idle (channel, request))
    return TRUE;
  if (request->is_for_open)
    {
      end_at_once (request);
      return TRUE;
    }
  if (channel->n_connections >= channel->max_connections)
    return FALSE;
  send_over_new (channel, request);
  return TRUE;
}

/* Sends waiting requests, in order, as far as there are connections for them.
   Expired ones are left to the timer.  */
static void
send_waiting_requests (struct http_channel *channel)
{
  while (!list_is_empty (&channel->waiting))
    {
      struct http_request *request = list_entry (
          channel->waiting.next, struct http_request, waiting_link);

      if (!send_request (channel, request))
        return;
      list_remove (&request->waiting_link);
    }
}

static void
on_answered (struct http_connection *connection, gpointer request,
             guint status, GBytes *body, gboolean keeps_open)
{
  struct http_channel *channel = get_channel (connection);

  if (keeps_open && !connection->is_retired)
    {
      list_remove (&connection->link);
      list_insert_after (&channel->idle, &connection->link);
    }
  else
    close_connection (connection);
  send_waiting_requests (channel);
  end_request (request, HTTP_ANSWERED, status, body);
}

static void
on_broken (struct http_connection *connection)
{
  if (connection->request != NULL)
    fail_request (connection->request);
  else
    close_connection (connection);
}

static const struct http_connection_ops connection_ops = {
  .answered = on_answered,
  .broken = on_broken,
};

static void
on_timer (gpointer data)
{
  struct http_client *client = data;
  gint64 now_us = clock_now_us ();
  struct list_node expired;
  struct list_node *node;
  struct list_node *after;

  /* A callback may cancel any of these requests or post more, so the expired
     ones are first moved to a list of their own.  */
  list_init (&expired);
  list_for_each (node, after, &client->requests)
    {
      if (list_entry (node, struct http_request, link)->deadline_us > now_us)
        continue;
      list_remove (node);
      list_append (&expired, node);
    }
  set_timer (client);
  while (!list_is_empty (&expired))
    fail_request (list_entry (expired.next, struct http_request, link));
}

struct http_client *
http_client_new (void)
{
  struct http_client *client = g_new0 (struct http_client, 1);

  client->timer = loop_timer_new (on_timer, client);
  list_init (&client->requests);
  return client;
}

void
http_client_free (struct http_client *client)
{
  loop_timer_free (client->timer);
  g_free (client);
}

struct http_channel *
http_channel_new (struct http_client *client, const char *address,
                  guint max_connections, gsize max_body_bytes)
{
  struct http_channel *channel = g_new0 (struct http_channel, 1);

  channel->owner.ops = &connection_ops;
  channel->ref_count = 1;
  channel->client = client;
  channel->address = peer_address_parse (address);
  channel->host = g_strdup (address);
  channel->max_connections = max_connections;
  channel->max_body_bytes = max_body_bytes;
  list_init (&channel->idle);
  list_init (&channel->busy);
  list_init (&channel->waiting);
  return channel;
}

/* Whether VALUE has no control characters, which could add header lines.  */
static gboolean
is_header_value (const char *value)
{
  for (; *value != '\0'; value++)
    if (g_ascii_iscntrl (*value))
      return FALSE;
  return TRUE;
}

static struct http_request *
post (struct http_channel *channel, gboolean is_for_open, const char *path,
      const char *name, const char *value, const char *body, gsize length,
      gint64 deadline_us, http_request_done_func *ended, gpointer data)
{
  struct http_request *request = g_new0 (struct http_request, 1);

  request->channel = channel;
  request->is_for_open = is_for_open;
  request->deadline_us
      = is_header_value (value) ? deadline_us : DEADLINE_AT_ONCE;
  request->ended = ended;
  request->data = data;
  request->text = g_string_sized_new (TYPICAL_HEADER_BYTES + length);
  g_string_printf (request->text,
                   "POST %s HTTP/1.1\r\nHost: %s\r\n"
                   "Content-Type: application/json\r\n"
                   "Content-Length: %" G_GSIZE_FORMAT "\r\n%s: %s\r\n\r\n",
                   path, channel->host, length, name, value);
  g_string_append_len (request->text, body, (gssize)length);
  channel->ref_count++;
  list_append (&channel->client->requests, &request->link);
  list_append (&channel->waiting, &request->waiting_link);
  send_waiting_requests (channel);
  set_timer (channel->client);
  return request;
}

struct http_request *
http_channel_post (struct http_channel *channel, const char *path,
                   const char *name, const char *value, const char *body,
                   gsize length, gint64 deadline_us,
                   http_request_done_func *ended, gpointer data)
{
  return post (channel, FALSE, path, name, value, body, length, deadline_us,
               ended, data);
}

struct http_request *
http_channel_post_on_open (struct http_channel *channel, const char *path,
                           const char *name, const char *value,
                           const char *body, gsize length, gint64 deadline_us,
                           http_request_done_func *ended, gpointer data)
{
  return post (channel, TRUE, path, name, value, body, length, deadline_us,
               ended, data);
}

void
http_request_cancel (struct http_request *request)
{
  struct http_channel *channel = request->channel;

  list_remove (&request->waiting_link);
  if (request->connection != NULL)
    close_connection (request->connection);
  send_waiting_requests (channel);
  request_free (request);
}
