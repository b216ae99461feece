#include "transport/forward.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/event_log.h"
#include "protocol/json_read.h"
#include "transport/forward_serve.h"

#include <string.h>

/* How long a request may take with all its retries.  SUBMIT_TIMEOUT_US is for
   a submission that waits for the end of its job, SHORT_TIMEOUT_US for any
   other request.  */
#define SUBMIT_TIMEOUT_US ((JOB_MAX_DEADLINE_MS + 30000) * USEC_PER_MSEC)
#define SHORT_TIMEOUT_US (5 * USEC_PER_SEC)

/* The time before a retry.  */
#define RETRY_MS 200

/* The most times that a request is sent to a VM with which no heartbeats are
   exchanged.  */
#define MAX_UNHEARD_TRIES 5

/* The Retry-After, in seconds, for a job whose home cannot be reached.  */
#define RETRY_AFTER_S 2

/* For this long after its start a VM may not know all others yet, so that an
   unknown home does not count as lost.  */
#define STARTUP_US (5 * USEC_PER_SEC)

struct forward
{
  struct peer_listener listener;
  struct peer_hub *hub;
  struct home *home;
  struct list_node requests; /* struct forward_request by link */
  guint n_requests;
  gint64 startup_end_us;
};

/* One call in flight.  Its reply is ignored once request is NULL.  */
struct attempt
{
  struct forward_request *request;
};

struct forward_request
{
  struct list_node link;
  struct forward *forward;
  peer_forward_method method;
  char *id_text;
  struct job_id id;
  gboolean is_async;
  GBytes *body;
  gint64 deadline_us;
  guint n_sent;              /* number of calls made for it */
  gboolean may_have_arrived; /* at the home, by a broken call */
  guint retry_source;        /* of the next retry, or 0 */
  struct attempt *attempt;
  forward_answer_func *answer;
  gpointer data;
};

enum home_state
{
  HOME_REACHABLE,
  HOME_UNREACHABLE, /* paused, cut off, or not known yet */
  HOME_LOST         /* its process is gone */
};

/*
 * The state of the process INCARNATION on the VM of PEER.  If the peer is
 * known by a newer incarnation, the process is gone.  If it is known by this
 * one, its state decides.  An older one, or none, tells nothing about the
 * process, which counts as reachable.  A VM with which no heartbeats are
 * exchanged is lost once the platform has removed it from its list.
 */
static enum home_state
get_peer_home_state (const struct peer *peer, guint64 incarnation)
{
  gboolean is_delisted = peer->was_listed && !peer->is_listed;

  if (peer->incarnation > incarnation)
    return HOME_LOST;
  if (peer->incarnation < incarnation)
    return peer->state == PEER_UNHEARD && is_delisted ? HOME_LOST
                                                      : HOME_REACHABLE;
  if (peer->state == PEER_DEAD)
    return HOME_LOST;
  if (peer->state == PEER_SILENT)
    return HOME_UNREACHABLE;
  return peer->state == PEER_UNHEARD && is_delisted ? HOME_LOST
                                                    : HOME_REACHABLE;
}

/* The state of the process that issued ID.  A VM that is unknown here is lost
   if it is not on the platform's list, which was read, and this process has
   run long enough to know its peers.  */
static enum home_state
get_home_state (const struct forward *forward, const struct job_id *id)
{
  const struct membership *membership = peer_hub_get_membership (forward->hub);
  struct peer *peer = membership_find (membership, id->vm);

  if (home_is_earlier_id (forward->home, id))
    return HOME_LOST;
  if (peer != NULL)
    return get_peer_home_state (peer, id->incarnation);
  if (membership_has_list (membership)
      && clock_now_us () > forward->startup_end_us)
    return HOME_LOST;
  return HOME_UNREACHABLE;
}

static void
request_free (struct forward_request *request)
{
  if (request->attempt != NULL)
    request->attempt->request = NULL;
  if (request->retry_source != 0)
    g_source_remove (request->retry_source);
  request->forward->n_requests--;
  list_remove (&request->link);
  g_clear_pointer (&request->body, g_bytes_unref);
  g_free (request->id_text);
  g_free (request);
}

