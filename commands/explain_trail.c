#include "commands/explain_trail.h"

#include "base/clock.h"
#include "base/event_log.h"

#include <string.h>

struct step
{
  gint64 ms; /* since the job's acceptance */
  gint64 batch;
  gboolean is_return;
  char *owner; /* in the word that was read */
  gint64 tasks;
  gint64 free_slots;
  gint64 queued;
  gint64 age_us;
};

static gboolean
read_number (const char *text, gint64 *number)
{
  return g_ascii_string_to_signed (text, 10, 0, G_MAXINT, number, NULL);
}

/* Cuts the number behind the last colon of TEXT off.  Returns FALSE when there
   is none.  */
static gboolean
cut_number (char *text, gint64 *number)
{
  char *colon = strrchr (text, ':');

  if (colon == NULL || !read_number (colon + 1, number))
    return FALSE;
  *colon = '\0';
  return TRUE;
}

/* Reads WORD, which is overwritten.  The owner may have any name.  */
static gboolean
read_step (char *word, struct step *step)
{
  char *sign = strpbrk (word, "+-");
  char *colon = sign != NULL ? strchr (sign, ':') : NULL;
  gint64 age_ms = 0;

  if (colon == NULL)
    return FALSE;
  step->is_return = *sign == '-';
  *sign = '\0';
  *colon = '\0';
  step->owner = colon + 1;
  if (!read_number (word, &step->ms) || !read_number (sign + 1, &step->batch))
    return FALSE;
  if (!step->is_return
      && (!cut_number (step->owner, &age_ms)
          || !cut_number (step->owner, &step->queued)
          || !cut_number (step->owner, &step->free_slots)))
    return FALSE;
  step->age_us = age_ms * USEC_PER_MSEC;
  return cut_number (step->owner, &step->tasks);
}

static json_t *
build_members (const struct step *step)
{
  if (step->is_return)
    return json_pack ("{s:i s:s s:I s:s s:I}", "event", EVENT_TASKS_RETURNED,
                      "name", "tasks-returned", "batch",
                      (json_int_t)step->batch, "owner", step->owner, "tasks",
                      (json_int_t)step->tasks);
  return json_pack (
      "{s:i s:s s:I s:s s:I s:I s:I s:I}", "event", EVENT_BATCH_SENT, "name",
      "batch-sent", "batch", (json_int_t)step->batch, "owner", step->owner,
      "tasks", (json_int_t)step->tasks, "free_slots",
      (json_int_t)step->free_slots, "queued", (json_int_t)step->queued,
      "age_us", (json_int_t)step->age_us);
}

/* Sets the time KEY of COPY to that of LINE, moved by MOVE_US.  */
static void
move_time (json_t *copy, const json_t *line, const char *key, gint64 move_us)
{
  gint64 time_us = json_integer_value (json_object_get (line, key));

  json_object_set_new (copy, key, json_integer (time_us + move_us));
}

static json_t *
build_line (const json_t *line, const struct step *step, guint number)
{
  static const char *const kept[] = { "vm", "level", "job", NULL };
  gint64 line_ms = json_integer_value (json_object_get (line, "ms"));
  gint64 move_us = (step->ms - line_ms) * USEC_PER_MSEC + number;
  json_t *copy = build_members (step);

  for (const char *const *key = kept; *key != NULL; key++)
    json_object_set (copy, *key, json_object_get (line, *key));
  move_time (copy, line, "time_us", move_us);
  move_time (copy, line, "boot_us", move_us);
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

      if (read_step (words[i], &step))
        g_ptr_array_add (lines, build_line (line, &step, i + 1));
    }
  return lines;
}
