#include "commands/explain_timeline.h"

#include "base/clock.h"
#include "commands/explain_trail.h"

#include <string.h>

/* If Unix time minus boot clock of a VM rises by more than this, the VM has
   rebooted.  A smaller change is a correction of the wall clock.  */
#define SAME_BOOT_TOLERANCE_US (5 * USEC_PER_SEC)

/* Lines that don't name the job are included from WINDOW_BEFORE_US before its
   first line to WINDOW_AFTER_US after its last line.  Starts, stops and losses
   of VMs are included up to PROCESS_WINDOW_AFTER_US after its last line.  */
#define WINDOW_BEFORE_US (5 * USEC_PER_SEC)
#define WINDOW_AFTER_US (10 * USEC_PER_SEC)
#define PROCESS_WINDOW_AFTER_US (600 * USEC_PER_SEC)

/* Fields that timeline_format_fields () leaves out.  */
static const char *const common_keys[]
    = { "time_us", "boot_us", "vm",  "level", "event",
        "name",    "job",     "cut", "trail", NULL };

/* What an event that names no job is about.  */
enum subject
{
  SUBJECT_NONE,
  SUBJECT_PROCESS,  /* start or stop of the process on its VM; relevant for
                       PROCESS_WINDOW_AFTER_US */
  SUBJECT_VM,       /* its VM */
  SUBJECT_PEER,     /* the VM in its field "peer"; relevant as long as
                       SUBJECT_PROCESS */
  SUBJECT_UPSTREAM, /* the upstream in its field "upstream" */
};

static const struct
{
  enum event number;
  enum subject subject;
} subjects[] = {
  { EVENT_FLEET_STARTED, SUBJECT_PROCESS },
  { EVENT_FLEET_DRAINING, SUBJECT_PROCESS },
  { EVENT_FLEET_STOPPED, SUBJECT_PROCESS },
  { EVENT_LOOP_LATE, SUBJECT_VM },
  { EVENT_LOG_LINES_DROPPED, SUBJECT_VM },
  { EVENT_ROUTES_IN_FORCE, SUBJECT_VM },
  { EVENT_ROUTES_REFUSED, SUBJECT_VM },
  { EVENT_STORE_LOST, SUBJECT_VM },
  { EVENT_STORE_REACHED, SUBJECT_VM },
  { EVENT_SHARD_FENCED, SUBJECT_VM },
  { EVENT_VM_LOST, SUBJECT_PEER },
  { EVENT_VM_BACK, SUBJECT_PEER },
  { EVENT_RUN_UNANSWERED, SUBJECT_UPSTREAM },
  { EVENT_UPSTREAM_FENCED, SUBJECT_UPSTREAM },
  { EVENT_UPSTREAM_RELEASED, SUBJECT_UPSTREAM },
  { EVENT_UPSTREAM_GONE, SUBJECT_UPSTREAM },
  { EVENT_UPSTREAM_RESTING, SUBJECT_UPSTREAM },
  { EVENT_UPSTREAM_TRUSTED, SUBJECT_UPSTREAM },
  { EVENT_UPSTREAM_MUTE, SUBJECT_UPSTREAM },
  { EVENT_UPSTREAM_BACK, SUBJECT_UPSTREAM },
};

/* The events of a job that only its home logs.  */
static const enum event home_events[]
    = { EVENT_JOB_ACCEPTED, EVENT_JOB_TURNED_AWAY, EVENT_JOB_ANSWERED,
        EVENT_JOB_GIVEN_UP, EVENT_CALLER_GONE,     EVENT_JOB_WAITED,
        EVENT_BATCH_SENT };

static void
free_event (gpointer data)
{
  struct timeline_event *event = data;

  json_decref (event->line);
  g_free (event);
}

static void
free_vm_boot (gpointer data)
{
  struct timeline_vm_boot *vm_boot = data;

  g_free (vm_boot->vm);
  g_free (vm_boot);
}

struct timeline *
timeline_new (const char *job)
{
  struct timeline *timeline = g_new0 (struct timeline, 1);

  timeline->job = g_strdup (job);
  timeline->events = g_ptr_array_new_with_free_func (free_event);
  timeline->candidates = g_ptr_array_new_with_free_func (free_event);
  timeline->vm_boots = g_ptr_array_new_with_free_func (free_vm_boot);
  return timeline;
}

void
timeline_free (struct timeline *timeline)
{
  g_ptr_array_unref (timeline->events);
  g_ptr_array_unref (timeline->candidates);
  g_ptr_array_unref (timeline->vm_boots);
  g_free (timeline->job);
  g_free (timeline->home);
  g_free (timeline);
}

