#include "transport/peer_service.h"

#include "base/clock.h"
#include "base/list.h"
#include "base/loop_timer.h"
#include "coordination/membership.h"
#include "transport/rpc_stream.h"

/* The most connections accepted in one iteration of the main loop.  */
#define MAX_ACCEPTS_PER_WAKEUP 64

/* A connection is closed when nothing was received for MAX_SILENCE_US, or for
   FIRST_CALL_TIMEOUT_US before its first authenticated call.  A client with
   waiting calls sends a PING more often.  */
#define MAX_SILENCE_US (30 * USEC_PER_SEC)
#define FIRST_CALL_TIMEOUT_US (5 * USEC_PER_SEC)

/* The most connections without an authenticated call.  When there are more,
   the oldest of them is closed.  */
#define MAX_UNAUTHENTICATED 256

/* A connection is closed when more than this waits to be written because the
   other side reads too slowly.  */
#define MAX_QUEUED_BYTES (4 * RPC_MAX_MESSAGE)

#define MAX_PROCEDURES 16

struct handler
{
  peer_handler_func *function;
  gpointer data;
};

struct peer_service
{
  GSocket *socket;
  GSource *source;
  char *vm;
  const struct peer_mac *mac;
  struct handler handlers[MAX_PROCEDURES];
  struct list_node unauthenticated; /* struct connection, oldest first */
  struct list_node authenticated;   /* struct connection */
  guint n_unauthenticated;
  guint n_pending;           /* requests that were not replied to yet */
  struct list_node requests; /* struct peer_request by service_link */
  GHashTable *senders;       /* name -> struct sender */
  struct peer_service_counts counts;
};

struct connection
{
  struct rpc_stream_owner stream_owner;
  struct list_node link;
  struct peer_service *service;
  struct rpc_stream *stream;
  gboolean is_authenticated;
  struct list_node requests; /* struct peer_request by link */
};

struct peer_request
{
  struct list_node link;         /* in connection->requests */
  struct list_node service_link; /* in service->requests */
  struct peer_service *service;  /* NULL once it is freed */
  struct connection *connection; /* NULL once it is closed */
  guint32 xid;
  const struct rpc_procedure *procedure;
  char *sender;
  peer_credential_heard heard;
};

/* A calling VM, for the detection of replayed calls.  */
struct sender
{
  guint64 incarnation;
  struct replay_window replay_window;
};

static void
connection_free (struct connection *connection)
{
  struct peer_service *service = connection->service;
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &connection->requests)
    {
      struct peer_request *request
          = list_entry (node, struct peer_request, link);

      request->connection = NULL;
      list_remove (&request->link);
    }
  if (!connection->is_authenticated)
    service->n_unauthenticated--;
  list_remove (&connection->link);
  rpc_stream_close (connection->stream);
  g_free (connection);
}

static struct connection *
connection_from_stream_owner (struct rpc_stream_owner *owner)
{
  return (struct connection *)(void *)owner;
}

static void
stream_ended (struct rpc_stream_owner *owner, gboolean was_refused)
{
  connection_free (connection_from_stream_owner (owner));
}

/* Whether a call sent at this time is within the permitted clock skew.  */
static gboolean
is_recent (guint64 sent_unix_ms)
{
  gint64 age_ms = clock_unix_ms () - (gint64)sent_unix_ms;

  return age_ms <= PEER_MAX_SKEW_MS && age_ms >= -PEER_MAX_SKEW_MS;
}

/* Whether CREDENTIAL, whose MAC is valid, is for this VM, recent and not
   replayed.  Without keys only the receiver is checked.  */
