#include "commands/explain_timeline.h"

#include "base/clock.h"
#include "commands/explain_trail.h"

#include <string.h>

/* By this much the wall clock of a VM may be set without being taken for a
   start of the VM.  */
#define SAME_LIFE_US (5 * USEC_PER_SEC)

/* What else is told, before the job's first line and after its last.  */
#define WINDOW_BEFORE_US (5 * USEC_PER_SEC)
#define WINDOW_AFTER_US (10 * USEC_PER_SEC)
#define PROCESS_WINDOW_AFTER_US (600 * USEC_PER_SEC)

/* What every line has.  */
static const char *const envelope[]
    = { "time_us", "boot_us", "vm",  "level", "event",
        "name",    "job",     "cut", "trail", NULL };

/* What an event that names no job tells of.  */
enum subject
{
  SUBJECT_NONE,
  SUBJECT_PROCESS,  /* of its VM, also long afterwards */
  SUBJECT_VM,       /* its VM */
  SUBJECT_PEER,     /* the VM that it names */
  SUBJECT_UPSTREAM, /* the upstream that it names */
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
        EVENT_JOB_GIVEN_UP, EVENT_CALLER_GONE,     EVENT_BATCH_SENT };

static void
free_event (gpointer data)
{
  struct story_event *event = data;

  json_decref (event->line);
  g_free (event);
}

static void
free_life (gpointer data)
{
  struct story_life *life = data;

  g_free (life->vm);
  g_free (life);
}

struct story *
story_new (const char *job)
{
  struct story *story = g_new0 (struct story, 1);

  story->job = g_strdup (job);
  story->events = g_ptr_array_new_with_free_func (free_event);
  story->others = g_ptr_array_new_with_free_func (free_event);
  story->lives = g_ptr_array_new_with_free_func (free_life);
  return story;
}

void
story_free (struct story *story)
{
  g_ptr_array_unref (story->events);
  g_ptr_array_unref (story->others);
  g_ptr_array_unref (story->lives);
  g_free (story->job);
  g_free (story->home);
  g_free (story);
}

const char *
story_event_text (const struct story_event *event, const char *key)
{
  return json_string_value (json_object_get (event->line, key));
}

