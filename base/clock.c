#include "base/clock.h"

#include <time.h>

gint64
clock_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

gint64
clock_unix_ms (void)
{
  return g_get_real_time () / USEC_PER_MSEC;
}

gint64
clock_deadline_from_unix_ms (gint64 unix_ms, gint64 now_us)
{
  gint64 remaining_ms = unix_ms - clock_unix_ms ();

  if (remaining_ms > (DEADLINE_NEVER - now_us) / USEC_PER_MSEC)
    return DEADLINE_NEVER;
  return now_us + remaining_ms * USEC_PER_MSEC;
}
