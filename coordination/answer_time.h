/*
 * How long the answers to orders take, and after what time one counts as
 * overdue: the smoothed time and four times its mean deviation, within bounds,
 * as TCP computes its retransmission timeout (RFC 6298).  Does no I/O.
 */
#ifndef COORDINATION_ANSWER_TIME_H
#define COORDINATION_ANSWER_TIME_H

#include "base/clock.h"

#include <glib.h>

/* Bounds of the timeout.  Below the lower one, the scheduling of processes
   counts; the upper one also holds before the first answer.  */
#define ANSWER_TIMEOUT_MIN_US (10 * USEC_PER_MSEC)
#define ANSWER_TIMEOUT_MAX_US (40 * USEC_PER_MSEC)

/* Lower bound of the time after which the first of the two polls that tell
   whether an order was lost is sent.  On a calm machine it is answered, or
   overdue itself, when the timeout ends and the second is sent.  */
#define ANSWER_CHECK_MIN_US (ANSWER_TIMEOUT_MIN_US / 2)

/* Initialize to zero.  */
struct answer_time
{
  gint64 smoothed_us; /* 0 before the first answer */
  gint64 deviation_us;
};

/* An answer took TOOK_US.  */
void answer_time_note (struct answer_time *time, gint64 took_us);

/* After this time an answer is overdue.  */
gint64 answer_time_get_timeout_us (const struct answer_time *time);

/* After this time the first of these polls is sent: before the answer is
   overdue only where answers are quicker than the lower bound of the
   timeout.  */
gint64 answer_time_get_check_us (const struct answer_time *time);

#endif
