/* The shares of callers: whose requests are refused first while there is a
   queue.  On the module alone, and on the load model.  */
#include "coordination/caller_share.h"
#include "coordination/queue_sum.h"
#include "t/support/load_model.h"

#define N_SEEDS 3
#define START_US (100 * USEC_PER_SEC)
#define CAPACITY_MILLI 100000.0
#define STEP_US (100 * USEC_PER_MSEC)

/* Callers 1 to N request WORK_US each in every step, and caller 1 FLOOD times
   as much, for MS.  */
static gint64
request_work (struct caller_share *share, guint n, gdouble work_us,
              gdouble flood, gboolean has_queue, guint ms, gint64 now_us)
{
  for (gint64 end_us = now_us + ms * USEC_PER_MSEC; now_us < end_us;
       now_us += STEP_US)
    {
      for (guint64 caller = 1; caller <= n; caller++)
        caller_share_count (share, caller, work_us * (caller == 1 ? flood : 1),
                            now_us);
      caller_share_update (share, NULL, 0, has_queue, now_us);
    }
  return now_us;
}

static gint64
request (struct caller_share *share, guint n, gdouble flood,
         gboolean has_queue, guint ms, gint64 now_us)
{
  return request_work (share, n, STEP_US, flood, has_queue, ms, now_us);
}

static gboolean
is_over (const struct caller_share *share, guint64 caller, gint64 now_us)
{
  struct caller_standing standing
      = caller_share_get (share, caller, CAPACITY_MILLI, now_us);

  if (standing.demand_milli > standing.limit_milli)
    g_assert_true (
        caller_share_may_exceed (share, caller, CAPACITY_MILLI, now_us));
  return standing.demand_milli > standing.limit_milli;
}

/* Callers that differ threefold are all within their limits, and a tenfold
   one is not: its excess is refused, and its limit is served.  */
static void
test_clear_excess (void)
{
  struct caller_share *share = caller_share_new ();
  struct caller_standing standing;
  gint64 now_us = request (share, 100, 3, TRUE, 10000, START_US);
  guint n_refused = 0;

  for (guint64 caller = 1; caller <= 100; caller++)
    g_assert_false (is_over (share, caller, now_us));
  now_us = request (share, 100, 10, TRUE, 10000, now_us);
  for (guint64 caller = 2; caller <= 100; caller++)
    g_assert_false (is_over (share, caller, now_us));
  standing = caller_share_get (share, 1, CAPACITY_MILLI, now_us);
  g_assert_cmpuint (standing.n_callers, ==, 100);
  g_assert_cmpfloat (standing.limit_milli, ==, 4 * CAPACITY_MILLI / 100);
  for (guint64 seed = 0; seed < 1000; seed++)
    n_refused += caller_standing_is_excess (&standing, seed) ? 1 : 0;
  g_assert_cmpuint (n_refused, >, 550);
  g_assert_cmpuint (n_refused, <, 650);
  g_assert_cmpint (caller_standing_get_excess_ms (&standing), >, 2000);
  caller_share_free (share);
}

/* The only active caller is not refused, whatever it requests: nobody else
   could use the slots.  One that was never seen cannot exceed anything.  */
static void
test_only_caller (void)
{
  struct caller_share *share = caller_share_new ();
  gint64 now_us = request (share, 1, 1000, TRUE, 10000, START_US);
  struct caller_standing standing
      = caller_share_get (share, 1, CAPACITY_MILLI, now_us);

  g_assert_cmpfloat (standing.demand_milli, >, 2 * standing.limit_milli);
  for (guint64 seed = 0; seed < 100; seed++)
    g_assert_false (caller_standing_is_excess (&standing, seed));
  g_assert_false (caller_share_may_exceed (share, 2, CAPACITY_MILLI, now_us));
  caller_share_free (share);
}

/* Reports of more callers than the table holds do not evict the callers whose
   requests arrive here: each eviction scans the table, and there may be
   thousands several times a second.  */
