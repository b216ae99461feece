/*
 * The log lines that an owner writes about its batches, their runs and its
 * upstreams.
 *
 * The line at the end of a batch summarises its runs.  A run that does not end
 * as expected gets a line of its own too.  At debug level all runs do.
 */
#ifndef TRANSPORT_FLEET_OWNER_LOG_H
#define TRANSPORT_FLEET_OWNER_LOG_H

#include "coordination/owner.h"
#include "transport/run_tally.h"

/* Counts the runs of one batch for the line at its end.  Starts as zeros.  */
struct batch_tally
{
  struct run_tally done;
  struct run_tally cut_short; /* ended because the batch was ending */
};

void batch_tally_clear (struct batch_tally *tally);

void fleet_owner_log_batch_accepted (const struct batch *batch);

/* The batch NUMBER of JOB, sent by the VM HOME, was refused for REASON.  */
void fleet_owner_log_batch_refused (const char *job, guint number,
                                    const char *home, const char *reason);

/* N_TASKS of BATCH are returned to its home unstarted.  */
void fleet_owner_log_tasks_returned (const struct batch *batch, guint n_tasks);

/* BATCH has ended.  Writes nothing if all of it was returned, since its home
   logs that.  IS_REMOTE: the home is another VM.  */
void fleet_owner_log_batch_ended (const struct batch *batch,
                                  const struct batch_tally *tally,
                                  gboolean is_remote);

/* The order to start or to stop RUN is being sent.  */
void fleet_owner_log_run_starting (const struct run *run);
void fleet_owner_log_run_stopping (const struct run *run);

/* The upstream of RUN has crashed, and the task of RUN may be the cause.  */
void fleet_owner_log_upstream_crashed (const struct run *run);

/* The order to start RUN was not answered.  */
void fleet_owner_log_run_unanswered (const struct run *run);

/* RUN has ended with END after TOOK_US.  It is added to TALLY, which is that
   of its batch, if it succeeded or was cut short by the end of the batch.  */
void fleet_owner_log_run_ended (const struct run *run, enum run_end end,
                                gint64 took_us, struct batch_tally *tally);

/* The health of UPSTREAM, as its owner assesses it, has changed by EVENT.  */
void fleet_owner_log_upstream_health (const struct owned_upstream *upstream,
                                      enum owner_health_event event);

#endif
