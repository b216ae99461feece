#include "commands/bench_report.h"
#include "commands/cli.h"

#include "base/clock.h"

#include <stdio.h>
#include <string.h>

#define MAX_SECONDS 600
#define MAX_JOBS 10000000
#define MAX_CLIENTS 20000
#define DEFAULT_SEED 1

/* Timeout of a request for the state of an entry VM.  */
#define STATE_TIMEOUT_US (5 * USEC_PER_SEC)

static const struct cli_usage usage = {
  .name = "bench",
  .summary = "Sends load to entry VMs and measures the response times. The "
             "tasks' input is\nthat of the upstream stand-in: "
             "{\"run_ms\": N}.",
  .example = "  radishchute bench -e 127.0.0.1:8080 --profile hjolavinir "
             "--load 0.5 --slots 384\n"
             "  radishchute bench -e 127.0.0.1:8080 --tasks 1 --run-ms 50 "
             "--rate 100 --json\n"
             "  radishchute bench -e 127.0.0.1:8080 --tasks 100 --run-ms 0 "
             "--clients 20\n",
};

/* The options as given on the command line.  Strings are owned.  */
struct options
{
  struct cli_client_options client;
  char *name;
  char *profile;
  char *tasks;
  char *run_ms;
  char *arrivals;
  char **pids;
  char *team;
  char *service;
  char *svg;
  char *compare;
  char *output;
  gdouble rate;    /* jobs per second */
  gdouble load;    /* share of SLOTS to keep busy */
  gdouble seconds; /* duration of the arrivals */
  gdouble warmup;  /* in seconds */
  gdouble declared_factor;
  int slots;   /* total number of slots of all upstreams */
  int clients; /* jobs in flight */
  int burst;
  int max_jobs;
  int seed;
  gboolean is_remote_allowed;
  gboolean is_direct;
};

static gboolean
print_usage_error (const char *message)
{
  fprintf (stderr, "radishchute bench: %s; see 'radishchute bench --help'\n",
           message);
  return FALSE;
}

static gboolean
read_arrivals (const char *name, enum bench_arrivals *arrivals)
{
  if (g_str_equal (name, "poisson"))
    *arrivals = BENCH_POISSON;
  else if (g_str_equal (name, "bursty"))
    *arrivals = BENCH_BURSTY;
  else if (g_str_equal (name, "closed"))
    *arrivals = BENCH_CLOSED;
  else
    return print_usage_error (
        "--arrivals must be one of: poisson, bursty, closed");
  return TRUE;
}

static gboolean
read_profile (const struct options *options, struct bench_config *config)
{
  const struct bench_profile *profile;

  if (options->profile == NULL)
    return TRUE;
  profile = bench_profile_find (options->profile);
  if (profile == NULL)
    return print_usage_error (
        "--profile must be one of: hjolavinir, valdivieso");
  config->shape = profile->shape;
  config->arrivals = profile->arrivals;
  config->burst = profile->burst;
  return TRUE;
}

static gboolean
read_shape (const struct options *options, struct bench_config *config)
{
  struct bench_shape *shape = &config->shape;

  if (!read_profile (options, config))
    return FALSE;
  if (options->tasks != NULL
      && (!bench_parse_range (options->tasks, &shape->min_tasks,
                              &shape->max_tasks)
          || shape->min_tasks == 0))
    return print_usage_error ("--tasks must be N or N-M, at least 1");
  if (options->run_ms != NULL
      && !bench_parse_range (options->run_ms, &shape->min_run_ms,
                             &shape->max_run_ms))
    return print_usage_error ("--run-ms must be N or N-M");
  if (options->declared_factor >= 1)
    shape->declared_factor = options->declared_factor;
  if (options->clients > 0)
    config->arrivals = BENCH_CLOSED;
  return options->arrivals == NULL
         || read_arrivals (options->arrivals, &config->arrivals);
}

/* Returns the jobs per second that keep the share --load of --slots busy.  */
static gdouble
get_rate_for_load (const struct options *options,
                   const struct bench_shape *shape)
{
  gdouble work_ms = MAX (bench_shape_mean_work_ms (shape), 1);

  return options->load * options->slots * 1000 / work_ms;
}

static gboolean
read_rate (const struct options *options, struct bench_config *config)
{
  config->burst = options->burst > 0 ? (guint)options->burst : config->burst;
  config->n_clients = (guint)CLAMP (options->clients, 1, MAX_CLIENTS);
  if (options->load > 0 && options->slots <= 0)
    return print_usage_error (
        "--load requires --slots, the total slots of all upstreams");
  config->rate = options->rate;
  if (options->load > 0)
    config->rate = get_rate_for_load (options, &config->shape);
  if (config->arrivals != BENCH_CLOSED && config->rate <= 0)
    return print_usage_error (
        "no load is given; use --rate, --load or --clients");
  return TRUE;
}