static void
test_reports_when_full (void)
{
  struct caller_share *share = caller_share_new ();
  struct caller_list report = { { { 0 } }, CALLER_LIST_MAX };
  const struct caller_list *lists[] = { &report };

  for (guint64 caller = 1; caller <= CALLER_SHARE_MAX; caller++)
    caller_share_count (share, caller, 1000, START_US);
  for (guint i = 0; i < CALLER_LIST_MAX; i++)
    report.callers[i]
        = (struct caller_demand){ i == 0 ? 1 : CALLER_SHARE_MAX + i, 500 };
  caller_share_update (share, lists, 1, TRUE, START_US);
  g_assert_cmpfloat (caller_share_get (share, 1, 1, START_US).demand_milli, >=,
                     500);
  for (guint64 caller = 1; caller <= CALLER_SHARE_MAX; caller++)
    g_assert_cmpfloat (
        caller_share_get (share, caller, 1, START_US).demand_milli, >, 0);
  caller_share_free (share);
}

/* A caller that always requests more than others is not refused for that when
   a queue forms, also at the peak of a wave of all; and a flood does not
   become usual while there is a queue.  */
static void
test_usual (void)
{
  struct caller_share *share = caller_share_new ();
  gint64 now_us = request (share, 100, 10, FALSE, 60000, START_US);

  now_us = request (share, 100, 15, TRUE, 20000, now_us);
  g_assert_false (is_over (share, 1, now_us));
  now_us = request_work (share, 100, 4 * STEP_US, 15, TRUE, 20000, now_us);
  g_assert_false (is_over (share, 1, now_us));
  now_us = request (share, 100, 30, TRUE, 120000, now_us);
  g_assert_true (is_over (share, 1, now_us));
  caller_share_free (share);
}

/* A flood through many VMs: each sees too little of it to tell, their reports
   together show it.  A VM that dies takes its report along.  */
static void
test_reports (void)
{
  struct caller_share *share = caller_share_new ();
  const struct caller_list report = { { { 1, 6000 }, { 7, 20 } }, 2 };
  const struct caller_list *lists[] = { &report, &report, &report, &report };
  struct caller_list own;
  gint64 now_us = request (share, 100, 1, TRUE, 20000, START_US);

  g_assert_false (is_over (share, 1, now_us));
  caller_share_update (share, lists, 4, TRUE, now_us);
  g_assert_true (is_over (share, 1, now_us));
  g_assert_false (is_over (share, 7, now_us));
  caller_share_list_largest (share, &own, now_us);
  g_assert_cmpuint (own.n, ==, CALLER_LIST_MAX);
  g_assert_cmpuint (own.callers[0].demand_milli, <, 1100);
  caller_share_update (share, lists, 1, TRUE, now_us);
  g_assert_false (is_over (share, 1, now_us));
  caller_share_free (share);
}

/* More callers than the table holds: those with the largest demand stay, and
   only active ones count.  */
static void
test_bounded (void)
{
  struct caller_share *share = caller_share_new ();
  struct caller_list largest;
  gint64 now_us = START_US;

  caller_share_count (share, 1, 1e9, now_us);
  for (guint64 caller = 2; caller < 3 * CALLER_SHARE_MAX; caller++)
    caller_share_count (share, caller, 1000, now_us);
  g_assert_cmpuint (caller_share_get (share, 1, 1, now_us).n_callers, ==,
                    CALLER_SHARE_MAX);
  caller_share_list_largest (share, &largest, now_us);
  g_assert_cmpuint (largest.callers[0].caller, ==, 1);
  now_us += CALLER_SHARE_ACTIVE_US + 1;
  g_assert_cmpuint (caller_share_get (share, 1, 1, now_us).n_callers, ==, 0);
  caller_share_free (share);
}

/* Queues beside free slots are not waiting, and neither are short ones.  */
static void
test_queue (void)
{
  struct vm_room room = { .n_slots = 10, .ends_per_s = 50 };
  struct queue_sum sum = { 0 };

  free_slots_init (&room.free_slots, 2);
  queue_sum_add (&sum, &room);
  g_assert_cmpfloat (sum.capacity_milli, ==, 20000);
  g_assert_false (queue_sum_has_queue (&sum));
  room.n_queued[2] = 3;
  queue_sum_add (&sum, &room);
  g_assert_cmpint (queue_sum_get_drain_ms (&sum), ==, 30);
  g_assert_false (queue_sum_has_queue (&sum));
  room.n_queued[0] = 10;
  queue_sum_add (&sum, &room);
  g_assert_true (queue_sum_has_queue (&sum));
  free_slots_add_upstream (&room.free_slots, 40);
  sum = (struct queue_sum){ 0 };
  queue_sum_add (&sum, &room);
  g_assert_cmpuint (sum.n_waiting, ==, 0);
  g_assert_false (queue_sum_has_queue (&sum));
}

