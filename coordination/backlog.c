#include "coordination/backlog.h"

static gint64 *
find_step (struct backlog *backlog, gint64 step)
{
  return &backlog->work_us[step % BACKLOG_N_STEPS];
}

/* Counts the steps that have passed as overdue.  */
static void
move_on (struct backlog *backlog, gint64 now_us)
{
  gint64 step = now_us / BACKLOG_STEP_US;
  gint64 n_passed = MIN (step - backlog->first_step, BACKLOG_N_STEPS);

  for (gint64 i = 0; i < n_passed; i++)
    {
      gint64 *work_us = find_step (backlog, backlog->first_step + i);

      backlog->overdue_us += *work_us;
      *work_us = 0;
    }
  backlog->first_step = MAX (backlog->first_step, step);
}

static gint64
clamp_step (const struct backlog *backlog, gint64 due_us)
{
  gint64 last = backlog->first_step + BACKLOG_N_STEPS - 1;

  return MIN (due_us / BACKLOG_STEP_US, last);
}

gint64
backlog_add (struct backlog *backlog, gint64 due_us, gint64 work_us,
             gint64 now_us)
{
  gint64 step;

  move_on (backlog, now_us);
  step = clamp_step (backlog, due_us);
  if (step < backlog->first_step)
    backlog->overdue_us += work_us;
  else
    *find_step (backlog, step) += work_us;
  return step;
}

void
backlog_remove (struct backlog *backlog, gint64 step, gint64 work_us)
{
  if (step < backlog->first_step)
    backlog->overdue_us -= work_us;
  else
    *find_step (backlog, step) -= work_us;
}

gint64
backlog_sum_us (struct backlog *backlog, gint64 due_us, gint64 now_us)
{
  gint64 sum_us;
  gint64 last;

  move_on (backlog, now_us);
  sum_us = backlog->overdue_us;
  last = clamp_step (backlog, due_us);
  for (gint64 step = backlog->first_step; step <= last; step++)
    sum_us += *find_step (backlog, step);
  return sum_us;
}

gint64
backlog_find_excess_us (struct backlog *backlog, gint64 due_us, gint64 work_us,
                        gint64 busy_us, guint n_slots, gdouble speed,
                        gint64 now_us)
{
  gint64 sum_us;
  gint64 due;
  gint64 excess_us = G_MININT64;

  move_on (backlog, now_us);
  sum_us = backlog->overdue_us + busy_us + work_us;
  due = clamp_step (backlog, due_us);
  for (gint64 i = 0; i < BACKLOG_N_STEPS; i++)
    {
      gint64 step = backlog->first_step + i;
      gint64 left_us = (step + 1) * BACKLOG_STEP_US - now_us;
      gdouble capacity_us = (gdouble)left_us * n_slots * speed;

      sum_us += *find_step (backlog, step);
      if (step >= due)
        excess_us = MAX (excess_us, sum_us - (gint64)capacity_us);
    }
  return excess_us;
}
