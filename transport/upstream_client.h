/*
 * Starts tasks on upstreams over HTTP and reports how each attempt ended.
 *
 * A request is sent at most once.  It is a POST on a kept-alive connection.
 * Its message is flagged as idempotent, since otherwise libsoup would not
 * reuse a connection for it.  Despite the flag libsoup never resends a POST.
 * Lease renewals and stops are batched, one message for each upstream.
 */
#ifndef TRANSPORT_UPSTREAM_CLIENT_H
#define TRANSPORT_UPSTREAM_CLIENT_H

#include "coordination/outcome.h"
#include "state/job.h"
#include "state/upstream.h"

#include <glib.h>

struct upstream_client;
struct upstream_client_owner;

struct upstream_client_owner_ops
{
  /* Whether the start of TASK may still be sent.  Called right before it is
     written.  */
  gboolean (*may_send) (struct upstream_client_owner *owner,
                        struct task *task);

  /* The attempt to run TASK has ended in END.  OUTPUT is borrowed; it is set
     for ATTEMPT_ANSWER_DONE, else NULL.  */
  void (*attempt_ended) (struct upstream_client_owner *owner,
                         struct task *task, enum attempt_end end,
                         GBytes *output);

  /* UPSTREAM has answered a renewal, so the leases of its tasks hold until
     DEADLINE_US, a reading of clock_now_us ().  */
  void (*leases_renewed) (struct upstream_client_owner *owner,
                          struct upstream *upstream, gint64 deadline_us);
};

/* Embedded in the struct of the client's owner.  */
struct upstream_client_owner
{
  const struct upstream_client_owner_ops *ops;
};

/* The numbers of messages sent.  */
struct upstream_client_counts
{
  guint64 starts;
  guint64 renewals;
  guint64 stops;
};

/* Creates a client that reports to OWNER, which must outlive it.  */
struct upstream_client *
upstream_client_new (struct upstream_client_owner *owner);

/* Cancels every request in flight without reporting it.  */
void upstream_client_free (struct upstream_client *client);

/* Starts TASK on task->upstream.  SERVICE sets the lease and the largest
   output.  The end is reported by attempt_ended (), later.  */
void upstream_client_start (struct upstream_client *client, struct task *task,
                            const struct service *service);

/* Stops TASK.  If its start is not sent yet, it is withdrawn.  Otherwise a
   stop is sent from the main loop, in one message with other stops for the
   same upstream.  In both cases attempt_ended () reports the end.  */
void upstream_client_stop (struct upstream_client *client, struct task *task);

/* Renews for LEASE_MS milliseconds the leases of the tasks that run on
   UPSTREAM for active jobs.  */
void upstream_client_renew (struct upstream_client *client,
                            struct upstream *upstream, guint lease_ms);

const struct upstream_client_counts *
upstream_client_get_counts (const struct upstream_client *client);

#endif
