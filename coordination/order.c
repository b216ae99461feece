#include "coordination/order.h"

#include "base/clock.h"

/* Delay of a job's key per unit of its queued work.  */
#define AGEING_FACTOR 2

static gint64
compute_fifo_key (const struct job *job)
{
  return job->accepted_us;
}

/*
 * The less queued work a job has, the earlier it is served.  The key is never
 * later than the time by which the job should start to meet its deadline.
 */
static gint64
compute_remaining_key (const struct job *job)
{
  gint64 ageing_us = job->queued_work_us * AGEING_FACTOR;
  gint64 key = job->accepted_us + MIN (ageing_us, ORDER_MAX_AGEING_US);

  return MIN (key, job->start_by_us);
}

static const struct order_ops fifo = { "fifo", compute_fifo_key };
static const struct order_ops fewest_remaining
    = { "fewest-remaining", compute_remaining_key };

static const struct order_ops *const orders[]
    = { &fewest_remaining, &fifo, NULL };

const struct order_ops *const *
order_list (void)
{
  return orders;
}

const struct order_ops *
order_find (const char *name)
{
  for (guint i = 0; orders[i] != NULL; i++)
    {
      if (g_str_equal (orders[i]->name, name))
        return orders[i];
    }
  return NULL;
}
