/* How a home spreads tasks over owners.  */
#include "coordination/spread.h"

/* Owners in the order of the list, for short tests.  */
enum
{
  FAR,
  NEAR,
  SELF,
  N_OWNERS
};

/* spread_assign () of N_TASKS of 100 ms each, of the priority 1.  */
static gint64
assign (struct spread_owner *owners, guint n_owners, guint n_tasks,
        guint64 seed)
{
  struct spread_tasks tasks = { .n = n_tasks, .run_ms = 100, .priority = 1 };

  return spread_assign (owners, n_owners, &tasks, seed);
}

static void
fill (struct spread_owner owners[N_OWNERS], guint n_slots, guint free_slots)
{
  for (guint i = 0; i < N_OWNERS; i++)
    owners[i] = (struct spread_owner){
      .name = "entry",
      .is_self = i == SELF,
      .is_local = i != FAR,
      .room = { .n_slots = n_slots },
      .free_slots = free_slots,
      .n_given = 99, /* of an earlier use */
    };
}

static void
assert_given (const struct spread_owner owners[N_OWNERS], guint self,
              guint near, guint far)
{
  g_assert_cmpuint (owners[SELF].n_given, ==, self);
  g_assert_cmpuint (owners[NEAR].n_given, ==, near);
  g_assert_cmpuint (owners[FAR].n_given, ==, far);
}

static void
test_nearest_first (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 4, 4);
  g_assert_cmpint (assign (owners, N_OWNERS, 3, 1), ==, 0);
  assert_given (owners, 3, 0, 0);
  owners[SELF].free_slots = 0;
  g_assert_cmpint (assign (owners, N_OWNERS, 3, 1), ==, 0);
  assert_given (owners, 0, 3, 0);
  /* Slots for which tasks wait already are not free.  */
  owners[NEAR].room.n_queued[1] = 4;
  g_assert_cmpint (assign (owners, N_OWNERS, 3, 1), ==, 0);
  assert_given (owners, 0, 0, 3);
}

static void
test_split (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 4, 4);
  g_assert_cmpint (assign (owners, N_OWNERS, 10, 1), ==, 0);
  assert_given (owners, 4, 4, 2);
}

/* Of equally near owners each gets its share of what is free, by the seed. */
static void
test_drawn (void)
{
  struct spread_owner owners[N_OWNERS];
  guint n_self = 0;

  fill (owners, 9, 2);
  owners[SELF].is_self = FALSE;
  owners[SELF].free_slots = 6;
  for (guint seed = 0; seed < 1000; seed++)
    {
      g_assert_cmpint (assign (owners, N_OWNERS, 1, seed), ==, 0);
      g_assert_cmpuint (owners[FAR].n_given, ==, 0);
      g_assert_cmpuint (owners[NEAR].n_given + owners[SELF].n_given, ==, 1);
      n_self += owners[SELF].n_given;
    }
  g_assert_cmpuint (n_self, >, 650);
  g_assert_cmpuint (n_self, <, 850);
}

/* Only a part of the free slots of another VM is filled at a time.  */
static void
test_shared (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 9, 8);
  owners[SELF].free_slots = 0;
  g_assert_cmpint (assign (owners, N_OWNERS, 4, 1), ==, 0);
  assert_given (owners, 0, 4, 0);
  g_assert_false (owners[NEAR].has_queued);
}

/* Homes with the same news do not all choose the same queue.  */
static void
test_compared (void)
{
  struct spread_owner owners[20];
  guint n_shortest = 0;

  for (guint i = 0; i < G_N_ELEMENTS (owners); i++)
    owners[i] = (struct spread_owner){
      .name = "entry", .room = { .n_slots = 1, .n_queued = { i + 1 } }
    };
  for (guint seed = 0; seed < 1000; seed++)
    {
      g_assert_cmpint (assign (owners, G_N_ELEMENTS (owners), 3, seed), >, 0);
      n_shortest += owners[0].n_given > 0 ? 1 : 0;
    }
  g_assert_cmpuint (n_shortest, >, 100);
  g_assert_cmpuint (n_shortest, <, 300);
}

static void
test_shortest_queue (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 2, 0);
  owners[SELF].room.n_queued[0] = 10;
  owners[NEAR].room.n_queued[0] = 6;
  owners[FAR].room.n_queued[0] = 2;
  g_assert_cmpint (assign (owners, N_OWNERS, 1, 1), ==, 150);
  assert_given (owners, 0, 0, 1);
  /* All of a job goes to one queue, the one that is shortest with it.  */
  g_assert_cmpint (assign (owners, N_OWNERS, 5, 1), ==, 350);
  assert_given (owners, 0, 0, 5);
  owners[NEAR].room.n_slots = 8;
  g_assert_cmpint (assign (owners, N_OWNERS, 5, 1), ==, 137);
  assert_given (owners, 0, 5, 0);
}

/* Burst of one kind: an urgent job passes the queues of less urgent ones,
   which wait for what it leaves.  */
static void
test_priorities (void)
{
  struct spread_owner owners[N_OWNERS];
  struct spread_tasks urgent = { .n = 2, .run_ms = 100, .priority = 0 };
  struct spread_tasks usual = { .n = 2, .run_ms = 100, .priority = 1 };

  fill (owners, 10, 0);
  for (guint i = 0; i < N_OWNERS; i++)
    {
      owners[i].room.n_queued[1] = 20;
      owners[i].room.starts_per_s[0] = 50;
      owners[i].room.starts_per_s[1] = 50;
    }
  g_assert_cmpint (spread_assign (owners, N_OWNERS, &urgent, 1), ==, 20);
  g_assert_cmpint (spread_assign (owners, N_OWNERS, &usual, 1), ==, 440);
}

/* More slots drain the same queue faster.  */
static void
test_wider_queue (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 2, 0);
  for (guint i = 0; i < N_OWNERS; i++)
    owners[i].room.n_queued[0] = 10;
  owners[FAR].room.n_slots = 20;
  g_assert_cmpint (assign (owners, N_OWNERS, 1, 1), ==, 55);
  assert_given (owners, 0, 0, 1);
}

/* What is left over when all slots are taken is queued.  */
static void
test_free_then_queued (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 4, 4);
  g_assert_cmpint (assign (owners, N_OWNERS, 15, 1), ==, 125);
  assert_given (owners, 5, 5, 5);
}

static void
test_none (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 0, 0);
  g_assert_cmpint (assign (owners, N_OWNERS, 1, 1), ==, -1);
  assert_given (owners, 0, 0, 0);
  g_assert_cmpint (assign (NULL, 0, 1, 1), ==, -1);
  g_assert_cmpint (assign (owners, N_OWNERS, 0, 1), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/spread/nearest-first", test_nearest_first);
  g_test_add_func ("/spread/split", test_split);
  g_test_add_func ("/spread/drawn", test_drawn);
  g_test_add_func ("/spread/shared", test_shared);
  g_test_add_func ("/spread/compared", test_compared);
  g_test_add_func ("/spread/shortest-queue", test_shortest_queue);
  g_test_add_func ("/spread/priorities", test_priorities);
  g_test_add_func ("/spread/wider-queue", test_wider_queue);
  g_test_add_func ("/spread/free-then-queued", test_free_then_queued);
  g_test_add_func ("/spread/none", test_none);
  return g_test_run ();
}
