/*
 * A caller's connection serves one request after the other, so that a burst
 * of jobs over a slow link does not pay a handshake for each.
 */
#include "t/support/deployment.h"
#include "t/support/http.h"

static void
test_caller_connection_kept (void)
{
  struct deployment *d = deployment_start (1, 1);

  g_assert_cmpuint (
      http_count_on_one_connection (d->entries[0]->ports[0], "/v1/state", 5),
      ==, 5);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/keep-alive/caller", test_caller_connection_kept);
  return g_test_run ();
}
