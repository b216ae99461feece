/*
 * Declarations shared by the files that implement the fleet; see fleet.h.
 */
#ifndef TRANSPORT_FLEET_PRIVATE_H
#define TRANSPORT_FLEET_PRIVATE_H

#include "coordination/client_budget.h"
#include "coordination/vm_capacity.h"
#include "transport/fleet.h"
#include "transport/fleet_admission.h"
#include "transport/fleet_beacon.h"
#include "transport/fleet_listing.h"
#include "transport/fleet_shards.h"
#include "transport/loop_delay.h"
#include "transport/metrics_server.h"

struct fleet
{
  struct fleet_events events;
  struct fleet_owner_listener owner_listener;
  struct vm_directory_listener directory_listener;
  struct fleet_beacon_owner beacon_owner;
  struct metrics_source metrics_source;
  struct metrics_server *metrics_server; /* NULL for none */
  struct loop_delay *loop_delay;
  struct vm_capacity capacity;
  struct client_budget client_budget;
  const struct fleet_settings *settings;
  struct fleet_platform *platform;
  struct settings hub_settings; /* what the hub needs of SETTINGS */
  guint64 incarnation;
  GMainLoop *loop;
  struct fleet_requests *requests; /* NULL for none */
  struct peer_hub *hub;
  struct vm_directory *directory;
  struct fleet_owner *owner;
  struct fleet_admission *admission;
  struct fleet_home *home;
  struct fleet_shards *shards;
  struct fleet_listing *listing;
  struct fleet_beacon *beacon;
  struct route_table *routes; /* NULL before any are known */
  GBytes *routes_text;
  struct evacuation evacuation;
  gboolean is_fetching_routes;
  gboolean are_members_listed; /* the platform's list was read */
  gboolean has_listened;       /* all VMs of the zone were heard */
  gboolean has_slots;          /* at the last tick */
  gboolean is_store_reached;
  gboolean is_draining;
  gint64 drain_began_us;
  gint64 drain_deadline_us; /* remaining jobs are answered at this time */
  gint64 stay_until_us;     /* in a drain, any job is accepted until then */
  gint64 last_tick_us;
  guint tick_source;
};

/* fleet_report.c: metrics and the state dump.  */

extern const struct metrics_source_ops fleet_metrics_ops;

/* The usable capacity of this VM in thousandths of a core; 0 while it is not
   known or shards are not divided by it.  */
guint fleet_get_capacity (const struct fleet *fleet);

#endif
