#include "base/machine_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#define BYTES_PER_MB G_GUINT64_CONSTANT (1048576)

/* The lower of VALUE and the process's limit of RESOURCE.  */
static guint64
apply_limit (guint64 value, __rlimit_resource_t resource)
{
  struct rlimit limit;

  if (getrlimit (resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return value;
  return MIN (value, (guint64)limit.rlim_cur);
}

static guint64
get_physical_bytes (void)
{
  long n_pages = sysconf (_SC_PHYS_PAGES);
  long page_bytes = sysconf (_SC_PAGESIZE);

  if (n_pages <= 0 || page_bytes <= 0)
    return G_MAXUINT64;
  return (guint64)n_pages * (guint64)page_bytes;
}

void
machine_limits_read (struct machine_limits *limits, guint memory_mb,
                     guint descriptors)
{
  guint64 bytes = get_physical_bytes ();
  guint64 n = descriptors > 0 ? descriptors : G_MAXUINT;

  if (memory_mb > 0)
    bytes = MIN (bytes, memory_mb * BYTES_PER_MB);
  bytes = apply_limit (bytes, RLIMIT_AS);
  bytes = apply_limit (bytes, RLIMIT_DATA);
  limits->memory_bytes = apply_limit (bytes, RLIMIT_RSS);
  limits->descriptors = (guint)apply_limit (n, RLIMIT_NOFILE);
}
