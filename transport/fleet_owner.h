/*
 * The owner's side of a fleet: drives the decisions of coordination/owner.h
 * from the main loop, for batches of this VM and of its peers.
 */
#ifndef TRANSPORT_FLEET_OWNER_H
#define TRANSPORT_FLEET_OWNER_H

#include "coordination/owner.h"
#include "coordination/vm_directory.h"
#include "transport/fleet_platform.h"
#include "transport/owner_log.h"
#include "transport/peer_hub.h"

#include <glib.h>

struct fleet_owner;
struct fleet_owner_listener;

struct fleet_owner_listener_ops
{
  /* The upstream of that name is no longer owned.  */
  void (*upstream_lost) (struct fleet_owner_listener *listener, const char *id,
                         gboolean is_fenced);
};

/* Embedded in whoever wants to be told.  */
struct fleet_owner_listener
{
  const struct fleet_owner_listener_ops *ops;
};

/* Whoever has handed in a batch; ended () is called once, from the main loop,
   and the batch is freed after it.  */
struct batch_sink
{
  /* Tasks are given back, and are not of the batch any longer.  Told before
     the end.  */
  void (*returned) (struct batch_sink *sink, const struct batch *batch,
                    const guint *indexes, guint n_tasks);
  void (*ended) (struct batch_sink *sink, const struct batch *batch);
  struct batch_tally tally; /* the owner's; begins as zeros */
};

/* PLATFORM carries the orders out; DIRECTORY tells which homes are there.
   All must outlive the owner.  */
struct fleet_owner *fleet_owner_new (const struct owner_limits *limits,
                                     struct fleet_platform *platform,
                                     const struct vm_directory *directory,
                                     struct fleet_owner_listener *listener);
void fleet_owner_free (struct fleet_owner *owner);

/* Serves the batches of peers that come through HUB.  */
void fleet_owner_serve (struct fleet_owner *owner, struct peer_hub *hub);

struct owner *fleet_owner_get (struct fleet_owner *owner);

/* Runs BATCH of this VM's own; its user data becomes SINK.  */
void fleet_owner_run (struct fleet_owner *owner, struct batch *batch,
                      struct batch_sink *sink);

/* The name of a home in a batch: a VM and its incarnation.  Free with
   g_free ().  */
char *fleet_format_home (const char *vm, guint64 incarnation);

/* Batches that have not ended.  */
guint fleet_owner_count_batches (const struct fleet_owner *owner);

#endif