const char *
timeline_get_text (const struct timeline_event *event, const char *key)
{
  return json_string_value (json_object_get (event->line, key));
}

gint64
timeline_get_int (const struct timeline_event *event, const char *key,
                  gint64 fallback)
{
  const json_t *value = json_object_get (event->line, key);

  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

/*
 * The boot of VM that a line with OFFSET_US belongs to; added if it is new.  A
 * reboot makes the offset larger.  A smaller offset means that the wall clock
 * was set back, so the line belongs to a known boot.  But if the line is the
 * start of a process, a smaller offset means that the name VM now belongs to
 * another machine, which has been up for longer.
 */
static struct timeline_vm_boot *
get_vm_boot (struct timeline *timeline, const char *vm, gint64 offset_us,
             gboolean is_process_start)
{
  struct timeline_vm_boot *vm_boot = NULL;

  for (guint i = 0; i < timeline->vm_boots->len; i++)
    {
      struct timeline_vm_boot *other
          = g_ptr_array_index (timeline->vm_boots, i);

      if (!g_str_equal (other->vm, vm))
        continue;
      if (ABS (offset_us - other->offset_us) <= SAME_BOOT_TOLERANCE_US)
        return other;
      if (other->offset_us > offset_us && !is_process_start)
        vm_boot = other;
    }
  if (vm_boot != NULL)
    return vm_boot;
  vm_boot = g_new0 (struct timeline_vm_boot, 1);
  vm_boot->vm = g_strdup (vm);
  vm_boot->offset_us = offset_us;
  g_ptr_array_add (timeline->vm_boots, vm_boot);
  return vm_boot;
}

static enum subject
find_subject (enum event number)
{
  for (gsize i = 0; i < G_N_ELEMENTS (subjects); i++)
    if (subjects[i].number == number)
      return subjects[i].subject;
  return SUBJECT_NONE;
}

/* The JSON object that begins at one of the first three braces of LINE, or
   NULL.  The caller owns it.  */
static json_t *
parse_line (const char *line)
{
  for (guint tries = 0; tries < 3 && line != NULL; tries++)
    {
      json_t *object;

      line = strchr (line, '{');
      if (line == NULL)
        return NULL;
      object = json_loads (line, JSON_DISABLE_EOF_CHECK, NULL);
      if (json_is_object (object))
        return object;
      json_decref (object);
      line++;
    }
  return NULL;
}

static gboolean
is_log_line (const json_t *line)
{
  return json_is_integer (json_object_get (line, "time_us"))
         && json_is_integer (json_object_get (line, "boot_us"))
         && json_is_integer (json_object_get (line, "event"))
         && json_is_string (json_object_get (line, "name"))
         && json_is_string (json_object_get (line, "vm"));
}

/* Takes over LINE and adds it to the events or to the candidates, or frees it
   if it is neither.  */
static void
add_line (struct timeline *timeline, json_t *line)
{
  struct timeline_event *event = g_new0 (struct timeline_event, 1);
  gint64 time_us = json_integer_value (json_object_get (line, "time_us"));
  const char *job = json_string_value (json_object_get (line, "job"));

  event->line = line;
  event->number
      = (enum event)json_integer_value (json_object_get (line, "event"));
  event->vm = timeline_get_text (event, "vm");
  event->name = timeline_get_text (event, "name");
  event->boot_us = timeline_get_int (event, "boot_us", 0);
  event->vm_boot = get_vm_boot (timeline, event->vm, time_us - event->boot_us,
                                event->number == EVENT_FLEET_STARTED);
  event->line_number = timeline->n_lines;
  event->has_job = g_strcmp0 (job, timeline->job) == 0;
  timeline->n_job_lines += event->has_job;
  if (event->has_job)
    g_ptr_array_add (timeline->events, event);
  else if (job == NULL && find_subject (event->number) != SUBJECT_NONE)
    g_ptr_array_add (timeline->candidates, event);
  else
    free_event (event);
}

/* Adds each step of the trail of LINE as a line of its own.  The field "trail"
   itself is not printed.  */
static void
add_trail (struct timeline *timeline, json_t *line)
{
  g_autoptr (GPtrArray) steps = explain_trail_expand (line);

  for (guint i = 0; i < steps->len; i++)
    add_line (timeline, json_incref (g_ptr_array_index (steps, i)));
}

/* Whether LINE contains part of a log line that names JOB, although OBJECT,
   which was parsed from it, does not name JOB.  */
static gboolean
is_damaged_line (const char *line, const json_t *object, const char *job)
{
  const char *name = json_string_value (json_object_get (object, "job"));
  g_autofree char *member = g_strdup_printf ("\"job\":\"%s\"", job);

  return g_strcmp0 (name, job) != 0 && strstr (line, member) != NULL
         && strstr (line, "\"event\":") != NULL;
}

void
timeline_read_line (struct timeline *timeline, const char *line)
{
  json_t *object;

  timeline->n_lines++;
  /* Skip the lines of other jobs without parsing them.  */
  if (strstr (line, "\"job\":") != NULL
      && strstr (line, timeline->job) == NULL)
    return;
  object = parse_line (line);
  timeline->n_damaged += is_damaged_line (line, object, timeline->job);
  if (object != NULL && is_log_line (object))
    {
      add_trail (timeline, object);
      add_line (timeline, object);
      return;
    }
  json_decref (object);
  timeline->n_foreign++;
}

const struct timeline_event *
timeline_find_first (const struct timeline *timeline, enum event number)
{
  for (guint i = 0; i < timeline->events->len; i++)
    {
      const struct timeline_event *event
          = g_ptr_array_index (timeline->events, i);

      if (event->has_job && event->number == number)
        return event;
    }
  return NULL;
}

const struct timeline_event *
timeline_find_last (const struct timeline *timeline)
{
  for (guint i = timeline->events->len; i > 0; i--)
    {
      const struct timeline_event *event
          = g_ptr_array_index (timeline->events, i - 1);

      if (event->has_job)
        return event;
    }
  return NULL;
}

gboolean
timeline_is_same_batch (const struct timeline_event *sent,
                        const struct timeline_event *other)
{
  json_t *a = json_object_get (sent->line, "batch");
  json_t *b = json_object_get (other->line, "batch");
  const char *owner = timeline_get_text (other, "owner");

  if (owner == NULL)
    owner = other->vm;
  return g_strcmp0 (timeline_get_text (sent, "owner"), owner) == 0
         && (a == b || json_equal (a, b));
}

gboolean
timeline_is_success (const struct timeline_event *event)
{
  gint64 status = timeline_get_int (event, "status", 0);

  return event->number == EVENT_JOB_ANSWERED
         && ((status >= 200 && status < 300)
             || g_strcmp0 (timeline_get_text (event, "status"), "done") == 0);
}

/* The length of the upstream's name in WORD, a word "UPSTREAM:RUNS:MS" of the
   field "runs", whose last colon is at END.  MS is the duration of the longest
   of the RUNS runs.  */
static gsize
find_name_length (const char *word, gsize end)
{
  const char *colon = g_strrstr_len (word, (gssize)end, ":");

  return colon != NULL ? (gsize)(colon - word) : end;
}

gint64
timeline_get_longest_run_ms (const struct timeline_event *event,
                             const char **upstream, gsize *length)
{
  const char *text = timeline_get_text (event, "runs");
  gint64 longest_ms = 0;
  g_auto (GStrv) words = NULL;

  if (text == NULL)
    return 0;
  words = g_strsplit (text, " ", -1);
  for (guint i = 0; words[i] != NULL; i++)
    {
      const char *colon = strrchr (words[i], ':');
      gint64 ms;

      if (colon == NULL
          || !g_ascii_string_to_signed (colon + 1, 10, 0, G_MAXINT, &ms, NULL)
          || ms <= longest_ms)
        continue;
      longest_ms = ms;
      *upstream = strstr (text, words[i]);
      *length = find_name_length (words[i], (gsize)(colon - words[i]));
    }
  return longest_ms;
}

/* A copy of the VM name NAME without the process number, so "vm-a" for
   "vm-a#17".  */
static char *
copy_vm_name (const char *name)
{
  return g_strndup (name, strcspn (name, "#"));
}

/* Sets the home to the VM that logged an event of a home.  If there is none,
   to the VM that a line of an owner names.  */
static void
find_home (struct timeline *timeline)
{
  for (gsize i = 0; i < G_N_ELEMENTS (home_events); i++)
    {
      const struct timeline_event *event
          = timeline_find_first (timeline, home_events[i]);

      if (event != NULL)
        {
          timeline->home = g_strdup (event->vm);
          return;
        }
    }
  for (guint i = 0; i < timeline->events->len && timeline->home == NULL; i++)
    {
      const char *name = timeline_get_text (
          g_ptr_array_index (timeline->events, i), "home");

      if (name != NULL)
        timeline->home = copy_vm_name (name);
    }
}

/* The Unix time of EVENT with the clock shift so far.  */
static gint64
get_time_us (const struct timeline_event *event)
{
  return event->boot_us + event->vm_boot->offset_us
         + event->vm_boot->clock_shift_us;
}

/* The minimum time for which the batch of EVENT had been at its owner: its
   wait plus its longest successful run.  */
static gint64
get_min_batch_us (const struct timeline_event *event)
{
  gint64 waited_us = timeline_get_int (event, "waited_us", 0);
  const char *upstream;
  gsize length;

  return MAX (waited_us, 0)
         + timeline_get_longest_run_ms (event, &upstream, &length)
               * USEC_PER_MSEC;
}

/*
 * Shifts the clock of the owner that logged OTHER if SENT, sent by the home,
 * is the same batch.  With IS_LOWER_BOUND, the batch must not begin before it
 * was sent.  Otherwise, a batch with the end "done" must not end after a
 * successful answer of the home.
 */
static void
correct_owner_clock (const struct timeline *timeline,
                     const struct timeline_event *sent,
                     struct timeline_event *other, gboolean is_lower_bound)
{
  const struct timeline_event *answer
      = timeline_find_first (timeline, EVENT_JOB_ANSWERED);

  gint64 begun_us = get_time_us (other) - get_min_batch_us (other);

  if (sent->vm_boot == other->vm_boot || !timeline_is_same_batch (sent, other))
    return;
  if (is_lower_bound && begun_us < get_time_us (sent))
    other->vm_boot->clock_shift_us += get_time_us (sent) - begun_us;
  else if (!is_lower_bound && other->number == EVENT_BATCH_ENDED
           && answer != NULL
           && g_strcmp0 (timeline_get_text (other, "end"), "done") == 0
           && answer->vm_boot == sent->vm_boot && timeline_is_success (answer)
           && get_time_us (other) > get_time_us (answer))
    other->vm_boot->clock_shift_us
        -= get_time_us (other) - get_time_us (answer);
}

/* Applies one kind of bound to all owners.  The lower bounds must be applied
   last, because they hold without exception.  */
static void
correct_owner_clocks (struct timeline *timeline, gboolean is_lower_bound)
{
  for (guint i = 0; i < timeline->events->len; i++)
    {
      struct timeline_event *sent = g_ptr_array_index (timeline->events, i);

      for (guint k = 0;
           sent->number == EVENT_BATCH_SENT && k < timeline->events->len; k++)
        {
          struct timeline_event *other
              = g_ptr_array_index (timeline->events, k);

          if (other->number == EVENT_BATCH_TAKEN
              || other->number == EVENT_BATCH_ENDED)
            correct_owner_clock (timeline, sent, other, is_lower_bound);
        }
    }
}

static int
compare_events (gconstpointer a, gconstpointer b)
{
  const struct timeline_event *x = *(const struct timeline_event *const *)a;
  const struct timeline_event *y = *(const struct timeline_event *const *)b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->line_number < y->line_number ? -1
                                         : x->line_number > y->line_number;
}

/* Recomputes the times of EVENTS and sorts by them.  */
static void
sort_events (GPtrArray *events)
{
  for (guint i = 0; i < events->len; i++)
    {
      struct timeline_event *event = g_ptr_array_index (events, i);

      event->at_us = get_time_us (event);
    }
  g_ptr_array_sort (events, compare_events);
}

/* Removes lines that were read twice, as from two copies of a log.  EVENTS
   must be sorted.  */
static void
remove_duplicates (GPtrArray *events)
{
  for (guint i = events->len; i > 1; i--)
    {
      struct timeline_event *event = g_ptr_array_index (events, i - 1);
      struct timeline_event *before = g_ptr_array_index (events, i - 2);

      if (event->at_us == before->at_us
          && json_equal (event->line, before->line))
        g_ptr_array_remove_index (events, i - 1);
    }
}

/* The names in the fields KEYS, which end with NULL, of the events so far.
   The caller owns the set.  */
static GHashTable *
collect_names (const struct timeline *timeline, const char *const *keys)
{
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < timeline->events->len; i++)
    for (const char *const *key = keys; *key != NULL; key++)
      {
        const char *name = timeline_get_text (
            g_ptr_array_index (timeline->events, i), *key);

        if (name != NULL)
          g_hash_table_add (names, copy_vm_name (name));
      }
  return names;
}

