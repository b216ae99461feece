/*
 * Runs a fleet under faults that are drawn from a seed, and judges it.
 *
 * Ends with status 0 when all promises were kept, and 1 with the violations,
 * the schedule of faults and the jobs concerned when not.
 */
#include "t/soak/judge.h"

#include <glib/gstdio.h>

#define RATE_PER_S 25
#define TICK_MS 4
#define MS_PER_S 1000
#define RECOVERY_S 12

/* A VM that has not come back so long after the last fault never will.  */
#define RETURN_S 30
#define PROBE_INTERVAL_MS 500
#define SERVING_S 2

/* Orders that are carried out late are so by then.  */
#define SETTLE_MS 3000

/* Of the clocks of workers, in millionths.  */
#define MAX_SLOW_PPM 20000

struct soak
{
  int seed;
  int seconds;
  int n_vms;
  int n_workers;
  gboolean keeps_logs;
  char *directory;
  struct fleet_bed *bed;
  struct traffic *traffic;
  struct faults *faults;
  gint64 start_ms;
  gint64 recovered_ms; /* after the last fault; -1 for not in time */
};

static gboolean
set_flag (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

static void
advance (struct soak *soak)
{
  gboolean is_over = FALSE;

  g_timeout_add (TICK_MS, set_flag, &is_over);
  while (!is_over)
    g_main_context_iteration (NULL, TRUE);
  faults_advance (soak->faults);
  traffic_advance (soak->traffic);
}

static void
pass (struct soak *soak, gint64 ms)
{
  gint64 until_ms = soak_now_ms () + ms;

  while (soak_now_ms () < until_ms)
    advance (soak);
}

static guint
worker_processes (guint n_workers)
{
  for (guint n = 3; n > 1; n--)
    if (n_workers % n == 0)
      return n;
  return 1;
}

static void
start (struct soak *soak)
{
  struct fleet_bed_plan plan = {
    .n_vms = (guint)soak->n_vms,
    .n_workers = (guint)soak->n_workers,
    .n_worker_processes = worker_processes ((guint)soak->n_workers),
    .n_zones = soak->seed % 2 == 0 ? 2 : 1,
    .seed = (guint32)soak->seed,
    .max_slow_ppm = MAX_SLOW_PPM,
    .has_proxy = TRUE,
    .log_directory = soak->directory,
  };

  soak->bed = fleet_bed_start_plan (&plan);
  fleet_bed_put_state (soak->bed);
  fleet_bed_wait_settled (soak->bed);
  soak->start_ms = soak_now_ms ();
  soak->traffic = traffic_new (soak->bed, (guint32)soak->seed);
  soak->faults = faults_new (soak->bed, soak->traffic, ~(guint32)soak->seed,
                             (guint)soak->seconds);
}

/* Sends a job to every VM; returns whether all were done.  */
static gboolean
probe (struct soak *soak)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  guint n_done = 0;

  traffic_probe (soak->traffic, jobs);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct soak_job *job = g_ptr_array_index (jobs, i);

      while (job->call != NULL)
        advance (soak);
      n_done += soak_job_is_done (job) ? 1 : 0;
    }
  return n_done == jobs->len;
}

/* Waits until the fleet serves again at every VM.  */
static void
recover (struct soak *soak)
{
  gint64 end_ms = faults_get_end_ms (soak->faults);

  while (soak_now_ms () <= end_ms + RECOVERY_S * MS_PER_S)
    {
      gint64 sent_ms = soak_now_ms ();

      if (probe (soak))
        {
          soak->recovered_ms = sent_ms - end_ms;
          return;
        }
      pass (soak, PROBE_INTERVAL_MS);
    }
  soak->recovered_ms = -1;
}

