/*
 * Long seeded sequences of events, with the invariants checked after every
 * step.  A failing sequence is shortened and printed.
 */
#include "base/event_log.h"
#include "t/support/decision_world.h"
#include "t/support/sequence.h"

#define N_SEQUENCES 200
#define SEQUENCE_LENGTH 5000

static gpointer
create (guint32 seed)
{
  return world_new (seed);
}

static const char *
step (gpointer world, guint32 code)
{
  return world_step (world, code);
}

static const char *
settle (gpointer world)
{
  return world_settle (world);
}

static void
end (gpointer world)
{
  world_free (world);
}

static const struct sequence_ops ops = { create, step, settle, NULL, end };

static void
test_random_sequences (void)
{
  guint64 n_steps = 0;

  for (guint32 seed = 1; seed <= N_SEQUENCES; seed++)
    {
      struct sequence sequence = sequence_draw (seed, SEQUENCE_LENGTH);
      guint n_done;
      const char *broken = sequence_run (&sequence, &ops, FALSE, &n_done);

      if (broken != NULL)
        {
          sequence_print_failure (&sequence, &ops, broken, n_done);
          g_test_fail_printf ("seed %u: %s", seed, broken);
          g_array_unref (sequence.codes);
          return;
        }
      n_steps += n_done;
      g_array_unref (sequence.codes);
    }
  g_assert_cmpuint (n_steps, ==, N_SEQUENCES * SEQUENCE_LENGTH);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  event_log_set_level (LOG_LEVEL_ERROR);
  g_test_add_func ("/dispatcher/random", test_random_sequences);
  return g_test_run ();
}
