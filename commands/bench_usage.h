/*
 * What a process of this machine uses, as the kernel shows it.
 */
#ifndef COMMANDS_BENCH_USAGE_H
#define COMMANDS_BENCH_USAGE_H

#include <glib.h>
#include <sys/types.h>

/* Processor time in microseconds, or 0 when PID is 0 or not there.  */
gint64 bench_usage_cpu_us (pid_t pid);

/* Resident memory in KiB, or 0 when PID is 0 or not there.  */
gint64 bench_usage_rss_kb (pid_t pid);

#endif
