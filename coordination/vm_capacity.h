/*
 * The usable processor capacity of this VM, in thousandths of a core.  Does no
 * I/O.
 *
 * It starts at the VM's processor share.  Once the main loop has run late for
 * two windows in a row it is halved, and again with each further late window,
 * down to an eighth of the share; a pause of VM_CAPACITY_PAUSE_US halves it at
 * once.  When the loop has run on time for a few seconds it is doubled again.
 * A loss soon after such a raise doubles the time that the next raise takes,
 * so that a VM which is overloaded by what it gets back does not swing between
 * two states.
 */
#ifndef COORDINATION_VM_CAPACITY_H
#define COORDINATION_VM_CAPACITY_H

#include <glib.h>

/* Length of a window.  Two windows, a beacon (150 ms) and a request must fit
   into the two seconds within which a slow VM gives up shards.  */
#define VM_CAPACITY_WINDOW_US (400 * G_GINT64_CONSTANT (1000))

/* One delay of this length counts as a pause.  */
#define VM_CAPACITY_PAUSE_US (500 * G_GINT64_CONSTANT (1000))

/* The time on schedule after which the capacity is raised, unless it was
   lowered soon after the last raise.  */
#define VM_CAPACITY_RAISE_US (3 * G_GINT64_CONSTANT (1000000))

struct vm_capacity
{
  guint share;          /* thousandths of a core; 0 for not known */
  guint n_halvings;     /* by which the capacity is below the share */
  guint n_late_windows; /* in a row */
  gint64 late_us;       /* sum of the delays in the present window */
  gint64 window_end_us; /* 0 before the first update */
  gint64 good_since_us; /* since when the loop has run on time */
  gint64 raised_us;     /* time of the last raise; 0 for none */
  gint64 raise_wait_us; /* time on schedule before the next raise */
};

/* Initializes CAPACITY for a VM with a share of CORES processor cores; 0 if
   that is not known.  */
void vm_capacity_init (struct vm_capacity *capacity, gdouble cores);

/* The main loop was late by LATE_US, or was on time (0), since the last call.
   To be called several times a window.  Returns whether the capacity has
   changed.  */
gboolean vm_capacity_update (struct vm_capacity *capacity, gint64 late_us,
                             gint64 now_us);

/* In thousandths of a core; 0 if the share is not known.  */
guint vm_capacity_get (const struct vm_capacity *capacity);

#endif