enum
{
  WIDE, /* short jobs of many tasks */
  LONG,
  SHORT,
  N_KINDS
};

/* All slots are busy at 1.06 of this load, see t2141.  */
#define FULL 1.06

static const struct load_config base = {
  .n_owners = 9,
  .n_upstreams = 48,
  .max_offers = 4,
  .spread_percent = 40,
  .message_ms = 1,
  .n_callers = 30,
  .shares_by_caller = TRUE,
  .kinds = { [WIDE] = { 8, 60, 40, 0, 0.029 },
             [LONG] = { 4, 900, 7, 2, 0.16 },
             [SHORT] = { 2, 200, 116, 1, 0.01 } },
};

/* A flood of caller 0, and what it leaves to the others.  */
struct flood
{
  const char *name; /* of the test */
  guint kind;
  guint jobs_per_s;
  gint home;          /* or -1 for all */
  gboolean is_killed; /* that home dies meanwhile */
  guint report_ms;    /* see struct load_config */
  gdouble min;        /* of the worth that the others have without it */
};

/* "A flood of one account among many", of each kind; "the VM that saw most of
   a caller dies"; "news of shares is late": as old as a VM that counts as
   lost.  */
static const struct flood floods[] = {
  { "/caller-share/flood/wide", WIDE, 120, -1, FALSE, 0, 0.9 },
  { "/caller-share/flood/long", LONG, 15, -1, FALSE, 0, 0.9 },
  { "/caller-share/flood/short", SHORT, 150, -1, FALSE, 0, 0.9 },
  { "/caller-share/vm-dies", SHORT, 150, 3, TRUE, 0, 0.85 },
  { "/caller-share/late-news", SHORT, 150, -1, FALSE, 600, 0.9 },
};

/* Plays FLOOD with JOBS_PER_S.  Returns the worth of the others' jobs in
   time.  */
static gdouble
play_flood (const struct flood *flood, guint jobs_per_s, gboolean shares,
            guint32 seed, struct load_result *caller)
{
  struct load_config config = base;
  struct load_model *model;
  gdouble others;

  config.seed = seed;
  config.shares_by_caller = shares;
  config.report_ms = flood->report_ms;
  model = load_model_new (&config);
  load_model_run (model, 4000, 0.75 * FULL);
  load_model_set_flood (model, flood->kind, jobs_per_s, flood->home);
  load_model_run (model, 3000, 0.75 * FULL);
  if (flood->is_killed)
    load_model_kill_owner (model, (guint)flood->home);
  load_model_run (model, 4000, 0.75 * FULL);
  load_model_worth (model);
  others = load_model_get_others_worth (model);
  *caller = load_model_get_caller_result (model, TRUE);
  load_model_free (model);
  return others;
}

/* Shares must leave the others most of what they are served without the
   flood, more than without shares, and the caller must not starve.  */
static void
test_flood (gconstpointer data)
{
  const struct flood *flood = data;

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      struct load_result caller;
      gdouble calm = play_flood (flood, 0, TRUE, seed, &caller);
      gdouble before
          = play_flood (flood, flood->jobs_per_s, FALSE, seed, &caller);
      gdouble others
          = play_flood (flood, flood->jobs_per_s, TRUE, seed, &caller);

      g_test_message ("seed %u: others %.3f, without shares %.3f, without "
                      "flood %.3f; the flood %u of %u in time, %u refused",
                      seed, others, before, calm, caller.n_in_time,
                      caller.n_jobs, caller.n_refused);
      g_assert_cmpfloat (others, >=, flood->min * calm);
      g_assert_cmpfloat (others, >=, before);
      g_assert_cmpuint (caller.n_in_time, >=, caller.n_jobs / 10);
    }
}

