/*
 * The omniscient single queue: what could be reached by one queue before all
 * slots that knows every run time and learns of free slots at once.
 */
#ifndef BENCH_OMNISCIENT_H
#define BENCH_OMNISCIENT_H

#include "bench/workload.h"

/*
 * Response over ideal of the jobs of WORKLOAD that arrive after WARM_UP_US, a
 * sorted array of gdouble.  With BY_WORK the queue is ordered as by
 * "fewest-remaining" with true run times, otherwise by arrival.
 */
GArray *omniscient_run (const struct workload *workload, guint n_slots,
                        gint64 travel_us, gint64 warm_up_us, gboolean by_work);

#endif
