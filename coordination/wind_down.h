/*
 * The shutdown date of a service, and the refusal of jobs before it.
 *
 * The document has the date in Unix time.  It is converted to a deadline on
 * the dispatcher's clock, and converted again whenever the wall clock is
 * stepped or a document changes the date.  A job is accepted when it is
 * expected to end before the date, with a margin.  Accepted jobs run to their
 * end, even after the date.
 */
#ifndef COORDINATION_WIND_DOWN_H
#define COORDINATION_WIND_DOWN_H

#include "coordination/pool.h"

/*
 * The shutdown date of SERVICE on the dispatcher's clock, or DEADLINE_NEVER
 * when it has none.  UNIX_OFFSET_US is the Unix time minus the dispatcher's
 * clock.
 */
gint64 wind_down_compute_deadline (const struct service *service,
                                   gint64 unix_offset_us);

/*
 * Whether a job that is expected to end at EXPECTED_END_US is accepted.  If
 * not, sets ERROR_DRAINING, whose message has the date, and *RETRY_AT_US: the
 * time from which the job may be sent again, or 0 when it is too late for
 * that.
 */
gboolean wind_down_check_job (const struct pool *pool, gint64 expected_end_us,
                              gint64 now_us, gint64 *retry_at_us,
                              GError **error);

#endif
