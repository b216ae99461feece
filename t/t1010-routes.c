/* Which route a caller's request belongs to.  */
#include "state/route.h"

static void
add (struct route_table *table, const char *host, const char *prefix,
     const char *name)
{
  struct route *route = route_table_add (table, host, prefix);

  g_free (route->name);
  route->name = g_strdup (name);
}

static struct route_table *
make_table (void)
{
  struct route_table *table = route_table_new (7);

  add (table, "one.example", "/a/", "short");
  return table;
}

/* Asserts that the route of HOST and PATH is called NAME; NULL for none.  */
static void
expect (const struct route_table *table, const char *host, const char *path,
        const char *name)
{
  const struct route *route = route_table_find (table, host, path);

  g_assert_cmpstr (route != NULL ? route->name : NULL, ==, name);
}

/* In whatever order they were added.  */
static void
test_longest_prefix (void)
{
  struct route_table *table = make_table ();

  add (table, "one.example", "/a/b/c/", "longest");
  add (table, "one.example", "/a/b/", "longer");
  expect (table, "one.example", "/a/1", "short");
  expect (table, "one.example", "/a/b/1", "longer");
  expect (table, "one.example", "/a/b/c/1", "longest");
  expect (table, "one.example", "/a/b/c", "longer");
  expect (table, "one.example", "/a/", "short");
  route_table_unref (table);
}

static void
test_hosts (void)
{
  struct route_table *table = make_table ();

  add (table, "Two.Example:8080", "/a/", "second");
  expect (table, "one.example:80", "/a/1", "short");
  expect (table, "ONE.Example", "/a/1", "short");
  expect (table, "One.example:65535", "/a/1", "short");
  expect (table, "two.example", "/a/1", "second");
  expect (table, "TWO.EXAMPLE:1", "/a/1", "second");
  route_table_unref (table);
}

static void
test_none (void)
{
  struct route_table *table = make_table ();
  struct route_table *empty = route_table_new (1);

  expect (table, "one.example", "/", NULL);
  expect (table, "one.example", "/a", NULL);
  expect (table, "one.example", "", NULL);
  expect (table, "one.example", "/A/1", NULL);
  expect (table, "one.example.", "/a/1", NULL);
  expect (table, "", "/a/1", NULL);
  expect (table, ":80", "/a/1", NULL);
  expect (empty, "one.example", "/a/1", NULL);
  route_table_unref (table);
  route_table_unref (empty);
}

static void
test_services (void)
{
  struct route_table *table = route_table_new (2);
  struct route *route = route_table_add (table, "h", "/");

  g_assert_cmpuint (route->attempts, ==, 1);
  g_free (route->service);
  route->service = g_strdup ("render");
  g_assert_true (route_table_has_service (table, "render"));
  g_assert_false (route_table_has_service (table, "rende"));
  g_assert_false (route_table_has_service (table, ""));
  route_table_unref (table);
}

/* A table that is still used outlives the one who made it.  */
static void
test_references (void)
{
  struct route_table *table = make_table ();
  struct route_table *kept = route_table_ref (table);

  route_table_unref (table);
  g_assert_cmpuint (kept->version, ==, 7);
  expect (kept, "one.example", "/a/1", "short");
  route_table_unref (kept);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/routes/longest-prefix", test_longest_prefix);
  g_test_add_func ("/routes/hosts", test_hosts);
  g_test_add_func ("/routes/none", test_none);
  g_test_add_func ("/routes/services", test_services);
  g_test_add_func ("/routes/references", test_references);
  return g_test_run ();
}
