/*
 * The standard measurements behind "make bench".
 *
 * Each case runs first against a baseline's binary, then against this build,
 * on the same stand-ins, and prints both with their ratios.  A row with the
 * figures is appended to a page.
 */
#include "t/support/http.h"
#include "t/support/process.h"

#include <glib/gstdio.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define N_STANDINS 2
#define UPSTREAMS_PER_STANDIN "24"
#define RESULTS "build/bench"

/* The load of one case, as arguments of the command "bench".  */
struct bench_case
{
  const char *name;
  const char *arguments;
  gboolean is_direct; /* to the upstreams, without an entry VM */
};

/* 384 slots; one entry VM out of eight has 48 of them to itself.  */
static const struct bench_case cases[] = {
  { "starts", "--tasks 10 --run-ms 0 --clients 60 --seconds 8 --warmup 2" },
  { "ten-thousand-tasks",
    "--tasks 130 --run-ms 50 --clients 80 --seconds 8 --warmup 2" },
  { "one-task",
    "--tasks 1 --run-ms 50 --load 0.5 --slots 48 --seconds 8 --warmup 2" },
  { "one-task-direct",
    "--tasks 1 --run-ms 50 --load 0.5 --slots 48 --seconds 6 --warmup 2 "
    "--direct",
    TRUE },
  { "hjolavinir-0.5",
    "--profile hjolavinir --load 0.5 --slots 384 --seconds 10 --warmup 2" },
  { "hjolavinir-0.8",
    "--profile hjolavinir --load 0.8 --slots 384 --seconds 10 --warmup 2" },
  { "valdivieso-0.5",
    "--profile valdivieso --load 0.5 --slots 384 --seconds 10 --warmup 2" },
  { "valdivieso-0.8",
    "--profile valdivieso --load 0.8 --slots 384 --seconds 10 --warmup 2" },
};

#define N_CASES G_N_ELEMENTS (cases)

static char *baseline;
static char *append_path;
static char *commit;

static const GOptionEntry entries[] = {
  { "baseline", 0, 0, G_OPTION_ARG_FILENAME, &baseline,
    "an earlier radishchute to compare with", "BINARY" },
  { "append", 0, 0, G_OPTION_ARG_FILENAME, &append_path,
    "append a row to this page", "FILE" },
  { "commit", 0, 0, G_OPTION_ARG_STRING, &commit, "what is measured", "NAME" },
  G_OPTION_ENTRY_NULL,
};

struct setup
{
  struct process *platform;
  struct process *upstreams[N_STANDINS];
  struct process *entry;
};

static json_t *
describe_upstreams (const struct setup *setup)
{
  json_t *upstreams = json_object ();

  for (guint i = 0; i < N_STANDINS; i++)
    for (guint k = 0; k < setup->upstreams[i]->n_ports; k++)
      {
        g_autofree char *name = g_strdup_printf ("minion-%u-%u", i, k);
        g_autofree char *address
            = g_strdup_printf ("127.0.0.1:%u", setup->upstreams[i]->ports[k]);

        json_object_set_new (upstreams, name,
                             json_pack ("{s:s, s:s, s:f, s:i}", "address",
                                        address, "availability_zone",
                                        "reykjavik-a", "cpus", 16.0,
                                        "memory_mb", 32768));
      }
  return upstreams;
}

static gboolean
has_document (json_t *state, gpointer data)
{
  return json_object_size (json_get (state, "documents")) > 0;
}

static void
publish (const struct setup *setup)
{
  g_autofree char *url = http_url (setup->platform->ports[0],
                                   "/v1/streams/radishchute-config/records");
  g_autofree char *state = http_url (setup->entry->ports[0], "/v1/state");
  json_t *record = json_pack (
      "{s:s, s:s, s:s, s:i, s:s, s:{s:s, s:{s:{s:{s:i}, s:o}}}}", "kind",
      "document", "edit", "bench", "team", "hjolavinir", "base", 0, "author",
      "bench", "document", "team", "hjolavinir", "services", "staerdarvisir",
      "limits", "queued_tasks", 20000, "upstreams",
      describe_upstreams (setup));
  char *text = json_dumps (record, JSON_COMPACT);

  http_post (url, text);
  json_decref (http_poll_until (state, has_document, NULL));
  free (text);
  json_decref (record);
}

/* Starts the entry VM of BINARY, which a path inside build/ may name.  */
static struct process *
start_entry (const struct setup *setup, const char *binary)
{
  g_autofree char *path = g_build_filename (RESULTS, "entry.json", NULL);
  g_autofree char *platform = http_url (setup->platform->ports[0], "%s", "");
  json_t *settings = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:s}", "vm", "entry-1", "availability_zone",
      "reykjavik-a", "listen", "127.0.0.1:0", "peer_listen", "127.0.0.1:0",
      "log_url", platform, "vm_list_url", platform);
  struct process *process;

  g_assert_cmpint (json_dump_file (settings, path, 0), ==, 0);
  process = process_start (binary, "entry", "--settings", path, NULL);
  process_wait_ready (process);
  json_decref (settings);
  return process;
}

static void
setup_start (struct setup *setup, const char *binary)
{
  setup->platform = process_start_standin ("platform", "--port", "0", NULL);
  for (guint i = 0; i < N_STANDINS; i++)
    setup->upstreams[i] = process_start_standin (
        "upstream", "--port", "0", "--count", UPSTREAMS_PER_STANDIN, NULL);
  setup->entry = start_entry (setup, binary);
  publish (setup);
}

static void
setup_stop (struct setup *setup)
{
  process_free (setup->entry);
  for (guint i = 0; i < N_STANDINS; i++)
    process_free (setup->upstreams[i]);
  process_free (setup->platform);
}

