#include "base/event_log.h"

#include "base/metrics.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static const struct event_info catalogue[] = {
#define EVENT(number, name, level, text)                                      \
  { (number), LOG_LEVEL_##level, (text) },
#include "base/events.def"
#undef EVENT
  { 0, LOG_LEVEL_ERROR, NULL }
};

static const char *const level_names[LOG_LEVEL_COUNT]
    = { "error", "warning", "info", "debug" };

static enum log_level current_level = LOG_LEVEL_INFO;
static enum log_format current_format = LOG_FORMAT_TEXT;

const struct event_info *
event_catalogue (void)
{
  return catalogue;
}

void
event_log_set_level (enum log_level level)
{
  current_level = level;
}

enum log_level
event_log_get_level (void)
{
  return current_level;
}

void
event_log_set_format (enum log_format format)
{
  current_format = format;
}

const char *
log_level_name (enum log_level level)
{
  return level_names[level];
}

gboolean
log_level_from_name (const char *name, enum log_level *level)
{
  for (int i = 0; i < LOG_LEVEL_COUNT; i++)
    if (g_strcmp0 (level_names[i], name) == 0)
      {
        *level = (enum log_level)i;
        return TRUE;
      }
  return FALSE;
}

static const struct event_info *
find_event (enum event event)
{
  const struct event_info *info = catalogue;

  while (info->number != (guint)event)
    info++;
  return info;
}

static void
write_json (const struct event_info *info, const char *when,
            const char *message)
{
  json_t *line
      = json_pack ("{s:s, s:s, s:i, s:s, s:s}", "time", when, "level",
                   level_names[info->level], "event", (int)info->number,
                   "name", info->name, "message", message);
  char *text = line != NULL ? json_dumps (line, JSON_COMPACT) : NULL;

  fprintf (stderr, "%s\n", text != NULL ? text : "{}");
  free (text);
  json_decref (line);
}

static void
write_text (const struct event_info *info, const char *when,
            const char *message)
{
  fprintf (stderr, "%s %s %u %s: %s\n", when, level_names[info->level],
           info->number, info->name, message);
}

void
event_log (enum event event, const char *format, ...)
{
  const struct event_info *info = find_event (event);
  va_list args;

  metrics_count_label (METRIC_LOG_EVENTS, info->level);
  if (info->level > current_level)
    return;
  va_start (args, format);
  g_autofree char *message = g_strdup_vprintf (format, args);
  va_end (args);
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *when = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  if (current_format == LOG_FORMAT_JSON)
    write_json (info, when, message);
  else
    write_text (info, when, message);
}
