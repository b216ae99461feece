#include "coordination/backlog.h"

static gint64 *
get_bucket (struct backlog *backlog, gint64 bucket)
{
  return &backlog->work_us[bucket % BACKLOG_N_BUCKETS];
}

/* Moves the work of the buckets that have passed to the overdue sum.  */
static void
advance (struct backlog *backlog, gint64 now_us)
{
  gint64 bucket = now_us / BACKLOG_BUCKET_US;
  gint64 n_passed = MIN (bucket - backlog->first_bucket, BACKLOG_N_BUCKETS);

  for (gint64 i = 0; i < n_passed; i++)
    {
      gint64 *work_us = get_bucket (backlog, backlog->first_bucket + i);

      backlog->overdue_us += *work_us;
      *work_us = 0;
    }
  backlog->first_bucket = MAX (backlog->first_bucket, bucket);
}

/* The bucket of DUE_US, or the last one that is kept when it is later.  */
static gint64
clamp_to_last_bucket (const struct backlog *backlog, gint64 due_us)
{
  gint64 last = backlog->first_bucket + BACKLOG_N_BUCKETS - 1;

  return MIN (due_us / BACKLOG_BUCKET_US, last);
}

gint64
backlog_add (struct backlog *backlog, gint64 due_us, gint64 work_us,
             gint64 now_us)
{
  gint64 bucket;

  advance (backlog, now_us);
  bucket = clamp_to_last_bucket (backlog, due_us);
  if (bucket < backlog->first_bucket)
    backlog->overdue_us += work_us;
  else
    *get_bucket (backlog, bucket) += work_us;
  return bucket;
}

void
backlog_remove (struct backlog *backlog, gint64 bucket, gint64 work_us)
{
  if (bucket < backlog->first_bucket)
    backlog->overdue_us -= work_us;
  else
    *get_bucket (backlog, bucket) -= work_us;
}

gint64
backlog_sum_us (struct backlog *backlog, gint64 due_us, gint64 now_us)
{
  gint64 sum_us;
  gint64 last;

  advance (backlog, now_us);
  sum_us = backlog->overdue_us;
  last = clamp_to_last_bucket (backlog, due_us);
  for (gint64 bucket = backlog->first_bucket; bucket <= last; bucket++)
    sum_us += *get_bucket (backlog, bucket);
  return sum_us;
}

gint64
backlog_find_excess_us (struct backlog *backlog, gint64 due_us, gint64 work_us,
                        gint64 busy_us, guint n_slots, gdouble max_load,
                        gint64 now_us)
{
  gint64 sum_us;
  gint64 due;
  gint64 excess_us = G_MININT64;

  advance (backlog, now_us);
  sum_us = backlog->overdue_us + busy_us + work_us;
  due = clamp_to_last_bucket (backlog, due_us);
  for (gint64 i = 0; i < BACKLOG_N_BUCKETS; i++)
    {
      gint64 bucket = backlog->first_bucket + i;
      gint64 left_us = (bucket + 1) * BACKLOG_BUCKET_US - now_us;
      gdouble capacity_us = (gdouble)left_us * n_slots * max_load;

      sum_us += *get_bucket (backlog, bucket);
      if (bucket >= due)
        excess_us = MAX (excess_us, sum_us - (gint64)capacity_us);
    }
  return excess_us;
}