/* Adds the addresses that the load of BENCH_CASE goes to.  */
static void
add_addresses (GStrvBuilder *builder, const struct setup *setup,
               const struct bench_case *bench_case)
{
  const struct process *target
      = bench_case->is_direct ? setup->upstreams[0] : setup->entry;
  guint n_addresses = bench_case->is_direct ? target->n_ports : 1;
  g_autofree char *pid = g_strdup_printf ("%d", (int)setup->entry->pid);

  for (guint i = 0; i < n_addresses; i++)
    {
      g_autofree char *address
          = g_strdup_printf ("127.0.0.1:%u", target->ports[i]);

      g_strv_builder_add_many (builder, "-e", address, NULL);
    }
  if (!bench_case->is_direct)
    g_strv_builder_add_many (builder, "--pid", pid, NULL);
}

/* Runs one case; its figures go to PATH and beside those of EARLIER.  */
static void
run_load (const struct setup *setup, const struct bench_case *bench_case,
          const char *path, const char *earlier)
{
  g_autoptr (GStrvBuilder) builder = g_strv_builder_new ();
  g_auto (GStrv) load = g_strsplit (bench_case->arguments, " ", -1);
  g_auto (GStrv) arguments = NULL;
  g_autoptr (GSubprocess) child = NULL;
  g_autoptr (GError) error = NULL;

  g_strv_builder_add_many (builder, "build/radishchute", "bench", "--name",
                           bench_case->name, "--output", path, NULL);
  add_addresses (builder, setup, bench_case);
  g_strv_builder_addv (builder, (const char **)load);
  if (earlier != NULL)
    g_strv_builder_add_many (builder, "--compare", earlier, NULL);
  arguments = g_strv_builder_end (builder);
  child = g_subprocess_newv ((const char *const *)arguments,
                             earlier != NULL || baseline == NULL
                                 ? G_SUBPROCESS_FLAGS_NONE
                                 : G_SUBPROCESS_FLAGS_STDOUT_SILENCE,
                             &error);
  g_assert_no_error (error);
  g_subprocess_wait_check (child, NULL, &error);
  g_assert_no_error (error);
}

static json_t *
run_case (const struct bench_case *bench_case, const char *binary,
          const char *label, const char *earlier)
{
  g_autofree char *path
      = g_strdup_printf (RESULTS "/%s-%s.json", bench_case->name, label);
  struct setup setup;
  json_t *report;

  setup_start (&setup, binary);
  run_load (&setup, bench_case, path, earlier);
  setup_stop (&setup);
  report = json_load_file (path, 0, NULL);
  g_assert_nonnull (report);
  return report;
}

static gdouble
get_figure (json_t *report, const char *group, const char *key)
{
  return json_number_value (json_get (json_get (report, group), key));
}

static gdouble
get_memory_mb (json_t *report)
{
  json_t *entry = json_array_get (json_get (report, "entries"), 0);

  return json_number_value (json_get (entry, "peak_rss_kb")) / 1024;
}

/* Appends "VALUE (RATIO)" as a cell of the row.  */
static void
add_cell (GString *row, gdouble value, gdouble former)
{
  g_string_append_printf (row, " %.4g", value);
  if (former > 0)
    g_string_append_printf (row, " (%.2f)", value / former);
  g_string_append (row, " |");
}

static void
append_row (json_t *const *reports, json_t *const *earlier,
            gdouble load_average)
{
  g_autoptr (GString) row = g_string_new ("| ");
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *date = g_date_time_format (now, "%Y-%m-%d");
  FILE *page = fopen (append_path, "a");

  g_assert_nonnull (page);
  g_string_append_printf (row, "%s | %s | %.1f |", date,
                          commit != NULL ? commit : "-", load_average);
  add_cell (row, get_figure (reports[0], "speed", "tasks_per_second"),
            get_figure (earlier[0], "speed", "tasks_per_second"));
  add_cell (row, get_figure (reports[0], "speed", "tasks_per_cpu_second"),
            get_figure (earlier[0], "speed", "tasks_per_cpu_second"));
  add_cell (row, get_memory_mb (reports[1]), get_memory_mb (earlier[1]));
  for (gsize i = 2; i < N_CASES; i++)
    {
      add_cell (row, get_figure (reports[i], "over_ideal_ms", "p50"),
                get_figure (earlier[i], "over_ideal_ms", "p50"));
      add_cell (row, get_figure (reports[i], "over_ideal_ms", "p99"),
                get_figure (earlier[i], "over_ideal_ms", "p99"));
    }
  add_cell (row, get_figure (reports[5], "messages", "wasted_per_task"),
            get_figure (earlier[5], "messages", "wasted_per_task"));
  fprintf (page, "%s\n", row->str);
  fclose (page);
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  json_t *reports[N_CASES];
  gdouble load_average = 0;
  json_t *earlier[N_CASES];

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    g_error ("%s", error->message);
  g_mkdir_with_parents (RESULTS, 0755);
  getloadavg (&load_average, 1);
  for (gsize i = 0; i < N_CASES; i++)
    {
      g_autofree char *path
          = g_strdup_printf (RESULTS "/%s-baseline.json", cases[i].name);

      earlier[i] = NULL;
      if (baseline != NULL)
        earlier[i] = run_case (&cases[i], baseline, "baseline", NULL);
      reports[i] = run_case (&cases[i], "radishchute", "now",
                             baseline != NULL ? path : NULL);
      printf ("\n");
      fflush (stdout);
    }
  if (append_path != NULL && baseline != NULL)
    append_row (reports, earlier, load_average);
  for (gsize i = 0; i < N_CASES; i++)
    {
      json_decref (reports[i]);
      json_decref (earlier[i]);
    }
  return 0;
}
