/*
 * The log client against answers that no log should give: every record is
 * delivered once, in order, whatever comes between.
 */
#include "transport/log_client.h"

#include "t/support/http.h"

#include <string.h>

/* An answer that keeps the reader waiting for good.  */
#define SILENCE "silence"

/* A log that gives prepared answers, one a request.  */
struct fake_log
{
  SoupServer *server;
  const char *const *answers; /* JSON with single quotes, after a status */
  guint n_given;
  guint16 port;
};

struct collector
{
  struct log_reader reader;
  GString *seen; /* what was delivered */
  gboolean is_done;
};

static void
give_answer (SoupServer *server, SoupServerMessage *message, const char *path,
             GHashTable *query, gpointer data)
{
  struct fake_log *log = data;
  const char *text = log->answers[log->n_given];
  g_autofree char *body = NULL;

  if (text == NULL || g_str_equal (text, SILENCE))
    {
      if (text != NULL)
        log->n_given++;
      soup_server_message_pause (message);
      return;
    }
  log->n_given++;
  body = g_strdelimit (g_strdup (text + 4), "'", '"');
  soup_server_message_set_status (
      message, (guint)g_ascii_strtoull (text, NULL, 10), NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, body, strlen (body));
}

static void
open_log (struct fake_log *log, const char *const *answers)
{
  GSList *uris;

  log->answers = answers;
  log->n_given = 0;
  log->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (log->server, NULL, give_answer, log, NULL);
  g_assert_true (soup_server_listen_local (
      log->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (log->server);
  log->port = (guint16)g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
}

static void
on_record (struct log_reader *reader, guint64 offset, json_t *data)
{
  struct collector *collector = (struct collector *)(void *)reader;

  g_string_append_printf (collector->seen, " %" G_GUINT64_FORMAT, offset);
  collector->is_done = json_is_true (data);
}

static void
on_gap (struct log_reader *reader, guint64 first)
{
  struct collector *collector = (struct collector *)(void *)reader;

  g_string_append_printf (collector->seen, " gap-%" G_GUINT64_FORMAT, first);
}

static void
on_caught_up (struct log_reader *reader, guint64 next)
{
}

/* Reads ANSWERS until a record holds true; returns what was delivered.  */
static char *
collect (const char *const *answers)
{
  static const struct log_reader_ops ops = { on_record, on_gap, on_caught_up };
  struct collector collector = { { &ops }, g_string_new (NULL), FALSE };
  struct fake_log log;
  struct log_client *client;
  g_autofree char *url = NULL;

  open_log (&log, answers);
  url = http_url (log.port, "%s", "");
  client = log_client_new (url, "s", 0, 1, &collector.reader);
  while (!collector.is_done)
    g_main_context_iteration (NULL, TRUE);
  log_client_free (client);
  soup_server_disconnect (log.server);
  g_object_unref (log.server);
  return g_string_free (collector.seen, FALSE);
}

static void
test_odd_answers (void)
{
  static const char *const answers[] = {
    "200 {'first':0,'next':2,'records':[{'offset':0,'data':1}]}",
    "200 nonsense",
    "200 []",
    "200 {'first':0,'next':2}",
    "500 {}",
    "200 {'first':0,'next':9,'records':[]}",
    "200 {'first':0,'next':2,'records':[{'offset':'1','data':1}]}",
    "200 {'first':0,'next':2,'records':[{'offset':1}]}",
    "410 {'first':0,'next':2}",
    "410 {'first':'x','next':2}",
    "200 {'first':0,'next':2,'records':[{'offset':1,'data':1}]}",
    "200 {'first':0,'next':3,'records':[{'offset':2,'data':true}]}",
    NULL,
  };
  g_autofree char *seen = collect (answers);

  g_assert_cmpstr (seen, ==, " 0 1 2");
}

static void
test_gaps (void)
{
  static const char *const answers[] = {
    "410 {'first':5,'next':9}",
    "200 {'first':5,'next':9,'records':[{'offset':5,'data':1}]}",
    "200 {'first':5,'next':9,'records':[{'offset':7,'data':true}]}",
    NULL,
  };
  g_autofree char *seen = collect (answers);

  g_assert_cmpstr (seen, ==, " gap-5 5 gap-7 7");
}

/* A log that has fewer records than were read is not read again.  */
static void
test_log_behind (void)
{
  static const char *const answers[] = {
    "200 {'first':0,'next':1,'records':[{'offset':0,'data':1}]}",
    "200 {'first':0,'next':2,'records':[{'offset':1,'data':1}]}",
    "200 {'first':0,'next':1,'records':[{'offset':0,'data':1}]}",
    "200 {'first':0,'next':3,'records':[{'offset':2,'data':true}]}",
    NULL,
  };
  g_autofree char *seen = collect (answers);

  g_assert_cmpstr (seen, ==, " 0 1 2");
}

static void
test_silence (void)
{
  static const char *const answers[] = {
    "200 {'first':0,'next':1,'records':[{'offset':0,'data':1}]}",
    SILENCE,
    "200 {'first':0,'next':2,'records':[{'offset':1,'data':true}]}",
    NULL,
  };
  g_autofree char *seen = collect (answers);

  g_assert_cmpstr (seen, ==, " 0 1");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-client/odd-answers", test_odd_answers);
  g_test_add_func ("/log-client/gaps", test_gaps);
  g_test_add_func ("/log-client/log-behind", test_log_behind);
  g_test_add_func ("/log-client/silence", test_silence);
  return g_test_run ();
}
