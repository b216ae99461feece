/*
 * One team on this VM: its document, its quota and its resource usage.
 */
#ifndef COORDINATION_TEAM_H
#define COORDINATION_TEAM_H

#include "coordination/quota.h"
#include "state/document.h"

struct team
{
  char *name;
  struct document *document; /* in force, referenced; NULL before the first */
  struct quota quota;
  GPtrArray *pools;      /* struct pool, not owned */
  gsize bytes;           /* memory of its unfinished jobs */
  gboolean is_throttled; /* its quota has denied a start */
};

struct team *team_new (const char *name);
void team_free (struct team *team);

/* Puts DOCUMENT in force, with its quota; takes a reference.  */
void team_apply_document (struct team *team, struct document *document);

/* The weight of each of TEAM's pools in the sharing of hosts: the team's
   weight divided by the number of its pools, times a constant; at least 1.  */
guint team_get_pool_weight (const struct team *team);

#endif
