/*
 * A timer on the main loop that is cheap to set again.
 *
 * GLib's own way to change the time of a source writes to a descriptor to wake
 * the loop.  That costs two system calls and one more iteration of the loop
 * each time.  None of it is needed in the loop's own thread.
 */
#ifndef BASE_LOOP_TIMER_H
#define BASE_LOOP_TIMER_H

#include <glib.h>

struct loop_timer;

/* A new timer that is not set.  CALLBACK is called with DATA from the default
   main loop, once when the set time has come.  */
struct loop_timer *loop_timer_new (void (*callback) (gpointer data),
                                   gpointer data);

/* May be called from inside the callback.  */
void loop_timer_free (struct loop_timer *timer);

/* Sets the time, on the clock of clock_now_us (), in place of the former one.
   A time in the past means as soon as possible, and DEADLINE_NEVER never.
   Must be called from the loop's own thread.  */
void loop_timer_set (struct loop_timer *timer, gint64 when_us);

/*
 * Attaches SOURCE, which watches descriptors, to the default main loop, and
 * lets it recurse.  GLib removes the descriptors of a source that may not
 * recurse while its callback runs, which wakes the loop twice.  The callback
 * must not run the loop.
 */
void loop_source_attach (GSource *source);

#endif
