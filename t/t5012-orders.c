/*
 * Orders to an upstream: what is sent, how answers are told, and what silence,
 * refused connections and forgetting do.
 */
#include "platform/orders.h"

#include "protocol/json_read.h"

#include <libsoup/soup.h>
#include <string.h>

#define SILENT 0 /* as a status: no answer */

/* An upstream that gives one answer to everything, and its owner.  */
struct bed
{
  SoupServer *server;
  guint status;
  const char *answer; /* single quotes stand for double ones */
  guint n_requests;
  guint n_connections; /* that requests came over */
  GHashTable *connections;
  char *path;
  char *body;
  char *instance;
  struct orders *orders;
  struct owned_upstream upstream;
  struct batch batch;
  struct batch_task task;
  struct run run;
  guint n_told;
  enum order_end end;
  gint64 clock_ms;
  char *told;           /* what was told, in words */
  guint n_sending;      /* starts that had to wait and were about to be sent */
  gboolean is_unwanted; /* the answer to these */
};

/* The callbacks have no data of their own.  */
static struct bed *bed;

static struct owned_upstream *
ref_upstream (struct owned_upstream *upstream)
{
  upstream->ref_count++;
  return upstream;
}

static void
unref_upstream (struct owned_upstream *upstream)
{
  g_assert_cmpuint (upstream->ref_count, >, 1);
  upstream->ref_count--;
}

static void
note (enum order_end end, gint64 clock_ms, char *told)
{
  bed->n_told++;
  bed->end = end;
  bed->clock_ms = clock_ms;
  g_free (bed->told);
  bed->told = told;
}

static gboolean
on_start_sending (struct owner *owner, struct owned_upstream *upstream,
                  const char *name, guint number, gint64 now_us)
{
  bed->n_sending++;
  return !bed->is_unwanted;
}

static void
on_start_ended (struct owner *owner, struct owned_upstream *upstream,
                const char *name, guint number, enum order_end end,
                gint64 clock_ms, gint64 now_us)
{
  g_assert_true (upstream == &bed->upstream);
  note (end, clock_ms, g_strdup_printf ("start %s %u", name, number));
}

static void
on_stop_ended (struct owner *owner, struct owned_upstream *upstream,
               const char *name, guint number, enum order_end end,
               gint64 clock_ms, gint64 now_us)
{
  note (end, clock_ms, g_strdup_printf ("stop %s %u", name, number));
}

static void
on_ask_ended (struct owner *owner, struct owned_upstream *upstream,
              guint64 poll, enum order_end end,
              const struct upstream_report *report, gint64 now_us)
{
  GString *text = g_string_new ("ask");

  g_assert_cmpint (report != NULL, ==, end == ORDER_ACCEPTED);
  for (guint i = 0; report != NULL && i < report->n_running; i++)
    g_string_append_printf (text, " %s/%u at %u", report->running[i].name,
                            report->running[i].run_number,
                            report->running[i].percent);
  for (guint i = 0; report != NULL && i < report->n_ended; i++)
    g_string_append_printf (text, " %" G_GUINT64_FORMAT " %s/%u as %d",
                            report->ended[i].entry_number,
                            report->ended[i].name, report->ended[i].run_number,
                            (int)report->ended[i].end);
  if (report != NULL && report->instance_start_ms != 0)
    g_string_append_printf (text, " born %" G_GINT64_FORMAT,
                            report->instance_start_ms);
  note (end, report != NULL ? report->clock_ms : 0,
        g_string_free (text, FALSE));
}

static const struct orders_listener_ops ops = {
  .ref = ref_upstream,
  .unref = unref_upstream,
  .start_sending = on_start_sending,
  .start_ended = on_start_ended,
  .stop_ended = on_stop_ended,
  .poll_ended = on_ask_ended,
};

