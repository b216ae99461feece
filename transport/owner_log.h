/*
 * What an owner tells in the log: of its batches, their runs and its
 * upstreams.
 *
 * A batch whose runs go as expected gets one line, at its end; a run that does
 * not gets a line of its own.
 */
#ifndef TRANSPORT_OWNER_LOG_H
#define TRANSPORT_OWNER_LOG_H

#include "coordination/owner.h"
#include "transport/run_tally.h"

/* The runs of one batch that are told of at its end.  Begins as zeros.  */
struct batch_tally
{
  struct run_tally done;
  struct run_tally cut_short; /* as the batch ended otherwise */
};

void batch_tally_clear (struct batch_tally *tally);

void owner_log_batch_accepted (const struct batch *batch);

/* A batch NUMBER of JOB, from the VM HOME, that is not taken for REASON.  */
void owner_log_batch_refused (const char *job, guint number, const char *home,
                              const char *reason);

/* N_TASKS of BATCH are given back.  */
void owner_log_tasks_returned (const struct batch *batch, guint n_tasks);

/* BATCH has ended; its home tells of one that was given back as a whole.
   IS_REMOTE: the home is another VM.  */
void owner_log_batch_ended (const struct batch *batch,
                            const struct batch_tally *tally,
                            gboolean is_remote);

void owner_log_run_starting (const struct run *run);
void owner_log_run_stopping (const struct run *run);

/* The order to start RUN got no answer.  */
void owner_log_run_unanswered (const struct run *run);

/* RUN, of a batch with TALLY, has ended after TOOK_US.  */
void owner_log_run_ended (const struct run *run, enum run_end end,
                          gint64 took_us, struct batch_tally *tally);

void owner_log_upstream_health (const struct owned *upstream,
                                enum owner_health_event doubt);

#endif