static gboolean
accept_credential (struct peer_service *service,
                   const peer_credential *credential)
{
  struct sender *sender;

  if (!g_str_equal (credential->receiver, service->vm))
    return FALSE;
  if (!peer_mac_has_keys (service->mac))
    return TRUE;
  if (!is_recent (credential->sent_unix_ms))
    return FALSE;
  sender = g_hash_table_lookup (service->senders, credential->sender);
  if (sender == NULL)
    {
      if (g_hash_table_size (service->senders) >= MAX_PEERS)
        return FALSE;
      sender = g_new0 (struct sender, 1);
      g_hash_table_insert (service->senders, g_strdup (credential->sender),
                           sender);
    }
  if (credential->incarnation < sender->incarnation)
    return FALSE;
  if (credential->incarnation > sender->incarnation)
    *sender = (struct sender){ .incarnation = credential->incarnation };
  return replay_window_accept (&sender->replay_window, credential->sequence);
}

/* The first authenticated call on CONNECTION was received: permits records of
   full length.  */
static void
mark_authenticated (struct connection *connection)
{
  struct peer_service *service = connection->service;

  if (connection->is_authenticated)
    return;
  connection->is_authenticated = TRUE;
  service->n_unauthenticated--;
  list_remove (&connection->link);
  list_append (&service->authenticated, &connection->link);
  rpc_stream_set_limit (connection->stream, RPC_MAX_MESSAGE);
}

static void
send_record (struct connection *connection, GBytes *record)
{
  rpc_stream_send (connection->stream, record);
  if (rpc_stream_get_unwritten (connection->stream) > MAX_QUEUED_BYTES)
    connection_free (connection);
}

static struct peer_request *
request_new (struct connection *connection, const struct rpc_call *call)
{
  struct peer_request *request = g_new0 (struct peer_request, 1);

  request->service = connection->service;
  request->connection = connection;
  request->xid = call->xid;
  request->procedure = call->procedure;
  request->sender = g_strdup (call->credential.sender);
  request->heard = call->heard;
  list_append (&connection->requests, &request->link);
  list_append (&connection->service->requests, &request->service_link);
  connection->service->n_pending++;
  return request;
}

static void
serve_call (struct connection *connection, struct rpc_call *call)
{
  struct peer_service *service = connection->service;
  struct handler *handler = &service->handlers[call->procedure->number];
  struct peer_request *request = request_new (connection, call);

  service->counts.served++;
  if (handler->function == NULL)
    peer_request_fail (request);
  else
    handler->function (request, call->arguments, handler->data);
}

static void
stream_received (struct rpc_stream_owner *owner, guint8 *data, gsize length)
{
  struct connection *connection = connection_from_stream_owner (owner);
  struct peer_service *service = connection->service;
  struct rpc_call call;
  enum rpc_call_status status
      = rpc_parse_call (service->mac, data, length, &call);

  if (status == RPC_CALL_INVALID)
    {
      g_autoptr (GBytes) record
          = rpc_build_reply (service->mac, call.xid, NULL, NULL);

      send_record (connection, record);
      return;
    }
  if (status == RPC_CALL_VALID
      && accept_credential (service, &call.credential))
    {
      mark_authenticated (connection);
      serve_call (connection, &call);
    }
  else
    {
      service->counts.refused++;
      connection_free (connection);
    }
  if (status == RPC_CALL_VALID)
    rpc_call_clear (&call);
}

static const struct rpc_stream_owner_ops stream_owner_ops = {
  .received = stream_received,
  .ended = stream_ended,
};

static void
add_connection (struct peer_service *service, GSocket *socket)
{
  struct connection *connection = g_new0 (struct connection, 1);

  connection->stream_owner.ops = &stream_owner_ops;
  connection->service = service;
  list_init (&connection->requests);
  connection->stream = rpc_stream_accept (socket, &connection->stream_owner);
  rpc_stream_set_limit (connection->stream, peer_mac_has_keys (service->mac)
                                                ? RPC_MAX_FIRST_MESSAGE
                                                : RPC_MAX_MESSAGE);
  list_append (&service->unauthenticated, &connection->link);
  if (++service->n_unauthenticated > MAX_UNAUTHENTICATED)
    connection_free (
        list_entry (service->unauthenticated.next, struct connection, link));
}

