/*
 * The run-time state of one upstream of a service.
 *
 * Upstreams are reference counted, so that an upstream that a new document no
 * longer has stays alive until its running tasks have ended.
 */
#ifndef STATE_UPSTREAM_H
#define STATE_UPSTREAM_H

#include "base/list.h"
#include "state/document.h"

#include <glib.h>

struct host;
struct lane;
struct pool;
struct upstream_health;

struct upstream
{
  guint ref_count;
  char *name;
  char *address; /* "IP:PORT" */
  char *availability_zone;
  char *rack;
  struct shape shape;
  guint slots;              /* tasks that it runs at once, of all VMs */
  guint share;              /* slots that this VM may fill */
  guint max_connections;    /* of this VM */
  guint lease_ms;           /* of its service */
  guint n_running;          /* tasks of this VM that occupy a slot */
  gboolean is_remote;       /* in another availability zone than this VM */
  gboolean is_leaving;      /* gets no new task */
  gboolean is_removed;      /* no longer in the document */
  gint64 renew_due_us;      /* when its leases are to be renewed */
  struct list_node running; /* struct task by upstream_link */
  struct upstream_health *health; /* owned by the coordination layer */
  void *transport_data;           /* owned by the transport layer */

  /* For the coordination layer's use.  */
  gint64 share_deadline_us;    /* when the share expires */
  struct pool *pool;           /* NULL once removed; not owned */
  struct host *host;           /* NULL once removed and idle; not owned */
  struct lane *lane;           /* tasks bound to it; NULL if there were none */
  guint shape_kind;            /* index in pool->kinds */
  gint64 host_virtual_us;      /* virtual time of its pool on the host; see
                                  coordination/host.h */
  gint64 host_use_covered_us;  /* by when the weighted share of its pool in
                                  the host's slots has covered its use */
  struct list_node host_link;  /* in host->upstreams */
  struct list_node level_link; /* in the pool's index, if it may get a task */
  guint level;                 /* level in the pool's index */
  struct list_node busy_link;  /* in the dispatcher's busy upstreams */
  GSequenceIter *rest_iter;    /* in the dispatcher's resting upstreams */
};

/* A new upstream with one reference, made from SPEC.  */
struct upstream *upstream_new (const struct upstream_spec *spec,
                               const struct service *service);

struct upstream *upstream_ref (struct upstream *upstream);
void upstream_unref (struct upstream *upstream);

/* Number of slots that this VM may fill now; 0 when UPSTREAM is leaving or
   removed.  */
guint upstream_count_free_slots (const struct upstream *upstream);

#endif
