#include "commands/bench_usage.h"

#include "base/clock.h"

#include <string.h>
#include <unistd.h>

#define BYTES_PER_KB 1024

/* Indices, from 0, of the user and the system CPU time among the fields after
   the program name in /proc/PID/stat.  */
#define USER_TIME_FIELD 11
#define SYSTEM_TIME_FIELD 12

/* Reads /proc/PID/NAME into *TEXT, which the caller frees.  Returns FALSE when
   it cannot be read.  */
static gboolean
read_proc_file (pid_t pid, const char *name, char **text)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/%s", (int)pid, name);

  return pid > 0 && g_file_get_contents (path, text, NULL, NULL);
}

/* Returns the sum of user and system CPU time in clock ticks from the text of
   /proc/PID/stat, or 0 when it cannot be parsed.  */
static gint64
parse_ticks (const char *text)
{
  /* The program name is in parentheses and may contain spaces.  */
  const char *rest = strrchr (text, ')');
  gint64 ticks = 0;
  char **fields;

  if (rest == NULL || strlen (rest) < 2)
    return 0;
  fields = g_strsplit (rest + 2, " ", -1);
  if (g_strv_length (fields) > SYSTEM_TIME_FIELD)
    ticks = g_ascii_strtoll (fields[USER_TIME_FIELD], NULL, 10)
            + g_ascii_strtoll (fields[SYSTEM_TIME_FIELD], NULL, 10);
  g_strfreev (fields);
  return ticks;
}

gint64
bench_usage_cpu_us (pid_t pid)
{
  g_autofree char *text = NULL;

  if (!read_proc_file (pid, "stat", &text))
    return 0;
  return parse_ticks (text) * USEC_PER_SEC / sysconf (_SC_CLK_TCK);
}

gint64
bench_usage_rss_kb (pid_t pid)
{
  g_autofree char *text = NULL;
  char *rest = NULL;

  if (!read_proc_file (pid, "statm", &text))
    return 0;
  (void)g_ascii_strtoll (text, &rest, 10);
  return g_ascii_strtoll (rest, NULL, 10) * sysconf (_SC_PAGESIZE)
         / BYTES_PER_KB;
}
