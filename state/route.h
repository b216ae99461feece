/*
 * The routes of callers' requests: which queue a path belongs to.
 *
 * A table is immutable once it is in force and shared by reference count.
 */
#ifndef STATE_ROUTE_H
#define STATE_ROUTE_H

#include <glib.h>

/* One queue of jobs.  */
struct route
{
  char *name;
  char *host;
  char *prefix;
  char *service;
  guint priority;   /* 0 goes first */
  guint attempts;   /* failed runs of a task before its job fails */
  gdouble stretch;  /* the objective in run times of the longest task */
  guint goal_ms;    /* added to the objective */
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

/* Adds a route for HOST and PREFIX, owned by TABLE, with one attempt.  */
struct route *route_table_add (struct route_table *table, const char *host,
                               const char *prefix);

/* The route of HOST whose prefix is the longest that PATH begins with, or
   NULL.  A port in HOST, and the case of its letters, do not count.  */
const struct route *route_table_find (const struct route_table *table,
                                      const char *host, const char *path);

/* Whether a route of TABLE leads to SERVICE.  */
gboolean route_table_has_service (const struct route_table *table,
                                  const char *service);

#endif
