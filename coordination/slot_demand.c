#include "coordination/slot_demand.h"

#include "base/clock.h"

#define BUCKET_US (200 * USEC_PER_MSEC)

/* The first jobs count as if they had taken this long to arrive: the rate of
   fewer is arbitrary.  */
#define MIN_TIME_US (200 * USEC_PER_MSEC)

/* The demand for the service, or the one to replace.  */
static struct service_demand *
get_service (struct slot_demand *demand, guint64 service_hash)
{
  struct service_demand *oldest = &demand->services[0];

  for (guint i = 0; i < demand->n; i++)
    {
      struct service_demand *service = &demand->services[i];

      if (service->service_hash == service_hash)
        return service;
      if (service->bucket < oldest->bucket)
        oldest = service;
    }
  if (demand->n < SLOT_DEMAND_MAX_SERVICES)
    oldest = &demand->services[demand->n++];
  *oldest = (struct service_demand){ .service_hash = service_hash };
  return oldest;
}

void
slot_demand_count (struct slot_demand *demand, guint64 service_hash,
                   guint n_tasks, gint64 run_us, gint64 now_us)
{
  struct service_demand *service = get_service (demand, service_hash);
  gint64 bucket = now_us / BUCKET_US;
  gint64 first = MAX (service->bucket + 1, bucket - SLOT_DEMAND_BUCKETS + 1);

  if (demand->since_us == 0)
    demand->since_us = now_us;
  for (gint64 i = first; i <= bucket; i++)
    {
      service->work_us[i % SLOT_DEMAND_BUCKETS] = 0;
      service->n_tasks[i % SLOT_DEMAND_BUCKETS] = 0;
    }
  service->bucket = MAX (service->bucket, bucket);
  service->work_us[bucket % SLOT_DEMAND_BUCKETS] += n_tasks * run_us;
  service->n_tasks[bucket % SLOT_DEMAND_BUCKETS] += n_tasks;
}

gdouble
slot_demand_get (const struct slot_demand *demand, guint64 service_hash,
                 gint64 now_us, gint64 *run_us)
{
  gint64 first = now_us / BUCKET_US - SLOT_DEMAND_BUCKETS + 1;
  gint64 since_us = MAX (first * BUCKET_US, demand->since_us);
  gint64 work_us = 0;
  guint n_tasks = 0;

  for (guint i = 0; i < demand->n; i++)
    {
      const struct service_demand *service = &demand->services[i];

      if (service->service_hash != service_hash)
        continue;
      for (gint64 k = MAX (first, service->bucket - SLOT_DEMAND_BUCKETS + 1);
           k <= service->bucket; k++)
        {
          work_us += service->work_us[k % SLOT_DEMAND_BUCKETS];
          n_tasks += service->n_tasks[k % SLOT_DEMAND_BUCKETS];
        }
    }
  *run_us = n_tasks > 0 ? work_us / n_tasks : 0;
  return (gdouble)work_us / (gdouble)MAX (now_us - since_us, MIN_TIME_US);
}
