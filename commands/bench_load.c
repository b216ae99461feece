#include "commands/bench_load.h"

#include "base/clock.h"
#include "commands/bench_usage.h"
#include "commands/cli.h"

#include <glib-unix.h>
#include <jansson.h>
#include <libsoup/soup.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define MAX_CONNECTIONS 20000
#define SAMPLE_INTERVAL_MS 100

/* How long to wait for outstanding answers once the arrivals have ended.  */
#define RESPONSE_TIMEOUT_US (15 * USEC_PER_SEC)

struct load
{
  const struct bench_config *config;
  struct bench_outcome *outcome;
  GMainLoop *loop;
  SoupSession *session;
  GCancellable *cancellable;
  GRand *random;
  int timer_fd;
  gint64 start_us;
  gint64 warmup_end_us;      /* planned, then actual start of the window */
  gint64 end_us;             /* planned, then actual end of the window */
  gint64 next_arrival_us;    /* the next intended arrival in an open loop */
  guint n_in_flight;         /* jobs without an answer */
  guint next_entry;          /* index of the entry VM for the next job */
  gboolean is_window_open;   /* the measurement has started */
  gboolean is_window_closed; /* the measurement has ended */
};

/* A job that has been sent and not answered.  */
struct pending_job
{
  struct load *load;
  SoupMessage *message;
  gint64 intended_us; /* intended arrival */
  guint n_tasks;
  guint ideal_ms;
};

static void send_job (struct load *load, gint64 intended_us);

/* Counts a job whose response is not 200 by the error kind in BODY.  */
static void
count_failure (struct load *load, const SoupMessage *message, GBytes *body)
{
  gsize length;
  const char *text = g_bytes_get_data (body, &length);
  json_t *root = json_loadb (text != NULL ? text : "", length, 0, NULL);
  json_t *detail = json_object_get (root, "error");
  int kind = error_kind_from_name (
      json_string_value (json_object_get (detail, "kind")));

  if (kind >= 0)
    load->outcome->failed[kind]++;
  else
    load->outcome->n_unanswered++;
  json_decref (root);
}

static void
count_complete (struct load *load, const struct pending_job *pending,
                gint64 now_us)
{
  struct bench_sample sample = {
    .response_ms = (gfloat)(now_us - pending->intended_us) / USEC_PER_MSEC,
    .ideal_ms = (gfloat)pending->ideal_ms,
  };

  load->outcome->n_complete++;
  load->outcome->n_tasks_complete += pending->n_tasks;
  if (now_us >= load->warmup_end_us && now_us < load->end_us)
    load->outcome->n_tasks_in_window += pending->n_tasks;
  if (pending->intended_us >= load->warmup_end_us)
    g_array_append_val (load->outcome->samples, sample);
}

static void
quit_if_done (struct load *load)
{
  if (load->is_window_closed && load->n_in_flight == 0)
    g_main_loop_quit (load->loop);
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  struct pending_job *pending = data;
  struct load *load = pending->load;
  gint64 now_us = clock_now_us ();
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, NULL);

  if (body == NULL)
    load->outcome->n_unanswered++;
  else if (soup_message_get_status (pending->message) == SOUP_STATUS_OK)
    count_complete (load, pending, now_us);
  else
    count_failure (load, pending->message, body);
  g_object_unref (pending->message);
  g_free (pending);
  load->n_in_flight--;
  if (load->config->arrivals == BENCH_CLOSED && now_us < load->end_us)
    send_job (load, now_us);
  quit_if_done (load);
}

static void
set_body (SoupMessage *message, char *text)
{
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  soup_message_set_request_body_from_bytes (message, "application/json", body);
}

