/*
 * How a fleet serves loads near and over what its upstreams can do, on the
 * load model, by pattern.  The bound is what one queue for all slots serves,
 * with the same arrivals.
 */
#include "t/support/load_model.h"

#define N_OWNERS 9
#define N_UPSTREAMS 48
#define N_OFFERS 4
#define N_SEEDS 3

enum
{
  WIDE, /* short jobs of many tasks */
  LONG,
  SHORT,
};

/* All slots are busy at FULL of this load: 8 x 60 ms, 4 x 900 ms, 2 x 200
   ms.  */
static const struct load_config base = {
  .n_owners = N_OWNERS,
  .n_upstreams = N_UPSTREAMS,
  .max_offers = N_OFFERS,
  .spread_percent = 40,
  .message_ms = 1,
  .kinds = { [WIDE] = { 8, 60, 40, 0, 0.029 },
             [LONG] = { 4, 900, 7, 2, 0.16 },
             [SHORT] = { 2, 200, 116, 1, 0.01 } },
};
#define FULL 1.06

/* Longer than three objectives of a SHORT job, 1.14 s, and than the wait that
   is left to a LONG one, 3.6 s.  */
#define OUTAGE_MS 4000

/* A load, as the pattern of a test.  */
typedef void load_pattern (struct load_model *model);

struct outcome
{
  gdouble worth;
  gdouble wide; /* share of the wide jobs that were in time */
  guint n_messages;
  guint n_jobs;
};

static struct outcome
play (const struct load_config *config, load_pattern *pattern, guint32 seed)
{
  struct load_config seeded = *config;
  struct load_model *model;
  struct outcome outcome;
  struct load_result wide;

  seeded.seed = seed;
  model = load_model_new (&seeded);
  load_model_run (model, 500, 0.5);
  pattern (model);
  outcome.worth = load_model_worth (model);
  wide = load_model_finish (model, WIDE);
  outcome.wide = (gdouble)wide.n_in_time / wide.n_jobs;
  outcome.n_messages = load_model_count_messages (model);
  outcome.n_jobs = wide.n_jobs + load_model_finish (model, LONG).n_jobs
                   + load_model_finish (model, SHORT).n_jobs;
  load_model_free (model);
  return outcome;
}

/* Plays PATTERN under CONFIG, and with one queue for all slots: the fleet must
   serve at least SHARE of what that serves.  */
static void
check_against_one_queue (const struct load_config *config,
                         load_pattern *pattern, gdouble share)
{
  struct load_config one_queue = *config;

  one_queue.n_owners = 1;
  one_queue.max_offers = 1;
  one_queue.late_share = 0;
  /* Otherwise jobs that can only be late would take slots from the others.  */
  one_queue.waits = FALSE;
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      struct outcome bound = play (&one_queue, pattern, seed);
      struct outcome outcome = play (config, pattern, seed);

      g_test_message ("seed %u: worth %.3f, wide %.3f, %.1f messages a job; "
                      "one queue %.3f, %.3f",
                      seed, outcome.worth, outcome.wide,
                      (gdouble)outcome.n_messages / outcome.n_jobs,
                      bound.worth, bound.wide);
      g_assert_cmpfloat (outcome.worth, >=, share * bound.worth);
    }
}

static void
play_wave (struct load_model *model)
{
  for (guint i = 0; i < 8; i++)
    {
      load_model_run (model, 500, 0.65 * FULL);
      load_model_run (model, 500, 0.95 * FULL);
    }
}

static void
play_taken_away (struct load_model *model)
{
  load_model_run (model, 1000, 0.8 * FULL);
  load_model_remove_upstreams (model, 12, N_UPSTREAMS / 8);
  load_model_run (model, 6000, 0.8 * FULL);
}

static void
play_overload (struct load_model *model)
{
  load_model_run (model, 6000, 1.2 * FULL);
}

static void
play_burst (struct load_model *model)
{
  load_model_run (model, 2000, 0.7 * FULL);
  load_model_run (model, 1500, 1.6 * FULL);
  load_model_run (model, 2500, 0.7 * FULL);
}

static void
play_owner_dies (struct load_model *model)
{
  load_model_run (model, 1000, 0.8 * FULL);
  load_model_kill_owner (model, 3);
  load_model_run (model, 3000, 0.8 * FULL);
}

/* The load is 0.9 of what the two zones that are left can do.  */
static void
play_evacuated (struct load_model *model)
{
  load_model_run (model, 1000, 0.6 * FULL);
  load_model_evacuate (model, 0, N_UPSTREAMS / 3);
  load_model_run (model, 3000, 0.6 * FULL);
  load_model_take_back (model, 0, N_UPSTREAMS / 3, 0);
  load_model_run (model, 2000, 0.6 * FULL);
}