static void
end_request (struct forward_request *request, guint status,
             guint retry_after_s, GBytes *body)
{
  forward_answer_func *answer = request->answer;
  gpointer data = request->data;

  event_log (EVENT_FORWARD_ENDED, "job %s: status %u", request->id_text,
             status);
  request_free (request);
  answer (status, retry_after_s, body, data);
}

static void
end_with_error (struct forward_request *request, guint retry_after_s,
                const GError *error)
{
  g_autoptr (GBytes) body = error_format_answer (error, request->id_text);

  end_request (request, error_kind_http_status (error_get_kind (error)),
               retry_after_s, body);
}

/* Adds "passed_on" to the error in BODY: whether the request may have reached
   the home.  */
static GBytes *
add_passed_on (GBytes *body, gboolean may_have_arrived)
{
  json_t *root = json_parse (g_bytes_get_data (body, NULL),
                             g_bytes_get_size (body), NULL);
  char *text;

  json_object_set_new (json_object_get (root, "error"), "passed_on",
                       json_boolean (may_have_arrived));
  text = json_format (root);
  json_decref (root);
  return g_bytes_new_take (text, strlen (text));
}

static void
end_home_lost (struct forward_request *request)
{
  g_autoptr (GError) error = forward_make_lost_error (&request->id);
  g_autoptr (GBytes) plain = error_format_answer (error, request->id_text);
  g_autoptr (GBytes) body = add_passed_on (plain, request->may_have_arrived);

  end_request (request, error_kind_http_status (ERROR_UNKNOWN), 0, body);
}

static void
end_home_unreachable (struct forward_request *request)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_UNAVAILABLE,
             "VM '%s', the home of this job, cannot be reached at present, so "
             "the outcome is not known yet; repeat the request for the same "
             "job id",
             request->id.vm);
  end_with_error (request, RETRY_AFTER_S, error);
}

static void send_or_fail (struct forward_request *request);

static gboolean
on_retry (gpointer data)
{
  struct forward_request *request = data;

  request->retry_source = 0;
  send_or_fail (request);
  return G_SOURCE_REMOVE;
}

static void
retry_or_fail (struct forward_request *request, const GError *error)
{
  struct peer *peer = membership_find (
      peer_hub_get_membership (request->forward->hub), request->id.vm);
  gboolean is_unheard = peer == NULL || peer->state == PEER_UNHEARD;

  if (error_get_kind (error) == ERROR_TOO_LARGE)
    end_with_error (request, 0, error);
  else if (clock_now_us () >= request->deadline_us
           || (is_unheard && request->n_sent >= MAX_UNHEARD_TRIES))
    end_home_unreachable (request);
  else
    request->retry_source = g_timeout_add (RETRY_MS, on_retry, request);
}

static void
on_reply (const void *result, const GError *error, gpointer data)
{
  const peer_forward_result *reply = result;
  struct attempt *attempt = data;
  struct forward_request *request = attempt->request;
  g_autoptr (GBytes) body = NULL;

  g_free (attempt);
  if (request == NULL)
    return;
  request->attempt = NULL;
  if (reply == NULL)
    {
      request->may_have_arrived |= error_get_kind (error) == ERROR_UNAVAILABLE;
      retry_or_fail (request, error);
      return;
    }
  body = g_bytes_new (reply->body.body_val, reply->body.body_len);
  end_request (request, reply->status, reply->retry_after_s, body);
}

static void
send_to_home (struct forward_request *request)
{
  peer_forward_args arguments = {
    .method = request->method,
    .is_async = request->is_async,
    .job_id = request->id_text,
  };
  gsize length = 0;

  if (request->body != NULL)
    arguments.body.body_val
        = (char *)g_bytes_get_data (request->body, &length);
  arguments.body.body_len = (u_int)length;
  request->n_sent++;
  request->attempt = g_new0 (struct attempt, 1);
  request->attempt->request = request;
  peer_hub_call (request->forward->hub, request->id.vm, PEER_FORWARD,
                 &arguments, request->deadline_us, on_reply, request->attempt);
}

