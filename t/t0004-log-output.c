/* Log lines are valid JSON, and writing them never blocks or grows.  */
#include "base/clock.h"
#include "base/event_log.h"
#include "base/log_line.h"
#include "base/log_output.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define N_LINES 4000
#define VM "vm-a"

static struct log_output_dropped last_dropped;
static guint n_reports;

static void
keep_dropped (const struct log_output_dropped *dropped)
{
  last_dropped = *dropped;
  n_reports++;
}

/* Fills the pipe's buffer without blocking; returns the bytes written.  */
static gsize
fill_pipe (int fd)
{
  int flags = fcntl (fd, F_GETFL);
  gsize total = 0;
  gssize n;

  g_assert_cmpint (fcntl (fd, F_SETFL, flags | O_NONBLOCK), ==, 0);
  while ((n = write (fd, "x", 1)) > 0)
    total += (gsize)n;
  g_assert_cmpint (fcntl (fd, F_SETFL, flags), ==, 0);
  return total;
}

/* Appends what FD holds now to TEXT; FD must not block.  */
static void
read_available (int fd, GString *text)
{
  char bytes[4096];
  gssize n;

  while ((n = read (fd, bytes, sizeof (bytes))) > 0)
    g_string_append_len (text, bytes, n);
}

static void
open_pipe (int *fds)
{
  g_assert_cmpint (pipe (fds), ==, 0);
  g_assert_cmpint (fcntl (fds[0], F_SETFL, O_NONBLOCK), ==, 0);
}

static void
close_pipe (const int *fds)
{
  close (fds[0]);
  close (fds[1]);
}

/* Parses each line of TEXT from SKIP on; the caller owns the array.  */
static GPtrArray *
parse_lines (const GString *text, gsize skip)
{
  GPtrArray *lines
      = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  g_auto (GStrv) parts = g_strsplit (text->str + skip, "\n", -1);

  for (char **part = parts; *part != NULL; part++)
    if (**part != '\0')
      {
        json_error_t error;
        json_t *line = json_loads (*part, JSON_REJECT_DUPLICATES, &error);

        if (line == NULL)
          g_error ("not a line of JSON: %s: '%s'", error.text, *part);
        g_ptr_array_add (lines, line);
      }
  return lines;
}

static gint64
get_int (const json_t *line, const char *key)
{
  const json_t *value = json_object_get (line, key);

  g_assert_true (json_is_integer (value));
  return json_integer_value (value);
}

static const char *
get_text (const json_t *line, const char *key)
{
  const json_t *value = json_object_get (line, key);

  g_assert_true (json_is_string (value));
  return json_string_value (value);
}

static void
test_fields (void)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GPtrArray) lines = NULL;
  gint64 before_us = clock_now_us ();
  const json_t *line;
  int fds[2];

  open_pipe (fds);
  event_log_set_output (fds[1], VM);
  event_log_fields (EVENT_JOB_ACCEPTED, FIELD_TEXT ("job", "j1"),
                    FIELD_INT ("tasks", G_MININT64), FIELD_REAL ("load", 0.5),
                    FIELD_BOOL ("again", TRUE), FIELD_TEXT ("none", NULL));
  event_log (EVENT_PEER_DEAD, "peer %s", "vm-b");
  g_assert_true (event_log_flush ());
  read_available (fds[0], text);
  lines = parse_lines (text, 0);
  g_assert_cmpuint (lines->len, ==, 2);
  line = lines->pdata[0];
  g_assert_cmpint (get_int (line, "boot_us"), >=, before_us);
  g_assert_cmpint (ABS (get_int (line, "time_us") - g_get_real_time ()), <,
                   3600 * USEC_PER_SEC);
  g_assert_cmpstr (get_text (line, "vm"), ==, VM);
  g_assert_cmpstr (get_text (line, "level"), ==, "info");
  g_assert_cmpint (get_int (line, "event"), ==, EVENT_JOB_ACCEPTED);
  g_assert_cmpstr (get_text (line, "name"), ==, "job-accepted");
  g_assert_cmpstr (get_text (line, "job"), ==, "j1");
  g_assert_cmpint (get_int (line, "tasks"), ==, G_MININT64);
  g_assert_cmpfloat (json_real_value (json_object_get (line, "load")), ==,
                     0.5);
  g_assert_true (json_is_true (json_object_get (line, "again")));
  g_assert_true (json_is_null (json_object_get (line, "none")));
  g_assert_null (json_object_get (line, "cut"));
  line = lines->pdata[1];
  g_assert_cmpstr (get_text (line, "message"), ==, "peer vm-b");
  g_assert_cmpstr (get_text (line, "level"), ==, "warning");
  event_log_set_output (-1, NULL);
  close_pipe (fds);
}

