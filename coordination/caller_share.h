/*
 * The demand of each caller, and whose demand clearly exceeds its share.  Does
 * no I/O.
 *
 * The demand of a caller is the processor time that its requests ask for, per
 * second, in thousandths of a CPU, smoothed over CALLER_SHARE_SMOOTH_US.
 * Refused requests count as well.  Each VM sees only a part of a caller's
 * requests, so that it adds what other VMs report of that caller.  They report
 * only their largest callers: the sum never exceeds the true demand by more
 * than what has changed since the reports.
 *
 * An equal share is the capacity, or what all other callers request if that is
 * more, divided by the number of active callers: when all request more than
 * usual at once, none of them exceeds its share.  What the others request is
 * estimated from the requests here, which are about as many at each VM.
 * Callers differ by nature, so that only a clear excess counts: the limit of a
 * caller is CALLER_SHARE_EXCESS equal shares, or CALLER_SHARE_GROWTH times its
 * usual demand if that is more.  The usual demand is learned while there is no
 * queue: otherwise a flood would become usual while it lasts.  It is scaled by
 * how the demand of the others has grown since, as queues form at the peaks of
 * waves and it is learned between them.
 */
#ifndef COORDINATION_CALLER_SHARE_H
#define COORDINATION_CALLER_SHARE_H

#include "base/clock.h"

#include <glib.h>

/* Callers whose demand a VM reports to the others.  */
#define CALLER_LIST_MAX 8

/* Callers that are kept.  When there are more, the one with the smallest
   demand is dropped.  */
#define CALLER_SHARE_MAX 1024

/* A few jobs of each caller fall into this time, so that a single long job is
   no excess, and a flood is noticed before it has lasted as long.  */
#define CALLER_SHARE_SMOOTH_US (3 * USEC_PER_SEC)

/* The usual demand is an average over this time, which covers a few periods of
   the waves in the demand of all callers (11 to 13 s).  */
#define CALLER_SHARE_USUAL_US (30 * USEC_PER_SEC)

/* A caller counts as active for this long after its latest request: over three
   smoothing times its demand has decayed to a thirtieth.  */
#define CALLER_SHARE_ACTIVE_US (10 * USEC_PER_SEC)

#define CALLER_SHARE_EXCESS 4
#define CALLER_SHARE_GROWTH 2

struct caller_demand
{
  guint64 caller; /* hash of its account or address */
  guint demand_milli;
};

/* The callers with the largest demand at one VM, the largest first.  */
struct caller_list
{
  struct caller_demand callers[CALLER_LIST_MAX];
  guint n;
};

/* How a caller's demand compares with its limit, in thousandths of a CPU.  */
struct caller_standing
{
  gdouble demand_milli;
  gdouble limit_milli;
  guint n_callers; /* active ones */
};

struct caller_share;

struct caller_share *caller_share_new (void);
void caller_share_free (struct caller_share *share);

/* Counts a request of CALLER for WORK_US of processor time: tasks times CPUs
   times run time.  */
void caller_share_count (struct caller_share *share, guint64 caller,
                         gdouble work_us, gint64 now_us);

/* Replaces the reports of the other VMs by the N LISTS, one of each live VM.
   Reports of callers without an entry are ignored when the table is full.
   HAS_QUEUE: tasks wait for slots, so that the usual demand is not learned.
   To be called several times a second.  */
void caller_share_update (struct caller_share *share,
                          const struct caller_list *const *lists, guint n,
                          gboolean has_queue, gint64 now_us);

/* The largest demands of this VM's own callers, to be reported to others.  */
void caller_share_list_largest (const struct caller_share *share,
                                struct caller_list *list, gint64 now_us);

/* Whether the demand of CALLER may exceed its limit.  If not, the scan of
   caller_share_get () can be saved, which takes 24 us with a full table.  */
gboolean caller_share_may_exceed (const struct caller_share *share,
                                  guint64 caller, gdouble capacity_milli,
                                  gint64 now_us);

/* The standing of CALLER when CAPACITY_MILLI is shared by all.  */
struct caller_standing caller_share_get (const struct caller_share *share,
                                         guint64 caller,
                                         gdouble capacity_milli,
                                         gint64 now_us);

/* Whether a request of a caller with STANDING belongs to its excess.  Of a
   caller over its limit, the part of the requests that keeps the rest at the
   limit is drawn by SEED, which must differ for each request.  A caller that
   is the only active one has no excess: its refusal would serve no other.  */
gboolean caller_standing_is_excess (const struct caller_standing *standing,
                                    guint64 seed);

/* When the demand of a caller with STANDING is down to its limit, if it
   requests nothing more: in milliseconds from now.  */
gint64 caller_standing_get_excess_ms (const struct caller_standing *standing);

#endif
