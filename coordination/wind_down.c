#include "coordination/wind_down.h"

#include "base/clock.h"

/* A job is accepted when the time to the shutdown is at least this multiple of
   the job's expected time.  */
#define MARGIN_FACTOR 2

/* Time after which a refused job may be sent again.  */
#define RETRY_US USEC_PER_SEC

gint64
wind_down_compute_deadline (const struct service *service,
                            gint64 unix_offset_us)
{
  if (service->shutdown_unix_ms >= DEADLINE_NEVER / USEC_PER_MSEC)
    return DEADLINE_NEVER;
  return service->shutdown_unix_ms * USEC_PER_MSEC - unix_offset_us;
}

static char *
format_date (const struct service *service)
{
  g_autoptr (GDateTime) date = g_date_time_new_from_unix_utc (
      service->shutdown_unix_ms / USEC_PER_MSEC);

  if (date == NULL)
    return g_strdup ("its shutdown date");
  return g_date_time_format (date, "%Y-%m-%dT%H:%M:%SZ");
}

gboolean
wind_down_check_job (const struct pool *pool, gint64 expected_end_us,
                     gint64 now_us, gint64 *retry_at_us, GError **error)
{
  gint64 left_us = pool->shutdown_us - now_us;
  g_autofree char *date = NULL;

  if (pool->shutdown_us == DEADLINE_NEVER)
    return TRUE;
  if (left_us > 0 && (expected_end_us - now_us) * MARGIN_FACTOR <= left_us)
    return TRUE;
  date = format_date (pool->service);
  *retry_at_us = left_us > 2 * RETRY_US ? now_us + RETRY_US : 0;
  if (left_us > 0)
    error_set (error, ERROR_DRAINING,
               "service '%s' shuts down at %s and this job is not expected "
               "to end before that; send a shorter job or use another service",
               pool->service_name, date);
  else
    error_set (error, ERROR_DRAINING,
               "service '%s' has shut down at %s; use another service",
               pool->service_name, date);
  return FALSE;
}
