/*
 * Calls of the store stand-in, and what its faults do to them.
 */
#include "t/standin/store.h"

#include "base/clock.h"

#include <string.h>
#include <sys/socket.h>

#define PATH "/radishchute/"

static void
forget_message (struct store_call *call)
{
  if (call->msg == NULL)
    return;
  g_signal_handler_disconnect (call->msg, call->finished_handler);
  g_clear_object (&call->msg);
}

static void
free_call (struct store_call *call)
{
  list_remove (&call->node);
  g_clear_handle_id (&call->timer, g_source_remove);
  forget_message (call);
  g_clear_pointer (&call->query, g_hash_table_unref);
  g_bytes_unref (call->body);
  g_free (call);
}

/* Sends what was decided, or nothing, and frees CALL.  */
static void
finish_call (struct store_call *call)
{
  if (call->msg != NULL && call->has_answer && call->is_paused)
    soup_server_message_unpause (call->msg);
  else if (call->msg != NULL && !call->has_answer && !call->is_paused)
    answer_by_silence (call->msg);
  free_call (call);
}

/* The answer has been decided.  A handler may still use CALL after it.  */
static void
end_call (struct store_call *call, gboolean has_answer)
{
  call->is_ended = TRUE;
  call->has_answer = has_answer;
  if (!call->is_handled)
    finish_call (call);
}

void
store_call_answer_json (struct store_call *call, guint status, json_t *body)
{
  gboolean has_answer = !call->is_mute && call->msg != NULL;

  if (has_answer)
    answer_json (call->msg, status, body);
  else
    json_decref (body);
  end_call (call, has_answer);
}

void
store_call_answer_bytes (struct store_call *call, GBytes *body)
{
  gboolean has_answer = !call->is_mute && call->msg != NULL;
  gsize length;
  const char *data = g_bytes_get_data (body, &length);

  if (has_answer)
    {
      soup_server_message_set_status (call->msg, 200, NULL);
      soup_server_message_set_response (call->msg, "application/octet-stream",
                                        SOUP_MEMORY_COPY, data, length);
    }
  g_bytes_unref (body);
  end_call (call, has_answer);
}

void
store_call_refuse (struct store_call *call, guint status, const char *reason)
{
  store_call_answer_json (call, status, json_pack ("{ss}", "reason", reason));
}

static void
reset_connection (SoupServerMessage *msg)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  GSocket *socket = soup_server_message_get_socket (msg);

  if (socket != NULL)
    setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &linger,
                sizeof linger);
  answer_by_closing (msg);
}

/* Whether the mode of the door takes care of CALL.  */
static gboolean
apply_mode (struct store_call *call)
{
  switch (call->door->mode)
    {
    case DOOR_REFUSES:
      store_call_refuse (call, 503, "down");
      return TRUE;
    case DOOR_BUSY:
      store_call_refuse (call, 429, "busy");
      return TRUE;
    case DOOR_SILENT:
      end_call (call, FALSE);
      return TRUE;
    case DOOR_RESETS:
      {
        g_autoptr (SoupServerMessage) msg
            = call->msg == NULL ? NULL : g_object_ref (call->msg);

        forget_message (call);
        if (msg != NULL)
          reset_connection (msg);
        end_call (call, FALSE);
        return TRUE;
      }
    default:
      return FALSE;
    }
}

static gboolean
is_down (const struct store *store)
{
  for (guint i = 0; i < store->doors->len; i++)
    {
      const struct store_door *door = g_ptr_array_index (store->doors, i);

      if (door->mode == DOOR_SERVES)
        return FALSE;
    }
  return TRUE;
}

/* The store has come back: the times of groups have stood still.  */
static void
resume_groups (struct store *store)
{
  gint64 pause_us = clock_now_us () - store->down_since_us;
  GHashTableIter iter;
  gpointer group;

  g_hash_table_iter_init (&iter, store->groups);
  while (!store->is_expiring && g_hash_table_iter_next (&iter, NULL, &group))
    group_pause (group, pause_us);
  store->down_since_us = 0;
}

