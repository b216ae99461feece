/*
 * The faults that an upstream stand-in brings about: shares of the tasks in
 * percent, drawn from a seeded generator, and members of a task's own input.
 */
#ifndef T_STANDIN_FAULTS_H
#define T_STANDIN_FAULTS_H

#include <glib.h>
#include <jansson.h>

struct faults
{
  gint64 fail_percent;              /* run and fail */
  gint64 refuse_percent;            /* are refused as not run */
  gint64 hang_percent;              /* run until stopped */
  gint64 close_before_read_percent; /* closed before the body is read */
  gint64 close_after_read_percent;  /* run, but closed without an answer */
  gint64 answer_junk_percent;       /* answered with text that is not JSON */
  gint64 omit_outcome_percent;      /* answered without Task-Outcome */
  double slow_factor;               /* run times are multiplied by this */
};

/* What happens to one task.  */
struct task_faults
{
  gboolean fail;
  gboolean refuse;
  gboolean hang;
  gboolean close_after_read;
  gboolean junk;
  gboolean omit_outcome;
};

void faults_init (struct faults *faults);

/* Takes over the members of OBJECT that name a fault; keeps the rest.  */
void faults_update (struct faults *faults, json_t *object);

/* Whether a fault with the share PERCENT strikes.  */
gboolean faults_draw (GRand *random, gint64 percent);

/* Draws the faults of one task whose input is INPUT.  */
void faults_draw_task (const struct faults *faults, GRand *random,
                       json_t *input, struct task_faults *task);

#endif
