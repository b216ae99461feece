/*
 * When refused callers are asked to come back.  Does no I/O.
 *
 * A refused job is asked to return when the queue has drained, and after the
 * jobs that were refused before it and are expected to return by then.  The
 * times are spread so that the returning jobs of all homes take no more than a
 * part of the starts: the rest is needed for first requests.
 *
 * How many refused jobs are expected to return is learned from those that did.
 * A job may return to any VM, so that of N homes each sees one in N of its own
 * jobs again, and counts it as N.  Callers that never return add nothing to
 * the times.
 */
#ifndef COORDINATION_RETRY_SPREAD_H
#define COORDINATION_RETRY_SPREAD_H

#include "base/clock.h"

#include <glib.h>

/* Bounds of the time that a refused caller is asked to wait.  */
#define RETRY_SPREAD_MIN_MS 200
#define RETRY_SPREAD_MAX_MS 5000

/* Refused jobs that are remembered, to recognize those that return.  */
#define RETRY_SPREAD_JOBS_MAX 512

struct retry_spread;

/* A job that is refused.  */
struct retry_request
{
  guint64 job;          /* hash of its ID */
  guint n_tasks;        /* of the job */
  gint64 drain_ms;      /* until the queue ahead of it has drained */
  gdouble starts_per_s; /* of tasks at all owners */
  guint n_homes;        /* live VMs, this one included */
  guint64 seed;         /* must differ for each request */
};

struct retry_spread *retry_spread_new (void);
void retry_spread_free (struct retry_spread *spread);

/* A job with the hash JOB has arrived at this VM, one of N_HOMES.  Returns
   whether this VM has refused it lately: the caller retries.  */
gboolean retry_spread_note_arrival (struct retry_spread *spread, guint64 job,
                                    guint n_homes, gint64 now_us);

/* REQUEST is refused.  Returns after how many milliseconds it is asked to
   return, from RETRY_SPREAD_MIN_MS to RETRY_SPREAD_MAX_MS.  */
gint64 retry_spread_refuse (struct retry_spread *spread,
                            const struct retry_request *request,
                            gint64 now_us);

/* The part of the refused jobs that is expected to return, from 0 to 1.  */
gdouble retry_spread_get_return_share (const struct retry_spread *spread);

#endif
