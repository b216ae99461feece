#include "transport/peer_rpc.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/loop_timer.h"
#include "transport/peer_socket.h"
#include "transport/rpc_stream.h"

/* While calls wait, a connection on which nothing was received for
   PING_AFTER_SILENCE_US is checked with a PING.  It is dropped if the PING is
   not answered within PING_TIMEOUT_US.  */
#define PING_AFTER_SILENCE_US (2 * USEC_PER_SEC)
#define PING_TIMEOUT_US (1 * USEC_PER_SEC)

/* A connection that is not established within this time is dropped.  */
#define CONNECT_TIMEOUT_US (2 * USEC_PER_SEC)

/* A connection without calls is closed after this time.  */
#define IDLE_TIMEOUT_US (20 * USEC_PER_SEC)

struct peer_rpc
{
  struct rpc_stream_owner stream_owner;
  struct peer_rpc_owner *owner;
  char *vm;
  char *address;
  struct rpc_stream *stream;  /* NULL if there is no connection */
  gint64 connect_deadline_us; /* 0 unless it is connecting */
  gint64 last_used_us;        /* when a call was last sent or answered */
  gint64 ping_deadline_us;    /* 0 if no PING waits for its answer */
  guint32 ping_xid;
  guint32 next_xid;
  GHashTable *calls;    /* xid -> struct call */
  GSequence *deadlines; /* struct call by deadline_us */
  struct loop_timer *timer;
  gboolean was_refused;
  gboolean is_unanswered; /* the latest call that has ended */
};

struct call
{
  guint32 xid;
  const struct rpc_procedure *procedure;
  gint64 deadline_us;
  gint64 sent_us;
  guint64 stream_offset; /* of its record, as rpc_stream_send () returned it */
  GSequenceIter *iter;   /* in rpc->deadlines */
  GError *error;         /* if set, the call ends with it from the main loop */
  peer_call_done_func *ended;
  gpointer data;
};

static void
end_call (struct peer_rpc *rpc, struct call *call, const void *result,
          const GError *error)
{
  g_hash_table_remove (rpc->calls, GUINT_TO_POINTER (call->xid));
  g_sequence_remove (call->iter);
  rpc->is_unanswered = result == NULL;
  call->ended (result, error, call->data);
  g_clear_error (&call->error);
  g_free (call);
}

static int
compare_deadlines (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const struct call *x = a;
  const struct call *y = b;

  return (x->deadline_us > y->deadline_us) - (x->deadline_us < y->deadline_us);
}

/* Sets the timer to the earliest deadline of the calls and the connection.  */
static void
update_timer (struct peer_rpc *rpc)
{
  GSequenceIter *first = g_sequence_get_begin_iter (rpc->deadlines);
  gint64 when_us = DEADLINE_NEVER;

  if (!g_sequence_iter_is_end (first))
    when_us = ((struct call *)g_sequence_get (first))->deadline_us;
  if (rpc->stream != NULL && rpc->connect_deadline_us != 0)
    when_us = MIN (when_us, rpc->connect_deadline_us);
  else if (rpc->stream != NULL && rpc->ping_deadline_us != 0)
    when_us = MIN (when_us, rpc->ping_deadline_us);
  else if (rpc->stream != NULL && g_hash_table_size (rpc->calls) > 0)
    when_us = MIN (when_us, rpc_stream_get_received_us (rpc->stream)
                                + PING_AFTER_SILENCE_US);
  else if (rpc->stream != NULL)
    when_us = MIN (when_us, rpc->last_used_us + IDLE_TIMEOUT_US);
  loop_timer_set (rpc->timer, when_us);
}

/* Makes CALL end with ERROR from the main loop.  Takes ownership of ERROR.  */
static void
fail_call_later (struct peer_rpc *rpc, struct call *call, GError *error)
{
  g_clear_error (&call->error);
  call->error = error;
  call->deadline_us = 0;
  g_sequence_sort_changed (call->iter, compare_deadlines, NULL);
}

/* The error for CALL when its connection is dropped: ERROR_NOT_RUN if no byte
   of it was written, otherwise ERROR_UNAVAILABLE.  */
static GError *
make_broken_error (const struct peer_rpc *rpc, const struct call *call)
{
  GError *error = NULL;

  if (rpc_stream_get_written (rpc->stream) <= call->stream_offset)
    error_set (&error, ERROR_NOT_RUN,
               "VM '%s' at %s cannot be reached; check that it runs", rpc->vm,
               rpc->address);
  else
    error_set (&error, ERROR_UNAVAILABLE,
               "the connection to VM '%s' at %s broke before its answer",
               rpc->vm, rpc->address);
  return error;
}

/* Closes the connection, if any.  Its calls end from the main loop.  */
static void
drop_stream (struct peer_rpc *rpc)
{
  GHashTableIter iter;
  gpointer value;

  if (rpc->stream == NULL)
    return;
  g_hash_table_iter_init (&iter, rpc->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct call *call = value;

      if (call->error == NULL)
        fail_call_later (rpc, call, make_broken_error (rpc, call));
    }
  rpc_stream_close (rpc->stream);
  rpc->stream = NULL;
  rpc->ping_deadline_us = 0;
  rpc->connect_deadline_us = 0;
  update_timer (rpc);
}

