#include "base/log_output.h"

#include "base/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

/* How often the buffer is written.  */
#define FLUSH_INTERVAL_MS 10

/* Dropped lines are reported at most this often.  */
#define REPORT_INTERVAL_US USEC_PER_SEC

/* When lines do not fit, the buffer is flushed for them at most this often. */
#define RETRY_US USEC_PER_MSEC

/* The limits of lines a second apply to periods of this length.  */
#define RATE_PERIOD_US USEC_PER_SEC

const struct log_output_limits log_output_default_limits = {
  .bytes = 256 * 1024,
  .per_second = { 2000, 10000, 10000 },
};

struct log_output
{
  int fd;
  int opened_fd;   /* closed at the end; -1 for none */
  int saved_flags; /* of FD, restored at the end; -1 for none */
  gboolean is_socket;
  gboolean is_pipe;
  struct log_output_limits limits;
  void (*report) (const struct log_output_dropped *dropped);
  char *bytes;
  gsize start;      /* offset of the bytes that are not written yet */
  gsize end;        /* offset of their end */
  guint timer;      /* id of the source that flushes; 0 for none */
  gint64 retry_us;  /* no flush for room before this time */
  gint64 period_us; /* start of the period for which n_lines counts */
  guint n_lines[LOG_CLASS_COUNT]; /* of that period, dropped ones
                                     included */
  struct log_output_dropped dropped;
  gboolean has_dropped;
  gint64 reported_us; /* time of the last report of dropped lines */
};

/* Opens the pipe or terminal FD again, with file status flags of its own.
   Returns the new descriptor, or -1.  */
