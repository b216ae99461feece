#include "t/soak/judge.h"

#include <string.h>

#define MS_PER_S 1000.0

/* A connection that ends as soon after a request may not have carried it.  */
#define LOSS_SLACK_MS 200

/* From a pause or an end of a VM until its callers have noticed.  */
#define NOTICE_MS 500

/* As long after a disturbance a VM that is stopped may break connections.  */
#define STABLE_MS 3000

/* One run of a task on a worker; times in ms of CLOCK_BOOTTIME.  */
struct run
{
  const char *worker;
  const char *task;
  const char *end;
  gint64 number;
  gint64 start_ms;
  gint64 end_ms; /* G_MAXINT64 while it runs */
  gboolean is_over_capacity;
  guint zone; /* of the worker */
};

struct judge
{
  struct fleet_bed *bed;
  const struct traffic *traffic;
  const struct faults *faults;
  GPtrArray *records; /* json_t, which own the texts of the runs */
  GHashTable *runs;   /* task -> GArray of struct run, by start */
  GHashTable *jobs;   /* id -> struct soak_job */
  GPtrArray *violations;
  GPtrArray *concerned; /* struct soak_job, each once */
  guint n_over_attempts;
};

static gint
compare_runs (gconstpointer a, gconstpointer b)
{
  const struct run *left = a;
  const struct run *right = b;

  return (left->start_ms > right->start_ms)
         - (left->start_ms < right->start_ms);
}

static void
add_run (struct judge *judge, json_t *entry, guint zone)
{
  struct run run = {
    .worker = json_string_value (json_get (entry, "worker")),
    .task = json_string_value (json_get (entry, "task")),
    .end = json_string_value (json_get (entry, "end")),
    .number = json_get_int (entry, "run"),
    .start_ms = json_get_int (entry, "start_ms"),
    .end_ms = json_get_int (entry, "end_ms"),
    .is_over_capacity = json_is_true (json_get (entry, "over_capacity")),
    .zone = zone,
  };
  GArray *runs = g_hash_table_lookup (judge->runs, run.task);

  if (runs == NULL)
    {
      runs = g_array_new (FALSE, FALSE, sizeof (struct run));
      g_hash_table_insert (judge->runs, (gpointer)run.task, runs);
    }
  if (run.end_ms < 0)
    run.end_ms = G_MAXINT64;
  g_array_append_val (runs, run);
}

static void
read_records (struct judge *judge)
{
  GHashTableIter iter;
  gpointer runs;

  for (guint i = 0; i < judge->bed->plan.n_worker_processes; i++)
    {
      g_autofree char *url
          = fleet_bed_worker_control (judge->bed, i, "record");
      json_t *record = http_get_json (url);
      json_t *list = json_get (record, "list");

      g_ptr_array_add (judge->records, record);
      for (size_t j = 0; j < json_array_size (list); j++)
        add_run (judge, json_array_get (list, j),
                 i % MAX (judge->bed->plan.n_zones, 1u));
    }
  g_hash_table_iter_init (&iter, judge->runs);
  while (g_hash_table_iter_next (&iter, NULL, &runs))
    g_array_sort (runs, compare_runs);
}

struct judge *
judge_new (struct fleet_bed *bed, const struct traffic *traffic,
           const struct faults *faults)
{
  struct judge *judge = g_new0 (struct judge, 1);
  const GPtrArray *jobs = traffic_get_jobs (traffic);

  judge->bed = bed;
  judge->traffic = traffic;
  judge->faults = faults;
  judge->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  judge->runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)g_array_unref);
  judge->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  judge->violations = g_ptr_array_new_with_free_func (g_free);
  judge->concerned = g_ptr_array_new ();
  for (guint i = 0; i < jobs->len; i++)
    {
      struct soak_job *job = g_ptr_array_index (jobs, i);

      g_hash_table_insert (judge->jobs, job->id, job);
    }
  read_records (judge);
  return judge;
}

