/*
 * A bounded buffer of log lines that writes them without blocking.
 *
 * Lines are kept in one buffer.  Every few milliseconds as much is written as
 * the descriptor accepts at once.  When its reader is slow, the buffer fills
 * and lines are dropped by class: debug lines if the buffer would be more than
 * a quarter full, info lines if it would be more than three quarters full, and
 * failures only when they do not fit.  Each class also has a limit of lines a
 * second.  Dropped lines are counted, and reported once there is room again.
 *
 * A pipe or terminal is opened again, so that the flags of a descriptor that
 * other processes share do not change.  If that fails, the descriptor itself
 * is made non-blocking until log_output_free ().  Writing to a file may block
 * for as long as the file system needs.
 */
#ifndef BASE_LOG_OUTPUT_H
#define BASE_LOG_OUTPUT_H

#include <glib.h>

enum log_class
{
  LOG_CLASS_DEBUG,
  LOG_CLASS_INFO,
  LOG_CLASS_FAILURE, /* warnings and errors */
  LOG_CLASS_COUNT
};

struct log_output_limits
{
  gsize bytes;                       /* size of the buffer */
  guint per_second[LOG_CLASS_COUNT]; /* lines of each class */
};

extern const struct log_output_limits log_output_default_limits;

/* Lines dropped since the last report.  */
struct log_output_dropped
{
  guint64 full[LOG_CLASS_COUNT]; /* lines: the buffer was too full */
  guint64 rate[LOG_CLASS_COUNT]; /* lines: too many in a second */
  guint64 unwritten_bytes;       /* lost because writing failed */
};

struct log_output;

/*
 * A new output that writes to FD, which the caller keeps owning.  REPORT is
 * called with what was dropped, at most once a second and from the main loop.
 * It may append lines.
 */
struct log_output *
log_output_new (int fd, const struct log_output_limits *limits,
                void (*report) (const struct log_output_dropped *dropped));

/* Frees OUTPUT with the lines that were not written.  Does not close FD.  */
void log_output_free (struct log_output *output);

/* Appends LINE of LENGTH bytes, its newline included, or drops it.  NOW_US is
   a reading of clock_now_us ().  */
void log_output_append (struct log_output *output, enum log_class class,
                        const char *line, gsize length, gint64 now_us);

/* Writes what the descriptor accepts now, without waiting for the main loop to
   do so.  Returns whether the buffer is empty.  */
gboolean log_output_flush (struct log_output *output);

/* Number of bytes that are not written yet.  */
gsize log_output_get_pending_bytes (const struct log_output *output);

#endif
