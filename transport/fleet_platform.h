/*
 * The interface between a fleet and the platform that it runs on, as tables of
 * functions.
 *
 * A fleet consists of the entry VMs and the upstreams that they own under
 * leases.  An adapter for one platform implements struct fleet_platform_ops
 * and reports changes through struct fleet_events_ops.  Names and formats of
 * the platform are known to the adapter only.
 *
 * All calls are made from the main loop.  The adapter never calls back from
 * inside a function of its own table.
 */
#ifndef TRANSPORT_FLEET_PLATFORM_H
#define TRANSPORT_FLEET_PLATFORM_H

#include "coordination/evacuation.h"
#include "coordination/listing_source.h"
#include "coordination/owner.h"
#include "state/route.h"

#include <glib.h>

struct fleet_events;
struct fleet_platform;

/* The largest number of shards into which the upstreams of an availability
   zone are divided.  A shard has one owner.  */
#define FLEET_MAX_SHARDS 64

struct fleet_events_ops
{
  /* A newer desired state is in force.  TEXT is the same state in the
     platform's format, for sending to peers.  The receiver takes its own
     references to TABLE and TEXT if it keeps them.  */
  void (*routes_changed) (struct fleet_events *events,
                          struct route_table *table, GBytes *text);

  /* The operator has evacuated availability zones, or taken them back.  STATE
     is valid only during the call.  Called once STATE is first known, also
     when no zone is evacuated.  */
  void (*zones_evacuated) (struct fleet_events *events,
                           const struct evacuation *state);

  /* An upstream is new or has changed.  SPEC and everything in it are valid
     only during the call.  */
  void (*upstream_changed) (struct fleet_events *events,
                            const struct listed_upstream *spec);

  /* The upstream ID was removed permanently.  */
  void (*upstream_gone) (struct fleet_events *events, const char *id);

  /* The platform has assigned these shards of this VM's availability zone to
     this VM.  Shards are numbered from 0.  GENERATION grows with each
     change of the assignment.  */
  void (*shards_assigned) (struct fleet_events *events, guint64 generation,
                           const guint *shards, guint n_shards);

  /* The names under which VMs have joined the platform's group,
     "NAME@IP@ZONE" each.  This VM may be among them.  */
  void (*members_listed) (struct fleet_events *events,
                          const char *const *members, guint n_members);

  /* Whether the platform's store answers this VM.  Called on each change.  */
  void (*store_reachability_changed) (struct fleet_events *events,
                                      gboolean is_reached);
};

/* The first member of the object that receives the events.  */
struct fleet_events
{
  const struct fleet_events_ops *ops;
};

struct fleet_platform_ops
{
  /* Starts to follow the platform and to report to EVENTS, which must outlive
     PLATFORM.  */
  void (*follow) (struct fleet_platform *platform,
                  struct fleet_events *events);

  /* Passes on the desired state that a peer has sent, in the platform's
     format.  It is ignored unless it is valid and newer than the one in
     force.  */
  void (*offer_routes) (struct fleet_platform *platform, GBytes *text);

  /* The platform's list of upstreams, as coordination/listing_source.h has it:
     what is known of it here, whether it is read from the store, and what
     another VM of the zone knows.  */
  void (*get_listing) (struct fleet_platform *platform,
                       struct listing_state *state);
  void (*set_listing_read) (struct fleet_platform *platform,
                            gboolean is_reading);
  void (*adopt_listing) (struct fleet_platform *platform, guint64 position,
                         gint64 as_of_us);

  /* The changes of the list from the position FROM on, as text for
     apply_listing () of another VM of the zone; all of the list if not all of
     these changes are known, and MAY_BE_ALL.  Else NULL.  */
  GBytes *(*format_listing) (struct fleet_platform *platform, guint64 from,
                             gboolean may_be_all);
  void (*apply_listing) (struct fleet_platform *platform, GBytes *text,
                         gint64 as_of_us);

  /* Requests a list of the members, which members_listed () reports later.  */
  void (*list_members) (struct fleet_platform *platform);

  /* Leaves the platform's group because this VM is shutting down, so that its
     shards are assigned to others.  The VM does not join again.  */
  void (*leave) (struct fleet_platform *platform);

  /* Send the order to start RUN, with a lease until UNTIL_MS on the upstream's
     clock, or to stop RUN.  OWNER is told the result by owner_start_ended ()
     or owner_stop_ended ().  */
  void (*start_run) (struct fleet_platform *platform, struct owner *owner,
                     struct run *run, gint64 until_ms);
  void (*stop_run) (struct fleet_platform *platform, struct owner *owner,
                    struct run *run);

  /*
   * Polls UPSTREAM for its runs, and renews their leases until UNTIL_MS on its
   * clock unless that is 0.  The upstream may hold back the answer until a run
   * ends, for WAIT_MS milliseconds at most.  OWNER is told the result by
   * owner_poll_ended ().
   */
  void (*poll_upstream) (struct fleet_platform *platform, struct owner *owner,
                         struct owned_upstream *upstream, gint64 until_ms,
                         guint wait_ms);

  /* Frees the transport_data of UPSTREAM, which is no longer owned.  */
  void (*free_transport_data) (struct fleet_platform *platform,
                               struct owned_upstream *upstream);

  void (*free) (struct fleet_platform *platform);
};

/* The first member of every adapter.  */
struct fleet_platform
{
  const struct fleet_platform_ops *ops;
};

#endif
