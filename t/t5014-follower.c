/*
 * What is followed in the operators' store: the desired state never goes back,
 * upstreams are told when they change, and one whose entry disappears while
 * the store is in trouble is not given up at once.
 */
#include "platform/follower.h"

#include "base/clock.h"
#include "t/support/fake_store.h"

#include <string.h>

#define MILLI 1000

struct bed
{
  struct fleet_events events;
  struct fake_store *store;
  struct store_client *client;
  struct follower *follower;
  GString *told; /* words with a space before each */
  struct evacuation evacuation;
  gdouble cpus; /* of the upstream that was told last */
};

static void
on_routes_changed (struct fleet_events *events, struct route_table *table,
                   GBytes *text)
{
  struct bed *bed = (struct bed *)(void *)events;

  g_assert_cmpuint (g_bytes_get_size (text), >, 0);
  g_string_append_printf (bed->told, " v%" G_GUINT64_FORMAT, table->version);
}

static void
on_zones_evacuated (struct fleet_events *events,
                    const struct evacuation *state)
{
  struct bed *bed = (struct bed *)(void *)events;

  g_assert_cmpuint (state->position, >, bed->evacuation.position);
  bed->evacuation = *state;
}

static void
on_upstream_changed (struct fleet_events *events,
                     const struct listed_upstream *spec)
{
  struct bed *bed = (struct bed *)(void *)events;

  g_string_append_printf (bed->told, " +%s%s", spec->id,
                          spec->is_leaving ? "~" : "");
  bed->cpus = spec->shape.cpus;
}

static void
on_upstream_gone (struct fleet_events *events, const char *id)
{
  struct bed *bed = (struct bed *)(void *)events;

  g_string_append_printf (bed->told, " -%s", id);
}

static const struct fleet_events_ops ops = {
  .routes_changed = on_routes_changed,
  .zones_evacuated = on_zones_evacuated,
  .upstream_changed = on_upstream_changed,
  .upstream_gone = on_upstream_gone,
};

static void
put_state (struct bed *bed, guint version, const char *service)
{
  g_autofree char *text = g_strdup_printf (
      "{'version':%u,'routes':[{'host':'h','prefix':'/','service':'%s'}]}",
      version, service);

  fake_store_put (bed->store, "keyed.op", "config", text);
}

static void
put_upstream (struct bed *bed, const char *id, const char *service,
              const char *state, guint seq)
{
  g_autofree char *text = g_strdup_printf (
      "{'service':'%s','addr':'10.0.0.9:80','zone':'z','version':'v1',"
      "'slots':8,'state':'%s','warmupLeftMs':0,'capacity':{'cpu':16000,"
      "'memMb':1,'gpu':0},'labels':['a','r1-3'],'seq':%u}",
      service, state, seq);

  fake_store_put (bed->store, "keyed.servers", id, text);
}

/* Writes the entry of i-1, of the service s, with CPUS.  */
static void
put_capacity (struct bed *bed, guint cpus, guint seq, guint64 born)
{
  g_autofree char *text = g_strdup_printf (
      "{'service':'s','addr':'10.0.0.9:80','zone':'z','version':'v1',"
      "'slots':8,'state':'ready','warmupLeftMs':0,'capacity':{'cpu':%u,"
      "'memMb':1,'gpu':0},'labels':['a','r1-3'],'seq':%u,"
      "'born':%" G_GUINT64_FORMAT "}",
      cpus * MILLI, seq, born);

  fake_store_put (bed->store, "keyed.servers", "i-1", text);
}

static void
drop_upstream (struct bed *bed, const char *id)
{
  fake_store_put (bed->store, "keyed.servers", id, NULL);
}

static struct bed *
open_bed (void)
{
  struct bed *bed = g_new0 (struct bed, 1);

  bed->events.ops = &ops;
  bed->store = fake_store_new ();
  bed->told = g_string_new (NULL);
  return bed;
}

static void
follow (struct bed *bed)
{
  bed->client = store_client_new (fake_store_address (bed->store));
  bed->follower = follower_new (bed->client, "z", &bed->events);
}

