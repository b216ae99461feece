/*
 * Calls between peers through the fault proxy: silence, resets, many at once.
 */
#include "base/clock.h"
#include "base/error.h"
#include "t/support/http.h"
#include "t/support/process.h"
#include "transport/listener.h"
#include "transport/peer_rpc.h"
#include "transport/peer_service.h"

#include <string.h>

#define KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccdd"
#define FAR_US (60 * USEC_PER_SEC)

struct fixture
{
  struct peer_rpc_owner owner;
  GPtrArray *keys;
  struct peer_mac *mac;
  struct peer_service *service;
  struct process *proxy;
  struct peer_rpc *rpc;
  guint64 sequence;
  guint n_broke;
  guint n_served;
  GQueue *held; /* requests that wait for their reply */
  gboolean holds;
};

/* One call and its end.  */
struct outcome
{
  gboolean is_ended;
  guint status;
  enum error_kind kind;
  gsize length;
};

static GBytes *
build_call (struct peer_rpc_owner *owner, struct peer_rpc *rpc, guint32 xid,
            const struct rpc_procedure *procedure, const void *arguments)
{
  struct fixture *f = (struct fixture *)(void *)owner;
  peer_credential credential = {
    .sender = (char *)"entry-1",
    .receiver = (char *)peer_rpc_get_vm (rpc),
    .incarnation = 1,
    .sequence = ++f->sequence,
    .sent_unix_ms = (guint64)clock_unix_ms (),
  };

  return rpc_build_call (f->mac, xid, procedure, &credential, NULL, arguments);
}

static void
on_broke (struct peer_rpc_owner *owner, struct peer_rpc *rpc)
{
  struct fixture *f = (struct fixture *)(void *)owner;

  f->n_broke++;
}

static const struct peer_rpc_owner_ops owner_ops = {
  .build_call = build_call,
  .connection_broken = on_broke,
};

/* Answers with the body that came.  */
static void
echo (struct peer_request *request, guint status, const char *body,
      gsize length)
{
  peer_forward_result result = { .status = status };

  result.body.body_val = (char *)body;
  result.body.body_len = (u_int)length;
  peer_request_reply (request, &result);
}

static void
serve (struct peer_request *request, const void *arguments, gpointer data)
{
  const peer_forward_args *args = arguments;
  struct fixture *f = data;

  f->n_served++;
  if (f->holds)
    g_queue_push_tail (f->held, request);
  else
    echo (request, (guint)atoi (args->job_id), args->body.body_val,
          args->body.body_len);
}

static void
serve_ping (struct peer_request *request, const void *arguments, gpointer data)
{
  peer_ping_result result = { 1, PEER_PING_REACHED };

  peer_request_reply (request, &result);
}

static void
set_up (struct fixture *f, gconstpointer data)
{
  struct endpoint endpoint = { (char *)"127.0.0.1", 0 };
  g_autoptr (GSocket) listener = listener_open (&endpoint, NULL);
  g_autofree char *target
      = g_strdup_printf ("127.0.0.1:%u", listener_get_port (listener));
  g_autofree char *address = NULL;

  f->keys = g_ptr_array_new ();
  g_ptr_array_add (f->keys, (gpointer)KEY);
  f->mac = peer_mac_new (f->keys);
  f->owner.ops = &owner_ops;
  f->owner.mac = f->mac;
  f->held = g_queue_new ();
  f->service = peer_service_new (listener, "entry-2", f->mac);
  peer_service_set_handler (f->service, PEER_FORWARD, serve, f);
  peer_service_set_handler (f->service, PEER_PING, serve_ping, f);
  f->proxy = process_start_standin ("proxy", "--to", target, NULL);
  address = g_strdup_printf ("127.0.0.1:%u", f->proxy->ports[0]);
  f->rpc = peer_rpc_new (&f->owner, "entry-2", address);
}

