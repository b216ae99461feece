/*
 * The client of the operators' store, and the answers to reads of topics:
 * deadlines, fresh connections after silence, and records in bad order.
 */
#include "platform/store_client.h"
#include "platform/store_page.h"

#include "base/clock.h"
#include "base/error.h"
#include "t/support/fake_store.h"

#include <string.h>

struct result
{
  guint n;
  guint status;
  gboolean has_body;
  GString *reached; /* "+" and "-" */
};

static void
on_answered (guint status, GBytes *body, gpointer data)
{
  struct result *result = data;

  result->n++;
  result->status = status;
  result->has_body = body != NULL;
}

static void
on_reached (gboolean is_reached, gpointer data)
{
  struct result *result = data;

  g_string_append (result->reached, is_reached ? "+" : "-");
}

static void
wait_result (const struct result *result, guint n)
{
  while (result->n < n)
    g_main_context_iteration (NULL, TRUE);
}

static void
read_topic (struct store_client *client, struct result *result)
{
  store_client_get (client, "log-read", "topic=keyed.a&part=0&from=0", 200,
                    on_answered, result);
  wait_result (result, result->n + 1);
}

static void
test_calls (void)
{
  struct fake_store *store = fake_store_new ();
  struct store_client *client = store_client_new (fake_store_address (store));
  struct result result = { 0 };

  fake_store_set_answer (store, "log-join", "{'generation':1}");
  store_client_post (client, "log-join", "{\"group\":\"g\"}", 1000,
                     on_answered, &result);
  wait_result (&result, 1);
  g_assert_cmpuint (result.status, ==, 200);
  g_assert_cmpstr (fake_store_last (store, "log-join"), ==,
                   "{\"group\":\"g\"}");
  read_topic (client, &result);
  g_assert_cmpuint (result.status, ==, 200);
  g_assert_cmpstr (fake_store_last (store, "log-read"), ==,
                   "topic=keyed.a&part=0&from=0");
  g_assert_false (
      server_calls_has_failed_since (store_client_get_calls (client), 0));
  store_client_free (client);
  fake_store_free (store);
}

/* A call that hangs ends at its deadline and takes no later one with it.  */
static void
test_silence (void)
{
  struct fake_store *store = fake_store_new ();
  struct store_client *client = store_client_new (fake_store_address (store));
  struct result result = { 0 };
  gint64 begin_us = clock_now_us ();

  fake_store_set_fault (store, FAKE_STORE_SILENT);
  read_topic (client, &result);
  g_assert_cmpuint (result.status, ==, 0);
  g_assert_false (result.has_body);
  g_assert_true (server_calls_has_failed_since (
      store_client_get_calls (client), begin_us));
  fake_store_set_fault (store, 0);
  read_topic (client, &result);
  g_assert_cmpuint (result.status, ==, 200);
  store_client_free (client);
  fake_store_free (store);
}

static void
test_refusals_are_trouble (void)
{
  static const guint faults[] = { 503, 429, 500 };
  struct fake_store *store = fake_store_new ();
  struct result result = { 0 };

  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      struct store_client *client
          = store_client_new (fake_store_address (store));

      fake_store_set_fault (store, faults[i]);
      read_topic (client, &result);
      g_assert_cmpuint (result.status, ==, faults[i]);
      g_assert_true (
          server_calls_has_failed_since (store_client_get_calls (client), 0));
      store_client_free (client);
    }
  fake_store_free (store);
}

/* One lost answer is no outage; a second without any is.  */
static void
test_reach (void)
{
  struct fake_store *store = fake_store_new ();
  struct store_client *client = store_client_new (fake_store_address (store));
  struct result result = { .reached = g_string_new (NULL) };
  gint64 begin_us;

  store_client_watch (client, on_reached, &result);
  read_topic (client, &result);
  g_assert_cmpstr (result.reached->str, ==, "+");
  begin_us = clock_now_us ();
  fake_store_set_fault (store, 503);
  while (result.reached->len < 2)
    {
      read_topic (client, &result);
      g_usleep (20000);
    }
  g_assert_cmpstr (result.reached->str, ==, "+-");
  g_assert_cmpint (clock_now_us () - begin_us, >, USEC_PER_SEC);
  fake_store_set_fault (store, 0);
  read_topic (client, &result);
  g_assert_cmpstr (result.reached->str, ==, "+-+");
  store_client_free (client);
  fake_store_free (store);
  g_string_free (result.reached, TRUE);
}