static void
close_bed (struct bed *bed)
{
  store_client_free (bed->client);
  follower_free (bed->follower);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  fake_store_free (bed->store);
  g_string_free (bed->told, TRUE);
  g_free (bed);
}

static void
pass (guint ms)
{
  gint64 end_us = clock_now_us () + ms * USEC_PER_MSEC;

  while (clock_now_us () < end_us)
    {
      while (g_main_context_iteration (NULL, FALSE))
        ;
      g_usleep (1000);
    }
}

static void
test_late_desired_state (void)
{
  struct bed *bed = open_bed ();

  put_upstream (bed, "i-1", "s", "ready", 1);
  follow (bed);
  fake_store_wait (bed->store, "log-newest", 3);
  g_assert_cmpstr (bed->told->str, ==, "");
  put_state (bed, 3, "s");
  fake_store_expect (bed->told, " v3 +i-1");
  close_bed (bed);
}

static void
test_versions (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  follow (bed);
  fake_store_expect (bed->told, " v3");
  put_state (bed, 7, "s");
  fake_store_expect (bed->told, " v7");
  put_state (bed, 5, "s");
  put_state (bed, 7, "t");
  fake_store_put (bed->store, "keyed.op", "config", "{'version':8");
  fake_store_put (bed->store, "keyed.op", "config", "{'version':'9'}");
  fake_store_put (bed->store, "keyed.op", "other", "{'version':10}");
  fake_store_put (bed->store, "keyed.op", "config", NULL);
  put_state (bed, 11, "s");
  fake_store_expect (bed->told, " v11");
  close_bed (bed);
}

/* The store forgets its history, then brings back an older state.  */
static void
test_forgotten_history (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  follow (bed);
  fake_store_expect (bed->told, " v3");
  fake_store_set_fault (bed->store, 503);
  fake_store_wait (bed->store, "log-read", 2);
  put_state (bed, 4, "s");
  put_state (bed, 6, "s");
  fake_store_forget (bed->store, "keyed.op");
  fake_store_set_fault (bed->store, 0);
  fake_store_expect (bed->told, " v6");
  put_state (bed, 8, "s");
  fake_store_expect (bed->told, " v8");
  close_bed (bed);
}

/* Waits for the next read of the desired state, and returns its query.  */
static const char *
wait_operator_read (struct bed *bed)
{
  const char *query;

  do
    {
      fake_store_wait (bed->store, "log-read", 1);
      query = fake_store_last (bed->store, "log-read");
    }
  while (strstr (query, "keyed.op") == NULL);
  return query;
}

/* A store that is back is not asked to wait first: the change that came during
   the outage, or just after it, would lie there until the deadline.  */
static void
test_reads_after_trouble (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  follow (bed);
  fake_store_expect (bed->told, " v3");
  g_assert_nonnull (strstr (wait_operator_read (bed), "waitMs="));
  fake_store_set_fault (bed->store, 503);
  wait_operator_read (bed);
  g_assert_null (strstr (wait_operator_read (bed), "waitMs="));
  g_assert_null (strstr (wait_operator_read (bed), "waitMs="));
  put_state (bed, 4, "s");
  fake_store_set_fault (bed->store, 0);
  fake_store_expect (bed->told, " v4");
  g_assert_nonnull (strstr (wait_operator_read (bed), "waitMs="));
  close_bed (bed);
}

static void
wait_evacuated (struct bed *bed, const char *zone, gboolean is_evacuated)
{
  while (evacuation_includes (&bed->evacuation, zone) != is_evacuated)
    g_main_context_iteration (NULL, TRUE);
}

/* Evacuations are found in the list after a start, and in the records that
   follow it.  Their order is that of the log.  */
static void
test_evacuations (void)
{
  struct bed *bed = open_bed ();

  fake_store_put (bed->store, "keyed.op", "evacuate/a", "{}");
  put_state (bed, 3, "s");
  follow (bed);
  fake_store_expect (bed->told, " v3");
  wait_evacuated (bed, "a", TRUE);
  g_assert_false (evacuation_includes (&bed->evacuation, "b"));
  fake_store_put (bed->store, "keyed.op", "evacuate/b", "{}");
  wait_evacuated (bed, "b", TRUE);
  fake_store_put (bed->store, "keyed.op", "evacuate/a", NULL);
  wait_evacuated (bed, "a", FALSE);
  g_assert_true (evacuation_includes (&bed->evacuation, "b"));
  fake_store_put (bed->store, "keyed.op", "evacuate/a", "no JSON");
  wait_evacuated (bed, "a", TRUE);
  close_bed (bed);
}

