/*
 * Long seeded sequences of events, with the invariants checked after every
 * step.  A failing sequence is shortened and printed.
 */
#include "base/event_log.h"
#include "t/support/decision_world.h"

#define N_SEQUENCES 200
#define SEQUENCE_LENGTH 5000

struct sequence
{
  guint32 seed;
  GArray *codes; /* guint32 */
};

/* Runs SEQUENCE.  Returns what broke, or NULL; *N_DONE is the number of steps
   that were performed.  */
static const char *
run (const struct sequence *sequence, guint *n_done)
{
  struct world *world = world_new (sequence->seed);
  const char *broken = NULL;

  *n_done = 0;
  while (broken == NULL && *n_done < sequence->codes->len)
    {
      guint32 code = g_array_index (sequence->codes, guint32, *n_done);

      broken = world_step (world, code);
      (*n_done)++;
    }
  if (broken == NULL)
    broken = world_settle (world);
  world_free (world);
  return broken;
}

static struct sequence
draw_sequence (guint32 seed)
{
  struct sequence sequence
      = { seed, g_array_new (FALSE, FALSE, sizeof (guint32)) };
  GRand *random = g_rand_new_with_seed (seed);

  for (guint i = 0; i < SEQUENCE_LENGTH; i++)
    {
      guint32 code = g_rand_int (random);

      g_array_append_val (sequence.codes, code);
    }
  g_rand_free (random);
  return sequence;
}

/* Leaves out parts of a failing sequence as long as it still fails.  */
static void
shrink (struct sequence *sequence)
{
  guint n_done;

  for (guint size = sequence->codes->len; size > 0; size /= 2)
    {
      for (guint from = 0; from + size <= sequence->codes->len;)
        {
          struct sequence shorter = { sequence->seed, NULL };

          shorter.codes = g_array_copy (sequence->codes);
          g_array_remove_range (shorter.codes, from, size);
          if (run (&shorter, &n_done) == NULL)
            {
              g_array_unref (shorter.codes);
              from += size;
              continue;
            }
          g_array_unref (sequence->codes);
          sequence->codes = shorter.codes;
        }
    }
}

static void
print_failure (struct sequence *sequence, const char *broken, guint n_done)
{
  g_test_message ("seed %u: %s, after %u steps", sequence->seed, broken,
                  n_done);
  g_array_set_size (sequence->codes, n_done);
  shrink (sequence);
  g_test_message ("shortened to %u steps:", sequence->codes->len);
  for (guint i = 0; i < sequence->codes->len; i++)
    g_test_message ("  0x%08x", g_array_index (sequence->codes, guint32, i));
}

static void
test_random_sequences (void)
{
  guint64 n_steps = 0;

  for (guint32 seed = 1; seed <= N_SEQUENCES; seed++)
    {
      struct sequence sequence = draw_sequence (seed);
      guint n_done;
      const char *broken = run (&sequence, &n_done);

      if (broken != NULL)
        {
          print_failure (&sequence, broken, n_done);
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
