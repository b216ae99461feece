/* The VMs of a fleet: who is found, lost, replaced and forgotten.  */
#include "base/hash64.h"
#include "coordination/sent_beacons.h"
#include "coordination/vm_directory.h"

#define OWN "entry-0"
#define PEER "entry-1"
#define SERVICE 7
#define OTHER_SERVICE 8

struct bed
{
  struct vm_directory_listener owner;
  struct vm_directory *directory;
  gint64 now_us;
  guint n_found;
  guint n_lost;
  guint64 lost_incarnation;
};

static void
on_found (struct vm_directory_listener *owner, const struct vm *vm)
{
  struct bed *bed = (struct bed *)owner;

  g_assert_true (vm->is_live);
  bed->n_found++;
}

static void
on_lost (struct vm_directory_listener *owner, const struct vm *vm,
         guint64 incarnation)
{
  struct bed *bed = (struct bed *)owner;

  g_assert_false (vm->is_live);
  g_assert_cmpuint (vm->n_rooms, ==, 0);
  g_assert_cmpuint (vm->held, ==, 0);
  g_assert_cmpuint (vm->callers.n, ==, 0);
  bed->n_lost++;
  bed->lost_incarnation = incarnation;
}

static const struct vm_directory_listener_ops owner_ops = {
  .vm_became_live = on_found,
  .vm_lost = on_lost,
};

static struct bed *
bed_new (void)
{
  struct bed *bed = g_new0 (struct bed, 1);

  bed->owner.ops = &owner_ops;
  bed->directory = vm_directory_new (&bed->owner, OWN);
  bed->now_us = USEC_PER_SEC;
  return bed;
}

static void
bed_free (struct bed *bed)
{
  vm_directory_free (bed->directory);
  g_free (bed);
}

static const struct vm *
hear_room (struct bed *bed, guint64 incarnation, guint32 sequence,
           const struct vm_room *rooms, guint n_rooms)
{
  struct vm_beacon news = {
    .name = PEER,
    .ip = "127.0.0.2",
    .availability_zone = "a",
    .incarnation = incarnation,
    .sequence = sequence,
    .held = 5,
    .callers = { { { 1, 700 } }, 1 },
    .rooms = rooms,
    .n_rooms = n_rooms,
  };

  return vm_directory_handle_beacon (bed->directory, &news, bed->now_us);
}

static const struct vm *
hear (struct bed *bed, guint64 incarnation, guint32 sequence)
{
  return hear_room (bed, incarnation, sequence, NULL, 0);
}

static void
pass (struct bed *bed, gint64 us)
{
  bed->now_us += us;
  vm_directory_advance (bed->directory, bed->now_us);
}

static const struct vm *
find (const struct bed *bed)
{
  return vm_directory_find (bed->directory, PEER);
}

static void
test_lost_after_limit (void)
{
  struct bed *bed = bed_new ();

  g_assert_nonnull (hear (bed, 10, 1));
  pass (bed, VM_LOST_AFTER_US);
  g_assert_true (find (bed)->is_live);
  g_assert_cmpuint (find (bed)->callers.n, ==, 1);
  g_assert_cmpuint (bed->n_lost, ==, 0);
  pass (bed, 1);
  g_assert_false (find (bed)->is_live);
  pass (bed, VM_LOST_AFTER_US);
  g_assert_cmpuint (bed->n_lost, ==, 1);
  g_assert_cmpuint (bed->lost_incarnation, ==, 10);
  /* The same incarnation may come back, and is found once more.  */
  g_assert_nonnull (hear (bed, 10, 2));
  g_assert_cmpuint (bed->n_found, ==, 2);
  g_assert_cmpuint (find (bed)->held, ==, 5);
  bed_free (bed);
}

static void
test_newer_incarnation (void)
{
  struct bed *bed = bed_new ();

  hear (bed, 10, 900);
  g_assert_nonnull (hear (bed, 11, 1));
  g_assert_cmpuint (bed->n_lost, ==, 1);
  g_assert_cmpuint (bed->lost_incarnation, ==, 10);
  g_assert_cmpuint (bed->n_found, ==, 2);
  g_assert_cmpuint (find (bed)->incarnation, ==, 11);
  /* What the old one sent late counts no more, whatever its sequence.  */
  g_assert_null (hear (bed, 10, 901));
  g_assert_cmpuint (find (bed)->incarnation, ==, 11);
  /* One that was lost already is not lost again.  */
  pass (bed, VM_LOST_AFTER_US + 1);
  hear (bed, 12, 1);
  g_assert_cmpuint (bed->n_lost, ==, 2);
  bed_free (bed);
}