static void
tear_down (struct fixture *f, gconstpointer data)
{
  struct peer_request *request;

  peer_rpc_free (f->rpc);
  while ((request = g_queue_pop_head (f->held)) != NULL)
    peer_request_fail (request);
  g_queue_free (f->held);
  peer_service_free (f->service);
  process_free (f->proxy);
  peer_mac_free (f->mac);
  g_ptr_array_unref (f->keys);
}

static void
on_answer (const void *result, const GError *error, gpointer data)
{
  const peer_forward_result *reply = result;
  struct outcome *outcome = data;

  g_assert_false (outcome->is_ended);
  outcome->is_ended = TRUE;
  if (reply != NULL)
    {
      outcome->status = reply->status;
      outcome->length = reply->body.body_len;
    }
  else
    outcome->kind = error_get_kind (error);
}

/* Begins a call whose reply is to have STATUS and LENGTH bytes.  */
static void
begin (struct fixture *f, struct outcome *outcome, guint status, gsize length,
       gint64 timeout_us)
{
  g_autofree char *body = g_malloc0 (length + 1);
  char id[16];
  peer_forward_args args = { .job_id = id };

  g_snprintf (id, sizeof id, "%u", status);
  args.body.body_val = body;
  args.body.body_len = (u_int)length;
  memset (outcome, 0, sizeof *outcome);
  peer_rpc_call (f->rpc, rpc_procedure_find (PEER_FORWARD), &args,
                 clock_now_us () + timeout_us, on_answer, outcome);
  g_assert_false (outcome->is_ended);
}

static void
wait_for (const struct outcome *outcome)
{
  while (!outcome->is_ended)
    g_main_context_iteration (NULL, TRUE);
}

static void
expect_served (struct fixture *f, guint status, gsize length)
{
  struct outcome outcome;

  begin (f, &outcome, status, length, FAR_US);
  wait_for (&outcome);
  g_assert_cmpuint (outcome.status, ==, status);
  g_assert_cmpuint (outcome.length, ==, length);
}

static void
set_faults (struct fixture *f, const char *faults)
{
  g_autofree char *url
      = http_url (f->proxy->ports[f->proxy->n_ports - 1], "/test/faults");

  http_post (url, faults);
}

static void
wait_for_held (struct fixture *f, guint n)
{
  while (g_queue_get_length (f->held) < n)
    g_main_context_iteration (NULL, TRUE);
}

/* Replies come in any order, and each finds its call.  */
static void
test_many_calls (struct fixture *f, gconstpointer data)
{
  static struct outcome outcomes[1000];

  f->holds = TRUE;
  for (guint i = 0; i < G_N_ELEMENTS (outcomes); i++)
    begin (f, &outcomes[i], i, 10, FAR_US);
  wait_for_held (f, G_N_ELEMENTS (outcomes));
  for (guint i = G_N_ELEMENTS (outcomes); i > 0; i--)
    echo (g_queue_pop_tail (f->held), i - 1, "", 0);
  for (guint i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      wait_for (&outcomes[i]);
      g_assert_cmpuint (outcomes[i].status, ==, i);
    }
  g_assert_cmpuint (f->n_served, ==, G_N_ELEMENTS (outcomes));
}

/* The first message of a connection may be large too.  */
static void
test_large_call (struct fixture *f, gconstpointer data)
{
  expect_served (f, 200, 3000000);
  expect_served (f, 201, 0);
}

/* A connection that goes silent is given up, and a fresh one used.  */
static void
test_half_open (struct fixture *f, gconstpointer fault)
{
  struct outcome outcome;

  expect_served (f, 200, 10);
  f->holds = TRUE;
  begin (f, &outcome, 201, 10, FAR_US);
  wait_for_held (f, 1);
  set_faults (f, fault);
  wait_for (&outcome);
  g_assert_cmpint (outcome.kind, ==, ERROR_UNAVAILABLE);
  f->holds = FALSE;
  set_faults (f, "{}");
  expect_served (f, 202, 10);
  g_assert_cmpuint (f->n_served, ==, 3);
}