/* A zone that was evacuated, and one that was taken back, while the store was
   away and forgot its history.  */
static void
test_evacuations_in_forgotten_history (void)
{
  struct bed *bed = open_bed ();

  fake_store_put (bed->store, "keyed.op", "evacuate/a", "{}");
  put_state (bed, 3, "s");
  follow (bed);
  wait_evacuated (bed, "a", TRUE);
  fake_store_set_fault (bed->store, 503);
  fake_store_wait (bed->store, "log-read", 2);
  fake_store_put (bed->store, "keyed.op", "evacuate/a", NULL);
  fake_store_put (bed->store, "keyed.op", "evacuate/b", "{}");
  fake_store_forget (bed->store, "keyed.op");
  fake_store_set_fault (bed->store, 0);
  wait_evacuated (bed, "b", TRUE);
  g_assert_false (evacuation_includes (&bed->evacuation, "a"));
  close_bed (bed);
}

static void
test_offers_of_peers (void)
{
  static const char newer[]
      = "{\"version\":5,\"routes\":[{\"host\":\"h\",\"prefix\":\"/\","
        "\"service\":\"t\"}]}";
  static const char older[] = "{\"version\":4}";
  static const char wrong[] = "{\"version\":9,\"routes\":1}";
  g_autoptr (GBytes) a = g_bytes_new_static (newer, strlen (newer));
  g_autoptr (GBytes) b = g_bytes_new_static (older, strlen (older));
  g_autoptr (GBytes) c = g_bytes_new_static (wrong, strlen (wrong));
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  put_upstream (bed, "i-1", "t", "ready", 1);
  follow (bed);
  fake_store_expect (bed->told, " v3");
  fake_store_wait (bed->store, "log-read", 2);
  follower_offer_routes (bed->follower, c);
  follower_offer_routes (bed->follower, a);
  follower_offer_routes (bed->follower, a);
  follower_offer_routes (bed->follower, b);
  g_assert_cmpstr (bed->told->str, ==, "");
  fake_store_expect (bed->told, " v5 +i-1");
  pass (50);
  fake_store_expect (bed->told, "");
  close_bed (bed);
}

/* Heartbeats are not told, and neither are entries of others.  */
static void
test_upstreams (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  put_upstream (bed, "i-1", "s", "ready", 1);
  put_upstream (bed, "i-2", "other", "ready", 1);
  follow (bed);
  fake_store_expect (bed->told, " v3 +i-1");
  put_upstream (bed, "i-1", "s", "ready", 2);
  put_upstream (bed, "i-3", "s", "lost", 1);
  fake_store_put_bytes (bed->store, "keyed.servers", "i-4", "\xff{\0", 3);
  fake_store_put (bed->store, "keyed.servers", "i-1", "{'service':'s'}");
  put_upstream (bed, "i-1", "s", "draining", 3);
  fake_store_expect (bed->told, " +i-1~");
  put_upstream (bed, "i-5", "s", "ready", 1);
  fake_store_expect (bed->told, " +i-5");
  drop_upstream (bed, "i-3");
  drop_upstream (bed, "i-1");
  fake_store_expect (bed->told, " -i-1");
  put_upstream (bed, "i-1", "s", "ready", 4);
  fake_store_expect (bed->told, " +i-1");
  close_bed (bed);
}

static void
test_pages (void)
{
  struct bed *bed = open_bed ();

  for (char id[] = "i&=0"; id[3] < '7'; id[3]++)
    put_upstream (bed, id, "s", "ready", 1);
  put_state (bed, 3, "s");
  fake_store_set_page (bed->store, 2);
  follow (bed);
  while (bed->told->len < strlen (" v3") + 7 * strlen (" +i&=0"))
    g_main_context_iteration (NULL, TRUE);
  g_assert_nonnull (strstr (bed->told->str, " +i&=0"));
  g_assert_nonnull (strstr (bed->told->str, " +i&=6"));
  close_bed (bed);
}