/* Returns a request that starts one task at an upstream.  */
static SoupMessage *
build_task_message (struct load *load, const char *address,
                    const struct bench_job *job)
{
  g_autofree char *uri
      = g_strdup_printf ("http://%s/v1/tasks/bench-%u-%" G_GUINT64_FORMAT "/0",
                         address, (guint)getpid (), load->outcome->n_sent);
  SoupMessage *message = soup_message_new (SOUP_METHOD_POST, uri);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);

  soup_message_headers_append (headers, "Task-Service", load->config->service);
  soup_message_headers_append (headers, "Task-Token", "1");
  soup_message_headers_append (headers, "Task-Lease-Ms", "60000");
  soup_message_headers_append (headers, "Task-Idempotent", "true");
  set_body (message, g_strdup_printf ("{\"run_ms\":%u}", job->ideal_ms));
  return message;
}

/* Returns the request for JOB and takes ownership of its body.  */
static SoupMessage *
build_message (struct load *load, const char *address, struct bench_job *job)
{
  g_autofree char *uri = g_strconcat ("http://", address, "/v1/jobs", NULL);
  SoupMessage *message;

  if (load->config->is_direct)
    {
      g_free (job->body);
      return build_task_message (load, address, job);
    }
  message = soup_message_new (SOUP_METHOD_POST, uri);
  set_body (message, job->body);
  return message;
}

/* Sends one job whose intended arrival is INTENDED_US.  */
static void
send_job (struct load *load, gint64 intended_us)
{
  const struct bench_config *config = load->config;
  const char *address = config->entries[load->next_entry];
  struct pending_job *pending;
  struct bench_job job;

  if (load->outcome->n_sent >= config->max_jobs)
    return;
  bench_shape_draw_job (&config->shape, load->random, config->team,
                        config->service, &job);
  pending = g_new0 (struct pending_job, 1);
  pending->load = load;
  pending->intended_us = intended_us;
  pending->n_tasks = job.n_tasks;
  pending->ideal_ms = job.ideal_ms;
  pending->message = build_message (load, address, &job);
  /* The flag lets libsoup reuse connections for this POST.  libsoup never
     repeats a POST.  */
  soup_message_add_flags (pending->message, SOUP_MESSAGE_IDEMPOTENT);
  load->next_entry = (load->next_entry + 1) % config->n_entries;
  load->outcome->n_sent++;
  load->n_in_flight++;
  soup_session_send_and_read_async (load->session, pending->message,
                                    G_PRIORITY_DEFAULT, load->cancellable,
                                    on_response, pending);
}

