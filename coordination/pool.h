/*
 * A pool: the upstreams of one service and the tasks that wait for them.
 *
 * Pools are made and changed by the dispatcher when a document comes into
 * force.
 */
#ifndef COORDINATION_POOL_H
#define COORDINATION_POOL_H

#include "base/list.h"
#include "state/document.h"
#include "state/job.h"
#include "state/upstream.h"

struct pool
{
  char *team;
  char *service_name;
  struct document *document; /* referenced */
  struct service *service;   /* owned by the document; NULL once dropped */
  GPtrArray *upstreams;      /* struct upstream, referenced */
  struct list_node queue;    /* struct task by queue_link */
  guint n_queued;
};

/* A new pool without upstreams.  */
struct pool *pool_new (const char *team, const char *service_name);
void pool_free (struct pool *pool);

/*
 * Takes over the service of the pool's name from DOCUMENT.  Upstreams whose
 * name and address stay keep their running tasks; the others are marked
 * removed and live on until their tasks have ended.
 */
void pool_apply_document (struct pool *pool, struct document *document);

void pool_enqueue (struct pool *pool, struct task *task);
void pool_dequeue (struct pool *pool, struct task *task);

#endif
