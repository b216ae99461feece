/*
 * CPU time and memory of a local process, read from /proc.
 */
#ifndef COMMANDS_BENCH_USAGE_H
#define COMMANDS_BENCH_USAGE_H

#include <glib.h>
#include <sys/types.h>

/* Returns the user and system CPU time in microseconds, or 0 when PID is 0 or
   there is no such process.  */
gint64 bench_usage_cpu_us (pid_t pid);

/* Returns the resident memory in KiB, or 0 when PID is 0 or there is no such
   process.  */
gint64 bench_usage_rss_kb (pid_t pid);

#endif
