/* Records of the log, merge patches, and what is done with broken ones.  */
#include "protocol/log_record.h"

#include "base/error.h"
#include "protocol/document_json.h"
#include "protocol/json_patch.h"
#include "protocol/json_read.h"
#include "protocol/log_answer.h"

#include <string.h>

/* Parses JSON with single quotes.  */
static json_t *
parse (const char *text)
{
  g_autofree char *json = g_strdelimit (g_strdup (text), "'", '"');
  json_t *value = json_parse (json, strlen (json), NULL);

  g_assert_nonnull (value);
  return value;
}

/* Examples of RFC 7396, appendix A.  */
static void
test_rfc7396_examples (void)
{
  static const char *const cases[][3] = {
    { "{'a':'b'}", "{'a':'c'}", "{'a':'c'}" },
    { "{'a':'b'}", "{'b':'c'}", "{'a':'b','b':'c'}" },
    { "{'a':'b'}", "{'a':null}", "{}" },
    { "{'a':'b','b':'c'}", "{'a':null}", "{'b':'c'}" },
    { "{'a':['b']}", "{'a':'c'}", "{'a':'c'}" },
    { "{'a':'c'}", "{'a':['b']}", "{'a':['b']}" },
    { "{'a':{'b':'c'}}", "{'a':{'b':'d','c':null}}", "{'a':{'b':'d'}}" },
    { "{'a':[{'b':'c'}]}", "{'a':[1]}", "{'a':[1]}" },
    { "['a','b']", "['c','d']", "['c','d']" },
    { "{'a':'b'}", "['c']", "['c']" },
    { "{'a':'foo'}", "null", "null" },
    { "{'e':null}", "{'a':1}", "{'e':null,'a':1}" },
    { "[1,2]", "{'a':'b','c':null}", "{'a':'b'}" },
    { "{}", "{'a':{'bb':{'ccc':null}}}", "{'a':{'bb':{}}}" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      json_t *target = parse (cases[i][0]);
      json_t *patch = parse (cases[i][1]);
      json_t *expected = parse (cases[i][2]);
      json_t *result = json_patch_apply (target, patch);

      g_assert_true (json_equal (result, expected));
      json_decref (target);
      json_decref (patch);
      json_decref (expected);
      json_decref (result);
    }
}

static void
test_diff (void)
{
  json_t *from = parse ("{'a':1,'b':{'c':2,'d':3},'e':4}");
  json_t *to = parse ("{'a':1,'b':{'c':5},'f':{'g':6}}");
  json_t *with_null = parse ("{'a':null}");
  json_t *patch = json_patch_diff (from, to);
  json_t *expected = parse ("{'b':{'c':5,'d':null},'e':null,'f':{'g':6}}");
  g_autoptr (GString) text = g_string_new (NULL);

  g_assert_true (json_equal (patch, expected));
  g_assert_null (json_patch_diff (from, with_null));
  json_patch_describe (from, patch, text);
  g_assert_cmpstr (text->str, ==,
                   "  b.c: 2 -> 5\n  b.d: 3 -> none\n  e: 4 -> none\n"
                   "  f: none -> {\"g\":6}\n");
  json_decref (from);
  json_decref (to);
  json_decref (with_null);
  json_decref (patch);
  json_decref (expected);
}

static void
test_malformed_changes (void)
{
  static const char *const cases[] = {
    "{'kind':'document'}",
    "{'kind':'document','team':'a','base':-1}",
    "{'kind':'document','team':'a','base':1.5}",
    "{'kind':'document','team':7,'base':0}",
    "{'kind':'document','team':'a','base':0,'force':'yes'}",
  };
  struct config_change change;

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      json_t *data = parse (cases[i]);

      g_assert_cmpint (log_record_read_change (data, i, &change, &error), ==,
                       LOG_RECORD_INVALID);
      g_assert_error (error, RADISHCHUTE_ERROR, ERROR_INVALID);
      json_decref (data);
    }
}

static void
test_other_records (void)
{
  static const char *const cases[]
      = { "null", "[]", "7", "{}", "{'kind':'other'}", "{'kind':[]}" };
  struct config_change change;

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      json_t *data = parse (cases[i]);

      g_assert_cmpint (log_record_read_change (data, i, &change, NULL), ==,
                       LOG_RECORD_OTHER);
      json_decref (data);
    }
}

static struct document *
make_document (const char *team, guint n_upstreams, guint64 version)
{
  json_t *upstreams = json_object ();
  json_t *root = json_pack ("{s:s, s:{s:{s:O}}}", "team", team, "services",
                            "s", "upstreams", upstreams);
  struct document *document;

  for (guint i = 0; i < n_upstreams; i++)
    {
      g_autofree char *name = g_strdup_printf ("minion-%u", i);

      json_object_set_new (upstreams, name,
                           json_pack ("{s:s}", "address", "10.0.0.1:9101"));
    }
  document = document_from_json (root, team, NULL);
  document->version = version;
  json_decref (upstreams);
  json_decref (root);
  return document;
}

/* A small change of a large document is a small record.  */
static void
test_patch_is_chosen (void)
{
  struct document *base = make_document ("a", 400, 41);
  json_t *next = log_record_document_to_json (base);
  json_t *record;
  g_autofree char *text = NULL;

  json_object_set_new (next, "weight", json_integer (9));
  record = log_record_format_change (next, base, "e", "me", FALSE);
  text = json_format (record);
  g_assert_cmpuint (strlen (text), <, 200);
  g_assert_cmpint (json_integer_value (json_object_get (record, "base")), ==,
                   41);
  json_decref (record);
  record = log_record_format_change (next, NULL, "e", "me", FALSE);
  g_assert_nonnull (json_object_get (record, "document"));
  json_decref (record);
  json_decref (next);
  document_unref (base);
}

