#include "transport/state_dump.h"

#include "base/clock.h"

#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define BYTES_PER_KB 1024

static json_t *
describe_messages (struct home *home)
{
  const struct upstream_client_counts *counts
      = upstream_client_get_counts (home_get_upstream_client (home));

  return json_pack ("{s:I, s:I, s:I}", "starts", (json_int_t)counts->starts,
                    "renewals", (json_int_t)counts->renewals, "stops",
                    (json_int_t)counts->stops);
}

/* The resident memory of this process in KiB, or 0 if it cannot be read.  */
static gint64
read_resident_kb (void)
{
  g_autofree char *text = NULL;
  char *rest = NULL;

  if (!g_file_get_contents ("/proc/self/statm", &text, NULL, NULL))
    return 0;
  (void)g_ascii_strtoll (text, &rest, 10);
  return g_ascii_strtoll (rest, NULL, 10) * sysconf (_SC_PAGESIZE)
         / BYTES_PER_KB;
}

/* The CPU time of this process, in microseconds.  */
static gint64
read_cpu_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static json_t *
describe_process (void)
{
  return json_pack ("{s:I, s:I, s:I, s:s}", "pid", (json_int_t)getpid (),
                    "cpu_us", (json_int_t)read_cpu_us (), "rss_kb",
                    (json_int_t)read_resident_kb (), "log_level",
                    log_level_name (event_log_get_level ()));
}

static json_t *
describe_load (struct home *home)
{
  struct home_load load = home_count_load (home);

  return json_pack ("{s:I, s:I, s:I}", "active_jobs",
                    (json_int_t)load.n_active_jobs, "queued_tasks",
                    (json_int_t)load.n_queued_tasks, "running_tasks",
                    (json_int_t)load.n_running_tasks);
}

json_t *
state_dump_build (const struct settings *settings, struct home *home,
                  const struct config_follower *config)
{
  struct dispatcher *dispatcher = home_get_dispatcher (home);
  struct job_table *jobs = dispatcher_get_jobs (dispatcher);

  return json_pack (
      "{s:s, s:s, s:I, s:b, s:I, s:I, s:I, s:o, s:o, s:o, s:o, s:o}", "vm",
      settings->vm, "availability_zone", settings->availability_zone,
      "incarnation", (json_int_t)home_get_incarnation (home), "draining",
      dispatcher_is_draining (dispatcher), "unfinished",
      (json_int_t)dispatcher_count_unfinished (dispatcher), "jobs",
      (json_int_t)g_hash_table_size (jobs->jobs), "job_bytes",
      (json_int_t)jobs->bytes, "documents",
      config_follower_dump_documents (config), "log",
      config_follower_dump_log (config), "messages", describe_messages (home),
      "process", describe_process (), "load", describe_load (home));
}