static void
test_reset (struct fixture *f, gconstpointer data)
{
  struct outcome outcome;

  f->holds = TRUE;
  begin (f, &outcome, 200, 10, FAR_US);
  wait_for_held (f, 1);
  g_assert_true (peer_request_is_connected (g_queue_peek_head (f->held)));
  set_faults (f, "{\"reset_existing\":true}");
  wait_for (&outcome);
  /* The side that serves learns of it as well.  */
  while (peer_request_is_connected (g_queue_peek_head (f->held)))
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpint (outcome.kind, ==, ERROR_UNAVAILABLE);
  g_assert_cmpuint (f->n_broke, ==, 1);
  f->holds = FALSE;
  set_faults (f, "{}");
  expect_served (f, 201, 10);
  g_assert_cmpuint (f->n_served, ==, 2);
}

/* A call that waits longer than a silent connection is suffered.  */
static void
test_long_call (struct fixture *f, gconstpointer data)
{
  struct outcome outcome;
  gint64 until_us = clock_now_us () + 4 * USEC_PER_SEC;

  f->holds = TRUE;
  begin (f, &outcome, 200, 10, FAR_US);
  wait_for_held (f, 1);
  while (clock_now_us () < until_us)
    g_main_context_iteration (NULL, TRUE);
  g_assert_false (outcome.is_ended);
  echo (g_queue_pop_head (f->held), 200, "", 0);
  wait_for (&outcome);
  g_assert_cmpuint (outcome.status, ==, 200);
  g_assert_cmpuint (f->n_served, ==, 1);
}

static void
test_nobody_listens (struct fixture *f, gconstpointer data)
{
  struct outcome outcome;

  process_kill (f->proxy);
  begin (f, &outcome, 200, 10, FAR_US);
  wait_for (&outcome);
  g_assert_cmpint (outcome.kind, ==, ERROR_NOT_RUN);
  g_assert_true (peer_rpc_was_refused (f->rpc));
  g_assert_cmpuint (f->n_served, ==, 0);
}

static void
test_deadline (struct fixture *f, gconstpointer data)
{
  struct outcome outcome;

  f->holds = TRUE;
  begin (f, &outcome, 200, 10, 50 * USEC_PER_MSEC);
  wait_for (&outcome);
  g_assert_cmpint (outcome.kind, ==, ERROR_UNAVAILABLE);
}

static void
test_wrong_key (struct fixture *f, gconstpointer data)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  struct outcome outcome;
  struct peer_mac *other;
  struct peer_mac *own = f->mac;

  g_ptr_array_add (keys, (gpointer) "ffffffffffffffffffffffffffffffffffffff");
  other = peer_mac_new (keys);
  f->mac = other;
  f->owner.mac = other;
  begin (f, &outcome, 200, 10, FAR_US);
  wait_for (&outcome);
  g_assert_cmpint (outcome.kind, ==, ERROR_UNAVAILABLE);
  g_assert_cmpuint (f->n_served, ==, 0);
  g_assert_cmpuint (peer_service_get_counts (f->service)->refused, ==, 1);
  f->mac = own;
  f->owner.mac = own;
  peer_mac_free (other);
}

static void
add (const char *path, void (*test) (struct fixture *, gconstpointer))
{
  g_test_add (path, struct fixture, NULL, set_up, test, tear_down);
}

static void
add_half_open (const char *name, const char *fault)
{
  g_autofree char *path = g_strconcat ("/peer-rpc/half-open/", name, NULL);

  g_test_add (path, struct fixture, fault, set_up, test_half_open, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add ("/peer-rpc/many-calls", test_many_calls);
  add ("/peer-rpc/large-call", test_large_call);
  add_half_open ("both-ways", "{\"silence_existing\":true}");
  add_half_open ("calls", "{\"up\":{\"silent\":true}}");
  add_half_open ("replies", "{\"down\":{\"silent\":true}}");
  add ("/peer-rpc/reset", test_reset);
  add ("/peer-rpc/long-call", test_long_call);
  add ("/peer-rpc/nobody-listens", test_nobody_listens);
  add ("/peer-rpc/deadline", test_deadline);
  add ("/peer-rpc/wrong-key", test_wrong_key);
  return g_test_run ();
}