static void
expect_cpus (struct bed *bed, const char *words, guint cpus)
{
  fake_store_expect (bed->told, words);
  g_assert_cmpfloat_with_epsilon (bed->cpus, cpus, 1e-9);
}

/* A capacity that shrinks and grows is told each time.  */
static void
test_capacity (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  put_capacity (bed, 16, 1, 1);
  follow (bed);
  expect_cpus (bed, " v3 +i-1", 16);
  put_capacity (bed, 2, 2, 1);
  expect_cpus (bed, " +i-1", 2);
  put_capacity (bed, 0, 3, 1);
  expect_cpus (bed, " +i-1", 0);
  put_capacity (bed, 16, 4, 1);
  expect_cpus (bed, " +i-1", 16);
  close_bed (bed);
}

/* Guards against starts on the capacity from before an outage, whether the
   store still has the records that were written during it or only the newest
   ones, which are listed.  */
static void
test_capacity_after_outage (gconstpointer is_forgotten)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  put_capacity (bed, 16, 1, 1);
  follow (bed);
  expect_cpus (bed, " v3 +i-1", 16);
  fake_store_set_fault (bed->store, 503);
  fake_store_wait (bed->store, "log-read", 3);
  put_capacity (bed, 2, 2, 1);
  if (is_forgotten != NULL)
    fake_store_forget (bed->store, "keyed.servers");
  fake_store_set_fault (bed->store, 0);
  expect_cpus (bed, " +i-1", 2);
  close_bed (bed);
}

/* Guards against starts on a former capacity once the desired state names the
   service again, and meanwhile by what is still queued for it.  */
static void
test_capacity_of_dropped_service (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  put_capacity (bed, 16, 1, 1);
  follow (bed);
  expect_cpus (bed, " v3 +i-1", 16);
  put_state (bed, 4, "t");
  fake_store_expect (bed->told, " v4");
  put_capacity (bed, 2, 2, 1);
  expect_cpus (bed, " +i-1", 2);
  put_state (bed, 5, "s");
  fake_store_expect (bed->told, " v5");
  close_bed (bed);
}

/* Guards against the same when an upstream belongs to a service that no
   desired state has named for a while.  */
static void
test_capacity_after_other_service (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  put_capacity (bed, 16, 1, 1);
  put_upstream (bed, "i-2", "s", "ready", 1);
  follow (bed);
  pass (100);
  g_string_truncate (bed->told, 0);
  put_upstream (bed, "i-1", "t", "ready", 2);
  drop_upstream (bed, "i-2");
  fake_store_expect (bed->told, " -i-2");
  put_state (bed, 4, "t");
  fake_store_expect (bed->told, " v4 +i-1");
  close_bed (bed);
}

/* Guards against starts on a former capacity for as long as records that were
   read with a list before are read again, or when a delayed write comes after
   newer ones.  A new instance counts its writes anew.  */
static void
test_superseded_entry (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  put_capacity (bed, 2, 5, 1);
  follow (bed);
  expect_cpus (bed, " v3 +i-1", 2);
  put_capacity (bed, 16, 4, 1);
  put_upstream (bed, "i-2", "s", "ready", 1);
  fake_store_expect (bed->told, " +i-2");
  put_capacity (bed, 4, 1, 2);
  expect_cpus (bed, " +i-1", 4);
  close_bed (bed);
}

/* An entry that ran out during an outage and comes back was never gone.  */
static void
test_entry_that_comes_back (void)
{
  struct bed *bed = open_bed ();

  put_state (bed, 3, "s");
  put_upstream (bed, "i-1", "s", "ready", 1);
  put_upstream (bed, "i-2", "s", "ready", 1);
  follow (bed);
  pass (100);
  g_string_truncate (bed->told, 0);
  fake_store_set_fault (bed->store, 503);
  fake_store_wait (bed->store, "log-read", 3);
  drop_upstream (bed, "i-1");
  drop_upstream (bed, "i-2");
  fake_store_set_fault (bed->store, 0);
  fake_store_wait (bed->store, "log-read", 3);
  pass (500);
  put_upstream (bed, "i-1", "s", "ready", 2);
  fake_store_expect (bed->told, " -i-2");
  pass (600);
  fake_store_expect (bed->told, "");
  close_bed (bed);
}

