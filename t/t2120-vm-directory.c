/* The VMs of a fleet: who is found, lost, replaced and forgotten.  */
#include "base/hash64.h"
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

static void
test_take_room (void)
{
  const struct vm_room rooms[] = {
    { .service_hash = SERVICE,
      .n_slots = 8,
      .free_slots = 5,
      .queued_ms = 10 },
    { .service_hash = OTHER_SERVICE, .n_slots = 8, .free_slots = 5 },
  };
  struct bed *bed = bed_new ();
  const struct vm *vm = hear_room (bed, 10, 1, rooms, G_N_ELEMENTS (rooms));

  vm_directory_reserve_room (bed->directory, PEER, SERVICE, 3, 100);
  g_assert_cmpuint (vm->rooms[0].free_slots, ==, 2);
  g_assert_cmpuint (vm->rooms[0].n_queued, ==, 0);
  vm_directory_reserve_room (bed->directory, PEER, SERVICE, 6, 100);
  g_assert_cmpuint (vm->rooms[0].free_slots, ==, 0);
  g_assert_cmpuint (vm->rooms[0].n_queued, ==, 4);
  g_assert_cmpuint (vm->rooms[0].queued_ms, ==, 410);
  g_assert_cmpuint (vm->rooms[1].free_slots, ==, 5);
  vm_directory_reserve_room (bed->directory, "nobody", SERVICE, 1, 100);
  /* What the VM says itself replaces the guess.  */
  hear_room (bed, 10, 2, rooms, G_N_ELEMENTS (rooms));
  g_assert_cmpuint (vm->rooms[0].free_slots, ==, 5);
  g_assert_cmpuint (vm->rooms[0].queued_ms, ==, 10);
  bed_free (bed);
}

/* A long queue does not look short because a number has wrapped.  */
static void
test_long_queue (void)
{
  const struct vm_room room = { .service_hash = SERVICE, .n_slots = 1 };
  struct bed *bed = bed_new ();
  const struct vm *vm = hear_room (bed, 10, 1, &room, 1);

  for (guint i = 0; i < 10; i++)
    {
      guint before_ms = vm->rooms[0].queued_ms;

      vm_directory_reserve_room (bed->directory, PEER, SERVICE, 130, 3600000);
      g_assert_cmpuint (vm->rooms[0].queued_ms, >=, before_ms);
    }
  g_assert_cmpuint (vm->rooms[0].n_queued, ==, 1300);
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

/* What an owner has queued does not wrap in a message either.  */
static void
test_own_room (void)
{
  struct owner_room own
      = { .n_slots = 3, .free_slots = 2, .n_queued = 1, .queued_us = 4999 };
  struct vm_room room;

  vm_room_init (&room, "s", &own);
  g_assert_cmpuint (room.service_hash, ==, hash64_string ("s"));
  g_assert_cmpuint (room.n_slots, ==, 3);
  g_assert_cmpuint (room.free_slots, ==, 2);
  g_assert_cmpuint (room.n_queued, ==, 1);
  g_assert_cmpuint (room.queued_ms, ==, 4);
  own.queued_us = (G_MAXUINT + G_GINT64_CONSTANT (2)) * USEC_PER_MSEC;
  vm_room_init (&room, "s", &own);
  g_assert_cmpuint (room.queued_ms, ==, G_MAXUINT);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/vm-directory/lost-after-limit", test_lost_after_limit);
  g_test_add_func ("/vm-directory/newer-incarnation", test_newer_incarnation);
  g_test_add_func ("/vm-directory/old-sequence", test_old_sequence);
  g_test_add_func ("/vm-directory/take-room", test_take_room);
  g_test_add_func ("/vm-directory/long-queue", test_long_queue);
  g_test_add_func ("/vm-directory/own-room", test_own_room);
  g_test_add_func ("/vm-directory/forgotten", test_forgotten);
  g_test_add_func ("/vm-directory/lost-and-forgotten",
                   test_lost_and_forgotten);
  g_test_add_func ("/vm-directory/introduced", test_introduced);
  g_test_add_func ("/vm-directory/full", test_full);
  return g_test_run ();
}
