#include "base/loop_turn.h"

#include "base/clock.h"

struct loop_turn
{
  GSource source;
  gint64 began_us;   /* the present turn of the loop, before it polls */
  gint64 former_us;  /* the turn before it */
  gint64 settled_us; /* the turn before that: a source of high priority may
                        delay the others by a turn */
};

static struct loop_turn *turn;

/* Called once in each turn, before the descriptors are polled.  */
static gboolean
prepare (GSource *source, int *timeout_ms)
{
  *timeout_ms = -1;
  turn->settled_us = turn->former_us;
  turn->former_us = turn->began_us;
  turn->began_us = clock_now_us ();
  return FALSE;
}

static gboolean
check (GSource *source)
{
  return FALSE;
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs funcs = { prepare, check, dispatch, NULL, NULL, NULL };

void
loop_turn_follow (void)
{
  GSource *source;

  if (turn != NULL)
    return;
  source = g_source_new (&funcs, sizeof (struct loop_turn));
  turn = (struct loop_turn *)source;
  g_source_attach (source, NULL);
}

gint64
loop_turn_get_settled_us (void)
{
  return turn != NULL ? turn->settled_us : 0;
}
