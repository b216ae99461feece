/*
 * What a change of the configuration costs and how long it takes.
 *
 * Three entry VMs follow one log.  Prints the time from publishing to in
 * force, single changes and bursts; bytes and processor time of a change for
 * one VM, as a patch and as a whole document, over sizes of documents; memory
 * over numbers of documents.
 */
#include "bench/config/cell.h"

#define N_VMS 3
#define N_TEAMS 120
/* About 25 KB of JSON.  */
#define N_UPSTREAMS 200

#define N_SINGLES 1000
#define BURST 60
#define N_BURSTS 60

static void
print_times (const char *what, const struct histogram *times)
{
  printf ("%-34s %6" G_GUINT64_FORMAT "  %8.1f %8.1f %8.1f %8.1f\n", what,
          times->count, (double)histogram_quantile (times, 0.5) / 1000,
          (double)histogram_quantile (times, 0.99) / 1000,
          (double)histogram_quantile (times, 0.999) / 1000,
          (double)histogram_quantile (times, 1) / 1000);
}

static void
measure_times (struct cell *cell)
{
  struct histogram singles = { 0 };
  struct histogram bursts = { 0 };

  printf ("\ntime to in force, %d VMs, %d documents of %" G_GSIZE_FORMAT
          " bytes, ms\n%-34s %6s  %8s %8s %8s %8s\n",
          N_VMS, N_TEAMS, cell_document_bytes (N_UPSTREAMS), "", "n", "p50",
          "p99", "p99.9", "max");
  cell->in_force_us = &singles;
  for (guint i = 0; i < N_SINGLES; i++)
    cell_change (cell, i % N_TEAMS, 1, CHANGE_PATCH);
  print_times ("one change at a time", &singles);
  cell->in_force_us = &bursts;
  for (guint i = 0; i < N_BURSTS; i++)
    cell_change (cell, i % 2 * BURST, BURST, CHANGE_PATCH);
  print_times ("bursts of 60 changes", &bursts);
  bursts = (struct histogram){ 0 };
  for (guint i = 0; i < N_BURSTS / 4; i++)
    cell_change (cell, i % 2 * BURST, BURST, CHANGE_WHOLE);
  print_times ("bursts of 60 whole documents", &bursts);
  cell->in_force_us = NULL;
}

/* Costs of one change for one VM.  */
static void
measure_form (struct cell *cell, enum change_form form, guint n_rounds,
              double *bytes, double *cpu_us)
{
  guint n = cell->n_teams * n_rounds;
  guint64 bytes_before = cell_get_log_bytes (cell, 0);
  gint64 cpu_before = cell_get_cpu_us (cell, 0);

  for (guint i = 0; i < n; i++)
    cell_change (cell, i % cell->n_teams, 1, form);
  *cpu_us = (double)(cell_get_cpu_us (cell, 0) - cpu_before) / n;
  *bytes = (double)(cell_get_log_bytes (cell, 0) - bytes_before) / n;
}

static void
measure_costs (void)
{
  static const guint sizes[] = { 25, 50, 100, 200, 400 };

  printf ("\ncost of a change for one VM\n%10s %10s  %12s %12s  %12s %12s\n",
          "upstreams", "bytes", "patch bytes", "patch us", "whole bytes",
          "whole us");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct cell *cell = cell_new (1);
      double bytes[2];
      double cpu_us[2];

      cell_add_teams (cell, 10, sizes[i]);
      measure_form (cell, CHANGE_PATCH, 50, &bytes[0], &cpu_us[0]);
      measure_form (cell, CHANGE_WHOLE, 50, &bytes[1], &cpu_us[1]);
      printf ("%10u %10" G_GSIZE_FORMAT "  %12.0f %12.0f  %12.0f %12.0f\n",
              sizes[i], cell_document_bytes (sizes[i]), bytes[0], cpu_us[0],
              bytes[1], cpu_us[1]);
      cell_free (cell);
    }
}

static void
measure_memory (void)
{
  static const guint counts[] = { 1, 30, 60, 120, 240 };
  struct cell *cell = cell_new (1);

  printf ("\nmemory of a VM by documents of %" G_GSIZE_FORMAT " bytes\n"
          "%10s %10s\n",
          cell_document_bytes (N_UPSTREAMS), "documents", "RSS KB");
  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      cell_add_teams (cell, counts[i], N_UPSTREAMS);
      printf ("%10u %10" G_GINT64_FORMAT "\n", counts[i],
              cell_get_rss_kb (cell, 0));
    }
  cell_free (cell);
}

int
main (void)
{
  struct cell *cell = cell_new (N_VMS);

  setvbuf (stdout, NULL, _IOLBF, 0);
  cell_add_teams (cell, N_TEAMS, N_UPSTREAMS);
  measure_times (cell);
  cell_free (cell);
  measure_costs ();
  measure_memory ();
  return 0;
}
