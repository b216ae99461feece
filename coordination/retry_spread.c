#include "coordination/retry_spread.h"

#include "base/hash64.h"

/* Returning jobs may take one in this many starts.  In the load model (t2191,
   ten seeds), 0.45 of the jobs refused in a burst were in time when all of
   them returned without a spread, 0.52 with a divisor of 4, 0.68 with 8 and
   0.74 with 16; the worth of all jobs in time was 30.5, 30.6, 32.1 and 31.5.
 */
#define RETURN_STARTS_DIVISOR 8

/* A refused job that has not returned by this time has not returned at all: a
   second after the longest time that a caller is asked to wait.  Returns count
   no sooner, or the share would be too high while refusals become more
   frequent.  */
#define RETURN_TIMEOUT_US (RETRY_SPREAD_MAX_MS * USEC_PER_MSEC + USEC_PER_SEC)

/* All refused jobs are expected to return before any outcome is known, which
   is as if this many had.  */
#define ASSUMED_RETURNS 8

/* Outcomes are halved in weight when there are this many.  */
#define MAX_OUTCOMES 256

struct refused_job
{
  guint64 job;
  gint64 timeout_us;
  guint n_returned; /* jobs of all homes that its return here stands for; 0 if
                       it has not returned */
};

struct retry_spread
{
  struct refused_job jobs[RETRY_SPREAD_JOBS_MAX]; /* ring, oldest first */
  guint first;
  guint n;
  gdouble n_outcomes;     /* refused jobs that have timed out */
  gdouble n_returned;     /* of these, estimated for all homes */
  gint64 booked_until_us; /* by then all returning jobs will have started */
};

struct retry_spread *
retry_spread_new (void)
{
  return g_new0 (struct retry_spread, 1);
}

void
retry_spread_free (struct retry_spread *spread)
{
  g_free (spread);
}

static void
count_outcome (struct retry_spread *spread, guint n_returned)
{
  if (spread->n_outcomes >= MAX_OUTCOMES)
    {
      spread->n_outcomes /= 2;
      spread->n_returned /= 2;
    }
  spread->n_outcomes++;
  spread->n_returned += n_returned;
}

static void
drop_oldest (struct retry_spread *spread)
{
  spread->first = (spread->first + 1) % RETRY_SPREAD_JOBS_MAX;
  spread->n--;
}

static struct refused_job *
get_job (struct retry_spread *spread, guint i)
{
  return &spread->jobs[(spread->first + i) % RETRY_SPREAD_JOBS_MAX];
}

static void
drop_timed_out (struct retry_spread *spread, gint64 now_us)
{
  while (spread->n > 0 && get_job (spread, 0)->timeout_us <= now_us)
    {
      count_outcome (spread, get_job (spread, 0)->n_returned);
      drop_oldest (spread);
    }
}

gboolean
retry_spread_note_arrival (struct retry_spread *spread, guint64 job,
                           guint n_homes, gint64 now_us)
{
  drop_timed_out (spread, now_us);
  for (guint i = 0; i < spread->n; i++)
    {
      struct refused_job *refused = get_job (spread, i);

      if (refused->job != job || refused->n_returned > 0)
        continue;
      refused->n_returned = MAX (n_homes, 1u);
      return TRUE;
    }
  return FALSE;
}

gdouble
retry_spread_get_return_share (const struct retry_spread *spread)
{
  gdouble share = (spread->n_returned + ASSUMED_RETURNS)
                  / (spread->n_outcomes + ASSUMED_RETURNS);

  return MIN (share, 1);
}

/* Remembers that JOB is refused.  When there are too many, the oldest is
   dropped without an outcome, as it may still return.  */
static void
remember (struct retry_spread *spread, guint64 job, gint64 now_us)
{
  drop_timed_out (spread, now_us);
  if (spread->n == RETRY_SPREAD_JOBS_MAX)
    drop_oldest (spread);
  *get_job (spread, spread->n++)
      = (struct refused_job){ job, now_us + RETURN_TIMEOUT_US, 0 };
}

/* The time that REQUEST is expected to take from this home's part of the
   starts that are left to returning jobs.  */
static gint64
get_length_us (const struct retry_spread *spread,
               const struct retry_request *request)
{
  gdouble starts_per_s = MAX (request->starts_per_s, 1) / RETURN_STARTS_DIVISOR
                         / MAX (request->n_homes, 1u);

  return (gint64)(request->n_tasks * retry_spread_get_return_share (spread)
                  * USEC_PER_SEC / starts_per_s);
}

gint64
retry_spread_refuse (struct retry_spread *spread,
                     const struct retry_request *request, gint64 now_us)
{
  gdouble drawn = (gdouble)hash64_pair (request->seed, request->job)
                  / (gdouble)G_MAXUINT64;
  gint64 latest_us = now_us + RETRY_SPREAD_MAX_MS * USEC_PER_MSEC;
  gint64 earliest_us
      = MIN (now_us + MAX (request->drain_ms, 0) * USEC_PER_MSEC, latest_us);
  gint64 begin_us = MAX (earliest_us, spread->booked_until_us);
  gint64 end_us = begin_us + get_length_us (spread, request);
  gint64 wait_ms;

  remember (spread, request->job, now_us);
  /* No more fits in before the latest time: any time up to it is as good.  */
  if (end_us > latest_us)
    {
      begin_us = earliest_us;
      end_us = latest_us;
    }
  spread->booked_until_us = MAX (spread->booked_until_us, end_us);
  wait_ms
      = (begin_us - now_us + (gint64)(drawn * (gdouble)(end_us - begin_us)))
        / USEC_PER_MSEC;
  return CLAMP (wait_ms, RETRY_SPREAD_MIN_MS, RETRY_SPREAD_MAX_MS);
}
