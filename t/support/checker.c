#include "t/support/checker.h"

#include <string.h>

struct checked_job
{
  char *id;
  guint n_tasks;
  guint first_value;
  guint n_starts;
  char *final_answer; /* the body when complete, or the kind of error */
  gboolean complete;  /* whether that is an answer that is complete */
};

struct answer
{
  char *id;
  guint status;
  char *body;
};

struct sighting
{
  char *vm;
  char *team;
  gint64 version;
};

struct checker
{
  GHashTable *starts;   /* task -> the upstream that started it */
  GHashTable *jobs;     /* id -> struct checked_job */
  GPtrArray *answers;   /* of struct answer */
  GPtrArray *sightings; /* of struct sighting */
  GHashTable *accepted; /* "TEAM VERSION" of the accepted changes */
  GHashTable *current;  /* team -> version, as a pointer */
  GString *violations;
};

/* The kinds of error that promise that nothing was started.  */
static const char *const not_run_kinds[]
    = { "invalid",   "not-run",    "over-quota", "draining",
        "too-large", "never-runs", "denied",     NULL };

/* The kinds that do not tell how the job ended: the same request later may
   be answered in another way.  */
static const char *const passing_kinds[] = { "unavailable", NULL };

static void
free_job (gpointer data)
{
  struct checked_job *job = data;

  g_free (job->id);
  g_free (job->final_answer);
  g_free (job);
}

static void
free_answer (gpointer data)
{
  struct answer *answer = data;

  g_free (answer->id);
  g_free (answer->body);
  g_free (answer);
}

static void
free_sighting (gpointer data)
{
  struct sighting *sighting = data;

  g_free (sighting->vm);
  g_free (sighting->team);
  g_free (sighting);
}

static GHashTable *
new_text_table (GDestroyNotify free_value)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_value);
}

struct checker *
checker_new (void)
{
  struct checker *checker = g_new0 (struct checker, 1);

  checker->starts = new_text_table (g_free);
  checker->jobs = new_text_table (free_job);
  checker->answers = g_ptr_array_new_with_free_func (free_answer);
  checker->sightings = g_ptr_array_new_with_free_func (free_sighting);
  checker->accepted = new_text_table (NULL);
  checker->current = new_text_table (NULL);
  checker->violations = g_string_new (NULL);
  return checker;
}

void
checker_free (struct checker *checker)
{
  g_hash_table_unref (checker->starts);
  g_hash_table_unref (checker->jobs);
  g_ptr_array_unref (checker->answers);
  g_ptr_array_unref (checker->sightings);
  g_hash_table_unref (checker->accepted);
  g_hash_table_unref (checker->current);
  g_string_free (checker->violations, TRUE);
  g_free (checker);
}

static void G_GNUC_PRINTF (2, 3)
    add_violation (struct checker *checker, const char *format, ...)
{
  va_list list;

  va_start (list, format);
  g_string_append_vprintf (checker->violations, format, list);
  va_end (list);
  g_string_append_c (checker->violations, '\n');
}

static void
add_start (struct checker *checker, const char *upstream, json_t *start)
{
  const char *task = json_string_value (json_object_get (start, "task"));
  json_int_t count = json_integer_value (json_object_get (start, "count"));
  const char *other = g_hash_table_lookup (checker->starts, task);

  if (count != 1)
    add_violation (checker, "task %s: started %d times by %s", task,
                   (int)count, upstream);
  if (other != NULL)
    add_violation (checker, "task %s: started by %s and by %s", task, other,
                   upstream);
  g_hash_table_insert (checker->starts, g_strdup (task), g_strdup (upstream));
}

void
checker_add_starts (struct checker *checker, const char *upstream,
                    json_t *body)
{
  json_t *start;
  size_t i;

  json_array_foreach (json_object_get (body, "starts"), i, start)
  {
    add_start (checker, upstream, start);
  }
}

void
checker_add_job (struct checker *checker, const char *id, guint n_tasks,
                 guint first_value)
{
  struct checked_job *job = g_new0 (struct checked_job, 1);

  job->id = g_strdup (id);
  job->n_tasks = n_tasks;
  job->first_value = first_value;
  g_hash_table_insert (checker->jobs, g_strdup (id), job);
}

void
checker_add_answer (struct checker *checker, const char *id, guint status,
                    const char *body)
{
  struct answer *answer = g_new0 (struct answer, 1);

  answer->id = g_strdup (id);
  answer->status = status;
  answer->body = g_strdup (body);
  g_ptr_array_add (checker->answers, answer);
}

static void
add_change (struct checker *checker, json_t *record)
{
  json_t *data = json_object_get (record, "data");
  const char *team = json_string_value (json_object_get (data, "team"));
  json_int_t base = json_integer_value (json_object_get (data, "base"));
  json_int_t version
      = json_integer_value (json_object_get (record, "offset")) + 1;

  if (team == NULL
      || base
             != GPOINTER_TO_INT (g_hash_table_lookup (checker->current, team)))
    return;
  g_hash_table_insert (checker->current, g_strdup (team),
                       GINT_TO_POINTER ((int)version));
  g_hash_table_add (checker->accepted,
                    g_strdup_printf ("%s %d", team, (int)version));
}

void
checker_add_changes (struct checker *checker, json_t *dump)
{
  json_t *record;
  size_t i;

  json_array_foreach (json_object_get (dump, "records"), i, record)
  {
    add_change (checker, record);
  }
}

void
checker_add_in_force (struct checker *checker, const char *vm,
                      const char *team, gint64 version)
{
  struct sighting *sighting = g_new0 (struct sighting, 1);

  sighting->vm = g_strdup (vm);
  sighting->team = g_strdup (team);
  sighting->version = version;
  g_ptr_array_add (checker->sightings, sighting);
}

