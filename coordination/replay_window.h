/*
 * Which sequence numbers of one sender were used.
 *
 * Numbers may come out of order, but each is accepted once, and none that is
 * older than the window.
 */
#ifndef COORDINATION_REPLAY_WINDOW_H
#define COORDINATION_REPLAY_WINDOW_H

#include <glib.h>

/* How far behind the highest number one may be.  */
#define REPLAY_WINDOW_SIZE 4096
#define REPLAY_WORDS (REPLAY_WINDOW_SIZE / 64)

struct replay_window
{
  guint64 highest;            /* 0 before the first */
  guint64 used[REPLAY_WORDS]; /* a bit for each number modulo the size */
};

/* Whether SEQUENCE, which is not 0, was not used before; notes it.  */
gboolean replay_window_accept (struct replay_window *window, guint64 sequence);

#endif
