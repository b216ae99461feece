/*
 * Tells up to which time the main loop has handled what has reached this
 * process.
 *
 * A process that was paused finds many events at once when it goes on, and
 * handles them in any order.  What it says to others must not be newer than
 * the events that it has handled: a caller may have left meanwhile.
 */
#ifndef BASE_LOOP_TURN_H
#define BASE_LOOP_TURN_H

#include <glib.h>

/* Starts to follow the default main loop.  Further calls do nothing.  */
void loop_turn_follow (void);

/* A reading of clock_now_us () at which every descriptor of the main loop was
   polled, after which all events found were dispatched.  0 while none is
   known.  To be called from the loop's own thread.  */
gint64 loop_turn_get_settled_us (void);

#endif
