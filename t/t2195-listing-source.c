/*
 * Where VMs get the list of upstreams from, under the load of a large zone:
 * 3,000 entries that are rewritten all the time, read by 100 VMs, must not be
 * read 100 times, and a change must reach every VM within a second also when
 * the reader dies, is cut off from the store, or all VMs return at once.
 */
#include "coordination/listing_source.h"

#include <string.h>

#define MAX_VMS 100
#define STEP_US (50 * USEC_PER_MSEC)
#define READ_PAUSE_US (400 * USEC_PER_MSEC)
#define BEACON_US (150 * USEC_PER_MSEC)
#define RECORDS_PER_STEP 100 /* 3,000 entries, each rewritten in 1.5 s */
#define START_US (10 * USEC_PER_SEC)

struct sim_vm
{
  char name[8];
  guint capacity;
  struct listing_state state;     /* as it has it */
  struct listing_state announced; /* in its last beacon */
  gint64 read_again_us;
  gint64 beacon_due_us;
  gboolean is_dead;
  gboolean is_cut; /* from the store */
  guint n_reads;
  guint n_lists;
  guint n_fetches;
};

struct sim
{
  struct sim_vm vms[MAX_VMS];
  guint n;
  gint64 now_us;
  guint64 end;     /* of the store's records */
  guint64 changed; /* after the last change */
};

static void
init (struct sim *sim, guint n)
{
  memset (sim, 0, sizeof *sim);
  sim->n = n;
  sim->now_us = START_US;
  sim->end = 1;
  for (guint i = 0; i < n; i++)
    {
      g_snprintf (sim->vms[i].name, sizeof sim->vms[i].name, "vm-%u", i);
      sim->vms[i].capacity = i % 6 == 0 ? 500 : 120;
      sim->vms[i].beacon_due_us = START_US + i * BEACON_US / n;
    }
}

/* VM reads the store up to its end, from nothing or from where it is.  */
static void
read_store (struct sim *sim, struct sim_vm *vm)
{
  if (sim->now_us < vm->read_again_us)
    return;
  vm->read_again_us = sim->now_us + READ_PAUSE_US;
  vm->n_reads++;
  if (vm->is_cut)
    return;
  vm->n_lists += vm->state.position == 0;
  vm->state
      = (struct listing_state){ sim->end, sim->changed, sim->now_us, TRUE };
}

static void
take_over (struct sim_vm *vm, const struct listing_state *from)
{
  vm->state = *from;
  vm->state.is_read = FALSE;
}

static void
step_vm (struct sim *sim, struct sim_vm *vm, guint64 seed)
{
  struct listing_self self = { .name = vm->name,
                               .capacity = vm->capacity,
                               .state = vm->state,
                               .started_us = START_US };
  struct listing_peer peers[MAX_VMS];
  struct sim_vm *by_peer[MAX_VMS];
  struct listing_choice choice;
  guint n_peers = 0;

  for (guint i = 0; i < sim->n; i++)
    if (&sim->vms[i] != vm && !sim->vms[i].is_dead)
      {
        by_peer[n_peers] = &sim->vms[i];
        peers[n_peers++]
            = (struct listing_peer){ sim->vms[i].name, sim->vms[i].capacity,
                                     sim->vms[i].announced };
      }
  choice = listing_source_choose (&self, peers, n_peers, seed, sim->now_us);
  if (choice.is_reading)
    read_store (sim, vm);
  if (choice.action == LISTING_ADOPT)
    take_over (vm, &peers[choice.peer].state);
  else if (choice.action == LISTING_FETCH)
    {
      take_over (vm, &by_peer[choice.peer]->state);
      vm->n_fetches++;
    }
  if (sim->now_us >= vm->beacon_due_us)
    {
      vm->announced = vm->state;
      vm->beacon_due_us = sim->now_us + BEACON_US;
    }
}

static void
run (struct sim *sim, gint64 for_us)
{
  for (gint64 end_us = sim->now_us + for_us; sim->now_us < end_us;
       sim->now_us += STEP_US)
    {
      sim->end += RECORDS_PER_STEP;
      for (guint i = 0; i < sim->n; i++)
        if (!sim->vms[i].is_dead)
          step_vm (sim, &sim->vms[i], (guint64)sim->now_us + i);
    }
}

static guint
sum_reads (struct sim *sim)
{
  guint n = 0;

  for (guint i = 0; i < sim->n; i++)
    {
      n += sim->vms[i].n_reads;
      sim->vms[i].n_reads = 0;
    }
  return n;
}

/* The reader.  There must be just one.  */
static struct sim_vm *
find_reader (struct sim *sim)
{
  struct sim_vm *reader = NULL;

  for (guint i = 0; i < sim->n; i++)
    if (!sim->vms[i].is_dead && sim->vms[i].state.is_read)
      {
        g_assert_null (reader);
        reader = &sim->vms[i];
      }
  g_assert_nonnull (reader);
  return reader;
}

