#include "transport/forward.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/event_log.h"
#include "protocol/json_read.h"
#include "transport/forward_serve.h"

#include <string.h>

/* How long a request may take in all: as long as a job, or a short time for
   one that needs no job to end.  */
#define SUBMIT_TIMEOUT_US ((JOB_MAX_DEADLINE_MS + 30000) * USEC_PER_MSEC)
#define SHORT_TIMEOUT_US (5 * USEC_PER_SEC)

/* The pause before a request is sent again, and how often it is sent to a VM
   with which no heartbeats are exchanged.  */
#define RETRY_MS 200
#define UNHEARD_TRIES 5

/* What the caller of a VM that is not reachable is told, in seconds.  */
#define RETRY_AFTER_S 2

/* A VM that started less than this ago may not know all others yet.  */
#define SETTLE_US (5 * USEC_PER_SEC)

struct forward
{
  struct peer_listener listener;
  struct peer_hub *hub;
  struct home *home;
  struct list_node waits; /* struct forward_wait by link */
  guint n_waits;
  gint64 settled_us;
};

/* One call in flight; its answer is for nobody once wait is NULL.  */
struct attempt
{
  struct forward_wait *wait;
};

struct forward_wait
{
  struct list_node link;
  struct forward *forward;
  peer_forward_method method;
  char *id_text;
  struct job_id id;
  gboolean is_async;
  GBytes *body;
  gint64 deadline_us;
  guint n_tries;
  gboolean was_passed_on; /* it may have reached the home */
  guint source;           /* the next try */
  struct attempt *attempt;
  forward_answer *answer;
  gpointer data;
};

enum home_state
{
  HOME_THERE,
  HOME_UNREACHABLE, /* paused, cut off, or not known yet */
  HOME_LOST         /* its process is gone */
};

static enum home_state
judge_peer (const struct peer *peer, guint64 incarnation)
{
  gboolean is_delisted = peer->was_listed && !peer->is_listed;

  if (peer->incarnation > incarnation)
    return HOME_LOST;
  if (peer->incarnation < incarnation)
    return peer->state == PEER_UNHEARD && is_delisted ? HOME_LOST : HOME_THERE;
  if (peer->state == PEER_DEAD)
    return HOME_LOST;
  if (peer->state == PEER_SILENT)
    return HOME_UNREACHABLE;
  return peer->state == PEER_UNHEARD && is_delisted ? HOME_LOST : HOME_THERE;
}

static enum home_state
judge_home (const struct forward *forward, const struct job_id *id)
{
  const struct membership *membership = peer_hub_get_membership (forward->hub);
  struct peer *peer = membership_find (membership, id->vm);

  if (home_is_former (forward->home, id))
    return HOME_LOST;
  if (peer != NULL)
    return judge_peer (peer, id->incarnation);
  if (membership_has_list (membership)
      && clock_now_us () > forward->settled_us)
    return HOME_LOST;
  return HOME_UNREACHABLE;
}

static void
wait_free (struct forward_wait *wait)
{
  if (wait->attempt != NULL)
    wait->attempt->wait = NULL;
  if (wait->source != 0)
    g_source_remove (wait->source);
  wait->forward->n_waits--;
  list_remove (&wait->link);
  g_clear_pointer (&wait->body, g_bytes_unref);
  g_free (wait->id_text);
  g_free (wait);
}

static void
finish (struct forward_wait *wait, guint status, guint retry_after_s,
        GBytes *body)
{
  forward_answer *answer = wait->answer;
  gpointer data = wait->data;

  event_log (EVENT_FORWARD_ENDED, "job %s: status %u", wait->id_text, status);
  wait_free (wait);
  answer (status, retry_after_s, body, data);
}

static void
finish_with_error (struct forward_wait *wait, guint retry_after_s,
                   const GError *error)
{
  g_autoptr (GBytes) body = error_format_answer (error, wait->id_text);

  finish (wait, error_kind_http_status (error_get_kind (error)), retry_after_s,
          body);
}

/* Adds to the answer in BODY whether the request may have reached the home. */
static GBytes *
add_passed_on (GBytes *body, gboolean was_passed_on)
{
  json_t *root = json_parse (g_bytes_get_data (body, NULL),
                             g_bytes_get_size (body), NULL);
  char *text;

  json_object_set_new (json_object_get (root, "error"), "passed_on",
                       json_boolean (was_passed_on));
  text = json_format (root);
  json_decref (root);
  return g_bytes_new_take (text, strlen (text));
}

static void
finish_lost (struct forward_wait *wait)
{
  g_autoptr (GError) error = forward_lost_error (&wait->id);
  g_autoptr (GBytes) plain = error_format_answer (error, wait->id_text);
  g_autoptr (GBytes) body = add_passed_on (plain, wait->was_passed_on);

  finish (wait, error_kind_http_status (ERROR_UNKNOWN), 0, body);
}

static void
finish_unreachable (struct forward_wait *wait)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_UNAVAILABLE,
             "VM '%s', the home of this job, cannot be reached at present, so "
             "the outcome is not known yet; ask again for the same id",
             wait->id.vm);
  finish_with_error (wait, RETRY_AFTER_S, error);
}

static void try_home (struct forward_wait *wait);