void
store_door_set_mode (struct store_door *door, enum door_mode mode)
{
  struct store *store = door->store;
  struct list_node *node;
  struct list_node *after;

  door->mode = mode;
  if (store->down_since_us == 0 && is_down (store))
    store->down_since_us = clock_now_us ();
  else if (store->down_since_us != 0 && !is_down (store))
    resume_groups (store);
  list_for_each (node, after, &store->waiting)
    {
      struct store_call *call = list_entry (node, struct store_call, node);

      if (call->door == door)
        apply_mode (call);
    }
}

static void
on_finished (SoupServerMessage *msg, gpointer data)
{
  struct store_call *call = data;

  if (call->part != NULL)
    free_call (call);
  else
    forget_message (call);
}

/* Calls HANDLE for CALL, which may be freed by it.  */
static void
handle_call (struct store_call *call, store_handler *handle)
{
  call->is_handled = TRUE;
  if (!apply_mode (call))
    handle (call);
  call->is_handled = FALSE;
  if (call->is_ended)
    finish_call (call);
  else if (call->msg != NULL && !call->is_paused)
    {
      soup_server_message_pause (call->msg);
      call->is_paused = TRUE;
    }
}

static gboolean
on_delayed (gpointer data)
{
  struct store_call *call = data;

  call->timer = 0;
  handle_call (call, call->handle);
  return G_SOURCE_REMOVE;
}

void
store_call_wait (struct store_call *call, guint wait_ms,
                 GSourceFunc on_timeout)
{
  list_append (&call->store->waiting, &call->node);
  call->timer = g_timeout_add (wait_ms, on_timeout, call);
}

const char *
store_call_text (const struct store_call *call, const char *name)
{
  return call->query == NULL ? NULL : g_hash_table_lookup (call->query, name);
}

gint64
store_call_int (const struct store_call *call, const char *name,
                gint64 fallback)
{
  const char *text = store_call_text (call, name);

  return text == NULL ? fallback : g_ascii_strtoll (text, NULL, 10);
}

static const struct store_route *
find_route (const struct store_route *routes, SoupServerMessage *msg,
            const char *path)
{
  for (; routes->name != NULL; routes++)
    if (strcmp (path + strlen (PATH), routes->name) == 0
        && request_has_method (msg, routes->method))
      return routes;
  return NULL;
}

static struct store_call *
make_call (struct store_door *door, SoupServerMessage *msg, GHashTable *query,
           const struct store_route *route)
{
  struct store_call *call = g_new0 (struct store_call, 1);

  list_init (&call->node);
  call->store = door->store;
  call->door = door;
  call->msg = g_object_ref (msg);
  call->finished_handler
      = g_signal_connect (msg, "finished", G_CALLBACK (on_finished), call);
  call->handle = route->handle;
  call->is_change = route->is_change;
  call->query = query == NULL ? NULL : g_hash_table_ref (query);
  call->body
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  return call;
}

/* Carries CALL out now, or later where a fault asks for it.  */
static void
begin_call (struct store_call *call)
{
  const struct store_door *door = call->door;
  guint wait_ms = door->delay_ms;

  if (call->is_change)
    {
      wait_ms = MAX (wait_ms, door->late_ms);
      call->is_mute = door->loses_answers || door->late_ms > 0;
    }
  if (wait_ms > 0)
    call->timer = g_timeout_add (wait_ms, on_delayed, call);
  else
    call->handle (call);
}

static void
on_call (SoupServer *server, SoupServerMessage *msg, const char *path,
         GHashTable *query, gpointer data)
{
  struct store_door *door = data;
  const struct store_route *route = find_route (store_log_routes, msg, path);
  json_t *counts = door->store->counts;

  if (route == NULL)
    route = find_route (store_member_routes, msg, path);
  if (route == NULL)
    {
      answer_text (msg, 404, NULL);
      return;
    }
  json_add_int (counts, route->name,
                json_int_member (counts, route->name, 0) + 1);
  handle_call (make_call (door, msg, query, route), begin_call);
}

void
store_add_calls (struct store_door *door, SoupServer *server)
{
  soup_server_add_handler (server, PATH, on_call, door, NULL);
}