void
judge_free (struct judge *judge)
{
  g_hash_table_unref (judge->runs);
  g_hash_table_unref (judge->jobs);
  g_ptr_array_unref (judge->records);
  g_ptr_array_unref (judge->violations);
  g_ptr_array_unref (judge->concerned);
  g_free (judge);
}

void
judge_add (struct judge *judge, const struct soak_job *job, const char *format,
           ...)
{
  g_autofree char *text = NULL;
  va_list list;

  va_start (list, format);
  text = g_strdup_vprintf (format, list);
  va_end (list);
  g_ptr_array_add (judge->violations,
                   g_strdup_printf ("%s%s%s", job != NULL ? job->id : "",
                                    job != NULL ? ": " : "", text));
  if (job != NULL && !g_ptr_array_find (judge->concerned, job, NULL))
    g_ptr_array_add (judge->concerned, (gpointer)job);
}

/* The runs of task INDEX of JOB, or NULL.  */
static GArray *
find_runs (const struct judge *judge, const struct soak_job *job, guint index)
{
  g_autofree char *task = g_strdup_printf ("%s.0.0.%u", job->id, index);

  return g_hash_table_lookup (judge->runs, task);
}

/* Runs of task INDEX of JOB that ended as END by BY_MS.  */
static guint
count_ends (const struct judge *judge, const struct soak_job *job, guint index,
            const char *end, gint64 by_ms)
{
  const GArray *runs = find_runs (judge, job, index);
  guint n = 0;

  for (guint i = 0; runs != NULL && i < runs->len; i++)
    {
      const struct run *run = &g_array_index (runs, struct run, i);

      n += run->end_ms <= by_ms && g_str_equal (run->end, end) ? 1 : 0;
    }
  return n;
}

/* The job of TASK if it has such a task, or NULL.  */
static const struct soak_job *
find_job (const struct judge *judge, const char *task)
{
  g_auto (GStrv) parts = g_strsplit (task, ".", 0);
  const struct soak_job *job = g_hash_table_lookup (judge->jobs, parts[0]);

  for (guint i = 0; job != NULL && i < job->n_tasks; i++)
    {
      g_autofree char *name = g_strdup_printf ("%s.0.0.%u", job->id, i);

      if (g_str_equal (name, task))
        return job;
    }
  return NULL;
}

/* RUNS are those of one task of JOB.  */
static void
judge_runs (struct judge *judge, const struct soak_job *job,
            const GArray *runs)
{
  const struct request *first
      = &g_array_index (job->requests, struct request, 0);

  for (guint i = 0; i < runs->len; i++)
    {
      const struct run *run = &g_array_index (runs, struct run, i);

      if (run->is_over_capacity)
        judge_add (judge, job, "task %s brought %s over its capacity",
                   run->task, run->worker);
      if (faults_forbid_start (judge->faults, run->zone, run->start_ms))
        judge_add (judge, job, "task %s was started in an evacuated zone",
                   run->task);
      if (run->start_ms < first->sent_ms)
        judge_add (judge, job, "task %s ran before it was sent", run->task);
      for (guint j = 0; j < i; j++)
        if (g_array_index (runs, struct run, j).end_ms > run->start_ms)
          judge_add (judge, job, "task %s ran twice at once on %s and %s",
                     run->task, g_array_index (runs, struct run, j).worker,
                     run->worker);
    }
}

static void
judge_tasks (struct judge *judge)
{
  GHashTableIter iter;
  gpointer task;
  gpointer runs;

  g_hash_table_iter_init (&iter, judge->runs);
  while (g_hash_table_iter_next (&iter, &task, &runs))
    {
      const struct soak_job *job = find_job (judge, task);

      if (job == NULL)
        judge_add (judge, NULL, "task %s ran, which nobody sent",
                   (const char *)task);
      else
        judge_runs (judge, job, runs);
    }
}