static void
test_old_sequence (void)
{
  struct bed *bed = bed_new ();

  g_assert_nonnull (hear (bed, 10, G_MAXUINT32 - 1));
  g_assert_null (hear (bed, 10, G_MAXUINT32 - 1));
  g_assert_null (hear (bed, 10, G_MAXUINT32 - 5));
  /* The number wraps.  */
  g_assert_nonnull (hear (bed, 10, 3));
  g_assert_null (hear (bed, 10, G_MAXUINT32));
  /* Old news are no sign of life.  */
  pass (bed, VM_LOST_AFTER_US);
  g_assert_null (hear (bed, 10, 2));
  pass (bed, 1);
  g_assert_false (find (bed)->is_live);
  g_assert_cmpuint (bed->n_found, ==, 1);
  bed_free (bed);
}

/* A room with N_SLOTS, of which N_FREE are free, for tasks of one CPU.  */
static struct vm_room
make_room (guint64 service, guint n_slots, guint n_free)
{
  struct vm_room room = { .service_hash = service, .n_slots = n_slots };

  free_slots_init (&room.free_slots, 1);
  for (guint i = 0; i < n_free; i++)
    free_slots_add_single (&room.free_slots, 1000);
  return room;
}

static guint
count_free (const struct vm_room *room)
{
  return free_slots_count (&room->free_slots, 1);
}

/* N tasks of PRIORITY that need a CPU each are handed to NAME.  */
static void
reserve (struct bed *bed, const char *name, guint n, guint priority)
{
  const struct room_tasks tasks = { .n = n, .cpus = 1, .priority = priority };

  vm_directory_reserve_room (bed->directory, name, SERVICE, &tasks);
}

static void
test_take_room (void)
{
  struct vm_room rooms[] = {
    make_room (SERVICE, 8, 5),
    make_room (OTHER_SERVICE, 8, 5),
  };
  struct bed *bed = bed_new ();
  const struct vm *vm;

  rooms[0].n_queued[2] = 1;
  vm = hear_room (bed, 10, 1, rooms, G_N_ELEMENTS (rooms));
  reserve (bed, PEER, 3, 1);
  g_assert_cmpuint (count_free (&vm->rooms[0]), ==, 2);
  g_assert_cmpuint (vm_room_count_ahead (&vm->rooms[0], 1), ==, 0);
  reserve (bed, PEER, 6, 1);
  g_assert_cmpuint (count_free (&vm->rooms[0]), ==, 0);
  /* Only less urgent tasks wait behind them.  */
  g_assert_cmpuint (vm_room_count_ahead (&vm->rooms[0], 0), ==, 0);
  g_assert_cmpuint (vm_room_count_ahead (&vm->rooms[0], 1), ==, 4);
  g_assert_cmpuint (vm_room_count_ahead (&vm->rooms[0], 2), ==, 5);
  g_assert_cmpuint (count_free (&vm->rooms[1]), ==, 5);
  reserve (bed, "nobody", 1, 1);
  /* What the VM says itself replaces the guess.  */
  hear_room (bed, 10, 2, rooms, G_N_ELEMENTS (rooms));
  g_assert_cmpuint (count_free (&vm->rooms[0]), ==, 5);
  g_assert_cmpuint (vm_room_count_ahead (&vm->rooms[0], 1), ==, 0);
  bed_free (bed);
}

/* Tasks that can only be late take free slots, but do not count as a queue
   ahead of others: they would go after them.  */
static void
test_take_late (void)
{
  const struct vm_room room = make_room (SERVICE, 8, 2);
  const struct room_tasks late = { .n = 5, .cpus = 1, .is_late = TRUE };
  struct bed *bed = bed_new ();
  const struct vm *vm = hear_room (bed, 10, 1, &room, 1);

  vm_directory_reserve_room (bed->directory, PEER, SERVICE, &late);
  g_assert_cmpuint (count_free (&vm->rooms[0]), ==, 0);
  g_assert_cmpuint (vm_room_count_ahead (&vm->rooms[0], ROOM_PRIORITIES), ==,
                    0);
  bed_free (bed);
}

