/*
 * Decisions about changes: one by one, and as a property of seeded random
 * histories.
 */
#include "coordination/config_log.h"

#include "base/error.h"
#include "protocol/json_read.h"
#include "protocol/log_record.h"

#include <string.h>

#define N_HISTORIES 300
#define N_RECORDS 60
#define N_TEAMS 3

struct reader
{
  struct config_log_driver driver;
  struct config_log *log;
  GHashTable *highest; /* team -> version, which must only grow */
  enum config_verdict last;
};

static struct document *
build (struct config_log_driver *driver, const struct config_change *change,
       const struct document *base, GError **error)
{
  return log_record_build_document (change, base, error);
}

static void
in_force (struct config_log_driver *driver, struct document *document,
          enum config_source source)
{
  struct reader *reader = (struct reader *)(void *)driver;
  guint64 former = GPOINTER_TO_SIZE (
      g_hash_table_lookup (reader->highest, document->team));

  g_assert_cmpuint (document->version, >, former);
  g_hash_table_replace (reader->highest, g_strdup (document->team),
                        GSIZE_TO_POINTER (document->version));
}

static void
decided (struct config_log_driver *driver, const struct config_change *change,
         enum config_verdict verdict, const struct document *current,
         const GError *error)
{
  struct reader *reader = (struct reader *)(void *)driver;

  reader->last = verdict;
  g_assert_true ((error != NULL) == (verdict == CONFIG_INVALID));
}

static const struct config_log_driver_ops ops = { build, in_force, decided };

static struct reader *
reader_new (void)
{
  struct reader *reader = g_new0 (struct reader, 1);

  reader->driver.ops = &ops;
  reader->log = config_log_new (&reader->driver);
  reader->highest
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return reader;
}

static void
reader_free (struct reader *reader)
{
  config_log_free (reader->log);
  g_hash_table_unref (reader->highest);
  g_free (reader);
}

static void
feed (struct reader *reader, guint64 offset, json_t *data)
{
  struct config_change change;

  if (log_record_read_change (data, offset, &change, NULL)
      == LOG_RECORD_CHANGE)
    config_log_decide (reader->log, &change);
  else
    config_log_skip (reader->log, offset);
}

/* Feeds the record that TEXT, JSON with single quotes, gives.  */
static enum config_verdict
feed_text (struct reader *reader, guint64 offset, const char *text)
{
  g_autofree char *json = g_strdelimit (g_strdup (text), "'", '"');
  json_t *data = json_parse (json, strlen (json), NULL);

  g_assert_nonnull (data);
  feed (reader, offset, data);
  json_decref (data);
  return reader->last;
}

static guint
weight_of (struct reader *reader, const char *team)
{
  return config_log_find (reader->log, team)->document->weight;
}

static void
test_bases (void)
{
  struct reader *r = reader_new ();

  g_assert_cmpint (feed_text (r, 0,
                              "{'kind':'document','team':'a','base':0,"
                              "'edit':'e0','document':{'team':'a','weight':2,"
                              "'services':{}}}"),
                   ==, CONFIG_ACCEPTED);
  g_assert_cmpint (feed_text (r, 1,
                              "{'kind':'document','team':'a','base':0,"
                              "'patch':{'weight':3}}"),
                   ==, CONFIG_VOID);
  g_assert_cmpint (feed_text (r, 2,
                              "{'kind':'document','team':'a','base':1,"
                              "'patch':{'weight':'heavy'}}"),
                   ==, CONFIG_INVALID);
  g_assert_cmpint (feed_text (r, 3,
                              "{'kind':'document','team':'a','base':1,"
                              "'patch':{'team':'b'}}"),
                   ==, CONFIG_INVALID);
  g_assert_cmpuint (weight_of (r, "a"), ==, 2);
  g_assert_cmpint (feed_text (r, 4,
                              "{'kind':'document','team':'a','base':1,"
                              "'patch':{'weight':null}}"),
                   ==, CONFIG_ACCEPTED);
  g_assert_cmpuint (weight_of (r, "a"), ==, 1);
  g_assert_cmpuint (config_log_get_next (r->log), ==, 5);
  reader_free (r);
}