/* An answer of 200 says done or failed, and is true.  */
static void
judge_end (struct judge *judge, const struct soak_job *job,
           const struct request *request)
{
  gboolean is_done = g_str_equal (request->state, "done");
  guint n_done = 0;
  guint n_failed = 0;

  for (guint i = 0; i < job->n_tasks; i++)
    {
      n_done
          += count_ends (judge, job, i, "done", request->end_ms) > 0 ? 1 : 0;
      n_failed += count_ends (judge, job, i, "failed", request->end_ms)
                          >= TRAFFIC_ATTEMPTS
                      ? 1
                      : 0;
    }
  if (is_done && n_done != job->n_tasks)
    judge_add (judge, job, "answered as done, but only %u of %u tasks are",
               n_done, job->n_tasks);
  else if (!is_done && !g_str_equal (request->state, "failed"))
    judge_add (judge, job, "answered 200 and \"%s\"", request->state);
  else if (!is_done && n_failed == 0)
    judge_add (judge, job, "answered as failed, but no task failed %u times",
               TRAFFIC_ATTEMPTS);
}

static void
judge_answer (struct judge *judge, const struct soak_job *job,
              const struct request *request)
{
  switch (request->status)
    {
    case 200:
      judge_end (judge, job, request);
      break;
    case 429:
    case 503:
      if (!g_str_equal (request->state, "not-run"))
        judge_add (judge, job, "answered %u and \"%s\"", request->status,
                   request->state);
      break;
    case 502:
    case 504:
      break;
    default:
      judge_add (judge, job, "answered %u", request->status);
    }
}

/* Whether a fault of its VM accounts for the broken connection of REQUEST. */
static gboolean
is_break_excused (const struct judge *judge, const struct request *request)
{
  const struct faults *faults = judge->faults;
  gint64 by_ms = request->end_ms + NOTICE_MS;

  if (faults_was_out (faults, request->vm, OUTAGE_LEAVING, request->sent_ms,
                      by_ms))
    return request->end_ms - request->sent_ms <= LOSS_SLACK_MS
           || faults_were_others (faults, request->sent_ms - STABLE_MS,
                                  request->end_ms);
  return faults_was_out (faults, request->vm, OUTAGE_DOWN, request->sent_ms,
                         by_ms);
}

/* A paused VM reads a request late, and its time begins then.  */
static gboolean
is_silence_excused (const struct judge *judge, const struct request *request)
{
  return faults_was_out (judge->faults, request->vm, OUTAGE_PAUSED,
                         request->sent_ms, request->end_ms);
}

static void
judge_request (struct judge *judge, const struct soak_job *job,
               const struct request *request)
{
  if (request->end == REQUEST_ANSWERED)
    judge_answer (judge, job, request);
  else if (faults_were_callers_cut (judge->faults, request->vm,
                                    request->sent_ms, request->end_ms))
    return;
  else if (request->end == REQUEST_BROKEN
           && !is_break_excused (judge, request))
    judge_add (judge, job, "VM %u broke the connection without a fault",
               request->vm + 1);
  else if (request->end == REQUEST_TIMED_OUT
           && !is_silence_excused (judge, request))
    judge_add (judge, job, "VM %u did not answer", request->vm + 1);
}

static gboolean
is_refusal (const struct request *request)
{
  return request->end == REQUEST_ANSWERED
         && (request->status == 429 || request->status == 503);
}

static void
judge_job (struct judge *judge, const struct soak_job *job)
{
  gboolean is_refused = TRUE;

  for (guint i = 0; i < job->requests->len; i++)
    {
      const struct request *request
          = &g_array_index (job->requests, struct request, i);

      is_refused = is_refused && is_refusal (request);
      judge_request (judge, job, request);
    }
  for (guint i = 0; i < job->n_tasks; i++)
    {
      guint n_failed = count_ends (judge, job, i, "failed", G_MAXINT64);

      if (is_refused && find_runs (judge, job, i) != NULL)
        judge_add (judge, job, "was refused each time, but task %u ran", i);
      judge->n_over_attempts
          += n_failed > TRAFFIC_ATTEMPTS * job->requests->len ? 1 : 0;
      if (n_failed > TRAFFIC_ATTEMPTS * job->requests->len * judge->bed->n_vms)
        judge_add (judge, job, "task %u failed %u times", i, n_failed);
    }
}

