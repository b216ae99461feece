#include "base/error.h"

struct kind_info
{
  const char *name;
  guint http_status;
  gboolean is_not_run;
};

static const struct kind_info kinds[ERROR_KIND_COUNT] = {
  [ERROR_INVALID] = { "invalid", 400, TRUE },
  [ERROR_NOT_RUN] = { "not-run", 503, TRUE },
  [ERROR_OVER_QUOTA] = { "over-quota", 429, TRUE },
  [ERROR_DRAINING] = { "draining", 503, TRUE },
  [ERROR_NEVER_RUNS] = { "never-runs", 422, TRUE },
  [ERROR_TOO_LARGE] = { "too-large", 413, TRUE },
  [ERROR_FAILED] = { "failed", 502, FALSE },
  [ERROR_UNKNOWN] = { "unknown", 502, FALSE },
  [ERROR_CANCELLED] = { "cancelled", 409, FALSE },
  [ERROR_EXPIRED] = { "expired", 410, FALSE },
  [ERROR_NOT_FOUND] = { "not-found", 404, FALSE },
  [ERROR_CONFLICT] = { "conflict", 409, FALSE },
  [ERROR_UNAVAILABLE] = { "unavailable", 503, FALSE },
  [ERROR_DENIED] = { "denied", 401, TRUE },
};

GQuark
radishchute_error_quark (void)
{
  return g_quark_from_static_string ("radishchute-error");
}

const char *
error_kind_name (enum error_kind kind)
{
  return kinds[kind].name;
}

int
error_kind_from_name (const char *name)
{
  for (int i = 0; i < ERROR_KIND_COUNT; i++)
    if (g_strcmp0 (kinds[i].name, name) == 0)
      return i;
  return -1;
}

guint
error_kind_http_status (enum error_kind kind)
{
  return kinds[kind].http_status;
}

gboolean
error_kind_is_not_run (enum error_kind kind)
{
  return kinds[kind].is_not_run;
}

void
error_set (GError **error, enum error_kind kind, const char *format, ...)
{
  va_list args;

  if (error == NULL)
    return;
  va_start (args, format);
  *error = g_error_new_valist (RADISHCHUTE_ERROR, (int)kind, format, args);
  va_end (args);
}

enum error_kind
error_get_kind (const GError *error)
{
  if (error->domain != RADISHCHUTE_ERROR)
    return ERROR_UNAVAILABLE;
  return (enum error_kind)error->code;
}