static gboolean
read_limits (const struct options *options, struct bench_config *config)
{
  config->seconds = options->seconds;
  config->warmup_seconds = options->warmup;
  config->max_jobs = (guint)CLAMP (options->max_jobs, 1, MAX_JOBS);
  config->seed = (guint32)options->seed;
  config->is_direct = options->is_direct;
  if (config->seconds <= 0 || config->seconds > MAX_SECONDS)
    return print_usage_error ("--seconds must be above 0 and at most 600");
  if (config->warmup_seconds < 0 || config->warmup_seconds >= config->seconds)
    return print_usage_error ("--warmup must be less than --seconds");
  return TRUE;
}

static gboolean
read_entries (const struct options *options, struct bench_config *config)
{
  config->entries = options->client.entries;
  config->n_entries = g_strv_length (config->entries);
  if (config->n_entries > BENCH_MAX_ENTRIES)
    return print_usage_error ("there are more than 32 --entry options");
  for (guint i = 0; i < config->n_entries && !options->is_remote_allowed; i++)
    if (!g_str_has_prefix (config->entries[i], "127."))
      return print_usage_error (
          "an --entry is not on loopback; allow it with --allow-remote");
  for (guint i = 0; options->pids != NULL && options->pids[i] != NULL; i++)
    if (i < config->n_entries)
      config->pids[i] = (pid_t)g_ascii_strtoll (options->pids[i], NULL, 10);
  return TRUE;
}

static gboolean
read_config (const struct options *options, struct bench_config *config)
{
  config->team = options->team != NULL ? options->team : "hjolavinir";
  config->service
      = options->service != NULL ? options->service : "staerdarvisir";
  config->shape.min_tasks = config->shape.max_tasks = 1;
  config->shape.is_idempotent = TRUE;
  config->burst = 1;
  return read_entries (options, config) && read_shape (options, config)
         && read_rate (options, config) && read_limits (options, config);
}

static json_t *
fetch_state (struct client *client, const char *entry, GError **error)
{
  struct client_request request
      = { .method = "GET",
          .address = entry,
          .path = "/v1/state",
          .deadline_us = clock_now_us () + STATE_TIMEOUT_US };

  return client_fetch_json (client, &request, error);
}

/* Adds SIGN times the messages that the entry VMs have sent so far.  Called
   with -1 before and 1 after the load, so that MESSAGES ends as the
   difference.  Sets the process ids in CONFIG that are not known yet.  */
static gboolean
count_messages (struct client *client, struct bench_config *config, int sign,
                struct bench_messages *messages, GError **error)
{
  for (guint i = 0; i < config->n_entries && !config->is_direct; i++)
    {
      json_t *state = fetch_state (client, config->entries[i], error);
      json_t *sent = json_object_get (state, "messages");
      json_t *process = json_object_get (state, "process");

      if (state == NULL)
        return FALSE;
      messages->starts
          += sign * json_integer_value (json_object_get (sent, "starts"));
      messages->renewals
          += sign * json_integer_value (json_object_get (sent, "renewals"));
      messages->stops
          += sign * json_integer_value (json_object_get (sent, "stops"));
      if (config->pids[i] == 0)
        config->pids[i]
            = (pid_t)json_integer_value (json_object_get (process, "pid"));
      json_decref (state);
    }
  return TRUE;
}

static json_t *
load_earlier_report (const char *path, GError **error)
{
  json_error_t json_error;
  json_t *earlier = json_load_file (path, 0, &json_error);

  if (earlier == NULL)
    error_set (error, ERROR_INVALID,
               "%s: %s; use a file written with --output or --json", path,
               json_error.text);
  return earlier;
}

/* Prints the report and writes the files that the options request.  Returns
   FALSE with ERROR when a file cannot be written.  */
static gboolean
output_report (const struct options *options, const json_t *report,
               const json_t *earlier, GError **error)
{
  if (options->client.is_json)
    cli_print_json (report);
  else
    bench_report_print (report, earlier);
  if (options->output != NULL
      && json_dump_file (report, options->output, JSON_INDENT (1)) != 0)
    {
      error_set (error, ERROR_INVALID, "cannot write the report to %s",
                 options->output);
      return FALSE;
    }
  return options->svg == NULL
         || bench_report_plot (report, earlier, options->svg, error);
}

