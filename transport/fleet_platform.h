/*
 * What a fleet needs of the platform that it runs on, as tables of functions.
 *
 * A fleet is the entry VMs and the upstreams that they own under leases.  An
 * adapter for one platform fills in struct fleet_platform_ops, and tells what
 * it learns through struct fleet_events_ops.  Names and formats of the
 * platform stay in the adapter.
 *
 * All calls are made from the main loop; the adapter never calls back from
 * inside a function of its own table.
 */
#ifndef TRANSPORT_FLEET_PLATFORM_H
#define TRANSPORT_FLEET_PLATFORM_H

#include "coordination/owner.h"
#include "state/route.h"

#include <glib.h>

struct fleet_events;
struct fleet_platform;

/* Upstreams are spread over this many shards in each availability zone; a
   shard has one owner.  */
#define FLEET_MAX_SHARDS 64

struct fleet_events_ops
{
  /* A newer desired state is in force.  TEXT is what peers are told, in the
     platform's form; TABLE is referenced if it is kept.  */
  void (*routes_changed) (struct fleet_events *events,
                          struct route_table *table, GBytes *text);

  /* An upstream is new or has changed.  Everything in SPEC lives only during
     the call.  */
  void (*upstream_changed) (struct fleet_events *events,
                            const struct owned_spec *spec);

  /* The upstream of that name is gone for good.  */
  void (*upstream_gone) (struct fleet_events *events, const char *id);

  /* The platform has answered which shards of the own availability zone this
     VM is to own, from 0.  GENERATION grows with each change.  */
  void (*shards_assigned) (struct fleet_events *events, guint64 generation,
                           const guint *shards, guint n_shards);

  /* The names under which VMs have joined, this one included or not; each as
     it was given to join ().  */
  void (*members_listed) (struct fleet_events *events,
                          const char *const *members, guint n_members);

  /* Whether the platform's store answers this VM.  Told on each change.  */
  void (*store_reached) (struct fleet_events *events, gboolean is_reached);
};

/* The first member of whoever is told.  */
struct fleet_events
{
  const struct fleet_events_ops *ops;
};

struct fleet_platform_ops
{
  /* Begins to follow the platform; EVENTS must outlive it.  */
  void (*follow) (struct fleet_platform *platform,
                  struct fleet_events *events);

  /* A peer has told its desired state.  Ignored unless it is valid and newer
     than the one in force.  */
  void (*offer_routes) (struct fleet_platform *platform, GBytes *text);

  /* Lists the members soon; members_listed () is told.  */
  void (*list_members) (struct fleet_platform *platform);

  /* Hands the shards back: this VM is leaving.  Nothing is joined after.  */
  void (*leave) (struct fleet_platform *platform);

  /* Sends orders; their ends are told to OWNER.  See owner_driver_ops.  */
  void (*start_run) (struct fleet_platform *platform, struct owner *owner,
                     struct run *run, gint64 until_ms);
  void (*stop_run) (struct fleet_platform *platform, struct owner *owner,
                    struct run *run);
  void (*ask) (struct fleet_platform *platform, struct owner *owner,
               struct owned *upstream, gint64 until_ms, guint wait_ms);

  /* UPSTREAM is no longer owned: frees its transport_data.  */
  void (*free_transport_data) (struct fleet_platform *platform,
                               struct owned *upstream);

  void (*free) (struct fleet_platform *platform);
};

/* The first member of every adapter.  */
struct fleet_platform
{
  const struct fleet_platform_ops *ops;
};

#endif
