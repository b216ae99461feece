/*
 * The logger: numbered events on standard error, as text or JSON lines.
 *
 * Each event has a number, a level and a name that never change; operators
 * find the explanation in docs/EVENTS.md.
 */
#ifndef BASE_EVENT_LOG_H
#define BASE_EVENT_LOG_H

#include <glib.h>

enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_COUNT
};

enum log_format
{
  LOG_FORMAT_TEXT,
  LOG_FORMAT_JSON
};

enum event
{
#define EVENT(number, name, level, text) EVENT_##name = (number),
#include "base/events.def"
#undef EVENT
};

struct event_info
{
  guint number;
  enum log_level level;
  const char *name;
};

/* The catalogue, ended by an entry whose number is 0.  Static.  */
const struct event_info *event_catalogue (void);

/* Sets the least severe level that is written; may change at any time.  */
void event_log_set_level (enum log_level level);
enum log_level event_log_get_level (void);

void event_log_set_format (enum log_format format);

/* The name of LEVEL, as in "warning".  Static.  */
const char *log_level_name (enum log_level level);

/* Finds the level of that name.  Returns FALSE when there is none.  */
gboolean log_level_from_name (const char *name, enum log_level *level);

/* Writes one event with a message, unless its level is filtered out.  */
void event_log (enum event event, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

#endif