static void
assert_line_text (const char *given, const char *expected)
{
  struct log_line line;
  json_t *object;

  log_line_begin (&line);
  log_line_add_text (&line, "text", given);
  log_line_end (&line);
  object = json_loadb (line.text, line.length, 0, NULL);
  g_assert_nonnull (object);
  g_assert_cmpstr (get_text (object, "text"), ==, expected);
  json_decref (object);
}

static void
test_texts (void)
{
  assert_line_text ("", "");
  assert_line_text ("a \"quoted\" back\\slash\n\ttab \x01 \x7f",
                    "a \"quoted\" back\\slash\n\ttab \x01 \x7f");
  assert_line_text ("Z\xc3\xbcrich \xf0\x9f\x98\x80",
                    "Z\xc3\xbcrich \xf0\x9f\x98\x80");
  assert_line_text ("bad \xff\xc3 end \xe2\x82", "bad ?? end ??");
}

/* Whatever is put into it, a line stays valid and within its bound.  */
static void
test_random_lines (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (6011);

  for (guint i = 0; i < 2000; i++)
    {
      struct log_line line;
      json_t *object;

      log_line_begin (&line);
      for (gint n = g_rand_int_range (rand, 0, 12); n > 0; n--)
        {
          char text[1500] = { 0 };
          gint length = g_rand_int_range (rand, 0, sizeof (text));
          g_autofree char *key = g_strdup_printf ("k%d", n);

          for (gint k = 0; k < length; k++)
            text[k] = (char)g_rand_int_range (rand, 1, 256);
          log_line_add_text (&line, key, text);
          log_line_add_int (&line, "n", n);
        }
      log_line_end (&line);
      g_assert_cmpuint (line.length, <=, LOG_LINE_MAX);
      g_assert_true (line.text[line.length - 1] == '\n');
      object = json_loadb (line.text, line.length, 0, NULL);
      g_assert_true (json_is_object (object));
      g_assert_cmpint (json_is_true (json_object_get (object, "cut")), ==,
                       line.is_cut);
      json_decref (object);
    }
}

/* A text that is too long is cut between two characters.  */
static void
test_cut (void)
{
  struct log_line line;
  g_autoptr (GString) text = g_string_new ("x");
  json_t *object;

  while (text->len < 3 * LOG_LINE_MAX_TEXT)
    g_string_append (text, "\xe2\x82\xac");
  log_line_begin (&line);
  log_line_add_text (&line, "text", text->str);
  log_line_add_int (&line, "after", 5);
  log_line_end (&line);
  object = json_loadb (line.text, line.length, 0, NULL);
  g_assert_true (json_is_true (json_object_get (object, "cut")));
  g_assert_true (g_str_has_prefix (text->str, get_text (object, "text")));
  g_assert_cmpuint (strlen (get_text (object, "text")), >=,
                    LOG_LINE_MAX_TEXT - 3);
  g_assert_cmpint (get_int (object, "after"), ==, 5);
  json_decref (object);
}

static void
log_one_of_each (guint i)
{
  event_log_fields (EVENT_RUN_STARTED, FIELD_TEXT ("job", "j"),
                    FIELD_INT ("n", i));
  event_log_fields (EVENT_JOB_ACCEPTED, FIELD_TEXT ("job", "j"),
                    FIELD_INT ("n", i));
  event_log_fields (EVENT_JOB_TURNED_AWAY, FIELD_TEXT ("job", "j"),
                    FIELD_INT ("n", i));
}

