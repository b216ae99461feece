/*
 * Whole sessions against golden files: what callers and operators, upstreams
 * and the platform exchange with a real entry process.
 *
 * The upstream and the platform are served by the test itself, which notes
 * every exchange.
 */
#include "t/support/golden.h"
#include "t/support/http.h"
#include "t/support/process.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#define TOKEN "opensesame-opensesame"

struct session
{
  struct golden *golden;
  SoupServer *platform;
  SoupServer *upstream;
  GPtrArray *held; /* messages whose answer is held back */
  char *directory;
  char *settings_path;
  struct process *entry;
  guint n_starts;
  guint n_stops;
};

/* How the upstream answers a task, by the input's member "play".  */
struct reply
{
  const char *play;
  guint status;
  const char *outcome;
  const char *body;
};

static const struct reply replies[] = {
  { "done", 200, "done", "{\"size_cm\":48}" },
  { "fail", 200, "failed", "{\"message\":\"the child is too tall\"}" },
  { "refuse", 503, "not-run", "{\"message\":\"all slots are taken\"}" },
  { "silent", 502, NULL, "bad gateway" },
};

static char *
describe_request (SoupServerMessage *message)
{
  GUri *uri = soup_server_message_get_uri (message);
  const char *query = g_uri_get_query (uri);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  g_autofree char *body
      = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  g_autofree char *start
      = g_strdup_printf ("%s %s%s%s", soup_server_message_get_method (message),
                         g_uri_get_path (uri), query != NULL ? "?" : "",
                         query != NULL ? query : "");

  return golden_format_message (
      ">", start, soup_server_message_get_request_headers (message), body);
}

/* Answers MESSAGE and notes the exchange.  */
static void
answer (struct session *session, const char *channel,
        SoupServerMessage *message, guint status, const char *body)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (message);
  g_autofree char *request = describe_request (message);
  g_autofree char *start = g_strdup_printf ("%u", status);
  g_autofree char *response = NULL;
  g_autofree char *text = NULL;

  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, body, strlen (body));
  soup_server_message_set_status (message, status, NULL);
  response = golden_format_message ("<", start, headers, body);
  text = g_strconcat (request, response, NULL);
  golden_add_exchange (session->golden, channel, text,
                       g_str_equal (channel, "upstream"));
}

static void
hold (struct session *session, SoupServerMessage *message)
{
  soup_server_message_pause (message);
  g_ptr_array_add (session->held, g_object_ref (message));
}

static const struct reply *
find_reply (struct session *session, SoupServerMessage *message)
{
  g_autoptr (GBytes) bytes = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  json_t *input = json_loadb (g_bytes_get_data (bytes, NULL),
                              g_bytes_get_size (bytes), 0, NULL);
  const char *play = json_string_value (json_object_get (input, "play"));
  const struct reply *reply = NULL;

  /* The first start is refused, the one that follows runs.  */
  if (g_strcmp0 (play, "refuse-once") == 0)
    play = session->n_starts == 1 ? "refuse" : "done";
  for (gsize i = 0; i < G_N_ELEMENTS (replies); i++)
    if (g_strcmp0 (replies[i].play, play) == 0)
      reply = &replies[i];
  json_decref (input);
  return reply;
}

static void
on_task (SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
  struct session *session = data;
  const struct reply *reply;

  session->n_starts++;
  reply = find_reply (session, message);
  if (reply == NULL)
    {
      g_autofree char *request = describe_request (message);

      golden_add_exchange (session->golden, "upstream", request, TRUE);
      hold (session, message);
      return;
    }
  if (reply->outcome != NULL)
    soup_message_headers_replace (
        soup_server_message_get_response_headers (message), "Task-Outcome",
        reply->outcome);
  answer (session, "upstream", message, reply->status, reply->body);
}

static void
on_stop (SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
  struct session *session = data;

  session->n_stops++;
  answer (session, "upstream", message, 200, "{\"applied\":[]}");
}

static char *
server_address (SoupServer *server)
{
  GSList *uris = soup_server_get_uris (server);
  char *address
      = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));

  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return address;
}

static char *
format_log (struct session *session)
{
  g_autofree char *address = server_address (session->upstream);

  return g_strdup_printf (
      "{\"first\":0,\"next\":1,\"records\":[{\"offset\":0,"
      "\"unix_ms\":1790000000000,\"data\":{\"kind\":\"document\","
      "\"edit\":\"first\",\"team\":\"hjolavinir\",\"base\":0,"
      "\"author\":\"ops\",\"document\":{\"team\":\"hjolavinir\","
      "\"services\":{\"staerdarvisir\":{\"upstreams\":{\"minion-1\":"
      "{\"address\":\"%s\"}}}}}}}]}",
      address);
}

