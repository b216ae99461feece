/*
 * A burst on one owner, on the load model.
 *
 * Pattern "burst beside lost orders": for two seconds more work arrives than
 * the upstreams can do, while one order in twenty-five gets no answer.  What
 * is served in time must stay what it was before the burst.
 */
#include "t/support/load_model.h"

#define N_UPSTREAMS 6
#define SLOTS 2 /* of one upstream */
#define RUN_MS 200

/* Jobs per second that fill all slots.  */
#define FULL_LOAD (N_UPSTREAMS * SLOTS * 1000 / RUN_MS)
#define USUAL_LOAD 0.75
#define BURST_LOAD 1.5

static const struct load_config base = {
  .n_owners = 1,
  .n_upstreams = N_UPSTREAMS,
  .max_offers = 1,
  .is_even = TRUE,
  .kinds = { { 1, RUN_MS, FULL_LOAD, 0, 1 } },
};

/* Lets two seconds pass.  Returns how many jobs were served in time.  */
static guint
run_load (struct load_model *model, gdouble load)
{
  guint n_before = load_model_count_in_time (model, 0);

  load_model_run (model, 2000, load);
  return load_model_count_in_time (model, 0) - n_before;
}

static void
test_burst (gconstpointer data)
{
  gdouble lost_share = *(const gdouble *)data;

  for (guint32 seed = 1; seed <= 5; seed++)
    {
      struct load_config config = base;
      struct load_model *model;
      guint n_before;
      guint n_in_burst;

      config.seed = seed;
      model = load_model_new (&config);
      n_before = run_load (model, USUAL_LOAD);
      load_model_set_lost_share (model, lost_share);
      n_in_burst = run_load (model, BURST_LOAD);
      g_test_message ("seed %u: %u in time before, %u in the burst", seed,
                      n_before, n_in_burst);
      g_assert_cmpuint (n_in_burst, >=, n_before);
      load_model_free (model);
    }
}

int
main (int argc, char **argv)
{
  static const gdouble none = 0;
  static const gdouble one_in_25 = 0.04;

  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/burst/plain", &none, test_burst);
  g_test_add_data_func ("/burst/lost-orders", &one_in_25, test_burst);
  return g_test_run ();
}
