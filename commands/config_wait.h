/*
 * Waits until a version of a document is in force on the entry VMs.
 */
#ifndef COMMANDS_CONFIG_WAIT_H
#define COMMANDS_CONFIG_WAIT_H

#include "commands/config_view.h"

#include <glib.h>

struct config_wait_result
{
  guint n_asked;    /* entry VMs asked */
  guint n_in_force; /* entry VMs on which the version is in force */
  gint64 waited_us; /* until it was in force on all, or the deadline */
  json_t *entries;  /* array with an object for each entry VM: "entry",
                       "version", "in_force", "error"; owned */
};

/*
 * Polls the entry VMs of OPTIONS until VERSION of TEAM or a newer one is in
 * force on all of them, or until DEADLINE_US.  Each is asked at least once.
 * The caller frees RESULT with config_wait_result_clear ().
 */
void config_wait (const struct config_options *options, const char *team,
                  guint64 version, gint64 deadline_us,
                  struct config_wait_result *result);
void config_wait_result_clear (struct config_wait_result *result);

#endif