gint64
story_event_int (const struct story_event *event, const char *key,
                 gint64 fallback)
{
  const json_t *value = json_object_get (event->line, key);

  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

/*
 * The life of VM that a line belongs to.  A VM that starts again has a later
 * start by its wall clock; an earlier one means that the clock was set back,
 * unless a process starts with it: then the VM is another machine, which has
 * been up for longer.
 */
static struct story_life *
find_life (struct story *story, const char *vm, gint64 offset_us,
           gboolean is_start)
{
  struct story_life *life = NULL;

  for (guint i = 0; i < story->lives->len; i++)
    {
      struct story_life *other = g_ptr_array_index (story->lives, i);

      if (!g_str_equal (other->vm, vm))
        continue;
      if (ABS (offset_us - other->offset_us) <= SAME_LIFE_US)
        return other;
      if (other->offset_us > offset_us && !is_start)
        life = other;
    }
  if (life != NULL)
    return life;
  life = g_new0 (struct story_life, 1);
  life->vm = g_strdup (vm);
  life->offset_us = offset_us;
  g_ptr_array_add (story->lives, life);
  return life;
}

static enum subject
find_subject (enum event number)
{
  for (gsize i = 0; i < G_N_ELEMENTS (subjects); i++)
    if (subjects[i].number == number)
      return subjects[i].subject;
  return SUBJECT_NONE;
}

/* The object that begins at one of the first braces of LINE, or NULL.  */
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

static void
take_line (struct story *story, json_t *line)
{
  struct story_event *event = g_new0 (struct story_event, 1);
  gint64 time_us = json_integer_value (json_object_get (line, "time_us"));
  const char *job = json_string_value (json_object_get (line, "job"));

  event->line = line;
  event->number
      = (enum event)json_integer_value (json_object_get (line, "event"));
  event->vm = story_event_text (event, "vm");
  event->name = story_event_text (event, "name");
  event->boot_us = story_event_int (event, "boot_us", 0);
  event->life = find_life (story, event->vm, time_us - event->boot_us,
                           event->number == EVENT_FLEET_STARTED);
  event->order = story->n_lines;
  event->is_own = g_strcmp0 (job, story->job) == 0;
  story->n_own += event->is_own;
  if (event->is_own)
    g_ptr_array_add (story->events, event);
  else if (job == NULL && find_subject (event->number) != SUBJECT_NONE)
    g_ptr_array_add (story->others, event);
  else
    free_event (event);
}

/* Takes the steps of a trail as lines of their own; the trail itself is then
   told.  */
static void
take_trail (struct story *story, json_t *line)
{
  g_autoptr (GPtrArray) steps = explain_trail_expand (line);

  for (guint i = 0; i < steps->len; i++)
    take_line (story, json_incref (g_ptr_array_index (steps, i)));
}

/* Whether LINE has what is left of a log line that names JOB; OBJECT is what
   was read from it.  */
static gboolean
is_cut_line (const char *line, const json_t *object, const char *job)
{
  const char *name = json_string_value (json_object_get (object, "job"));
  g_autofree char *member = g_strdup_printf ("\"job\":\"%s\"", job);

  return g_strcmp0 (name, job) != 0 && strstr (line, member) != NULL
         && strstr (line, "\"event\":") != NULL;
}

void
story_read_line (struct story *story, const char *line)
{
  json_t *object;

  story->n_lines++;
  if (strstr (line, "\"job\":") != NULL && strstr (line, story->job) == NULL)
    return;
  object = parse_line (line);
  story->n_cut += is_cut_line (line, object, story->job);
  if (object != NULL && is_log_line (object))
    {
      take_trail (story, object);
      take_line (story, object);
      return;
    }
  json_decref (object);
  story->n_foreign++;
}

const struct story_event *
story_find (const struct story *story, enum event number)
{
  for (guint i = 0; i < story->events->len; i++)
    {
      const struct story_event *event = g_ptr_array_index (story->events, i);

      if (event->is_own && event->number == number)
        return event;
    }
  return NULL;
}

const struct story_event *
story_find_last (const struct story *story)
{
  for (guint i = story->events->len; i > 0; i--)
    {
      const struct story_event *event
          = g_ptr_array_index (story->events, i - 1);

      if (event->is_own)
        return event;
    }
  return NULL;
}

gboolean
story_is_same_batch (const struct story_event *sent,
                     const struct story_event *other)
{
  json_t *a = json_object_get (sent->line, "batch");
  json_t *b = json_object_get (other->line, "batch");
  const char *owner = story_event_text (other, "owner");

  if (owner == NULL)
    owner = other->vm;
  return g_strcmp0 (story_event_text (sent, "owner"), owner) == 0
         && (a == b || json_equal (a, b));
}

gboolean
story_is_success (const struct story_event *event)
{
  gint64 status = story_event_int (event, "status", 0);

  return event->number == EVENT_JOB_ANSWERED
         && ((status >= 200 && status < 300)
             || g_strcmp0 (story_event_text (event, "status"), "done") == 0);
}

/* The length of the name in "NAME:COUNT:MS", whose last colon is at END.  */
static gsize
find_name_length (const char *word, gsize end)
{
  const char *colon = g_strrstr_len (word, (gssize)end, ":");

  return colon != NULL ? (gsize)(colon - word) : end;
}

gint64
story_find_longest_ms (const struct story_event *event, const char **upstream,
                       gsize *length)
{
  const char *text = story_event_text (event, "runs");
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

/* The name of a VM without the number of its process, as in "vm-a#17".  */
static char *
copy_vm_name (const char *name)
{
  return g_strndup (name, strcspn (name, "#"));
}

static void
find_home (struct story *story)
{
  for (gsize i = 0; i < G_N_ELEMENTS (home_events); i++)
    {
      const struct story_event *event = story_find (story, home_events[i]);

      if (event != NULL)
        {
          story->home = g_strdup (event->vm);
          return;
        }
    }
  for (guint i = 0; i < story->events->len && story->home == NULL; i++)
    {
      const char *name
          = story_event_text (g_ptr_array_index (story->events, i), "home");

      if (name != NULL)
        story->home = copy_vm_name (name);
    }
}

static gint64
place (const struct story_event *event)
{
  return event->boot_us + event->life->offset_us + event->life->shift_us;
}

/* How long the batch of an event had been at its owner at least.  */
static gint64
get_batch_us (const struct story_event *event)
{
  gint64 waited_us = story_event_int (event, "waited_us", 0);
  const char *upstream;
  gsize length;

  return MAX (waited_us, 0)
         + story_find_longest_ms (event, &upstream, &length) * USEC_PER_MSEC;
}

/* Moves the life of OTHER, at an owner, by what the batch SENT tells.  */
static void
move_owner (const struct story *story, const struct story_event *sent,
            struct story_event *other, gboolean is_lower)
{
  const struct story_event *answer = story_find (story, EVENT_JOB_ANSWERED);

  gint64 begun_us = place (other) - get_batch_us (other);

  if (sent->life == other->life || !story_is_same_batch (sent, other))
    return;
  if (is_lower && begun_us < place (sent))
    other->life->shift_us += place (sent) - begun_us;
  else if (!is_lower && other->number == EVENT_BATCH_ENDED && answer != NULL
           && g_strcmp0 (story_event_text (other, "end"), "done") == 0
           && answer->life == sent->life && story_is_success (answer)
           && place (other) > place (answer))
    other->life->shift_us -= place (other) - place (answer);
}

/* First the upper bounds, then the lower ones, which always hold.  */
static void
move_owners (struct story *story, gboolean is_lower)
{
  for (guint i = 0; i < story->events->len; i++)
    {
      struct story_event *sent = g_ptr_array_index (story->events, i);

      for (guint k = 0;
           sent->number == EVENT_BATCH_SENT && k < story->events->len; k++)
        {
          struct story_event *other = g_ptr_array_index (story->events, k);

          if (other->number == EVENT_BATCH_TAKEN
              || other->number == EVENT_BATCH_ENDED)
            move_owner (story, sent, other, is_lower);
        }
    }
}

static int
compare_events (gconstpointer a, gconstpointer b)
{
  const struct story_event *x = *(const struct story_event *const *)a;
  const struct story_event *y = *(const struct story_event *const *)b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
sort_events (GPtrArray *events)
{
  for (guint i = 0; i < events->len; i++)
    {
      struct story_event *event = g_ptr_array_index (events, i);

      event->at_us = place (event);
    }
  g_ptr_array_sort (events, compare_events);
}

/* Drops lines that were read twice, as from two copies of a log.  */
static void
drop_copies (GPtrArray *events)
{
  for (guint i = events->len; i > 1; i--)
    {
      struct story_event *event = g_ptr_array_index (events, i - 1);
      struct story_event *before = g_ptr_array_index (events, i - 2);

      if (event->at_us == before->at_us
          && json_equal (event->line, before->line))
        g_ptr_array_remove_index (events, i - 1);
    }
}

/* The VMs and upstreams that the job's own lines name.  */
static GHashTable *
list_names (const struct story *story, const char *const *keys)
{
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < story->events->len; i++)
    for (const char *const *key = keys; *key != NULL; key++)
      {
        const char *name
            = story_event_text (g_ptr_array_index (story->events, i), *key);

        if (name != NULL)
          g_hash_table_add (names, copy_vm_name (name));
      }
  return names;
}

static gboolean
is_in_time (const struct story *story, const struct story_event *event,
            enum subject subject)
{
  const struct story_event *first = g_ptr_array_index (story->events, 0);
  const struct story_event *last
      = g_ptr_array_index (story->events, story->events->len - 1);
  gint64 after_us = subject == SUBJECT_PROCESS || subject == SUBJECT_PEER
                        ? PROCESS_WINDOW_AFTER_US
                        : WINDOW_AFTER_US;

  return event->at_us >= first->at_us - WINDOW_BEFORE_US
         && event->at_us <= last->at_us + after_us;
}

static gboolean
is_about (const struct story_event *event, enum subject subject,
          GHashTable *vms, GHashTable *upstreams)
{
  const char *peer = story_event_text (event, "peer");
  const char *upstream = story_event_text (event, "upstream");

  if (subject == SUBJECT_PEER)
    return peer != NULL && g_hash_table_contains (vms, peer)
           && g_hash_table_contains (vms, event->vm);
  if (subject == SUBJECT_UPSTREAM)
    return upstream != NULL && g_hash_table_contains (upstreams, upstream);
  return g_hash_table_contains (vms, event->vm);
}

/* Adds the other lines that belong to the story.  */
static void
add_others (struct story *story)
{
  g_autoptr (GHashTable) vms = list_names (
      story, (const char *const[]){ "vm", "home", "owner", NULL });
  g_autoptr (GHashTable) upstreams
      = list_names (story, (const char *const[]){ "upstream", NULL });
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();

  sort_events (story->others);
  for (guint i = 0; i < story->others->len; i++)
    {
      struct story_event *event = g_ptr_array_index (story->others, i);
      enum subject subject = find_subject (event->number);

      if (is_in_time (story, event, subject)
          && is_about (event, subject, vms, upstreams))
        g_ptr_array_add (chosen, event);
    }
  for (guint i = 0; i < chosen->len; i++)
    {
      struct story_event *event = g_ptr_array_index (chosen, i);

      json_incref (event->line);
      g_ptr_array_add (story->events,
                       g_memdup2 (event, sizeof (struct story_event)));
    }
}

void
story_finish (struct story *story)
{
  if (story->events->len == 0)
    return;
  find_home (story);
  move_owners (story, FALSE);
  move_owners (story, TRUE);
  sort_events (story->events);
  add_others (story);
  sort_events (story->events);
  drop_copies (story->events);
}

guint
story_count_lost (const struct story *story, const char *vm, gint64 at_us)
{
  g_autoptr (GHashTable) lost = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < story->others->len; i++)
    {
      const struct story_event *event = g_ptr_array_index (story->others, i);
      const char *peer = story_event_text (event, "peer");

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
story_event_describe (const struct story_event *event,
                      const char *const *except, GString *text)
{
  const char *key;
  json_t *value;

  json_object_foreach (event->line, key, value)
  {
    if (is_listed (envelope, key) || is_listed (except, key))
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
