/* Entries of upstreams: what is read, and that anything else is none.  */
#include "platform/service_entry.h"

#include "protocol/json_read.h"

#include <math.h>
#include <string.h>

/* Single quotes stand for double ones.  */
#define WHOLE                                                                 \
  "{'service':'s','addr':'10.0.0.9:8080','zone':'z','version':'v1',"          \
  "'slots':8,'state':'ready','warmupLeftMs':0,'capacity':{'cpu':16500,"       \
  "'memMb':32768,'gpu':2},'labels':['a','r1-3'],'clockMs':482113,'seq':4,"    \
  "'born':1764799000123}"

static struct service_entry *
parse_bytes (const void *bytes, gsize size)
{
  g_autoptr (GBytes) text = g_bytes_new (bytes, size);

  return service_entry_parse ("i-1", text);
}

static struct service_entry *
parse (const char *text)
{
  g_autofree char *json = g_strdelimit (g_strdup (text), "'", '"');

  return parse_bytes (json, strlen (json));
}

/* A whole entry in which MEMBER has the JSON value VALUE, or is missing when
   that is NULL.  */
static struct service_entry *
parse_changed (const char *member, const char *value)
{
  g_autofree char *whole = g_strdelimit (g_strdup (WHOLE), "'", '"');
  json_t *root = json_parse (whole, strlen (whole), NULL);
  g_autofree char *text = NULL;

  if (value == NULL)
    json_object_del (root, member);
  else
    {
      g_autofree char *json = g_strdelimit (g_strdup (value), "'", '"');

      json_object_set_new (root, member,
                           json_parse (json, strlen (json), NULL));
    }
  text = json_format (root);
  json_decref (root);
  return parse_bytes (text, strlen (text));
}

static void
test_whole_entry (void)
{
  struct service_entry *entry = parse (WHOLE);

  g_assert_nonnull (entry);
  g_assert_cmpstr (entry->spec.id, ==, "i-1");
  g_assert_cmpstr (entry->spec.address, ==, "10.0.0.9:8080");
  g_assert_cmpstr (entry->spec.service, ==, "s");
  g_assert_cmpstr (entry->spec.availability_zone, ==, "z");
  g_assert_cmpstr (entry->spec.rack, ==, "r1-3");
  g_assert_cmpstr (entry->spec.labels[0], ==, "a");
  g_assert_cmpstr (entry->spec.labels[1], ==, "r1-3");
  g_assert_null (entry->spec.labels[2]);
  g_assert_true (fabs (entry->spec.shape.cpus - 16.5) < 1e-9);
  g_assert_cmpuint (entry->spec.shape.memory_mb, ==, 32768);
  g_assert_cmpuint (entry->spec.shape.accelerators, ==, 2);
  g_assert_cmpint (entry->spec.instance_start_ms, ==,
                   G_GINT64_CONSTANT (1764799000123));
  g_assert_false (entry->spec.is_leaving);
  service_entry_free (entry);
}

static void
test_draining (void)
{
  struct service_entry *entry = parse_changed ("state", "'draining'");

  g_assert_nonnull (entry);
  g_assert_true (entry->spec.is_leaving);
  service_entry_free (entry);
}

static void
expect_rack (const char *labels, const char *rack)
{
  struct service_entry *entry = parse_changed ("labels", labels);

  g_assert_nonnull (entry);
  g_assert_cmpstr (entry->spec.rack, ==, rack);
  service_entry_free (entry);
}

static void
test_racks (void)
{
  expect_rack ("['r12-30','b']", "r12-30");
  expect_rack ("[]", "");
  expect_rack ("['rack','r1','r-1','r1-','r1-2x','xr1-2','']", "");
}

static void
test_foreign_entries (void)
{
  static const char *const changes[][2] = {
    { "service", NULL },
    { "service", "7" },
    { "service", "''" },
    { "addr", NULL },
    { "addr", "'host:80'" },
    { "addr", "'10.0.0.9'" },
    { "addr", "'10.0.0.9:0'" },
    { "addr", "'10.0.0.9:99999'" },
    { "addr", "[]" },
    { "zone", NULL },
    { "zone", "null" },
    { "version", NULL },
    { "version", "1" },
    { "slots", NULL },
    { "slots", "'8'" },
    { "slots", "-1" },
    { "state", NULL },
    { "state", "'resting'" },
    { "state", "1" },
    { "warmupLeftMs", NULL },
    { "warmupLeftMs", "'0'" },
    { "capacity", NULL },
    { "capacity", "16000" },
    { "capacity", "{}" },
    { "capacity", "{'cpu':'16','memMb':1,'gpu':0}" },
    { "capacity", "{'cpu':-1,'memMb':1,'gpu':0}" },
    { "capacity", "{'cpu':1,'memMb':1,'gpu':'0'}" },
    { "capacity", "{'cpu':1,'memMb':1,'gpu':null}" },
    { "capacity", "{'cpu':-0.5,'memMb':1,'gpu':0}" },
    { "capacity", "{'cpu':1e300,'memMb':1,'gpu':0}" },
    { "capacity", "{'cpu':1000000001,'memMb':1,'gpu':0}" },
    { "capacity", "{'cpu':1,'memMb':4294967297,'gpu':0}" },
    { "capacity", "{'cpu':true,'memMb':1,'gpu':0}" },
    { "capacity", "{'memMb':1,'gpu':0}" },
    { "capacity", "{'cpu':1,'gpu':0}" },
    { "labels", NULL },
    { "labels", "'r1-3'" },
    { "labels", "[1]" },
    { "seq", NULL },
    { "seq", "'4'" },
    { "born", "'1764799000123'" },
    { "born", "1.5" },
    { "born", "-1" },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (changes); i++)
    if (parse_changed (changes[i][0], changes[i][1]) != NULL)
      g_error ("'%s' as %s was taken", changes[i][0], changes[i][1]);
}