/* Behind a gap nothing is decided that the missing records could change.  */
static void
test_gap_and_force (void)
{
  struct reader *r = reader_new ();

  config_log_note_gap (r->log, 10);
  g_assert_cmpint (feed_text (r, 10,
                              "{'kind':'document','team':'a','base':0,"
                              "'document':{'team':'a','services':{}}}"),
                   ==, CONFIG_UNDECIDED);
  g_assert_cmpint (feed_text (r, 11,
                              "{'kind':'document','team':'a','base':0,"
                              "'force':true,'document':{'team':'a',"
                              "'services':{}}}"),
                   ==, CONFIG_ACCEPTED);
  g_assert_cmpint (feed_text (r, 12,
                              "{'kind':'document','team':'a','base':12,"
                              "'patch':{'weight':7}}"),
                   ==, CONFIG_ACCEPTED);
  g_assert_false (config_log_is_certain (r->log));
  g_assert_cmpuint (weight_of (r, "a"), ==, 7);
  reader_free (r);
}

/* A record that was not delivered counts as a gap, too.  */
static void
test_skipped_offset (void)
{
  struct reader *r = reader_new ();

  config_log_skip (r->log, 0);
  config_log_skip (r->log, 2);
  g_assert_false (config_log_is_certain (r->log));
  reader_free (r);
}

static guint64
version_of (struct reader *reader, const char *team)
{
  const struct config_entry *entry = config_log_find (reader->log, team);

  return entry != NULL ? entry->document->version : 0;
}

/* A change of a random kind to TEAM by someone whose view may be old.  */
static json_t *
make_change (GRand *rand, const char *team, guint64 version, guint64 offset)
{
  gint kind = g_rand_int_range (rand, 0, 10);
  guint64 base = kind < 3 ? version / 2 : version;
  json_t *record
      = json_pack ("{s:s, s:s, s:I, s:s+}", "kind", "document", "team", team,
                   "base", (json_int_t)base, "edit", team, "-edit");
  gint weight = g_rand_int_range (rand, kind == 4 ? -5 : 1, 1000);

  if (kind == 5)
    json_object_set_new (record, "force", json_true ());
  if (kind > 6)
    json_object_set_new (record, "patch",
                         json_pack ("{s:i, s:{s:i}}", "weight", weight,
                                    "quota", "slots", (int)offset));
  else
    json_object_set_new (record, "document",
                         json_pack ("{s:s, s:i, s:{}}", "team", team, "weight",
                                    weight, "services"));
  return record;
}

/* A history; REFERENCE has read all of it.  */
static json_t *
make_history (GRand *rand, struct reader *reference)
{
  json_t *records = json_array ();

  for (guint64 offset = 0; offset < N_RECORDS; offset++)
    {
      char team[2] = { (char)('a' + g_rand_int_range (rand, 0, N_TEAMS)), 0 };
      json_t *record;

      /* A publisher that lost its answer appends again.  */
      if (offset > 0 && g_rand_int_range (rand, 0, 6) == 0)
        record = json_incref (json_array_get (records, offset - 1));
      else
        record
            = make_change (rand, team, version_of (reference, team), offset);
      json_array_append_new (records, record);
      feed (reference, offset, record);
    }
  return records;
}

static void
assert_same (struct reader *reader, struct reader *reference)
{
  g_assert_true (config_log_is_certain (reader->log));
  g_assert_cmpuint (config_log_hash_versions (reader->log), ==,
                    config_log_hash_versions (reference->log));
  for (char team[] = "a"; team[0] < 'a' + N_TEAMS; team[0]++)
    {
      const struct config_entry *a = config_log_find (reader->log, team);
      const struct config_entry *b = config_log_find (reference->log, team);

      g_assert_true ((a == NULL) == (b == NULL));
      if (a != NULL)
        g_assert_cmpstr (a->document->text, ==, b->document->text);
    }
}

/* The documents in force before UPTO, by way of a snapshot's records.  */
static struct snapshot_reader *
make_snapshot (json_t *records, guint64 upto)
{
  struct snapshot_reader *snapshots = snapshot_reader_new ();
  struct reader *writer = reader_new ();
  g_autoptr (GPtrArray) parts = NULL;

  for (guint64 offset = 0; offset < upto; offset++)
    feed (writer, offset, json_array_get (records, offset));
  parts = log_record_format_snapshot (writer->log, "s", "entry-1");
  for (guint i = 0; i < parts->len; i++)
    {
      const char *text = g_ptr_array_index (parts, i);
      json_t *data = json_parse (text, strlen (text), NULL);

      snapshot_reader_add (snapshots, data);
      json_decref (data);
    }
  reader_free (writer);
  return snapshots;
}

