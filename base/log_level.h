/*
 * How severe an event is.
 */
#ifndef BASE_LOG_LEVEL_H
#define BASE_LOG_LEVEL_H

#include <glib.h>

enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_COUNT
};

/* The name of LEVEL, as in "warning".  Static.  */
const char *log_level_name (enum log_level level);

/* Finds the level of that name.  Returns FALSE when there is none.  */
gboolean log_level_from_name (const char *name, enum log_level *level);

#endif
