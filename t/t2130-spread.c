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
static struct spread_offer
assign (struct spread_owner *owners, guint n_owners, guint n_tasks,
        guint64 seed)
{
  struct spread_tasks tasks = {
    .n = n_tasks, .run_ms = 100, .priority = 1, .max_offers = SPREAD_OFFERS_MAX
  };

  return spread_assign (owners, n_owners, &tasks, seed);
}

/* All tasks of an assignment have found free slots.  */
static void
assert_all_given (struct spread_offer offer)
{
  g_assert_cmpuint (offer.n_tasks, ==, 0);
  g_assert_cmpuint (offer.n_offers, ==, 0);
  g_assert_cmpint (offer.wait_ms, ==, 0);
}

static guint
count_offers (const struct spread_owner *owners, guint n_owners)
{
  guint n = 0;

  for (guint i = 0; i < n_owners; i++)
    n += owners[i].is_offered ? 1 : 0;
  return n;
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
      .n_given = 99, /* of an earlier use, as the next one */
      .is_offered = TRUE,
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
  assert_all_given (assign (owners, N_OWNERS, 3, 1));
  assert_given (owners, 3, 0, 0);
  owners[SELF].free_slots = 0;
  assert_all_given (assign (owners, N_OWNERS, 3, 1));
  assert_given (owners, 0, 3, 0);
  /* Slots for which tasks wait already are not free.  */
  owners[NEAR].room.n_queued[1] = 4;
  assert_all_given (assign (owners, N_OWNERS, 3, 1));
  assert_given (owners, 0, 0, 3);
}

static void
test_split (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 4, 4);
  assert_all_given (assign (owners, N_OWNERS, 10, 1));
  assert_given (owners, 4, 4, 2);
}

/* A job that can only be late gets free slots for all its tasks or for none:
   the rest of one that has begun would go before jobs in time.  */
static void
test_late_whole (void)
{
  struct spread_tasks late = {
    .n = 12, .run_ms = 100, .is_late = TRUE, .max_offers = SPREAD_OFFERS_MAX
  };
  struct spread_owner owners[N_OWNERS];
  struct spread_offer offer;

  fill (owners, 4, 4);
  assert_all_given (spread_assign (owners, N_OWNERS, &late, 1));
  assert_given (owners, 4, 4, 4);
  late.n = 13;
  offer = spread_assign (owners, N_OWNERS, &late, 1);
  assert_given (owners, 0, 0, 0);
  g_assert_cmpuint (offer.n_tasks, ==, 13);
  g_assert_cmpuint (offer.n_offers, ==, N_OWNERS);
  g_assert_cmpint (offer.wait_ms, ==, 13 * 100 / 12);
  /* All that are in time go before it, whatever its priority.  */
  owners[FAR].room.n_queued[2] = 12;
  offer = spread_assign (owners, N_OWNERS, &late, 1);
  g_assert_cmpint (offer.wait_ms, ==, 25 * 100 / 12);
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
      assert_all_given (assign (owners, N_OWNERS, 1, seed));
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
  assert_all_given (assign (owners, N_OWNERS, 4, 1));
  assert_given (owners, 0, 4, 0);
  g_assert_cmpuint (count_offers (owners, N_OWNERS), ==, 0);
}

#define N_MANY 20

/* Owners that differ in their queues: the first has the shortest.  */
static void
fill_many (struct spread_owner owners[N_MANY])
{
  for (guint i = 0; i < N_MANY; i++)
    owners[i] = (struct spread_owner){
      .name = "entry", .room = { .n_slots = 1, .n_queued = { i + 1 } }
    };
}

/* The shortest queue among the owners that tasks are offered to.  */
static guint
find_shortest_offered (const struct spread_owner owners[N_MANY])
{
  guint shortest = G_MAXUINT;

  for (guint i = 0; i < N_MANY; i++)
    if (owners[i].is_offered)
      shortest = MIN (shortest, owners[i].room.n_queued[0]);
  return shortest;
}