static gint64
count_lines (const GPtrArray *lines, const char *level)
{
  gint64 n = 0;

  for (guint i = 0; i < lines->len; i++)
    n += g_str_equal (get_text (lines->pdata[i], "level"), level)
         && json_object_get (lines->pdata[i], "job") != NULL;
  return n;
}

/* Sums one member of the lines that tell what was dropped.  */
static gint64
sum_dropped (const GPtrArray *lines, const char *key)
{
  gint64 sum = 0;

  for (guint i = 0; i < lines->len; i++)
    if (get_int (lines->pdata[i], "event") == EVENT_LOG_LINES_DROPPED)
      sum += get_int (lines->pdata[i], key);
  return sum;
}

/* Reads until the line that tells what was dropped has come.  */
static void
read_until_report (int fd, GString *text)
{
  while (strstr (text->str, "log-lines-dropped") == NULL)
    {
      g_main_context_iteration (NULL, TRUE);
      read_available (fd, text);
    }
}

/*
 * Nobody reads: logging goes on, and once somebody does, each line was either
 * written whole or counted as dropped, failures last.
 */
static void
test_full_pipe (void)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GPtrArray) lines = NULL;
  int fds[2];
  gsize junk;
  int flags;

  open_pipe (fds);
  junk = fill_pipe (fds[1]);
  flags = fcntl (fds[1], F_GETFL);
  event_log_set_output (fds[1], VM);
  event_log_set_level (LOG_LEVEL_DEBUG);
  for (guint i = 0; i < N_LINES; i++)
    log_one_of_each (i);
  g_assert_false (event_log_flush ());
  g_assert_cmpint (fcntl (fds[1], F_GETFL), ==, flags);
  read_until_report (fds[0], text);
  event_log_set_output (-1, NULL);
  g_assert_cmpint (fcntl (fds[1], F_GETFL), ==, flags);
  lines = parse_lines (text, junk);
  g_assert_cmpint (sum_dropped (lines, "debug"), ==,
                   N_LINES - count_lines (lines, "debug"));
  g_assert_cmpint (sum_dropped (lines, "info"), ==,
                   N_LINES - count_lines (lines, "info"));
  g_assert_cmpint (sum_dropped (lines, "failure"), ==,
                   N_LINES - count_lines (lines, "warning"));
  g_assert_cmpint (count_lines (lines, "debug"), >, 0);
  g_assert_cmpint (count_lines (lines, "debug"), <,
                   count_lines (lines, "info"));
  g_assert_cmpint (count_lines (lines, "info"), <,
                   count_lines (lines, "warning"));
  g_assert_cmpint (sum_dropped (lines, "unwritten_bytes"), ==, 0);
  event_log_set_level (LOG_LEVEL_INFO);
  close_pipe (fds);
}

/* Takes lines of ten bytes until the class has no more room.  */
static guint
fill_class (struct log_output *output, enum log_class class)
{
  guint n = 0;
  gsize before;

  do
    {
      before = log_output_get_pending_bytes (output);
      log_output_append (output, class, "123456789\n", 10, n);
      n++;
    }
  while (log_output_get_pending_bytes (output) > before);
  return n - 1;
}

static void
test_classes (void)
{
  static const struct log_output_limits limits
      = { .bytes = 4000, .per_second = { 10000, 10000, 10000 } };
  struct log_output *output;
  int fds[2];

  open_pipe (fds);
  fill_pipe (fds[1]);
  output = log_output_new (fds[1], &limits, keep_dropped);
  g_assert_cmpuint (fill_class (output, LOG_CLASS_DEBUG), ==, 100);
  g_assert_cmpuint (fill_class (output, LOG_CLASS_INFO), ==, 200);
  g_assert_cmpuint (fill_class (output, LOG_CLASS_FAILURE), ==, 100);
  g_assert_cmpuint (fill_class (output, LOG_CLASS_DEBUG), ==, 0);
  g_assert_cmpuint (log_output_get_pending_bytes (output), ==, 4000);
  log_output_free (output);
  close_pipe (fds);
}

