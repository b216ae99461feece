#include "transport/caller_forward.h"

#include "transport/http_answer.h"

/* A caller whose request was forwarded to the home of its job.  */
struct remote_caller
{
  SoupServerMessage *message;
  gulong finished_handler;
  struct forward_request *request;
  char *id;
};

static void
remote_caller_free (struct remote_caller *caller)
{
  g_signal_handler_disconnect (caller->message, caller->finished_handler);
  g_object_unref (caller->message);
  g_free (caller->id);
  g_free (caller);
}

static void
on_caller_disconnected (SoupServerMessage *message, gpointer data)
{
  struct remote_caller *caller = data;

  forward_cancel_request (caller->request);
  remote_caller_free (caller);
}

static void
on_reply (guint status, guint retry_after_s, GBytes *body, gpointer data)
{
  struct remote_caller *caller = data;
  g_autofree char *location = g_strconcat ("/v1/jobs/", caller->id, NULL);

  http_answer_bytes (caller->message, status, HTTP_JSON_TYPE, body);
  http_answer_set_retry_after (caller->message, retry_after_s);
  if (status == SOUP_STATUS_ACCEPTED)
    http_answer_set_header (caller->message, "Location", location);
  soup_server_message_unpause (caller->message);
  remote_caller_free (caller);
}

gboolean
caller_forward (struct forward *forward, SoupServerMessage *message,
                peer_forward_method method, const char *id, gboolean is_async,
                GBytes *body)
{
  struct remote_caller *caller;
  g_autoptr (GBytes) copy = NULL;
  gsize length = 0;
  gconstpointer bytes;

  if (forward == NULL || !forward_is_remote_job (forward, id))
    return FALSE;
  if (body != NULL)
    {
      bytes = g_bytes_get_data (body, &length);
      copy = g_bytes_new (bytes, length);
    }
  caller = g_new0 (struct remote_caller, 1);
  caller->message = g_object_ref (message);
  caller->id = g_strdup (id);
  caller->finished_handler = g_signal_connect (
      message, "finished", G_CALLBACK (on_caller_disconnected), caller);
  soup_server_message_pause (message);
  caller->request = forward_send_request (forward, method, id, is_async, copy,
                                          on_reply, caller);
  return TRUE;
}
