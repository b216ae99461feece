#include "t/support/sequence.h"

/* Runs that the shortening of a sequence may take.  */
#define MAX_SHRINK_RUNS 600

struct sequence
sequence_draw (guint32 seed, guint length)
{
  struct sequence sequence
      = { seed, g_array_new (FALSE, FALSE, sizeof (guint32)) };
  GRand *random = g_rand_new_with_seed (seed);

  for (guint i = 0; i < length; i++)
    {
      guint32 code = g_rand_int (random);

      g_array_append_val (sequence.codes, code);
    }
  g_rand_free (random);
  return sequence;
}

const char *
sequence_run (const struct sequence *sequence, const struct sequence_ops *ops,
              gboolean is_traced, guint *n_done)
{
  gpointer world = ops->create (sequence->seed);
  const char *broken = NULL;

  if (is_traced && ops->trace != NULL)
    ops->trace (world);
  *n_done = 0;
  while (broken == NULL && *n_done < sequence->codes->len)
    {
      guint32 code = g_array_index (sequence->codes, guint32, *n_done);

      broken = ops->step (world, code);
      (*n_done)++;
    }
  if (broken == NULL)
    broken = ops->settle (world);
  ops->free (world);
  return broken;
}

/* Leaves out parts of a failing sequence as long as it fails alike.  */
static void
shrink (struct sequence *sequence, const struct sequence_ops *ops,
        const char *broken)
{
  guint n_runs = 0;
  guint n_done;

  for (guint size = sequence->codes->len; size > 0; size /= 2)
    for (guint from = 0;
         from + size <= sequence->codes->len && n_runs++ < MAX_SHRINK_RUNS;)
      {
        struct sequence shorter = { sequence->seed, NULL };

        shorter.codes = g_array_copy (sequence->codes);
        g_array_remove_range (shorter.codes, from, size);
        if (sequence_run (&shorter, ops, FALSE, &n_done) != broken)
          {
            g_array_unref (shorter.codes);
            from += size;
            continue;
          }
        g_array_unref (sequence->codes);
        sequence->codes = shorter.codes;
      }
}

void
sequence_print_failure (struct sequence *sequence,
                        const struct sequence_ops *ops, const char *broken,
                        guint n_done)
{
  g_test_message ("seed %u: %s, after %u steps", sequence->seed, broken,
                  n_done);
  g_array_set_size (sequence->codes, n_done);
  shrink (sequence, ops, broken);
  g_test_message ("shortened to %u steps:", sequence->codes->len);
  if (ops->trace != NULL)
    sequence_run (sequence, ops, TRUE, &n_done);
  else
    for (guint i = 0; i < sequence->codes->len; i++)
      g_test_message ("  0x%08x", g_array_index (sequence->codes, guint32, i));
}
