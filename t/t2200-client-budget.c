/*
 * Clients that do not behave share a part of the machine, and give way in
 * order.  Without this, crowds of them run a process out of memory.
 */
#include "coordination/client_budget.h"

#define MB (1024 * 1024)
#define CONNECTION_BYTES 40960

static void
init (struct client_budget *budget, guint64 memory_mb, guint descriptors,
      guint max_callers)
{
  const struct machine_limits limits = { memory_mb * MB, descriptors };

  client_budget_init (budget, &limits, max_callers);
}

static void
add (struct client_budget *budget, struct client *client,
     enum client_class class)
{
  client->class = class;
  client->connection_bytes = CONNECTION_BYTES;
  client_budget_add (budget, client);
}

/* The operators' smallest machine has room for the default number of callers,
   and for the longest body of a job from each of a few hundred at once.  */
static void
test_shares (void)
{
  struct client_budget budget;

  init (&budget, 260, 4100, 3000);
  g_assert_cmpuint (budget.max_connections[CLIENT_CALLERS], ==, 3000);
  g_assert_cmpuint (budget.max_bytes, ==, 130 * MB);
  g_assert_cmpuint (client_budget_get_max_body (&budget, 256 * 1024), ==,
                    256 * 1024);
  g_assert_cmpuint (client_budget_get_max_values (&budget), >, 256 * 1024 / 2);
  init (&budget, 64, 192, 3000);
  g_assert_cmpuint (budget.max_connections[CLIENT_CALLERS]
                        + budget.max_connections[CLIENT_READINESS]
                        + budget.max_connections[CLIENT_METRICS],
                    ==, 192 - 96);
  init (&budget, 64, 100, 3000);
  g_assert_cmpuint (budget.max_connections[CLIENT_CALLERS]
                        + budget.max_connections[CLIENT_READINESS]
                        + budget.max_connections[CLIENT_METRICS],
                    ==, 50);
  init (&budget, 1, 1, 1);
  for (guint i = 0; i < CLIENT_N_CLASSES; i++)
    g_assert_cmpuint (budget.max_connections[i], ==, 1);
}

/* A crowd of callers leaves the checks of readiness and scrapes their
   connections.  */
static void
test_classes (void)
{
  struct client_budget budget;
  struct client callers[200];
  guint n = 0;

  init (&budget, 64, 192, 3000);
  while (client_budget_has_room (&budget, CLIENT_CALLERS, CONNECTION_BYTES))
    add (&budget, &callers[n++], CLIENT_CALLERS);
  g_assert_cmpuint (n, ==, budget.max_connections[CLIENT_CALLERS]);
  g_assert_true (
      client_budget_has_room (&budget, CLIENT_READINESS, CONNECTION_BYTES));
  g_assert_null (client_budget_choose (&budget, CLIENT_METRICS));
  g_assert_true (client_budget_choose (&budget, CLIENT_CALLERS)
                 == &callers[0]);
}

/* Callers' bodies neither keep a check of readiness out nor close its idle
   connection.  */
static void
test_memory_of_callers (void)
{
  struct client_budget budget;
  struct client caller;
  struct client check;

  init (&budget, 64, 192, 3000);
  add (&budget, &check, CLIENT_READINESS);
  client_budget_set_state (&budget, &check, CLIENT_IDLE);
  add (&budget, &caller, CLIENT_CALLERS);
  client_budget_set_bytes (&budget, &caller, budget.max_bytes);
  g_assert_false (
      client_budget_has_room (&budget, CLIENT_CALLERS, CONNECTION_BYTES));
  g_assert_true (
      client_budget_has_room (&budget, CLIENT_READINESS, CONNECTION_BYTES));
  g_assert_false (client_budget_may_grow (&budget, CLIENT_CALLERS, 1));
  g_assert_true (client_budget_may_grow (&budget, CLIENT_READINESS, 1));
  g_assert_true (client_budget_choose (&budget, CLIENT_CALLERS) == &caller);
  client_budget_remove (&budget, &check);
  client_budget_remove (&budget, &caller);
  g_assert_cmpuint (budget.n_bytes, ==, 0);
  g_assert_cmpuint (client_budget_count (&budget), ==, 0);
}

static void
assert_next (struct client_budget *budget, struct client *client)
{
  g_assert_true (client_budget_choose (budget, CLIENT_CALLERS) == client);
  client_budget_end (budget, client);
}

/* A request that is being answered never gives way: its tasks run.  */
static void
test_order (void)
{
  struct client_budget budget;
  struct client clients[7];

  init (&budget, 64, 1024, 3000);
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    add (&budget, &clients[i], CLIENT_CALLERS);
  client_budget_set_bytes (&budget, &clients[0], 100);
  client_budget_set_state (&budget, &clients[1], CLIENT_ANSWERING);
  client_budget_set_bytes (&budget, &clients[2], 300);
  client_budget_set_state (&budget, &clients[4], CLIENT_IDLE);
  client_budget_set_state (&budget, &clients[3], CLIENT_IDLE);
  client_budget_set_state (&budget, &clients[5], CLIENT_CLOSING);
  client_budget_set_state (&budget, &clients[6], CLIENT_UNREAD);
  assert_next (&budget, &clients[5]);
  assert_next (&budget, &clients[4]);
  assert_next (&budget, &clients[3]);
  assert_next (&budget, &clients[6]);
  assert_next (&budget, &clients[2]);
  assert_next (&budget, &clients[0]);
  g_assert_null (client_budget_choose (&budget, CLIENT_CALLERS));
  g_assert_cmpuint (budget.n_bytes, ==, CONNECTION_BYTES);
  g_assert_cmpuint (client_budget_count (&budget), ==, 7);
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    client_budget_remove (&budget, &clients[i]);
  g_assert_cmpuint (budget.n_bytes, ==, 0);
}

/* The process's own limits count when they are lower than the settings.  */
static void
test_machine (void)
{
  struct machine_limits limits;
  struct machine_limits lower;

  machine_limits_read (&limits, 0, 0);
  machine_limits_read (&lower, 1, 7);
  g_assert_cmpuint (limits.memory_bytes, >, MB);
  g_assert_cmpuint (limits.descriptors, >, 7);
  g_assert_cmpuint (lower.memory_bytes, ==, MB);
  g_assert_cmpuint (lower.descriptors, ==, 7);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/client-budget/shares", test_shares);
  g_test_add_func ("/client-budget/classes", test_classes);
  g_test_add_func ("/client-budget/memory-of-callers", test_memory_of_callers);
  g_test_add_func ("/client-budget/order", test_order);
  g_test_add_func ("/client-budget/machine", test_machine);
  return g_test_run ();
}
