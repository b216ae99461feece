/*
 * Where log lines wait until they are written: bounded, and never blocking.
 *
 * Lines are kept in one buffer and written every few milliseconds, as much as
 * the descriptor takes at once.  When its reader is slow the buffer fills, and
 * lines are dropped by class: debug lines from a quarter of it on, info lines
 * from three quarters on, failures only when nothing more fits.  Each class
 * has also a limit of lines a second.  What is dropped is counted, and
 * reported once there is room again.
 *
 * A pipe or terminal is opened anew, so that the descriptor of whoever shares
 * it stays as it is; where that can't be done the descriptor itself becomes
 * non-blocking until log_output_free ().  Writing to a file takes as long as
 * the file system takes for it.
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
  gsize bytes;                       /* of waiting lines */
  guint per_second[LOG_CLASS_COUNT]; /* lines */
};

extern const struct log_output_limits log_output_default_limits;

/* Lines dropped since the last report.  */
struct log_output_dropped
{
  guint64 full[LOG_CLASS_COUNT]; /* the buffer was too full */
  guint64 rate[LOG_CLASS_COUNT]; /* too many in a second */
  guint64 unwritten_bytes;       /* the descriptor has failed */
};

struct log_output;

/*
 * Writes to FD, which stays the caller's.  REPORT is called, in between other
 * lines and at most once a second, with what was dropped; it may append.
 */
struct log_output *
log_output_new (int fd, const struct log_output_limits *limits,
                void (*report) (const struct log_output_dropped *dropped));

/* Drops what still waits.  */
void log_output_free (struct log_output *output);

/* Takes one line, its newline included, or drops it.  NOW_US is a reading of
   clock_now_us ().  */
void log_output_append (struct log_output *output, enum log_class class,
                        const char *line, gsize length, gint64 now_us);

/* Writes what the descriptor takes now; the main loop does it by itself.
   Returns whether nothing waits any longer.  */
gboolean log_output_flush (struct log_output *output);

/* Bytes that wait.  */
gsize log_output_get_pending_bytes (const struct log_output *output);

#endif
