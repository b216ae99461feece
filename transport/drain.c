#include "transport/drain.h"

#include "base/clock.h"

/* How long callers are refused at least before the VM goes.  */
#define LINGER_US (1500 * USEC_PER_MSEC)

/* How long answers may take to be written after the drain's deadline.  */
#define WRITE_TIMEOUT_US (2 * USEC_PER_SEC)

/* How often it is looked whether all is answered, and how often in a row that
   must hold.  */
#define POLL_MS 20
#define QUIET_POLLS 5

struct drain
{
  struct drain_parts parts;
  gint64 linger_until_us;
  gint64 deadline_us;
  gint64 give_up_us;
  gboolean is_past_deadline;
  gboolean are_jobs_done;
  guint quiet_polls;
  guint source;
  void (*finished) (gpointer data);
  gpointer data;
};

static gboolean
is_quiet (const struct drain *drain)
{
  const struct drain_parts *parts = &drain->parts;

  return drain->are_jobs_done && forward_count (parts->forward) == 0
         && peer_hub_count_requests (parts->hub) == 0
         && caller_server_count_busy (parts->caller_server) == 0;
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
      home_end_jobs (drain->parts.home);
    }
  if (now_us < drain->give_up_us)
    {
      if (now_us < drain->linger_until_us || !is_quiet (drain))
        {
          drain->quiet_polls = 0;
          return G_SOURCE_CONTINUE;
        }
      caller_server_stop_accepting (drain->parts.caller_server);
      if (++drain->quiet_polls < QUIET_POLLS)
        return G_SOURCE_CONTINUE;
    }
  drain->source = 0;
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
  drain->linger_until_us = clock_now_us () + LINGER_US;
  drain->deadline_us = deadline_us;
  drain->give_up_us
      = MAX (deadline_us, drain->linger_until_us) + WRITE_TIMEOUT_US;
  drain->finished = finished;
  drain->data = data;
  peer_hub_set_leaving (parts->hub);
  home_drain (parts->home, on_jobs_done, drain);
  drain->source = g_timeout_add (POLL_MS, on_poll, drain);
  return drain;
}

void
drain_free (struct drain *drain)
{
  if (drain->source != 0)
    g_source_remove (drain->source);
  g_free (drain);
}