static void
serve (SoupServer *server, SoupServerMessage *message, const char *path,
       GHashTable *query, gpointer data)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  GSocketAddress *from = soup_server_message_get_remote_address (message);
  g_autofree char *answer = g_strdelimit (g_strdup (bed->answer), "'", '"');
  guint port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (from));

  bed->n_requests++;
  if (g_hash_table_add (bed->connections, GUINT_TO_POINTER (port)))
    bed->n_connections++;
  g_free (bed->path);
  g_free (bed->body);
  g_free (bed->instance);
  bed->path = g_strdup (path);
  bed->body = g_strndup (body->data, (gsize)body->length);
  bed->instance = g_strdup (soup_message_headers_get_one (
      soup_server_message_get_request_headers (message),
      "Radishchute-Expect-Instance"));
  if (bed->status == SILENT)
    {
      soup_server_message_pause (message);
      return;
    }
  soup_server_message_set_status (message, bed->status, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, answer, strlen (answer));
}

static void
listen_local (void)
{
  GSList *uris;

  bed->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (bed->server, NULL, serve, NULL, NULL);
  g_assert_true (soup_server_listen_local (
      bed->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (bed->server);
  g_free (bed->upstream.address);
  bed->upstream.address
      = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
}

static void
open_bed (void)
{
  bed = g_new0 (struct bed, 1);
  bed->status = SOUP_STATUS_OK;
  bed->answer = "{'clockMs':482113}";
  bed->connections = g_hash_table_new (NULL, NULL);
  listen_local ();
  bed->orders = orders_new (&ops);
  bed->upstream.id = g_strdup ("i-1");
  bed->upstream.token = G_GUINT64_CONSTANT (9007199254740995);
  bed->upstream.last_ended_entry = 57;
  bed->upstream.ref_count = 1;
  bed->batch.spec = "plain";
  bed->task.batch = &bed->batch;
  bed->run.upstream = &bed->upstream;
  bed->run.task = &bed->task;
  bed->run.name = "5c0e7a21d94b36f8.0.1.17";
  bed->run.number = 2;
}

static void
spin (guint ms)
{
  gint64 end_us = g_get_monotonic_time () + ms * G_TIME_SPAN_MILLISECOND;

  while (g_get_monotonic_time () < end_us)
    {
      while (g_main_context_iteration (NULL, FALSE))
        ;
      g_usleep (1000);
    }
}

static void
close_bed (void)
{
  orders_drop_upstream (bed->orders, &bed->upstream);
  orders_free (bed->orders);
  soup_server_disconnect (bed->server);
  spin (20);
  g_assert_cmpuint (bed->upstream.ref_count, ==, 1);
  g_object_unref (bed->server);
  g_hash_table_unref (bed->connections);
  g_free (bed->upstream.id);
  g_free (bed->upstream.address);
  g_free (bed->path);
  g_free (bed->body);
  g_free (bed->instance);
  g_free (bed->told);
  g_clear_pointer (&bed, g_free);
}

static void
wait_told (guint n)
{
  while (bed->n_told < n)
    g_main_context_iteration (NULL, TRUE);
}

static void
start (void)
{
  orders_start_run (bed->orders, NULL, &bed->run, 486000);
}

static void
stop (void)
{
  orders_stop_run (bed->orders, NULL, &bed->run);
}

static void
ask (gint64 until_ms, guint wait_ms)
{
  orders_poll_upstream (bed->orders, NULL, &bed->upstream, until_ms, wait_ms);
}

/* Whether the last request has the path PATH and the JSON body BODY.  */
static void
expect_request (const char *path, const char *body)
{
  g_autofree char *text = g_strdelimit (g_strdup (body), "'", '"');
  json_t *wanted = json_parse (text, strlen (text), NULL);
  json_t *sent = json_parse (bed->body, strlen (bed->body), NULL);

  g_assert_cmpstr (bed->path, ==, path);
  g_assert_cmpstr (bed->instance, ==, "i-1");
  if (!json_equal (sent, wanted))
    g_error ("%s was sent, not %s", bed->body, text);
  json_decref (sent);
  json_decref (wanted);
}

static void
test_start (void)
{
  open_bed ();
  start ();
  wait_told (1);
  expect_request ("/radishchute/run-start",
                  "{'task':'5c0e7a21d94b36f8.0.1.17','run':2,'spec':'plain',"
                  "'untilMs':486000,'fencingToken':9007199254740995}");
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpint (bed->clock_ms, ==, 482113);
  g_assert_cmpstr (bed->told, ==, "start 5c0e7a21d94b36f8.0.1.17 2");
  close_bed ();
}

/* Whatever a caller puts into the spec reaches the upstream as it was.  */
static void
test_spec_is_escaped (void)
{
  static const char spec[]
      = "q\" b\\ /\n\t\x01\x1f \x7f \xc3\xa6 \xf0\x9f\x8d\x84";
  json_t *root;

  open_bed ();
  bed->batch.spec = (char *)spec;
  start ();
  wait_told (1);
  root = json_parse (bed->body, strlen (bed->body), NULL);
  g_assert_cmpstr (json_string_value (json_object_get (root, "spec")), ==,
                   spec);
  json_decref (root);
  close_bed ();
}

static void
test_stop (void)
{
  open_bed ();
  stop ();
  wait_told (1);
  expect_request ("/radishchute/run-stop",
                  "{'task':'5c0e7a21d94b36f8.0.1.17','run':2,"
                  "'fencingToken':9007199254740995}");
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpstr (bed->told, ==, "stop 5c0e7a21d94b36f8.0.1.17 2");
  close_bed ();
}

static void
test_ask (void)
{
  open_bed ();
  bed->answer = "{'clockMs':482113,'born':1764799000123,"
                "'running':[['a.0.0.1',2,'',41,6800],['a.0.0.2',1,'',100]],"
                "'ended':[[58,'a.0.0.3',1,'done',''],[59,'b',3,'failed',''],"
                "[60,'c',1,'stopped','x'],[61,'d',1,'lapsed',''],"
                "[62,'e',1,'broken',''],[63,'f',1,'alone','']]}";
  ask (486000, 1000);
  wait_told (1);
  expect_request ("/radishchute/hold",
                  "{'untilMs':486000,'fencingToken':9007199254740995,"
                  "'lastSeen':57,'waitMs':1000}");
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpint (bed->clock_ms, ==, 482113);
  g_assert_cmpstr (bed->told, ==,
                   "ask a.0.0.1/2 at 41 a.0.0.2/1 at 100"
                   " 58 a.0.0.3/1 as 0 59 b/3 as 1 60 c/1 as 2 61 d/1 as 3"
                   " 62 e/1 as 3 63 f/1 as 3 born 1764799000123");
  close_bed ();
}

static void
test_ask_without_lease_or_wait (void)
{
  open_bed ();
  bed->answer = "{'clockMs':1,'running':[],'ended':[]}";
  ask (0, 0);
  wait_told (1);
  expect_request ("/radishchute/hold",
                  "{'fencingToken':9007199254740995,'lastSeen':57}");
  g_assert_cmpstr (bed->told, ==, "ask");
  close_bed ();
}

struct mapping
{
  guint status;
  const char *answer;
  enum order_end end;
};

static const struct mapping mappings[] = {
  { 200, "{'clockMs':5}", ORDER_ACCEPTED },
  { 200, "{}", ORDER_ACCEPTED },
  { 200, "", ORDER_UNANSWERED },
  { 200, "[]", ORDER_UNANSWERED },
  { 200, "{'clockMs':5", ORDER_UNANSWERED },
  { 409, "{'clockMs':5,'reason':'fence'}", ORDER_FENCED },
  { 409, "{'clockMs':5,'reason':'late'}", ORDER_REJECTED },
  { 409, "{'clockMs':5,'reason':'old'}", ORDER_REJECTED },
  { 409, "{'clockMs':5,'reason':'room'}", ORDER_REJECTED },
  { 409, "{'clockMs':5,'reason':'ticket'}", ORDER_REJECTED },
  { 409, "{'clockMs':5,'reason':'whim'}", ORDER_UNANSWERED },
  { 409, "{'clockMs':5,'reason':1}", ORDER_UNANSWERED },
  { 409, "", ORDER_UNANSWERED },
  { 400, "{'reason':'unknown'}", ORDER_INVALID },
  { 400, "", ORDER_INVALID },
  { 429, "", ORDER_UNHEALTHY },
  { 503, "", ORDER_UNHEALTHY },
  { 421, "", ORDER_OTHER_INSTANCE },
  { 404, "", ORDER_UNANSWERED },
  { 500, "{'clockMs':5}", ORDER_UNANSWERED },
  { 302, "", ORDER_UNANSWERED },
};

static void
test_answers_are_mapped (void)
{
  open_bed ();
  for (gsize i = 0; i < G_N_ELEMENTS (mappings); i++)
    {
      bed->status = mappings[i].status;
      bed->answer = mappings[i].answer;
      start ();
      wait_told (2 * (guint)i + 1);
      if (bed->end != mappings[i].end)
        g_error ("%u %s is told as %d", mappings[i].status, mappings[i].answer,
                 (int)bed->end);
      stop ();
      wait_told (2 * (guint)i + 2);
      g_assert_cmpint (bed->end, ==, mappings[i].end);
      g_assert_cmpint (bed->clock_ms, ==,
                       strstr (bed->answer, "5}") != NULL
                               || strstr (bed->answer, "5,") != NULL
                           ? 5
                           : 0);
    }
  g_assert_cmpuint (bed->n_requests, ==, bed->n_told);
  close_bed ();
}

/* A list that is not whole is no answer: its ends would be forgotten.  */
static void
test_unreadable_lists (void)
{
  static const char *const answers[] = {
    "{'clockMs':5}",
    "{'clockMs':5,'running':[]}",
    "{'clockMs':5,'ended':[]}",
    "{'clockMs':5,'running':{},'ended':[]}",
    "{'clockMs':5,'running':[1],'ended':[]}",
    "{'clockMs':5,'running':[['a','1','',41]],'ended':[]}",
    "{'clockMs':5,'running':[['a',1,'']],'ended':[]}",
    "{'clockMs':5,'running':[[null,1,'',41]],'ended':[]}",
    "{'clockMs':5,'running':[],'ended':[[1,'a',1]]}",
    "{'clockMs':5,'running':[],'ended':[['1','a',1,'done','']]}",
    "{'clockMs':5,'running':[],'ended':[[1,null,1,'done','']]}",
  };

  open_bed ();
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      bed->answer = answers[i];
      ask (0, 0);
      wait_told (i + 1);
      g_assert_cmpint (bed->end, ==, ORDER_UNANSWERED);
    }
  close_bed ();
}

static void
test_refused_connection (void)
{
  open_bed ();
  soup_server_disconnect (bed->server);
  spin (20);
  start ();
  stop ();
  ask (0, 100);
  while (bed->n_told < 3)
    {
      guint n = bed->n_told;

      wait_told (n + 1);
      g_assert_cmpint (bed->end, ==, ORDER_NOT_SENT);
    }
  close_bed ();
}

/* Silence is told at the deadline, and the connection is not used again.  */
static void
test_silence (void)
{
  open_bed ();
  bed->status = SILENT;
  start ();
  wait_told (1);
  g_assert_cmpint (bed->end, ==, ORDER_UNANSWERED);
  stop ();
  wait_told (2);
  g_assert_cmpint (bed->end, ==, ORDER_UNANSWERED);
  ask (0, 100);
  wait_told (3);
  g_assert_cmpint (bed->end, ==, ORDER_UNANSWERED);
  bed->status = SOUP_STATUS_OK;
  start ();
  wait_told (4);
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpuint (bed->n_connections, ==, 4);
  g_assert_cmpuint (bed->n_requests, ==, 4);
  close_bed ();
}

/* An ask that hangs takes no start with it, nor the other way round.  */
static void
test_silence_of_one_leaves_others (void)
{
  open_bed ();
  bed->status = SILENT;
  ask (0, 300);
  while (bed->n_requests < 1)
    g_main_context_iteration (NULL, TRUE);
  bed->status = SOUP_STATUS_OK;
  start ();
  wait_told (1);
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  wait_told (2);
  g_assert_cmpint (bed->end, ==, ORDER_UNANSWERED);
  start ();
  wait_told (3);
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpuint (bed->n_connections, ==, 2);
  close_bed ();
}

/* New connections are dear: orders one after the other share one.  */
static void
test_connections_are_kept (void)
{
  open_bed ();
  for (guint i = 0; i < 40; i++)
    {
      if (i % 2 == 0)
        start ();
      else
        stop ();
      wait_told (i + 1);
      g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
    }
  g_assert_cmpuint (bed->n_connections, ==, 1);
  close_bed ();
}

static void
test_moved_upstream (void)
{
  SoupServer *former;

  open_bed ();
  start ();
  wait_told (1);
  former = bed->server;
  listen_local ();
  soup_server_disconnect (former);
  g_object_unref (former);
  start ();
  wait_told (2);
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpuint (bed->n_requests, ==, 2);
  close_bed ();
}

static void
test_forget (void)
{
  open_bed ();
  bed->status = SILENT;
  start ();
  ask (0, 100);
  while (bed->n_requests < 2)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (bed->upstream.ref_count, ==, 3);
  orders_drop_upstream (bed->orders, &bed->upstream);
  g_assert_null (bed->upstream.transport_data);
  g_assert_cmpuint (bed->upstream.ref_count, ==, 1);
  spin (600);
  g_assert_cmpuint (bed->n_told, ==, 0);
  close_bed ();
}

/* Over a new connection a command is sent only when the upstream has answered
   there as the instance that the owner knows.  */
static void
test_checked_instance (void)
{
  open_bed ();
  bed->answer = "{'clockMs':7,'born':1700,'running':[],'ended':[]}";
  bed->upstream.instance_start_ms = 1700;
  start ();
  wait_told (1);
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpuint (bed->n_requests, ==, 2);
  g_assert_cmpuint (bed->n_connections, ==, 1);
  expect_request ("/radishchute/run-start",
                  "{'task':'5c0e7a21d94b36f8.0.1.17','run':2,'spec':'plain',"
                  "'untilMs':486000,'fencingToken':9007199254740995}");
  stop ();
  wait_told (2);
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpuint (bed->n_requests, ==, 3);
  g_assert_cmpuint (bed->n_connections, ==, 1);
  close_bed ();
}

/* Guards against a start that is written after its run has been stopped: the
   owner is asked once the check of the connection is answered, and not for a
   start that did not have to wait.  */
static void
test_unwanted_start (void)
{
  open_bed ();
  bed->answer = "{'clockMs':7,'born':1700,'running':[],'ended':[]}";
  bed->upstream.instance_start_ms = 1700;
  bed->is_unwanted = TRUE;
  start ();
  wait_told (1);
  g_assert_cmpint (bed->end, ==, ORDER_REJECTED);
  g_assert_cmpuint (bed->n_sending, ==, 1);
  g_assert_cmpuint (bed->n_requests, ==, 1);
  g_assert_cmpstr (bed->path, ==, "/radishchute/hold");
  start ();
  wait_told (2);
  g_assert_cmpint (bed->end, ==, ORDER_ACCEPTED);
  g_assert_cmpuint (bed->n_sending, ==, 1);
  g_assert_cmpuint (bed->n_requests, ==, 2);
  close_bed ();
}

/* An upstream that has restarted under its name gets neither starts nor stops
   that were meant for the former instance.  */
static void
test_restarted_instance (void)
{
  open_bed ();
  bed->answer = "{'clockMs':7,'born':1700,'running':[],'ended':[]}";
  bed->upstream.instance_start_ms = 1700;
  start ();
  wait_told (1);
  soup_server_disconnect (bed->server);
  spin (20);
  g_object_unref (bed->server);
  listen_local ();
  bed->answer = "{'clockMs':1,'born':1800,'running':[],'ended':[]}";
  start ();
  wait_told (2);
  g_assert_cmpint (bed->end, ==, ORDER_OTHER_INSTANCE);
  expect_request ("/radishchute/hold", "{'fencingToken':9007199254740995,"
                                       "'lastSeen':0}");
  close_bed ();
}

/* An order that is refused for its token, while this VM has taken the upstream
   again with a higher one: the upstream is not lost, and a start did not
   run.  */
static void
test_own_fence (void)
{
  open_bed ();
  bed->status = 409;
  bed->answer = "{'clockMs':1,'reason':'fence'}";
  start ();
  bed->upstream.token++;
  wait_told (1);
  g_assert_cmpint (bed->end, ==, ORDER_REJECTED);
  stop ();
  bed->upstream.token++;
  wait_told (2);
  g_assert_cmpint (bed->end, ==, ORDER_UNANSWERED);
  stop ();
  wait_told (3);
  g_assert_cmpint (bed->end, ==, ORDER_FENCED);
  close_bed ();
}

/* An order that is refused as meant for an instance of which this VM has
   learned since that it is gone: nothing of the present one is to be
   dropped.  */
static void
test_known_restart (void)
{
  open_bed ();
  bed->status = 421;
  bed->answer = "";
  start ();
  bed->upstream.instance_start_ms = 1800;
  wait_told (1);
  g_assert_cmpint (bed->end, ==, ORDER_REJECTED);
  start ();
  wait_told (2);
  g_assert_cmpint (bed->end, ==, ORDER_OTHER_INSTANCE);
  close_bed ();
}

/* A check without a good answer: nothing was sent that could have run.  */
static void
test_failed_check (void)
{
  static const struct
  {
    guint status;
    const char *answer;
    enum order_end end;
  } checks[] = {
    { SILENT, "", ORDER_NOT_SENT },
    { 500, "", ORDER_NOT_SENT },
    { 200, "{'clockMs':1}", ORDER_NOT_SENT },
    { 409, "{'clockMs':1,'reason':'fence'}", ORDER_FENCED },
    { 421, "", ORDER_OTHER_INSTANCE },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (checks); i++)
    {
      open_bed ();
      bed->status = checks[i].status;
      bed->answer = checks[i].answer;
      bed->upstream.instance_start_ms = 1700;
      start ();
      wait_told (1);
      g_assert_cmpint (bed->end, ==, checks[i].end);
      g_assert_cmpuint (bed->n_requests, ==, 1);
      g_assert_cmpstr (bed->path, ==, "/radishchute/hold");
      close_bed ();
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/orders/start", test_start);
  g_test_add_func ("/orders/spec-is-escaped", test_spec_is_escaped);
  g_test_add_func ("/orders/stop", test_stop);
  g_test_add_func ("/orders/ask", test_ask);
  g_test_add_func ("/orders/ask-without-lease-or-wait",
                   test_ask_without_lease_or_wait);
  g_test_add_func ("/orders/answers-are-mapped", test_answers_are_mapped);
  g_test_add_func ("/orders/unreadable-lists", test_unreadable_lists);
  g_test_add_func ("/orders/refused-connection", test_refused_connection);
  g_test_add_func ("/orders/silence", test_silence);
  g_test_add_func ("/orders/silence-of-one",
                   test_silence_of_one_leaves_others);
  g_test_add_func ("/orders/connections-are-kept", test_connections_are_kept);
  g_test_add_func ("/orders/moved-upstream", test_moved_upstream);
  g_test_add_func ("/orders/forget", test_forget);
  g_test_add_func ("/orders/checked-instance", test_checked_instance);
  g_test_add_func ("/orders/unwanted-start", test_unwanted_start);
  g_test_add_func ("/orders/restarted-instance", test_restarted_instance);
  g_test_add_func ("/orders/own-fence", test_own_fence);
  g_test_add_func ("/orders/known-restart", test_known_restart);
  g_test_add_func ("/orders/failed-check", test_failed_check);
  return g_test_run ();
}