/* A long queue does not look short because a number has wrapped.  */
static void
test_long_queue (void)
{
  const struct vm_room room = make_room (SERVICE, 1, 0);
  struct bed *bed = bed_new ();
  const struct vm *vm = hear_room (bed, 10, 1, &room, 1);
  gint64 before_ms = 0;

  for (guint i = 0; i < 10; i++)
    {
      guint n_ahead;
      gint64 wait_ms;

      reserve (bed, PEER, 130, 0);
      n_ahead = vm_room_count_ahead (&vm->rooms[0], 0);
      wait_ms = vm_room_estimate_wait_ms (&vm->rooms[0], n_ahead, 0, 3600000);
      g_assert_cmpint (wait_ms, >, before_ms);
      before_ms = wait_ms;
    }
  g_assert_cmpuint (vm_room_count_ahead (&vm->rooms[0], 0), ==, 1300);
  bed_free (bed);
}

static void
test_forgotten (void)
{
  struct bed *bed = bed_new ();

  hear (bed, 10, 1);
  g_assert_true (vm_directory_add (bed->directory, "entry-2", "127.0.0.3", "b",
                                   bed->now_us));
  pass (bed, VM_FORGET_AFTER_US);
  g_assert_cmpuint (vm_directory_list (bed->directory)->len, ==, 2);
  pass (bed, 1);
  g_assert_cmpuint (vm_directory_list (bed->directory)->len, ==, 0);
  g_assert_null (find (bed));
  g_assert_cmpuint (bed->n_lost, ==, 1);
  bed_free (bed);
}

/* One that stays silent too long within a single step is lost first.  */
static void
test_lost_and_forgotten (void)
{
  struct bed *bed = bed_new ();

  hear (bed, 10, 1);
  pass (bed, 2 * VM_FORGET_AFTER_US);
  g_assert_cmpuint (bed->n_lost, ==, 1);
  g_assert_null (find (bed));
  bed_free (bed);
}

static void
test_introduced (void)
{
  struct bed *bed = bed_new ();
  struct vm_directory *d = bed->directory;

  g_assert_false (vm_directory_add (d, OWN, "127.0.0.9", "a", 0));
  g_assert_true (vm_directory_add (d, PEER, "127.0.0.8", "b", 0));
  g_assert_false (find (bed)->is_live);
  g_assert_false (vm_directory_add (d, PEER, "127.0.0.9", "b", 0));
  g_assert_cmpstr (find (bed)->ip, ==, "127.0.0.9");
  g_assert_cmpuint (bed->n_found, ==, 0);
  hear (bed, 10, 1);
  vm_directory_add (d, PEER, "127.0.0.9", "b", bed->now_us);
  g_assert_cmpstr (find (bed)->ip, ==, "127.0.0.2");
  g_assert_cmpstr (find (bed)->availability_zone, ==, "a");
  bed_free (bed);
}

/* A full directory takes no new VM, and still follows those that it has.  */
static void
test_full (void)
{
  struct bed *bed = bed_new ();
  struct vm_directory *d = bed->directory;

  g_assert_true (vm_directory_add (d, PEER, "127.0.0.8", "b", 0));
  for (guint i = 1; i < VM_DIRECTORY_MAX; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm-%u", i);

      g_assert_true (vm_directory_add (d, name, "127.0.0.3", "a", 0));
    }
  g_assert_false (vm_directory_add (d, "more", "127.0.0.3", "a", 0));
  g_assert_null (vm_directory_find (d, "more"));
  vm_directory_add (d, PEER, "127.0.0.9", "b", 0);
  g_assert_cmpstr (find (bed)->ip, ==, "127.0.0.9");
  g_assert_nonnull (hear (bed, 10, 1));
  bed_free (bed);
}