static gboolean
on_retry (gpointer data)
{
  struct forward_wait *wait = data;

  wait->source = 0;
  try_home (wait);
  return G_SOURCE_REMOVE;
}

static void
handle_broken_call (struct forward_wait *wait, const GError *error)
{
  struct peer *peer = membership_find (
      peer_hub_get_membership (wait->forward->hub), wait->id.vm);
  gboolean is_unheard = peer == NULL || peer->state == PEER_UNHEARD;

  if (error_get_kind (error) == ERROR_TOO_LARGE)
    finish_with_error (wait, 0, error);
  else if (clock_now_us () >= wait->deadline_us
           || (is_unheard && wait->n_tries >= UNHEARD_TRIES))
    finish_unreachable (wait);
  else
    wait->source = g_timeout_add (RETRY_MS, on_retry, wait);
}

static void
on_answer (const void *result, const GError *error, gpointer data)
{
  const peer_forward_result *reply = result;
  struct attempt *attempt = data;
  struct forward_wait *wait = attempt->wait;
  g_autoptr (GBytes) body = NULL;

  g_free (attempt);
  if (wait == NULL)
    return;
  wait->attempt = NULL;
  if (reply == NULL)
    {
      wait->was_passed_on |= error_get_kind (error) == ERROR_UNAVAILABLE;
      handle_broken_call (wait, error);
      return;
    }
  body = g_bytes_new (reply->body.body_val, reply->body.body_len);
  finish (wait, reply->status, reply->retry_after_s, body);
}

static void
call_home (struct forward_wait *wait)
{
  peer_forward_args arguments = {
    .method = wait->method,
    .is_async = wait->is_async,
    .job_id = wait->id_text,
  };
  gsize length = 0;

  if (wait->body != NULL)
    arguments.body.body_val = (char *)g_bytes_get_data (wait->body, &length);
  arguments.body.body_len = (u_int)length;
  wait->n_tries++;
  wait->attempt = g_new0 (struct attempt, 1);
  wait->attempt->wait = wait;
  peer_hub_call (wait->forward->hub, wait->id.vm, PEER_FORWARD, &arguments,
                 wait->deadline_us, on_answer, wait->attempt);
}

static void
try_home (struct forward_wait *wait)
{
  switch (judge_home (wait->forward, &wait->id))
    {
    case HOME_THERE:
      call_home (wait);
      break;
    case HOME_UNREACHABLE:
      finish_unreachable (wait);
      break;
    case HOME_LOST:
      finish_lost (wait);
      break;
    }
}

/* Answers the waits on a home that is gone, or out of reach, without awaiting
   the end of their calls.  */
static void
on_peer_changed (struct peer_listener *listener, const struct peer *peer)
{
  struct forward *forward = list_entry (listener, struct forward, listener);
  struct list_node *node;
  struct list_node *after;

  if (peer->state == PEER_SUSPECT)
    return;
  list_for_each (node, after, &forward->waits)
    {
      struct forward_wait *wait = list_entry (node, struct forward_wait, link);

      if (wait->source != 0 || !g_str_equal (wait->id.vm, peer->name)
          || judge_home (forward, &wait->id) == HOME_THERE)
        continue;
      wait->source
          = g_idle_add_full (G_PRIORITY_DEFAULT, on_retry, wait, NULL);
      wait->was_passed_on |= wait->attempt != NULL;
      if (wait->attempt != NULL)
        wait->attempt->wait = NULL;
      wait->attempt = NULL;
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
  forward->settled_us = clock_now_us () + SETTLE_US;
  list_init (&forward->waits);
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
  list_for_each (node, after, &forward->waits)
    wait_free (list_entry (node, struct forward_wait, link));
  g_free (forward);
}

gboolean
forward_is_remote_job (struct forward *forward, const char *id)
{
  struct job_id parsed;

  return home_parse_id (forward->home, id, &parsed, NULL)
         && !home_owns (forward->home, &parsed);
}

struct forward_wait *
forward_send_request (struct forward *forward, peer_forward_method method,
                      const char *id, gboolean is_async, GBytes *body,
                      forward_answer *answer, gpointer data)
{
  struct forward_wait *wait = g_new0 (struct forward_wait, 1);
  gboolean is_long = method == PEER_FORWARD_SUBMIT && !is_async;

  wait->forward = forward;
  wait->method = method;
  wait->id_text = g_strdup (id);
  home_parse_id (forward->home, id, &wait->id, NULL);
  wait->is_async = is_async;
  wait->body = body != NULL ? g_bytes_ref (body) : NULL;
  wait->deadline_us
      = clock_now_us () + (is_long ? SUBMIT_TIMEOUT_US : SHORT_TIMEOUT_US);
  wait->answer = answer;
  wait->data = data;
  list_append (&forward->waits, &wait->link);
  forward->n_waits++;
  wait->source = g_idle_add_full (G_PRIORITY_DEFAULT, on_retry, wait, NULL);
  return wait;
}

void
forward_abandon (struct forward_wait *wait)
{
  wait_free (wait);
}

struct peer_hub *
forward_get_hub (const struct forward *forward)
{
  return forward->hub;
}

guint
forward_count (const struct forward *forward)
{
  return forward->n_waits;
}
