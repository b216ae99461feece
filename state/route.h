/*
 * Routes of callers' requests: the service, priority and objective of a
 * request by its host and path.
 *
 * A table is immutable once it is in force, and is shared by reference count.
 */
#ifndef STATE_ROUTE_H
#define STATE_ROUTE_H

#include <glib.h>

/* One route: the requests to HOST whose path begins with PREFIX, and how their
   jobs are run.  */
struct route
{
  char *name;
  char *host;
  char *prefix;
  char *service;
  guint priority;   /* 0 is served first */
  guint attempts;   /* failed runs of a task before its job fails */
  gdouble stretch;  /* part of the response time objective: a multiple of the
                       estimated run time of the longest task */
  guint goal_ms;    /* the other part of the objective, added to it */
  guint timeout_ms; /* the longest time that a request may take; 0 for none */
};

struct route_table
{
  guint ref_count;
  guint64 version;
  GPtrArray *routes; /* struct route, owned */
  GHashTable *hosts; /* host -> GPtrArray of struct route, longest prefix
                        first */
};

/* A new empty table with one reference.  */
struct route_table *route_table_new (guint64 version);
struct route_table *route_table_ref (struct route_table *table);
void route_table_unref (struct route_table *table);

/* Adds a route for HOST and PREFIX with one attempt and a stretch of 1.  Owned
   by TABLE.  */
struct route *route_table_add (struct route_table *table, const char *host,
                               const char *prefix);

/* The route of HOST with the longest prefix of PATH, or NULL.  Owned by TABLE.
   Ignores a port in HOST and the case of its letters.  */
const struct route *route_table_find (const struct route_table *table,
                                      const char *host, const char *path);

/* Whether a route of TABLE leads to SERVICE.  */
gboolean route_table_has_service (const struct route_table *table,
                                  const char *service);

#endif