/* Homes with the same news do not all offer to the same owners, but to good
   ones: to the best of a sample of eight of twenty.  */
static void
test_sampled (void)
{
  guint n_shortest = 0;

  for (guint seed = 0; seed < 1000; seed++)
    {
      struct spread_owner owners[N_MANY];
      struct spread_offer offer;

      fill_many (owners);
      offer = assign (owners, N_MANY, 3, seed);
      g_assert_cmpuint (offer.n_tasks, ==, 3);
      g_assert_cmpint (offer.wait_ms, >, 0);
      g_assert_cmpuint (offer.n_offers, ==, SPREAD_OFFERS_MAX);
      g_assert_cmpuint (count_offers (owners, N_MANY), ==, SPREAD_OFFERS_MAX);
      g_assert_cmpuint (find_shortest_offered (owners), <=, 13);
      n_shortest += find_shortest_offered (owners) == 1 ? 1 : 0;
    }
  g_assert_cmpuint (n_shortest, >, 300);
  g_assert_cmpuint (n_shortest, <, 500);
}

/* Tasks are offered where the wait is shortest; none is given.  */
static void
test_shortest_queues (void)
{
  struct spread_owner owners[6];
  struct spread_offer offer;

  for (guint i = 0; i < G_N_ELEMENTS (owners); i++)
    owners[i] = (struct spread_owner){
      .name = "entry", .room = { .n_slots = 2, .n_queued = { 2 * i } }
    };
  owners[5].room.n_slots = 200;
  offer = assign (owners, G_N_ELEMENTS (owners), 4, 1);
  g_assert_cmpuint (offer.n_tasks, ==, 4);
  g_assert_cmpuint (offer.n_offers, ==, SPREAD_OFFERS_MAX);
  for (guint i = 0; i < G_N_ELEMENTS (owners); i++)
    {
      guint n_queued = owners[i].room.n_queued[0];

      g_assert_cmpuint (owners[i].n_given, ==, 0);
      g_assert_cmpint (owners[i].is_offered, ==,
                       n_queued <= 4 || n_queued == 10);
    }
}

/* With equal waits the nearest owners are taken.  */
static void
test_nearest_offered (void)
{
  struct spread_owner owners[6];

  for (guint i = 0; i < G_N_ELEMENTS (owners); i++)
    owners[i] = (struct spread_owner){
      .name = "entry",
      .is_self = i == 3,
      .is_local = i >= 2,
      .room = { .n_slots = 2 },
      .free_slots = 0,
    };
  assign (owners, G_N_ELEMENTS (owners), 4, 1);
  for (guint i = 0; i < G_N_ELEMENTS (owners); i++)
    g_assert_cmpint (owners[i].is_offered, ==, owners[i].is_local);
}

/* The owners that tasks are offered to work off their queues together.  */
static void
test_pooled_wait (void)
{
  struct spread_owner owners[N_OWNERS];
  struct spread_offer offer;

  fill (owners, 2, 0);
  owners[SELF].room.n_queued[0] = 10;
  owners[NEAR].room.n_queued[0] = 6;
  owners[FAR].room.n_queued[0] = 2;
  offer = assign (owners, N_OWNERS, 1, 1);
  g_assert_cmpuint (offer.n_offers, ==, N_OWNERS);
  g_assert_cmpint (offer.wait_ms, ==, 19 * 100 / 6);
  offer = assign (owners, N_OWNERS, 6, 1);
  g_assert_cmpint (offer.wait_ms, ==, 24 * 100 / 6);
  owners[NEAR].room.n_slots = 20;
  offer = assign (owners, N_OWNERS, 6, 1);
  g_assert_cmpint (offer.wait_ms, ==, 24 * 100 / 24);
}

/* A quiet second before a wave: tasks leave the queues as runs end, however
   few were started lately.  */