/* A document that no record could hold is not valid.  */
static void
test_too_long (void)
{
  json_t *services = json_object ();
  json_t *root = json_pack ("{s:s, s:O}", "team", "a", "services", services);
  g_autoptr (GError) error = NULL;

  for (guint i = 0; i < 40000; i++)
    {
      g_autofree char *name = g_strdup_printf ("service-%u", i);

      json_object_set_new (services, name, json_pack ("{s:{}}", "upstreams"));
    }
  g_assert_null (document_from_json (root, "long", &error));
  g_assert_nonnull (strstr (error->message, "the limit is 917504"));
  json_decref (services);
  json_decref (root);
}

static struct document *
no_build (struct config_log_driver *driver, const struct config_change *change,
          const struct document *base, GError **error)
{
  g_assert_not_reached ();
}

static void
no_action (struct config_log_driver *driver, struct document *document,
           enum config_source source)
{
}

/* A snapshot of LARGE documents, as parts.  */
static GPtrArray *
make_parts (guint64 upto)
{
  static const struct config_log_driver_ops ops
      = { .build_document = no_build, .document_applied = no_action };
  struct config_log_driver driver = { &ops };
  struct config_log *log = config_log_new (&driver);
  g_autoptr (GPtrArray) documents
      = g_ptr_array_new_with_free_func ((GDestroyNotify)document_unref);
  GPtrArray *parts;

  for (char team[] = "a"; team[0] < 'k'; team[0]++)
    g_ptr_array_add (documents, make_document (team, 6000, 1));
  config_log_restore (log, documents, upto, TRUE, CONFIG_SOURCE_LOG);
  parts = log_record_format_snapshot (log, "id", "entry-1");
  config_log_free (log);
  return parts;
}

static void
add_part (struct snapshot_reader *reader, GPtrArray *parts, guint index)
{
  const char *text = g_ptr_array_index (parts, index);
  json_t *data = json_parse (text, strlen (text), NULL);

  g_assert_cmpuint (strlen (text), <, MAX_RECORD_BYTES);
  snapshot_reader_add (reader, data);
  json_decref (data);
}

/* A snapshot counts once every part was read, in any order, repeats or not. */
static void
test_snapshot_parts (void)
{
  struct snapshot_reader *reader = snapshot_reader_new ();
  g_autoptr (GPtrArray) parts = make_parts (77);

  g_assert_cmpuint (parts->len, >, 2);
  for (guint i = parts->len - 1; i > 0; i--)
    {
      add_part (reader, parts, i);
      add_part (reader, parts, i);
    }
  g_assert_null (snapshot_reader_get_newest (reader));
  add_part (reader, parts, 0);
  g_assert_cmpuint (snapshot_reader_get_newest (reader)->upto, ==, 77);
  g_assert_cmpuint (snapshot_reader_get_newest (reader)->documents->len, ==,
                    10);
  snapshot_reader_free (reader);
}

/* A snapshot with a document that is not valid is no snapshot.  */
static void
test_broken_snapshots (void)
{
#define HEAD "{'kind':'snapshot','upto':5,"
  static const char *const cases[] = {
    HEAD "'id':'x','parts':1,'part':0,'documents':[{}]}",
    HEAD "'id':'x','parts':1,'part':1,'documents':[]}",
    HEAD "'id':'x','parts':0,'part':0,'documents':[]}",
    HEAD "'id':7,'parts':1,'part':0,'documents':[]}",
    HEAD "'id':'x','parts':1,'part':0}",
    "{'kind':'snapshot','id':'x','upto':-5,'parts':1,'part':0}",
    "[]",
  };
#undef HEAD

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct snapshot_reader *reader = snapshot_reader_new ();
      json_t *data = parse (cases[i]);

      snapshot_reader_add (reader, data);
      g_assert_null (snapshot_reader_get_newest (reader));
      json_decref (data);
      snapshot_reader_free (reader);
    }
}

static void
test_odd_answers (void)
{
  static const char *const cases[] = {
    "[]",
    "{}",
    "{'first':0,'next':5}",
    "{'first':0,'next':'5','records':[]}",
    "{'first':-1,'next':5,'records':[]}",
    "{'first':0,'next':5,'records':{}}",
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      struct log_answer answer;
      json_t *root = parse (cases[i]);

      g_assert_false (log_answer_read (200, root, &answer, &error));
      g_assert_error (error, RADISHCHUTE_ERROR, ERROR_UNAVAILABLE);
      json_decref (root);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-record/rfc7396-examples", test_rfc7396_examples);
  g_test_add_func ("/log-record/diff", test_diff);
  g_test_add_func ("/log-record/malformed-changes", test_malformed_changes);
  g_test_add_func ("/log-record/other-records", test_other_records);
  g_test_add_func ("/log-record/patch-is-chosen", test_patch_is_chosen);
  g_test_add_func ("/log-record/too-long", test_too_long);
  g_test_add_func ("/log-record/snapshot-parts", test_snapshot_parts);
  g_test_add_func ("/log-record/broken-snapshots", test_broken_snapshots);
  g_test_add_func ("/log-record/odd-answers", test_odd_answers);
  return g_test_run ();
}