/* The configuration stream has one record; other reads find nothing new.  */
static void
on_stream (SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
  struct session *session = data;
  gboolean is_config = strstr (path, "radishchute-config/") != NULL;
  const char *from
      = query != NULL ? g_hash_table_lookup (query, "from") : NULL;
  g_autofree char *log = NULL;

  if (is_config && g_strcmp0 (from, "0") == 0)
    {
      log = format_log (session);
      answer (session, "log", message, 200, log);
    }
  else if (is_config)
    hold (session, message);
  else
    answer (session, "log", message, 200,
            "{\"first\":0,\"next\":0,\"records\":[]}");
}

static void
on_vms (SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, gpointer data)
{
  answer (data, "vm list", message, 200, "{\"version\":1,\"vms\":[]}");
}

static SoupServer *
serve (void)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  g_autoptr (GError) error = NULL;

  soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error);
  g_assert_no_error (error);
  return server;
}

static char *
entry_url (struct session *session, const char *path)
{
  return http_url (session->entry->ports[0], "%s", path);
}

static void
start_entry (struct session *session)
{
  g_autofree char *address = server_address (session->platform);
  g_autofree char *url = g_strconcat ("http://", address, NULL);
  json_t *settings
      = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "vm", "entry-1",
                   "availability_zone", "reykjavik-a", "listen", "127.0.0.1:0",
                   "peer_listen", "127.0.0.1:0", "log_url", url, "vm_list_url",
                   url, "operator_token", TOKEN);

  session->settings_path
      = g_build_filename (session->directory, "entry.json", NULL);
  g_assert_cmpint (json_dump_file (settings, session->settings_path, 0), ==,
                   0);
  json_decref (settings);
  session->entry = process_start ("radishchute", "entry", "--settings",
                                  session->settings_path, NULL);
  process_wait_ready (session->entry);
}

static gboolean
has_document (struct session *session)
{
  static const char *const headers[]
      = { "Authorization", "Bearer " TOKEN, NULL };
  g_autofree char *url = entry_url (session, "/v1/state");
  struct http_answer *state
      = http_finish (http_begin ("GET", url, NULL, headers));
  json_t *body = http_answer_json (state);
  gboolean found = json_object_size (json_get (body, "documents")) > 0;

  json_decref (body);
  http_answer_free (state);
  return found;
}

static struct session *
session_start (void)
{
  struct session *session = g_new0 (struct session, 1);

  session->golden = golden_new ();
  session->held = g_ptr_array_new_with_free_func (g_object_unref);
  session->directory = g_dir_make_tmp ("radishchute-XXXXXX", NULL);
  session->platform = serve ();
  session->upstream = serve ();
  soup_server_add_handler (session->platform, "/v1/streams/", on_stream,
                           session, NULL);
  soup_server_add_handler (session->platform, "/v1/vms", on_vms, session,
                           NULL);
  soup_server_add_handler (session->upstream, "/v1/tasks/", on_task, session,
                           NULL);
  soup_server_add_handler (session->upstream, "/v1/stop", on_stop, session,
                           NULL);
  start_entry (session);
  while (!has_document (session))
    g_main_context_iteration (NULL, FALSE);
  return session;
}

static void
session_end (struct session *session, const char *name)
{
  golden_check (session->golden, name);
  process_free (session->entry);
  soup_server_disconnect (session->platform);
  soup_server_disconnect (session->upstream);
  g_ptr_array_unref (session->held);
  g_object_unref (session->platform);
  g_object_unref (session->upstream);
  golden_free (session->golden);
  g_unlink (session->settings_path);
  g_rmdir (session->directory);
  g_free (session->settings_path);
  g_free (session->directory);
  g_free (session);
}

/* Sends a request to the entry VM, notes it as a step, and returns the
   answer's body, which the caller owns.  HEADER and VALUE may be NULL.  */
static char *
step (struct session *session, const char *method, const char *path,
      const char *header, const char *value, const char *body)
{
  const char *headers[] = { header, value, NULL };
  g_autofree char *url = entry_url (session, path);
  g_autofree char *start = g_strdup_printf ("%s %s", method, path);
  g_autofree char *request = golden_format_message (">", start, NULL, body);
  struct http_answer *got
      = http_finish (http_begin (method, url, body, headers));
  g_autofree char *status = g_strdup_printf ("%u", got->status);
  g_autofree char *response
      = golden_format_message ("<", status, got->headers, got->body);
  g_autofree char *extra = header != NULL
                               ? g_strdup_printf ("> %s: %s\n", header, value)
                               : g_strdup ("");
  g_autofree char *text = NULL;
  char *line_end = strchr (request, '\n') + 1;

  text = g_strdup_printf ("%.*s%s%s%s", (int)(line_end - request), request,
                          extra, line_end, response);
  golden_add_step (session->golden, text);
  body = g_strdup (got->body);
  http_answer_free (got);
  return (char *)body;
}

/* The same for a step whose answer does not matter to the next.  */
static void
note (struct session *session, const char *method, const char *path,
      const char *header, const char *value, const char *body)
{
  g_free (step (session, method, path, header, value, body));
}

