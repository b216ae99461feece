/*
 * Long seeded sequences of events around two owners, with the invariants
 * checked from the upstreams' side.  A failing sequence is shortened and its
 * end is told.
 *
 * OWNER_SEQUENCES sets how many sequences are run, OWNER_SEED names the only
 * one, OWNER_TRACE makes that one tell what happens.  With OWNER_SURVEY all
 * are run, and each failure is told in one line.
 */
#include "base/event_log.h"
#include "t/support/fleet_world.h"

#include <stdlib.h>

#define N_SEQUENCES 334
#define SEQUENCE_LENGTH 3000

/* Runs that the shortening of a sequence may take.  */
#define MAX_SHRINK_RUNS 600

struct sequence
{
  guint32 seed;
  GArray *codes; /* guint32 */
};

static struct fleet_counts total;

static void
add_counts (const struct fleet_world *world)
{
  struct fleet_counts counts;

  fleet_world_count (world, &counts);
  for (gsize i = 0; i < sizeof counts / sizeof (guint); i++)
    ((guint *)(void *)&total)[i] += ((guint *)(void *)&counts)[i];
}

/* Runs SEQUENCE.  Returns what broke, or NULL; *N_DONE is the number of steps
   that were performed.  */
static const char *
run (const struct sequence *sequence, gboolean is_traced, guint *n_done)
{
  struct fleet_world *world = fleet_world_new (sequence->seed);
  const char *broken = NULL;

  if (is_traced)
    fleet_world_trace (world);
  *n_done = 0;
  while (broken == NULL && *n_done < sequence->codes->len)
    {
      guint32 code = g_array_index (sequence->codes, guint32, *n_done);

      broken = fleet_world_step (world, code);
      (*n_done)++;
    }
  if (broken == NULL)
    broken = fleet_world_settle (world);
  add_counts (world);
  fleet_world_free (world);
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

/* Leaves out parts of a failing sequence as long as it fails alike.  */
static void
shrink (struct sequence *sequence, const char *broken)
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
        if (run (&shorter, FALSE, &n_done) != broken)
          {
            g_array_unref (shorter.codes);
            from += size;
            continue;
          }
        g_array_unref (sequence->codes);
        sequence->codes = shorter.codes;
      }
}

static void
print_failure (struct sequence *sequence, const char *broken, guint n_done)
{
  g_test_message ("seed %u: %s, after %u steps", sequence->seed, broken,
                  n_done);
  g_array_set_size (sequence->codes, n_done);
  shrink (sequence, broken);
  g_test_message ("shortened to %u steps:", sequence->codes->len);
  run (sequence, TRUE, &n_done);
}

/* Returns whether the sequence of SEED holds.  */
static gboolean
run_seed (guint32 seed, gboolean is_traced)
{
  struct sequence sequence = draw_sequence (seed);
  guint n_done;
  const char *broken = run (&sequence, is_traced, &n_done);

  if (broken != NULL)
    {
      if (g_getenv ("OWNER_SURVEY") != NULL)
        g_test_message ("seed %u: %s, after %u steps", seed, broken, n_done);
      else if (!is_traced)
        print_failure (&sequence, broken, n_done);
      g_test_fail_printf ("seed %u: %s", seed, broken);
    }
  g_array_unref (sequence.codes);
  return broken == NULL;
}

/* The faults that the test is for have happened.  */
static void
check_counts (void)
{
  g_test_message ("%u batches, %u runs, %u late, %u fenced, %u crashes",
                  total.n_batches, total.n_begun, total.n_late, total.n_fenced,
                  total.n_crashes);
  for (guint i = 0; i < G_N_ELEMENTS (total.n_ends); i++)
    {
      g_test_message ("batches ended as %u: %u", i, total.n_ends[i]);
      g_assert_cmpuint (total.n_ends[i], >, 0);
    }
  g_assert_cmpuint (total.n_late, >, 0);
  g_assert_cmpuint (total.n_fenced, >, 0);
  g_assert_cmpuint (total.n_returned, >, 0);
  g_assert_cmpuint (total.n_run_ends[2], >, 0); /* stopped */
  g_assert_cmpuint (total.n_run_ends[3], >, 0); /* lapsed */
}

static void
test_random_sequences (void)
{
  const char *only = g_getenv ("OWNER_SEED");
  const char *more = g_getenv ("OWNER_SEQUENCES");
  guint32 n_sequences = more != NULL ? (guint32)atoi (more) : N_SEQUENCES;

  if (only != NULL)
    {
      run_seed ((guint32)atoi (only), g_getenv ("OWNER_TRACE") != NULL);
      return;
    }
  for (guint32 seed = 1; seed <= n_sequences; seed++)
    if (!run_seed (seed, FALSE) && g_getenv ("OWNER_SURVEY") == NULL)
      return;
  if (n_sequences >= N_SEQUENCES)
    check_counts ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  event_log_set_level (LOG_LEVEL_ERROR);
  g_test_add_func ("/owner/random", test_random_sequences);
  return g_test_run ();
}
