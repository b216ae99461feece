/*
 * Declarations shared by the files that implement the owner's transport; see
 * fleet_owner.h.
 */
#ifndef TRANSPORT_FLEET_OWNER_PRIVATE_H
#define TRANSPORT_FLEET_OWNER_PRIVATE_H

#include "transport/fleet_owner.h"

struct fleet_owner
{
  struct owner_driver driver;
  struct owner *owner;
  struct fleet_platform *platform;
  struct vm_directory *directory;
  struct peer_hub *hub;
  const struct fleet_beacon *beacon; /* NULL before it is set */
  guint resend_ms;                   /* 0: batches need no confirmation */
  struct fleet_owner_listener *listener;
  GHashTable *remote_batches; /* "HOME/JOB/NUMBER" -> struct remote_batch */
  struct loop_timer *timer;   /* set by wake_at () */
  struct loop_timer *notify_timer; /* sends the queued notifications from the
                                      main loop, as the driver's functions must
                                      not call back into the owner */
  GQueue claims;                   /* struct claim */
  GQueue returned;                 /* struct returned_tasks */
  GQueue ended;                    /* struct batch */
  GQueue lost;                     /* struct lost_upstream */
  guint n_batches;                 /* that have not ended */
};

/* fleet_owner_peers.c: batches that peers send.  */

/* Whether the batch of SINK was sent by a peer.  */
gboolean fleet_owner_is_remote (const struct batch_sink *sink);

/* Stops the batches whose home is no longer connected.  The result cannot
   reach the home, which therefore answers the caller that it is unknown.  The
   caller may then send the job again.  */
void fleet_owner_stop_unreachable (struct fleet_owner *owner, gint64 now_us);

/* Checks the batches with their homes that were not confirmed for long.  */
void fleet_owner_check_unconfirmed (struct fleet_owner *owner, gint64 now_us);

/* Frees what is known of the batches of peers.  */
void fleet_owner_free_remote (struct fleet_owner *owner);

#endif
