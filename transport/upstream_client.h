/*
 * Starts tasks on upstreams over HTTP and reports how each attempt ended.
 *
 * A request is written at most once: POST on a kept-alive connection, flagged
 * so that the library reuses connections, which it never repeats.  Requests
 * for leases and stops are batched per upstream.
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
  /* Whether the start of TASK may be written now.  */
  gboolean (*may_send) (struct upstream_client_owner *owner,
                        struct task *task);

  /* The attempt on TASK has ended.  OUTPUT is set for a task that is done.  */
  void (*attempt_ended) (struct upstream_client_owner *owner,
                         struct task *task, enum attempt_end end,
                         GBytes *output);

  /* The leases on UPSTREAM that were asked for hold until DEADLINE_US.  */
  void (*leases_renewed) (struct upstream_client_owner *owner,
                          struct upstream *upstream, gint64 deadline_us);
};

/* The first member of the client's owner.  */
struct upstream_client_owner
{
  const struct upstream_client_owner_ops *ops;
};

/* Messages sent, by kind.  */
struct upstream_client_counts
{
  guint64 starts;
  guint64 renewals;
  guint64 stops;
};

/* A client that reports to OWNER, which must outlive it.  */
struct upstream_client *
upstream_client_new (struct upstream_client_owner *owner);

/* Drops every request in flight without reporting it.  */
void upstream_client_free (struct upstream_client *client);

/* Starts TASK on task->upstream; OUTPUT_LIMIT bounds its output, in bytes.  */
void upstream_client_start (struct upstream_client *client, struct task *task,
                            const struct service *service);

/* Asks for TASK to be stopped; sent with others in one message.  */
void upstream_client_stop (struct upstream_client *client, struct task *task);

/* Renews for LEASE_MS the leases of the tasks that run on UPSTREAM for jobs
   that are still active.  */
void upstream_client_renew (struct upstream_client *client,
                            struct upstream *upstream, guint lease_ms);

const struct upstream_client_counts *
upstream_client_get_counts (const struct upstream_client *client);

#endif