static void
play_returned_cold (struct load_model *model)
{
  load_model_run (model, 500, 0.6 * FULL);
  load_model_evacuate (model, 0, N_UPSTREAMS / 3);
  load_model_run (model, 1500, 0.6 * FULL);
  load_model_take_back (model, 0, N_UPSTREAMS / 3, 2000);
  load_model_run (model, 4000, 0.75 * FULL);
}

/* No VM owns upstreams for longer than three objectives of the short kinds,
   then all return within a second.  */
static void
play_outage (struct load_model *model)
{
  load_model_run (model, 500, 0.8 * FULL);
  load_model_evacuate (model, 0, N_UPSTREAMS);
  load_model_run (model, OUTAGE_MS, 0.8 * FULL);
  load_model_count_from_now (model);
  for (guint i = 0; i < N_UPSTREAMS; i += N_UPSTREAMS / 8)
    {
      load_model_take_back (model, i, N_UPSTREAMS / 8, 0);
      load_model_run (model, 100, 0.8 * FULL);
    }
  load_model_run (model, 2000, 0.8 * FULL);
}

/* "A wave that peaks at 95% of the slots".  */
static void
test_wave (void)
{
  check_against_one_queue (&base, play_wave, 0.95);
}

/* "An eighth of the upstreams taken away".  */
static void
test_taken_away (void)
{
  check_against_one_queue (&base, play_taken_away, 0.93);
}

/* "Wide short jobs among long ones": they need many slots at once, which no
   owner has alone.  */
static void
test_wide_jobs (void)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      struct load_config single = base;
      struct outcome pooled = play (&base, play_taken_away, seed);
      struct outcome one;

      single.max_offers = 1;
      one = play (&single, play_taken_away, seed);
      g_test_message ("seed %u: wide %.3f, with one owner's queue %.3f", seed,
                      pooled.wide, one.wide);
      g_assert_cmpfloat (pooled.wide, >=, 0.9);
      g_assert_cmpfloat (pooled.wide, >, one.wide);
    }
}

/* "Load of 1.2": which jobs are refused decides, not where they wait.  */
static void
test_overload (void)
{
  check_against_one_queue (&base, play_overload, 0.85);
}

/* "Burst of all kinds".  */
static void
test_burst (void)
{
  check_against_one_queue (&base, play_burst, 0.9);
}

/* "Owners that answer late": one message in ten takes 40 ms more, so that
   slots are kept free for claims.  */
static void
test_late_answers (void)
{
  struct load_config config = base;

  config.late_share = 10;
  check_against_one_queue (&config, play_wave, 0.9);
}

/* "An owner dies holding offers": each job ends, and what was only offered
   there runs elsewhere.  */
static void
test_owner_dies (void)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      struct outcome outcome = play (&base, play_owner_dies, seed);

      g_test_message ("seed %u: worth %.3f", seed, outcome.worth);
      g_assert_cmpfloat (outcome.worth, >=, 0.8);
    }
}

/* "A zone's upstreams go away by order under 0.9 of the load that is left":
   what is queued there moves, and nothing more is sent there.  */
static void
test_evacuated (void)
{
  check_against_one_queue (&base, play_evacuated, 0.93);
}

/* "It returns cold": its upstreams get few runs while they are slow, instead
   of all that the others would have served in time.  */
static void
test_returned_cold (void)
{
  check_against_one_queue (&base, play_returned_cold, 0.93);
}

/* "All VMs return after an outage longer than three objectives, under 0.8 of
   the load": jobs that have waited and can only be late must not take the
   slots of those that could be in time.  */
static void
test_long_outage (void)
{
  struct load_config config = base;

  config.waits = TRUE;
  check_against_one_queue (&config, play_outage, 0.95);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/load/wave", test_wave);
  g_test_add_func ("/load/taken-away", test_taken_away);
  g_test_add_func ("/load/wide-jobs", test_wide_jobs);
  g_test_add_func ("/load/overload", test_overload);
  g_test_add_func ("/load/burst", test_burst);
  g_test_add_func ("/load/late-answers", test_late_answers);
  g_test_add_func ("/load/owner-dies", test_owner_dies);
  g_test_add_func ("/load/evacuated", test_evacuated);
  g_test_add_func ("/load/returned-cold", test_returned_cold);
  g_test_add_func ("/load/long-outage", test_long_outage);
  return g_test_run ();
}
