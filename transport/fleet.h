/*
 * The daemon of an entry VM in a fleet, as "radishchute fleet" runs it:
 * creates the components, connects them and runs the main loop.
 *
 * All entry VMs have the same roles.  Each is the home of the jobs that its
 * callers submit to it, owns some of the upstreams of its availability zone,
 * and follows the platform's desired state.
 */
#ifndef TRANSPORT_FLEET_H
#define TRANSPORT_FLEET_H

#include "coordination/client_budget.h"
#include "protocol/fleet_settings.h"
#include "transport/fleet_admission.h"
#include "transport/fleet_home.h"
#include "transport/fleet_platform.h"

#include <jansson.h>

struct fleet;

/* Opens the sockets for peers, beacons and metrics.  SETTINGS and PLATFORM
   must outlive the fleet.  Returns NULL and sets ERROR on failure.  */
struct fleet *fleet_new (const struct fleet_settings *settings,
                         struct fleet_platform *platform, GError **error);
void fleet_free (struct fleet *fleet);

/* Runs the main loop.  SIGTERM or SIGINT starts a drain.  Returns when the
   drain is complete.  */
void fleet_run (struct fleet *fleet);

/* What the clients of this process share; the fleet owns it.  */
struct client_budget *fleet_get_client_budget (struct fleet *fleet);

struct fleet_home *fleet_get_home (struct fleet *fleet);

/* The routes in force, or NULL before any are known.  The fleet owns the
   reference; they may be replaced at the next iteration of the main loop.  */
const struct route_table *fleet_get_routes (const struct fleet *fleet);

/* Whether callers should open connections to this VM: it is not draining, and
   a live owner has a slot for at least one service.  */
gboolean fleet_is_ready (struct fleet *fleet);

/* Whether this VM stops soon: callers should use other connections.  */
gboolean fleet_is_draining (const struct fleet *fleet);

/* Whether a new job that is to be answered within OBJECTIVE_US is accepted:
   always, unless a drain may end before the job does.  */
gboolean fleet_is_accepting_job (const struct fleet *fleet,
                                 gint64 objective_us);

/* The state of the process as JSON, for a dump.  The caller owns the
   reference.  */
json_t *fleet_describe (struct fleet *fleet);

struct fleet_requests;

/* Requests of callers that wait for the desired state.  */
struct fleet_requests_ops
{
  /* The desired state is known now, or this VM is leaving.  */
  void (*state_changed) (struct fleet_requests *requests);

  /* The number of requests that wait.  */
  guint (*count) (const struct fleet_requests *requests);
};

/* The first member of the object that holds these requests.  */
struct fleet_requests
{
  const struct fleet_requests_ops *ops;
};

/* Sets REQUESTS, or NULL for none.  */
void fleet_set_requests (struct fleet *fleet, struct fleet_requests *requests);

#endif
