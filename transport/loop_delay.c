#include "transport/loop_delay.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"

#define INTERVAL_MS 100

struct loop_delay
{
  guint timer;
  gint64 due_us; /* when the timer is to be called next */
  gint64 max_delay_us;
};

static gboolean
on_timer (gpointer data)
{
  struct loop_delay *delay = data;
  gint64 now_us = clock_now_us ();
  gint64 late_us = MAX (now_us - delay->due_us, 0);

  delay->due_us = now_us + INTERVAL_MS * USEC_PER_MSEC;
  delay->max_delay_us = MAX (delay->max_delay_us, late_us);
  metrics_record (METRIC_LOOP_DELAY_SECONDS, late_us);
  if (late_us >= LOOP_DELAY_LATE_US)
    event_log_fields (EVENT_LOOP_LATE,
                      FIELD_INT ("ms", late_us / USEC_PER_MSEC));
  return G_SOURCE_CONTINUE;
}

struct loop_delay *
loop_delay_new (void)
{
  struct loop_delay *delay = g_new0 (struct loop_delay, 1);

  delay->due_us = clock_now_us () + INTERVAL_MS * USEC_PER_MSEC;
  delay->timer = g_timeout_add (INTERVAL_MS, on_timer, delay);
  return delay;
}

void
loop_delay_free (struct loop_delay *delay)
{
  g_source_remove (delay->timer);
  g_free (delay);
}

gint64
loop_delay_take_max_us (struct loop_delay *delay)
{
  gint64 max_delay_us = delay->max_delay_us;

  delay->max_delay_us = 0;
  return max_delay_us;
}
