#include "coordination/answer_time.h"

/* The inverses of the weights of the latest answer (RFC 6298, section 2).  */
#define SMOOTHED_DIVISOR 8
#define DEVIATION_DIVISOR 4

#define N_DEVIATIONS 4

void
answer_time_note (struct answer_time *time, gint64 took_us)
{
  gint64 error_us = ABS (took_us - time->smoothed_us);

  took_us = MAX (took_us, 1);
  if (time->smoothed_us == 0)
    {
      time->smoothed_us = took_us;
      time->deviation_us = took_us / 2;
      return;
    }
  time->deviation_us += (error_us - time->deviation_us) / DEVIATION_DIVISOR;
  time->smoothed_us += (took_us - time->smoothed_us) / SMOOTHED_DIVISOR;
}

static gint64
get_bounded_us (const struct answer_time *time, gint64 min_us)
{
  if (time->smoothed_us == 0)
    return ANSWER_TIMEOUT_MAX_US;
  return CLAMP (time->smoothed_us + N_DEVIATIONS * time->deviation_us, min_us,
                ANSWER_TIMEOUT_MAX_US);
}

gint64
answer_time_get_timeout_us (const struct answer_time *time)
{
  return get_bounded_us (time, ANSWER_TIMEOUT_MIN_US);
}

gint64
answer_time_get_check_us (const struct answer_time *time)
{
  return get_bounded_us (time, ANSWER_CHECK_MIN_US);
}