/* What the newest records no longer name is gone, but not at once.  */
static void
test_entry_that_was_forgotten (void)
{
  struct bed *bed = open_bed ();
  gint64 begin_us;

  put_state (bed, 3, "s");
  put_upstream (bed, "i-1", "s", "ready", 1);
  put_upstream (bed, "i-2", "s", "ready", 1);
  follow (bed);
  pass (100);
  g_string_truncate (bed->told, 0);
  fake_store_set_fault (bed->store, FAKE_STORE_SILENT);
  fake_store_wait (bed->store, "log-read", 1);
  drop_upstream (bed, "i-1");
  fake_store_forget (bed->store, "keyed.servers");
  begin_us = clock_now_us ();
  fake_store_set_fault (bed->store, 0);
  fake_store_expect (bed->told, " -i-1");
  g_assert_cmpint (clock_now_us () - begin_us, >=, 2500 * USEC_PER_MSEC);
  close_bed (bed);
}

/* Calls are priced: a quiet store is read no more often than needed.  */
static void
test_calls_when_quiet (void)
{
  struct bed *bed = open_bed ();
  guint n;

  put_state (bed, 3, "s");
  put_upstream (bed, "i-1", "s", "ready", 1);
  follow (bed);
  fake_store_expect (bed->told, " v3 +i-1");
  n = fake_store_count (bed->store, "log-read");
  pass (2400);
  g_assert_cmpuint (fake_store_count (bed->store, "log-read") - n, <=, 9);
  g_assert_cmpuint (fake_store_count (bed->store, "log-newest"), <=, 4);
  close_bed (bed);
}

/* Hands what FROM knows beyond the position of TO, of whose own store nothing
   is read, to TO.  */
static void
pass_listing (struct bed *from, struct bed *to)
{
  struct listing_state sent;
  struct listing_state known;
  g_autoptr (GBytes) text = NULL;

  follower_get_listing (from->follower, &sent);
  follower_get_listing (to->follower, &known);
  text = follower_format_listing (from->follower, known.position);
  g_assert_nonnull (text);
  follower_apply_listing (to->follower, text, sent.as_of_us);
  pass (5);
  follower_get_listing (to->follower, &known);
  g_assert_cmpuint (known.position, >=, sent.position);
  g_assert_cmpint (known.as_of_us, ==, sent.as_of_us);
  g_assert_false (known.is_read);
}

static struct listing_state
get_listing (struct bed *bed)
{
  struct listing_state state;

  follower_get_listing (bed->follower, &state);
  return state;
}

/* A VM that reads nothing itself learns of every change and every deletion
   from one that does, and of nothing else; then it reads on from there.  */
static void
test_list_from_peer (void)
{
  struct bed *reader = open_bed ();
  struct bed *other = open_bed ();
  guint64 changed;

  put_state (reader, 3, "s");
  put_state (other, 3, "s");
  put_upstream (reader, "i-1", "s", "ready", 1);
  put_upstream (reader, "i-2", "s", "ready", 1);
  follow (reader);
  follow (other);
  follower_set_reading (other->follower, FALSE);
  g_assert_null (follower_format_listing (other->follower, 0));
  pass (600);
  g_assert_cmpuint (get_listing (reader).position, ==, 2);
  pass_listing (reader, other);
  pass (50);
  g_assert_cmpuint (strlen (other->told->str), ==, strlen (" v3 +i-1 +i-2"));
  g_string_truncate (other->told, 0);

  /* Only "seq" is new: the position moves, and nothing has changed.  */
  changed = get_listing (reader).changed;
  put_upstream (reader, "i-1", "s", "ready", 2);
  pass (500);
  g_assert_cmpuint (get_listing (reader).position, ==, 3);
  g_assert_cmpuint (get_listing (reader).changed, ==, changed);

  put_upstream (reader, "i-1", "s", "draining", 3);
  drop_upstream (reader, "i-2");
  put_upstream (reader, "i-3", "s", "ready", 1);
  pass (500);
  g_assert_cmpuint (get_listing (reader).changed, ==, 6);
  pass_listing (reader, other);
  g_assert_nonnull (strstr (other->told->str, " +i-1~"));
  g_assert_nonnull (strstr (other->told->str, " -i-2"));
  g_assert_nonnull (strstr (other->told->str, " +i-3"));
  g_assert_cmpuint (strlen (other->told->str), ==,
                    strlen (" +i-1~ -i-2 +i-3"));
  g_assert_cmpuint (get_listing (other).changed, ==, 6);
  /* What comes twice changes nothing.  */
  g_string_truncate (other->told, 0);
  pass_listing (reader, other);
  g_assert_cmpstr (other->told->str, ==, "");
  close_bed (reader);
  close_bed (other);
}