static gdouble
play_overload (gboolean shares, guint32 seed)
{
  struct load_config config = base;
  struct load_model *model;
  gdouble worth;

  config.seed = seed;
  config.shares_by_caller = shares;
  model = load_model_new (&config);
  load_model_run (model, 3000, 0.6 * FULL);
  load_model_run (model, 2000, 1.7 * FULL);
  load_model_run (model, 3000, 1.1 * FULL);
  worth = load_model_worth (model);
  load_model_free (model);
  return worth;
}

/* Callers that differ by nature, in a burst of all kinds and an overload: the
   same jobs are served as without shares.  */
static void
test_within_shares (void)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    g_assert_cmpfloat (play_overload (TRUE, seed), ==,
                       play_overload (FALSE, seed));
}

/* The shares of the kinds' jobs that are in time when KIND arrives at FACTOR
   times its rate for five seconds, and the rest at LOAD.  */
static void
play_kind_burst (guint kind, gdouble factor, gdouble load, guint32 seed,
                 gdouble in_time[N_KINDS])
{
  struct load_config config = base;
  struct load_model *model;

  config.seed = seed;
  model = load_model_new (&config);
  load_model_run (model, 2000, load);
  load_model_set_kind_factor (model, kind, factor);
  load_model_run (model, 5000, load);
  load_model_set_kind_factor (model, kind, 1);
  load_model_run (model, 1000, load);
  for (guint i = 0; i < N_KINDS; i++)
    {
      struct load_result result = load_model_finish (model, i);

      in_time[i] = (gdouble)result.n_in_time / result.n_jobs;
    }
  load_model_free (model);
}

/* "One kind at 2.5 times its rate for five seconds": more urgent kinds are
   served as without the burst, and no kind starves.  */
static void
test_kind_burst (void)
{
  for (guint kind = 0; kind < N_KINDS; kind++)
    for (guint32 seed = 1; seed <= N_SEEDS; seed++)
      {
        gdouble calm[N_KINDS];
        gdouble got[N_KINDS];

        play_kind_burst (kind, 1, 0.75 * FULL, seed, calm);
        play_kind_burst (kind, 2.5, 0.75 * FULL, seed, got);
        g_test_message ("kind %u, seed %u: %.3f %.3f %.3f, without burst "
                        "%.3f %.3f %.3f",
                        kind, seed, got[0], got[1], got[2], calm[0], calm[1],
                        calm[2]);
        for (guint i = 0; i < N_KINDS; i++)
          {
            g_assert_cmpfloat (got[i], >=, 0.3);
            if (i != kind
                && base.kinds[i].priority < base.kinds[kind].priority)
              g_assert_cmpfloat (got[i], >=, 0.95 * calm[i]);
          }
      }
}

/* "Urgent jobs among long ones that fill every slot": these do not delay them
   beyond their objective.  */
static void
test_urgent_among_long (void)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      gdouble got[N_KINDS];

      play_kind_burst (LONG, 4, 0.7 * FULL, seed, got);
      g_test_message ("seed %u: wide %.3f, long %.3f, short %.3f", seed,
                      got[WIDE], got[LONG], got[SHORT]);
      g_assert_cmpfloat (got[WIDE], >=, 0.9);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/caller-share/clear-excess", test_clear_excess);
  g_test_add_func ("/caller-share/only-caller", test_only_caller);
  g_test_add_func ("/caller-share/usual", test_usual);
  g_test_add_func ("/caller-share/reports", test_reports);
  g_test_add_func ("/caller-share/reports-when-full", test_reports_when_full);
  g_test_add_func ("/caller-share/bounded", test_bounded);
  g_test_add_func ("/caller-share/queue", test_queue);
  for (guint i = 0; i < G_N_ELEMENTS (floods); i++)
    g_test_add_data_func (floods[i].name, &floods[i], test_flood);
  g_test_add_func ("/caller-share/within-shares", test_within_shares);
  g_test_add_func ("/caller-share/kind-burst", test_kind_burst);
  g_test_add_func ("/caller-share/urgent-among-long", test_urgent_among_long);
  return g_test_run ();
}
