/*
 * Decides where a VM gets the platform's list of upstreams from.  Does no I/O.
 *
 * The list is read from the platform's store in the order of its records, so
 * that a position in it says which changes are known.  One VM of each
 * availability zone, the reader, reads the store; the others take over its
 * position while nothing has changed, and fetch from it, or from a VM that has
 * done so, what has.  A VM whose list has become stale reads the store itself,
 * the larger VMs first.
 */
#ifndef COORDINATION_LISTING_SOURCE_H
#define COORDINATION_LISTING_SOURCE_H

#include "base/clock.h"

#include <glib.h>

/* A list older than this is stale.  A VM waits LISTING_TURN_US longer for each
   VM that goes before it.  */
#define LISTING_STALE_US (700 * USEC_PER_MSEC)
#define LISTING_TURN_US (30 * USEC_PER_MSEC)

/* How long a VM without a list waits for that of a VM that goes before it.  */
#define LISTING_FIRST_WAIT_US (1500 * USEC_PER_MSEC)

/* What a VM knows of the list.  */
struct listing_state
{
  guint64 position; /* every record before it is known; 0: no list yet */
  guint64 changed;  /* every change to upstreams of the zone is before it */
  gint64 as_of_us;  /* when POSITION was the end of the list; 0: never */
  gboolean is_read; /* from the store, by this VM */
};

/* Another live VM of the zone.  */
struct listing_peer
{
  const char *name;
  guint capacity; /* of its processor, in thousandths of a core */
  struct listing_state state;
};

/* The VM that decides.  */
struct listing_self
{
  const char *name;
  guint capacity;
  struct listing_state state;
  gint64 started_us;
  gboolean is_leaving;
};

enum listing_action
{
  LISTING_WAIT,  /* nothing to be done now */
  LISTING_ADOPT, /* take over position and time of the peer */
  LISTING_FETCH  /* fetch the changes, or the whole list, from the peer */
};

struct listing_choice
{
  gboolean is_reading; /* whether to read the store */
  enum listing_action action;
  guint peer; /* index, for ADOPT and FETCH */
};

/* Chooses what SELF does at NOW_US.  PEERS are the N_PEERS other live VMs of
   its zone that are not leaving.  SEED varies from call to call and from VM to
   VM; it spreads first fetches over the peers.  */
struct listing_choice listing_source_choose (const struct listing_self *self,
                                             const struct listing_peer *peers,
                                             guint n_peers, guint64 seed,
                                             gint64 now_us);

#endif
