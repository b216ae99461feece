/*
 * Divides the slots of one service's upstreams among the entry VMs of an
 * availability zone.
 *
 * - Base slots: each live VM owns an equal number of the slots of each
 *   upstream.  Rendezvous hashing assigns the remainder of the division.
 * - Changes: when the list of live VMs changes, a VM with fewer base slots
 *   gives them up at once.  A VM with more waits for SHARE_GROW_DELAY_US, by
 *   when the others have given theirs up.
 * - Loans: a VM lends idle slots under a lease.  The lender does not use them
 *   until the lease has certainly expired at the borrower.
 *
 * While VMs have different lists of live VMs, their shares may overlap.  An
 * upstream then refuses the tasks that exceed its slots.
 *
 * Does no I/O.  Times are readings of clock_now_us (), in microseconds.
 */
#ifndef BENCH_SHARE_SHARE_H
#define BENCH_SHARE_SHARE_H

#include "base/clock.h"

#include <glib.h>

/* Delay from a change of the list of live VMs until base slots grow.  */
#define SHARE_GROW_DELAY_US (3 * USEC_PER_SEC)

/* Length of the lease of lent slots.  */
#define SHARE_LEASE_US (500 * USEC_PER_MSEC)

struct share_table;
struct share_driver;

struct share_driver_ops
{
  /* Limits this VM to SHARE slots of the upstream until DEADLINE_US, when the
     first of its borrowed slots expire.  DEADLINE_NEVER without any.  */
  void (*set_share) (struct share_driver *driver, const char *upstream,
                     guint share, gint64 deadline_us);

  /* The number of slots of the upstream that this VM's tasks occupy.  */
  guint (*count_used_slots) (struct share_driver *driver,
                             const char *upstream);
};

/* The first member of every driver.  */
struct share_driver
{
  const struct share_driver_ops *ops;
};

/* Slots of one upstream as the lender grants them to another VM.  The
   borrower adds the expiry in share_table_borrow ().  */
struct share_lease
{
  const char *upstream; /* owned by the lender's table */
  guint n_slots;
};

/* A table for the VM named VM, without upstreams and with VM as the only live
   VM.  DRIVER must outlive it.  Free with share_table_free ().  */
struct share_table *share_table_new (struct share_driver *driver,
                                     const char *vm);
void share_table_free (struct share_table *table);

/* Adds an upstream with SLOTS slots, or changes the number of its slots.  */
void share_table_set_upstream (struct share_table *table, const char *name,
                               guint slots, gint64 now_us);

/* Sets the names of the live VMs of the zone, which include this one.  An
   empty list stands for this VM alone.  */
void share_table_set_vms (struct share_table *table, const char *const *vms,
                          guint n_vms, gint64 now_us);

/*
 * Lends up to N_WANTED of this VM's own idle slots until NOW_US plus
 * SHARE_LEASE_US.  Returns an array of struct share_lease, which the caller
 * owns and which may be empty.
 */
GArray *share_table_lend (struct share_table *table, guint n_wanted,
                          gint64 now_us);

/* Adds the slots of LEASE, which this VM requested at REQUEST_US.  They expire
   SHARE_LEASE_US after the request, hence before the lender takes them back.
   Does nothing if that time has passed or the upstream is unknown.  */
void share_table_borrow (struct share_table *table,
                         const struct share_lease *lease, gint64 request_us,
                         gint64 now_us);

/* Removes expired loans and lets base slots grow when their delay is over.
   Returns the time of the next call, or DEADLINE_NEVER.  */
gint64 share_table_advance (struct share_table *table, gint64 now_us);

#endif
