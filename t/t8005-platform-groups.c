/* The groups of the operators' store, and its faults on changes.  */
#include "t/support/http.h"
#include "t/support/process.h"
#include "t/support/store_standin.h"

#include <string.h>

#define CALL "/radishchute/"

/* Joins; returns the number of parts and sets *GENERATION to the answer's.  */
static gsize
join (guint16 port, const char *member, gint64 *generation, gint64 ttl_ms)
{
  g_autofree char *url = http_url (port, CALL "log-join");
  g_autofree char *body = g_strdup_printf (
      "{\"group\":\"g\",\"member\":\"%s\",\"topics\":[\"w\"],"
      "\"ttlMs\":%" G_GINT64_FORMAT ",\"generation\":%" G_GINT64_FORMAT "}",
      member, ttl_ms, *generation);
  struct http_answer *answer = http_request ("POST", url, body, NULL);
  json_t *json = http_answer_json (answer);
  gsize n_parts;

  g_assert_cmpuint (answer->status, ==, 200);
  g_assert_cmpint (json_get_int (json, "generation"), >=, *generation);
  *generation = json_get_int (json, "generation");
  n_parts = json_array_size (json_get (json, "parts"));
  json_decref (json);
  http_answer_free (answer);
  return n_parts;
}

static struct http_call *
begin_join (guint16 port, const char *member)
{
  g_autofree char *url = http_url (port, CALL "log-join");
  g_autofree char *body
      = g_strdup_printf ("{\"group\":\"g\",\"member\":\"%s\","
                         "\"topics\":[\"w\"],\"ttlMs\":600000,"
                         "\"generation\":0}",
                         member);

  return http_begin ("POST", url, body, NULL);
}

static gsize
count_owned (guint16 port, const char *member)
{
  g_autofree char *url = http_url (port, CALL "log-owners?group=g");
  json_t *body = http_get_json (url);
  json_t *rows = json_get (body, "parts");
  gsize n = 0;

  for (size_t i = 0; i < json_array_size (rows); i++)
    n += strcmp (
             json_string_value (json_array_get (json_array_get (rows, i), 2)),
             member)
         == 0;
  json_decref (body);
  return n;
}

static void
test_group (void)
{
  struct process *store = process_start_standin ("store", NULL);
  guint16 port = store->ports[0];
  gint64 a = 0;
  gint64 b = 0;
  gint64 before;

  g_assert_cmpuint (join (port, "a", &a, 600000), ==, 0);
  g_assert_cmpuint (join (port, "a", &a, 600000), ==, 16);
  before = a;
  g_assert_cmpuint (join (port, "b", &b, 600000), ==, 0);
  g_assert_cmpint (b, >, before);
  g_assert_cmpuint (join (port, "b", &b, 600000), ==, 0);
  g_assert_cmpuint (count_owned (port, "a"), ==, 16);
  /* It learns of the change, and has let go when it joins with it.  */
  g_assert_cmpuint (join (port, "a", &a, 600000), ==, 8);
  g_assert_cmpuint (join (port, "b", &b, 600000), ==, 0);
  g_assert_cmpuint (join (port, "a", &a, 600000), ==, 8);
  g_assert_cmpuint (join (port, "b", &b, 600000), ==, 8);
  g_assert_cmpuint (count_owned (port, "b"), ==, 8);
  g_assert_cmpuint (store_standin_post (port, CALL "log-leave",
                                        "{\"group\":\"g\",\"member\":\"a\"}"),
                    ==, 200);
  before = b;
  g_assert_cmpuint (join (port, "b", &b, 600000), ==, 16);
  g_assert_cmpint (b, >, before);
  process_free (store);
}

static guint
commit (guint16 port, const char *member, gint64 generation)
{
  g_autofree char *body = g_strdup_printf (
      "{\"group\":\"g\",\"member\":\"%s\",\"generation\":%" G_GINT64_FORMAT
      ",\"topic\":\"w\",\"part\":0,\"offset\":9}",
      member, generation);

  return store_standin_post (port, CALL "log-commit", body);
}

