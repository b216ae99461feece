/*
 * The shards of a zone, through the groups of the operators' store: joining
 * goes on whatever is answered, and answers count by their generation.
 */
#include "platform/shard_group.h"

#include "base/clock.h"
#include "protocol/json_read.h"
#include "t/support/fake_store.h"

#include <string.h>

struct bed
{
  struct fleet_events events;
  struct fake_store *store;
  struct store_client *client;
  struct shard_group *group;
  GString *assigned;
  GString *listed;
  guint n_lists;
};

static void
on_shards_assigned (struct fleet_events *events, guint64 generation,
                    const guint *shards, guint n_shards)
{
  struct bed *bed = (struct bed *)(void *)events;

  g_string_append_printf (bed->assigned, " g%" G_GUINT64_FORMAT ":",
                          generation);
  for (guint i = 0; i < n_shards; i++)
    g_string_append_printf (bed->assigned, "%u,", shards[i]);
}

static void
on_members_listed (struct fleet_events *events, const char *const *members,
                   guint n_members)
{
  struct bed *bed = (struct bed *)(void *)events;

  bed->n_lists++;
  g_string_truncate (bed->listed, 0);
  for (guint i = 0; i < n_members; i++)
    g_string_append_printf (bed->listed, " %s", members[i]);
}

static const struct fleet_events_ops ops = {
  .shards_assigned = on_shards_assigned,
  .members_listed = on_members_listed,
};

static struct bed *
open_bed (void)
{
  struct bed *bed = g_new0 (struct bed, 1);

  bed->events.ops = &ops;
  bed->store = fake_store_new ();
  bed->assigned = g_string_new (NULL);
  bed->listed = g_string_new (NULL);
  return bed;
}

static void
join (struct bed *bed)
{
  static const char *const zones[] = { "z-a", "z-b", NULL };
  const struct shard_group_config config = {
    .member = "10.0.0.1:77\"",
    .availability_zone = "z-a",
    .zones = zones,
    .n_shards = 16,
    .ttl_ms = 200,
  };

  bed->client = store_client_new (fake_store_address (bed->store));
  bed->group = shard_group_new (bed->client, &config, &bed->events);
}

static void
close_bed (struct bed *bed)
{
  store_client_free (bed->client);
  shard_group_free (bed->group);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  fake_store_free (bed->store);
  g_string_free (bed->assigned, TRUE);
  g_string_free (bed->listed, TRUE);
  g_free (bed);
}

static void
answer_join (struct bed *bed, const char *answer)
{
  fake_store_set_answer (bed->store, "log-join", answer);
}

static json_t *
last_body (struct bed *bed, const char *call)
{
  const char *text = fake_store_last (bed->store, call);
  json_t *root = json_parse (text, strlen (text), NULL);

  g_assert_nonnull (root);
  return root;
}

static void
expect_join (struct bed *bed, gint64 generation)
{
  json_t *root = last_body (bed, "log-join");
  json_t *wanted
      = json_pack ("{s:s,s:s,s:[s],s:i,s:I}", "group", "shards.z-a", "member",
                   "10.0.0.1:77\"", "topics", "shards.z-a", "ttlMs", 1000,
                   "generation", (json_int_t)generation);

  g_assert_true (json_equal (root, wanted));
  json_decref (root);
  json_decref (wanted);
}

static void
test_assignment (void)
{
  struct bed *bed = open_bed ();

  answer_join (bed, "{'generation':6,'ttlMs':1000,'parts':[]}");
  join (bed);
  fake_store_expect (bed->assigned, " g6:");
  expect_join (bed, 0);
  answer_join (bed, "{'generation':7,'parts':[['shards.z-a',12,0],"
                    "['shards.z-a',3,840],['other',4,0],"
                    "['shards.z-a',99,0]]}");
  fake_store_expect (bed->assigned, " g7:3,12,");
  expect_join (bed, 6);
  fake_store_wait (bed->store, "log-join", 3);
  g_assert_cmpstr (bed->assigned->str, ==, "");
  expect_join (bed, 7);
  answer_join (bed, "{'generation':8,'parts':[['shards.z-a',12,0],"
                    "['shards.z-a',3,840]]}");
  fake_store_expect (bed->assigned, " g8:3,12,");
  answer_join (bed, "{'generation':8,'parts':[['shards.z-a',12,0]]}");
  fake_store_expect (bed->assigned, " g8:12,");
  close_bed (bed);
}