static void
test_free_cancels (void)
{
  struct fake_store *store = fake_store_new ();
  struct store_client *client = store_client_new (fake_store_address (store));
  struct result result = { 0 };

  store_client_get (client, "log-read", "topic=keyed.a&part=0&from=0", 200,
                    on_answered, &result);
  store_client_free (client);
  for (guint i = 0; i < 300; i++)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  g_assert_cmpuint (result.n, ==, 0);
  fake_store_free (store);
}

static struct store_page *
parse_read (const char *bytes, gsize size)
{
  g_autoptr (GBytes) body = g_bytes_new (bytes, size);

  return store_page_parse_read (body, NULL);
}

#define HEAD "\0\0\0\0\0\0\1\2\0\0\0\0\0\0\0\7"

static const struct store_record *
record_at (const struct store_page *page, guint i)
{
  return page->records->pdata[i];
}

static void
test_frames (void)
{
  static const char body[] = HEAD "\0\0\0\6\3abcxy"
                                  "\0\0\0\2\1d"
                                  "\0\0\0\0"
                                  "\0\0\0\3\7ef";
  struct store_page *page = parse_read (body, sizeof body - 1);

  g_assert_nonnull (page);
  g_assert_cmpuint (page->end, ==, 258);
  g_assert_cmpuint (page->records->len, ==, 4);
  g_assert_cmpstr (record_at (page, 0)->key, ==, "abc");
  g_assert_cmpmem (g_bytes_get_data (record_at (page, 0)->value, NULL),
                   g_bytes_get_size (record_at (page, 0)->value), "xy", 2);
  g_assert_cmpstr (record_at (page, 1)->key, ==, "d");
  g_assert_null (record_at (page, 1)->value);
  g_assert_null (record_at (page, 2)->key);
  g_assert_null (record_at (page, 3)->key);
  store_page_free (page);
}

/* Whole records before a cut count; nothing is read behind the end.  */
static void
test_cut_frames (void)
{
  static const char body[] = HEAD "\0\0\0\6\3abcxy"
                                  "\0\0\0\2\1d";

  for (gsize n = 0; n < sizeof body - 1; n++)
    {
      struct store_page *page = parse_read (body, n);

      g_assert_cmpint (page != NULL, ==, n >= 16);
      if (page == NULL)
        continue;
      g_assert_cmpuint (page->records->len, ==, n >= 26 ? 1 : 0);
      store_page_free (page);
    }
}

static void
test_newest (void)
{
  static const char text[] = "{\"items\":[{\"key\":\"config\",\"value\":"
                             "\"eHk=\",\"offset\":4}],\"more\":true,"
                             "\"end\":6}";
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  struct store_page *page = store_page_parse_newest (body, NULL);

  g_assert_nonnull (page);
  g_assert_cmpuint (page->end, ==, 6);
  g_assert_true (page->has_more);
  g_assert_cmpstr (record_at (page, 0)->key, ==, "config");
  g_assert_cmpmem (g_bytes_get_data (record_at (page, 0)->value, NULL),
                   g_bytes_get_size (record_at (page, 0)->value), "xy", 2);
  store_page_free (page);
}

static void
test_bad_lists (void)
{
  static const char *const texts[] = {
    "",
    "[]",
    "{}",
    "{\"items\":[]}",
    "{\"items\":{},\"end\":1}",
    "{\"items\":[],\"end\":\"1\"}",
    "{\"items\":[],\"end\":-1}",
    "{\"items\":[],\"end\":1",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GBytes) body = g_bytes_new (texts[i], strlen (texts[i]));
      g_autoptr (GError) error = NULL;

      g_assert_null (store_page_parse_newest (body, &error));
      g_assert_nonnull (error);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store-client/calls", test_calls);
  g_test_add_func ("/store-client/silence", test_silence);
  g_test_add_func ("/store-client/refusals", test_refusals_are_trouble);
  g_test_add_func ("/store-client/reach", test_reach);
  g_test_add_func ("/store-client/free-cancels", test_free_cancels);
  g_test_add_func ("/store-page/frames", test_frames);
  g_test_add_func ("/store-page/cut-frames", test_cut_frames);
  g_test_add_func ("/store-page/newest", test_newest);
  g_test_add_func ("/store-page/bad-lists", test_bad_lists);
  return g_test_run ();
}
