#include "base/loop_timer.h"

#include "base/clock.h"

struct loop_timer
{
  GSource source;
  gint64 when_us;
  void (*callback) (gpointer data);
  gpointer data;
};

static gboolean
prepare (GSource *source, int *timeout_ms)
{
  const struct loop_timer *timer = (struct loop_timer *)source;
  gint64 left_us;

  *timeout_ms = -1;
  if (timer->when_us == DEADLINE_NEVER)
    return FALSE;
  left_us = timer->when_us - clock_now_us ();
  if (left_us <= 0)
    {
      *timeout_ms = 0;
      return TRUE;
    }
  left_us += USEC_PER_MSEC - 1;
  *timeout_ms = (int)MIN (left_us / USEC_PER_MSEC, (gint64)G_MAXINT);
  return FALSE;
}

static gboolean
check (GSource *source)
{
  const struct loop_timer *timer = (struct loop_timer *)source;

  return timer->when_us != DEADLINE_NEVER && timer->when_us <= clock_now_us ();
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct loop_timer *timer = (struct loop_timer *)source;

  timer->when_us = DEADLINE_NEVER;
  timer->callback (timer->data);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs funcs = { prepare, check, dispatch, NULL, NULL, NULL };

struct loop_timer *
loop_timer_new (void (*callback) (gpointer data), gpointer data)
{
  GSource *source = g_source_new (&funcs, sizeof (struct loop_timer));
  struct loop_timer *timer = (struct loop_timer *)source;

  timer->when_us = DEADLINE_NEVER;
  timer->callback = callback;
  timer->data = data;
  g_source_attach (source, NULL);
  return timer;
}

void
loop_timer_free (struct loop_timer *timer)
{
  g_source_destroy (&timer->source);
  g_source_unref (&timer->source);
}

void
loop_timer_set (struct loop_timer *timer, gint64 when_us)
{
  timer->when_us = when_us;
}

void
loop_source_attach (GSource *source)
{
  g_source_set_can_recurse (source, TRUE);
  g_source_attach (source, NULL);
}
