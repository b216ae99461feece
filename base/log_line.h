/*
 * Builds one log line as a JSON object without allocating memory.
 *
 * The length of a line is limited.  A text over LOG_LINE_MAX_TEXT bytes is
 * truncated, and a member that does not fit is left out.  The line then ends
 * with the member "cut": true.  Bytes that are not UTF-8 become question
 * marks, so that a line is always valid JSON.
 */
#ifndef BASE_LOG_LINE_H
#define BASE_LOG_LINE_H

#include <glib.h>

/* Maximum length of a line, and of a text in it, in bytes.  */
#define LOG_LINE_MAX 4096
#define LOG_LINE_MAX_TEXT 1024

struct log_line
{
  gsize length;
  gboolean is_cut;  /* a text was truncated or a member left out */
  gboolean is_full; /* the member being added does not fit */
  char text[LOG_LINE_MAX];
};

/* Starts a new line.  */
void log_line_begin (struct log_line *line);

/* Add one member.  Keys are written unescaped.  A NULL text, or a number that
   is not finite, is written as null.  */
void log_line_add_text (struct log_line *line, const char *key,
                        const char *value);
void log_line_add_int (struct log_line *line, const char *key, gint64 value);
void log_line_add_real (struct log_line *line, const char *key, gdouble value);
void log_line_add_bool (struct log_line *line, const char *key,
                        gboolean value);

/* Ends the line with a brace and a newline.  */
void log_line_end (struct log_line *line);

#endif
