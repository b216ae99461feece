/*
 * A host: one address, which upstreams of several teams may share.
 *
 * Pools with an upstream at the same address compete for its slots.  The host
 * counts the tasks of all of them.  A free slot goes to a pool in this order:
 *
 * - Pools that have waited for HOST_MAX_WAIT_US or longer since their last
 *   start, the longest wait first.
 * - Pools that have used no more than their weighted share of the host, within
 *   HOST_SHARE_TOLERANCE_US.  Among them, the smallest key of the queueing
 *   order is served first.
 * - The other pools, by weighted fair queueing.  Each has a virtual time in
 *   microseconds of slot time divided by its weight, and the lowest is served
 *   first.  A pool that was idle resumes at the time of the last start.
 *
 * So no pool waits longer than HOST_MAX_WAIT_US plus the time to serve once
 * every other pool that has waited as long.
 */
#ifndef COORDINATION_HOST_H
#define COORDINATION_HOST_H

#include "state/job.h"
#include "state/upstream.h"

/* How far a pool may exceed its share and still count as within it.  */
#define HOST_SHARE_TOLERANCE_US (4 * G_GINT64_CONSTANT (1000000))

/* A pool that has waited longer for a start is served before all others.  */
#define HOST_MAX_WAIT_US (4 * G_GINT64_CONSTANT (1000000))

struct host
{
  char *address;
  guint slots;              /* the most that any of its upstreams has */
  guint n_running;          /* tasks of this VM, of all teams */
  struct shape used;        /* the sum of what those tasks need */
  struct job *reserved_job; /* the only job whose tasks may start here, or
                               NULL for no reservation; referenced */
  gint64 reserved_until_us;
  gint64 virtual_us;          /* virtual time of the last start */
  guint active_weight;        /* sum of the weights of the pools that had tasks
                                 when a slot was last offered; 0 before */
  gboolean is_indexed_full;   /* host_is_full () when the indexes of all its
                                 upstreams were last updated */
  struct list_node upstreams; /* struct upstream by host_link */
};

/* A new table of hosts by address, which owns them.  */
GHashTable *host_table_new (void);

/* Adds UPSTREAM to the host of its address, which is created if needed.  */
void host_attach (GHashTable *hosts, struct upstream *upstream);

/* Removes UPSTREAM from its host, which is freed with its last upstream.  */
void host_detach (GHashTable *hosts, struct upstream *upstream);

/* Recomputes the slots of HOST after a change of its upstreams.  */
void host_update_slots (struct host *host);

static inline gboolean
host_is_full (const struct host *host)
{
  return host->n_running >= host->slots;
}

/* An upstream of HOST that is in a document in force, or NULL.  */
struct upstream *host_find_active (const struct host *host);

/* The virtual time at which the next task on UPSTREAM would start.  */
gint64 host_get_virtual_us (const struct upstream *upstream);

/* Records that a task with the estimated run time ESTIMATE_US starts on
   UPSTREAM.  Advances the host's virtual time to that of the upstream.  */
void host_note_start (struct upstream *upstream, gint64 estimate_us,
                      guint weight);

/* Records that the task has ended after RUN_TIME_US, and corrects the
   upstream's virtual time by the error of the estimate.  */
void host_note_end (struct upstream *upstream, gint64 estimate_us,
                    gint64 run_time_us, guint weight, gint64 now_us);

/* Whether UPSTREAM's pool has used no more than its weighted share of the
   host, within HOST_SHARE_TOLERANCE_US.  */
gboolean host_is_within_share (const struct upstream *upstream, gint64 now_us);

#endif