void
peer_rpc_reset (struct peer_rpc *rpc)
{
  drop_stream (rpc);
}

void
peer_rpc_abort (struct peer_rpc *rpc)
{
  if (rpc->stream != NULL)
    rpc_stream_discard_on_close (rpc->stream);
  drop_stream (rpc);
}

gint64
peer_rpc_get_received_us (const struct peer_rpc *rpc)
{
  return rpc->stream != NULL ? rpc_stream_get_received_us (rpc->stream) : 0;
}

gboolean
peer_rpc_is_answering (const struct peer_rpc *rpc)
{
  return !rpc->is_unanswered;
}

static struct peer_rpc *
rpc_from_stream_owner (struct rpc_stream_owner *owner)
{
  return (struct peer_rpc *)(void *)owner;
}

static void
stream_opened (struct rpc_stream_owner *owner)
{
  struct peer_rpc *rpc = rpc_from_stream_owner (owner);

  rpc->connect_deadline_us = 0;
  rpc->was_refused = FALSE;
  update_timer (rpc);
}

static void
stream_received (struct rpc_stream_owner *owner, guint8 *data, gsize length)
{
  struct peer_rpc *rpc = rpc_from_stream_owner (owner);
  guint32 xid = rpc_peek_xid (data, length);
  struct call *call = g_hash_table_lookup (rpc->calls, GUINT_TO_POINTER (xid));
  g_autoptr (GError) error = NULL;
  const struct rpc_procedure *procedure;
  void *result;

  if (rpc->ping_deadline_us != 0 && xid == rpc->ping_xid)
    {
      rpc->ping_deadline_us = 0;
      update_timer (rpc);
    }
  if (call == NULL || call->error != NULL)
    return;
  procedure = call->procedure;
  result = rpc_parse_reply (rpc->owner->mac, data, length, procedure, &error);
  rpc->last_used_us = clock_now_us ();
  end_call (rpc, call, result, error);
  rpc_result_free (procedure, result);
}

static void
stream_ended (struct rpc_stream_owner *owner, gboolean was_refused)
{
  struct peer_rpc *rpc = rpc_from_stream_owner (owner);
  gboolean was_open = rpc->connect_deadline_us == 0;

  rpc->was_refused = was_refused;
  drop_stream (rpc);
  if (was_open)
    rpc->owner->ops->connection_broken (rpc->owner, rpc);
}

static const struct rpc_stream_owner_ops stream_owner_ops = {
  .opened = stream_opened,
  .received = stream_received,
  .ended = stream_ended,
};

static guint32
allocate_xid (struct peer_rpc *rpc)
{
  do
    rpc->next_xid++;
  while (
      rpc->next_xid == 0
      || g_hash_table_contains (rpc->calls, GUINT_TO_POINTER (rpc->next_xid)));
  return rpc->next_xid;
}

/* Sends a PING to check whether the other side still answers.  */
static void
send_ping (struct peer_rpc *rpc)
{
  peer_ping_args arguments = { .suspect = (char *)"" };
  guint32 xid = allocate_xid (rpc);
  g_autoptr (GBytes) record = rpc->owner->ops->build_call (
      rpc->owner, rpc, xid, rpc_procedure_find (PEER_PING), &arguments);

  rpc->ping_xid = xid;
  rpc->ping_deadline_us = clock_now_us () + PING_TIMEOUT_US;
  rpc_stream_send (rpc->stream, record);
}

/* Ends CALL, whose deadline has passed or whose error is set.  If nothing was
   received since it was sent, checks the connection with a PING.  */
static void
end_expired_call (struct peer_rpc *rpc, struct call *call)
{
  g_autoptr (GError) error = NULL;
  gboolean is_unwritten
      = rpc->stream == NULL
        || rpc_stream_get_written (rpc->stream) <= call->stream_offset;

  if (call->error != NULL)
    {
      end_call (rpc, call, NULL, call->error);
      return;
    }
  error_set (&error, is_unwritten ? ERROR_NOT_RUN : ERROR_UNAVAILABLE,
             "VM '%s' at %s did not answer in time", rpc->vm, rpc->address);
  if (rpc->stream != NULL && rpc->connect_deadline_us == 0
      && rpc->ping_deadline_us == 0
      && rpc_stream_get_received_us (rpc->stream) < call->sent_us)
    send_ping (rpc);
  end_call (rpc, call, NULL, error);
}

static void
end_expired_calls (struct peer_rpc *rpc, gint64 now_us)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (rpc->deadlines);
      struct call *call;

      if (g_sequence_iter_is_end (first))
        return;
      call = g_sequence_get (first);
      if (call->deadline_us > now_us)
        return;
      end_expired_call (rpc, call);
    }
}