/* Whether EVENT was logged close enough to the lines that name the job.  */
static gboolean
is_in_window (const struct timeline *timeline,
              const struct timeline_event *event, enum subject subject)
{
  const struct timeline_event *first = g_ptr_array_index (timeline->events, 0);
  const struct timeline_event *last
      = g_ptr_array_index (timeline->events, timeline->events->len - 1);
  gint64 after_us = subject == SUBJECT_PROCESS || subject == SUBJECT_PEER
                        ? PROCESS_WINDOW_AFTER_US
                        : WINDOW_AFTER_US;

  return event->at_us >= first->at_us - WINDOW_BEFORE_US
         && event->at_us <= last->at_us + after_us;
}

/* Whether EVENT is about one of VMS or UPSTREAMS.  The loss or return of a VM
   counts only if one of VMS has logged it.  */
static gboolean
concerns_job (const struct timeline_event *event, enum subject subject,
              GHashTable *vms, GHashTable *upstreams)
{
  const char *peer = timeline_get_text (event, "peer");
  const char *upstream = timeline_get_text (event, "upstream");

  if (subject == SUBJECT_PEER)
    return peer != NULL && g_hash_table_contains (vms, peer)
           && g_hash_table_contains (vms, event->vm);
  if (subject == SUBJECT_UPSTREAM)
    return upstream != NULL && g_hash_table_contains (upstreams, upstream);
  return g_hash_table_contains (vms, event->vm);
}

