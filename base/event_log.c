#include "base/event_log.h"

#include "base/clock.h"
#include "base/log_line.h"
#include "base/log_output.h"
#include "base/metrics.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

static const struct event_info catalogue[] = {
#define EVENT(number, name, level, text)                                      \
  { (number), LOG_LEVEL_##level, (text) },
#include "base/events.def"
#undef EVENT
  { 0, LOG_LEVEL_ERROR, NULL }
};

static enum log_level current_level = LOG_LEVEL_INFO;
static enum log_format current_format = LOG_FORMAT_TEXT;
static struct log_output *current_output; /* NULL for standard error */
static char *current_vm;

/* Keys of the counts of dropped lines, by class.  */
static const char *const class_names[LOG_CLASS_COUNT]
    = { "debug", "info", "failure" };

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
                   log_level_name (info->level), "event", (int)info->number,
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
  fprintf (stderr, "%s %s %u %s: %s\n", when, log_level_name (info->level),
           info->number, info->name, message);
}

static void
write_error_line (const struct event_info *info, const char *message)
{
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *when = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");

  if (current_format == LOG_FORMAT_JSON)
    write_json (info, when, message);
  else
    write_text (info, when, message);
}

static enum log_class
class_of_level (enum log_level level)
{
  if (level == LOG_LEVEL_DEBUG)
    return LOG_CLASS_DEBUG;
  return level == LOG_LEVEL_INFO ? LOG_CLASS_INFO : LOG_CLASS_FAILURE;
}

static void
add_field (struct log_line *line, const struct event_field *field)
{
  switch (field->type)
    {
    case EVENT_FIELD_TEXT:
      log_line_add_text (line, field->key, field->text);
      break;
    case EVENT_FIELD_INT:
      log_line_add_int (line, field->key, field->number);
      break;
    case EVENT_FIELD_REAL:
      log_line_add_real (line, field->key, field->real);
      break;
    case EVENT_FIELD_BOOL:
      log_line_add_bool (line, field->key, field->number != 0);
      break;
    }
}

/* Appends one line to the bounded output.  */
static void
write_line (const struct event_info *info, const struct event_field *fields)
{
  gint64 now_us = clock_now_us ();
  struct log_line line;

  log_line_begin (&line);
  log_line_add_int (&line, "time_us", g_get_real_time ());
  log_line_add_int (&line, "boot_us", now_us);
  log_line_add_text (&line, "vm", current_vm);
  log_line_add_text (&line, "level", log_level_name (info->level));
  log_line_add_int (&line, "event", info->number);
  log_line_add_text (&line, "name", info->name);
  for (const struct event_field *f = fields; f->key != NULL; f++)
    if (*f->key != '\0')
      add_field (&line, f);
  log_line_end (&line);
  log_output_append (current_output, class_of_level (info->level), line.text,
                     line.length, now_us);
}

/* The fields as "KEY=VALUE KEY=VALUE", for standard error.  */
static char *
describe_fields (const struct event_field *fields)
{
  GString *text = g_string_new (NULL);

  for (const struct event_field *f = fields; f->key != NULL; f++)
    {
      if (*f->key == '\0')
        continue;
      g_string_append_printf (text, "%s%s=", text->len > 0 ? " " : "", f->key);
      if (f->type == EVENT_FIELD_TEXT)
        g_string_append (text, f->text != NULL ? f->text : "-");
      else if (f->type == EVENT_FIELD_REAL)
        g_string_append_printf (text, "%g", f->real);
      else
        g_string_append_printf (text, "%" G_GINT64_FORMAT, f->number);
    }
  return g_string_free (text, FALSE);
}

/* Counts EVENT in the metrics.  Returns its entry, or NULL when its level is
   filtered out.  */
static const struct event_info *
count_event (enum event event)
{
  const struct event_info *info = find_event (event);

  metrics_count_label (METRIC_LOG_EVENTS, info->level);
  return info->level <= current_level ? info : NULL;
}

void
event_log_write (enum event event, const struct event_field *fields)
{
  const struct event_info *info = count_event (event);

  if (info == NULL)
    return;
  if (current_output != NULL)
    write_line (info, fields);
  else
    {
      g_autofree char *message = describe_fields (fields);

      write_error_line (info, message);
    }
}

void
event_log (enum event event, const char *format, ...)
{
  const struct event_info *info = count_event (event);
  va_list args;

  if (info == NULL)
    return;
  va_start (args, format);
  g_autofree char *message = g_strdup_vprintf (format, args);
  va_end (args);
  if (current_output != NULL)
    write_line (info, (const struct event_field[]){
                          FIELD_TEXT ("message", message), { NULL } });
  else
    write_error_line (info, message);
}

static void
report_dropped (const struct log_output_dropped *dropped)
{
  const guint64 *full = dropped->full;
  const guint64 *rate = dropped->rate;

  for (guint i = 0; i < LOG_CLASS_COUNT; i++)
    metrics_add (METRIC_LOG_LINES_DROPPED, i, full[i] + rate[i]);
  event_log_fields (
      EVENT_LOG_LINES_DROPPED,
      FIELD_INT (class_names[LOG_CLASS_DEBUG],
                 full[LOG_CLASS_DEBUG] + rate[LOG_CLASS_DEBUG]),
      FIELD_INT (class_names[LOG_CLASS_INFO],
                 full[LOG_CLASS_INFO] + rate[LOG_CLASS_INFO]),
      FIELD_INT (class_names[LOG_CLASS_FAILURE],
                 full[LOG_CLASS_FAILURE] + rate[LOG_CLASS_FAILURE]),
      FIELD_INT ("over_rate", rate[LOG_CLASS_DEBUG] + rate[LOG_CLASS_INFO]
                                  + rate[LOG_CLASS_FAILURE]),
      FIELD_INT ("unwritten_bytes", dropped->unwritten_bytes));
}

static void
flush_at_exit (void)
{
  event_log_flush ();
}

gboolean
event_log_flush (void)
{
  return current_output == NULL || log_output_flush (current_output);
}

void
event_log_set_output (int fd, const char *vm)
{
  static gboolean is_registered;

  g_clear_pointer (&current_output, log_output_free);
  g_free (current_vm);
  current_vm = g_strdup (vm);
  if (fd < 0)
    return;
  (void)signal (SIGPIPE, SIG_IGN);
  if (!is_registered)
    atexit (flush_at_exit);
  is_registered = TRUE;
  current_output
      = log_output_new (fd, &log_output_default_limits, report_dropped);
}
