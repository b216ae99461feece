/*
 * A team's configuration document after validation, as C structures.
 *
 * Documents are immutable once built, and are shared by reference count.  The
 * JSON format and its validation are in protocol/document_json.h.
 */
#ifndef STATE_DOCUMENT_H
#define STATE_DOCUMENT_H

#include <glib.h>

/* The resources that a task needs of an upstream, or that an upstream has.  */
struct shape
{
  gdouble cpus;
  guint memory_mb;
  guint accelerators;
};

/* One upstream as the document describes it.  */
struct upstream_spec
{
  char *name;
  char *address; /* "IP:PORT" */
  char *availability_zone;
  char *rack;
  struct shape shape;
};

struct service
{
  char *name;
  char *placement;          /* name of a placement policy */
  char *order;              /* name of a queueing order */
  guint slots_per_upstream; /* tasks that each upstream runs at once */
  guint connections_per_upstream;
  guint lease_ms;          /* of each task, as asked of the upstream */
  guint max_queued_tasks;  /* per entry VM */
  guint max_input_bytes;   /* of one task */
  guint max_output_bytes;  /* of one task */
  gint64 shutdown_unix_ms; /* DEADLINE_NEVER when none is planned */
  GPtrArray *upstreams;    /* struct upstream_spec, owned */
};

struct document
{
  guint ref_count;
  char *team;
  guint64 version;   /* log offset + 1; 0 for a document not yet published */
  char *edit;        /* id of the edit that published it */
  char *author;      /* who published it */
  guint weight;      /* relative share of hosts among teams, at least 1 */
  guint quota_slots; /* of all entry VMs together; 0 for no limit */
  guint quota_starts_per_second; /* the same; 0 for no limit */
  GPtrArray *services;           /* struct service, owned */
  char *text;                    /* canonical JSON */
};

/* A new empty document with one reference.  */
struct document *document_new (const char *team);

struct document *document_ref (struct document *document);
void document_unref (struct document *document);

/* The service called NAME, or NULL.  Owned by DOCUMENT.  */
struct service *document_find_service (const struct document *document,
                                       const char *name);

/* A new service with default limits, owned by DOCUMENT.  */
struct service *document_add_service (struct document *document,
                                      const char *name);

/* A new upstream with an empty shape, owned by SERVICE.  */
struct upstream_spec *service_add_upstream (struct service *service,
                                            const char *name,
                                            const char *address);

/* Whether HAVE has at least the resources of NEED.  */
gboolean shape_fits (const struct shape *need, const struct shape *have);

#endif
