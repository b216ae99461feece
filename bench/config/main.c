/*
 * Measures the latency and the cost of configuration changes.  Prints:
 *
 * - the time from publishing a change until it is in force on each of three
 *   entry VMs, for single changes and for bursts;
 * - bytes and CPU time of a change on one VM, as a patch and as a whole
 *   document, for several document sizes;
 * - memory of one VM for several numbers of documents.
 */
#include "bench/config/testbed.h"

#define N_VMS 3
#define N_TEAMS 120
/* Upstreams of a document, which is then about 25 KB of JSON.  */
#define N_UPSTREAMS 200

#define N_SINGLE_CHANGES 1000
#define BURST_SIZE 60
#define N_BURSTS 60

static void
print_times (const char *label, const struct histogram *times)
{
  printf ("%-34s %6" G_GUINT64_FORMAT "  %8.1f %8.1f %8.1f %8.1f\n", label,
          times->count, (double)histogram_quantile (times, 0.5) / 1000,
          (double)histogram_quantile (times, 0.99) / 1000,
          (double)histogram_quantile (times, 0.999) / 1000,
          (double)histogram_quantile (times, 1) / 1000);
}

static void
measure_times (struct testbed *testbed)
{
  struct histogram singles = { 0 };
  struct histogram bursts = { 0 };

  printf ("\ntime until in force, %d VMs, %d documents of %" G_GSIZE_FORMAT
          " bytes, ms\n%-34s %6s  %8s %8s %8s %8s\n",
          N_VMS, N_TEAMS, testbed_get_document_bytes (N_UPSTREAMS), "", "n",
          "p50", "p99", "p99.9", "max");
  testbed->propagation_us = &singles;
  for (guint i = 0; i < N_SINGLE_CHANGES; i++)
    testbed_change_teams (testbed, i % N_TEAMS, 1, CHANGE_PATCH);
  print_times ("one change at a time", &singles);
  testbed->propagation_us = &bursts;
  for (guint i = 0; i < N_BURSTS; i++)
    testbed_change_teams (testbed, i % 2 * BURST_SIZE, BURST_SIZE,
                          CHANGE_PATCH);
  print_times ("bursts of 60 changes", &bursts);
  bursts = (struct histogram){ 0 };
  for (guint i = 0; i < N_BURSTS / 4; i++)
    testbed_change_teams (testbed, i % 2 * BURST_SIZE, BURST_SIZE,
                          CHANGE_DOCUMENT);
  print_times ("bursts of 60 whole documents", &bursts);
  testbed->propagation_us = NULL;
}

/* Sets BYTES and CPU_US to the mean cost of one change on VM 0.  Changes each
   team N_ROUNDS times.  */
static void
measure_change_cost (struct testbed *testbed, enum change_form form,
                     guint n_rounds, double *bytes, double *cpu_us)
{
  guint n = testbed->n_teams * n_rounds;
  guint64 bytes_before = testbed_get_platform_bytes (testbed, 0);
  gint64 cpu_before_us = testbed_get_cpu_us (testbed, 0);

  for (guint i = 0; i < n; i++)
    testbed_change_teams (testbed, i % testbed->n_teams, 1, form);
  *cpu_us = (double)(testbed_get_cpu_us (testbed, 0) - cpu_before_us) / n;
  *bytes
      = (double)(testbed_get_platform_bytes (testbed, 0) - bytes_before) / n;
}

static void
measure_costs (void)
{
  static const guint sizes[] = { 25, 50, 100, 200, 400 };

  printf ("\ncost of a change for one VM\n%10s %10s  %12s %12s  %12s %12s\n",
          "upstreams", "bytes", "patch bytes", "patch CPU us", "whole bytes",
          "whole CPU us");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct testbed *testbed = testbed_new (1);
      double bytes[2];  /* by form */
      double cpu_us[2]; /* by form */

      testbed_add_teams (testbed, 10, sizes[i]);
      measure_change_cost (testbed, CHANGE_PATCH, 50, &bytes[CHANGE_PATCH],
                           &cpu_us[CHANGE_PATCH]);
      measure_change_cost (testbed, CHANGE_DOCUMENT, 50,
                           &bytes[CHANGE_DOCUMENT], &cpu_us[CHANGE_DOCUMENT]);
      printf ("%10u %10" G_GSIZE_FORMAT "  %12.0f %12.0f  %12.0f %12.0f\n",
              sizes[i], testbed_get_document_bytes (sizes[i]),
              bytes[CHANGE_PATCH], cpu_us[CHANGE_PATCH],
              bytes[CHANGE_DOCUMENT], cpu_us[CHANGE_DOCUMENT]);
      testbed_free (testbed);
    }
}

static void
measure_memory (void)
{
  static const guint counts[] = { 1, 30, 60, 120, 240 };
  struct testbed *testbed = testbed_new (1);

  printf ("\nmemory of a VM by number of documents of %" G_GSIZE_FORMAT
          " bytes\n"
          "%10s %10s\n",
          testbed_get_document_bytes (N_UPSTREAMS), "documents", "RSS KB");
  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      testbed_add_teams (testbed, counts[i], N_UPSTREAMS);
      printf ("%10u %10" G_GINT64_FORMAT "\n", counts[i],
              testbed_get_rss_kb (testbed, 0));
    }
  testbed_free (testbed);
}

int
main (void)
{
  struct testbed *testbed = testbed_new (N_VMS);

  setvbuf (stdout, NULL, _IOLBF, 0);
  testbed_add_teams (testbed, N_TEAMS, N_UPSTREAMS);
  measure_times (testbed);
  testbed_free (testbed);
  measure_costs ();
  measure_memory ();
  return 0;
}