static void
arm_timer (struct load *load, gint64 when_us)
{
  struct itimerspec spec = { 0 };

  spec.it_value.tv_sec = when_us / USEC_PER_SEC;
  spec.it_value.tv_nsec = when_us % USEC_PER_SEC * 1000 + 1;
  timerfd_settime (load->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

/* Sends all jobs that are due and draws the time of the next arrival.  */
static void
send_due_jobs (struct load *load, gint64 now_us)
{
  const struct bench_config *config = load->config;
  gboolean is_bursty = config->arrivals == BENCH_BURSTY;
  gdouble rate = is_bursty ? config->rate / config->burst : config->rate;

  while (load->next_arrival_us <= now_us
         && load->next_arrival_us < load->end_us)
    {
      guint n = is_bursty ? bench_draw_burst_size (load->random, config->burst)
                          : 1;

      for (guint i = 0; i < n; i++)
        send_job (load, load->next_arrival_us);
      load->next_arrival_us += bench_draw_interarrival_us (load->random, rate);
    }
}

static gboolean
on_timer (int fd, GIOCondition condition, gpointer data)
{
  struct load *load = data;
  guint64 expirations;

  if (read (fd, &expirations, sizeof expirations) < 0)
    return G_SOURCE_CONTINUE;
  send_due_jobs (load, clock_now_us ());
  if (load->next_arrival_us < load->end_us)
    arm_timer (load, load->next_arrival_us);
  return G_SOURCE_CONTINUE;
}

/* Adds SIGN times the CPU time that this process and the entry VMs have used
   so far.  Adding it with -1 at the start and with 1 at the end of the window
   gives the CPU time within the window.  */
static void
add_cpu_time (struct load *load, int sign)
{
  const struct bench_config *config = load->config;

  load->outcome->tool_cpu_us += sign * bench_usage_cpu_us (getpid ());
  for (guint i = 0; i < config->n_entries; i++)
    load->outcome->usage[i].cpu_us
        += sign * bench_usage_cpu_us (config->pids[i]);
}

static void
update_peak_memory (struct load *load)
{
  for (guint i = 0; i < load->config->n_entries; i++)
    {
      struct bench_usage *usage = &load->outcome->usage[i];
      gint64 rss_kb = bench_usage_rss_kb (load->config->pids[i]);

      usage->peak_rss_kb = MAX (usage->peak_rss_kb, rss_kb);
    }
}

/* Opens and closes the measurement window, samples the memory of the entry VMs
   and ends the run.  */
static gboolean
on_sample (gpointer data)
{
  struct load *load = data;
  gint64 now_us = clock_now_us ();

  update_peak_memory (load);
  if (!load->is_window_open && now_us >= load->warmup_end_us)
    {
      load->is_window_open = TRUE;
      load->warmup_end_us = now_us;
      add_cpu_time (load, -1);
    }
  if (!load->is_window_closed && now_us >= load->end_us)
    {
      load->is_window_closed = TRUE;
      load->outcome->window_seconds
          = (gdouble)(now_us - load->warmup_end_us) / (gdouble)USEC_PER_SEC;
      load->end_us = now_us;
      add_cpu_time (load, 1);
    }
  cli_show_progress ("%.0f s of %.0f, %u in flight",
                     (gdouble)(now_us - load->start_us)
                         / (gdouble)USEC_PER_SEC,
                     load->config->seconds, load->n_in_flight);
  if (now_us >= load->end_us + RESPONSE_TIMEOUT_US)
    g_cancellable_cancel (load->cancellable);
  quit_if_done (load);
  return G_SOURCE_CONTINUE;
}

static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static void
start_load (struct load *load)
{
  const struct bench_config *config = load->config;

  load->start_us = clock_now_us ();
  load->warmup_end_us
      = load->start_us
        + (gint64)(config->warmup_seconds * (gdouble)USEC_PER_SEC);
  load->end_us
      = load->start_us + (gint64)(config->seconds * (gdouble)USEC_PER_SEC);
  load->next_arrival_us = load->start_us;
  for (guint i = 0; config->arrivals == BENCH_CLOSED && i < config->n_clients;
       i++)
    send_job (load, load->start_us);
  if (config->arrivals != BENCH_CLOSED)
    arm_timer (load, load->next_arrival_us);
}

struct bench_outcome *
bench_load_run (const struct bench_config *config)
{
  struct bench_outcome *outcome = g_new0 (struct bench_outcome, 1);
  struct load load = { .config = config, .outcome = outcome };
  guint timer;
  guint sampler;

  raise_descriptor_limit ();
  outcome->samples = g_array_new (FALSE, FALSE, sizeof (struct bench_sample));
  load.loop = g_main_loop_new (NULL, FALSE);
  load.session = soup_session_new_with_options (
      "max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS,
      "timeout", 0, NULL);
  load.cancellable = g_cancellable_new ();
  load.random = g_rand_new_with_seed (config->seed);
  load.timer_fd = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  timer = g_unix_fd_add_full (G_PRIORITY_HIGH, load.timer_fd, G_IO_IN,
                              on_timer, &load, NULL);
  sampler = g_timeout_add_full (G_PRIORITY_HIGH, SAMPLE_INTERVAL_MS, on_sample,
                                &load, NULL);
  start_load (&load);
  g_main_loop_run (load.loop);
  cli_show_progress (NULL);
  g_source_remove (timer);
  g_source_remove (sampler);
  close (load.timer_fd);
  g_rand_free (load.random);
  g_object_unref (load.cancellable);
  g_object_unref (load.session);
  g_main_loop_unref (load.loop);
  return outcome;
}

void
bench_outcome_free (struct bench_outcome *outcome)
{
  g_array_unref (outcome->samples);
  g_free (outcome);
}
