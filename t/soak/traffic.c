#include "t/soak/traffic.h"

#include "base/clock.h"

#include <math.h>
#include <string.h>

#define MAX_CONNECTIONS 512
#define MIN_TIMEOUT_MS 2400
#define MAX_TIMEOUT_MS 3300

/* How much longer callers wait who want to see that an answer comes at all. */
#define TIMEOUT_SLACK_MS 3000
#define PROBE_TASKS 8
#define PROBE_RUN_MS 60

struct traffic
{
  struct fleet_bed *bed;
  GRand *random;
  SoupSession *sessions[FLEET_BED_MAX_VMS]; /* open connections to each VM */
  GPtrArray *jobs;
  GPtrArray *active; /* those of JOBS that have not ended */
  guint rate;        /* jobs a second */
  gint64 next_ms;    /* when the next job begins */
};

/* Kinds of jobs, by their share in percent.  */
static const struct
{
  guint percent;
  guint n_tasks;
  guint run_ms;
} shapes[] = {
  { 25, 8, 60 }, { 10, 4, 900 }, { 45, 2, 200 }, { 15, 2, 600 }, { 5, 1, 2000 }
};

gint64
soak_now_ms (void)
{
  return clock_now_us () / USEC_PER_MSEC;
}

static guint
draw (struct traffic *traffic, guint n)
{
  return (guint)g_rand_int_range (traffic->random, 0, (gint32)n);
}

static gboolean
draw_percent (struct traffic *traffic, guint percent)
{
  return draw (traffic, 100) < percent;
}

static void
free_job (gpointer data)
{
  struct soak_job *job = data;

  g_array_unref (job->requests);
  g_free (job->id);
  g_free (job);
}

void
traffic_renew_connections (struct traffic *traffic, guint vm)
{
  g_clear_object (&traffic->sessions[vm]);
  traffic->sessions[vm] = soup_session_new_with_options (
      "max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS,
      "proxy-resolver", NULL, NULL);
}

struct traffic *
traffic_new (struct fleet_bed *bed, guint32 seed)
{
  struct traffic *traffic = g_new0 (struct traffic, 1);

  traffic->bed = bed;
  traffic->random = g_rand_new_with_seed (seed);
  for (guint vm = 0; vm < bed->n_vms; vm++)
    traffic_renew_connections (traffic, vm);
  traffic->jobs = g_ptr_array_new_with_free_func (free_job);
  traffic->active = g_ptr_array_new ();
  return traffic;
}

void
traffic_free (struct traffic *traffic)
{
  for (guint i = 0; i < traffic->active->len; i++)
    {
      struct soak_job *job = g_ptr_array_index (traffic->active, i);

      if (job->call != NULL)
        http_abandon (job->call);
    }
  g_ptr_array_unref (traffic->active);
  g_ptr_array_unref (traffic->jobs);
  for (guint vm = 0; vm < traffic->bed->n_vms; vm++)
    g_object_unref (traffic->sessions[vm]);
  g_rand_free (traffic->random);
  g_free (traffic);
}

static char *
make_body (const struct soak_job *job, guint est_ms)
{
  return g_strdup_printf (
      "{\"bestEffort\":true,\"spec\":\"%u cpu=%u%s\",\"steps\":[{\"count\":%u,"
      "\"cpu\":%u,\"memMb\":64,\"estMs\":%u}]}",
      job->run_ms, job->cpu, job->is_failing ? " fail" : "", job->n_tasks,
      job->cpu, est_ms);
}

static void
send_job (struct traffic *traffic, struct soak_job *job, guint vm)
{
  g_autofree char *timeout = g_strdup_printf ("%u", job->timeout_ms);
  const char *const headers[] = { "Host",
                                  "jobs.example",
                                  "Radishchute-Deadline-Ms",
                                  timeout,
                                  job->has_own ? "Connection" : NULL,
                                  "close",
                                  NULL };
  g_autofree char *path = g_strconcat (
      job->is_patient ? FLEET_BED_PATIENT : FLEET_BED_HASTY, job->id, NULL);
  g_autofree char *url = fleet_bed_url (traffic->bed, vm, path);
  g_autofree char *body
      = make_body (job, job->run_ms * (30 + draw (traffic, 270)) / 100);
  struct request request = { .vm = vm, .sent_ms = soak_now_ms () };

  job->resend_ms = 0;
  job->call
      = http_begin_in (traffic->sessions[vm], "POST", url, body, headers);
  g_array_append_val (job->requests, request);
}

static struct soak_job *
new_job (struct traffic *traffic)
{
  struct soak_job *job = g_new0 (struct soak_job, 1);

  job->id = g_strdup_printf ("%016x", traffic->jobs->len + 1);
  job->cpu = 1000;
  job->requests = g_array_new (FALSE, FALSE, sizeof (struct request));
  job->timeout_ms
      = MIN_TIMEOUT_MS + draw (traffic, MAX_TIMEOUT_MS - MIN_TIMEOUT_MS);
  job->n_sends = 1;
  g_ptr_array_add (traffic->jobs, job);
  g_ptr_array_add (traffic->active, job);
  return job;
}

static void
draw_shape (struct traffic *traffic, struct soak_job *job)
{
  guint percent = draw (traffic, 100);
  guint i = 0;

  for (; percent >= shapes[i].percent; i++)
    percent -= shapes[i].percent;
  job->n_tasks = shapes[i].n_tasks;
  job->run_ms = shapes[i].run_ms;
  if (draw_percent (traffic, 10))
    job->cpu = 2000;
}

