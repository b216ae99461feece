#include "transport/peer_hub_private.h"

#include "base/clock.h"

/* A check whether a suspected peer answers over a new connection, either
   directly or through another peer.  */
struct peer_check
{
  struct list_node link;
  struct peer_hub *hub;
  struct peer_rpc *rpc; /* for this check only; NULL if through another peer */
  guint free_source;    /* source of free_check (); 0 until the check ends */
  char *suspect;        /* name of the peer that is checked */
  guint check_id;       /* from membership */
  struct peer_request *request; /* of the peer that asked for this check; NULL
                                   if this VM's membership did */
};

static gboolean
free_check (gpointer data)
{
  struct peer_check *check = data;

  if (check->rpc != NULL)
    peer_rpc_free (check->rpc);
  list_remove (&check->link);
  g_free (check->suspect);
  g_free (check);
  return G_SOURCE_REMOVE;
}

static const peer_ping_verdict verdicts[] = {
  [CHECK_REACHED] = PEER_PING_REACHED,
  [CHECK_REFUSED] = PEER_PING_REFUSED,
  [CHECK_UNANSWERED] = PEER_PING_NO_REPLY,
};

/* Reports RESULT to the peer that asked for the check, or to this VM's
   membership.  INCARNATION is the suspect's, 0 if it did not answer.  */
static void
report_check (struct peer_check *check, enum check_result result,
              guint64 incarnation)
{
  struct peer_hub *hub = check->hub;
  struct peer_request *request = check->request;
  peer_ping_result reply = { .incarnation = incarnation };

  check->request = NULL;
  if (hub->is_closing)
    {
      if (request != NULL)
        peer_request_fail (request);
      return;
    }
  if (request == NULL)
    {
      membership_check_ended (hub->membership, check->suspect, check->check_id,
                              result, incarnation, clock_now_us ());
      return;
    }
  reply.verdict = verdicts[result];
  peer_request_reply (request, &reply);
}

/* The check result for the verdict in REPLY, or CHECK_UNANSWERED if the
   verdict is unknown.  */
static enum check_result
get_check_result (const peer_ping_result *reply)
{
  for (guint i = 0; i < G_N_ELEMENTS (verdicts); i++)
    if (reply->verdict == verdicts[i])
      return (enum check_result)i;
  return CHECK_UNANSWERED;
}

static void
on_check_answer (const void *result, const GError *error, gpointer data)
{
  const peer_ping_result *reply = result;
  struct peer_check *check = data;
  enum check_result end = CHECK_UNANSWERED;

  if (check->free_source != 0)
    return;
  check->free_source = g_idle_add (free_check, check);
  if (reply != NULL)
    end = get_check_result (reply);
  else if (check->rpc != NULL && peer_rpc_was_refused (check->rpc))
    end = CHECK_REFUSED;
  report_check (check, end, reply != NULL ? reply->incarnation : 0);
}

static struct peer_check *
check_new (struct peer_hub *hub, const char *suspect)
{
  struct peer_check *check = g_new0 (struct peer_check, 1);

  check->hub = hub;
  check->suspect = g_strdup (suspect);
  list_append (&hub->checks, &check->link);
  hub->counts.checks_sent++;
  return check;
}

/* Sends a PING to PEER over a new connection that only CHECK uses.  */
static void
check_directly (struct peer_check *check, const struct peer *peer,
                gint64 deadline_us)
{
  peer_ping_args arguments = { .suspect = (char *)"" };

  check->rpc
      = peer_rpc_new (&check->hub->rpc_owner, peer->name, peer->address);
  peer_rpc_call (check->rpc, rpc_procedure_find (PEER_PING), &arguments,
                 deadline_us, on_check_answer, check);
}

void
peer_hub_check_peer (struct membership_driver *driver, struct peer *peer,
                     struct peer *via, guint check_id, gint64 deadline_us)
{
  struct peer_hub *hub = list_entry (driver, struct peer_hub, driver);
  struct peer_check *check = check_new (hub, peer->name);
  peer_ping_args arguments = { .suspect = peer->name };

  check->check_id = check_id;
  if (via == NULL)
    check_directly (check, peer, deadline_us);
  else
    peer_hub_call (hub, via->name, PEER_PING, &arguments, deadline_us,
                   on_check_answer, check);
}

void
peer_hub_serve_ping (struct peer_request *request, const void *arguments,
                     gpointer data)
{
  const peer_ping_args *ping = arguments;
  struct peer_hub *hub = data;
  peer_ping_result own = { hub->incarnation, PEER_PING_REACHED };
  peer_ping_result no_reply = { 0, PEER_PING_NO_REPLY };
  struct peer *peer;
  struct peer_check *check;

  if (ping->suspect[0] == '\0'
      || g_str_equal (ping->suspect, hub->settings->vm))
    {
      peer_request_reply (request, &own);
      return;
    }
  peer = membership_find (hub->membership, ping->suspect);
  if (peer == NULL || peer->address == NULL)
    {
      peer_request_reply (request, &no_reply);
      return;
    }
  check = check_new (hub, peer->name);
  check->request = request;
  check_directly (check, peer, clock_now_us () + DIRECT_CHECK_TIMEOUT_US);
}

void
peer_hub_free_checks (struct peer_hub *hub)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &hub->checks)
    {
      struct peer_check *check = list_entry (node, struct peer_check, link);

      /* Freeing the rpc ends its call; the nonzero free_source makes
         on_check_answer () ignore that.  */
      if (check->free_source != 0)
        g_source_remove (check->free_source);
      check->free_source = G_MAXUINT;
      if (check->request != NULL)
        peer_request_fail (check->request);
      free_check (check);
    }
}