static void
test_expected_ends (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 10, 0);
  for (guint i = 0; i < N_OWNERS; i++)
    {
      owners[i].room.starts_per_s[1] = 1;
      owners[i].room.ends_per_s = 100;
    }
  g_assert_cmpint (assign (owners, N_OWNERS, 30, 1).wait_ms, ==, 100);
}

/* Burst of one kind: an urgent job passes the queues of less urgent ones,
   which wait for what it leaves.  */
static void
test_priorities (void)
{
  struct spread_owner owners[N_OWNERS];
  struct spread_tasks urgent = {
    .n = 6, .run_ms = 100, .priority = 0, .max_offers = SPREAD_OFFERS_MAX
  };
  struct spread_tasks usual = {
    .n = 6, .run_ms = 100, .priority = 1, .max_offers = SPREAD_OFFERS_MAX
  };

  fill (owners, 10, 0);
  for (guint i = 0; i < N_OWNERS; i++)
    {
      owners[i].room.n_queued[1] = 20;
      owners[i].room.starts_per_s[0] = 50;
      owners[i].room.starts_per_s[1] = 50;
    }
  g_assert_cmpint (spread_assign (owners, N_OWNERS, &urgent, 1).wait_ms, ==,
                   20);
  g_assert_cmpint (spread_assign (owners, N_OWNERS, &usual, 1).wait_ms, ==,
                   440);
}

/* What is left over when all slots are taken is offered.  */
static void
test_free_then_offered (void)
{
  struct spread_owner owners[N_OWNERS];
  struct spread_offer offer;

  fill (owners, 4, 4);
  offer = assign (owners, N_OWNERS, 15, 1);
  assert_given (owners, 4, 4, 4);
  g_assert_cmpuint (offer.n_tasks, ==, 3);
  g_assert_cmpuint (offer.n_offers, ==, N_OWNERS);
  g_assert_cmpint (offer.wait_ms, ==, 15 * 100 / 12);
}

/* Tasks that came back are offered, whatever is announced.  */
static void
test_offer_only (void)
{
  struct spread_owner owners[N_OWNERS];
  struct spread_tasks tasks = { .n = 2,
                                .run_ms = 100,
                                .is_offer_only = TRUE,
                                .max_offers = SPREAD_OFFERS_MAX };

  fill (owners, 4, 4);
  g_assert_cmpuint (spread_assign (owners, N_OWNERS, &tasks, 1).n_tasks, ==,
                    2);
  assert_given (owners, 0, 0, 0);
  g_assert_cmpuint (count_offers (owners, N_OWNERS), ==, N_OWNERS);
}

static void
test_none (void)
{
  struct spread_owner owners[N_OWNERS];

  fill (owners, 0, 0);
  g_assert_cmpint (assign (owners, N_OWNERS, 1, 1).wait_ms, ==, -1);
  assert_given (owners, 0, 0, 0);
  g_assert_cmpuint (count_offers (owners, N_OWNERS), ==, 0);
  g_assert_cmpint (assign (NULL, 0, 1, 1).wait_ms, ==, -1);
  assert_all_given (assign (owners, N_OWNERS, 0, 1));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/spread/late-whole", test_late_whole);
  g_test_add_func ("/spread/nearest-first", test_nearest_first);
  g_test_add_func ("/spread/split", test_split);
  g_test_add_func ("/spread/drawn", test_drawn);
  g_test_add_func ("/spread/shared", test_shared);
  g_test_add_func ("/spread/sampled", test_sampled);
  g_test_add_func ("/spread/shortest-queues", test_shortest_queues);
  g_test_add_func ("/spread/priorities", test_priorities);
  g_test_add_func ("/spread/pooled-wait", test_pooled_wait);
  g_test_add_func ("/spread/free-then-offered", test_free_then_offered);
  g_test_add_func ("/spread/nearest-offered", test_nearest_offered);
  g_test_add_func ("/spread/expected-ends", test_expected_ends);
  g_test_add_func ("/spread/offer-only", test_offer_only);
  g_test_add_func ("/spread/none", test_none);
  return g_test_run ();
}