/* Counts the starts of each job.  */
static void
check_starts (struct checker *checker)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, checker->starts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const char *task = key;
      const char *slash = strrchr (task, '/');
      g_autofree char *id
          = g_strndup (task, slash == NULL ? 0 : (gsize)(slash - task));
      struct checked_job *job = g_hash_table_lookup (checker->jobs, id);

      if (job == NULL)
        add_violation (checker, "task %s: started for a job never submitted",
                       task);
      else
        job->n_starts++;
    }
}

static void
check_output (struct checker *checker, const struct checked_job *job, guint i,
              const json_t *output)
{
  g_autofree char *task = g_strdup_printf ("%s/%u", job->id, i);
  const char *named = json_string_value (json_object_get (output, "task"));
  const json_t *echo = json_object_get (output, "echo");

  if (!json_is_integer (echo)
      || json_integer_value (echo) != job->first_value + i)
    add_violation (checker, "job %s: output %u is not that of its input",
                   job->id, i);
  if (g_strcmp0 (named, task) != 0)
    add_violation (checker, "job %s: output %u comes from task %s", job->id, i,
                   named);
  if (!g_hash_table_contains (checker->starts, task))
    add_violation (checker, "task %s: has an output but no start", task);
}

static void
check_complete (struct checker *checker, const struct checked_job *job,
                const json_t *body)
{
  const json_t *outputs = json_object_get (body, "outputs");

  if (json_array_size (outputs) != job->n_tasks)
    {
      add_violation (checker, "job %s: %u of %u outputs", job->id,
                     (guint)json_array_size (outputs), job->n_tasks);
      return;
    }
  for (guint i = 0; i < job->n_tasks; i++)
    check_output (checker, job, i, json_array_get (outputs, i));
}

/*
 * A job that ran has one final answer, however often it is asked for; only
 * knowledge of it may be lost.
 */
static void
check_final (struct checker *checker, struct checked_job *job,
             gboolean complete, const char *answer)
{
  gboolean is_lost
      = job->complete && !complete && g_strcmp0 (answer, "unknown") == 0;

  if (job->final_answer == NULL)
    {
      job->final_answer = g_strdup (answer);
      job->complete = complete;
    }
  else if (!is_lost && g_strcmp0 (job->final_answer, answer) != 0)
    add_violation (checker, "job %s: two different answers", job->id);
}

static void
check_failed (struct checker *checker, struct checked_job *job,
              const json_t *body)
{
  const json_t *error = json_object_get (body, "error");
  const char *kind = json_string_value (json_object_get (error, "kind"));

  if (json_object_get (body, "outputs") != NULL)
    add_violation (checker, "job %s: failed, but with outputs", job->id);
  if (kind == NULL)
    add_violation (checker, "job %s: failed without a kind of error", job->id);
  else if (!g_strv_contains (not_run_kinds, kind))
    {
      if (!g_strv_contains (passing_kinds, kind))
        check_final (checker, job, FALSE, kind);
    }
  else if (job->n_starts > 0)
    add_violation (checker, "job %s: %s, but %u tasks were started", job->id,
                   kind, job->n_starts);
}

static void
check_body (struct checker *checker, struct checked_job *job, guint status,
            const char *text, const json_t *body)
{
  const char *id = json_string_value (json_object_get (body, "job"));

  if (id != NULL && strcmp (id, job->id) != 0)
    add_violation (checker, "job %s: got the answer of job %s", job->id, id);
  if (status == 200)
    {
      check_complete (checker, job, body);
      check_final (checker, job, TRUE, text);
    }
  else
    check_failed (checker, job, body);
}

static void
check_answer (struct checker *checker, const struct answer *answer)
{
  struct checked_job *job = g_hash_table_lookup (checker->jobs, answer->id);
  json_t *body;

  if (job == NULL)
    {
      add_violation (checker, "job %s: answered but never submitted",
                     answer->id);
      return;
    }
  if (answer->status == 0 || answer->status == 202)
    return;
  body = json_loads (answer->body == NULL ? "" : answer->body, 0, NULL);
  if (body == NULL)
    add_violation (checker, "job %s: status %u, and a body that is not whole",
                   job->id, answer->status);
  else
    check_body (checker, job, answer->status, answer->body, body);
  json_decref (body);
}

static void
check_sightings (struct checker *checker)
{
  g_autoptr (GHashTable) seen = new_text_table (NULL);

  for (guint i = 0; i < checker->sightings->len; i++)
    {
      const struct sighting *s = g_ptr_array_index (checker->sightings, i);
      g_autofree char *name
          = g_strdup_printf ("%s %d", s->team, (int)s->version);
      char *key = g_strdup_printf ("%s %s", s->vm, s->team);
      int before = GPOINTER_TO_INT (g_hash_table_lookup (seen, key));

      if (!g_hash_table_contains (checker->accepted, name))
        add_violation (checker, "%s: team %s: version %d was never accepted",
                       s->vm, s->team, (int)s->version);
      if (s->version < before)
        add_violation (checker, "%s: team %s: version %d after %d", s->vm,
                       s->team, (int)s->version, before);
      g_hash_table_insert (seen, key, GINT_TO_POINTER ((int)s->version));
    }
}

char *
checker_find_violations (struct checker *checker)
{
  check_starts (checker);
  for (guint i = 0; i < checker->answers->len; i++)
    check_answer (checker, g_ptr_array_index (checker->answers, i));
  check_sightings (checker);
  if (checker->violations->len == 0)
    return NULL;
  return g_strdup (checker->violations->str);
}

void
checker_verify (struct checker *checker)
{
  g_autofree char *violations = checker_find_violations (checker);

  if (violations != NULL)
    g_test_fail_printf ("%s", violations);
}