static void
test_answers_of_no_use (void)
{
  static const char *const answers[] = {
    "{'generation':5,'parts':[['shards.z-a',1,0]]}",
    "{'generation':'9','parts':[]}",
    "{'parts':[]}",
    "{'generation':9}",
    "{'generation':9,'parts':[[1,2,3]]}",
    "{'generation':9,'parts':[['shards.z-a','1',0]]}",
    "{'generation':9,",
    "[]",
  };
  struct bed *bed = open_bed ();

  answer_join (bed, "{'generation':6,'parts':[['shards.z-a',2,0]]}");
  join (bed);
  fake_store_expect (bed->assigned, " g6:2,");
  for (gsize i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      answer_join (bed, answers[i]);
      fake_store_wait (bed->store, "log-join", 2);
      g_assert_cmpstr (bed->assigned->str, ==, "");
    }
  answer_join (bed, NULL);
  fake_store_wait (bed->store, "log-join", 2);
  answer_join (bed, "{'generation':10,'parts':[]}");
  fake_store_expect (bed->assigned, " g10:");
  close_bed (bed);
}

/* What keeps a member in its group is that joins come, not their answers.  */
static void
test_joins_go_on_in_silence (void)
{
  struct bed *bed = open_bed ();

  answer_join (bed, "{'generation':6,'parts':[]}");
  join (bed);
  fake_store_expect (bed->assigned, " g6:");
  fake_store_set_fault (bed->store, FAKE_STORE_SILENT);
  fake_store_wait (bed->store, "log-join", 6);
  answer_join (bed, "{'generation':7,'parts':[]}");
  fake_store_set_fault (bed->store, 0);
  fake_store_expect (bed->assigned, " g7:");
  close_bed (bed);
}

static void
test_members (void)
{
  struct bed *bed = open_bed ();
  guint n;

  fake_store_set_answer (
      bed->store, "log-owners",
      "{'parts':[['shards.z-a',0,'m1',0],['shards.z-a',1,'m2',0],"
      "['shards.z-a',2,'m1',0]]}");
  join (bed);
  while (bed->n_lists < 2)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpstr (bed->listed->str, ==, " m1 m2");
  g_assert_true (g_str_has_prefix (fake_store_last (bed->store, "log-owners"),
                                   "group=shards.z-"));
  g_assert_cmpuint (fake_store_count (bed->store, "log-owners"), ==, 4);
  fake_store_set_answer (bed->store, "log-owners",
                         "{'owners':[['shards.z-a',0,'m3',0]]}");
  n = bed->n_lists;
  shard_group_list_members (bed->group);
  shard_group_list_members (bed->group);
  g_assert_cmpuint (bed->n_lists, ==, n);
  while (bed->n_lists == n)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpstr (bed->listed->str, ==, " m3");
  close_bed (bed);
}

/* A list that fails is not told: the members known stay.  */
static void
test_members_without_answer (void)
{
  struct bed *bed = open_bed ();

  join (bed);
  fake_store_wait (bed->store, "log-owners", 4);
  g_assert_cmpuint (bed->n_lists, ==, 0);
  close_bed (bed);
}

static void
test_leave (void)
{
  struct bed *bed = open_bed ();
  json_t *body;
  guint n;

  answer_join (bed, "{'generation':6,'parts':[]}");
  join (bed);
  fake_store_expect (bed->assigned, " g6:");
  fake_store_set_fault (bed->store, 503);
  shard_group_leave (bed->group);
  shard_group_leave (bed->group);
  fake_store_wait (bed->store, "log-leave", 2);
  body = last_body (bed, "log-leave");
  g_assert_cmpstr (json_string_value (json_object_get (body, "group")), ==,
                   "shards.z-a");
  g_assert_cmpstr (json_string_value (json_object_get (body, "member")), ==,
                   "10.0.0.1:77\"");
  json_decref (body);
  n = fake_store_count (bed->store, "log-join");
  answer_join (bed, "{'generation':7,'parts':[]}");
  fake_store_set_answer (bed->store, "log-leave", "{}");
  fake_store_set_fault (bed->store, 0);
  fake_store_wait (bed->store, "log-leave", 1);
  fake_store_wait (bed->store, "log-owners", 2);
  g_assert_cmpuint (fake_store_count (bed->store, "log-join"), ==, n);
  g_assert_cmpuint (fake_store_count (bed->store, "log-leave"), ==, 3);
  g_assert_cmpstr (bed->assigned->str, ==, "");
  close_bed (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shard-group/assignment", test_assignment);
  g_test_add_func ("/shard-group/answers-of-no-use", test_answers_of_no_use);
  g_test_add_func ("/shard-group/silence", test_joins_go_on_in_silence);
  g_test_add_func ("/shard-group/members", test_members);
  g_test_add_func ("/shard-group/members-without-answer",
                   test_members_without_answer);
  g_test_add_func ("/shard-group/leave", test_leave);
  return g_test_run ();
}
