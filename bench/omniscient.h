/*
 * A baseline for the dispatcher: a single omniscient queue in front of all
 * slots.  It knows every run time in advance and learns of free slots without
 * delay.
 */
#ifndef BENCH_OMNISCIENT_H
#define BENCH_OMNISCIENT_H

#include "bench/workload.h"

/*
 * Runs WORKLOAD on N_SLOTS slots.  Returns an ascending array of gdouble,
 * owned by the caller: for each job that arrives at WARM_UP_US or later, its
 * response time over its ideal response time, as in struct team_result.  The
 * queue is in the order "fewest-remaining" with true run times if
 * BY_REMAINING_WORK, otherwise in order of arrival.
 */
GArray *omniscient_run (const struct workload *workload, guint n_slots,
                        gint64 one_way_delay_us, gint64 warm_up_us,
                        gboolean by_remaining_work);

#endif