static void
test_commit (void)
{
  struct process *store
      = process_start_standin ("store", "--parts", "1", NULL);
  guint16 port = store->ports[0];
  g_autofree char *owners = http_url (port, CALL "log-owners?group=g");
  gint64 generation = 0;
  struct http_answer *answer;

  join (port, "a", &generation, 600000);
  g_assert_cmpuint (commit (port, "a", generation), ==, 409);
  join (port, "a", &generation, 600000);
  g_assert_cmpuint (commit (port, "a", generation - 1), ==, 409);
  g_assert_cmpuint (commit (port, "b", generation), ==, 409);
  g_assert_cmpuint (commit (port, "a", generation), ==, 200);
  answer = http_request ("GET", owners, NULL, NULL);
  g_assert_cmpstr (answer->body, ==, "{\"parts\":[[\"w\",0,\"a\",9]]}");
  http_answer_free (answer);
  process_free (store);
}

static void
test_lapse_and_deal (void)
{
  struct process *store
      = process_start_standin ("store", "--min-ttl-ms", "1", NULL);
  guint16 port = store->ports[0];
  gint64 a = 0;
  gint64 b = 0;

  join (port, "a", &a, 1);
  join (port, "b", &b, 600000);
  while (join (port, "b", &b, 600000) < 16)
    g_usleep (1000);
  a = 0;
  g_assert_cmpuint (join (port, "a", &a, 600000), ==, 0);
  join (port, "b", &b, 600000);
  join (port, "b", &b, 600000);
  g_assert_cmpuint (join (port, "a", &a, 600000), ==, 8);
  g_assert_cmpuint (
      store_standin_post (port, "/standin/deal?group=g&force=1", ""), ==, 200);
  g_assert_cmpuint (count_owned (port, "a"), ==, 0);
  g_assert_cmpuint (join (port, "a", &a, 600000), ==, 8);
  process_free (store);
}

static void
test_lost_answers (void)
{
  struct process *store = process_start_standin ("store", NULL);
  guint16 port = store->ports[0];
  gint64 generation = 0;
  struct http_call *lost;

  store_standin_set_faults (port, "{\"loses_answers\":true}");
  lost = begin_join (port, "a");
  store_standin_wait_called (port, "log-join");
  g_assert_false (http_call_is_finished (lost));
  http_abandon (lost);
  store_standin_set_faults (port, "{\"loses_answers\":false}");
  /* The change was made: it is a member already, and is shown its parts.  */
  g_assert_cmpuint (join (port, "a", &generation, 600000), ==, 16);
  process_free (store);
}

static void
test_late_change (void)
{
  struct process *store = process_start_standin ("store", NULL);
  guint16 port = store->ports[0];
  gint64 generation = 0;
  struct http_call *late;

  store_standin_set_faults (port, "{\"late_ms\":1}");
  late = begin_join (port, "a");
  store_standin_wait_called (port, "log-join");
  store_standin_set_faults (port, "{\"late_ms\":0}");
  /* Alone it is given all parts, and half of them when "a" is in.  */
  while (join (port, "b", &generation, 600000) != 8)
    g_main_context_iteration (NULL, FALSE);
  g_assert_false (http_call_is_finished (late));
  http_abandon (late);
  process_free (store);
}

static void
test_turned_away (void)
{
  struct process *store = process_start_standin ("store", NULL);
  guint16 port = store->ports[0];
  gint64 generation = 0;

  store_standin_set_faults (port, "{\"turned_away\":[\"a\"]}");
  g_assert_cmpuint (store_standin_post (port, CALL "log-leave",
                                        "{\"group\":\"g\",\"member\":\"a\"}"),
                    ==, 503);
  g_assert_cmpuint (join (port, "b", &generation, 600000), ==, 0);
  store_standin_set_faults (port, "{\"turned_away\":[]}");
  generation = 0;
  g_assert_cmpuint (join (port, "a", &generation, 600000), ==, 0);
  process_free (store);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/groups/group", test_group);
  g_test_add_func ("/groups/commit", test_commit);
  g_test_add_func ("/groups/lapse-and-deal", test_lapse_and_deal);
  g_test_add_func ("/groups/lost-answers", test_lost_answers);
  g_test_add_func ("/groups/late-change", test_late_change);
  g_test_add_func ("/groups/turned-away", test_turned_away);
  return g_test_run ();
}
