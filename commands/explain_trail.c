#include "commands/explain_trail.h"

#include "base/clock.h"
#include "base/event_log.h"

#include <string.h>

/* A step of a trail: a batch was sent or offered, or tasks of it returned
   unstarted.  */
struct step
{
  gint64 ms;    /* since the job was accepted */
  gint64 batch; /* number of the batch, unique in its home */
  gboolean is_return;
  gboolean is_offer; /* the tasks were offered to several owners */
  char *owner;       /* points into the word that was parsed */
  gint64 n_tasks;    /* tasks sent or returned */
  /* The rest is known of sent batches only.  The slots and the queue are based
     on the owner's last beacon.  */
  gint64 free_slots;
  gint64 queued; /* tasks in the owner's queue */
  gint64 age_us; /* time since that beacon */
};

static gboolean
parse_number (const char *text, gint64 *number)
{
  return g_ascii_string_to_signed (text, 10, 0, G_MAXINT, number, NULL);
}

/* Reads the number after the last colon of TEXT, and ends TEXT at the colon.
   Returns FALSE when there is none.  */
static gboolean
split_number (char *text, gint64 *number)
{
  char *colon = strrchr (text, ':');

  if (colon == NULL || !parse_number (colon + 1, number))
    return FALSE;
  *colon = '\0';
  return TRUE;
}

/*
 * Parses WORD, which is one of
 *
 *   MS+BATCH:OWNER:TASKS:FREE_SLOTS:QUEUED:AGE_MS
 *   MS~BATCH:OWNER:TASKS:FREE_SLOTS:QUEUED:AGE_MS
 *   MS-BATCH:OWNER:TASKS
 *
 * and is overwritten.  STEP keeps pointing into it.  OWNER may contain colons
 * and signs.  Returns FALSE when WORD is not a step.
 */
static gboolean
parse_step (char *word, struct step *step)
{
  char *sign = strpbrk (word, "+-~");
  char *colon = sign != NULL ? strchr (sign, ':') : NULL;
  gint64 age_ms = 0;

  if (colon == NULL)
    return FALSE;
  step->is_return = *sign == '-';
  step->is_offer = *sign == '~';
  *sign = '\0';
  *colon = '\0';
  step->owner = colon + 1;
  if (!parse_number (word, &step->ms)
      || !parse_number (sign + 1, &step->batch))
    return FALSE;
  if (!step->is_return
      && (!split_number (step->owner, &age_ms)
          || !split_number (step->owner, &step->queued)
          || !split_number (step->owner, &step->free_slots)))
    return FALSE;
  step->age_us = age_ms * USEC_PER_MSEC;
  return split_number (step->owner, &step->n_tasks);
}

static json_t *
build_step_fields (const struct step *step)
{
  if (step->is_return)
    return json_pack ("{s:i s:s s:I s:s s:I}", "event", EVENT_TASKS_RETURNED,
                      "name", "tasks-returned", "batch",
                      (json_int_t)step->batch, "owner", step->owner, "tasks",
                      (json_int_t)step->n_tasks);
  return json_pack (
      "{s:i s:s s:I s:s s:I s:b s:I s:I s:I}", "event", EVENT_BATCH_SENT,
      "name", "batch-sent", "batch", (json_int_t)step->batch, "owner",
      step->owner, "tasks", (json_int_t)step->n_tasks, "is_offer",
      step->is_offer, "free_slots", (json_int_t)step->free_slots, "queued",
      (json_int_t)step->queued, "age_us", (json_int_t)step->age_us);
}

/* Sets the time KEY of COPY to that of LINE plus STEP_OFFSET_US.  */
static void
set_step_time (json_t *copy, const json_t *line, const char *key,
               gint64 step_offset_us)
{
  gint64 time_us = json_integer_value (json_object_get (line, key));

  json_object_set_new (copy, key, json_integer (time_us + step_offset_us));
}

/* The log line for STEP of the trail in LINE.  WORD_NUMBER counts from 1.  The
   caller owns the line.  */
static json_t *
build_line (const json_t *line, const struct step *step, guint word_number)
{
  static const char *const kept[] = { "vm", "level", "job", NULL };
  gint64 line_ms = json_integer_value (json_object_get (line, "ms"));
  gint64 step_offset_us = (step->ms - line_ms) * USEC_PER_MSEC + word_number;
  json_t *copy = build_step_fields (step);

  for (const char *const *key = kept; *key != NULL; key++)
    json_object_set (copy, *key, json_object_get (line, *key));
  set_step_time (copy, line, "time_us", step_offset_us);
  set_step_time (copy, line, "boot_us", step_offset_us);
  return copy;
}

GPtrArray *
explain_trail_expand (const json_t *line)
{
  GPtrArray *lines
      = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  const char *trail = json_string_value (json_object_get (line, "trail"));
  g_auto (GStrv) words = g_strsplit (trail != NULL ? trail : "", " ", -1);

  for (guint i = 0; words[i] != NULL; i++)
    {
      struct step step = { 0 };

      if (parse_step (words[i], &step))
        g_ptr_array_add (lines, build_line (line, &step, i + 1));
    }
  return lines;
}