/* Adds the candidates that concern the job to the events.  */
static void
add_candidates (struct timeline *timeline)
{
  g_autoptr (GHashTable) vms = collect_names (
      timeline, (const char *const[]){ "vm", "home", "owner", NULL });
  g_autoptr (GHashTable) upstreams
      = collect_names (timeline, (const char *const[]){ "upstream", NULL });
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();

  sort_events (timeline->candidates);
  for (guint i = 0; i < timeline->candidates->len; i++)
    {
      struct timeline_event *event
          = g_ptr_array_index (timeline->candidates, i);
      enum subject subject = find_subject (event->number);

      if (is_in_window (timeline, event, subject)
          && concerns_job (event, subject, vms, upstreams))
        g_ptr_array_add (chosen, event);
    }
  for (guint i = 0; i < chosen->len; i++)
    {
      struct timeline_event *event = g_ptr_array_index (chosen, i);

      json_incref (event->line);
      g_ptr_array_add (timeline->events,
                       g_memdup2 (event, sizeof (struct timeline_event)));
    }
}

void
timeline_finish (struct timeline *timeline)
{
  if (timeline->events->len == 0)
    return;
  find_home (timeline);
  correct_owner_clocks (timeline, FALSE);
  correct_owner_clocks (timeline, TRUE);
  sort_events (timeline->events);
  add_candidates (timeline);
  sort_events (timeline->events);
  remove_duplicates (timeline->events);
}

