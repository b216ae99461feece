/*
 * The logger: writes numbered events as lines of text or JSON.
 *
 * Each event has a number, a level and a name that never change.  For
 * operators docs/EVENTS.md explains them.
 *
 * Lines are written to standard error at once.  After event_log_set_output ()
 * they go to a bounded output that never blocks (base/log_output.h), with one
 * JSON object a line:
 *
 *   {"time_us":1764806400000000,"boot_us":73000000,"vm":"vm-a",
 *    "level":"info","event":3101,"name":"job-accepted","job":"j1","tasks":2}
 *
 * time_us counts from the Unix epoch.  boot_us is a reading of
 * clock_now_us ().  An event carries typed fields, or a message as the member
 * "message":
 *
 *   event_log_fields (EVENT_JOB_ACCEPTED, FIELD_TEXT ("job", job->id),
 *                     FIELD_INT ("tasks", job->n_tasks));
 */
#ifndef BASE_EVENT_LOG_H
#define BASE_EVENT_LOG_H

#include "base/log_level.h"

#include <glib.h>

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

/* All events, terminated by an entry whose number is 0.  Static.  */
const struct event_info *event_catalogue (void);

/* Sets the least severe level that is written.  May be called at any time.  */
void event_log_set_level (enum log_level level);
enum log_level event_log_get_level (void);

/* Sets the format of lines to standard error.  */
void event_log_set_format (enum log_format format);

enum event_field_type
{
  EVENT_FIELD_TEXT,
  EVENT_FIELD_INT,
  EVENT_FIELD_REAL,
  EVENT_FIELD_BOOL,
};

/* A field of an event.  The FIELD_* macros below make them.  */
struct event_field
{
  const char *key; /* written unescaped; NULL terminates an array of fields,
                      and a field with an empty key is omitted */
  enum event_field_type type;
  const char *text; /* may be NULL */
  gint64 number;    /* of EVENT_FIELD_INT; 0 or 1 of EVENT_FIELD_BOOL */
  gdouble real;
};

#define FIELD_TEXT(name, value)                                               \
  ((struct event_field){                                                      \
      .key = (name), .type = EVENT_FIELD_TEXT, .text = (value) })
#define FIELD_INT(name, value)                                                \
  ((struct event_field){                                                      \
      .key = (name), .type = EVENT_FIELD_INT, .number = (gint64)(value) })
#define FIELD_REAL(name, value)                                               \
  ((struct event_field){                                                      \
      .key = (name), .type = EVENT_FIELD_REAL, .real = (value) })
#define FIELD_BOOL(name, value)                                               \
  ((struct event_field){                                                      \
      .key = (name), .type = EVENT_FIELD_BOOL, .number = !!(value) })

/* FIELD if CONDITION holds, or else a field that is omitted.  */
#define FIELD_IF(condition, field)                                            \
  ((condition) ? (field) : (struct event_field){ .key = "" })

/* Writes one event with fields, unless its level is filtered out.  */
#define event_log_fields(event, ...)                                          \
  event_log_write ((event),                                                   \
                   (const struct event_field[]){ __VA_ARGS__, { NULL } })

/* The same with an array, terminated by a field whose key is NULL.  */
void event_log_write (enum event event, const struct event_field *fields);

/*
 * Writes JSON lines that carry VM, the name of this VM, to FD from now on.  FD
 * must stay open, and the process ignores SIGPIPE then.  With -1, writes to
 * standard error again, as before the first call.  Lines that wait for the
 * former descriptor are lost.  The main loop does the writing.  A normal exit
 * writes what the descriptor still accepts.
 */
void event_log_set_output (int fd, const char *vm);

/* Writes what the descriptor accepts now.  Returns whether all lines are
   written.  */
gboolean event_log_flush (void);

/* Writes one event with a message, unless its level is filtered out.  */
void event_log (enum event event, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

#endif
