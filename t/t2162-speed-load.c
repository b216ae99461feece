/*
 * Placement by speed under load, on the load model, by pattern: what is served
 * in time with the setting, without it, and by one queue over all upstreams
 * that knows their speeds.
 */
#include "t/support/load_model.h"

#include <math.h>

#define N_SEEDS 3

/* The kinds of job and the upstreams of the "uneven" deployment, at the scale
   of 84 upstreams of 350.  */
static const struct load_config uneven = {
  .n_owners = 9,
  .n_upstreams = 84,
  .max_offers = 4,
  .spread_percent = 40,
  .message_ms = 1,
  .kinds = { { 8, 51, 44, 0, 0.00485 },
             { 4, 760, 8, 2, 0.0267 },
             { 2, 170, 127, 1, 0.00167 } },
  .attempts = 2,
  .speeds = { 0.6, 1, 1.6 },
  .is_sized = TRUE,
};

/* A load that varies by SWING around FACTOR, with a period of 13 s, for one
   period.  If SLOW_EVERY is not 0, one upstream in this many is seven times
   slower in the middle six seconds.  */
struct pattern
{
  gdouble factor;
  gdouble swing;
  guint slow_every;
};

#define SLOWDOWN 7.0

/* The share of the value of all jobs that is served in time, and the jobs that
   failed.  */
struct outcome
{
  gdouble worth;
  guint n_failed;
};

static struct outcome
play (const struct load_config *config, const struct pattern *p)
{
  struct outcome outcome = { 0 };

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      struct load_config seeded = *config;
      struct load_model *model;

      seeded.seed = seed;
      model = load_model_new (&seeded);
      for (guint i = 0; i < 26; i++)
        {
          if (p->slow_every > 0 && (i == 7 || i == 19))
            load_model_slow_upstreams (model, p->slow_every,
                                       i == 7 ? SLOWDOWN : 1 / SLOWDOWN);
          load_model_run (model, 500,
                          p->factor * (1 - p->swing * cos (i * G_PI / 13)));
        }
      outcome.worth += load_model_worth (model) / N_SEEDS;
      for (guint kind = 0; kind < LOAD_MAX_KINDS; kind++)
        outcome.n_failed += load_model_finish (model, kind).n_failed;
      load_model_free (model);
    }
  return outcome;
}

/* Plays PATTERN without and with the setting, and with one queue.  The setting
   must serve GAIN more than without it, and SHARE of the bound, with a quarter
   of the failed jobs.  */
static void
check (const struct load_config *config, const struct pattern *pattern,
       gdouble gain, gdouble share)
{
  struct load_config by_speed = *config;
  struct load_config one_queue;
  struct outcome former = play (config, pattern);
  struct outcome outcome;
  struct outcome bound;

  by_speed.placement_by_speed = TRUE;
  outcome = play (&by_speed, pattern);
  one_queue = by_speed;
  one_queue.n_owners = 1;
  one_queue.max_offers = 1;
  bound = play (&one_queue, pattern);
  g_test_message ("worth %.3f, %u failed; without the setting %.3f, %u; one "
                  "queue %.3f, %u",
                  outcome.worth, outcome.n_failed, former.worth,
                  former.n_failed, bound.worth, bound.n_failed);
  g_assert_cmpfloat (outcome.worth, >=, former.worth + gain);
  g_assert_cmpfloat (outcome.worth, >=, share * bound.worth);
  g_assert_cmpuint (outcome.n_failed, <=, former.n_failed / 4);
}

/* "Speeds 0.6 to 1.6": long tasks are late on slow upstreams unless they start
   at once.  */
static void
test_speeds (void)
{
  check (&uneven, &(struct pattern){ 1, 0.55, 0 }, 0.04, 0.97);
  check (&uneven, &(struct pattern){ 1.9, 0, 0 }, 0.05, 0.95);
}

/* "Speeds 0.6 to 1.6 with 3% stragglers": a straggler is no evidence of a slow
   upstream.  */
static void
test_stragglers (void)
{
  struct load_config config = uneven;

  config.tail_percent = 3;
  config.tail_factor = 7;
  check (&config, &(struct pattern){ 1, 0.55, 0 }, 0.04, 0.97);
}

/* "Long tasks just too wide to pack": upstreams with 16 CPUs have one slot. */
static void
test_too_wide (void)
{
  struct load_config config = uneven;

  config.task_cpus = 8.5;
  check (&config, &(struct pattern){ 0.8, 0.55, 0 }, 0.04, 0.95);
}

/* "A tenth of the upstreams fail all they start", and a quarter: no second
   attempt should end there.  */
static void
test_failing (void)
{
  struct load_config config = uneven;

  config.failing_every = 10;
  check (&config, &(struct pattern){ 1, 0.55, 0 }, 0.04, 0.95);
  config.failing_every = 4;
  check (&config, &(struct pattern){ 1, 0.55, 0 }, 0.08, 0.95);
}

/* A tenth of the upstreams, and a quarter, turn seven times slower for six
   seconds: an estimate that is robust against stragglers must still follow. */
static void
test_slowdown (void)
{
  check (&uneven, &(struct pattern){ 1.4, 0, 10 }, 0.04, 0.95);
  check (&uneven, &(struct pattern){ 1.4, 0, 4 }, 0.04, 0.95);
}

/* Equal speeds: the errors of the estimates must not cost anything.  Over full
   load the mean over the seeds varies by 0.01.  */
static void
test_equal (void)
{
  struct load_config config = uneven;

  config.speeds[0] = 0;
  check (&config, &(struct pattern){ 1, 0.55, 0 }, 0, 0.99);
  check (&config, &(struct pattern){ 2, 0, 0 }, -0.01, 0.92);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/speed-load/speeds", test_speeds);
  g_test_add_func ("/speed-load/stragglers", test_stragglers);
  g_test_add_func ("/speed-load/too-wide", test_too_wide);
  g_test_add_func ("/speed-load/failing", test_failing);
  g_test_add_func ("/speed-load/slowdown", test_slowdown);
  g_test_add_func ("/speed-load/equal", test_equal);
  return g_test_run ();
}