static int
run_bench (const struct options *options, struct bench_config *config)
{
  const char *name = options->name != NULL      ? options->name
                     : options->profile != NULL ? options->profile
                                                : "bench";
  struct client *client = client_new (options->client.token);
  struct bench_messages messages = { 0 };
  struct bench_outcome *outcome = NULL;
  json_t *earlier = NULL;
  json_t *report = NULL;
  GError *error = NULL;
  int status = EXIT_STATUS_OK;

  if (options->compare != NULL)
    earlier = load_earlier_report (options->compare, &error);
  if (error == NULL && count_messages (client, config, -1, &messages, &error))
    outcome = bench_load_run (config);
  if (outcome != NULL && count_messages (client, config, 1, &messages, &error))
    {
      report = bench_report_build (name, config, outcome, &messages);
      output_report (options, report, earlier, &error);
    }
  if (error != NULL)
    status = cli_report_error (usage.name, error, FALSE);
  g_clear_error (&error);
  g_clear_pointer (&outcome, bench_outcome_free);
  json_decref (report);
  json_decref (earlier);
  client_free (client);
  return status;
}

static gboolean
parse_options (struct options *options, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
    { "name", 0, 0, G_OPTION_ARG_STRING, &options->name,
      "name of the run in the report", "NAME" },
    { "profile", 0, 0, G_OPTION_ARG_STRING, &options->profile,
      "jobs and arrivals of a deployment: hjolavinir or valdivieso", "NAME" },
    { "tasks", 0, 0, G_OPTION_ARG_STRING, &options->tasks,
      "number of tasks in a job", "N[-M]" },
    { "run-ms", 0, 0, G_OPTION_ARG_STRING, &options->run_ms,
      "run time of a task, in milliseconds", "N[-M]" },
    { "declared-factor", 0, 0, G_OPTION_ARG_DOUBLE, &options->declared_factor,
      "declared run times deviate by up to this factor", "F" },
    { "arrivals", 0, 0, G_OPTION_ARG_STRING, &options->arrivals,
      "poisson, bursty or closed", "KIND" },
    { "burst", 0, 0, G_OPTION_ARG_INT, &options->burst,
      "mean number of jobs in a burst", "N" },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &options->rate,
      "jobs per second, in an open loop", "R" },
    { "load", 0, 0, G_OPTION_ARG_DOUBLE, &options->load,
      "share of --slots to keep busy, instead of --rate", "SHARE" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &options->slots,
      "total slots of all upstreams", "N" },
    { "clients", 0, 0, G_OPTION_ARG_INT, &options->clients,
      "jobs in flight, in a closed loop", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options->seconds,
      "duration of the arrivals (default 10, at most 600)", "S" },
    { "warmup", 0, 0, G_OPTION_ARG_DOUBLE, &options->warmup,
      "initial part of --seconds that is not measured (default 1)", "S" },
    { "max-jobs", 0, 0, G_OPTION_ARG_INT, &options->max_jobs,
      "maximum number of jobs to send (default 1000000)", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
      "seed of the random generator (default 1)", "N" },
    { "pid", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->pids,
      "process id of each --entry, in order (default: from its state)",
      "PID" },
    { "team", 0, 0, G_OPTION_ARG_STRING, &options->team,
      "team of the jobs (default hjolavinir)", "TEAM" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &options->service,
      "service of the jobs (default staerdarvisir)", "SERVICE" },
    { "output", 'o', 0, G_OPTION_ARG_FILENAME, &options->output,
      "write the report as JSON", "FILE" },
    { "svg", 0, 0, G_OPTION_ARG_FILENAME, &options->svg,
      "write a plot of the time over ideal", "FILE" },
    { "compare", 0, 0, G_OPTION_ARG_FILENAME, &options->compare,
      "show the ratios to the JSON report of an earlier run", "FILE" },
    { "direct", 0, 0, G_OPTION_ARG_NONE, &options->is_direct,
      "send tasks to upstreams, to measure the bench itself", NULL },
    { "allow-remote", 0, 0, G_OPTION_ARG_NONE, &options->is_remote_allowed,
      "allow entry VMs that are not on loopback", NULL },
    G_OPTION_ENTRY_NULL,
  };

  return cli_parse (&usage, entries, &options->client, argc, argv);
}

static void
options_clear (struct options *options)
{
  cli_client_options_clear (&options->client);
  g_free (options->name);
  g_free (options->profile);
  g_free (options->tasks);
  g_free (options->run_ms);
  g_free (options->arrivals);
  g_strfreev (options->pids);
  g_free (options->team);
  g_free (options->service);
  g_free (options->output);
  g_free (options->svg);
  g_free (options->compare);
}

int
command_bench (int argc, char **argv)
{
  struct options options = {
    .seconds = 10, .warmup = 1, .max_jobs = 1000000, .seed = DEFAULT_SEED
  };
  struct bench_config config = { 0 };
  int status = EXIT_STATUS_USAGE;

  if (parse_options (&options, &argc, &argv)
      && read_config (&options, &config))
    status = run_bench (&options, &config);
  options_clear (&options);
  return status;
}