guint
judge_run (struct judge *judge)
{
  const GPtrArray *jobs = traffic_get_jobs (judge->traffic);

  judge_tasks (judge);
  for (guint i = 0; i < jobs->len; i++)
    judge_job (judge, g_ptr_array_index (jobs, i));
  if (faults_count_own_ends (judge->faults) != 0)
    judge_add (judge, NULL, "VMs ended by themselves %u times",
               faults_count_own_ends (judge->faults));
  return judge->violations->len;
}

static void
print_job (const struct judge *judge, const struct soak_job *job,
           gint64 start_ms, FILE *file)
{
  static const char *const ends[]
      = { "waiting", "answered", "broken", "left", "unanswered", "timed out" };

  fprintf (file, "job %s: %u tasks of %u ms, cpu %u, %s%s\n", job->id,
           job->n_tasks, job->run_ms, job->cpu,
           job->is_patient ? "patient" : "hasty",
           job->is_failing ? ", failing" : "");
  for (guint i = 0; i < job->requests->len; i++)
    {
      const struct request *request
          = &g_array_index (job->requests, struct request, i);

      fprintf (file, "  %7.3f to %7.3f  VM %u %s %u %s\n",
               (double)(request->sent_ms - start_ms) / MS_PER_S,
               (double)(request->end_ms - start_ms) / MS_PER_S,
               request->vm + 1, ends[request->end], request->status,
               request->state);
    }
  for (guint i = 0; i < job->n_tasks; i++)
    {
      const GArray *runs = find_runs (judge, job, i);

      for (guint j = 0; runs != NULL && j < runs->len; j++)
        {
          const struct run *run = &g_array_index (runs, struct run, j);

          fprintf (file,
                   "  %7.3f to %7.3f  task %u run %" G_GINT64_FORMAT
                   " on %s %s%s\n",
                   (double)(run->start_ms - start_ms) / MS_PER_S,
                   (double)(run->end_ms - start_ms) / MS_PER_S, i, run->number,
                   run->worker, run->end,
                   run->is_over_capacity ? ", over capacity" : "");
        }
    }
}

void
judge_print (const struct judge *judge, gint64 start_ms, FILE *file)
{
  for (guint i = 0; i < judge->violations->len; i++)
    fprintf (file, "violation: %s\n",
             (const char *)g_ptr_array_index (judge->violations, i));
  for (guint i = 0; i < judge->concerned->len; i++)
    print_job (judge, g_ptr_array_index (judge->concerned, i), start_ms, file);
}

void
judge_print_counts (const struct judge *judge, FILE *file)
{
  const GPtrArray *jobs = traffic_get_jobs (judge->traffic);
  guint n_ends[REQUEST_TIMED_OUT + 1] = { 0 };
  guint n_done = 0;
  guint n_failed = 0;
  guint n_refused = 0;

  for (guint i = 0; i < jobs->len; i++)
    {
      const struct soak_job *job = g_ptr_array_index (jobs, i);

      for (guint j = 0; j < job->requests->len; j++)
        {
          const struct request *request
              = &g_array_index (job->requests, struct request, j);

          n_ends[request->end]++;
          n_done += g_str_equal (request->state, "done") ? 1 : 0;
          n_failed += g_str_equal (request->state, "failed") ? 1 : 0;
          n_refused += is_refusal (request) ? 1 : 0;
        }
    }
  fprintf (file,
           "%u jobs: %u done, %u failed, %u refused, %u unknown, %u broken, "
           "%u left, %u unanswered, %u timed out",
           jobs->len, n_done, n_failed, n_refused,
           n_ends[REQUEST_ANSWERED] - n_done - n_failed - n_refused,
           n_ends[REQUEST_BROKEN], n_ends[REQUEST_LEFT],
           n_ends[REQUEST_UNANSWERED], n_ends[REQUEST_TIMED_OUT]);
  if (judge->n_over_attempts != 0)
    fprintf (file, ", %u tasks failed more often than one VM lets them",
             judge->n_over_attempts);
}
