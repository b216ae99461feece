#include "coordination/replay_window.h"

#include <string.h>

#define WORD_BITS 64

static guint64 *
find_word (struct replay_window *window, guint64 sequence)
{
  return &window->used[sequence % REPLAY_WINDOW_SIZE / WORD_BITS];
}

static guint64
bit_of (guint64 sequence)
{
  return G_GUINT64_CONSTANT (1) << (sequence % WORD_BITS);
}

/* Moves the window up to SEQUENCE and clears the bits of the numbers that
   enter it.  */
static void
advance (struct replay_window *window, guint64 sequence)
{
  if (sequence - window->highest >= REPLAY_WINDOW_SIZE)
    memset (window->used, 0, sizeof window->used);
  else
    for (guint64 i = window->highest + 1; i <= sequence; i++)
      *find_word (window, i) &= ~bit_of (i);
  window->highest = sequence;
}

gboolean
replay_window_accept (struct replay_window *window, guint64 sequence)
{
  if (sequence > window->highest)
    advance (window, sequence);
  else if (sequence == 0 || window->highest - sequence >= REPLAY_WINDOW_SIZE
           || (*find_word (window, sequence) & bit_of (sequence)) != 0)
    return FALSE;
  *find_word (window, sequence) |= bit_of (sequence);
  return TRUE;
}
