/*
 * A host: one address that upstreams of several teams may name.
 *
 * Teams whose documents name the same address compete for its slots.  A host
 * counts the tasks of all of them, and shares its slots among those that wait
 * by weighted fair queueing: each upstream that names the host has a virtual
 * time, in microseconds of slot time over weight, and the lowest goes first.
 * An upstream that has been idle comes back with at most HOST_CREDIT_US of
 * advantage.
 */
#ifndef COORDINATION_HOST_H
#define COORDINATION_HOST_H

#include "state/upstream.h"

/* The most by which an idle upstream's virtual time may lag behind.  */
#define HOST_CREDIT_US (G_GINT64_CONSTANT (500000))

struct host
{
  char *address;
  guint slots;     /* the largest that an upstream names */
  guint n_running; /* tasks of this VM, of all teams */
  gint64 virtual_us;
  gboolean is_indexed_full;   /* what its upstreams' indexes tell */
  struct list_node upstreams; /* struct upstream by host_link */
};

/* The hosts by address.  */
GHashTable *host_table_new (void);

/* Makes UPSTREAM one of its address's host.  */
void host_attach (GHashTable *hosts, struct upstream *upstream);

/* Undoes host_attach; the last one frees the host.  */
void host_detach (GHashTable *hosts, struct upstream *upstream);

/* Sets the slots of HOST anew after a change of its upstreams.  */
void host_update_slots (struct host *host);

static inline gboolean
host_is_full (const struct host *host)
{
  return host->n_running >= host->slots;
}

/* An upstream of HOST that is still in a document, or NULL.  */
struct upstream *host_find_active (const struct host *host);

/* The virtual time at which UPSTREAM competes.  */
gint64 host_get_virtual_us (const struct upstream *upstream);

/* Charges COST_US of slot time, which may be negative, to UPSTREAM.  */
void host_charge (struct upstream *upstream, gint64 cost_us, guint weight);

#endif