static void
test_own_room (void)
{
  struct owner_room own = { .n_slots = 3,
                            .n_queued = { 1, 2, 3, 4 },
                            .starts_per_s = { 0.4, 0.6, 10, 0 },
                            .ends_per_s = 11.6 };
  struct vm_room room;

  free_slots_init (&own.free_slots, 2);
  free_slots_add_single (&own.free_slots, 1000);
  vm_room_init (&room, "s", &own);
  g_assert_cmpuint (room.service_hash, ==, hash64_string ("s"));
  g_assert_cmpuint (room.n_slots, ==, 3);
  g_assert_cmpuint (free_slots_count (&room.free_slots, 2), ==, 1);
  g_assert_cmpuint (vm_room_count_ahead (&room, 1), ==, 3);
  g_assert_cmpuint (vm_room_count_ahead (&room, 99), ==, 10);
  g_assert_cmpuint (room.starts_per_s[0], ==, 0);
  g_assert_cmpuint (room.starts_per_s[1], ==, 1);
  g_assert_cmpuint (room.ends_per_s, ==, 12);
}

/* The wait of a task follows from the starts that more urgent ones leave.  */
static void
test_wait (void)
{
  struct vm_room room = { .n_slots = 10, .starts_per_s = { 60, 30, 10, 0 } };

  g_assert_cmpint (vm_room_estimate_wait_ms (&room, 5, 0, 1000), ==, 50);
  g_assert_cmpint (vm_room_estimate_wait_ms (&room, 4, 1, 1000), ==, 100);
  /* At least a quarter of all starts.  */
  g_assert_cmpint (vm_room_estimate_wait_ms (&room, 5, 2, 1000), ==, 200);
  /* Runs that end let more start than did lately, but not fewer.  */
  room.ends_per_s = 150;
  g_assert_cmpint (vm_room_estimate_wait_ms (&room, 9, 1, 1000), ==, 100);
  room.ends_per_s = 50;
  g_assert_cmpint (vm_room_estimate_wait_ms (&room, 4, 1, 1000), ==, 100);
  room = (struct vm_room){ .n_slots = 10 };
  g_assert_cmpint (vm_room_estimate_wait_ms (&room, 5, 0, 1000), ==, 500);
}

/* Beacons are lost while calls still arrive: the VM is alive, and its work is
   not given up.  One that was lost before stays so until a beacon comes.  */
static void
test_heard_by_call (void)
{
  struct bed *bed = bed_new ();

  hear (bed, 10, 1);
  for (guint i = 0; i < 5; i++)
    {
      pass (bed, VM_LOST_AFTER_US / 2);
      vm_directory_note_message (bed->directory, PEER, bed->now_us);
      vm_directory_note_message (bed->directory, "entry-9", bed->now_us);
    }
  g_assert_true (find (bed)->is_live);
  pass (bed, VM_LOST_AFTER_US + 1);
  g_assert_false (find (bed)->is_live);
  vm_directory_note_message (bed->directory, PEER, bed->now_us);
  g_assert_false (find (bed)->is_live);
  g_assert_cmpuint (bed->n_lost, ==, 1);
  bed_free (bed);
}

/* A VM that is listed and was never heard may hold shards.  */
static void
test_heard_all (void)
{
  struct bed *bed = bed_new ();

  g_assert_false (vm_directory_has_heard_all (bed->directory, "a"));
  vm_directory_add (bed->directory, PEER, "127.0.0.2", "a", bed->now_us);
  vm_directory_add (bed->directory, "entry-2", "127.0.0.3", "b", bed->now_us);
  g_assert_false (vm_directory_has_heard_all (bed->directory, "a"));
  hear_room (bed, 4, 1, NULL, 0);
  g_assert_true (vm_directory_has_heard_all (bed->directory, "a"));
  g_assert_false (vm_directory_has_heard_all (bed->directory, "b"));
  bed_free (bed);
}

/* A VM whose beacons come once a second is lost after three of them, but 600
   ms after work with it has begun, as long as that lasts.  */