static void
send_or_fail (struct forward_request *request)
{
  switch (get_home_state (request->forward, &request->id))
    {
    case HOME_REACHABLE:
      send_to_home (request);
      break;
    case HOME_UNREACHABLE:
      end_home_unreachable (request);
      break;
    case HOME_LOST:
      end_home_lost (request);
      break;
    }
}

/* Answers the requests for a home that is lost or unreachable at once, without
   waiting until their calls end.  */
static void
on_peer_changed (struct peer_listener *listener, const struct peer *peer)
{
  struct forward *forward = list_entry (listener, struct forward, listener);
  struct list_node *node;
  struct list_node *after;

  if (peer->state == PEER_SUSPECT)
    return;
  list_for_each (node, after, &forward->requests)
    {
      struct forward_request *request
          = list_entry (node, struct forward_request, link);

      if (request->retry_source != 0
          || !g_str_equal (request->id.vm, peer->name)
          || get_home_state (forward, &request->id) == HOME_REACHABLE)
        continue;
      request->retry_source
          = g_idle_add_full (G_PRIORITY_DEFAULT, on_retry, request, NULL);
      request->may_have_arrived |= request->attempt != NULL;
      if (request->attempt != NULL)
        request->attempt->request = NULL;
      request->attempt = NULL;
    }
}

static const struct peer_listener_ops listener_ops = {
  .peer_changed = on_peer_changed,
};

struct forward *
forward_new (struct peer_hub *hub, struct home *home)
{
  struct forward *forward = g_new0 (struct forward, 1);

  forward->listener.ops = &listener_ops;
  forward->hub = hub;
  forward->home = home;
  forward->startup_end_us = clock_now_us () + STARTUP_US;
  list_init (&forward->requests);
  peer_hub_add_listener (hub, &forward->listener);
  peer_hub_serve (hub, PEER_FORWARD, forward_serve, home);
  return forward;
}

void
forward_free (struct forward *forward)
{
  struct list_node *node;
  struct list_node *after;

  peer_hub_remove_listener (forward->hub, &forward->listener);
  list_for_each (node, after, &forward->requests)
    request_free (list_entry (node, struct forward_request, link));
  g_free (forward);
}

gboolean
forward_is_remote_job (struct forward *forward, const char *id)
{
  struct job_id parsed;

  return home_parse_id (forward->home, id, &parsed, NULL)
         && !home_is_own_id (forward->home, &parsed);
}

struct forward_request *
forward_send_request (struct forward *forward, peer_forward_method method,
                      const char *id, gboolean is_async, GBytes *body,
                      forward_answer_func *answer, gpointer data)
{
  struct forward_request *request = g_new0 (struct forward_request, 1);
  gboolean waits_for_job = method == PEER_FORWARD_SUBMIT && !is_async;

  request->forward = forward;
  request->method = method;
  request->id_text = g_strdup (id);
  home_parse_id (forward->home, id, &request->id, NULL);
  request->is_async = is_async;
  request->body = body != NULL ? g_bytes_ref (body) : NULL;
  request->deadline_us
      = clock_now_us ()
        + (waits_for_job ? SUBMIT_TIMEOUT_US : SHORT_TIMEOUT_US);
  request->answer = answer;
  request->data = data;
  list_append (&forward->requests, &request->link);
  forward->n_requests++;
  request->retry_source
      = g_idle_add_full (G_PRIORITY_DEFAULT, on_retry, request, NULL);
  return request;
}

void
forward_cancel_request (struct forward_request *request)
{
  request_free (request);
}

struct peer_hub *
forward_get_hub (const struct forward *forward)
{
  return forward->hub;
}

guint
forward_count_requests (const struct forward *forward)
{
  return forward->n_requests;
}
