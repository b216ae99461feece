#include "transport/drain.h"

#include "base/clock.h"

/* The shortest time for which new jobs are refused before the process ends, so
   that callers learn of the drain.  */
#define MIN_REFUSE_US (1500 * USEC_PER_MSEC)

/* How long after the drain's deadline answers may still be written.  */
#define WRITE_TIMEOUT_US (2 * USEC_PER_SEC)

/* How often the drain checks whether every request is answered.  */
#define POLL_MS 20

/* The drain ends after this many such checks in a row have succeeded.  */
#define MIN_IDLE_POLLS 5

struct drain
{
  struct drain_parts parts;
  gint64 refuse_until_us;
  gint64 deadline_us;
  gint64 give_up_us;         /* ends then even if answers are not written */
  gboolean is_past_deadline; /* jobs were aborted */
  gboolean are_jobs_done;
  guint n_idle_polls;
  guint poll_source;
  void (*finished) (gpointer data);
  gpointer data;
};

static gboolean
is_idle (const struct drain *drain)
{
  const struct drain_parts *parts = &drain->parts;

  return drain->are_jobs_done && forward_count_requests (parts->forward) == 0
         && peer_hub_count_requests (parts->hub) == 0
         && caller_server_count_requests (parts->caller_server) == 0;
}

static gboolean
on_poll (gpointer data)
{
  struct drain *drain = data;
  gint64 now_us = clock_now_us ();

  if (now_us >= drain->deadline_us && !drain->are_jobs_done
      && !drain->is_past_deadline)
    {
      drain->is_past_deadline = TRUE;
      home_abort_jobs (drain->parts.home);
    }
  if (now_us < drain->give_up_us)
    {
      if (now_us < drain->refuse_until_us || !is_idle (drain))
        {
          drain->n_idle_polls = 0;
          return G_SOURCE_CONTINUE;
        }
      caller_server_stop_accepting (drain->parts.caller_server);
      if (++drain->n_idle_polls < MIN_IDLE_POLLS)
        return G_SOURCE_CONTINUE;
    }
  drain->poll_source = 0;
  drain->finished (drain->data);
  return G_SOURCE_REMOVE;
}

static void
on_jobs_done (gpointer data)
{
  struct drain *drain = data;

  drain->are_jobs_done = TRUE;
}

struct drain *
drain_new (const struct drain_parts *parts, gint64 deadline_us,
           void (*finished) (gpointer data), gpointer data)
{
  struct drain *drain = g_new0 (struct drain, 1);

  drain->parts = *parts;
  drain->refuse_until_us = clock_now_us () + MIN_REFUSE_US;
  drain->deadline_us = deadline_us;
  drain->give_up_us
      = MAX (deadline_us, drain->refuse_until_us) + WRITE_TIMEOUT_US;
  drain->finished = finished;
  drain->data = data;
  peer_hub_set_leaving (parts->hub);
  home_drain (parts->home, on_jobs_done, drain);
  drain->poll_source = g_timeout_add (POLL_MS, on_poll, drain);
  return drain;
}

void
drain_free (struct drain *drain)
{
  if (drain->poll_source != 0)
    g_source_remove (drain->poll_source);
  g_free (drain);
}