static int
reopen_descriptor (int fd)
{
  g_autofree char *path = g_strdup_printf ("/proc/self/fd/%d", fd);

  return open (path, O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
}

/* Sets the descriptor to write to, and makes it non-blocking unless FD is a
   file.  For sockets, each send () asks for that.  */
static void
prepare_descriptor (struct log_output *output, int fd)
{
  struct stat st = { 0 };

  output->fd = fd;
  if (fstat (fd, &st) != 0 || S_ISREG (st.st_mode))
    return;
  output->is_socket = S_ISSOCK (st.st_mode);
  output->is_pipe = S_ISFIFO (st.st_mode);
  if (output->is_socket)
    return;
  output->opened_fd = reopen_descriptor (fd);
  if (output->opened_fd >= 0)
    {
      output->fd = output->opened_fd;
      return;
    }
  output->saved_flags = fcntl (fd, F_GETFL);
  if (output->saved_flags >= 0)
    fcntl (fd, F_SETFL, output->saved_flags | O_NONBLOCK);
}

struct log_output *
log_output_new (int fd, const struct log_output_limits *limits,
                void (*report) (const struct log_output_dropped *dropped))
{
  struct log_output *output = g_new0 (struct log_output, 1);

  output->limits = *limits;
  output->report = report;
  output->opened_fd = -1;
  output->saved_flags = -1;
  output->bytes = g_malloc (limits->bytes);
  prepare_descriptor (output, fd);
  return output;
}

void
log_output_free (struct log_output *output)
{
  if (output->timer != 0)
    g_source_remove (output->timer);
  if (output->opened_fd >= 0)
    close (output->opened_fd);
  if (output->saved_flags >= 0)
    fcntl (output->fd, F_SETFL, output->saved_flags);
  g_free (output->bytes);
  g_free (output);
}

gsize
log_output_get_pending_bytes (const struct log_output *output)
{
  return output->end - output->start;
}

/* The length of the whole lines that fit in PIPE_BUF bytes, which a pipe
   accepts atomically even when other processes write to it too.  */
static gsize
measure_whole_lines (const char *text, gsize length)
{
  gsize n = MIN (length, PIPE_BUF);

  while (n > 0 && text[n - 1] != '\n')
    n--;
  return n > 0 ? n : MIN (length, PIPE_BUF);
}

static gssize
write_some (struct log_output *output)
{
  const char *text = output->bytes + output->start;
  gsize length = log_output_get_pending_bytes (output);

  if (output->is_socket)
    return send (output->fd, text, length, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (output->is_pipe)
    length = measure_whole_lines (text, length);
  return write (output->fd, text, length);
}

/* Counts the unwritten bytes as lost, since writing has failed.  Returns their
   number.  */
static gssize
discard_pending (struct log_output *output)
{
  gsize length = log_output_get_pending_bytes (output);

  output->dropped.unwritten_bytes += length;
  output->has_dropped = TRUE;
  return (gssize)length;
}

gboolean
log_output_flush (struct log_output *output)
{
  while (output->end > output->start)
    {
      gssize n = write_some (output);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno != EAGAIN)
        n = discard_pending (output);
      if (n <= 0)
        return FALSE;
      output->start += (gsize)n;
    }
  output->start = 0;
  output->end = 0;
  return TRUE;
}

/* Reports what was dropped once half of the buffer is free again.  */
static void
report_dropped (struct log_output *output, gint64 now_us)
{
  struct log_output_dropped dropped = output->dropped;

  if (!output->has_dropped || now_us < output->reported_us + REPORT_INTERVAL_US
      || log_output_get_pending_bytes (output) > output->limits.bytes / 2)
    return;
  output->reported_us = now_us;
  output->has_dropped = FALSE;
  memset (&output->dropped, 0, sizeof (output->dropped));
  output->report (&dropped);
}

static gboolean
on_timer (gpointer data)
{
  struct log_output *output = data;
  gboolean is_empty = log_output_flush (output);

  report_dropped (output, clock_now_us ());
  if (!is_empty || output->has_dropped || output->end > output->start)
    return G_SOURCE_CONTINUE;
  output->timer = 0;
  return G_SOURCE_REMOVE;
}

static void
schedule_flush (struct log_output *output)
{
  if (output->timer == 0)
    output->timer = g_timeout_add (FLUSH_INTERVAL_MS, on_timer, output);
}

/* Counts another line of CLASS.  Returns whether it is within the rate.  */
static gboolean
is_within_rate (struct log_output *output, enum log_class class, gint64 now_us)
{
  if (now_us - output->period_us >= RATE_PERIOD_US)
    {
      output->period_us = now_us;
      memset (output->n_lines, 0, sizeof (output->n_lines));
    }
  return output->n_lines[class]++ < output->limits.per_second[class];
}

/* How many bytes the buffer may hold after a line of CLASS was appended.  */
static gsize
get_class_limit (const struct log_output *output, enum log_class class)
{
  static const guint quarters[LOG_CLASS_COUNT] = { 1, 3, 4 };

  return output->limits.bytes / 4 * quarters[class];
}

static gboolean
has_room (struct log_output *output, enum log_class class, gsize length)
{
  gsize waiting = log_output_get_pending_bytes (output);

  if (waiting + length > get_class_limit (output, class))
    return FALSE;
  if (output->end + length > output->limits.bytes)
    {
      memmove (output->bytes, output->bytes + output->start, waiting);
      output->start = 0;
      output->end = waiting;
    }
  return TRUE;
}

static gboolean
flush_for_room (struct log_output *output, enum log_class class, gsize length,
                gint64 now_us)
{
  if (now_us < output->retry_us)
    return FALSE;
  output->retry_us = now_us + RETRY_US;
  log_output_flush (output);
  return has_room (output, class, length);
}

static void
count_dropped_line (struct log_output *output, guint64 *counter)
{
  (*counter)++;
  output->has_dropped = TRUE;
  schedule_flush (output);
}

void
log_output_append (struct log_output *output, enum log_class class,
                   const char *line, gsize length, gint64 now_us)
{
  if (!is_within_rate (output, class, now_us))
    {
      count_dropped_line (output, &output->dropped.rate[class]);
      return;
    }
  if (!has_room (output, class, length)
      && !flush_for_room (output, class, length, now_us))
    {
      count_dropped_line (output, &output->dropped.full[class]);
      return;
    }
  memcpy (output->bytes + output->end, line, length);
  output->end += length;
  schedule_flush (output);
}
