/*
 * The member "trail" of a job's lines, as transport/fleet_home_log.h writes
 * it.
 */
#ifndef COMMANDS_EXPLAIN_TRAIL_H
#define COMMANDS_EXPLAIN_TRAIL_H

#include <glib.h>
#include <jansson.h>

/*
 * The steps that LINE, a log line, tells of in its trail, each as a log line
 * of its own: batch-sent or tasks-returned, at the time of the step and a
 * microsecond after the step before it.  Words that are no steps are passed
 * over.  The caller owns the array, which owns the lines.
 */
GPtrArray *explain_trail_expand (const json_t *line);

#endif