guint
timeline_count_lost_vms (const struct timeline *timeline, const char *vm,
                         gint64 at_us)
{
  g_autoptr (GHashTable) lost = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < timeline->candidates->len; i++)
    {
      const struct timeline_event *event
          = g_ptr_array_index (timeline->candidates, i);
      const char *peer = timeline_get_text (event, "peer");

      if (event->at_us > at_us || g_strcmp0 (event->vm, vm) != 0)
        continue;
      if (event->number == EVENT_FLEET_STARTED)
        g_hash_table_remove_all (lost);
      else if (event->number == EVENT_VM_LOST && peer != NULL)
        g_hash_table_add (lost, (gpointer)peer);
      else if (event->number == EVENT_VM_BACK && peer != NULL)
        g_hash_table_remove (lost, peer);
    }
  return g_hash_table_size (lost);
}

static gboolean
is_listed (const char *const *list, const char *key)
{
  return list != NULL && g_strv_contains (list, key);
}

void
timeline_format_fields (const struct timeline_event *event,
                        const char *const *except, GString *text)
{
  const char *key;
  json_t *value;

  json_object_foreach (event->line, key, value)
  {
    if (is_listed (common_keys, key) || is_listed (except, key))
      continue;
    g_string_append_printf (text, "%s%s=", text->len > 0 ? " " : "", key);
    if (json_is_string (value))
      g_string_append (text, json_string_value (value));
    else
      {
        char *number
            = json_dumps (value, JSON_ENCODE_ANY | JSON_REAL_PRECISION (6));

        g_string_append (text, number != NULL ? number : "?");
        free (number);
      }
  }
}
