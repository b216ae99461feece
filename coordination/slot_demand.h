/*
 * How many slots the jobs that arrive at a home keep busy, measured over the
 * last two seconds.  Jobs that are late when they arrive do not count.  Does
 * no I/O.
 */
#ifndef COORDINATION_SLOT_DEMAND_H
#define COORDINATION_SLOT_DEMAND_H

#include <glib.h>

/* Services that are kept apart; the one that was counted in least recently is
   replaced.  */
#define SLOT_DEMAND_MAX_SERVICES 64

#define SLOT_DEMAND_BUCKETS 10

/* The demand for one service.  */
struct service_demand
{
  guint64 service_hash;
  gint64 bucket; /* number of the latest bucket of time that was counted in */
  /* By bucket number, as rings.  */
  gint64 work_us[SLOT_DEMAND_BUCKETS];
  guint n_tasks[SLOT_DEMAND_BUCKETS];
};

/* Zeroed memory is a valid demand of no jobs.  */
struct slot_demand
{
  gint64 since_us; /* of the first job */
  guint n;
  struct service_demand services[SLOT_DEMAND_MAX_SERVICES];
};

/* Counts a job for the service with SERVICE_HASH of N_TASKS that take RUN_US
   each, at NOW_US, a reading of clock_now_us ().  */
void slot_demand_count (struct slot_demand *demand, guint64 service_hash,
                        guint n_tasks, gint64 run_us, gint64 now_us);

/* The slots for the service with SERVICE_HASH that the jobs keep busy.  Sets
 *RUN_US to the mean run time of their tasks, 0 without any.  */
gdouble slot_demand_get (const struct slot_demand *demand,
                         guint64 service_hash, gint64 now_us, gint64 *run_us);

#endif