/* Changes from a later position than is known here would leave a gap: they are
   not taken.  */
static void
test_gap_from_peer (void)
{
  struct bed *reader = open_bed ();
  struct bed *other = open_bed ();
  g_autoptr (GBytes) text = NULL;

  put_state (reader, 3, "s");
  put_upstream (reader, "i-1", "s", "ready", 1);
  follow (reader);
  follow (other);
  follower_set_reading (other->follower, FALSE);
  pass (600);
  text = follower_format_listing (reader->follower, 1);
  follower_apply_listing (other->follower, text, clock_now_us ());
  pass (20);
  g_assert_cmpuint (get_listing (other).position, ==, 0);
  close_bed (reader);
  close_bed (other);
}

/* A page of the list that does not come in time is given more of it with each
   retry: otherwise a page that is too large for a busy link never ends.  */
static void
test_slow_pages (void)
{
  struct bed *bed = open_bed ();
  guint n_tails = 2;

  put_state (bed, 3, "s");
  put_upstream (bed, "i-1", "s", "ready", 1);
  fake_store_set_fault (bed->store, FAKE_STORE_SILENT);
  follow (bed);
  pass (3600);
  /* After 0, 1.1 and 3.3 s.  */
  g_assert_cmpuint (fake_store_count (bed->store, "log-newest"), ==,
                    3 * n_tails);
  close_bed (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/follower/late-desired-state", test_late_desired_state);
  g_test_add_func ("/follower/versions", test_versions);
  g_test_add_func ("/follower/forgotten-history", test_forgotten_history);
  g_test_add_func ("/follower/after-trouble", test_reads_after_trouble);
  g_test_add_func ("/follower/evacuations", test_evacuations);
  g_test_add_func ("/follower/evacuations-forgotten",
                   test_evacuations_in_forgotten_history);
  g_test_add_func ("/follower/offers", test_offers_of_peers);
  g_test_add_func ("/follower/upstreams", test_upstreams);
  g_test_add_func ("/follower/pages", test_pages);
  g_test_add_func ("/follower/capacity", test_capacity);
  g_test_add_data_func ("/follower/capacity-after-outage/read", NULL,
                        test_capacity_after_outage);
  g_test_add_data_func ("/follower/capacity-after-outage/listed", "",
                        test_capacity_after_outage);
  g_test_add_func ("/follower/capacity-of-dropped-service",
                   test_capacity_of_dropped_service);
  g_test_add_func ("/follower/capacity-after-other-service",
                   test_capacity_after_other_service);
  g_test_add_func ("/follower/superseded-entry", test_superseded_entry);
  g_test_add_func ("/follower/comes-back", test_entry_that_comes_back);
  g_test_add_func ("/follower/forgotten", test_entry_that_was_forgotten);
  g_test_add_func ("/follower/calls-when-quiet", test_calls_when_quiet);
  g_test_add_func ("/follower/list-from-peer", test_list_from_peer);
  g_test_add_func ("/follower/gap-from-peer", test_gap_from_peer);
  g_test_add_func ("/follower/slow-pages", test_slow_pages);
  return g_test_run ();
}
