/*
 * What the machine gives this process.
 */
#ifndef BASE_MACHINE_LIMITS_H
#define BASE_MACHINE_LIMITS_H

#include <glib.h>

struct machine_limits
{
  guint64 memory_bytes;
  guint descriptors;
};

/*
 * Reads the lowest of MEMORY_MB, the physical memory, and the process's limits
 * RLIMIT_AS, RLIMIT_DATA and RLIMIT_RSS; and the lower of DESCRIPTORS and
 * RLIMIT_NOFILE.  0 for an argument that is not known.
 */
void machine_limits_read (struct machine_limits *limits, guint memory_mb,
                          guint descriptors);

#endif
