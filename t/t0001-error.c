#include "base/error.h"

static void
test_names_round_trip (void)
{
  for (int i = 0; i < ERROR_KIND_COUNT; i++)
    {
      const char *name = error_kind_name ((enum error_kind)i);

      g_assert_cmpint (error_kind_from_name (name), ==, i);
    }
  g_assert_cmpint (error_kind_from_name ("nonsense"), ==, -1);
}

static void
test_status_is_an_error (void)
{
  for (int i = 0; i < ERROR_KIND_COUNT; i++)
    g_assert_cmpuint (error_kind_http_status ((enum error_kind)i), >=, 400);
}

static void
test_foreign_domain_is_unavailable (void)
{
  g_autoptr (GError) error = g_error_new (G_FILE_ERROR, 1, "gone");

  g_assert_cmpint (error_get_kind (error), ==, ERROR_UNAVAILABLE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/error/names-round-trip", test_names_round_trip);
  g_test_add_func ("/error/status", test_status_is_an_error);
  g_test_add_func ("/error/foreign-domain",
                   test_foreign_domain_is_unavailable);
  return g_test_run ();
}