static void
test_rate (void)
{
  static const struct log_output_limits limits
      = { .bytes = 4000, .per_second = { 1, 2, 3 } };
  struct log_output *output;
  int fds[2];

  open_pipe (fds);
  output = log_output_new (fds[1], &limits, keep_dropped);
  n_reports = 0;
  for (guint i = 0; i < 5; i++)
    for (int class = 0; class < LOG_CLASS_COUNT; class ++)
      log_output_append (output, (enum log_class) class, "x\n", 2,
                         USEC_PER_SEC + i);
  g_assert_cmpuint (log_output_get_pending_bytes (output), ==, 6 * 2);
  log_output_append (output, LOG_CLASS_DEBUG, "x\n", 2, 2 * USEC_PER_SEC);
  g_assert_cmpuint (log_output_get_pending_bytes (output), ==, 7 * 2);
  while (n_reports == 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (last_dropped.rate[LOG_CLASS_DEBUG], ==, 4);
  g_assert_cmpuint (last_dropped.rate[LOG_CLASS_INFO], ==, 3);
  g_assert_cmpuint (last_dropped.rate[LOG_CLASS_FAILURE], ==, 2);
  for (int class = 0; class < LOG_CLASS_COUNT; class ++)
    g_assert_cmpuint (last_dropped.full[class], ==, 0);
  g_assert_cmpuint (log_output_get_pending_bytes (output), ==, 0);
  log_output_free (output);
  close_pipe (fds);
}

/* A reader that went away costs lines, not the process.  Its pipe can't be
   opened anew, so the descriptor's own flags change for the while.  */
static void
test_no_reader (void)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GPtrArray) lines = NULL;
  int fds[2];
  int again[2];
  int flags;

  open_pipe (fds);
  flags = fcntl (fds[1], F_GETFL);
  close (fds[0]);
  event_log_set_output (fds[1], VM);
  event_log_fields (EVENT_JOB_ACCEPTED, FIELD_TEXT ("job", "j"));
  g_assert_true (event_log_flush ());
  event_log_set_output (-1, NULL);
  g_assert_cmpint (fcntl (fds[1], F_GETFL), ==, flags);
  close (fds[1]);

  open_pipe (again);
  event_log_set_output (again[1], VM);
  event_log_fields (EVENT_JOB_ACCEPTED, FIELD_TEXT ("job", "j"));
  g_assert_true (event_log_flush ());
  read_available (again[0], text);
  lines = parse_lines (text, 0);
  g_assert_cmpuint (lines->len, ==, 1);
  event_log_set_output (-1, NULL);
  close_pipe (again);
}

static void
test_file_and_socket (void)
{
  g_autofree char *path = NULL;
  g_autoptr (GError) error = NULL;
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GPtrArray) lines = NULL;
  int file = g_file_open_tmp (NULL, &path, &error);
  int pair[2];

  g_assert_no_error (error);
  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair),
                   ==, 0);
  for (guint i = 0; i < 2; i++)
    {
      event_log_set_output (i == 0 ? file : pair[0], VM);
      event_log_fields (EVENT_JOB_ACCEPTED, FIELD_TEXT ("job", "j"));
      g_assert_true (event_log_flush ());
    }
  event_log_set_output (-1, NULL);
  g_assert_cmpint (lseek (file, 0, SEEK_SET), ==, 0);
  read_available (file, text);
  read_available (pair[1], text);
  lines = parse_lines (text, 0);
  g_assert_cmpuint (lines->len, ==, 2);
  close (file);
  close_pipe (pair);
  g_unlink (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-output/fields", test_fields);
  g_test_add_func ("/log-output/texts", test_texts);
  g_test_add_func ("/log-output/random-lines", test_random_lines);
  g_test_add_func ("/log-output/cut", test_cut);
  g_test_add_func ("/log-output/full-pipe", test_full_pipe);
  g_test_add_func ("/log-output/classes", test_classes);
  g_test_add_func ("/log-output/rate", test_rate);
  g_test_add_func ("/log-output/no-reader", test_no_reader);
  g_test_add_func ("/log-output/file-and-socket", test_file_and_socket);
  return g_test_run ();
}
