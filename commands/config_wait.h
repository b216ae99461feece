/*
 * Waits until a document is in force on the entry VMs.
 */
#ifndef COMMANDS_CONFIG_WAIT_H
#define COMMANDS_CONFIG_WAIT_H

#include "commands/config_view.h"

#include <glib.h>

/* What the entry VMs said.  */
struct config_wait_result
{
  guint n_asked;
  guint n_in_force;
  gint64 waited_us;
  json_t
      *entries; /* an object each: "entry", "version", "in_force", "error" */
};

/*
 * Asks the entry VMs of OPTIONS until VERSION of TEAM or a newer one is in
 * force on all, or until DEADLINE_US.  Clear RESULT by
 * config_wait_result_clear ().
 */
void config_wait (const struct config_options *options, const char *team,
                  guint64 version, gint64 deadline_us,
                  struct config_wait_result *result);
void config_wait_result_clear (struct config_wait_result *result);

#endif