static void
test_unreadable_bytes (void)
{
  static const char noise[] = { '\xff', '\0', '{', '\x80', '"' };
  g_autofree char *whole = g_strdelimit (g_strdup (WHOLE), "'", '"');

  g_assert_null (parse_bytes (noise, sizeof noise));
  g_assert_null (parse (""));
  g_assert_null (parse ("[]"));
  g_assert_null (parse ("'ready'"));
  for (gsize n = 0; n < strlen (whole); n++)
    g_assert_null (parse_bytes (whole, n));
}

static void
expect_equal (const char *member, const char *value, gboolean is_equal)
{
  struct service_entry *a = parse (WHOLE);
  struct service_entry *b = parse_changed (member, value);

  g_assert_nonnull (b);
  g_assert_cmpint (service_entry_equals (a, b), ==, is_equal);
  service_entry_free (a);
  service_entry_free (b);
}

/* Heartbeats change what nobody is told.  */
static void
test_equality (void)
{
  expect_equal ("seq", "5", TRUE);
  expect_equal ("clockMs", "5", TRUE);
  expect_equal ("warmupLeftMs", "5", FALSE);
  expect_equal ("born", "5", FALSE);
  expect_equal ("state", "'draining'", FALSE);
  expect_equal ("addr", "'10.0.0.9:8081'", FALSE);
  expect_equal ("labels", "['a']", FALSE);
  expect_equal ("capacity", "{'cpu':16501,'memMb':32768,'gpu':2}", FALSE);
}

/* Guards against starts on a capacity that no longer holds because the entry
   that shows less of it gives a fraction: parts of a unit don't count.  */
static void
test_fractions (void)
{
  struct service_entry *entry
      = parse_changed ("capacity", "{'cpu':1999.9,'memMb':511.5,'gpu':0.5}");

  g_assert_nonnull (entry);
  g_assert_cmpfloat_with_epsilon (entry->spec.shape.cpus, 1.999, 1e-9);
  g_assert_cmpuint (entry->spec.shape.memory_mb, ==, 511);
  g_assert_cmpuint (entry->spec.shape.accelerators, ==, 0);
  service_entry_free (entry);
}

/* Guards against an upstream that keeps its former capacity when it has none
   left in one dimension.  */
static void
test_no_capacity (void)
{
  struct service_entry *entry
      = parse_changed ("capacity", "{'cpu':0,'memMb':0}");

  g_assert_nonnull (entry);
  g_assert_cmpfloat (entry->spec.shape.cpus, ==, 0);
  g_assert_cmpuint (entry->spec.shape.memory_mb, ==, 0);
  g_assert_cmpuint (entry->spec.shape.accelerators, ==, 0);
  service_entry_free (entry);
}

/* Guards against starts that exceed a capacity that has shrunk by one
   thousandth of a CPU.  */
static void
test_small_shrink (void)
{
  for (guint milli_cpus = 1; milli_cpus < 20000; milli_cpus++)
    {
      struct service_entry a = { .spec.shape.cpus = milli_cpus / 1000.0 };
      struct service_entry b
          = { .spec.shape.cpus = (milli_cpus - 1) / 1000.0 };

      a.strings = b.strings = a.labels = b.labels = (char *[]){ NULL };
      g_assert_false (service_entry_equals (&a, &b));
      g_assert_true (service_entry_equals (&a, &a));
    }
}

/* How long an upstream is still slower is told once, not with each
   heartbeat.  */
static void
test_warm_up (void)
{
  struct service_entry *a = parse_changed ("warmupLeftMs", "4000");
  struct service_entry *b = parse_changed ("warmupLeftMs", "2500");

  g_assert_cmpuint (a->warm_up_ms, ==, 4000);
  g_assert_true (service_entry_equals (a, b));
  service_entry_free (a);
  service_entry_free (b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/service-entry/whole", test_whole_entry);
  g_test_add_func ("/service-entry/draining", test_draining);
  g_test_add_func ("/service-entry/racks", test_racks);
  g_test_add_func ("/service-entry/foreign", test_foreign_entries);
  g_test_add_func ("/service-entry/unreadable", test_unreadable_bytes);
  g_test_add_func ("/service-entry/equality", test_equality);
  g_test_add_func ("/service-entry/fractions", test_fractions);
  g_test_add_func ("/service-entry/no-capacity", test_no_capacity);
  g_test_add_func ("/service-entry/small-shrink", test_small_shrink);
  g_test_add_func ("/service-entry/warm-up", test_warm_up);
  return g_test_run ();
}