static struct soak_job *
begin_job (struct traffic *traffic)
{
  struct soak_job *job = new_job (traffic);

  draw_shape (traffic, job);
  job->is_patient = draw_percent (traffic, 50);
  job->is_failing = draw_percent (traffic, 2);
  job->has_own = draw_percent (traffic, 30);
  job->leave_ms = draw_percent (traffic, 5) ? 50 + draw (traffic, 800) : 0;
  job->waits_on = draw_percent (traffic, 50);
  job->n_sends = 1 + draw (traffic, 3);
  job->is_repeated = draw_percent (traffic, 2);
  send_job (traffic, job, draw (traffic, traffic->bed->n_vms));
  return job;
}

void
traffic_set_rate (struct traffic *traffic, guint per_s)
{
  traffic->rate = per_s;
  traffic->next_ms = soak_now_ms ();
}

void
traffic_burst (struct traffic *traffic, guint n, guint leave_ms)
{
  for (guint i = 0; i < n; i++)
    {
      struct soak_job *job = begin_job (traffic);

      if (leave_ms != 0)
        job->leave_ms = leave_ms;
    }
}

void
traffic_probe (struct traffic *traffic, GPtrArray *jobs)
{
  for (guint vm = 0; vm < traffic->bed->n_vms; vm++)
    {
      struct soak_job *job = new_job (traffic);

      job->n_tasks = PROBE_TASKS;
      job->run_ms = PROBE_RUN_MS;
      job->is_patient = TRUE;
      job->waits_on = TRUE;
      send_job (traffic, job, vm);
      g_ptr_array_add (jobs, job);
    }
}

static void
begin_due (struct traffic *traffic, gint64 now_ms)
{
  while (traffic->rate != 0 && traffic->next_ms <= now_ms)
    {
      double share = g_rand_double_range (traffic->random, 1e-6, 1);

      begin_job (traffic);
      traffic->next_ms += (gint64)(-log (share) * 1000 / traffic->rate);
    }
}

static struct request *
last_request (const struct soak_job *job)
{
  return &g_array_index (job->requests, struct request,
                         job->requests->len - 1);
}

gboolean
soak_job_is_done (const struct soak_job *job)
{
  const struct request *request = last_request (job);

  return request->status == 200 && g_str_equal (request->state, "done");
}

static void
read_answer (struct request *request, const struct http_answer *answer)
{
  json_t *body = http_answer_json (answer);
  const char *state = json_string_value (json_object_get (body, "state"));

  if (state == NULL)
    state = json_string_value (json_object_get (body, "error"));
  request->status = answer->status;
  if (request->end == REQUEST_WAITING)
    request->end = answer->error == NULL ? REQUEST_ANSWERED : REQUEST_BROKEN;
  g_strlcpy (request->state, state != NULL ? state : "",
             sizeof request->state);
  json_decref (body);
}

/* Whether a caller whose REQUEST has ended sends the job again.  */
static gboolean
wants_resend (const struct soak_job *job, const struct request *request)
{
  if (request->end == REQUEST_LEFT)
    return FALSE;
  if (request->end == REQUEST_ANSWERED && request->status == 200)
    return job->is_repeated && job->requests->len == 1;
  return job->requests->len < job->n_sends;
}

static void
finish_request (struct soak_job *job, gint64 now_ms)
{
  struct request *request = last_request (job);
  struct http_answer *answer = http_finish (job->call);

  job->call = NULL;
  request->end_ms = now_ms;
  read_answer (request, answer);
  http_answer_free (answer);
  if (wants_resend (job, request))
    job->resend_ms = now_ms + FLEET_BED_RESEND_MS;
}

/* Lets the caller of JOB leave when it is time to.  */
static void
check_leaving (struct soak_job *job, gint64 now_ms)
{
  struct request *request = last_request (job);
  gint64 waited_ms = now_ms - request->sent_ms;

  if (request->end != REQUEST_WAITING)
    return;
  if (job->leave_ms != 0 && waited_ms >= job->leave_ms)
    request->end = REQUEST_LEFT;
  else if (!job->waits_on && waited_ms >= job->timeout_ms)
    request->end = REQUEST_UNANSWERED;
  else if (waited_ms >= job->timeout_ms + TIMEOUT_SLACK_MS)
    request->end = REQUEST_TIMED_OUT;
  if (request->end != REQUEST_WAITING)
    http_cancel (job->call);
}

/* Returns whether JOB has not ended.  */
static gboolean
advance_job (struct traffic *traffic, struct soak_job *job, gint64 now_ms)
{
  if (job->call != NULL && http_call_is_finished (job->call))
    finish_request (job, now_ms);
  if (job->call != NULL)
    check_leaving (job, now_ms);
  else if (job->resend_ms != 0 && job->resend_ms <= now_ms)
    send_job (traffic, job, draw (traffic, traffic->bed->n_vms));
  return job->call != NULL || job->resend_ms != 0;
}

void
traffic_advance (struct traffic *traffic)
{
  gint64 now_ms = soak_now_ms ();

  begin_due (traffic, now_ms);
  for (guint i = traffic->active->len; i > 0; i--)
    if (!advance_job (traffic, g_ptr_array_index (traffic->active, i - 1),
                      now_ms))
      g_ptr_array_remove_index_fast (traffic->active, i - 1);
}

gboolean
traffic_is_over (const struct traffic *traffic)
{
  return traffic->active->len == 0;
}

const GPtrArray *
traffic_get_jobs (const struct traffic *traffic)
{
  return traffic->jobs;
}
