/*
 * Protection against replays: the sequence numbers that one sender has used.
 *
 * Numbers may arrive out of order.  Each is accepted once, and none that is
 * older than the window.
 */
#ifndef COORDINATION_REPLAY_WINDOW_H
#define COORDINATION_REPLAY_WINDOW_H

#include <glib.h>

/* A number is too old when it is behind the highest one by this or more.  */
#define REPLAY_WINDOW_SIZE 4096
#define REPLAY_WORDS (REPLAY_WINDOW_SIZE / 64)

struct replay_window
{
  guint64 highest;            /* highest number accepted; 0 for none */
  guint64 used[REPLAY_WORDS]; /* a bit for each number modulo the size */
};

/* Marks SEQUENCE as used.  Returns FALSE when it is 0, too old or was used
   before.  */
gboolean replay_window_accept (struct replay_window *window, guint64 sequence);

#endif
