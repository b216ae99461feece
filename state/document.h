/*
 * A team's configuration document in its checked, typed form.
 *
 * Documents are immutable once built and shared by reference count.  The JSON
 * form and its checks are in protocol/document_json.h.
 */
#ifndef STATE_DOCUMENT_H
#define STATE_DOCUMENT_H

#include <glib.h>

/* What a task needs of an upstream, or what an upstream has.  */
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
  guint slots_per_upstream; /* tasks that run there at once */
  guint connections_per_upstream;
  guint lease_ms;          /* asked of upstreams for each task */
  guint max_queued_tasks;  /* per entry VM */
  guint max_input_bytes;   /* of one task */
  guint max_output_bytes;  /* of one task */
  gint64 shutdown_unix_ms; /* DEADLINE_NEVER when none is announced */
  GPtrArray *upstreams;    /* struct upstream_spec, owned, by name */
};

struct document
{
  guint ref_count;
  char *team;
  guint64 version;   /* log offset + 1; 0 for a document not yet published */
  char *edit;        /* id of the edit that published it */
  char *author;      /* who published it */
  guint weight;      /* share among teams, 1 or more */
  guint quota_slots; /* over all entry VMs; 0 is no limit */
  guint quota_starts_per_second; /* over all entry VMs; 0 is no limit */
  GPtrArray *services;           /* struct service, owned */
  char *text;                    /* canonical JSON */
};

/* A new empty document with one reference.  */
struct document *document_new (const char *team);

struct document *document_ref (struct document *document);
void document_unref (struct document *document);

/* The service of that name, or NULL.  Owned by DOCUMENT.  */
struct service *document_find_service (const struct document *document,
                                       const char *name);

/* A new service with default limits, owned by DOCUMENT.  */
struct service *document_add_service (struct document *document,
                                      const char *name);

/* A new upstream with an empty shape, owned by SERVICE.  */
struct upstream_spec *service_add_upstream (struct service *service,
                                            const char *name,
                                            const char *address);

/* Whether something of shape NEED fits into shape HAVE.  */
gboolean shape_fits (const struct shape *need, const struct shape *have);

#endif
