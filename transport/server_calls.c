#include "transport/server_calls.h"

#include "base/clock.h"
#include "base/list.h"

#define MAX_ANSWER_BYTES (8 * 1024 * 1024)
#define MAX_CONNECTIONS 16
#define STATUS_TOO_MANY_REQUESTS 429

/* The server counts as not reached when a call fails and no call was answered
   for this time.  */
#define UNREACHABLE_AFTER_US (1 * USEC_PER_SEC)

struct server_calls
{
  SoupSession *session;
  struct list_node in_flight; /* struct server_call */
  gboolean is_reached;
  gint64 last_answer_us;  /* when a call was last answered, or of creation */
  gint64 last_failure_us; /* when a call last failed, or
                             server_calls_note_failure () was called */
  server_reachability_func *changed;
  gpointer changed_data;
};

struct server_call
{
  struct list_node link;
  struct server_calls *calls; /* NULL once cancelled */
  SoupSession *session;
  GCancellable *cancellable;
  guint timeout_source;
  http_body_done_func *answered;
  gpointer data;
};

static SoupSession *
new_session (void)
{
  SoupSession *session = soup_session_new_with_options (
      "proxy-resolver", NULL, "max-conns", MAX_CONNECTIONS,
      "max-conns-per-host", MAX_CONNECTIONS, "timeout", 0, NULL);

  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  return session;
}

struct server_calls *
server_calls_new (server_reachability_func *changed, gpointer data)
{
  struct server_calls *calls = g_new0 (struct server_calls, 1);

  calls->session = new_session ();
  calls->changed = changed;
  calls->changed_data = data;
  calls->last_failure_us = G_MININT64;
  calls->last_answer_us = clock_now_us ();
  list_init (&calls->in_flight);
  return calls;
}

void
server_calls_free (struct server_calls *calls)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &calls->in_flight)
    {
      struct server_call *call = list_entry (node, struct server_call, link);

      list_remove (&call->link);
      call->calls = NULL;
      g_cancellable_cancel (call->cancellable);
    }
  g_object_unref (calls->session);
  g_free (calls);
}

static void
set_reached (struct server_calls *calls, gboolean is_reached)
{
  if (calls->is_reached == is_reached)
    return;
  calls->is_reached = is_reached;
  calls->changed (is_reached, calls->changed_data);
}

void
server_calls_note_failure (struct server_calls *calls)
{
  calls->last_failure_us = clock_now_us ();
}

gboolean
server_calls_has_failed_since (const struct server_calls *calls,
                               gint64 since_us)
{
  return calls->last_failure_us >= since_us;
}

gboolean
server_calls_is_processed (guint status)
{
  return status != 0 && status != STATUS_TOO_MANY_REQUESTS
         && status < SOUP_STATUS_INTERNAL_SERVER_ERROR;
}

static void
note_status (struct server_calls *calls, guint status)
{
  gint64 now_us = clock_now_us ();

  if (server_calls_is_processed (status))
    {
      calls->last_answer_us = now_us;
      set_reached (calls, TRUE);
      return;
    }
  calls->last_failure_us = now_us;
  if (now_us - calls->last_answer_us > UNREACHABLE_AFTER_US)
    set_reached (calls, FALSE);
}

/* Replaces the session that CALL has used, unless that was done before, so
   that later calls use new connections.  */
static void
replace_session (struct server_call *call)
{
  struct server_calls *calls = call->calls;

  if (calls->session != call->session)
    return;
  g_object_unref (calls->session);
  calls->session = new_session ();
}

static void
call_free (struct server_call *call)
{
  g_clear_handle_id (&call->timeout_source, g_source_remove);
  list_remove (&call->link);
  g_object_unref (call->cancellable);
  g_object_unref (call->session);
  g_free (call);
}

static gboolean
on_timeout (gpointer data)
{
  struct server_call *call = data;

  call->timeout_source = 0;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

static void
on_answered (guint answer_status, GBytes *body, gpointer data)
{
  struct server_call *call = data;
  guint status = body != NULL ? answer_status : 0;

  if (call->calls != NULL)
    {
      if (status == 0)
        replace_session (call);
      note_status (call->calls, status);
      call->answered (status, body, call->data);
    }
  call_free (call);
}

void
server_calls_send (struct server_calls *calls, SoupMessage *message,
                   guint timeout_ms, http_body_done_func *answered,
                   gpointer data)
{
  struct server_call *call = g_new0 (struct server_call, 1);

  call->calls = calls;
  call->session = g_object_ref (calls->session);
  call->cancellable = g_cancellable_new ();
  call->answered = answered;
  call->data = data;
  call->timeout_source = g_timeout_add (timeout_ms, on_timeout, call);
  list_append (&calls->in_flight, &call->link);
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  http_body_send (call->session, message, call->cancellable, MAX_ANSWER_BYTES,
                  on_answered, call);
}
