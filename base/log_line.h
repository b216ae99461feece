/*
 * One log line as a JSON object, built without an allocation.
 *
 * A line has a bound: a text over LOG_LINE_MAX_TEXT bytes is cut, a field that
 * does not fit is left out, and the line then ends in "cut": true.  Bytes that
 * are not UTF-8 become question marks, so that a line is always valid JSON.
 */
#ifndef BASE_LOG_LINE_H
#define BASE_LOG_LINE_H

#include <glib.h>

#define LOG_LINE_MAX 4096
#define LOG_LINE_MAX_TEXT 1024

struct log_line
{
  gsize length;
  gboolean is_cut;  /* something is missing */
  gboolean is_full; /* the member being added does not fit */
  char text[LOG_LINE_MAX];
};

/* Begins a new line.  */
void log_line_begin (struct log_line *line);

/* Adds one member.  Keys are written as they are.  A NULL text is null.  */
void log_line_add_text (struct log_line *line, const char *key,
                        const char *value);
void log_line_add_int (struct log_line *line, const char *key, gint64 value);
void log_line_add_real (struct log_line *line, const char *key, gdouble value);
void log_line_add_bool (struct log_line *line, const char *key,
                        gboolean value);

/* Ends the line by a brace and a newline.  */
void log_line_end (struct log_line *line);

#endif
