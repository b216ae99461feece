/*
 * A timer on the main loop that is cheap to set anew.
 *
 * The library's own way to move a source's time writes to a descriptor to wake
 * the loop, and so costs two system calls and one more turn of the loop each
 * time; the loop's own thread needs none of that.
 */
#ifndef BASE_LOOP_TIMER_H
#define BASE_LOOP_TIMER_H

#include <glib.h>

struct loop_timer;

/* A timer that is not set.  CALLBACK is called from the default main loop with
   DATA, once for each time that was set.  */
struct loop_timer *loop_timer_new (void (*callback) (gpointer data),
                                   gpointer data);

/* Also from inside the callback.  */
void loop_timer_free (struct loop_timer *timer);

/* Sets the time, on the clock of clock_now_us (), in place of the one before;
   a time that has passed means as soon as possible, DEADLINE_NEVER never.  To
   be called from the loop's own thread.  */
void loop_timer_set (struct loop_timer *timer, gint64 when_us);

/*
 * Attaches SOURCE, which watches descriptors, to the default main loop.  Its
 * callback must not run the loop.  The library takes the descriptors of other
 * sources off the loop while their callbacks run, and wakes the loop twice for
 * it.
 */
void loop_source_attach (GSource *source);

#endif
