/*
 * Runs batches of tasks on the upstreams that this VM owns, for this VM and
 * for its peers.  Connects coordination/owner.h, which decides without I/O, to
 * the main loop, the platform and the peer hub.
 */
#ifndef TRANSPORT_FLEET_OWNER_H
#define TRANSPORT_FLEET_OWNER_H

#include "coordination/owner.h"
#include "coordination/vm_directory.h"
#include "transport/fleet_beacon.h"
#include "transport/fleet_owner_log.h"
#include "transport/fleet_platform.h"
#include "transport/peer_hub.h"

#include <glib.h>

struct fleet_owner;
struct fleet_owner_listener;

struct fleet_owner_listener_ops
{
  /* The upstream ID is no longer owned: it was fenced by a higher token
     (IS_FENCED) or released.  */
  void (*upstream_lost) (struct fleet_owner_listener *listener, const char *id,
                         gboolean is_fenced);
};

/* Embedded in the object that is notified.  */
struct fleet_owner_listener
{
  const struct fleet_owner_listener_ops *ops;
};

/* Receives the results of one batch; embedded in an object of the submitter.
   Both functions are called from the main loop.  */
struct batch_sink
{
  /* The owner returns N_TASKS tasks with these INDEXES unstarted; they no
     longer belong to the batch.  Always called before batch_ended ().  */
  void (*tasks_returned) (struct batch_sink *sink, const struct batch *batch,
                          const guint *indexes, guint n_tasks);

  /* The owner has free slots for N_TASKS tasks of BATCH, which is an offer.
     The submitter calls owner_claim_ended () or owner_claim_failed (), now or
     later, if BATCH has not ended by then.  May be NULL if it submits no
     offers.  */
  void (*tasks_claimed) (struct batch_sink *sink, struct batch *batch,
                         guint n_tasks);

  /* The batch has ended.  Called once; the batch is freed afterwards.  */
  void (*batch_ended) (struct batch_sink *sink, const struct batch *batch);
  struct batch_tally tally; /* for the fleet owner's use; starts as zeros */
};

/* PLATFORM sends the orders to upstreams.  DIRECTORY shows which homes are
   live.  LISTENER is notified of lost upstreams.  These three must outlive the
   owner.  */
struct fleet_owner *fleet_owner_new (const struct owner_limits *limits,
                                     struct fleet_platform *platform,
                                     struct vm_directory *directory,
                                     struct fleet_owner_listener *listener);
void fleet_owner_free (struct fleet_owner *owner);

/* Starts to serve batches that peers send through HUB.  */
void fleet_owner_serve (struct fleet_owner *owner, struct peer_hub *hub);

/* SOURCE tells how old a batch is that a peer has sent; see
   owner_confirm_batch ().  Before, each is checked with its home.  */
void fleet_owner_set_beacon (struct fleet_owner *owner,
                             const struct fleet_beacon *source);

/* The home VM wants all batches here but the N_REVOKED ones with the numbers
   REVOKED, and wanted them at CONFIRMED_US or later, on the clock of this VM;
   0 if none is confirmed.  */
void fleet_owner_confirm_home (struct fleet_owner *owner, const struct vm *vm,
                               gint64 confirmed_us, const guint *revoked,
                               guint n_revoked);

/* The decision module that this owner drives.  */
struct owner *fleet_owner_get_owner (struct fleet_owner *owner);

/* Runs BATCH, of which this function takes ownership; sets its user data to
   SINK.  */
void fleet_owner_run (struct fleet_owner *owner, struct batch *batch,
                      struct batch_sink *sink);

/* The identifier of a home in a batch, "VM#INCARNATION".  Free with
   g_free ().  */
char *fleet_format_home (const char *vm, guint64 incarnation);

/* The number of batches, local and of peers, that have not ended.  */
guint fleet_owner_count_batches (const struct fleet_owner *owner);

#endif
