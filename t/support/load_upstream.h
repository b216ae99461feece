/*
 * Simulated upstreams of one owner, for the load model: they run what they are
 * told for a given time and answer polls.  Orders take 1 ms each way.
 */
#ifndef T_SUPPORT_LOAD_UPSTREAM_H
#define T_SUPPORT_LOAD_UPSTREAM_H

#include "coordination/owner.h"
#include "t/support/load_model.h"

/* Slots of one upstream, of one CPU each.  */
#define LOAD_SLOTS 2

struct load_upstreams;

/* Upstreams for OWNER as CONFIG has them, which takes N of them, numbered from
   FIRST on, at NOW_US.  */
struct load_upstreams *load_upstreams_new (struct owner *owner,
                                           const struct load_config *config,
                                           guint first, guint n, GRand *rand,
                                           gint64 now_us);

/* From now on SHARE of the orders get no answer, and are not carried out.  */
void load_upstreams_set_lost_share (struct load_upstreams *upstreams,
                                    gdouble share);

void load_upstreams_free (struct load_upstreams *upstreams);

/* The upstream with this number is gone.  Ignores those of other owners.  */
void load_upstreams_remove (struct load_upstreams *upstreams, guint number,
                            gint64 now_us);

/* From now on runs take FACTOR times as long on one upstream in EVERY.  */
void load_upstreams_slow_down (struct load_upstreams *upstreams, guint every,
                               gdouble factor);

/* The upstream with this number gets nothing more, or is used again and runs
   slower for WARM_UP_MS.  Ignores those of other owners.  */
void load_upstreams_set_leaving (struct load_upstreams *upstreams,
                                 guint number, gboolean is_leaving,
                                 guint warm_up_ms, gint64 now_us);

/* For the driver of the owner.  RUN_MS is how long the run takes at speed 1.
 */
void load_upstreams_start (struct load_upstreams *upstreams,
                           const struct run *run, guint run_ms, gint64 now_us);
void load_upstreams_stop (struct load_upstreams *upstreams,
                          const struct run *run, gint64 now_us);
void load_upstreams_poll (struct load_upstreams *upstreams,
                          struct owned_upstream *owned, guint wait_ms,
                          gint64 now_us);

/* Does what is due at NOW_US.  */
void load_upstreams_advance (struct load_upstreams *upstreams, gint64 now_us);

#endif
