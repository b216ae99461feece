/*
 * Winding down: the shutdown date of a service.
 *
 * The date is Unix time in the document and a deadline on the dispatcher's
 * clock here, worked out anew whenever the wall clock is stepped or a document
 * moves the date.  A job is admitted while it is expected to end before the
 * date, with a margin.  Jobs that were accepted run to their end, also past
 * the date.
 */
#ifndef COORDINATION_WIND_DOWN_H
#define COORDINATION_WIND_DOWN_H

#include "coordination/pool.h"

/*
 * The date of SERVICE as a deadline, DEADLINE_NEVER when it has none.
 * UNIX_OFFSET_US is Unix time minus the dispatcher's clock.
 */
gint64 wind_down_compute_deadline (const struct service *service,
                                   gint64 unix_offset_us);

/*
 * Whether a job that is expected to end at EXPECTED_END_US may come in.
 * Otherwise ERROR_DRAINING tells the date; *RETRY_AT_US is set to 0 when no
 * later job is admitted either.
 */
gboolean wind_down_admit (const struct pool *pool, gint64 expected_end_us,
                          gint64 now_us, gint64 *retry_at_us, GError **error);

#endif
