/*
 * A world around one dispatcher for randomised tests: a fake clock, a driver
 * that keeps attempts in flight, and a model of what has run.
 *
 * A world is driven by steps, each a 32-bit code from which the kind of event
 * and all its details follow.  A sequence of codes therefore replays, and may
 * be shortened.
 */
#ifndef T_SUPPORT_DECISION_WORLD_H
#define T_SUPPORT_DECISION_WORLD_H

#include <glib.h>

struct world;

struct world *world_new (guint32 seed);
void world_free (struct world *world);

/* Performs the step of CODE.  Returns NULL, or what no longer holds.  */
const char *world_step (struct world *world, guint32 code);

/* Lets everything end; returns as world_step.  */
const char *world_settle (struct world *world);

#endif