static void
restore_at (struct reader *reader, json_t *records, guint64 upto)
{
  struct snapshot_reader *snapshots = make_snapshot (records, upto);
  const struct snapshot *snapshot = snapshot_reader_get_newest (snapshots);

  config_log_restore (reader->log, snapshot->documents, snapshot->upto,
                      snapshot->is_whole, CONFIG_SOURCE_SNAPSHOT);
  snapshot_reader_free (snapshots);
}

static void
read_up_to (struct reader *reader, json_t *records, guint64 end)
{
  for (guint64 o = config_log_get_next (reader->log); o < end; o++)
    feed (reader, o, json_array_get (records, o));
}

/* A reader that takes a random path through RECORDS: snapshots, gaps, the
   documents of peers that are ahead or behind.  */
static void
check_random_reader (GRand *rand, json_t *records, struct reader *reference)
{
  struct reader *reader = reader_new ();

  for (guint step = 0; step < 6; step++)
    {
      guint64 place = (guint64)g_rand_int_range (rand, 0, N_RECORDS + 1);
      gint kind = g_rand_int_range (rand, 0, 3);

      if (kind == 0)
        read_up_to (reader, records, place);
      else if (kind == 1)
        restore_at (reader, records, place);
      else
        config_log_note_gap (reader->log, place);
    }
  read_up_to (reader, records, N_RECORDS);
  if (!config_log_is_certain (reader->log))
    {
      restore_at (reader, records, N_RECORDS - 1);
      read_up_to (reader, records, N_RECORDS);
    }
  if (!config_log_is_certain (reader->log))
    restore_at (reader, records, N_RECORDS);
  assert_same (reader, reference);
  reader_free (reader);
}

static void
test_any_path_same_documents (void)
{
  for (guint32 seed = 1; seed <= N_HISTORIES; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct reader *reference = reader_new ();
      json_t *records = make_history (rand, reference);

      for (guint i = 0; i < 5; i++)
        check_random_reader (rand, records, reference);
      json_decref (records);
      reader_free (reference);
      g_rand_free (rand);
    }
}

/* A peer with an old version changes nothing.  */
static void
test_old_peer (void)
{
  GRand *rand = g_rand_new_with_seed (7);
  struct reader *reader = reader_new ();
  json_t *records = make_history (rand, reader);
  guint64 hash = config_log_hash_versions (reader->log);

  for (guint64 upto = 0; upto < N_RECORDS; upto++)
    restore_at (reader, records, upto);
  g_assert_cmpuint (config_log_hash_versions (reader->log), ==, hash);
  g_assert_cmpuint (config_log_get_next (reader->log), ==, N_RECORDS);
  json_decref (records);
  reader_free (reader);
  g_rand_free (rand);
}

/* A snapshot of some teams makes just those certain, and reading goes back to
   its place.  */
static void
test_partial_snapshot (void)
{
  struct reader *r = reader_new ();
  struct reader *other = reader_new ();
  g_autoptr (GPtrArray) documents = g_ptr_array_new ();
  const char *patch = "{'kind':'document','team':'a','base':1,"
                      "'patch':{'weight':9}}";

  feed_text (other, 0,
             "{'kind':'document','team':'a','base':0,"
             "'document':{'team':'a','services':{}}}");
  g_ptr_array_add (documents, config_log_find (other->log, "a")->document);
  config_log_note_gap (r->log, 10);
  config_log_skip (r->log, 10);
  g_assert_cmpint (feed_text (r, 11, patch), ==, CONFIG_UNDECIDED);
  g_assert_false (config_log_restore (r->log, documents, 9, FALSE,
                                      CONFIG_SOURCE_SNAPSHOT));
  g_assert_true (config_log_restore (r->log, documents, 11, FALSE,
                                     CONFIG_SOURCE_SNAPSHOT));
  g_assert_cmpuint (config_log_get_next (r->log), ==, 11);
  g_assert_cmpint (feed_text (r, 11, patch), ==, CONFIG_ACCEPTED);
  g_assert_false (config_log_is_certain (r->log));
  reader_free (r);
  reader_free (other);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config-log/bases", test_bases);
  g_test_add_func ("/config-log/gap-and-force", test_gap_and_force);
  g_test_add_func ("/config-log/skipped-offset", test_skipped_offset);
  g_test_add_func ("/config-log/any-path-same-documents",
                   test_any_path_same_documents);
  g_test_add_func ("/config-log/old-peer", test_old_peer);
  g_test_add_func ("/config-log/partial-snapshot", test_partial_snapshot);
  return g_test_run ();
}