static void
run (struct soak *soak)
{
  traffic_set_rate (soak->traffic, RATE_PER_S);
  while (!faults_are_over (soak->faults)
         && soak_now_ms ()
                < soak->start_ms + (soak->seconds + RETURN_S) * MS_PER_S)
    advance (soak);
  recover (soak);
  pass (soak, SERVING_S * MS_PER_S);
  traffic_set_rate (soak->traffic, 0);
  while (!traffic_is_over (soak->traffic))
    advance (soak);
  pass (soak, SETTLE_MS);
}

/* Keeps what a failure is traced by.  */
static void
save (struct soak *soak, struct judge *judge)
{
  g_autofree char *path = g_build_filename (soak->directory, "report", NULL);
  FILE *file = fopen (path, "we");

  g_assert_nonnull (file);
  judge_print (judge, soak->start_ms, file);
  faults_print (soak->faults, soak->start_ms, file);
  fclose (file);
}

static void
remove_logs (struct soak *soak)
{
  g_autoptr (GDir) directory = g_dir_open (soak->directory, 0, NULL);
  const char *name;

  while ((name = g_dir_read_name (directory)) != NULL)
    {
      g_autofree char *path = g_build_filename (soak->directory, name, NULL);

      g_unlink (path);
    }
}

/* Returns the number of violations.  */
static guint
judge (struct soak *soak)
{
  struct judge *judge = judge_new (soak->bed, soak->traffic, soak->faults);
  guint n;

  if (!faults_are_over (soak->faults))
    judge_add (judge, NULL, "a VM did not come back");
  if (soak->recovered_ms < 0)
    judge_add (judge, NULL, "the fleet did not serve again in %d s",
               RECOVERY_S);
  n = judge_run (judge);
  printf ("seed %d: %s, %u faults, ", soak->seed, n == 0 ? "kept" : "BROKEN",
          faults_count (soak->faults));
  judge_print_counts (judge, stdout);
  printf (", serving after %.1f s\n", (double)soak->recovered_ms / MS_PER_S);
  if (n != 0)
    {
      judge_print (judge, soak->start_ms, stdout);
      faults_print (soak->faults, soak->start_ms, stdout);
      printf ("logs in %s: radishchute explain JOB %s/*.log\n",
              soak->directory, soak->directory);
      save (soak, judge);
    }
  judge_free (judge);
  return n;
}

static void
parse (int argc, char **argv, struct soak *soak)
{
  const GOptionEntry entries[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT, &soak->seed, "What all is drawn from",
      "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &soak->seconds,
      "How long faults come", "N" },
    { "vms", 0, 0, G_OPTION_ARG_INT, &soak->n_vms, "Entry VMs", "N" },
    { "workers", 0, 0, G_OPTION_ARG_INT, &soak->n_workers, "Workers", "N" },
    { "keep-logs", 0, 0, G_OPTION_ARG_NONE, &soak->keeps_logs,
      "Keep the logs also when all promises were kept", NULL },
    { NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error)
      && soak->n_vms >= 1 && soak->n_vms <= FLEET_BED_MAX_VMS
      && soak->n_workers >= 1 && soak->n_workers <= 24 && soak->seconds >= 2)
    return;
  fprintf (stderr, "soak: %s\n",
           error != NULL ? error->message
                         : "give 1 to 8 VMs, 1 to 24 workers, 2 s or more");
  exit (2);
}

int
main (int argc, char **argv)
{
  struct soak soak = { .seed = 1, .seconds = 15, .n_vms = 4, .n_workers = 12 };
  const char *build = g_getenv ("RADISHCHUTE_BUILD");
  guint n;

  parse (argc, argv, &soak);
  soak.directory = g_strdup_printf (
      "%s/soak/%d", build != NULL ? build : "build", soak.seed);
  g_mkdir_with_parents (soak.directory, 0755);
  start (&soak);
  run (&soak);
  n = judge (&soak);
  faults_free (soak.faults);
  traffic_free (soak.traffic);
  fleet_bed_free (soak.bed);
  if (n == 0 && !soak.keeps_logs)
    remove_logs (&soak);
  g_free (soak.directory);
  return n == 0 ? 0 : 1;
}
