#include "base/log_level.h"

static const char *const level_names[LOG_LEVEL_COUNT]
    = { "error", "warning", "info", "debug" };

const char *
log_level_name (enum log_level level)
{
  return level_names[level];
}

gboolean
log_level_from_name (const char *name, enum log_level *level)
{
  for (int i = 0; i < LOG_LEVEL_COUNT; i++)
    if (g_strcmp0 (level_names[i], name) == 0)
      {
        *level = (enum log_level)i;
        return TRUE;
      }
  return FALSE;
}