static void
test_rare_beacons (void)
{
  struct bed *bed = bed_new ();
  struct vm_beacon news = { .name = PEER,
                            .ip = "127.0.0.2",
                            .availability_zone = "b",
                            .incarnation = 10,
                            .sequence = 1,
                            .interval_ms = 1000 };

  vm_directory_handle_beacon (bed->directory, &news, bed->now_us);
  pass (bed, 3 * USEC_PER_SEC);
  g_assert_true (find (bed)->is_live);
  pass (bed, 1);
  g_assert_false (find (bed)->is_live);
  news.sequence++;
  news.interval_ms = G_MAXUINT32;
  vm_directory_handle_beacon (bed->directory, &news, bed->now_us);
  pass (bed, 3 * USEC_PER_SEC + 1);
  g_assert_false (find (bed)->is_live);
  news.sequence++;
  vm_directory_handle_beacon (bed->directory, &news, bed->now_us);
  vm_directory_begin_work (bed->directory, PEER, bed->now_us);
  pass (bed, VM_LOST_AFTER_US / 2);
  vm_directory_begin_work (bed->directory, PEER, bed->now_us);
  vm_directory_end_work (bed->directory, PEER);
  g_assert_cmpuint (find (bed)->n_works, ==, 1);
  pass (bed, VM_LOST_AFTER_US / 2);
  g_assert_true (find (bed)->is_live);
  pass (bed, 1);
  g_assert_false (find (bed)->is_live);
  vm_directory_end_work (bed->directory, PEER);
  vm_directory_end_work (bed->directory, PEER);
  g_assert_cmpuint (find (bed)->n_works, ==, 0);
  bed_free (bed);
}

/* A VM that was paused finds beacons before it has noticed that a caller has
   left meanwhile: it must not tell of them yet.  */
static void
test_settled (void)
{
  struct bed *bed = bed_new ();
  gint64 first_us = bed->now_us;

  hear (bed, 10, 4);
  g_assert_cmpuint (vm_get_settled_sequence (find (bed), first_us - 1), ==, 0);
  g_assert_cmpuint (vm_get_settled_sequence (find (bed), first_us), ==, 4);
  bed->now_us += 100;
  hear (bed, 10, 5);
  g_assert_cmpuint (vm_get_settled_sequence (find (bed), first_us), ==, 4);
  g_assert_cmpuint (vm_get_settled_sequence (find (bed), bed->now_us), ==, 5);
  bed->now_us += 100;
  hear (bed, 11, 1);
  g_assert_cmpuint (vm_get_settled_sequence (find (bed), bed->now_us - 1), ==,
                    0);
  g_assert_cmpuint (vm_get_settled_sequence (find (bed), bed->now_us), ==, 1);
  bed_free (bed);
}

/* The age of a message is told by the beacon that its sender had heard.  One
   that is too old to be known tells nothing.  */
static void
test_sent_beacons (void)
{
  struct sent_beacons sent = { { 0 }, { 0 } };

  g_assert_cmpint (sent_beacons_get_us (&sent, 0), ==, 0);
  g_assert_cmpint (sent_beacons_get_us (&sent, 1), ==, 0);
  for (guint32 i = 1; i <= SENT_BEACONS_MAX + 1; i++)
    sent_beacons_add (&sent, i, i * 100);
  g_assert_cmpint (sent_beacons_get_us (&sent, 1), ==, 0);
  g_assert_cmpint (sent_beacons_get_us (&sent, 2), ==, 200);
  g_assert_cmpint (sent_beacons_get_us (&sent, SENT_BEACONS_MAX + 1), ==,
                   (SENT_BEACONS_MAX + 1) * 100);
  g_assert_cmpint (sent_beacons_get_us (&sent, SENT_BEACONS_MAX + 2), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/vm-directory/lost-after-limit", test_lost_after_limit);
  g_test_add_func ("/vm-directory/newer-incarnation", test_newer_incarnation);
  g_test_add_func ("/vm-directory/old-sequence", test_old_sequence);
  g_test_add_func ("/vm-directory/take-room", test_take_room);
  g_test_add_func ("/vm-directory/take-late", test_take_late);
  g_test_add_func ("/vm-directory/long-queue", test_long_queue);
  g_test_add_func ("/vm-directory/own-room", test_own_room);
  g_test_add_func ("/vm-directory/forgotten", test_forgotten);
  g_test_add_func ("/vm-directory/lost-and-forgotten",
                   test_lost_and_forgotten);
  g_test_add_func ("/vm-directory/introduced", test_introduced);
  g_test_add_func ("/vm-directory/full", test_full);
  g_test_add_func ("/vm-directory/wait", test_wait);
  g_test_add_func ("/vm-directory/heard-by-call", test_heard_by_call);
  g_test_add_func ("/vm-directory/heard-all", test_heard_all);
  g_test_add_func ("/vm-directory/rare-beacons", test_rare_beacons);
  g_test_add_func ("/vm-directory/settled", test_settled);
  g_test_add_func ("/vm-directory/sent-beacons", test_sent_beacons);
  return g_test_run ();
}
