#include "transport/peer_hub_private.h"

#include "base/clock.h"

/* One look after a suspect over a fresh connection.  */
struct check
{
  struct list_node link;
  struct peer_hub *hub;
  struct peer_rpc *rpc; /* of its own, or NULL when asked through another */
  guint free_source;
  char *suspect;
  guint check_id;
  struct peer_request *request; /* the peer that wants to know, or NULL */
};

static gboolean
free_check (gpointer data)
{
  struct check *check = data;

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
  [CHECK_UNANSWERED] = PEER_PING_SILENT,
};

static void
report_check (struct check *check, enum check_result result,
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

static enum check_result
judge_reply (const peer_ping_result *reply)
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
  struct check *check = data;
  enum check_result end = CHECK_UNANSWERED;

  if (check->free_source != 0)
    return;
  check->free_source = g_idle_add (free_check, check);
  if (reply != NULL)
    end = judge_reply (reply);
  else if (check->rpc != NULL && peer_rpc_was_refused (check->rpc))
    end = CHECK_REFUSED;
  report_check (check, end, reply != NULL ? reply->incarnation : 0);
}

static struct check *
check_new (struct peer_hub *hub, const char *suspect)
{
  struct check *check = g_new0 (struct check, 1);

  check->hub = hub;
  check->suspect = g_strdup (suspect);
  list_append (&hub->checks, &check->link);
  hub->counts.checks_sent++;
  return check;
}

/* Calls PEER over a connection of the check's own.  */
static void
check_directly (struct check *check, const struct peer *peer,
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
  struct check *check = check_new (hub, peer->name);
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
  peer_ping_result silent = { 0, PEER_PING_SILENT };
  struct peer *peer;
  struct check *check;

  if (ping->suspect[0] == '\0'
      || g_str_equal (ping->suspect, hub->settings->vm))
    {
      peer_request_reply (request, &own);
      return;
    }
  peer = membership_find (hub->membership, ping->suspect);
  if (peer == NULL || peer->address == NULL)
    {
      peer_request_reply (request, &silent);
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
      struct check *check = list_entry (node, struct check, link);

      /* Its answer comes when it is freed, and tells nothing.  */
      if (check->free_source != 0)
        g_source_remove (check->free_source);
      check->free_source = G_MAXUINT;
      if (check->request != NULL)
        peer_request_fail (check->request);
      free_check (check);
    }
}
