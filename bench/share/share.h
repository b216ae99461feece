/*
 * Shares of the slots of one service's upstreams among the entry VMs of an
 * availability zone.
 *
 * Every live VM holds an even part of each upstream's slots; rendezvous
 * hashing gives out what does not divide evenly.  When the view of the VMs
 * changes, a part shrinks at once and grows after SHARE_GROW_DELAY_US, by when
 * the others have shrunk theirs.  A VM lends slots that it does not use under
 * a lease; the lender counts them as gone until the lease is surely over for
 * the borrower.  Views that differ lead to an overlap, which an upstream
 * answers by a refusal.
 *
 * Free of I/O.  Times are readings of clock_now_us ().
 */
#ifndef BENCH_SHARE_SHARE_H
#define BENCH_SHARE_SHARE_H

#include "base/clock.h"

#include <glib.h>

/* A part grows this long after the view has changed.  */
#define SHARE_GROW_DELAY_US (3 * USEC_PER_SEC)

/* How long lent slots stay lent.  */
#define SHARE_LEASE_US (500 * USEC_PER_MSEC)

struct share_table;
struct share_driver;

struct share_driver_ops
{
  /* This VM may use SHARE slots of the upstream until DEADLINE_US.  */
  void (*set_share) (struct share_driver *driver, const char *upstream,
                     guint share, gint64 deadline_us);

  /* The slots of the upstream that this VM uses now.  */
  guint (*count_used) (struct share_driver *driver, const char *upstream);
};

/* The first member of every driver.  */
struct share_driver
{
  const struct share_driver_ops *ops;
};

/* Slots of one upstream, lent.  */
struct share_lease
{
  const char *upstream; /* owned by the lender's table */
  guint n_slots;
};

/* The shares of VM, without upstreams and without others.  DRIVER must outlive
   it.  */
struct share_table *share_table_new (struct share_driver *driver,
                                     const char *vm);
void share_table_free (struct share_table *table);

/* Adds an upstream with SLOTS slots, or changes their number.  */
void share_table_set_upstream (struct share_table *table, const char *name,
                               guint slots, gint64 now_us);

/* Sets the live VMs of the zone, this one included.  */
void share_table_set_vms (struct share_table *table, const char *const *vms,
                          guint n_vms, gint64 now_us);

/*
 * Lends up to WANTED unused slots until NOW_US plus SHARE_LEASE_US.  Returns
 * an array of struct share_lease, which the caller owns.
 */
GArray *share_table_lend (struct share_table *table, guint wanted,
                          gint64 now_us);

/* Takes LEASE over, which was asked for at ASKED_US; it ends SHARE_LEASE_US
   after that, before the lender counts it as ended.  */
void share_table_borrow (struct share_table *table,
                         const struct share_lease *lease, gint64 asked_us,
                         gint64 now_us);

/* Ends what is over.  Returns when it is to be called again.  */
gint64 share_table_advance (struct share_table *table, gint64 now_us);

#endif