/* A change must be known to all live VMs within a second.  */
static void
assert_spreads (struct sim *sim)
{
  sim->changed = ++sim->end;
  run (sim, 1 * USEC_PER_SEC);
  for (guint i = 0; i < sim->n; i++)
    if (!sim->vms[i].is_dead)
      g_assert_cmpuint (sim->vms[i].state.position, >=, sim->changed);
}

static const guint sizes[] = { 1, 2, 3, 12, 100 };

/* However many VMs the zone has, the store is read as often as by one.  */
static void
test_reads_do_not_grow (void)
{
  for (guint s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      struct sim sim;

      init (&sim, sizes[s]);
      run (&sim, 5 * USEC_PER_SEC);
      assert_spreads (&sim);
      g_assert_cmpuint (find_reader (&sim)->capacity, ==, 500);
      sum_reads (&sim);
      run (&sim, 10 * USEC_PER_SEC);
      g_assert_cmpuint (sum_reads (&sim), <=, 25);
    }
}

/* All VMs of the zone return at once and list the store: one list is enough,
   once they hear of each other.  */
static void
test_return_of_all (void)
{
  struct sim sim;
  guint n_lists = 0;

  init (&sim, MAX_VMS);
  run (&sim, 2 * USEC_PER_SEC);
  for (guint i = 0; i < sim.n; i++)
    {
      g_assert_cmpuint (sim.vms[i].state.position, >, 0);
      n_lists += sim.vms[i].n_lists;
    }
  g_assert_cmpuint (n_lists, ==, 1);
}

/* The reader dies between a change and its read.  */
static void
test_reader_dies (void)
{
  for (guint s = 1; s < G_N_ELEMENTS (sizes); s++)
    {
      struct sim sim;

      init (&sim, sizes[s]);
      run (&sim, 5 * USEC_PER_SEC);
      find_reader (&sim)->is_dead = TRUE;
      assert_spreads (&sim);
    }
}

/* The reader, and those after it, are cut off from the store while their
   beacons go on.  */
static void
test_reader_is_cut (void)
{
  for (guint s = 1; s < G_N_ELEMENTS (sizes); s++)
    {
      struct sim sim;

      init (&sim, sizes[s]);
      run (&sim, 5 * USEC_PER_SEC);
      find_reader (&sim)->is_cut = TRUE;
      run (&sim, 1 * USEC_PER_SEC);
      assert_spreads (&sim);
      sum_reads (&sim);
      run (&sim, 10 * USEC_PER_SEC);
      /* Those of the one that cannot, and of the one that does.  */
      g_assert_cmpuint (sum_reads (&sim), <=, 60);
    }
}

/* With the store down for all, each VM tries by itself; once it is back, one
   reads.  */
static void
test_store_down (void)
{
  struct sim sim;

  init (&sim, 12);
  run (&sim, 5 * USEC_PER_SEC);
  for (guint i = 0; i < sim.n; i++)
    sim.vms[i].is_cut = TRUE;
  run (&sim, 5 * USEC_PER_SEC);
  for (guint i = 0; i < sim.n; i++)
    sim.vms[i].is_cut = FALSE;
  assert_spreads (&sim);
  run (&sim, 2 * USEC_PER_SEC);
  find_reader (&sim);
}

/* A peer whose list is older, or whose clock runs ahead of its list, gives
   nothing.  */
static void
test_older_is_ignored (void)
{
  const struct listing_self self
      = { .name = "b", .state = { 100, 50, START_US, FALSE } };
  struct listing_peer peer = { .name = "a",
                               .capacity = 1,
                               .state = { 90, 50, START_US + 1, TRUE } };
  struct listing_choice choice;

  choice = listing_source_choose (&self, &peer, 1, 1, START_US + 2);
  g_assert_cmpint (choice.action, ==, LISTING_WAIT);
  peer.state.position = 200;
  peer.state.changed = 100;
  choice = listing_source_choose (&self, &peer, 1, 1, START_US + 2);
  g_assert_cmpint (choice.action, ==, LISTING_ADOPT);
  peer.state.changed = 101;
  choice = listing_source_choose (&self, &peer, 1, 1, START_US + 2);
  g_assert_cmpint (choice.action, ==, LISTING_FETCH);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/listing-source/reads-do-not-grow",
                   test_reads_do_not_grow);
  g_test_add_func ("/listing-source/return-of-all", test_return_of_all);
  g_test_add_func ("/listing-source/reader-dies", test_reader_dies);
  g_test_add_func ("/listing-source/reader-is-cut", test_reader_is_cut);
  g_test_add_func ("/listing-source/store-down", test_store_down);
  g_test_add_func ("/listing-source/older-is-ignored", test_older_is_ignored);
  return g_test_run ();
}
