/*
 * What the files of the owner share; see owner.h.
 */
#ifndef COORDINATION_OWNER_PRIVATE_H
#define COORDINATION_OWNER_PRIVATE_H

#include "base/clock.h"
#include "coordination/owner.h"

struct owner
{
  struct owner_driver *driver;
  struct owner_limits limits;
  GHashTable *upstreams;  /* id -> struct owned */
  struct list_node queue; /* struct batch with queued tasks, next one first */
  struct list_node batches; /* the other batches */
  gdouble usual_cpus;       /* of one task, smoothed */
  gint64 wake_us;
  gint64 watched_us; /* when runs were last looked after */
  gint64 reached_us; /* when the owner was last called; 0 for never */
};

/* owner.c */

/* Notes the time of a call; a late one puts all upstreams in doubt.  */
void owner_note_call (struct owner *owner, gint64 now_us);

/* owned.c: what is known of one upstream.  */

struct owned *owned_new (const struct owned_spec *spec, guint64 token);
void owned_update (struct owned *upstream, const struct owned_spec *spec);

/* Its clock as expected at NOW_US.  */
gint64 owned_guess_clock_ms (const struct owned *upstream, gint64 now_us);

/* The latest time at which its clock shows UNTIL_MS.  */
gint64 owned_latest_us (const struct owner *owner,
                        const struct owned *upstream, gint64 until_ms,
                        gint64 now_us);

/* Notes a reading of its clock; 0 is none.  */
void owned_read_clock (struct owned *upstream, gint64 clock_ms, gint64 now_us);

/* Notes that it has answered.  */
void owned_note_answer (struct owned *upstream);

/* Whether a run that needs NEED may start there now.  */
gboolean owned_takes (const struct owned *upstream, const struct shape *need,
                      gint64 now_us);

/* Whether it takes runs at all.  */
gboolean owned_is_usable (const struct owned *upstream, gint64 now_us);

/* Learns from the end of a run, SLOWNESS times slower than estimated.  */
void owned_note_done (struct owned *upstream, gdouble slowness);

/* Learns from a failure, or a lack of answers; it may get a rest.  */
void owned_note_failure (struct owned *upstream, gint64 now_us);

/* Nothing is started there, nor prolonged, before an ask that is sent from now
   on was answered.  */
void owned_doubt (struct owned *upstream, gint64 now_us);

/* Whether that answer is outstanding.  */
gboolean owned_is_doubted (const struct owned *upstream);

/* Lets it rest at once.  */
void owned_rest (struct owned *upstream, gint64 now_us);

struct run *owned_find_run (const struct owned *upstream, const char *name,
                            guint number);

/* A new run of TASK, or one found there when TASK is NULL.  */
struct run *run_new (struct owned *upstream, struct batch_task *task,
                     const char *name, guint number);

/* Takes RUN off its upstream and frees it.  */
void run_free (struct run *run);

/* owner_runs.c: what becomes of runs.  */

/* Orders RUN to stop, unless that was done.  */
void owner_stop_run (struct owner *owner, struct run *run, gint64 now_us);

/* RUN is over.  */
void owner_end_run (struct owner *owner, struct run *run, enum run_end end,
                    gint64 now_us);

/* UPSTREAM has started anew under its name: nothing of before is there, but it
   may have obeyed orders that were meant for its former life.  */
void owner_begin_life (struct owner *owner, struct owned *upstream,
                       gint64 born_ms, gint64 now_us);

/* No run of UPSTREAM can be there any more.  */
void owner_lose_runs (struct owner *owner, struct owned *upstream,
                      gint64 now_us);

/* UPSTREAM obeys somebody else.  */
void owner_lose_upstream (struct owner *owner, struct owned *upstream,
                          gint64 now_us);

/* Looks after the runs of UPSTREAM: overdue stops, tasks that stand still,
   leases that have lapsed.  */
void owner_watch_runs (struct owner *owner, struct owned *upstream,
                       gint64 now_us);

/* owner_batches.c: batches and the queue.  */

/* Puts BATCH where its state wants it.  */
void owner_place_batch (struct owner *owner, struct batch *batch);

/* The end of BATCH is decided: drops what is queued, stops what runs.  */
void owner_end_batch (struct owner *owner, struct batch *batch,
                      enum batch_end end, const char *reason, gint64 now_us);

/* Tells the end of BATCH once nothing of it runs.  Returns whether it was
   told; BATCH is gone then.  */
gboolean owner_check_batch (struct owner *owner, struct batch *batch);

/* The run NUMBER of the task NAME, which was given up, has ended well: the
   task need not run again, unless that has begun.  */
void owner_accept_done (struct owner *owner, const char *name, guint number);

/* Starts what fits, best first.  */
void owner_serve (struct owner *owner, gint64 now_us);

/* Drops batches that are of no use any more.  */
void owner_expire_batches (struct owner *owner, gint64 now_us);

/* Gives UPSTREAM up when it is being released and nothing runs there.  */
void owner_check_released (struct owner *owner, struct owned *upstream);

#endif