static gboolean
on_connection (GSocket *listener, GIOCondition condition, gpointer data)
{
  struct peer_service *service = data;

  for (guint i = 0; i < MAX_ACCEPTS_PER_WAKEUP; i++)
    {
      g_autoptr (GSocket) socket = g_socket_accept (listener, NULL, NULL);

      if (socket == NULL)
        break;
      add_connection (service, socket);
    }
  return G_SOURCE_CONTINUE;
}

struct peer_service *
peer_service_new (GSocket *socket, const char *vm, const struct peer_mac *mac)
{
  struct peer_service *service = g_new0 (struct peer_service, 1);

  service->socket = g_object_ref (socket);
  service->vm = g_strdup (vm);
  service->mac = mac;
  list_init (&service->unauthenticated);
  list_init (&service->authenticated);
  list_init (&service->requests);
  service->senders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  service->source = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (service->source, G_SOURCE_FUNC (on_connection),
                         service, NULL);
  loop_source_attach (service->source);
  return service;
}

static void
free_connections (struct list_node *head)
{
  while (!list_is_empty (head))
    connection_free (list_entry (head->next, struct connection, link));
}

void
peer_service_free (struct peer_service *service)
{
  struct list_node *node;
  struct list_node *after;

  g_source_destroy (service->source);
  g_source_unref (service->source);
  free_connections (&service->unauthenticated);
  free_connections (&service->authenticated);
  list_for_each (node, after, &service->requests)
    {
      struct peer_request *request
          = list_entry (node, struct peer_request, service_link);

      request->service = NULL;
      list_remove (&request->service_link);
    }
  g_hash_table_unref (service->senders);
  g_object_unref (service->socket);
  g_free (service->vm);
  g_free (service);
}

void
peer_service_set_handler (struct peer_service *service, guint procedure,
                          peer_handler_func *handler, gpointer data)
{
  g_assert (procedure < MAX_PROCEDURES);
  service->handlers[procedure].function = handler;
  service->handlers[procedure].data = data;
}

static void
close_idle (struct list_node *head, gint64 silence_us, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, head)
    {
      struct connection *connection
          = list_entry (node, struct connection, link);

      if (rpc_stream_get_received_us (connection->stream) + silence_us
          <= now_us)
        connection_free (connection);
    }
}

void
peer_service_advance (struct peer_service *service, gint64 now_us)
{
  close_idle (&service->unauthenticated, FIRST_CALL_TIMEOUT_US, now_us);
  close_idle (&service->authenticated, MAX_SILENCE_US, now_us);
}

const struct peer_service_counts *
peer_service_get_counts (const struct peer_service *service)
{
  return &service->counts;
}

guint
peer_service_count_pending (const struct peer_service *service)
{
  return service->n_pending;
}

static void
request_free (struct peer_request *request)
{
  if (request->service != NULL)
    request->service->n_pending--;
  list_remove (&request->link);
  list_remove (&request->service_link);
  g_free (request->sender);
  g_free (request);
}

const char *
peer_request_get_sender (const struct peer_request *request)
{
  return request->sender;
}

const peer_credential_heard *
peer_request_get_heard (const struct peer_request *request)
{
  return &request->heard;
}

gboolean
peer_request_is_connected (const struct peer_request *request)
{
  return request->connection != NULL;
}

void
peer_request_reply (struct peer_request *request, const void *result)
{
  struct connection *connection = request->connection;
  g_autoptr (GBytes) record = NULL;

  if (connection != NULL)
    record = rpc_build_reply (request->service->mac, request->xid,
                              request->procedure, result);
  request_free (request);
  if (record != NULL)
    send_record (connection, record);
}

void
peer_request_fail (struct peer_request *request)
{
  peer_request_reply (request, NULL);
}