/* Drops the connection, or checks it with a PING, if that is due.  */
static void
check_stream_timeouts (struct peer_rpc *rpc, gint64 now_us)
{
  gboolean has_calls = g_hash_table_size (rpc->calls) > 0;

  if (rpc->stream == NULL)
    return;
  if (rpc->connect_deadline_us != 0)
    {
      if (rpc->connect_deadline_us <= now_us)
        drop_stream (rpc);
    }
  else if (rpc->ping_deadline_us != 0)
    {
      if (rpc->ping_deadline_us <= now_us)
        drop_stream (rpc);
    }
  else if (has_calls)
    {
      if (rpc_stream_get_received_us (rpc->stream) + PING_AFTER_SILENCE_US
          <= now_us)
        send_ping (rpc);
    }
  else if (rpc->last_used_us + IDLE_TIMEOUT_US <= now_us)
    drop_stream (rpc);
}

static void
on_timer (gpointer data)
{
  struct peer_rpc *rpc = data;
  gint64 now_us = clock_now_us ();

  check_stream_timeouts (rpc, now_us);
  end_expired_calls (rpc, now_us);
  update_timer (rpc);
}

struct peer_rpc *
peer_rpc_new (struct peer_rpc_owner *owner, const char *vm,
              const char *address)
{
  struct peer_rpc *rpc = g_new0 (struct peer_rpc, 1);

  rpc->stream_owner.ops = &stream_owner_ops;
  rpc->owner = owner;
  rpc->vm = g_strdup (vm);
  rpc->address = g_strdup (address);
  rpc->next_xid = g_random_int ();
  rpc->calls = g_hash_table_new (NULL, NULL);
  rpc->deadlines = g_sequence_new (NULL);
  rpc->timer = loop_timer_new (on_timer, rpc);
  return rpc;
}

void
peer_rpc_free (struct peer_rpc *rpc)
{
  drop_stream (rpc);
  while (g_hash_table_size (rpc->calls) > 0)
    end_expired_calls (rpc, DEADLINE_NEVER);
  loop_timer_free (rpc->timer);
  g_sequence_free (rpc->deadlines);
  g_hash_table_unref (rpc->calls);
  g_free (rpc->vm);
  g_free (rpc->address);
  g_free (rpc);
}

void
peer_rpc_set_address (struct peer_rpc *rpc, const char *address)
{
  if (g_str_equal (rpc->address, address))
    return;
  g_free (rpc->address);
  rpc->address = g_strdup (address);
  drop_stream (rpc);
}

const char *
peer_rpc_get_vm (const struct peer_rpc *rpc)
{
  return rpc->vm;
}

gboolean
peer_rpc_was_refused (const struct peer_rpc *rpc)
{
  return rpc->was_refused;
}

/* Starts to connect unless there is a connection.  Returns FALSE if the
   address is invalid.  */
static gboolean
open_stream (struct peer_rpc *rpc)
{
  g_autoptr (GSocketAddress) address = NULL;

  if (rpc->stream != NULL)
    return TRUE;
  address = peer_address_parse (rpc->address);
  if (address == NULL)
    return FALSE;
  rpc->connect_deadline_us = clock_now_us () + CONNECT_TIMEOUT_US;
  rpc->stream = rpc_stream_connect (address, &rpc->stream_owner);
  return TRUE;
}

static void
write_call (struct peer_rpc *rpc, struct call *call, GBytes *record)
{
  gboolean is_new_stream = rpc->stream == NULL;
  GError *error = NULL;

  if (record == NULL)
    error_set (
        &error, ERROR_TOO_LARGE,
        "the message exceeds the size limit of a call to a peer; send less");
  else if (!open_stream (rpc))
    error_set (&error, ERROR_NOT_RUN,
               "the address '%s' of VM '%s' is not IP:PORT; correct the "
               "platform's list",
               rpc->address, rpc->vm);
  if (error != NULL)
    {
      fail_call_later (rpc, call, error);
      return;
    }
  /* The peer accepts only short records until a call on the connection was
     authenticated, so a PING goes first.  */
  if (is_new_stream && g_bytes_get_size (record) > RPC_MAX_FIRST_MESSAGE)
    send_ping (rpc);
  call->stream_offset = rpc_stream_send (rpc->stream, record);
}

void
peer_rpc_call (struct peer_rpc *rpc, const struct rpc_procedure *procedure,
               const void *arguments, gint64 deadline_us,
               peer_call_done_func *ended, gpointer data)
{
  struct call *call = g_new0 (struct call, 1);
  g_autoptr (GBytes) record = NULL;

  call->xid = allocate_xid (rpc);
  call->procedure = procedure;
  call->deadline_us = deadline_us;
  call->sent_us = clock_now_us ();
  call->ended = ended;
  call->data = data;
  rpc->last_used_us = call->sent_us;
  g_hash_table_insert (rpc->calls, GUINT_TO_POINTER (call->xid), call);
  call->iter = g_sequence_insert_sorted (rpc->deadlines, call,
                                         compare_deadlines, NULL);
  record = rpc->owner->ops->build_call (rpc->owner, rpc, call->xid, procedure,
                                        arguments);
  write_call (rpc, call, record);
  update_timer (rpc);
}
