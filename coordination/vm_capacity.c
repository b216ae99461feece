#include "coordination/vm_capacity.h"

#include "base/clock.h"

#define MILLI 1000.0

/* A window is late when its delays add up to this share of it, and on time
   below GOOD_SHARE.  A VM that uses up its processor quota is stopped for most
   of each period of 100 ms, and a timer of 50 ms is late for half of it.  */
#define LATE_SHARE 0.3
#define GOOD_SHARE 0.1

#define N_LATE_WINDOWS 2
#define MAX_HALVINGS 3

/* The longest time on schedule that a raise waits for.  */
#define MAX_RAISE_WAIT_US (60 * USEC_PER_SEC)

/* A loss within this time after a raise makes the next raise wait longer.  */
#define RELAPSE_US (10 * USEC_PER_SEC)

void
vm_capacity_init (struct vm_capacity *capacity, gdouble cores)
{
  *capacity = (struct vm_capacity){ .raise_wait_us = VM_CAPACITY_RAISE_US };
  if (cores > 0)
    capacity->share = MAX ((guint)(cores * MILLI + 0.5), 1);
}

guint
vm_capacity_get (const struct vm_capacity *capacity)
{
  if (capacity->share == 0)
    return 0;
  return MAX (capacity->share >> capacity->n_halvings, 1);
}

static void
lower (struct vm_capacity *c, gint64 now_us)
{
  if (c->raised_us != 0 && now_us - c->raised_us < RELAPSE_US)
    c->raise_wait_us = MIN (c->raise_wait_us * 2, MAX_RAISE_WAIT_US);
  c->raised_us = 0;
  c->n_halvings = MIN (c->n_halvings + 1, MAX_HALVINGS);
}

static void
raise_if_due (struct vm_capacity *c, gint64 now_us)
{
  gint64 good_us = now_us - c->good_since_us;

  if (c->n_halvings == 0 && good_us >= MAX_RAISE_WAIT_US)
    c->raise_wait_us = VM_CAPACITY_RAISE_US;
  if (c->n_halvings == 0 || good_us < c->raise_wait_us)
    return;
  c->n_halvings--;
  c->raised_us = now_us;
  c->good_since_us = now_us;
}

static void
start_window (struct vm_capacity *c, gint64 now_us)
{
  c->late_us = 0;
  c->window_end_us = now_us + VM_CAPACITY_WINDOW_US;
}

static void
end_window (struct vm_capacity *c, gint64 now_us)
{
  gdouble late_share = (gdouble)c->late_us / VM_CAPACITY_WINDOW_US;

  c->n_late_windows = late_share >= LATE_SHARE ? c->n_late_windows + 1 : 0;
  if (late_share >= GOOD_SHARE)
    c->good_since_us = now_us;
  if (c->n_late_windows >= N_LATE_WINDOWS)
    lower (c, now_us);
  raise_if_due (c, now_us);
  start_window (c, now_us);
}

gboolean
vm_capacity_update (struct vm_capacity *capacity, gint64 late_us,
                    gint64 now_us)
{
  guint before = vm_capacity_get (capacity);

  if (capacity->window_end_us == 0)
    {
      capacity->good_since_us = now_us;
      start_window (capacity, now_us);
    }
  capacity->late_us += late_us;
  if (late_us >= VM_CAPACITY_PAUSE_US)
    {
      lower (capacity, now_us);
      capacity->good_since_us = now_us;
      start_window (capacity, now_us);
    }
  else if (now_us >= capacity->window_end_us)
    end_window (capacity, now_us);
  return vm_capacity_get (capacity) != before;
}
