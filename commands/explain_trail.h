/*
 * Parses the field "trail" of a job's log lines, which
 * transport/fleet_home_log.h writes.
 */
#ifndef COMMANDS_EXPLAIN_TRAIL_H
#define COMMANDS_EXPLAIN_TRAIL_H

#include <glib.h>
#include <jansson.h>

/*
 * Converts each step in the trail of LINE, a log line, to a log line of its
 * own, "batch-sent" or "tasks-returned".  Its time is that of the step, to the
 * millisecond, plus the number of its word in microseconds, which keeps the
 * steps in order.  Words that are not steps are skipped.  The caller owns the
 * array, which owns the lines.
 */
GPtrArray *explain_trail_expand (const json_t *line);

#endif
