/*
 * A host: one address that upstreams of several teams may name.
 *
 * Teams whose documents name the same address compete for its slots.  A host
 * counts the tasks of all of them, and decides whose turn it is:
 *
 * - A pool that has waited for HOST_MAX_WAIT_US for any start goes first, the
 *   longest wait before the others.
 * - Then come pools that have used no more than their weighted share, give or
 *   take HOST_TOLERANCE_US of it, and among them the job that the queueing
 *   order prefers.
 * - The others share the rest by weighted fair queueing: each has a virtual
 *   time, in microseconds of slot time over weight, and the lowest goes first.
 *   One that has been idle comes back at the time of the last start.
 *
 * So no pool waits for longer than HOST_MAX_WAIT_US plus one turn of every
 * other pool that has waited as long.
 */
#ifndef COORDINATION_HOST_H
#define COORDINATION_HOST_H

#include "state/job.h"
#include "state/upstream.h"

/* How far ahead of its share a pool may be and still go first.  */
#define HOST_TOLERANCE_US (4 * G_GINT64_CONSTANT (1000000))

/* How long a pool waits for a start before it goes before all others.  */
#define HOST_MAX_WAIT_US (4 * G_GINT64_CONSTANT (1000000))

struct host
{
  char *address;
  guint slots;              /* the largest that an upstream names */
  guint n_running;          /* tasks of this VM, of all teams */
  struct shape used;        /* what those tasks asked for, summed */
  struct job *reserved_job; /* the only one that starts here; referenced */
  gint64 reserved_until_us;
  gint64 virtual_us;
  guint active_weight; /* of the pools that had tasks when a slot was offered
                          last; 0 before */
  gboolean is_indexed_full;   /* what its upstreams' indexes tell */
  struct list_node upstreams; /* struct upstream by host_link */
};

/* The hosts by address.  */
GHashTable *host_table_new (void);

/* Makes UPSTREAM one of its address's host.  */
void host_attach (GHashTable *hosts, struct upstream *upstream);

/* Undoes host_attach; the last one frees the host.  */
void host_detach (GHashTable *hosts, struct upstream *upstream);

/* Sets the slots of HOST anew after a change of its upstreams.  */
void host_update_slots (struct host *host);

static inline gboolean
host_is_full (const struct host *host)
{
  return host->n_running >= host->slots;
}

/* An upstream of HOST that is still in a document, or NULL.  */
struct upstream *host_find_active (const struct host *host);

/* The virtual time at which UPSTREAM competes.  */
gint64 host_get_virtual_us (const struct upstream *upstream);

/* A task that is expected to run for ESTIMATE_US starts on UPSTREAM, which is
   due: the host's virtual time moves on to the upstream's.  */
void host_note_start (struct upstream *upstream, gint64 estimate_us,
                      guint weight);

/* The task has ended after RUN_TIME_US.  */
void host_note_end (struct upstream *upstream, gint64 estimate_us,
                    gint64 run_time_us, guint weight, gint64 now_us);

/* Whether UPSTREAM's pool has used no more than its share.  */
gboolean host_is_within_share (const struct upstream *upstream, gint64 now_us);

#endif
