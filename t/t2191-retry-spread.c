/* When refused callers are asked to return.  On the module alone, and on the
   load model.  */
#include "coordination/retry_spread.h"
#include "t/support/load_model.h"

#define N_SEEDS 10
#define START_US (100 * USEC_PER_SEC)
#define STEP_US (20 * USEC_PER_MSEC)

static gint64
refuse (struct retry_spread *spread, guint64 job, gint64 drain_ms,
        gint64 now_us)
{
  struct retry_request request = { .job = job,
                                   .n_tasks = 4,
                                   .drain_ms = drain_ms,
                                   .starts_per_s = 320,
                                   .n_homes = 2,
                                   .seed = (guint64)now_us };

  return retry_spread_refuse (spread, &request, now_us);
}

/* Jobs that are refused at once return one after another, at a rate that is
   left for them: 320 starts a second, an eighth of them, half of it for this
   home, in jobs of 4 tasks.  */
static void
test_spaced (void)
{
  struct retry_spread *spread = retry_spread_new ();
  guint per_s[RETRY_SPREAD_MAX_MS / 1000 + 1] = { 0 };

  for (guint64 job = 1; job <= 20; job++)
    {
      gint64 retry_ms = refuse (spread, job, 500, START_US);

      g_assert_cmpint (retry_ms, >=, 500);
      per_s[retry_ms / 1000]++;
    }
  for (guint i = 1; i < 4; i++)
    {
      g_assert_cmpuint (per_s[i], >=, 4);
      g_assert_cmpuint (per_s[i], <=, 6);
    }
  retry_spread_free (spread);
}

/* More jobs than can return within the longest time are spread over all of it,
   and never asked to return sooner than the queue drains.  */
static void
test_bounds (void)
{
  struct retry_spread *spread = retry_spread_new ();
  guint n_early = 0;

  for (guint64 job = 1; job <= 400; job++)
    {
      gint64 retry_ms = refuse (spread, job, 1000, START_US);

      g_assert_cmpint (retry_ms, >=, 1000);
      g_assert_cmpint (retry_ms, <=, RETRY_SPREAD_MAX_MS);
      n_early += retry_ms < 3000 ? 1 : 0;
    }
  g_assert_cmpuint (n_early, >, 140);
  g_assert_cmpuint (n_early, <, 260);
  g_assert_cmpint (refuse (spread, 1, 60000, START_US), ==,
                   RETRY_SPREAD_MAX_MS);
  retry_spread_free (spread);
  spread = retry_spread_new ();
  g_assert_cmpint (refuse (spread, 1, 0, START_US), ==, RETRY_SPREAD_MIN_MS);
  retry_spread_free (spread);
}

/* Callers that never return: the others are not asked to wait for them, and
   hear how long the queue is.  */
static void
test_none_return (void)
{
  struct retry_spread *spread = retry_spread_new ();
  gint64 now_us = START_US;
  gint64 longest_ms = 0;

  for (guint64 job = 1; job <= 2000; job++, now_us += STEP_US)
    {
      gint64 retry_ms = refuse (spread, job, 300, now_us);

      longest_ms = job > 1900 ? MAX (longest_ms, retry_ms) : 0;
    }
  g_assert_cmpfloat (retry_spread_get_return_share (spread), <, 0.05);
  g_assert_cmpint (longest_ms, <, 350);
  retry_spread_free (spread);
}

/* Callers that return to any of four VMs: each sees a quarter of its own
   again, and expects all.  A job counts as returned once.  */
static void
test_return_elsewhere (void)
{
  struct retry_spread *spread = retry_spread_new ();
  gint64 now_us = START_US;

  for (guint64 job = 1; job <= 1000; job++, now_us += STEP_US)
    {
      gboolean is_here = job % 4 == 0;

      refuse (spread, job, 300, now_us);
      if (!is_here)
        continue;
      g_assert_true (retry_spread_note_arrival (spread, job, 4, now_us));
      g_assert_false (retry_spread_note_arrival (spread, job, 4, now_us));
    }
  now_us += 20 * USEC_PER_SEC;
  g_assert_false (retry_spread_note_arrival (spread, 999, 4, now_us));
  g_assert_cmpfloat (retry_spread_get_return_share (spread), >, 0.9);
  retry_spread_free (spread);
}

/* Adds the jobs that return after a burst to RETRIES, and the worth of all
   jobs that are in time to WORTH.  */
static void
play_burst (gboolean spreads_retries, guint32 seed,
            struct load_result *retries, gdouble *worth)
{
  const struct load_config config = {
    .seed = seed,
    .n_owners = 9,
    .n_upstreams = 48,
    .max_offers = 4,
    .spread_percent = 40,
    .message_ms = 1,
    .retry_percent = 100,
    .spreads_retries = spreads_retries,
    .kinds = { { 8, 60, 40, 0, 0.029 },
               { 4, 900, 7, 2, 0.16 },
               { 2, 200, 116, 1, 0.01 } },
  };
  struct load_model *model = load_model_new (&config);
  struct load_result result;

  load_model_run (model, 1000, 0.75);
  load_model_run (model, 2000, 2.2);
  load_model_run (model, 8000, 0.75);
  for (guint i = 0; i < G_N_ELEMENTS (config.kinds); i++)
    *worth += config.kinds[i].worth * load_model_finish (model, i).n_in_time;
  result = load_model_get_retry_result (model);
  retries->n_jobs += result.n_jobs;
  retries->n_in_time += result.n_in_time;
  load_model_free (model);
}

/* "Refused callers return together": all of a burst do, at the time that they
   are told.  Spread, more of them must be served, at no cost to the rest.  */
static void
test_return_together (void)
{
  struct load_result spread = { 0 };
  struct load_result before = { 0 };
  gdouble worth = 0;
  gdouble worth_before = 0;

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      play_burst (TRUE, seed, &spread, &worth);
      play_burst (FALSE, seed, &before, &worth_before);
    }
  g_test_message ("%u of %u retries in time, without spread %u of %u; worth "
                  "%.1f, %.1f",
                  spread.n_in_time, spread.n_jobs, before.n_in_time,
                  before.n_jobs, worth / N_SEEDS, worth_before / N_SEEDS);
  g_assert_cmpuint (spread.n_in_time * before.n_jobs, >,
                    before.n_in_time * spread.n_jobs);
  g_assert_cmpfloat (worth, >=, worth_before);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry-spread/spaced", test_spaced);
  g_test_add_func ("/retry-spread/bounds", test_bounds);
  g_test_add_func ("/retry-spread/none-return", test_none_return);
  g_test_add_func ("/retry-spread/return-elsewhere", test_return_elsewhere);
  g_test_add_func ("/retry-spread/return-together", test_return_together);
  return g_test_run ();
}
