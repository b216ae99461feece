/*
 * A forwarded job whose connection goes silent: two entry VMs in this
 * process, with the fault proxy between them.
 */
#include "base/clock.h"
#include "protocol/document_json.h"
#include "t/support/deployment.h"
#include "t/support/http.h"
#include "t/support/peers.h"
#include "transport/forward.h"
#include "transport/peer_hub_private.h"

#include <string.h>

#define N_TASKS 4
#define RUN_MS 5000

struct node
{
  struct settings *settings;
  struct home *home;
  struct peer_hub *hub;
  struct forward *forward;
};

struct fixture
{
  struct deployment *d;
  struct process *tcp_proxy;
  struct process *udp_proxy;
  struct node caller;
  struct node home;
};

static void
start_node (struct fixture *f, struct node *node, const char *vm)
{
  g_autofree char *platform = http_url (f->d->platform->ports[0], "%s", "");
  g_autofree char *text = g_strdup_printf (
      "{\"vm\":\"%s\",\"availability_zone\":\"reykjavik-a\","
      "\"listen\":\"127.0.0.1:0\",\"peer_listen\":\"127.0.0.2:0\","
      "\"log_url\":\"%s\",\"vm_list_url\":\"%s\"}",
      vm, platform, platform);
  g_autoptr (GError) error = NULL;

  node->settings = settings_parse (text, strlen (text), "test", &error);
  g_assert_no_error (error);
  node->home = home_new (node->settings);
  node->hub = peer_hub_new (node->settings, home_get_incarnation (node->home),
                            &error);
  g_assert_no_error (error);
  node->forward = forward_new (node->hub, node->home);
}

static void
stop_node (struct node *node)
{
  forward_free (node->forward);
  peer_hub_free (node->hub);
  home_free (node->home);
  settings_free (node->settings);
}

/* Puts the proxies, on one port number, in front of the home.  */
static void
start_proxies (struct fixture *f)
{
  char **address = &f->home.hub->sections->introduction.address;
  g_autofree char *port = NULL;

  f->tcp_proxy = process_start_standin ("proxy", "--to", *address, NULL);
  port = g_strdup_printf ("%u", f->tcp_proxy->ports[0]);
  f->udp_proxy = process_start_standin ("proxy", "--to", *address,
                                        "--listen-port", port, "--udp", NULL);
  g_free (*address);
  *address = g_strdup_printf ("127.0.0.1:%s", port);
  g_ptr_array_add (f->caller.settings->peer_seeds, g_strdup (*address));
}

static void
set_up (struct fixture *f, gconstpointer data)
{
  g_autoptr (GError) error = NULL;
  struct document *document;
  struct peer *peer;
  json_t *json;

  f->d = deployment_start (0, 2);
  start_node (f, &f->caller, "entry-1");
  start_node (f, &f->home, "entry-2");
  start_proxies (f);
  json = deployment_document (f->d);
  document = document_from_json (json, "test", &error);
  g_assert_no_error (error);
  document->version = 1;
  dispatcher_apply_document (home_get_dispatcher (f->home.home), document,
                             clock_now_us ());
  document_unref (document);
  json_decref (json);
  home_set_configured (f->home.home);
  do
    {
      g_main_context_iteration (NULL, TRUE);
      peer = membership_find (peer_hub_get_membership (f->caller.hub),
                              "entry-2");
    }
  while (peer == NULL || peer->state != PEER_ALIVE);
}

static void
tear_down (struct fixture *f, gconstpointer data)
{
  stop_node (&f->caller);
  stop_node (&f->home);
  process_free (f->udp_proxy);
  process_free (f->tcp_proxy);
  deployment_stop (f->d);
}

struct outcome
{
  guint status;
  char *body;
};

static void
on_answer (guint status, guint retry_after_s, GBytes *body, gpointer data)
{
  struct outcome *outcome = data;
  gsize length;
  const char *text = g_bytes_get_data (body, &length);

  outcome->status = status;
  outcome->body = g_strndup (text, length);
}

static void
wait_for_start (struct fixture *f, const struct outcome *outcome)
{
  while (deployment_assert_starts (f->d) == 0)
    {
      if (outcome->status != 0)
        g_error ("answered before any start: %s", outcome->body);
      g_main_context_iteration (NULL, FALSE);
    }
}

static void
run_with_fault (struct fixture *f, const char *fault)
{
  g_autofree char *ticket = home_issue_ticket (f->home.home);
  g_autofree char *job = peers_job (ticket, N_TASKS, RUN_MS, 10);
  g_autoptr (GBytes) body = g_bytes_new_static (job, strlen (job));
  g_autofree char *url = http_url (f->tcp_proxy->ports[1], "/test/faults");
  struct outcome outcome = { 0, NULL };
  json_t *answer;

  g_assert_true (forward_is_remote_job (f->caller.forward, ticket));
  forward_send_request (f->caller.forward, PEER_FORWARD_SUBMIT, ticket, FALSE,
                        body, on_answer, &outcome);
  wait_for_start (f, &outcome);
  http_post (url, fault);
  while (outcome.status == 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (outcome.status, ==, 200);
  answer = json_loads (outcome.body, 0, NULL);
  deployment_assert_whole (answer, N_TASKS, 10);
  g_assert_cmpuint (deployment_assert_starts (f->d), ==, N_TASKS);
  json_decref (answer);
  g_free (outcome.body);
}

static void
test_both_ways (struct fixture *f, gconstpointer data)
{
  run_with_fault (f, "{\"silence_existing\":true}");
}

static void
test_reset (struct fixture *f, gconstpointer data)
{
  run_with_fault (f, "{\"reset_existing\":true}");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/half-open/both-ways", struct fixture, NULL, set_up,
              test_both_ways, tear_down);
  g_test_add ("/half-open/reset", struct fixture, NULL, set_up, test_reset,
              tear_down);
  return g_test_run ();
}