#define JOB(play)                                                             \
  "{\"team\":\"hjolavinir\",\"service\":\"staerdarvisir\","                   \
  "\"deadline_ms\":60000,\"tasks\":[{\"input\":{\"play\":\"" play "\"}}]}"

static char *
read_job_path (const char *body)
{
  json_t *root = json_loads (body, 0, NULL);
  char *path = g_strconcat ("/v1/jobs/",
                            json_string_value (json_get (root, "job")), NULL);

  json_decref (root);
  return path;
}

static void
test_complete (void)
{
  struct session *session = session_start ();
  g_autofree char *body
      = step (session, "POST", "/v1/jobs", NULL, NULL, JOB ("done"));
  g_autofree char *path = read_job_path (body);

  note (session, "GET", path, NULL, NULL, NULL);
  note (session, "GET", "/v1/health", NULL, NULL, NULL);
  session_end (session, "job-complete");
}

static void
test_failures (void)
{
  struct session *session = session_start ();

  note (session, "POST", "/v1/jobs", NULL, NULL, JOB ("fail"));
  note (session, "POST", "/v1/jobs", NULL, NULL, JOB ("silent"));
  session_end (session, "job-failures");
}

static void
test_moved (void)
{
  struct session *session = session_start ();

  note (session, "POST", "/v1/jobs", NULL, NULL, JOB ("refuse-once"));
  session_end (session, "job-moved");
}

static void
test_cancel (void)
{
  struct session *session = session_start ();
  g_autofree char *body = step (session, "POST", "/v1/jobs", "Prefer",
                                "respond-async", JOB ("hold"));
  g_autofree char *path = read_job_path (body);

  while (session->n_starts == 0)
    g_main_context_iteration (NULL, TRUE);
  note (session, "DELETE", path, NULL, NULL, NULL);
  while (session->n_stops == 0)
    g_main_context_iteration (NULL, TRUE);
  note (session, "GET", path, NULL, NULL, NULL);
  session_end (session, "job-cancelled");
}

/* Two submissions under one ticket lead to one start and the same answer.  */
static void
test_ticket (void)
{
  struct session *session = session_start ();
  g_autofree char *body
      = step (session, "POST", "/v1/tickets?count=1", NULL, NULL, NULL);
  json_t *root = json_loads (body, 0, NULL);
  json_t *job = json_loads (JOB ("done"), 0, NULL);
  g_autofree char *text = NULL;

  json_object_set (job, "ticket",
                   json_array_get (json_get (root, "tickets"), 0));
  text = json_dumps (job, JSON_COMPACT);
  note (session, "POST", "/v1/jobs", NULL, NULL, text);
  note (session, "POST", "/v1/jobs", NULL, NULL, text);
  g_assert_cmpuint (session->n_starts, ==, 1);
  json_decref (job);
  json_decref (root);
  session_end (session, "ticket");
}

static void
test_refusals (void)
{
  struct session *session = session_start ();

  note (session, "POST", "/v1/jobs", NULL, NULL, "{\"team\":");
  note (session, "POST", "/v1/jobs", NULL, NULL,
        "{\"team\":\"nobody\",\"service\":\"none\",\"tasks\":[{}]}");
  note (session, "POST", "/v1/jobs", NULL, NULL,
        "{\"team\":7,\"tasks\":[],\"colour\":\"red\"}");
  note (session, "PUT", "/v1/jobs", NULL, NULL, "{}");
  note (session, "GET", "/v1/jobs/nonsense", NULL, NULL, NULL);
  note (session, "POST", "/v1/tickets?count=0", NULL, NULL, NULL);
  note (session, "GET", "/v2", NULL, NULL, NULL);
  g_assert_cmpuint (session->n_starts, ==, 0);
  session_end (session, "refusals");
}

static void
test_operator (void)
{
  struct session *session = session_start ();

  note (session, "GET", "/v1/state", NULL, NULL, NULL);
  note (session, "PUT", "/v1/log-level", "Authorization", "Bearer wrong",
        "{\"level\":\"debug\"}");
  note (session, "PUT", "/v1/log-level", "Authorization", "Bearer " TOKEN,
        "{\"level\":\"warning\"}");
  note (session, "PUT", "/v1/log-level", "Authorization", "Bearer " TOKEN,
        "{\"level\":\"loud\"}");
  note (session, "GET", "/v1/drain", "Authorization", "Bearer " TOKEN, NULL);
  note (session, "POST", "/v1/drain", "Authorization", "Bearer " TOKEN, NULL);
  g_assert_cmpint (process_wait_exit (session->entry), ==, 0);
  session_end (session, "operator");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/golden/job-complete", test_complete);
  g_test_add_func ("/golden/job-failures", test_failures);
  g_test_add_func ("/golden/job-moved", test_moved);
  g_test_add_func ("/golden/job-cancelled", test_cancel);
  g_test_add_func ("/golden/ticket", test_ticket);
  g_test_add_func ("/golden/refusals", test_refusals);
  g_test_add_func ("/golden/operator", test_operator);
  return g_test_run ();
}
